// Package lab starts the programs of the deploy file as processes on loopback addresses, beside stand-ins of
// the platform's store, of workers and of clients, for the cases of the second review.
package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"
)

// maxTime bounds the time of a case, which is 120 s at most.
const maxTime = 115 * time.Second

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Lab is a small deployment and the record of a case.
type Lab struct {
	// Trouble is false if the case runs without its disruption.
	Trouble bool
	Store   *Store
	// StoreAddr is the address of the store.
	StoreAddr string
	// Before is called with each call to the store. If it returns true, it has handled the call. It may be nil.
	Before func(w http.ResponseWriter, r *http.Request) bool
	// Dir is the temporary folder of the case.
	Dir string

	mu     sync.Mutex
	record *bufio.Writer
	file   *os.File
	began  time.Time
	procs  []*Proc
}

// New starts the store. The record is written to record.txt in the folder of the case.
func New(folder string) (*Lab, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review-case-")
	if err != nil {
		return nil, err
	}
	l := &Lab{
		Trouble: os.Getenv("TROUBLE") != "0", Store: NewStore(), Dir: dir,
		record: bufio.NewWriter(f), file: f, began: time.Now(),
	}
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l.StoreAddr = lis.Addr().String()
	go l.Store.Run()
	go func() {
		_ = http.Serve(lis, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if l.Before == nil || !l.Before(w, r) {
				l.Store.ServeHTTP(w, r)
			}
		}))
	}()
	l.Logf("trouble: %v", l.Trouble)
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		select {
		case s := <-stopped:
			l.Logf("could not run: %v", s)
		case <-time.After(maxTime):
			l.Logf("could not run within %v", maxTime)
		}
		os.Exit(l.Close(NotRun))
	}()
	return l, nil
}

// Logf adds a line to the record.
func (l *Lab) Logf(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.began).Seconds(), fmt.Sprintf(format, args...))
}

// Close ends all processes and the record. It returns code, which it also records.
func (l *Lab) Close(code int) int {
	l.mu.Lock()
	procs := slices.Clone(l.procs)
	l.mu.Unlock()
	for _, p := range procs {
		p.Kill()
	}
	l.Logf("exit code %d", code)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.record.Flush()
	_ = l.file.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(l.Dir)
	}
	return code
}

// FreeAddr returns a loopback address with a free port.
func FreeAddr() string {
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	defer func() { _ = lis.Close() }()
	return lis.Addr().String()
}

// Proc is a process of the system.
type Proc struct {
	Name, Front, Ready, Admin string
	cmd                       *exec.Cmd
	binary, settings          string
	descriptors               int
	done                      chan struct{}
}

// Fields are the settings of a process by the names in the templates of the deploy file.
type Fields map[string]string

var placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)

// render fills a template of the deploy file in.
func render(template string, f Fields) string {
	for _, section := range []string{"CloudApi.Address"} {
		from, to := strings.Index(template, "{{#"+section+"}}"), strings.Index(template, "{{/"+section+"}}")
		if from >= 0 && to > from {
			template = template[:from] + template[to+len("{{/"+section+"}}"):]
		}
	}
	template = regexp.MustCompile(`\{\{#Zones\}\}.*?\{\{/Zones\}\}`).ReplaceAllString(template, f["Zones"])
	return placeholder.ReplaceAllStringFunc(template, func(p string) string { return f[strings.Trim(p, "{}")] })
}

// bounds are the figures of the sheet of buoycheck-fleet.
var bounds = Fields{
	"Bounds.GraceS": "8", "Bounds.RevokeMs": "5000", "Bounds.DrainMs": "2000", "Bounds.version_ms": "8000",
	"Bounds.RetryRatio": "0.2", "Bounds.RetrySlack": "104", "Bounds.RetryWindowS": "10",
}

// StartGateway starts a gateway with the limits of a frontend machine of buoycheck-fleet.
func (l *Lab) StartGateway(name, zone, storeAddr string, descriptors int) (*Proc, error) {
	internal := FreeAddr()
	ip, port, _ := net.SplitHostPort(internal)
	p := &Proc{Name: name, Front: FreeAddr(), Ready: FreeAddr()}
	f := Fields{
		"NodeName": name, "Ip": ip, "Zone": zone, "Zones": "a=ra,b=rb", "Listen.Front": p.Front, "Listen.Ready": p.Ready,
		"InternalPorts.0": port, "Platform.Address": storeAddr, "Limits.MemoryMb": "284", "Limits.MaxFds": fmt.Sprint(descriptors),
	}
	return p, l.start(p, "masticwing-gateway", "deploy/gateway.ini", f, descriptors)
}

