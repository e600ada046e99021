package policy

import (
	"fmt"
	"testing"
	"time"
)

// Day wide: in a zone with one region every newcomer was offered that one and a far one, and half took the far
// one for being a little less loaded, at the price of crossing zones for as long as they lived.
func TestLightLoadIsNoReasonToCross(t *testing.T) {
	list := servers(3)
	list[1].Zone, list[2].Zone = "b", "c"
	c := testConfig()
	c.CrossZoneCost = 0.16
	for _, x := range []struct {
		own  float64
		home bool
	}{{0.5, true}, {0.78, false}} {
		r := newRig(t, c, list...)
		r.loads["s00"], r.loads["s01"], r.loads["s02"] = x.own, 0.1, 0.1
		r.rif["s00"] = 500 // one more makes no difference
		r.request("x", "safe")
		if s, ok := last[Send](r); !ok || x.home != (s.Server == "s00") {
			t.Errorf("own at %v: %v", x.own, s)
		}
	}
}

// Where each server that holds some of a group works for the whole of it (three mean connections on the second
// deployment), fresh later draws spread a group whose first two servers were full over all servers.
func TestAGroupSpillsInOneOrderAtEveryBalancer(t *testing.T) {
	one, other := newRig(t, testConfig(), servers(12)...), newRig(t, testConfig(), servers(12)...)
	other.b.rng.Uint64() // another random state, as another balancer has
	for g := range 20 {
		r := &request{
			Request:      Request{Group: fmt.Sprint("g", g), Key: "k"},
			class:        one.b.classes.byName["safe"],
			mayHaveRunAt: -1,
		}
		q := *r
		q.Key = "another member's"
		met := map[string]bool{}
		for draw := range 4 {
			here, there := one.b.sample(r), other.b.sample(&q)
			for i, s := range here {
				if s.ID != there[i].ID {
					t.Fatalf("group %d draws %s here and %s there, draw %d", g, s.ID, there[i].ID, draw)
				}
				met[s.ID] = true
			}
		}
		if len(met) != 6 {
			t.Errorf("group %d met %d servers in four draws, want the first six of its order", g, len(met))
		}
	}
}

// A group's member that finds no room where its group stands may open it elsewhere, but only where there is
// room for more than itself: an overloaded day spread every group over all servers, a tie each time.
func TestAGroupOpensElsewhereOnlyIntoRoom(t *testing.T) {
	for _, c := range []struct {
		here, there float64 // loads of the server with the group, and of the other one
		sent        string
	}{{0.5, 0.6, "s00"}, {0.7, 0.75, "s00"}, {0.9, 0.7, ""}, {0.9, 0.3, "s01"}, {0.7, 0.2, "s01"}} {
		r := newRig(t, testConfig(), servers(2)...)
		r.loads["s00"], r.loads["s01"] = c.here, c.there
		for i := range 8 {
			r.feed(
				AdoptedConnection{
					Request: Request{ID: fmt.Sprint(i), Key: fmt.Sprint(i), Group: "g", Class: "safe"},
					Server:  "s00",
				},
			)
		}
		r.feed(Request{ID: "x", Key: "x", Group: "g", Class: "safe", Timeout: 2 * time.Second})
		r.run(300 * ms)
		if s, _ := last[Send](r); s.Server != c.sent {
			t.Errorf("group's server at %v, the other at %v: sent to %q, want %q", c.here, c.there, s.Server, c.sent)
		}
		for i := range 8 {
			r.feed(ClientDisconnected{ID: fmt.Sprint(i)})
		}
		if n := r.b.servers.byID["s00"].groupConnections["g"]; c.sent != "s00" && n != 0 {
			t.Errorf("%d of the group left when all are gone", n)
		}
	}
}

// One of 300 balancers holds few connections, and none of most groups: what it doesn't know of stands nowhere for
// it, or nearly every newcomer would find servers a tie fuller than they are (calm+mass 0.92 to 0.85).
func TestAGroupThatIsNotKnownHereOpensAnywhere(t *testing.T) {
	r := newRig(t, testConfig(), servers(2)...)
	r.loads["s00"], r.loads["s01"] = 0.7, 0.7
	for i := range 3 {
		r.feed(
			AdoptedConnection{Request: Request{ID: fmt.Sprint(i), Key: fmt.Sprint(i)}, Server: "s00"},
		) // of no class: passed over
		r.open(fmt.Sprint("o", i), "s00") // of no group
	}
	r.feed(Request{ID: "x", Key: "x", Group: "g", Class: "safe", Timeout: 2 * time.Second})
	r.run(300 * ms)
	if _, sent := last[Send](r); !sent {
		t.Error("held, though both have room and the group is not known to stand anywhere")
	}
	for i := range 3 {
		r.feed(ClientDisconnected{ID: fmt.Sprint("o", i)})
	}
	r.feed(Request{ID: "y", Key: "y", Class: "safe", Timeout: 2 * time.Second})
	if s := r.b.servers.byID["s00"]; len(s.groupConnections) > 1 || r.b.groupConnections[""] != 0 {
		t.Errorf("kept: %v and %v", s.groupConnections, r.b.groupConnections)
	}
}

