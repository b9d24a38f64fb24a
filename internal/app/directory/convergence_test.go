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

	"github.com/masticwing/masticwing/internal/adapter/ctl"
	"github.com/masticwing/masticwing/internal/adapter/sysclock"
	"github.com/masticwing/masticwing/internal/core/fleet"
	"github.com/masticwing/masticwing/internal/port"
	"github.com/masticwing/masticwing/internal/standin/platform"
)

const (
	fleetSize = 30
	// changeDeadline is the design's bound for a change to reach all processes.
	changeDeadline = 7 * time.Second
)

// TestChangeReachesAll guards against changes that do not reach every process in
// time, with a healthy platform and with outages, lost responses, slow or stale
// reads and lost writes, and against members that do not find each other.
func TestChangeReachesAll(t *testing.T) {
	tf := newTestFleet(t, fleetSize)
	rev := tf.writeRevision()
	tf.waitFor("first declaration", changeDeadline, all, hasRevision(rev))
	tf.waitFor("all members known", changeDeadline, all, seesMembers(fleetSize))
	for range 3 {
		tf.waitFor("change", changeDeadline, all, hasRevision(tf.writeRevision()))
	}

	tf.setFaults(platform.Faults{Hang: true})
	time.Sleep(3 * time.Second)
	tf.waitFor("revision kept while the platform hangs", time.Second, all, hasRevision(tf.doc.Revision))
	tf.setFaults(platform.Faults{Down: true})
	time.Sleep(time.Second)
	tf.setFaults(platform.Faults{})
	tf.waitFor("change after the outage", changeDeadline, all, hasRevision(tf.writeRevision()))

	rev = tf.writeRevision()
	tf.waitForFirst(rev)
	tf.setFaults(platform.Faults{Down: true})
	tf.waitFor("change while the platform goes down", changeDeadline, all, hasRevision(rev))
	tf.setFaults(platform.Faults{LoseWriteAnswers: 1})
	tf.waitFor("change with a lost write response", changeDeadline, all, hasRevision(tf.writeRevision()))
	tf.setFaults(platform.Faults{StaleReads: true, DelayMillis: 300})
	tf.waitFor("change with a slow platform and stale reads", changeDeadline, all, hasRevision(tf.writeRevision()))
	tf.setFaults(platform.Faults{})
	tf.restorePreviousRevision()
	time.Sleep(time.Second)
	tf.waitFor("revision kept although the platform lost a change", time.Second, all, hasRevision(tf.doc.Revision))
	tf.waitFor("change after the loss", changeDeadline, all, hasRevision(tf.writeRevision()))
	tf.waitFor("age confirmed", changeDeadline, all, func(n *node) bool {
		_, age := n.Directory.Declaration()
		return age >= 0 && age < changeDeadline
	})
}

// TestPartitionHeals guards against a partitioned domain that reverts its
// declaration, is not detected or does not rejoin, and against a process that
// loses members of its own side while the partition heals.
func TestPartitionHeals(t *testing.T) {
	tf := newTestFleet(t, fleetSize)
	tf.waitFor("first declaration", changeDeadline, all, hasRevision(tf.writeRevision()))
	tf.waitFor("all members known", changeDeadline, all, seesMembers(fleetSize))
	before := tf.doc.Revision

	tf.cutDomain.Store(fleet.Domain("b"))
	rev := tf.writeRevision()
	tf.waitFor("change outside of the partition", changeDeadline, outsideDomain("b"), hasRevision(rev))
	tf.waitFor("partitioned members removed", 30*time.Second, outsideDomain("b"), seesMembers(20))
	tf.waitFor("partitioned domain removes the others", 30*time.Second, inDomain("b"), seesMembers(10))
	tf.waitFor("partitioned domain keeps its revision", time.Second, inDomain("b"), hasRevision(before))

	fewest := fleetSize
	tf.cutDomain.Store(fleet.Domain(""))
	tf.waitFor("change after healing", changeDeadline, inDomain("b"), hasRevision(rev))
	tf.waitFor("members join again", 15*time.Second, all, func(n *node) bool {
		if n.cfg.Self.Domain != "b" {
			fewest = min(fewest, len(n.Directory.Members(fleet.KindEntry))+len(n.Directory.Members(fleet.KindAgent)))
		}
		return seesMembers(fleetSize)(n)
	})
	if fewest < 20 {
		t.Errorf("a process saw only %d members while the partition healed, want its own side of 20", fewest)
	}
	time.Sleep(4 * time.Second)
	tf.waitFor("members stay joined", changeDeadline, all, seesMembers(fleetSize))
}

