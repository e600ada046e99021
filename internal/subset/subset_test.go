package subset

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"
)

func newMembers(n, zones int) (list []Member) {
	for i := range n {
		list = append(list, Member{Name: fmt.Sprint("b", i), Zone: fmt.Sprint("z", i%max(1, zones))})
	}
	return list
}

func newServers(n, zones int) (list []Server) {
	for i := range n {
		list = append(list, Server{ID: fmt.Sprint("r", i), Zone: fmt.Sprint("z", i%max(1, zones))})
	}
	return list
}

func withSubsets(members []Member, plan map[string][]string) []Member {
	out := slices.Clone(members)
	for i, m := range out {
		out[i].Current = plan[m.Name]
	}
	return out
}

func balancersPerServer(servers []Server, plan map[string][]string) (least, most int) {
	at := map[string]int{}
	for _, list := range plan {
		for _, id := range list {
			at[id]++
		}
	}
	least = 1 << 30
	for _, r := range servers {
		least, most = min(least, at[r.ID]), max(most, at[r.ID])
	}
	return least, most
}

// With random counts, shares, zones and current subsets, the servers' numbers of balancers differ by at most one, no
// member holds a server twice, and planning again from the result changes nothing.
func TestSubsetsAreBalanced(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := newMembers(rapid.IntRange(1, 60).Draw(t, "balancers"), rapid.IntRange(1, 4).Draw(t, "zones"))
		servers := newServers(rapid.IntRange(1, 60).Draw(t, "servers"), rapid.IntRange(1, 4).Draw(t, "zones of servers"))
		set := Config{Size: rapid.IntRange(1, 20).Draw(t, "size"), MinBalancers: rapid.IntRange(1, 5).Draw(t, "least")}
		for i := range members {
			members[i].TrafficShare = rapid.SampledFrom([]float64{0, 1, 1, 1, 0.2, 10}).Draw(t, "share")
			for range rapid.IntRange(0, 12).Draw(t, "held") {
				members[i].Current = append(members[i].Current, fmt.Sprint("r", rapid.IntRange(0, 70).Draw(t, "region")))
			}
		}
		plan := Plan(members, servers, set)
		least, most := balancersPerServer(servers, plan)
		if most-least > 1 || least < min(set.MinBalancers, len(members)) {
			t.Fatalf("servers have %d to %d balancers", least, most)
		}
		for name, list := range plan {
			if sorted := slices.Compact(slices.Sorted(slices.Values(list))); len(sorted) != len(list) {
				t.Fatalf("%s holds a server twice", name)
			}
		}
		shuffled := withSubsets(members, plan)
		rand.New(rand.NewPCG(1, 1)).
			Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		for name, list := range Plan(shuffled, servers, set) {
			if !slices.Equal(list, plan[name]) {
				t.Fatalf("%s: a second plan changes %v to %v", name, plan[name], list)
			}
		}
	})
}

// When balancers or servers are added or removed, one by one or many at once, the plan changes at most 1.2 times the
// minimum number of pairs.
func TestFewPairsChange(t *testing.T) {
	set := Config{Size: 8, MinBalancers: 3}
	for _, size := range []struct{ balancers, servers int }{{3, 10}, {30, 10}, {30, 90}, {300, 90}} {
		rng := rand.New(rand.NewPCG(7, uint64(size.balancers)))
		members, servers := newMembers(size.balancers, 3), newServers(size.servers, 3)
		plan := Plan(members, servers, set)
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
				servers = append(servers, Server{ID: fmt.Sprint("r", next), Zone: fmt.Sprint("z", next%3)})
			case 3:
				if len(servers) > 3 {
					i := rng.IntN(len(servers))
					servers = slices.Delete(servers, i, i+1)
				}
			}
			after := Plan(withSubsets(members, plan), servers, set)
			c, l := Changes(plan, members, servers, set, after)
			if c < l {
				t.Fatalf("%d changes, fewer than the minimum of %d", c, l)
			}
			changed, least, plan = changed+c, least+l, after
		}
		t.Logf(
			"%d balancers, %d servers: %d changes, minimum %d (%.3f times)",
			size.balancers,
			size.servers,
			changed,
			least,
			float64(changed)/float64(least),
		)
		if float64(changed) > 1.2*float64(least) {
			t.Errorf("%d balancers, %d servers: %d changes with a minimum of %d", size.balancers, size.servers, changed, least)
		}
	}
}

// Members plan with lists that are up to four rounds old. Meanwhile only servers missing in the lists may be without a
// balancer, and once the lists no longer change, the subsets are balanced again within six rounds.
func TestDifferentViews(t *testing.T) {
	set := Config{Size: 6, MinBalancers: 3}
	rng := rand.New(rand.NewPCG(3, 3))
	members, servers := newMembers(40, 2), newServers(24, 2)
	announced := Plan(members, servers, set)
	type moment struct {
		members []Member
		servers []Server
	}
	var past []moment
	uncovered, since := 0, 0
	for round := range 60 {
		if round < 40 && round%5 == 0 { // a server is replaced, and a few balancers restart
			servers = append(
				slices.Delete(slices.Clone(servers), 0, 1),
				Server{ID: fmt.Sprint("n", round), Zone: fmt.Sprint("z", round%2)},
			)
			for range 4 {
				announced[members[rng.IntN(len(members))].Name] = nil
			}
			since = round
		}
		past = append(past, moment{withSubsets(members, announced), slices.Clone(servers)})
		next := map[string][]string{}
		for _, m := range members {
			view := past[max(0, len(past)-1-rng.IntN(5))]
			own := slices.Clone(view.members)
			for i := range own {
				if own[i].Name == m.Name { // a member knows its own current subset
					own[i].Current = announced[m.Name]
				}
			}
			next[m.Name] = Plan(own, view.servers, set)[m.Name]
		}
		announced = next
		if least, _ := balancersPerServer(servers, announced); least == 0 {
			uncovered++
		}
		if least, most := balancersPerServer(servers, announced); round >= 52 && most-least > 1 {
			t.Errorf("round %d, %d after the last change: %d to %d balancers at a server", round, round-since, least, most)
		}
	}
	t.Logf("%d of 60 rounds with a server without balancers", uncovered)
	if uncovered > 24 { // each of eight new servers may be missing in all lists for up to four rounds
		t.Errorf("servers were without balancers in %d rounds", uncovered)
	}
}

