package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// If many balancers see the same delayed report with capacity for ten connections, they must not send ten each.
func TestCapacityIsDividedAmongBalancers(t *testing.T) {
	admitted := func(balancers int) int {
		c := testConfig()
		c.Balancers = balancers
		h := newHarness(t, c, servers(2)...)
		n := 0
		for i := range 200 {
			s := h.b.servers.byID["s00"]
			s.reading.load, s.estimate.step, s.estimate.placed, s.reading.known = 0.65, 0.01, 0, true
			if h.b.admit(s, &request{class: h.b.classes.byName["safe"]}) {
				n++
			}
			h.now += 10 * ms
			h.feed(ClientDisconnected{ID: fmt.Sprint(i)})
		}
		return n
	}
	alone, oneOfFifty := admitted(1), admitted(50)
	if oneOfFifty > alone/5 || alone == 0 {
		t.Errorf("a single balancer admitted %d requests, one of fifty balancers %d", alone, oneOfFifty)
	}
}

// A server with a backlog of 1 s of work reported a load of 0.5 and was sent new requests.
func TestNoNewRequestsWhileMessagesAreLate(t *testing.T) {
	h := newHarness(t, testConfig(), servers(1)...)
	h.adopt("old", "s00")
	h.loads["s00"] = 0.3
	h.feed(MessageDelay{ID: "old", Server: "s00", Delay: time.Second})
	h.request("x", "safe")
	if _, sent := lastAction[Send](h); sent {
		t.Error("sent to a server whose messages are late")
	}
	h.advance(time.Second)
	if _, ok := lastAction[Reject](h); !ok {
		t.Error("not rejected when the latency objective had passed")
	}
}

// Requests of a tenant over its quota have low priority and must leave capacity to other tenants.
func TestTenantOverQuotaIsRejectedFirst(t *testing.T) {
	c := testConfig()
	c.Tenants = []Tenant{{Name: "flood", ConnectionQuota: 10}, {Name: "calm", ConnectionQuota: 10}}
	for tenant, want := range map[string]bool{"flood": false, "calm": true} {
		h := newHarness(t, c, servers(2)...)
		for i := range 30 {
			h.feed(AdoptedConnection{Request: Request{ID: fmt.Sprint(i), Class: "safe", Tenant: "flood"}, Server: "s00"})
		}
		h.loads["s00"], h.loads["s01"] = 0.68, 0.68
		h.inFlight["s00"], h.inFlight["s01"] = 60, 60
		h.feed(Request{ID: "x", Class: "safe", Tenant: tenant, Timeout: time.Second})
		h.advance(time.Second)
		if _, sent := lastAction[Send](h); sent != want {
			t.Errorf("%s: sent %v", tenant, sent)
		}
	}
}

// A server that ran ten times slower was evacuated, reported no load, and was filled again every few seconds.
func TestRepeatedOverloadReducesAdmission(t *testing.T) {
	admitted := func(overloads int) int {
		h := newHarness(t, testConfig(), servers(4)...)
		s := h.b.servers.byID["s00"]
		for range overloads {
			h.b.applyReport(s, LoadReport{Load: 3, InFlight: -1, BacklogSeconds: -1})
			h.b.evacuateIfFaulty(s)
			h.b.now += h.b.settleTime()
		}
		h.b.applyReport(s, LoadReport{Load: 0.2, InFlight: -1, BacklogSeconds: -1})
		n := 0
		for range 400 {
			h.b.now += 5 * ms
			s.estimate.step, s.estimate.placed = 0.05, 0
			if h.b.admit(s, &request{class: h.b.classes.byName["safe"]}) {
				n++
			}
		}
		return n
	}
	if without, after := admitted(0), admitted(4); after > without/2 || without == 0 {
		t.Errorf("admitted %d new requests without an overload, %d after four overloads", without, after)
	}
}

