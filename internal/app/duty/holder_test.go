package duty

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/masticwing/masticwing/internal/adapter/logging"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/port/porttest"
)

type noMetrics struct{}

func (noMetrics) Count(string, int64, ...port.Attr)           {}
func (noMetrics) Seconds(string, time.Duration, ...port.Attr) {}
func (noMetrics) Gauge(string, float64, ...port.Attr)         {}

// clock is the system clock with steps of either clock.
type clock struct {
	sysclock.Clock
	mu         sync.Mutex
	wall, boot time.Duration
}

func (c *clock) Now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.Now().Add(c.wall)
}

func (c *clock) SinceBoot() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Clock.SinceBoot() + c.boot
}

func (c *clock) step(wall, boot time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wall, c.boot = c.wall+wall, c.boot+boot
}

// sent is a call of a process.
type sent struct {
	by    *process
	token int64
	at    time.Time
}

// deployment is some processes with one store and a record of their calls.
type deployment struct {
	t     *testing.T
	store *porttest.Store
	mu    sync.Mutex
	calls []sent
}

func newDeployment(t *testing.T) *deployment {
	t.Parallel()
	return &deployment{t: t, store: porttest.NewTimedStore()}
}

// process is one process, which performs one duty: a call every 20 ms.
type process struct {
	d     *deployment
	link  *porttest.StoreLink
	clock *clock
	stop  func()
	// during is called within each call, if set.
	mu     sync.Mutex
	during func(ctx context.Context, t Tenure)
}

func (d *deployment) start(name string) *process {
	p := &process{d: d, link: &porttest.StoreLink{Store: d.store}, clock: &clock{}}
	h := NewHolder(Settings{CallsPerSecond: 1000, ReturnInterval: 3 * time.Second}, Deps{
		Store: p.link, Prefix: "duties/", Name: name, Domain: "a", Candidates: func() []string { return []string{"g1", "g2"} },
		Clock: p.clock, Rand: sysclock.Rand{}, Metrics: noMetrics{}, Log: logging.New(io.Discard, "masticwing-gateway", name),
	}, []Work{p})
	ctx, cancel := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	wg.Go(func() { h.Run(ctx) })
	p.stop = func() { cancel(); wg.Wait() }
	d.t.Cleanup(p.stop)
	return p
}

func (p *process) Name() string { return "test" }

func (p *process) Run(ctx context.Context, t Tenure) {
	for ctx.Err() == nil {
		_ = t.Call(ctx, func(ctx context.Context, c port.DutyCredentials) error {
			p.d.mu.Lock()
			p.d.calls = append(p.d.calls, sent{p, c.Token, time.Now()})
			p.d.mu.Unlock()
			p.mu.Lock()
			f := p.during
			p.mu.Unlock()
			if f != nil {
				f(ctx, t)
			}
			return nil
		})
		select {
		case <-ctx.Done():
		case <-time.After(20 * time.Millisecond):
		}
	}
}

func (p *process) setDuring(f func(ctx context.Context, t Tenure)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.during = f
}

// await waits for a call of p after the time since, and fails the test after timeout.
func (d *deployment) await(p *process, since time.Time, timeout time.Duration) sent {
	d.t.Helper()
	for end := time.Now().Add(timeout); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if c, ok := d.last(); ok && c.by == p && c.at.After(since) {
			return c
		}
	}
	d.t.Fatalf("the process makes no call within %v", timeout)
	return sent{}
}

func (d *deployment) last() (sent, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.calls) == 0 {
		return sent{}, false
	}
	return d.calls[len(d.calls)-1], true
}

// pair starts two processes, of which the first is the holder.
func (d *deployment) pair() (first, second *process, c sent) {
	d.t.Helper()
	first = d.start("g1")
	c = d.await(first, time.Time{}, 5*time.Second)
	return first, d.start("g2"), c
}

