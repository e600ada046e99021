package policy

import (
	"fmt"
	"testing"
	"time"
)

// In a zone with one server, every new request sampled that server and one in another zone. Half of them took the
// other one because its load was a little lower, and paid the cross-zone cost for the lifetime of the connection.
func TestLightLoadStaysInOwnZone(t *testing.T) {
	list := servers(3)
	list[1].Zone, list[2].Zone = "b", "c"
	c := testConfig()
	c.CrossZoneCost = 0.16
	for _, x := range []struct {
		own  float64
		home bool
	}{{0.5, true}, {0.78, false}} {
		h := newHarness(t, c, list...)
		h.loads["s00"], h.loads["s01"], h.loads["s02"] = x.own, 0.1, 0.1
		h.inFlight["s00"] = 500 // one more connection adds almost no load
		h.request("x", "safe")
		if s, ok := lastAction[Send](h); !ok || x.home != (s.Server == "s00") {
			t.Errorf("with load %v in the own zone: sent to %v", x.own, s)
		}
	}
}

// Each server with connections of a group does work for the whole group (as much as three mean connections in the
// second deployment). When the first two servers of a group were full, later samples were independent, and the group
// was spread over all servers. All balancers must sample the servers of a group in the same order.
func TestGroupServersHaveOneOrderAtAllBalancers(t *testing.T) {
	one, other := newHarness(t, testConfig(), servers(12)...), newHarness(t, testConfig(), servers(12)...)
	other.b.rng.Uint64() // balancers have different random states
	for g := range 20 {
		r := &request{
			Request:      Request{Group: fmt.Sprint("g", g), Key: "k"},
			class:        one.b.classes.byName["safe"],
			mayHaveRunAt: -1,
		}
		q := *r
		q.Key = "another member's"
		seen := map[string]bool{}
		for sample := range 4 {
			here, there := one.b.sample(r), other.b.sample(&q)
			for i, s := range here {
				if s.ID != there[i].ID {
					t.Fatalf("group %d: %s at one balancer, %s at the other, sample %d", g, s.ID, there[i].ID, sample)
				}
				seen[s.ID] = true
			}
		}
		if len(seen) != 6 {
			t.Errorf("group %d: %d servers in four samples, want the first six of its order", g, len(seen))
		}
	}
}

// A request whose group is established on a full server may open the group on another server, but only if that has
// spare capacity for more than the request. Otherwise overload spread every group over all servers, because their
// loads were tied each time.
func TestGroupNeedsSpareCapacityAtAnotherServer(t *testing.T) {
	for _, c := range []struct {
		here, there float64 // loads of the server with the group, and of the other one
		sent        string
	}{{0.5, 0.6, "s00"}, {0.7, 0.75, "s00"}, {0.9, 0.7, ""}, {0.9, 0.3, "s01"}, {0.7, 0.2, "s01"}} {
		h := newHarness(t, testConfig(), servers(2)...)
		h.loads["s00"], h.loads["s01"] = c.here, c.there
		for i := range 8 {
			h.feed(
				AdoptedConnection{
					Request: Request{ID: fmt.Sprint(i), Key: fmt.Sprint(i), Group: "g", Class: "safe"},
					Server:  "s00",
				},
			)
		}
		h.feed(Request{ID: "x", Key: "x", Group: "g", Class: "safe", Timeout: 2 * time.Second})
		h.advance(300 * ms)
		if s, _ := lastAction[Send](h); s.Server != c.sent {
			t.Errorf(
				"load %v at the group's server, %v at the other: sent to %q, want %q",
				c.here,
				c.there,
				s.Server,
				c.sent,
			)
		}
		for i := range 8 {
			h.feed(ClientDisconnected{ID: fmt.Sprint(i)})
		}
		if n := h.b.servers.byID["s00"].groupConnections["g"]; c.sent != "s00" && n != 0 {
			t.Errorf("%d connections of the group counted after all have ended", n)
		}
	}
}

// One of 300 balancers has few connections, and none of most groups. It must treat an unknown group as established
// nowhere; otherwise the tie margin would be added to the load of the servers for nearly every new request (one score
// fell from 0.92 to 0.85).
func TestUnknownGroupIsPlacedAnywhere(t *testing.T) {
	h := newHarness(t, testConfig(), servers(2)...)
	h.loads["s00"], h.loads["s01"] = 0.7, 0.7
	for i := range 3 {
		h.feed(
			AdoptedConnection{Request: Request{ID: fmt.Sprint(i), Key: fmt.Sprint(i)}, Server: "s00"},
		) // without a class: ignored
		h.adopt(fmt.Sprint("o", i), "s00") // without a group
	}
	h.feed(Request{ID: "x", Key: "x", Group: "g", Class: "safe", Timeout: 2 * time.Second})
	h.advance(300 * ms)
	if _, sent := lastAction[Send](h); !sent {
		t.Error("queued, although both servers have capacity and the group is not known to be established anywhere")
	}
	for i := range 3 {
		h.feed(ClientDisconnected{ID: fmt.Sprint("o", i)})
	}
	h.feed(Request{ID: "y", Key: "y", Class: "safe", Timeout: 2 * time.Second})
	if s := h.b.servers.byID["s00"]; len(s.groupConnections) > 1 || h.b.groupConnections[""] != 0 {
		t.Errorf("entries of ended connections remain: %v and %v", s.groupConnections, h.b.groupConnections)
	}
}

