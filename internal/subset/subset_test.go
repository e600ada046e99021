package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func fleet(n, zones int) (list []Member) {
	for i := range n {
		list = append(list, Member{Name: fmt.Sprint("b", i), Zone: fmt.Sprint("z", i%max(1, zones))})
	}
	return list
}

func servers(n, zones int) (list []Server) {
	for i := range n {
		list = append(list, Server{ID: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%max(1, zones))})
	}
	return list
}

func holding(members []Member, plan map[string][]string) []Member {
	out := slices.Clone(members)
	for i, m := range out {
		out[i].Current = plan[m.Name]
	}
	return out
}

func spread(regions []Server, plan map[string][]string) (least, most int) {
	at := map[string]int{}
	for _, list := range plan {
		for _, id := range list {
			at[id]++
		}
	}
	least = 1 << 30
	for _, r := range regions {
		least, most = min(least, at[r.ID]), max(most, at[r.ID])
	}
	return least, most
}

// Whatever the counts, shares and zones, and whatever was held before, every region has as many balancers as each
// other, within one, nobody holds a region twice, and a plan made again from what it says changes nothing.
func TestEveryRegionIsCoveredAlike(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := fleet(rapid.IntRange(1, 60).Draw(t, "balancers"), rapid.IntRange(1, 4).Draw(t, "zones"))
		regions := servers(rapid.IntRange(1, 60).Draw(t, "regions"), rapid.IntRange(1, 4).Draw(t, "zones of regions"))
		set := Config{Size: rapid.IntRange(1, 20).Draw(t, "size"), MinBalancers: rapid.IntRange(1, 5).Draw(t, "least")}
		for i := range members {
			members[i].TrafficShare = rapid.SampledFrom([]float64{0, 1, 1, 1, 0.2, 10}).Draw(t, "share")
			for range rapid.IntRange(0, 12).Draw(t, "held") {
				members[i].Current = append(members[i].Current, fmt.Sprint("r", rapid.IntRange(0, 70).Draw(t, "region")))
			}
		}
		plan := Plan(members, regions, set)
		least, most := spread(regions, plan)
		if most-least > 1 || least < min(set.MinBalancers, len(members)) {
			t.Fatalf("regions have %d to %d balancers", least, most)
		}
		for name, list := range plan {
			if sorted := slices.Compact(slices.Sorted(slices.Values(list))); len(sorted) != len(list) {
				t.Fatalf("%s holds a region twice", name)
			}
		}
		shuffled := holding(members, plan)
		rand.New(rand.NewPCG(1, 1)).
			Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		for name, list := range Plan(shuffled, regions, set) {
			if !slices.Equal(list, plan[name]) {
				t.Fatalf("%s was to hold %v and is to hold %v", name, plan[name], list)
			}
		}
	})
}

// A balancer or region more or less, one by one and many at once, changes within 1.2 times the least that is
// possible.
func TestLittleChanges(t *testing.T) {
	set := Config{Size: 8, MinBalancers: 3}
	for _, at := range []struct{ balancers, regions int }{{3, 10}, {30, 10}, {30, 90}, {300, 90}} {
		rng := rand.New(rand.NewPCG(7, uint64(at.balancers)))
		members, regions := fleet(at.balancers, 3), servers(at.regions, 3)
		plan := Plan(members, regions, set)
		changed, least, next := 0, 0, 1000
		for step := range 60 {
			switch n := 1 + step/20*len(members)/4; rng.IntN(4) {
			case 0:
				for range n {
					next++
					members = append(members, Member{Name: fmt.Sprint("b", next), Zone: fmt.Sprint("z", next%3)})
				}
			case 1:
				for range min(n, len(members)-2) {
					i := rng.IntN(len(members))
					members = slices.Delete(members, i, i+1)
				}
			case 2:
				next++
				regions = append(regions, Server{ID: fmt.Sprint("r", next), Zone: fmt.Sprint("z", next%3)})
			case 3:
				if len(regions) > 3 {
					i := rng.IntN(len(regions))
					regions = slices.Delete(regions, i, i+1)
				}
			}
			after := Plan(holding(members, plan), regions, set)
			c, l := Changes(plan, members, regions, set, after)
			if c < l {
				t.Fatalf("%d changes, fewer than the %d that are the least", c, l)
			}
			changed, least, plan = changed+c, least+l, after
		}
		t.Logf(
			"%d balancers, %d regions: %d changes, at least %d (%.3f times)",
			at.balancers,
			at.regions,
			changed,
			least,
			float64(changed)/float64(least),
		)
		if float64(changed) > 1.2*float64(least) {
			t.Errorf("%d balancers, %d regions: %d changes for %d", at.balancers, at.regions, changed, least)
		}
	}
}

// Members hold lists that are up to four rounds old, and each takes up what its own list says. Nothing may be left
// uncovered meanwhile but what all lists lack, and once the lists stand still the cover is even again within six
// rounds.
func TestViewsThatDiffer(t *testing.T) {
	set := Config{Size: 6, MinBalancers: 3}
	rng := rand.New(rand.NewPCG(3, 3))
	members, regions := fleet(40, 2), servers(24, 2)
	said := Plan(members, regions, set)
	type moment struct {
		members []Member
		regions []Server
	}
	var past []moment
	bare, since := 0, 0
	for round := range 60 {
		if round < 40 && round%5 == 0 { // a server is replaced, and a few balancers start anew
			regions = append(
				slices.Delete(slices.Clone(regions), 0, 1),
				Server{ID: fmt.Sprint("n", round), Zone: fmt.Sprint("z", round%2)},
			)
			for range 4 {
				said[members[rng.IntN(len(members))].Name] = nil
			}
			since = round
		}
		past = append(past, moment{holding(members, said), slices.Clone(regions)})
		next := map[string][]string{}
		for _, m := range members {
			view := past[max(0, len(past)-1-rng.IntN(5))]
			own := slices.Clone(view.members)
			for i := range own {
				if own[i].Name == m.Name { // of itself it knows what it holds now
					own[i].Current = said[m.Name]
				}
			}
			next[m.Name] = Plan(own, view.regions, set)[m.Name]
		}
		said = next
		if least, _ := spread(regions, said); least == 0 {
			bare++
		}
		if least, most := spread(regions, said); round >= 52 && most-least > 1 {
			t.Errorf("round %d, %d after the last change: %d to %d", round, round-since, least, most)
		}
	}
	t.Logf("%d of 60 rounds with a region nobody looks at", bare)
	if bare > 24 { // a new one is seen by the first list after it came: up to four rounds, eight times
		t.Errorf("regions were bare in %d rounds", bare)
	}
}

