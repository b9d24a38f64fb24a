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

func in(key string, vs ...string) Selector { return Selector{{Key: key, Op: In, Values: vs}} }

func valid() *Declaration {
	lim := Limits{MaxRequests: 8, MaxBytes: 1 << 20, ColdRequests: 1, RampStep: time.Second}
	return &Declaration{
		Groups:   map[fleet.Group]Group{"g": {VMs: in("pool", "model"), Labels: Labels{"tier": "main"}, Limits: lim}},
		Models:   map[fleet.Model]Model{"m": {Labels: Labels{"family": "f"}, Versions: map[string]fleet.Version{"v1": digest}}},
		Rules:    []Rule{{Name: "r", Groups: in("tier", "main"), Models: in("family", "f"), Version: "v1"}},
		Services: map[fleet.Service]Service{"s": {VMs: in("pool", "status"), Limits: lim}},
		VMs:      map[fleet.VM]VM{}, Domains: map[fleet.Domain]Domain{"a": {Region: "r1"}},
	}
}

func labels(t *rapid.T) Labels {
	return rapid.MapOf(rapid.SampledFrom([]string{"x", "y", "z"}), rapid.SampledFrom([]string{"1", "2"})).Draw(t, "labels")
}

func requirement(t *rapid.T, op Op) Requirement {
	key := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "key")
	return Requirement{key, op, rapid.SliceOfN(rapid.SampledFrom([]string{"1", "2", "3"}), 1, 2).Draw(t, "values")}
}

// TestSelectorLaws guards against an operator and its opposite that both match
// a machine or both miss it, and against a requirement that widens a selector.
func TestSelectorLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := labels(t)
		r := requirement(t, In)
		for op, not := range map[Op]Op{In: NotIn, Exists: NotExists} {
			a, b := r, r
			a.Op, b.Op = op, not
			if (Selector{a}).Matches(l) == (Selector{b}).Matches(l) {
				t.Fatalf("%v and its opposite agree on %v", a, l)
			}
		}
		s := Selector{r}
		more := append(slices.Clone(s), requirement(t, Op(rapid.IntRange(0, 3).Draw(t, "op"))))
		if more.Matches(l) && !s.Matches(l) {
			t.Fatalf("%v matches %v but %v does not", more, l, s)
		}
	})
}

// TestAssignLaws guards against an assignment that differs between processes,
// a machine with two jobs, and an implicit label that a machine can override.
func TestAssignLaws(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := valid()
		for _, n := range []fleet.Group{"a", "b", "c"} {
			d.Groups[n] = Group{VMs: Selector{requirement(t, Op(rapid.IntRange(0, 3).Draw(t, "op")))}}
		}
		m := Machine{VM: "vm1", Domain: "a", Labels: labels(t)}
		m.Labels[LabelDomain] = "forged"
		a := d.Assign(m)
		if !a.Equal(d.Assign(m)) {
			t.Fatal("not deterministic")
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

// TestValidateFindsAll guards against a declaration that the daemons cannot
// act on and against faults reported one at a time.
func TestValidateFindsAll(t *testing.T) {
	if fs := Validate(valid()); len(fs) > 0 {
		t.Fatalf("faults in a valid declaration: %v", fs)
	}
	d := valid()
	d.Customers = map[fleet.Customer]Customer{"c": {Share: 0, MaxQueued: 1, MaxBytes: 1}}
	d.Domains["b"] = Domain{}
	d.Models["m2"] = Model{Labels: Labels{"family": "f"}, Versions: map[string]fleet.Version{"v1": "xyz"}}
	d.Rules = append(d.Rules,
		Rule{Name: "r2", Groups: in("tier", "main"), Models: in("family", "none"), Version: "v1"},
		Rule{Name: "r3", Groups: in("tier", "low"), Models: in("family", "f"), Version: "v9"})
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

// TestDiffAndRefuse guards against a change that silently takes the last
// machine or the version from a group.
func TestDiffAndRefuse(t *testing.T) {
	ms := []Machine{
		{VM: "w2", Domain: "a", Labels: Labels{"pool": "model"}},
		{VM: "w1", Domain: "a", Labels: Labels{"pool": "model"}},
		{VM: "s1", Domain: "a", Labels: Labels{"pool": "status"}},
	}
	before, after := valid(), valid()
	after.VMs["w1"] = VM{OutOfService: true}
	diff := Diff(before, after, ms)
	if len(diff) != 1 || diff[0].Machine.VM != "w1" || !diff[0].New.Cordoned {
		t.Errorf("diff = %+v", diff)
	}
	if r := RejectionReasons(before, after, ms); len(r) != 0 {
		t.Errorf("refused: %v", r)
	}
	after.VMs["w2"], after.VMs["s1"] = VM{OutOfService: true}, VM{OutOfService: true}
	after.Rules = nil
	if r := RejectionReasons(before, after, ms); len(r) != 3 {
		t.Errorf("refused for %v, want 3 reasons", r)
	}
	if len(Diff(nil, before, ms)) != 3 {
		t.Error("first declaration changes no machine")
	}
}
