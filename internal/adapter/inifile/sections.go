package inifile

import (
	"time"

	"github.com/masticwing/masticwing/internal/core/declare"
	"github.com/masticwing/masticwing/internal/core/fleet"
)

// Default values of optional keys.
const (
	defaultShare        = 1
	defaultMaxQueued    = 200
	defaultQueuedBytes  = 8 << 20
	defaultMaxRequests  = 8
	defaultMaxBytes     = 4 << 20
	defaultColdRequests = 1
	defaultRampStep     = 500 * time.Millisecond
)

// sectionReaders maps the kind of a section to the function that parses it.
var sectionReaders = map[string]func(p *parser, r *sectionReader, name string){
	"customer": readCustomer,
	"domain":   readDomain,
	"vm":       readVM,
	"model":    readModel,
	"group":    readGroup,
	"serve":    readRule,
	"service":  readService,
}

func readCustomer(p *parser, r *sectionReader, name string) {
	p.decl.Customers[fleet.Customer(name)] = declare.Customer{
		Share:     r.integer("share", defaultShare),
		MaxQueued: r.integer("max_queued", defaultMaxQueued),
		MaxBytes:  r.bytes("max_bytes", defaultQueuedBytes),
	}
	r.reportUnknownKeys()
}

func readDomain(p *parser, r *sectionReader, name string) {
	p.decl.Domains[fleet.Domain(name)] = declare.Domain{
		Region:       fleet.Region(r.text("region")),
		Labels:       r.labels(),
		OutOfService: r.choiceIndex("out", "false", "true") == 1,
	}
	r.reportUnknownKeys()
}

func readVM(p *parser, r *sectionReader, name string) {
	p.decl.VMs[fleet.VM(name)] = declare.VM{
		Labels:       r.labels(),
		OutOfService: r.choiceIndex("out", "false", "true") == 1,
	}
	r.reportUnknownKeys()
}

func readModel(p *parser, r *sectionReader, name string) {
	m := declare.Model{Labels: r.labels(), Versions: map[string]fleet.Version{}}
	r.forEachPrefixed("version.", func(_, n, v string) { m.Versions[n] = fleet.Version(v) })
	p.decl.Models[fleet.Model(name)] = m
	r.reportUnknownKeys()
}

func readLimits(r *sectionReader) declare.Limits {
	return declare.Limits{
		MaxRequests:  r.integer("max_requests", defaultMaxRequests),
		MaxBytes:     r.bytes("max_bytes", defaultMaxBytes),
		ColdRequests: r.integer("cold_requests", defaultColdRequests),
		RampStep:     r.duration("ramp_step", defaultRampStep),
	}
}

func readGroup(p *parser, r *sectionReader, name string) {
	g := declare.Group{VMs: r.selector("vms"), Labels: r.labels(), Limits: readLimits(r)}
	g.Limits.ColdFirstToken = r.duration("cold_first_token", 0)
	g.Overlap = declare.Overlap(r.choiceIndex("overlap", "keep-old", "drain-first"))
	g.Fencing = declare.Fencing(r.choiceIndex("fencing", "ignored", "checked"))
	p.decl.Groups[fleet.Group(name)] = g
	r.reportUnknownKeys()
}

func readRule(p *parser, r *sectionReader, name string) {
	p.decl.Rules = append(p.decl.Rules, declare.Rule{
		Name:    name,
		Groups:  r.selector("groups"),
		Models:  r.selector("models"),
		Version: r.text("version"),
	})
	r.reportUnknownKeys()
}

func readService(p *parser, r *sectionReader, name string) {
	s := declare.Service{VMs: r.selector("vms"), Limits: readLimits(r), Calls: map[string]declare.Call{}}
	r.forEachPrefixed("call.", func(key, n, v string) {
		switch v {
		case "once", "repeatable":
			s.Calls[n] = declare.Call{AtMostOnce: v == "once"}
		default:
			r.addFault(key, "must be once or repeatable")
		}
	})
	p.decl.Services[fleet.Service(name)] = s
	r.reportUnknownKeys()
}
