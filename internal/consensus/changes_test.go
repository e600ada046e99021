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

func TestSelectVoters(t *testing.T) {
	var list []Candidate
	for _, nameAndZone := range []string{"a1 A", "a2 A", "a3 A", "b1 B", "b2 B", "c1 C"} {
		name, zone, _ := strings.Cut(nameAndZone, " ")
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

// TestDecideBootstrap runs first voters in random order, with lost folders and missing answers: at most one bootstrap
// may be adopted by a majority of the IDs that it contains. Two such bootstraps would be two logs.
func TestDecideBootstrap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		count := rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters")
		var list []Candidate
		statuses := make([]memberStatus, count)
		nextID := uint64(1)
		for i := range count {
			list = append(list, Candidate{Name: fmt.Sprint("m", i)})
			statuses[i] = memberStatus{Name: list[i].Name, ID: nextID}
			nextID++
		}
		bootstraps := map[uint64]bootstrap{}
		lostFolders := 0
		decide := func(i int, unreachable []bool) {
			if statuses[i].Bootstrap.ID != 0 {
				return
			}
			reported := map[string]memberStatus{}
			for j := range statuses {
				if j != i && !unreachable[j] {
					reported[statuses[j].Name] = statuses[j]
				}
			}
			if s := decideBootstrap("c", list, statuses[i].Name, statuses[i].ID, reported); s.Begin != nil {
				statuses[i].Bootstrap = *s.Begin
				bootstraps[s.Begin.ID] = *s.Begin
			}
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			i := rapid.IntRange(0, count-1).Draw(t, "member")
			if rapid.IntRange(0, 9).Draw(t, "lose folder") == 0 && lostFolders < count/2 {
				lostFolders++
				statuses[i], nextID = memberStatus{Name: statuses[i].Name, ID: nextID}, nextID+1
			}
			decide(i, rapid.SliceOfN(rapid.Bool(), count, count).Draw(t, "unreachable"))
		}
		checkBootstraps(t, bootstraps, statuses)
		if lostFolders == 0 {
			for range 2 {
				for i := range statuses {
					decide(i, make([]bool, count))
				}
			}
			if len(bootstraps) != 1 || slices.ContainsFunc(statuses, func(s memberStatus) bool { return s.Bootstrap.ID == 0 }) {
				t.Fatalf("%d bootstraps, statuses %+v", len(bootstraps), statuses)
			}
		}
	})
}

// checkBootstraps fails the test if two bootstraps are adopted by a majority of their voters.
func checkBootstraps(t *rapid.T, bootstraps map[uint64]bootstrap, members []memberStatus) {
	withMajority := 0
	for _, b := range bootstraps {
		begun := 0
		for _, s := range members {
			if s.Bootstrap.ID == b.ID {
				begun++
			}
		}
		if begun > len(members)/2 {
			withMajority++
		}
		if len(b.Voters) != len(members) {
			t.Fatalf("bootstrap has %d of %d voters", len(b.Voters), len(members))
		}
	}
	if withMajority > 1 {
		t.Fatalf("%d bootstraps have a majority of their voters", withMajority)
	}
}

