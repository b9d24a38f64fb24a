//go:build review

package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/masticwing/masticwing/platform/platformtest"
)

const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 10 * time.Second
)

// The commands in deploy/system.toml.
var (
	gatewayCommand = []string{"target/masticwing-gateway", "run"}
	loaderCommand  = []string{"target/masticwing-loader", "run"}
)

// gatewaySettings is deploy/gateway.ini with the values of a small deployment. The verbs are the id, the
// admin address, the domain, the callers', readiness and internal addresses, and the address of the store.
const gatewaySettings = `[node]
id = %s
admin = %s
domain = %s
regions = zone-a=region-a,zone-b=region-b,zone-c=region-c

[listen]
callers = %s
ready = %s
internal = %s

[platform]
address = %s

[limits]
grace = 8s
key_bound = 5000ms
drain_bound = 2000ms
weights_bound = 8000ms
memory = 284MiB
descriptors = 4100

[retries]
ratio = 0.2
slack = 104
window = 10s
`

// deployment is a store and gateways on loopback addresses.
type deployment struct {
	dir      string
	record   *record
	store    *platformtest.Store
	storeAt  string
	gateways []*gateway
	closers  []func()
	// config is the newest configuration.
	config map[string]any
	// recorder holds what the engines execute, each of which has a loader of the same number.
	recorder *platformtest.Recorder
	engines  []*platformtest.Target
	// proxied is set if each gateway reaches the store through a proxy of its own.
	proxied bool
}

// gateway is a process of masticwing-gateway, or of masticwing-loader.
type gateway struct {
	name, callers, ready, admin, config string
	cmd                                 *exec.Cmd
	exited                              chan struct{}
	log                                 *os.File
	storeProxy                          *proxy
	// command starts the process.
	command []string
}

// newDeployment starts a store.
func newDeployment(r *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	d := &deployment{dir: dir, record: r, store: platformtest.NewStore()}
	d.closers = append(d.closers, func() { _ = os.RemoveAll(dir) })
	d.storeAt, err = d.serve(pagedStore{d.store})
	return d, err
}

// serve serves h on a free loopback address until the deployment is closed.
func (d *deployment) serve(h http.Handler) (addr string, err error) {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h}
	go func() { _ = srv.Serve(lis) }()
	d.closers = append(d.closers, func() { _ = srv.Close() })
	return lis.Addr().String(), nil
}

// usedPorts holds the ports that freeAddr has returned.
var usedPorts = map[int]bool{}

// putConfig writes a configuration, as the operator does.
func (d *deployment) putConfig(c map[string]any) {
	d.config = c
	d.store.Put("op/config", c)
}

// changeConfig writes the configuration as its next version.
func (d *deployment) changeConfig() {
	next := maps.Clone(d.config)
	next["Version"] = next["Version"].(int) + 1
	d.putConfig(next)
	d.record.printf("the store acknowledges version %d of the configuration", next["Version"])
}

// freeAddr returns a loopback address with a port that is free for TCP and UDP. It is below those that the kernel
// gives to outgoing connections, so that none takes it before the process listens.
func freeAddr() (string, error) {
	for range 1000 {
		port := 20000 + rand.IntN(12000)
		if usedPorts[port] {
			continue
		}
		usedPorts[port] = true
		addr := fmt.Sprintf("127.0.0.1:%d", port)
		lis, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		_ = lis.Close()
		if p, err := net.ListenPacket("udp", addr); err == nil {
			_ = p.Close()
			return addr, nil
		}
	}
	return "", errors.New("no free port")
}

// addGateway starts a gateway in a zone and waits until it is ready.
func (d *deployment) addGateway(name, zone string) (*gateway, error) {
	var addrs [4]string
	for i := range addrs {
		a, err := freeAddr()
		if err != nil {
			return nil, err
		}
		addrs[i] = a
	}
	g := &gateway{name: name, admin: addrs[0], callers: addrs[1], ready: addrs[2], config: filepath.Join(d.dir, name+".ini"), command: gatewayCommand}
	storeAt := d.storeAt
	if d.proxied {
		p, err := d.newProxy(d.storeAt)
		if err != nil {
			return nil, err
		}
		g.storeProxy, storeAt = p, p.addr()
	}
	text := fmt.Sprintf(gatewaySettings, name, addrs[0], zone, addrs[1], addrs[2], addrs[3], storeAt)
	if err := os.WriteFile(g.config, []byte(text), 0o600); err != nil {
		return nil, err
	}
	d.gateways = append(d.gateways, g)
	if err := d.start(g); err != nil {
		return nil, err
	}
	return g, g.awaitReady()
}

// start starts the process of a gateway.
func (d *deployment) start(g *gateway) error {
	log, err := os.OpenFile(g.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	g.log = log
	g.cmd = exec.Command(g.command[0], g.command[1:]...)
	g.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MASTICWING_CONFIG=" + g.config}
	g.cmd.Stdout, g.cmd.Stderr = log, log
	g.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := g.cmd.Start(); err != nil {
		return err
	}
	g.exited = make(chan struct{})
	go func(cmd *exec.Cmd, exited chan struct{}) {
		_ = cmd.Wait()
		close(exited)
	}(g.cmd, g.exited)
	d.record.printf("started %s (pid %d)", g.name, g.cmd.Process.Pid)
	return nil
}

func (g *gateway) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		select {
		case <-g.exited:
			return fmt.Errorf("%s ended: %s", g.name, g.logTail())
		default:
		}
		res, err := client.Get("http://" + g.ready + "/ready")
		if err != nil {
			continue
		}
		_ = res.Body.Close()
		if res.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready: %s", g.name, g.logTail())
}

// alive reports whether the process has not ended.
func (g *gateway) alive() bool {
	select {
	case <-g.exited:
		return false
	default:
		return true
	}
}

// logTail returns the end of the process's output.
func (g *gateway) logTail() string {
	b, _ := os.ReadFile(g.config + ".log")
	return string(b[max(0, len(b)-2000):])
}

// logLines returns the lines of the process's output that contain text.
func (g *gateway) logLines(text string) []string {
	b, _ := os.ReadFile(g.config + ".log")
	var out []string
	for _, l := range strings.Split(string(b), "\n") {
		if strings.Contains(l, text) {
			out = append(out, l)
		}
	}
	return out
}

// close ends all processes and stand-ins.
func (d *deployment) close() {
	for _, g := range d.gateways {
		if g.cmd == nil || g.cmd.Process == nil {
			continue
		}
		_ = g.cmd.Process.Signal(syscall.SIGCONT)
		_ = g.cmd.Process.Kill()
		ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
		select {
		case <-g.exited:
		case <-ctx.Done():
			d.record.printf("%s has not ended", g.name)
		}
		cancel()
		_ = g.log.Close()
	}
	for i := len(d.closers) - 1; i >= 0; i-- {
		d.closers[i]()
	}
}
