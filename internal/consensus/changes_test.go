package consensus

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestDraw(t *testing.T) {
	var list []Candidate
	for _, x := range []string{"a1 A", "a2 A", "a3 A", "b1 B", "b2 B", "c1 C"} {
		name, zone, _ := strings.Cut(x, " ")
		list = append(list, Candidate{Name: name, Zone: zone})
	}
	for count, want := range []string{
		"", "a1", "a1 b1", "a1 b1 c1", "a1 b1 c1 a2", "a1 b1 c1 a2 b2", "a1 b1 c1 a2 b2 a3", "a1 b1 c1 a2 b2 a3",
	} {
		var got []string
		for _, c := range SelectVoters(list, count) {
			got = append(got, c.Name)
		}
		if strings.Join(got, " ") != want {
			t.Errorf("%d: %v, want %s", count, got, want)
		}
	}
}

// TestFounding has members look at each other in any order, lose their folders, and miss answers: one founding only
// ever gets most of the numbers that it names.
func TestFounding(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters")
		var list []Candidate
		at := make([]memberStatus, count)
		next := uint64(1)
		for i := range count {
			list = append(list, Candidate{Name: fmt.Sprint("m", i)})
			at[i] = memberStatus{Name: list[i].Name, ID: next}
			next++
		}
		all := map[uint64]bootstrap{}
		lost := 0
		look := func(i int, deaf []bool) {
			if at[i].Bootstrap.ID != 0 {
				return
			}
			said := map[string]memberStatus{}
			for j := range at {
				if j != i && !deaf[j] {
					said[at[j].Name] = at[j]
				}
			}
			if s := decideBootstrap("c", list, at[i].Name, at[i].ID, said); s.Begin != nil {
				at[i].Bootstrap = *s.Begin
				all[s.Begin.ID] = *s.Begin
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, count-1).Draw(t, "who")
			if rapid.IntRange(0, 9).Draw(t, "lose") == 0 && lost < count/2 {
				lost++
				at[i], next = memberStatus{Name: at[i].Name, ID: next}, next+1
			}
			look(i, rapid.SliceOfN(rapid.Bool(), count, count).Draw(t, "deaf"))
		}
		checkBootstraps(t, all, at)
		if lost == 0 {
			for range 2 {
				for i := range at {
					look(i, make([]bool, count))
				}
			}
			if len(all) != 1 || slices.ContainsFunc(at, func(s memberStatus) bool { return s.Bootstrap.ID == 0 }) {
				t.Fatalf("%d foundings, %+v", len(all), at)
			}
		}
	})
}

// checkBootstraps fails if two bootstraps have most of the voters that they name.
func checkBootstraps(t *rapid.T, all map[uint64]bootstrap, members []memberStatus) {
	alive := 0
	for _, b := range all {
		has := 0
		for _, s := range members {
			if s.Bootstrap.ID == b.ID {
				has++
			}
		}
		if has > len(members)/2 {
			alive++
		}
		if len(b.Voters) != len(members) {
			t.Fatalf("founded with %d of %d", len(b.Voters), len(members))
		}
	}
	if alive > 1 {
		t.Fatalf("%d foundings have most of their voters", alive)
	}
}