// Incident i6519c4: balancers restarted, and the packets of thousands of established connections reached other
// balancers, which have to find the servers of these connections.
func TestAnotherBalancerFindsTheServer(t *testing.T) {
	one, two := newHarness(t, testConfig(), servers(20)...), newHarness(t, testConfig(), servers(20)...)
	two.b.rng.Uint64() // balancers have different random states
	found := 0
	for i := range 100 {
		for _, s := range one.b.servers.sorted {
			one.loads[s.ID] = 0.3 + float64((i*7+int(s.idHash%13))%13)/100 // equal except for noise
		}
		id := fmt.Sprint(i)
		server := one.connect(id)
		one.advance(1500 * ms)
		two.feed(Request{ID: id, Key: "k" + id, Class: "safe", Timeout: time.Second, MidFlow: true})
		if s, ok := lastAction[Send](two); ok && s.ID == id && s.Server == server {
			found++
		}
		two.feed(ClientDisconnected{ID: id})
		two.advance(time.Second)
	}
	if found < 90 {
		t.Errorf("%d of 100 were sent to the server of their connection", found)
	}
}

// When a balancer in another zone reloaded, all its 420 connections arrived mid-flow at one balancer, which sent them
// to the two servers of its own zone. Their load rose to 1.3, although the connections were established in other
// zones.
func TestMidFlowConnectionsAreSpreadOverZones(t *testing.T) {
	list := servers(6)
	for i := 2; i < 6; i++ {
		list[i].Zone = "b"
	}
	c := testConfig()
	c.CrossZoneCost = 0.16
	h := newHarness(t, c, list...)
	for _, s := range list {
		h.loads[s.ID] = 0.5
	}
	sent := map[string]int{}
	for i := range 60 {
		h.feed(Request{ID: fmt.Sprint(i), Key: fmt.Sprint("k", i), Class: "safe", Timeout: time.Second, MidFlow: true})
		if s, ok := lastAction[Send](h); ok && s.ID == fmt.Sprint(i) {
			sent[s.Server]++
			h.feed(AttemptEstablished{ID: s.ID, Server: s.Server})
		}
		h.advance(500 * ms)
	}
	if n := sent["s00"] + sent["s01"]; n == 0 || n > 40 {
		t.Errorf("%d of 60 were sent to the own zone: %v", n, sent)
	}
	for _, s := range list {
		h.loads[s.ID] = 1.2
	}
	h.advance(10 * time.Second) // readings that never change stay fresh for long
	h.actions = nil
	h.feed(Request{ID: "x", Key: "kx", Class: "safe", Timeout: time.Second, MidFlow: true})
	if s, ok := lastAction[Send](h); ok {
		t.Errorf("sent to a full server: %v", s)
	}
}

// In a zone with many balancers, the remaining ones receive the connections of those that stopped. They must first try
// the server that another balancer of the zone would have sampled first.
func TestMidFlowConnectionsTryTheOwnZoneFirst(t *testing.T) {
	list := servers(9)
	for i := range list {
		list[i].Zone = string(rune('a' + i%3))
	}
	for _, k := range []struct{ balancers, least, most int }{{80, 195, 200}, {3, 40, 100}} {
		c := testConfig()
		c.Balancers = k.balancers
		c.CrossZoneCost = 0.16
		h := newHarness(t, c, list...)
		found := 0
		for i := range 200 {
			key := fmt.Sprint("key", i)
			first := h.b.sample(&request{Request: Request{Key: key}, class: h.b.classes.byName["safe"]})
			mid := h.b.sample(&request{Request: Request{Key: key, MidFlow: true}, class: h.b.classes.byName["safe"]})
			if first[0] == mid[0] {
				found++
			}
		}
		if found < k.least || found > k.most {
			t.Errorf("%d balancers: %d of 200 first samples agree", k.balancers, found)
		}
	}
}

// When most balancers stop, the others receive the packets of their connections within 1 s. Each connection that is
// sent to a wrong server adds load there, so a server near full may admit only its share of them.
func TestMidFlowBurstOverloadsNoServer(t *testing.T) {
	sent := func(x float64) int {
		c := testConfig()
		c.Balancers = 80
		h := newHarness(t, c, servers(3)...)
		for _, s := range h.b.servers.sorted {
			h.loads[s.ID], h.inFlight[s.ID] = x, 250*x
		}
		n := 0
		for i := range 40 { // in two seconds
			id := fmt.Sprint(i)
			h.feed(Request{ID: id, Key: "k" + id, Class: "safe", Timeout: 2 * time.Second, MidFlow: true})
			if s, ok := lastAction[Send](h); ok && s.ID == id {
				n++
				h.feed(AttemptEstablished{ID: id, Server: s.Server})
				h.feed(AttemptEnded{ID: id, Final: true})
			} else {
				h.feed(ClientDisconnected{ID: id})
			}
			for _, s := range h.b.servers.sorted {
				s.estimate.placed = 0 // other balancers' placements are unknown, so the own ones are ignored too
			}
			h.advance(50 * ms)
		}
		return n
	}
	if low, high := sent(0.3), sent(0.85); low < 30 || high > low/2 || high == 0 {
		t.Errorf("of 40 mid-flow connections %d were sent at a load of 0.3, %d at 0.85", low, high)
	}
}