// Without communication the current subsets are unknown, so more pairs change. The subsets are balanced all the same,
// and balancers with the same lists compute the same subsets.
func TestForNumberIsBalanced(t *testing.T) {
	set := Config{Size: 8, MinBalancers: 3}
	zone := func(i int) string { return fmt.Sprint("z", i%3) }
	servers := newServers(31, 3)
	plan := map[string][]string{}
	for i := range 50 {
		plan[fmt.Sprint(i)] = ForNumber(i, 50, zone, servers, set)
	}
	if least, most := balancersPerServer(servers, plan); most-least > 1 {
		t.Errorf("%d to %d balancers at a server", least, most)
	}
}

// With two balancers and forty servers in one zone, and the reverse, the subsets are balanced, and servers of the same
// zone are preferred as far as the balance allows.
func TestZonesOfUnequalSize(t *testing.T) {
	for _, size := range []struct{ balancers, servers [2]int }{
		{[2]int{2, 20}, [2]int{40, 4}},
		{[2]int{40, 4}, [2]int{2, 20}},
		{[2]int{10, 10}, [2]int{10, 10}},
	} {
		var members []Member
		var servers []Server
		for z := range 2 {
			for i := range size.balancers[z] {
				members = append(members, Member{Name: fmt.Sprint("b", z, "-", i), Zone: fmt.Sprint(z)})
			}
			for i := range size.servers[z] {
				servers = append(servers, Server{ID: fmt.Sprint("r", z, "-", i), Zone: fmt.Sprint(z)})
			}
		}
		plan := Plan(members, servers, Config{Size: 5, MinBalancers: 2})
		least, most := balancersPerServer(servers, plan)
		near, all := 0, 0
		for _, m := range members {
			for _, id := range plan[m.Name] {
				if all++; id[1:2] == m.Zone {
					near++
				}
			}
		}
		t.Logf(
			"balancers %v, servers %v: %d to %d balancers at a server, %d of %d in the same zone",
			size.balancers,
			size.servers,
			least,
			most,
			near,
			all,
		)
		if most-least > 1 || size.balancers == size.servers && near != all {
			t.Errorf("%d to %d balancers at a server, %d of %d in the same zone", least, most, near, all)
		}
	}
}

// balancerState is a balancer whose subset is r1 to r4 of forty servers.
type balancerState struct {
	widening Widening
	servers  []Server
	subset   []string
	full     map[string]bool
}

// update updates the widening, and returns the number of candidates after it.
func (l *balancerState) update(seconds int) int {
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

// When the subset and then all servers are full, a balancer adds candidates step by step, and returns to its subset
// once there is capacity.
func TestWideningAndNarrowing(t *testing.T) {
	l := &balancerState{
		widening: Widening{WidenAfter: time.Second, NarrowAfter: 10 * time.Second},
		servers:  newServers(40, 1),
		subset:   []string{"r1", "r2", "r3", "r4"},
		full:     map[string]bool{"r1": true, "r2": true, "r3": true, "r4": true},
	}
	if n := l.update(1); n != 4 {
		t.Fatalf("%d candidates at once", n)
	}
	if n := l.update(2); n != 8 {
		t.Fatalf("%d candidates after a second without capacity, not twice as many", n)
	}
	for _, r := range l.servers {
		l.full[r.ID] = true
	}
	for s := range 100 {
		l.update(3 + s)
	}
	if n := l.update(110); n != 40 {
		t.Fatalf("%d candidates of 40 servers although none has capacity", n)
	}
	clear(l.full)
	for s := range 9 {
		if n := l.update(111 + s); n != 40 {
			t.Fatalf("%d candidates after %d s of capacity", n, s)
		}
	}
	for s := range 60 {
		l.update(120 + s)
	}
	if n := l.update(200); n != 4 {
		t.Fatalf("%d candidates a minute after capacity came back", n)
	}
}

func TestRejectionWidensAtOnce(t *testing.T) {
	w := Widening{WidenAfter: time.Second, NarrowAfter: 10 * time.Second}
	if w.Update(time.Second, nil, []Observation{{ID: "r1", HasCapacity: true}}, true) != 1 {
		t.Fatal("a rejection did not widen the candidates")
	}
}

func BenchmarkPlan(b *testing.B) {
	for _, n := range []int{30, 300, 3000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			members, servers, set := newMembers(n, 3), newServers(90, 3), Config{Size: 8, MinBalancers: 3}
			planned := withSubsets(members, Plan(members, servers, set))
			for b.Loop() {
				Plan(planned[1:], servers[1:], set)
			}
		})
	}
}