// Incident i6519c4: balancers restarted, and thousands of open connections reached others in mid-flow.
func TestAnotherBalancerFindsTheHolder(t *testing.T) {
	one, two := newRig(t, testConfig(), servers(20)...), newRig(t, testConfig(), servers(20)...)
	two.b.rng.Uint64() // another balancer has another random source
	found := 0
	for i := range 100 {
		for _, s := range one.b.servers.sorted {
			one.loads[s.ID] = 0.3 + float64((i*7+int(s.idHash%13))%13)/100 // equal within noise
		}
		id := fmt.Sprint(i)
		holder := one.connect(id)
		one.run(1500 * ms)
		two.feed(Request{ID: id, Key: "k" + id, Class: "safe", Timeout: time.Second, MidFlow: true})
		if s, ok := last[Send](two); ok && s.ID == id && s.Server == holder {
			found++
		}
		two.feed(ClientDisconnected{ID: id})
		two.run(time.Second)
	}
	if found < 90 {
		t.Errorf("%d of 100 went to their holder", found)
	}
}

// Day reload: all connections in mid-flow of a balancer elsewhere, 420, went to the two regions of the zone of
// the one that got them, which were at 1.3 of what they can do then. They stood in other zones.
func TestMidFlowIsNotHeapedUp(t *testing.T) {
	list := servers(6)
	for i := 2; i < 6; i++ {
		list[i].Zone = "b"
	}
	c := testConfig()
	c.CrossZoneCost = 0.16
	r := newRig(t, c, list...)
	for _, s := range list {
		r.loads[s.ID] = 0.5
	}
	sent := map[string]int{}
	for i := range 60 {
		r.feed(Request{ID: fmt.Sprint(i), Key: fmt.Sprint("k", i), Class: "safe", Timeout: time.Second, MidFlow: true})
		if s, ok := last[Send](r); ok && s.ID == fmt.Sprint(i) {
			sent[s.Server]++
			r.feed(AttemptEstablished{ID: s.ID, Server: s.Server})
		}
		r.run(500 * ms)
	}
	if n := sent["s00"] + sent["s01"]; n == 0 || n > 40 {
		t.Errorf("%d of 60 went to the own zone: %v", n, sent)
	}
	for _, s := range list {
		r.loads[s.ID] = 1.2
	}
	r.run(10 * time.Second) // readings that never change are trusted for long
	r.log = nil
	r.feed(Request{ID: "x", Key: "kx", Class: "safe", Timeout: time.Second, MidFlow: true})
	if s, ok := last[Send](r); ok {
		t.Errorf("%v, which is full", s)
	}
}

// Where a zone has many balancers, those that are left get the connections of those that stopped: they look for
// each where another balancer of the zone would have put it first.
func TestMidFlowIsLookedForInTheOwnZone(t *testing.T) {
	list := servers(9)
	for i := range list {
		list[i].Zone = string(rune('a' + i%3))
	}
	for _, k := range []struct{ balancers, least, most int }{{80, 195, 200}, {3, 40, 100}} {
		c := testConfig()
		c.Balancers = k.balancers
		c.CrossZoneCost = 0.16
		r := newRig(t, c, list...)
		found := 0
		for i := range 200 {
			key := fmt.Sprint("key", i)
			first := r.b.sample(&request{Request: Request{Key: key}, class: r.b.classes.byName["safe"]})
			mid := r.b.sample(&request{Request: Request{Key: key, MidFlow: true}, class: r.b.classes.byName["safe"]})
			if first[0] == mid[0] {
				found++
			}
		}
		if found < k.least || found > k.most {
			t.Errorf("%d balancers: %d of 200 were looked for where they were put", k.balancers, found)
		}
	}
}

// When most balancers stop, the others get their connections in mid-flow within a second, and each that is sent
// where it didn't stand is one more there: a server near full takes its part of them only.
func TestAWaveInMidFlowFillsNoServer(t *testing.T) {
	sent := func(x float64) int {
		c := testConfig()
		c.Balancers = 80
		r := newRig(t, c, servers(3)...)
		for _, s := range r.b.servers.sorted {
			r.loads[s.ID], r.rif[s.ID] = x, 250*x
		}
		n := 0
		for i := range 40 { // in two seconds
			id := fmt.Sprint(i)
			r.feed(Request{ID: id, Key: "k" + id, Class: "safe", Timeout: 2 * time.Second, MidFlow: true})
			if s, ok := last[Send](r); ok && s.ID == id {
				n++
				r.feed(AttemptEstablished{ID: id, Server: s.Server})
				r.feed(AttemptEnded{ID: id, Final: true})
			} else {
				r.feed(ClientDisconnected{ID: id})
			}
			for _, s := range r.b.servers.sorted {
				s.estimate.placed = 0 // the others' placements are no more known than one's own here
			}
			r.run(50 * ms)
		}
		return n
	}
	if low, high := sent(0.3), sent(0.85); low < 30 || high > low/2 || high == 0 {
		t.Errorf("of 40 in mid-flow %d were kept at a load of 0.3, %d at 0.85", low, high)
	}
}
