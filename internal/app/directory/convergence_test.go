package directory

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/app/ctl"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/standin/platform"
)

const (
	fleetSize = 30
	// inForce is the bound of the design for a change.
	changeDeadline = 7 * time.Second
)

// TestChangeReachesAll guards against a change that does not reach every
// process in time: in an ordinary fleet, before and after an outage of the
// platform, with lost answers, and against members that do not find each other.
func TestChangeReachesAll(t *testing.T) {
	w := newTestFleet(t, fleetSize)
	rev := w.writeRevision()
	w.waitFor("first declaration", changeDeadline, all, hasRevision(rev))
	w.waitFor("all members known", changeDeadline, all, seesMembers(fleetSize))
	for range 3 {
		w.waitFor("change", changeDeadline, all, hasRevision(w.writeRevision()))
	}

	w.setFaults(platform.Faults{Hang: true})
	time.Sleep(3 * time.Second)
	w.waitFor("kept while the platform hangs", time.Second, all, hasRevision(w.doc.Revision))
	w.setFaults(platform.Faults{Down: true})
	time.Sleep(time.Second)
	w.setFaults(platform.Faults{})
	w.waitFor("change after the outage", changeDeadline, all, hasRevision(w.writeRevision()))

	rev = w.writeRevision()
	w.waitForFirst(rev)
	w.setFaults(platform.Faults{Down: true})
	w.waitFor("change while the platform goes down", changeDeadline, all, hasRevision(rev))
	w.setFaults(platform.Faults{LoseWriteAnswers: 1})
	w.waitFor("change with a lost answer", changeDeadline, all, hasRevision(w.writeRevision()))
	w.setFaults(platform.Faults{StaleReads: true, DelayMillis: 300})
	w.waitFor("change with a slow platform that answers from the past", changeDeadline, all, hasRevision(w.writeRevision()))
	w.setFaults(platform.Faults{})
	w.restorePreviousRevision()
	time.Sleep(time.Second)
	w.waitFor("kept although the platform lost a change", time.Second, all, hasRevision(w.doc.Revision))
	w.waitFor("change after that", changeDeadline, all, hasRevision(w.writeRevision()))
	w.waitFor("age confirmed", changeDeadline, all, func(n *node) bool {
		_, age := n.Directory.Declaration()
		return age >= 0 && age < changeDeadline
	})
}

// TestPartitionHeals guards against a cut-off domain that goes back or stops,
// that is not noticed, and that does not join again; and against members of
// the own side that vanish when it heals.
func TestPartitionHeals(t *testing.T) {
	w := newTestFleet(t, fleetSize)
	w.waitFor("first declaration", changeDeadline, all, hasRevision(w.writeRevision()))
	w.waitFor("all members known", changeDeadline, all, seesMembers(fleetSize))
	before := w.doc.Revision

	w.cutDomain.Store(fleet.Domain("b"))
	rev := w.writeRevision()
	w.waitFor("change outside of the cut", changeDeadline, outsideDomain("b"), hasRevision(rev))
	w.waitFor("cut-off members taken out", 30*time.Second, outsideDomain("b"), seesMembers(20))
	w.waitFor("cut-off domain takes the others out", 30*time.Second, inDomain("b"), seesMembers(10))
	w.waitFor("cut-off domain keeps its revision", time.Second, inDomain("b"), hasRevision(before))

	least := fleetSize
	w.cutDomain.Store(fleet.Domain(""))
	w.waitFor("change after healing", changeDeadline, inDomain("b"), hasRevision(rev))
	w.waitFor("members join again", 15*time.Second, all, func(n *node) bool {
		if n.cfg.Self.Domain != "b" {
			least = min(least, len(n.Directory.Members(fleet.KindEntry))+len(n.Directory.Members(fleet.KindAgent)))
		}
		return seesMembers(fleetSize)(n)
	})
	if least < 20 {
		t.Errorf("a process saw only %d members while the partition healed, want its own side of 20", least)
	}
	time.Sleep(4 * time.Second)
	w.waitFor("members stay", changeDeadline, all, seesMembers(fleetSize))
}

// TestStartWithoutPlatform guards against a process that serves nothing
// although a seed holds the declaration, or that serves without one.
func TestStartWithoutPlatform(t *testing.T) {
	w := newTestFleet(t, 3)
	w.waitFor("first declaration", changeDeadline, all, hasRevision(w.writeRevision()))
	w.setFaults(platform.Faults{Hang: true})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	withSeed, lis := w.node(3, []fleet.Address{w.nodes[0].cfg.Self.Address})
	withoutSeed, _ := w.node(4, nil)
	w.goUntilEnd(func() { _ = withSeed.server.Serve(ctx, lis) })
	w.goUntilEnd(func() { withSeed.Run(ctx) })
	w.goUntilEnd(func() { withoutSeed.Run(ctx) })
	select {
	case <-withSeed.Ready():
	case <-time.After(4 * time.Second):
		t.Fatalf("not ready with a seed: %s", withSeed.NotReadyReason())
	}
	if !hasRevision(w.doc.Revision)(withSeed) {
		t.Errorf("ready with revision %d", withSeed.rev.Revision())
	}
	select {
	case <-withoutSeed.Ready():
		t.Error("ready without a declaration")
	case <-time.After(500 * time.Millisecond):
	}
	if withoutSeed.NotReadyReason() == "" {
		t.Error("no reason is given")
	}
	w.setFaults(platform.Faults{})
	select {
	case <-withoutSeed.Ready():
	case <-time.After(5 * time.Second):
		t.Error("not ready after the platform returned")
	}
}

