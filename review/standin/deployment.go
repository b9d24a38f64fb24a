package main

import (
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	service      = "masticwing-pool"
	internalPort = 7380
	adminPort    = 9100
	frontPort    = 8005
	readyPort    = 8002
	enginePort   = 8740
	storePort    = 8007
	originPort   = 8006
	routeHost    = "hulo84.example"
	routePrefix  = "/xapu221/"
	apiKey       = "jnbanfqasnmgkcuyj8pj"
)

var (
	zones   = []string{"suva-a", "labasa-a", "lakeba-a"}
	regions = "suva-a=viti-levu,labasa-a=vanua-levu,lakeba-a=lau"
)

// process is a process of the system.
type process struct {
	name string
	cmd  *exec.Cmd
	done chan struct{}
}

func (p *process) signal(s syscall.Signal) error { return p.cmd.Process.Signal(s) }

// deployment is a small deployment on loopback addresses, one for each machine.
type deployment struct {
	dir string
	net string
	// second is the second number of all addresses.
	second   int
	store    *store
	record   *record
	gateways []*process
	loaders  []*process
	engines  []*engine
	fronts   []string
	ready    []string
	all      []*process
}

func (d *deployment) ip(host int) string { return fmt.Sprintf("%s.%d", d.net, host) }

func (d *deployment) addr(host, port int) string { return fmt.Sprintf("%s:%d", d.ip(host), port) }

// freeNet returns a loopback network on which none of the ports is taken.
func freeNet(hosts int) (string, error) {
	for range 50 {
		n := fmt.Sprintf("127.%d.%d", 1+rand.Intn(250), 1+rand.Intn(250))
		free := true
		for h := 1; h <= hosts && free; h++ {
			for _, p := range []int{internalPort, adminPort, frontPort, readyPort, enginePort, storePort, originPort} {
				l, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", n, h, p))
				if err != nil {
					free = false
					break
				}
				_ = l.Close()
			}
		}
		if free {
			return n, nil
		}
	}
	return "", fmt.Errorf("no free loopback network")
}

func newDeployment(dir string, rec *record, gateways, sides int, kind string) (*deployment, error) {
	n, err := freeNet(2 + gateways + sides)
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, net: n, store: newStore(), record: rec}
	if _, err := fmt.Sscanf(n, "127.%d.", &d.second); err != nil {
		return nil, err
	}
	for _, s := range []struct {
		addr    string
		handler http.Handler
	}{{d.addr(1, storePort), d.store}, {d.addr(2, originPort), origin{}}} {
		lis, err := net.Listen("tcp", s.addr)
		if err != nil {
			return nil, err
		}
		go func() { _ = http.Serve(lis, s.handler) }()
	}
	d.store.write("op/config", d.config(kind))
	for i := range sides {
		host := 3 + gateways + i
		e, err := newEngine(fmt.Sprintf("i-%d", i+1), zones[i%len(zones)], service, d.addr(host, enginePort), d.store, rec)
		if err != nil {
			return nil, err
		}
		d.engines = append(d.engines, e)
	}
	for i := range gateways {
		host := 3 + i
		p, err := d.start("masticwing-gateway", fmt.Sprintf("frontend-%d", i+1), host, zones[i%len(zones)], d.gatewaySettings(host))
		if err != nil {
			return nil, err
		}
		d.gateways = append(d.gateways, p)
		d.fronts, d.ready = append(d.fronts, d.addr(host, frontPort)), append(d.ready, "http://"+d.addr(host, readyPort)+"/ready")
	}
	for i := range sides {
		host := 3 + gateways + i
		p, err := d.start("masticwing-loader", fmt.Sprintf("side-%d", i+1), host, zones[i%len(zones)], d.loaderSettings(host))
		if err != nil {
			return nil, err
		}
		d.loaders = append(d.loaders, p)
	}
	return d, d.awaitReady(gateways + sides)
}

func (d *deployment) awaitReady(members int) error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		ok := d.store.count("masticwing/members/") >= members
		for _, u := range d.ready {
			res, err := http.Get(u)
			if err != nil {
				ok = false
				continue
			}
			_ = res.Body.Close()
			ok = ok && res.StatusCode == http.StatusOK
		}
		if ok {
			return nil
		}
	}
	return fmt.Errorf("the deployment is not ready after 20 s")
}

// newPlainDeployment returns a deployment with one gateway, before a service without weights that
// has a route of the given kind.
func newPlainDeployment(dir string, rec *record, kind string) (*deployment, error) {
	return newDeployment(dir, rec, 1, 0, kind)
}