func TestDecide(t *testing.T) {
	v := func(want int, seats ...memberView) membershipView {
		for i := range seats {
			if seats[i].ID == 0 {
				seats[i].ID = uint64(i + 1)
			}
		}
		return membershipView{Self: 1, TargetVoters: want, ReplaceAfter: 100, Members: seats}
	}
	voter := func(quiet int) memberView { return memberView{Voter: true, CaughtUp: true, SilentTicks: quiet} }
	learner := func(of uint64, even bool, quiet int) memberView {
		return memberView{member: member{Replaces: of}, CaughtUp: even, SilentTicks: quiet}
	}
	order := func(x membershipView, of uint64, force bool) membershipView {
		x.Requests = []memberRequest{{Member: member{ID: 9, Replaces: of}, ByOperator: force}}
		return x
	}
	again := order(v(3, voter(0), voter(0), voter(500), learner(3, false, 5)), 3, false)
	again.Members[3].Name, again.Requests[0].Member.Name = "c", "c"
	joint := order(v(3, voter(0), voter(0), voter(500)), 3, true)
	joint.ChangePending = true
	change := func(kind changeKind, id, replaces uint64) membershipChange {
		return membershipChange{Kind: kind, Member: member{ID: id, Replaces: replaces}}
	}
	named := change(removeMember, 4, 3)
	named.Member.Name = "c"
	none := membershipChange{}
	for _, c := range []struct {
		what string
		view membershipView
		want membershipChange
	}{
		{"all well", v(3, voter(0), voter(2), voter(3)), none},
		{"silent for long", v(3, voter(0), voter(99), voter(100)), change(findCandidate, 0, 3)},
		{"one at a time", v(3, voter(0), voter(500), voter(500), learner(3, false, 0)), none},
		{"a change is under way", joint, none},
		{"even learner", v(3, voter(0), voter(0), voter(500), learner(3, true, 0)), change(promoteLearner, 4, 3)},
		{"learner not heard of", v(3, voter(0), voter(0), voter(500), learner(3, true, 50)), none},
		{"learner gone", v(3, voter(0), voter(0), voter(500), learner(3, true, 401)), change(removeMember, 4, 3)},
		{"learner that lost its folder", again, named},
		{"learner for nobody", v(3, voter(0), voter(0), voter(0), learner(0, true, 0)), change(removeMember, 4, 0)},
		{"too few", v(3, voter(0), voter(0)), change(findCandidate, 0, 0)},
		{"learner for too few", v(3, voter(0), voter(0), learner(0, true, 0)), change(promoteLearner, 3, 0)},
		{"too many", v(1, voter(0), voter(3), voter(0)), change(removeMember, 2, 0)},
		{"too many, and one silent", v(3, voter(0), voter(0), voter(0), voter(50)), change(removeMember, 4, 0)},
		{"two, and one wanted", v(1, voter(0), voter(0)), change(removeMember, 2, 0)},
		{"comes back", order(v(3, voter(0), voter(0), voter(20)), 3, false), change(addLearner, 9, 3)},
		{"comes back while the old one lives", order(v(3, voter(0), voter(0), voter(19)), 3, false), none},
		{"ordered", order(v(3, voter(0), voter(0), voter(0)), 2, true), change(addLearner, 9, 2)},
		{"ordered for one that is gone", order(v(3, voter(0), voter(0), voter(0)), 8, true), none},
	} {
		if got := nextMembershipChange(c.view); got != c.want {
			t.Errorf("%s: %+v, want %+v", c.what, got, c.want)
		}
	}
}

func TestSettingsAreChecked(t *testing.T) {
	good := func() Config {
		return Config{
			Cluster:    "c",
			Name:       "a",
			Listen:     "10.0.0.1:7100",
			Folder:     "f",
			Candidates: []Candidate{{Name: "a", Addr: "10.0.0.1:7100"}, {Name: "b", Addr: "10.0.0.2:7100"}},
		}
	}
	c, err := good().withDefaults()
	if err != nil || c.Voters != 2 || c.Tick != 50*time.Millisecond {
		t.Fatal(c, err)
	}
	for field, f := range map[string]func(*Config){
		"cluster": func(c *Config) { c.Cluster = "" },
		"name":    func(c *Config) { c.Name = "" },
		"members": func(c *Config) { c.Candidates[1].Name = "a" },
		"voters":  func(c *Config) { c.Voters = 3 },
		"reach":   func(c *Config) { c.Reach = map[string]string{"z": "10.0.0.1:1"} },
		"listen":  func(c *Config) { c.Name = "z" },
		"folder":  func(c *Config) { c.Folder = "" },
	} {
		x := good()
		f(&x)
		var bad *ConfigError
		if _, err := x.withDefaults(); !errors.As(err, &bad) || bad.Field != field || bad.Hint() == "" {
			t.Errorf("%s: %v", field, err)
		}
	}
}
