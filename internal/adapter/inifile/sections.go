package inifile

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Defaults of keys that a file leaves out.
const (
	defaultShare        = 1
	defaultMaxQueued    = 200
	defaultQueuedBytes  = 8 << 20
	defaultMaxRequests  = 8
	defaultMaxBytes     = 4 << 20
	defaultColdRequests = 1
	defaultRampStep     = 500 * time.Millisecond
)

// kinds maps the kind of a section to its reader.
var kinds = map[string]func(p *parser, r *reader, name string){
	"customer": readCustomer,
	"domain":   readDomain,
	"vm":       readVM,
	"model":    readModel,
	"group":    readGroup,
	"serve":    readRule,
	"service":  readService,
}

func readCustomer(p *parser, r *reader, name string) {
	p.decl.Customers[fleet.Customer(name)] = declare.Customer{
		Share:     r.integer("share", defaultShare),
		MaxQueued: r.integer("max_queued", defaultMaxQueued),
		MaxBytes:  r.bytes("max_bytes", defaultQueuedBytes),
	}
	r.done()
}

func readDomain(p *parser, r *reader, name string) {
	p.decl.Domains[fleet.Domain(name)] = declare.Domain{
		Region:       fleet.Region(r.text("region")),
		Labels:       r.labels(),
		OutOfService: r.choice("out", "false", "true") == 1,
	}
	r.done()
}

func readVM(p *parser, r *reader, name string) {
	p.decl.VMs[fleet.VM(name)] = declare.VM{
		Labels:       r.labels(),
		OutOfService: r.choice("out", "false", "true") == 1,
	}
	r.done()
}

func readModel(p *parser, r *reader, name string) {
	m := declare.Model{Labels: r.labels(), Versions: map[string]fleet.Version{}}
	r.prefixed("version.", func(_, n, v string) { m.Versions[n] = fleet.Version(v) })
	p.decl.Models[fleet.Model(name)] = m
	r.done()
}

func readLimits(r *reader) declare.Limits {
	return declare.Limits{
		MaxRequests:  r.integer("max_requests", defaultMaxRequests),
		MaxBytes:     r.bytes("max_bytes", defaultMaxBytes),
		ColdRequests: r.integer("cold_requests", defaultColdRequests),
		RampStep:     r.duration("ramp_step", defaultRampStep),
	}
}

func readGroup(p *parser, r *reader, name string) {
	g := declare.Group{VMs: r.selector("vms"), Labels: r.labels(), Limits: readLimits(r)}
	g.Limits.ColdFirstToken = r.duration("cold_first_token", 0)
	g.Overlap = declare.Overlap(r.choice("overlap", "keep-old", "drain-first"))
	g.Fencing = declare.Fencing(r.choice("fencing", "ignored", "checked"))
	p.decl.Groups[fleet.Group(name)] = g
	r.done()
}

func readRule(p *parser, r *reader, name string) {
	p.decl.Rules = append(p.decl.Rules, declare.Rule{
		Name:    name,
		Groups:  r.selector("groups"),
		Models:  r.selector("models"),
		Version: r.text("version"),
	})
	r.done()
}

func readService(p *parser, r *reader, name string) {
	s := declare.Service{VMs: r.selector("vms"), Limits: readLimits(r), Calls: map[string]declare.Call{}}
	r.prefixed("call.", func(key, n, v string) {
		switch v {
		case "once", "repeatable":
			s.Calls[n] = declare.Call{AtMostOnce: v == "once"}
		default:
			r.fault(key, "must be once or repeatable")
		}
	})
	p.decl.Services[fleet.Service(name)] = s
	r.done()
}