func TestNextMembershipChange(t *testing.T) {
	viewOf := func(want int, members ...memberView) membershipView {
		for i := range members {
			if members[i].ID == 0 {
				members[i].ID = uint64(i + 1)
			}
		}
		return membershipView{Self: 1, TargetVoters: want, ReplaceAfter: 100, Members: members}
	}
	voter := func(silentTicks int) memberView {
		return memberView{Voter: true, CaughtUp: true, SilentTicks: silentTicks}
	}
	learner := func(replaces uint64, caughtUp bool, silentTicks int) memberView {
		return memberView{member: member{Replaces: replaces}, CaughtUp: caughtUp, SilentTicks: silentTicks}
	}
	withRequest := func(view membershipView, replaces uint64, byOperator bool) membershipView {
		view.Requests = []memberRequest{{Member: member{ID: 9, Replaces: replaces}, ByOperator: byOperator}}
		return view
	}
	lostFolder := withRequest(viewOf(3, voter(0), voter(0), voter(500), learner(3, false, 5)), 3, false)
	lostFolder.Members[3].Name, lostFolder.Requests[0].Member.Name = "c", "c"
	changePending := withRequest(viewOf(3, voter(0), voter(0), voter(500)), 3, true)
	changePending.ChangePending = true
	change := func(kind changeKind, id, replaces uint64) membershipChange {
		return membershipChange{Kind: kind, Member: member{ID: id, Replaces: replaces}}
	}
	removeNamed := change(removeMember, 4, 3)
	removeNamed.Member.Name = "c"
	none := membershipChange{}
	for _, test := range []struct {
		name string
		view membershipView
		want membershipChange
	}{
		{"nothing to change", viewOf(3, voter(0), voter(2), voter(3)), none},
		{"silent voter", viewOf(3, voter(0), voter(99), voter(100)), change(findCandidate, 0, 3)},
		{"a learner is present already", viewOf(3, voter(0), voter(500), voter(500), learner(3, false, 0)), none},
		{"a change is pending", changePending, none},
		{
			"learner has caught up",
			viewOf(3, voter(0), voter(0), voter(500), learner(3, true, 0)),
			change(promoteLearner, 4, 3),
		},
		{"silent learner", viewOf(3, voter(0), voter(0), voter(500), learner(3, true, 50)), none},
		{
			"learner silent for too long",
			viewOf(3, voter(0), voter(0), voter(500), learner(3, true, 401)),
			change(removeMember, 4, 3),
		},
		{"learner has lost its folder", lostFolder, removeNamed},
		{"learner not needed", viewOf(3, voter(0), voter(0), voter(0), learner(0, true, 0)), change(removeMember, 4, 0)},
		{"too few voters", viewOf(3, voter(0), voter(0)), change(findCandidate, 0, 0)},
		{"learner for additional vote", viewOf(3, voter(0), voter(0), learner(0, true, 0)), change(promoteLearner, 3, 0)},
		{"too many voters", viewOf(1, voter(0), voter(3), voter(0)), change(removeMember, 2, 0)},
		{"too many voters, one silent", viewOf(3, voter(0), voter(0), voter(0), voter(50)), change(removeMember, 4, 0)},
		{"two voters, want one", viewOf(1, voter(0), voter(0)), change(removeMember, 2, 0)},
		{"rejoins", withRequest(viewOf(3, voter(0), voter(0), voter(20)), 3, false), change(addLearner, 9, 3)},
		{"rejoins while the voter is active", withRequest(viewOf(3, voter(0), voter(0), voter(19)), 3, false), none},
		{"replaced by an operator", withRequest(viewOf(3, voter(0), voter(0), voter(0)), 2, true), change(addLearner, 9, 2)},
		{"unknown voter replaced by an operator", withRequest(viewOf(3, voter(0), voter(0), voter(0)), 8, true), none},
	} {
		if got := nextMembershipChange(test.view); got != test.want {
			t.Errorf("%s: %+v, want %+v", test.name, got, test.want)
		}
	}
}

func TestConfigValidation(t *testing.T) {
	valid := func() Config {
		return Config{
			Cluster:    "c",
			Name:       "a",
			Listen:     "10.0.0.1:7100",
			Folder:     "f",
			Candidates: []Candidate{{Name: "a", Addr: "10.0.0.1:7100"}, {Name: "b", Addr: "10.0.0.2:7100"}},
		}
	}
	c, err := valid().withDefaults()
	if err != nil || c.Voters != 2 || c.Tick != 50*time.Millisecond {
		t.Fatal(c, err)
	}
	for field, invalidate := range map[string]func(*Config){
		"cluster": func(c *Config) { c.Cluster = "" },
		"name":    func(c *Config) { c.Name = "" },
		"members": func(c *Config) { c.Candidates[1].Name = "a" },
		"voters":  func(c *Config) { c.Voters = 3 },
		"reach":   func(c *Config) { c.AddressOverrides = map[string]string{"z": "10.0.0.1:1"} },
		"listen":  func(c *Config) { c.Name = "z" },
		"folder":  func(c *Config) { c.Folder = "" },
	} {
		cfg := valid()
		invalidate(&cfg)
		var configErr *ConfigError
		if _, err := cfg.withDefaults(); !errors.As(err, &configErr) || configErr.Field != field || configErr.Hint() == "" {
			t.Errorf("%s: %v", field, err)
		}
	}
}