// Without talk nothing that was before counts, so more changes; the cover is even all the same, and whoever has the
// same lists has the same subsets.
func TestByNumberAlone(t *testing.T) {
	set := Config{Size: 8, MinBalancers: 3}
	zone := func(i int) string { return fmt.Sprint("z", i%3) }
	regions := servers(31, 3)
	plan := map[string][]string{}
	for i := range 50 {
		plan[fmt.Sprint(i)] = ForNumber(i, 50, zone, regions, set)
	}
	if least, most := spread(regions, plan); most-least > 1 {
		t.Errorf("%d to %d balancers at a region", least, most)
	}
}

// One zone with two balancers and forty regions, and the reverse: the cover is even, and near ones come first as
// far as that allows.
func TestZonesOfUnequalSize(t *testing.T) {
	for _, at := range []struct{ balancers, regions [2]int }{
		{[2]int{2, 20}, [2]int{40, 4}},
		{[2]int{40, 4}, [2]int{2, 20}},
		{[2]int{10, 10}, [2]int{10, 10}},
	} {
		var members []Member
		var regions []Server
		for z := range 2 {
			for i := range at.balancers[z] {
				members = append(members, Member{Name: fmt.Sprint("b", z, "-", i), Zone: fmt.Sprint(z)})
			}
			for i := range at.regions[z] {
				regions = append(regions, Server{ID: fmt.Sprint("r", z, "-", i), Zone: fmt.Sprint(z)})
			}
		}
		plan := Plan(members, regions, Config{Size: 5, MinBalancers: 2})
		least, most := spread(regions, plan)
		near, all := 0, 0
		for _, m := range members {
			for _, id := range plan[m.Name] {
				if all++; id[1:2] == m.Zone {
					near++
				}
			}
		}
		t.Logf(
			"balancers %v, regions %v: %d to %d balancers at a region, %d of %d near",
			at.balancers,
			at.regions,
			least,
			most,
			near,
			all,
		)
		if most-least > 1 || at.balancers == at.regions && near != all {
			t.Errorf("%d to %d, %d of %d near", least, most, near, all)
		}
	}
}

// looker is a balancer whose subset is r1 to r4 of forty servers.
type looker struct {
	widening Widening
	servers  []Server
	subset   []string
	full     map[string]bool
}

// look updates the widening, and returns how many servers are looked at then.
func (l *looker) look(seconds int) int {
	m := Member{Name: "b", Zone: "z0"}
	var own, all []Observation
	for _, id := range Candidates(m, l.subset, l.servers, l.widening.Step) {
		o := Observation{ID: id, HasCapacity: !l.full[id]}
		all = append(all, o)
		if slices.Contains(l.subset, id) {
			own = append(own, o)
		}
	}
	l.widening.Update(time.Duration(seconds)*time.Second, own, all, false)
	l.widening.Limit(len(l.subset), len(l.servers))
	return len(Candidates(m, l.subset, l.servers, l.widening.Step))
}

// The subset is full, then all servers are: a balancer looks further step by step, and comes back once there is
// capacity.
func TestWidensAndNarrows(t *testing.T) {
	l := &looker{
		widening: Widening{WidenAfter: time.Second, NarrowAfter: 10 * time.Second},
		servers:  servers(40, 1),
		subset:   []string{"r1", "r2", "r3", "r4"},
		full:     map[string]bool{"r1": true, "r2": true, "r3": true, "r4": true},
	}
	if n := l.look(1); n != 4 {
		t.Fatalf("looks at %d at once", n)
	}
	if n := l.look(2); n != 8 {
		t.Fatalf("looks at %d after a second without capacity, not twice as many", n)
	}
	for _, r := range l.servers {
		l.full[r.ID] = true
	}
	for s := range 100 {
		l.look(3 + s)
	}
	if n := l.look(110); n != 40 {
		t.Fatalf("looks at %d of 40 though none has capacity", n)
	}
	clear(l.full)
	for s := range 9 {
		if n := l.look(111 + s); n != 40 {
			t.Fatalf("looks at %d after %d s of capacity", n, s)
		}
	}
	for s := range 60 {
		l.look(120 + s)
	}
	if n := l.look(200); n != 4 {
		t.Fatalf("looks at %d a minute after capacity came back", n)
	}
}

func TestRejectionWidensAtOnce(t *testing.T) {
	w := Widening{WidenAfter: time.Second, NarrowAfter: 10 * time.Second}
	if w.Update(time.Second, nil, []Observation{{ID: "r1", HasCapacity: true}}, true) != 1 {
		t.Fatal("rejects, and looks no further")
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			members, regions, set := fleet(n, 3), servers(90, 3), Config{Size: 8, MinBalancers: 3}
			held := holding(members, Plan(members, regions, set))
			for b.Loop() {
				Plan(held[1:], regions[1:], set)
			}
		})
	}
}
