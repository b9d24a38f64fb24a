package declare

import (
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/masticwing/masticwing/internal/core/fleet"
)

var digest = fleet.Version(strings.Repeat("0a", 32))

func labelIn(key string, vs ...string) Selector { return Selector{{Key: key, Op: In, Values: vs}} }

func validDeclaration() *Declaration {
	limits := Limits{MaxRequests: 8, MaxBytes: 1 << 20, ColdRequests: 1, RampStep: time.Second}
	return &Declaration{
		Groups:   map[fleet.Group]Group{"g": {VMs: labelIn("pool", "model"), Labels: Labels{"tier": "main"}, Limits: limits}},
		Models:   map[fleet.Model]Model{"m": {Labels: Labels{"family": "f"}, Versions: map[string]fleet.Version{"v1": digest}}},
		Rules:    []Rule{{Name: "r", Groups: labelIn("tier", "main"), Models: labelIn("family", "f"), Version: "v1"}},
		Services: map[fleet.Service]Service{"s": {VMs: labelIn("pool", "status"), Limits: limits}},
		VMs:      map[fleet.VM]VM{}, Domains: map[fleet.Domain]Domain{"a": {Region: "r1"}},
	}
}

func drawLabels(t *rapid.T) Labels {
	return rapid.MapOf(rapid.SampledFrom([]string{"x", "y", "z"}), rapid.SampledFrom([]string{"1", "2"})).Draw(t, "labels")
}

func drawRequirement(t *rapid.T, op Op) Requirement {
	key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key")
	return Requirement{key, op, rapid.SliceOfN(rapid.SampledFrom([]string{"1", "2", "3"}), 1, 2).Draw(t, "values")}
}

// TestSelectorProperties guards against an operator and its negation that both
// match or both reject a label set, and against an added requirement that makes
// a selector match more.
func TestSelectorProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := drawLabels(t)
		r := drawRequirement(t, In)
		for op, negated := range map[Op]Op{In: NotIn, Exists: NotExists} {
			a, b := r, r
			a.Op, b.Op = op, negated
			if (Selector{a}).Matches(l) == (Selector{b}).Matches(l) {
				t.Fatalf("%v and its negation agree on %v", a, l)
			}
		}
		s := Selector{r}
		narrower := append(slices.Clone(s), drawRequirement(t, Op(rapid.IntRange(0, 3).Draw(t, "op"))))
		if narrower.Matches(l) && !s.Matches(l) {
			t.Fatalf("%v matches %v but %v does not", narrower, l, s)
		}
	})
}

// TestAssignProperties guards against assignments that differ between
// processes, a machine with two assignments, and a machine that overrides an
// implicit label.
func TestAssignProperties(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := validDeclaration()
		for _, n := range []fleet.Group{"a", "b", "c"} {
			d.Groups[n] = Group{VMs: Selector{drawRequirement(t, Op(rapid.IntRange(0, 3).Draw(t, "op")))}}
		}
		m := Machine{VM: "vm1", Domain: "a", Labels: drawLabels(t)}
		m.Labels[LabelDomain] = "forged"
		a := d.Assign(m)
		if !a.Equal(d.Assign(m)) {
			t.Fatal("assignment is not deterministic")
		}
		matching := 0
		for n, g := range d.Groups {
			if g.VMs.Matches(d.Labels(m)) {
				matching++
				if n < a.Group {
					t.Fatalf("group %s selected although %s matches", a.Group, n)
				}
			}
		}
		if matching > 0 && len(a.Conflicts) != matching-1 || a.Group != "" && a.Service != "" {
			t.Fatalf("assignment %+v with %d matching groups", a, matching)
		}
		if d.Labels(m)[LabelDomain] != "a" {
			t.Fatal("a machine overrode its failure domain")
		}
	})
}

// TestValidateReportsAllFaults guards against accepting a declaration that the
// daemons cannot apply, and against reporting only the first fault.
func TestValidateReportsAllFaults(t *testing.T) {
	if faults := Validate(validDeclaration()); len(faults) > 0 {
		t.Fatalf("faults in a valid declaration: %v", faults)
	}
	d := validDeclaration()
	d.Customers = map[fleet.Customer]Customer{"c": {Share: 0, MaxQueued: 1, MaxBytes: 1}}
	d.Domains["b"] = Domain{}
	d.Models["m2"] = Model{Labels: Labels{"family": "f"}, Versions: map[string]fleet.Version{"v1": "xyz"}}
	d.Rules = append(d.Rules,
		Rule{Name: "r2", Groups: labelIn("tier", "main"), Models: labelIn("family", "none"), Version: "v1"},
		Rule{Name: "r3", Groups: labelIn("tier", "low"), Models: labelIn("family", "f"), Version: "v9"})
	var got []string
	for _, f := range Validate(d) {
		got = append(got, f.Section+"/"+f.Key)
	}
	want := []string{"customer c/share", "domain b/region", "model m2/version.v1", "group g/",
		"serve r/models", "serve r2/models", "serve r3/version"}
	if !slices.Equal(got, want) {
		t.Errorf("faults %v, want %v", got, want)
	}
}

// TestDiffAndRejectionReasons guards against a change that silently removes the
// last machine or the version of a group.
func TestDiffAndRejectionReasons(t *testing.T) {
	machines := []Machine{
		{VM: "w2", Domain: "a", Labels: Labels{"pool": "model"}},
		{VM: "w1", Domain: "a", Labels: Labels{"pool": "model"}},
		{VM: "s1", Domain: "a", Labels: Labels{"pool": "status"}},
	}
	before, after := validDeclaration(), validDeclaration()
	after.VMs["w1"] = VM{OutOfService: true}
	diff := Diff(before, after, machines)
	if len(diff) != 1 || diff[0].Machine.VM != "w1" || !diff[0].New.Cordoned {
		t.Errorf("diff = %+v", diff)
	}
	if r := RejectionReasons(before, after, machines); len(r) != 0 {
		t.Errorf("unexpected rejection: %v", r)
	}
	after.VMs["w2"], after.VMs["s1"] = VM{OutOfService: true}, VM{OutOfService: true}
	after.Rules = nil
	if r := RejectionReasons(before, after, machines); len(r) != 3 {
		t.Errorf("rejected for %v, want 3 reasons", r)
	}
	if len(Diff(nil, before, machines)) != 3 {
		t.Error("the first declaration must change every machine")
	}
}