// TestStateSpreads guards against a leaving or cordoned member that others
// hear of late, and against load changes that flood the exchanges.
func TestMemberStateSpreads(t *testing.T) {
	w := newTestFleet(t, 12)
	w.waitFor("first declaration", changeDeadline, all, hasRevision(w.writeRevision()))
	w.waitFor("all members known", changeDeadline, all, seesMembers(12))
	n := w.nodes[5]
	v0 := n.table.Self().Version
	for i := range 200 {
		n.UpdateSelf(func(r *port.MemberRecord) {
			r.Status = &port.AgentStatus{VM: "x", Load: port.Load{InFlight: i}}
		})
	}
	if v := n.table.Self().Version; v > v0+2 {
		t.Errorf("200 changes of load made %d versions", v-v0)
	}
	n.UpdateSelf(func(r *port.MemberRecord) { r.State = port.MemberLeaving })
	w.waitFor("leaving known", 3*time.Second, all, func(o *node) bool {
		for _, r := range o.Directory.Members(n.cfg.Self.Kind) {
			if r.ID == n.cfg.Self.ID {
				return r.State == port.MemberLeaving && r.Status != nil && r.Status.VM == "x"
			}
		}
		return false
	})
}

// TestSteadyTraffic guards against exchanges that cost more than the design
// allows when nothing changes.
func TestSteadyTraffic(t *testing.T) {
	w := newTestFleet(t, fleetSize)
	w.waitFor("first declaration", changeDeadline, all, hasRevision(w.writeRevision()))
	w.waitFor("all members known", changeDeadline, all, seesMembers(fleetSize))
	time.Sleep(20 * time.Second)
	bytes := func() (sum int64) {
		for _, n := range w.nodes {
			all := n.client.Meter.Counts()[0] // shared with the server; the first kind is the connections'
			sum += all.In + all.Out
		}
		return sum
	}
	before, window := bytes(), 5*time.Second
	time.Sleep(window)
	rate := float64(bytes()-before) / window.Seconds() / fleetSize
	t.Logf("%.0f B/s per process, both ways, as client and as server", rate)
	if rate > 3000 {
		t.Errorf("%.0f B/s per process, want at most 3000", rate)
	}
}

// TestCommand guards against a change or cordon that operators make with the
// command and that is not in force, or not shown to be, within the bounds.
func TestCtlCommands(t *testing.T) {
	w := newTestFleet(t, fleetSize)
	w.waitFor("all members known", changeDeadline, all, seesMembers(fleetSize))
	file := filepath.Join(t.TempDir(), "main.ini")
	text := "[domain a]\nregion=r\n[domain b]\nregion=r\n[service s]\nvms=pool=model\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	ctl := func(args ...string) (int, map[string]any) {
		var out bytes.Buffer
		peers := string(w.nodes[0].cfg.Self.Address) + "," + string(w.nodes[29].cfg.Self.Address)
		args = append(append([]string{"masticwingctl"}, args...), "--output", "json",
			"--platform", strings.TrimPrefix(w.url, "http://"), "--peer", peers)
		code := ctl.Main(context.Background(), ctl.Deps{
			KV: func(fleet.Address) port.KV { return w.kv }, Members: w.nodes[0].client,
			Clock: sysclock.Clock{}, Rand: sysclock.Rand{}, Out: &out, Err: &out,
		}, args)
		v := map[string]any{}
		if err := json.Unmarshal(out.Bytes(), &v); err != nil {
			t.Errorf("%v: exit %d: %s", args, code, out.String())
		}
		return code, v
	}
	for _, args := range [][]string{{"apply", file, "--wait"}, {"cordon", "domain", "b", "--wait"}, {"apply", file, "--wait"}} {
		code, v := ctl(args...)
		if code != 0 {
			t.Fatalf("%v: exit %d: %v", args, code, v)
		}
		seconds := v["wait"].(map[string]any)["seconds"].(float64)
		t.Logf("%s shown in force everywhere after %.2f s", args[0], seconds)
		w.waitFor("in force when the command returns", 0, all, hasRevision(uint64(v["revision"].(float64))))
		if args[0] == "cordon" && seconds > 3 {
			t.Errorf("cordon took %v s, want at most 3", seconds)
		}
	}
	for _, n := range w.nodes {
		if d, _ := n.Directory.Declaration(); !d.Cordoned("b", "x") || d.Cordoned("a", "x") {
			t.Errorf("%s: apply changed the cordons", n.cfg.Self.ID)
		}
	}
}