// takenOver fails the test unless second takes over from the holder of c, with a higher token.
func (d *deployment) takenOver(second *process, c sent) {
	d.t.Helper()
	if n := d.await(second, time.Now(), 10*time.Second); n.token <= c.token {
		d.t.Errorf("the new holder has token %d after %d", n.token, c.token)
	}
	d.checkOrder()
}

// checkOrder fails the test if a process makes a call with a lower token than an earlier call, or with that of
// another process.
func (d *deployment) checkOrder() {
	d.t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, c := range d.calls[1:] {
		if before := d.calls[i]; c.token < before.token || c.token == before.token && c.by != before.by {
			d.t.Fatalf("token %d follows token %d", c.token, before.token)
		}
	}
}

// TestSuspendedHolderDoesNotSend guards against a call that a VM sends after a suspension in which its lease has
// ended: timers stand still meanwhile.
func TestSuspendedHolderDoesNotSend(t *testing.T) {
	d := newDeployment(t)
	first, second, c := d.pair()
	checked := make(chan error, 1)
	first.setDuring(func(ctx context.Context, _ Tenure) {
		first.setDuring(nil)
		first.link.Cut(true, true)
		first.clock.step(0, 5*time.Second)
		checked <- port.CheckSend(ctx)
	})
	if err := <-checked; !errors.Is(err, ErrTenureOver) {
		t.Errorf("a call may be sent after the suspension: %v", err)
	}
	d.takenOver(second, c)
}

// TestHolderWithoutAnswers guards against a holder that keeps its lease by renewals whose answers are lost, and
// against one that goes on without knowing that it has the lease.
func TestHolderWithoutAnswers(t *testing.T) {
	d := newDeployment(t)
	first, second, c := d.pair()
	first.link.Cut(false, true)
	d.takenOver(second, c)
}

// TestHolderIsLostDuringACall guards against a new holder that repeats the token of a call without an answer.
func TestHolderIsLostDuringACall(t *testing.T) {
	d := newDeployment(t)
	first, second, c := d.pair()
	lost := make(chan struct{})
	first.setDuring(func(ctx context.Context, _ Tenure) {
		first.setDuring(nil)
		first.link.Cut(true, true)
		close(lost)
		<-ctx.Done()
	})
	<-lost
	d.takenOver(second, c)
}

// TestLostAnswersOfElections guards against a process that does not know that it was elected, since the answer was
// lost, and keeps the duties without performing them.
func TestLostAnswersOfElections(t *testing.T) {
	d := newDeployment(t)
	p := &porttest.StoreLink{Store: d.store}
	first := d.start("g1")
	first.link.Cut(false, true)
	time.Sleep(300 * time.Millisecond)
	first.link.Cut(false, false)
	d.await(first, time.Time{}, 10*time.Second)
	if items, _, err := p.List(context.Background(), "duties/"); err != nil || len(items) != 2 {
		t.Errorf("the store has %v, %v", items, err)
	}
}

// TestStoreOutage guards against a holder that goes on during an outage of the store, and against duties that
// nobody performs after it.
func TestStoreOutage(t *testing.T) {
	d := newDeployment(t)
	_, _, c := d.pair()
	d.store.SetUnavailable(true)
	began := time.Now()
	time.Sleep(10 * time.Second)
	if last, _ := d.last(); last.at.Sub(began) > 2*time.Second {
		t.Errorf("last call %v after the begin of the outage", last.at.Sub(began))
	}
	d.store.SetUnavailable(false)
	returned := time.Now()
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if last, _ := d.last(); last.at.After(returned) && last.token > c.token {
			break
		}
		if time.Now().After(end) {
			t.Fatal("no holder after the outage")
		}
	}
	d.checkOrder()
}