// Admission uses the loads that connections report, by class: if one class has eight times the load of another, a
// server with capacity for four mean connections has none for eight of the heavier class. Loads are reported in any
// unit, and idle connections do not count for their class.
func TestAdmissionUsesReportedClassLoads(t *testing.T) {
	h := newHarness(t, testConfig(), servers(2)...)
	for i := range 40 {
		class, load := "safe", 800e3
		if i%2 == 0 {
			class, load = "keyed", 100e3
		}
		h.feed(AdoptedConnection{Request: Request{ID: fmt.Sprint(i), Key: fmt.Sprint(i), Class: class}, Server: "s00"})
		h.feed(ConnectionLoad{ID: fmt.Sprint(i), Load: load})
		h.feed(ConnectionLoad{ID: fmt.Sprint(i)})
		h.feed(ConnectionLoad{ID: fmt.Sprint(i), Load: -1})
	}
	if w, v := h.b.classLoads.weight("safe"), h.b.classLoads.weight("keyed"); math.Abs(w-16.0/9) > 0.1 ||
		math.Abs(v-2.0/9) > 0.05 {
		t.Fatalf("weights %v and %v, want 16/9 and 2/9 of the mean as reported", w, v)
	}
	if w := h.b.classLoads.weight("unsafe"); w != 1 {
		t.Errorf("a class without reported loads has weight %v, want 1", w)
	}
	for _, s := range h.b.servers.sorted { // capacity for 1.5 mean connections
		s.reading.load, s.reading.known, s.reading.at, s.estimate.step, h.loads[s.ID] = 0.74, true, h.now, 0.04, 0.74
	}
	heavy := &request{Request: Request{Class: "safe"}, class: h.b.classes.byName["safe"]}
	light := &request{Request: Request{Class: "keyed"}, class: h.b.classes.byName["keyed"]}
	if s := h.b.servers.sorted[0]; h.b.admit(s, heavy) || !h.b.admit(s, light) {
		t.Error("with capacity for 1.5 mean connections, want a heavy one rejected and a light one admitted")
	}
}

// After a change of the settings, established connections still count for their tenant.
func TestConfigUpdateKeepsConnectionCounts(t *testing.T) {
	h := newHarness(t, testConfig(), servers(2)...)
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "a", ConnectionQuota: 10}}
	h.feed(ConfigUpdate{cfg})
	h.feed(AdoptedConnection{Request: Request{ID: "x", Class: "safe", Tenant: "a"}, Server: "s00"})
	cfg.Tenants, cfg.MaxAttempts = []Tenant{{Name: "a", ConnectionQuota: 20}}, 1
	cfg.Classes = cfg.Classes[:1]
	h.feed(ConfigUpdate{cfg})
	if a := h.b.tenants["a"]; a.openConnections != 1 || a.ConnectionQuota != 20 || h.b.config.MaxAttempts != 1 ||
		len(h.b.classes.byName) != 1 {
		t.Errorf("tenant %+v, limit of %d attempts, %d classes", a, h.b.config.MaxAttempts, len(h.b.classes.byName))
	}
	h.feed(AttemptEnded{ID: "x", Server: "s00", Result: ResultCanceled, Final: true})
	if a := h.b.tenants["a"]; a.openConnections != 0 {
		t.Errorf("%d connections counted after the end of the only one", a.openConnections)
	}
	cfg.Balancers = 0
	if h.feed(ConfigUpdate{cfg}); h.b.config.Balancers == 0 {
		t.Error("invalid settings were applied")
	}
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	h := newHarness(t, testConfig(), servers(3)...)
	list := servers(3)
	list[0].State, list[1].State = Draining, Gone
	h.feed(ServerList{Kind: ListDelta, Servers: list[:2]})
	for i := range 20 {
		if s := h.connect(fmt.Sprint(i)); s != "s02" {
			t.Fatalf("sent to %s, want s02, the only live server", s)
		}
	}
}