// StartLoader starts the loader beside an engine, with the limits of a side machine of buoycheck-fleet.
func (l *Lab) StartLoader(name, zone, storeAddr, engine, service string) (*Proc, error) {
	internal := FreeAddr()
	ip, port, _ := net.SplitHostPort(internal)
	p := &Proc{Name: name}
	f := Fields{
		"NodeName": name, "Ip": ip, "Zone": zone, "Zones": "a=ra,b=rb", "InternalPorts.0": port, "Platform.Address": storeAddr,
		"app": engine, "Service": service, "Limits.MemoryMb": "152", "Limits.LinkMbps": "7.6",
	}
	return p, l.start(p, "masticwing-loader", "deploy/loader.ini", f, 2048)
}

func (l *Lab) start(p *Proc, binary, template string, f Fields, descriptors int) error {
	for k, v := range bounds {
		f[k] = v
	}
	b, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	p.Admin = FreeAddr()
	text := strings.ReplaceAll(string(b), "{{Ip}}:9100", p.Admin)
	path := filepath.Join(l.Dir, p.Name+".ini")
	if err := os.WriteFile(path, []byte(render(text, f)), 0o600); err != nil {
		return err
	}
	l.mu.Lock()
	l.procs = append(l.procs, p)
	l.mu.Unlock()
	p.binary, p.settings, p.descriptors = binary, path, descriptors
	return l.Run(p)
}

// Run starts the process, also once more after its end. It may open as many descriptors as its machine has.
func (l *Lab) Run(p *Proc) error {
	out, err := os.OpenFile(filepath.Join(l.Dir, p.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	p.cmd = exec.Command("/bin/sh", "-c", fmt.Sprintf("ulimit -n %d && exec target/%s run", p.descriptors, p.binary))
	p.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MASTICWING_CONFIG=" + p.settings}
	p.cmd.Stdout, p.cmd.Stderr = out, out
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	go func() {
		_ = p.cmd.Wait()
		_ = out.Close()
		close(done)
	}()
	l.Logf("%s: started as process %d", p.Name, p.cmd.Process.Pid)
	return nil
}

// Signal sends a signal to the process.
func (p *Proc) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Done is closed at the end of the process.
func (p *Proc) Done() <-chan struct{} { return p.done }

// Running reports whether the process runs.
func (p *Proc) Running() bool {
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

// Kill kills the process and waits for its end.
func (p *Proc) Kill() {
	if p.cmd == nil || p.done == nil {
		return
	}
	p.Signal(syscall.SIGKILL)
	<-p.done
}

// MemoryKB returns the peak of the resident memory of the process in kB, as its status file states it.
func (p *Proc) MemoryKB() (now, peak int) {
	b, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(b), "\n") {
		_, _ = fmt.Sscanf(line, "VmRSS: %d kB", &now)
		_, _ = fmt.Sscanf(line, "VmHWM: %d kB", &peak)
	}
	return now, peak
}

// Descriptors returns the number of descriptors that the process has open.
func (p *Proc) Descriptors() int {
	es, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(es)
}

// Log returns what the process has written.
func (l *Lab) Log(p *Proc) string {
	b, _ := os.ReadFile(filepath.Join(l.Dir, p.Name+".log"))
	return string(b)
}

// AwaitReady waits until the gateway answers the platform's question with 200.
func (p *Proc) AwaitReady(within time.Duration) error {
	for start := time.Now(); time.Since(start) < within; time.Sleep(50 * time.Millisecond) {
		if p.ReadyStatus() == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready within %v", p.Name, within)
}

// ReadyStatus asks like the platform does, and returns the status, or zero for no answer within a second.
func (p *Proc) ReadyStatus() int {
	c := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	res, err := c.Get("http://" + p.Ready + "/ready")
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode
}

// Object is a JSON object.
type Object = map[string]any

// Config writes a configuration.
func (l *Lab) Config(version int, routes, services, tenants []Object) {
	c := Object{
		"Version": version, "Routes": routes, "Services": services,
		"Limits": Object{"HeaderBytes": 16384, "BodyBytes": 4194304, "HeaderTimeoutMs": 3000, "IdleTimeoutMs": 15000},
	}
	if tenants != nil {
		c["Tenants"] = tenants
	}
	l.Store.Put("op/config", c)
	b, _ := json.Marshal(c)
	l.Logf("configuration %d acknowledged: %s", version, b)
}