// config returns the operator's configuration with one route, which leads to model workers if it is
// of the kind "streaming" and otherwise to a plain service.
func (d *deployment) config(kind string) map[string]any {
	if kind != "streaming" {
		c := d.config("streaming")
		c["Routes"] = []any{map[string]any{
			"Name": "r-1", "Host": routeHost, "Prefix": routePrefix, "Kind": kind, "TimeoutMs": 6000, "TargetLatencyMs": 2000, "Priority": 1,
			"Service": service, "MaxAttempts": 2, "Anonymous": false, "AllowedRegions": []string{},
		}}
		c["Services"] = []any{map[string]any{"Name": service, "HealthPath": "/health", "MaxConns": 304, "Protocol": "h1", "Tls": false, "ColdS": 0.0, "ColdPerS": 0.0}}
		return c
	}
	return map[string]any{
		"Version": 7,
		"Routes": []any{map[string]any{
			"Name": "r-1", "Host": routeHost, "Prefix": routePrefix, "Kind": kind, "TimeoutMs": 6000, "TargetLatencyMs": 400, "Priority": 1,
			"Service": service, "MaxAttempts": 2, "Anonymous": false, "SessionAffinity": true, "Resumable": true, "TargetGapMs": 400, "AllowedRegions": []string{},
		}},
		"Services": []any{
			map[string]any{"Name": service, "HealthPath": "/health", "MaxConns": 304, "Protocol": "h1", "Tls": false, "ColdS": 3.0, "ColdPerS": 26.0,
				"Engine": map[string]any{"Slots": slots, "KvCapacityTokens": 1180000, "KvTokenBytes": 163840, "LinkMbps": 400000.0, "Stride": 5,
					"Models": []any{map[string]any{"Name": model, "pace": 1.0, "LoadS": 4.0, "WarmS": warmTime.Seconds()}}, "SizeMb": 266000.0,
					"step_ms": 8.87, "per_seq_ms": 0.0388, "context_per_k": 0.0227, "read_per_s": 19100.0, "pairs_per_m": 1.47, "chunk": 2048, "report_lag_ms": 200.0,
					"layers": layers, "layer_mb": 4540.0, "act_bytes": 16384, "Chunks": pieces, "ChunkBytes": pieceBytes}},
			map[string]any{"Name": "weights", "Origin": d.addr(2, originPort), "Zone": zones[0], "LinkMbps": 9.9, "MaxConns": 48},
		},
		"Limits":  map[string]any{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
		"Tenants": []any{map[string]any{"Name": "bozi300", "ApiKeys": []string{apiKey}, "Priority": 1, "AllowedRegions": []string{}}},
	}
}

func (d *deployment) gatewaySettings(host int) string {
	return fmt.Sprintf(`[listen]
callers = %s
ready = %s
internal = %s

[platform]
address = %s

[limits]
grace = 8s
key_bound = 5000ms
weights_bound = 8000ms
memory = 284MiB

[retries]
ratio = 0.2
slack = 104
window = 10s
`, d.addr(host, frontPort), d.addr(host, readyPort), d.addr(host, internalPort), d.addr(1, storePort))
}

func (d *deployment) loaderSettings(host int) string {
	return fmt.Sprintf(`[listen]
internal = %s

[platform]
address = %s

[engine]
address = %s
service = %s

[limits]
weights_bound = 8000ms
link_mbit = 7.6
memory = 152MiB
`, d.addr(host, internalPort), d.addr(1, storePort), d.addr(host, enginePort), service)
}

// start starts a process by the command of the deploy file. Its log goes to a file.
func (d *deployment) start(program, name string, host int, zone, settings string) (*process, error) {
	path := filepath.Join(d.dir, name+".ini")
	head := fmt.Sprintf("[node]\nid = %s\nadmin = %s\ndomain = %s\nregions = %s\n\n", name, d.addr(host, adminPort), zone, regions)
	if err := os.WriteFile(path, []byte(head+settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil, err
	}
	p := &process{name: name, cmd: exec.Command(filepath.Join("target", program), "run"), done: make(chan struct{})}
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MASTICWING_CONFIG=" + path}
	p.cmd.Stdout, p.cmd.Stderr = log, log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	go func() { _ = p.cmd.Wait(); close(p.done) }()
	d.all = append(d.all, p)
	return p, nil
}

// stop ends all processes.
func (d *deployment) stop() {
	for _, p := range d.all {
		_ = p.signal(syscall.SIGCONT)
		_ = p.signal(syscall.SIGKILL)
		<-p.done
	}
}

// logs returns the log lines of a process that contain a text.
func (d *deployment) logs(name, text string) (out []string) {
	b, err := os.ReadFile(filepath.Join(d.dir, name+".log"))
	if err != nil {
		return nil
	}
	for _, l := range strings.Split(string(b), "\n") {
		if strings.Contains(l, text) {
			out = append(out, l)
		}
	}
	return out
}