// TestRestoredStore guards against tokens that fall after the store was restored from a copy without the last
// holder, and against a holder of the old era that goes on.
func TestRestoredStore(t *testing.T) {
	d := newDeployment(t)
	empty := d.store.Copy()
	first, _, c := d.pair()
	d.store.Restore(empty)
	restored := time.Now()
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if last, _ := d.last(); last.token != c.token {
			if last.token < 1<<32 || last.at.Sub(restored) < 2500*time.Millisecond {
				t.Errorf("token %d, %v after the restore", last.token, last.at.Sub(restored))
			}
			break
		}
		if time.Now().After(end) {
			t.Fatal("no holder after the restore")
		}
	}
	d.checkOrder()
	first.stop()
}

// TestSameName guards against two processes of one name that are both the holder, and against a restarted process
// that returns early.
func TestSameName(t *testing.T) {
	d := newDeployment(t)
	first := d.start("g1")
	c := d.await(first, time.Time{}, 5*time.Second)
	started := time.Now()
	second := d.start("g1")
	time.Sleep(500 * time.Millisecond)
	first.stop()
	if n := d.await(second, started, 10*time.Second); n.token <= c.token || n.at.Sub(started) < 3500*time.Millisecond {
		t.Errorf("token %d after %d, %v after the start", n.token, c.token, n.at.Sub(started))
	}
	d.checkOrder()
}

// TestClockSteps guards against steps of the wall clock that end a tenure or make it longer.
func TestClockSteps(t *testing.T) {
	d := newDeployment(t)
	first, _, c := d.pair()
	for _, step := range []time.Duration{30 * time.Second, -60 * time.Second} {
		first.clock.step(step, 0)
		time.Sleep(1500 * time.Millisecond)
		if n := d.await(first, time.Now(), 3*time.Second); n.token != c.token {
			t.Errorf("after a step of %v the token is %d, not %d", step, n.token, c.token)
		}
	}
}

// TestPlannedStopReleases guards against duties that wait for the end of a lease after a planned stop, and against a
// stop that gives up the last call, which may then arrive after one of the next holder.
func TestPlannedStopReleases(t *testing.T) {
	d := newDeployment(t)
	first, second, c := d.pair()
	time.Sleep(3700 * time.Millisecond) // until the second process may become the holder
	begun, ended := make(chan struct{}), make(chan error, 1)
	first.setDuring(func(ctx context.Context, _ Tenure) {
		first.setDuring(nil)
		close(begun)
		time.Sleep(200 * time.Millisecond)
		ended <- ctx.Err()
	})
	<-begun
	stopped := time.Now()
	first.stop()
	if err := <-ended; err != nil {
		t.Errorf("the last call was given up: %v", err)
	}
	if n := d.await(second, stopped, 5*time.Second); n.at.Sub(stopped) > 1500*time.Millisecond || n.token <= c.token {
		t.Errorf("token %d, %v after the stop", n.token, n.at.Sub(stopped))
	}
}

// TestCommitOfAHolder guards against writes of a process that is not the holder any more.
func TestCommitOfAHolder(t *testing.T) {
	d := newDeployment(t)
	first := d.start("g1")
	d.await(first, time.Time{}, 5*time.Second)
	results := make(chan error, 2)
	write := []port.StoreWrite{{Key: "duties/x", Value: []byte("1")}}
	first.setDuring(func(ctx context.Context, tn Tenure) {
		first.setDuring(nil)
		results <- tn.Commit(ctx, nil, write)
		d.store.Put("duties/holder", "{}")
		results <- tn.Commit(ctx, nil, write)
	})
	if err := <-results; err != nil {
		t.Errorf("the holder can't write: %v", err)
	}
	if err := <-results; err == nil {
		t.Error("a process writes that is not the holder")
	}
}

// TestStoreCallsAreBounded guards against an election that costs more store calls than stated.
func TestStoreCallsAreBounded(t *testing.T) {
	d := newDeployment(t)
	first, second, _ := d.pair()
	time.Sleep(time.Second)
	before := first.link.Calls() + second.link.Calls()
	time.Sleep(6 * time.Second)
	if n := first.link.Calls() + second.link.Calls() - before; n > 12 {
		t.Errorf("%d store calls in 6 s", n)
	}
}