// TestStartWithoutPlatform guards against a process that does not become ready
// although a seed has the declaration, or that becomes ready without one.
func TestStartWithoutPlatform(t *testing.T) {
	tf := newTestFleet(t, 3)
	tf.waitFor("first declaration", changeDeadline, all, hasRevision(tf.writeRevision()))
	tf.setFaults(platform.Faults{Hang: true})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	withSeed, lis := tf.node(3, []fleet.Address{tf.nodes[0].cfg.Self.Address})
	withoutSeed, _ := tf.node(4, nil)
	tf.goUntilEnd(func() { _ = withSeed.server.Serve(ctx, lis) })
	tf.goUntilEnd(func() { withSeed.Run(ctx) })
	tf.goUntilEnd(func() { withoutSeed.Run(ctx) })
	select {
	case <-withSeed.Ready():
	case <-time.After(4 * time.Second):
		t.Fatalf("not ready with a seed: %s", withSeed.NotReadyReason())
	}
	if !hasRevision(tf.doc.Revision)(withSeed) {
		t.Errorf("ready with revision %d, want that of the seed", withSeed.rev.Revision())
	}
	select {
	case <-withoutSeed.Ready():
		t.Error("ready without a declaration")
	case <-time.After(500 * time.Millisecond):
	}
	if withoutSeed.NotReadyReason() == "" {
		t.Error("no reason for not being ready")
	}
	tf.setFaults(platform.Faults{})
	select {
	case <-withoutSeed.Ready():
	case <-time.After(5 * time.Second):
		t.Error("not ready after the platform returned")
	}
}

// TestMemberStateSpreads guards against member state changes that reach others
// late, and against frequent load changes that flood the exchanges.
func TestMemberStateSpreads(t *testing.T) {
	tf := newTestFleet(t, 12)
	tf.waitFor("first declaration", changeDeadline, all, hasRevision(tf.writeRevision()))
	tf.waitFor("all members known", changeDeadline, all, seesMembers(12))
	n := tf.nodes[5]
	v0 := n.table.Self().Version
	for i := range 200 {
		n.UpdateSelf(func(r *port.MemberRecord) {
			r.Status = &port.AgentStatus{VM: "x", Load: port.Load{InFlight: i}}
		})
	}
	if v := n.table.Self().Version; v > v0+2 {
		t.Errorf("200 load changes published %d versions of the record", v-v0)
	}
	n.UpdateSelf(func(r *port.MemberRecord) { r.State = port.MemberLeaving })
	tf.waitFor("leaving known", 3*time.Second, all, func(o *node) bool {
		for _, r := range o.Directory.Members(n.cfg.Self.Kind) {
			if r.ID == n.cfg.Self.ID {
				return r.State == port.MemberLeaving && r.Status != nil && r.Status.VM == "x"
			}
		}
		return false
	})
}

// TestSteadyTraffic guards against exchanges that use more bandwidth than the
// design allows while nothing changes.
func TestSteadyTraffic(t *testing.T) {
	tf := newTestFleet(t, fleetSize)
	tf.waitFor("first declaration", changeDeadline, all, hasRevision(tf.writeRevision()))
	tf.waitFor("all members known", changeDeadline, all, seesMembers(fleetSize))
	time.Sleep(20 * time.Second)
	bytes := func() (sum int64) {
		for _, n := range tf.nodes {
			all := n.client.Meter.Counts()[0] // the meter is shared with the server; the first kind counts whole connections
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

// TestCtlCommands guards against masticwingctl changes and cordons that are not
// in force everywhere, or not reported as such, within the bounds.
func TestCtlCommands(t *testing.T) {
	tf := newTestFleet(t, fleetSize)
	tf.waitFor("all members known", changeDeadline, all, seesMembers(fleetSize))
	file := filepath.Join(t.TempDir(), "main.ini")
	text := "[domain a]\nregion=r\n[domain b]\nregion=r\n[service s]\nvms=pool=model\n"
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	ctl := func(args ...string) (int, map[string]any) {
		var out bytes.Buffer
		peers := string(tf.nodes[0].cfg.Self.Address) + "," + string(tf.nodes[29].cfg.Self.Address)
		args = append(append([]string{"masticwingctl"}, args...), "--output", "json",
			"--platform", strings.TrimPrefix(tf.url, "http://"), "--peer", peers)
		code := ctl.Main(context.Background(), ctl.Deps{
			KV: func(fleet.Address) port.KV { return tf.kv }, Members: tf.nodes[0].client,
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
		tf.waitFor("in force when the command returns", 0, all, hasRevision(uint64(v["revision"].(float64))))
		if args[0] == "cordon" && seconds > 3 {
			t.Errorf("cordon took %v s, want at most 3", seconds)
		}
	}
	for _, n := range tf.nodes {
		if d, _ := n.Directory.Declaration(); !d.Cordoned("b", "x") || d.Cordoned("a", "x") {
			t.Errorf("%s: apply changed the cordons", n.cfg.Self.ID)
		}
	}
}
