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
		r := newHarness(t, c, servers(2)...)
		n := 0
		for i := range 200 {
			s := r.b.servers.byID["s00"]
			s.reading.load, s.estimate.step, s.estimate.placed, s.reading.known = 0.65, 0.01, 0, true
			if r.b.admit(s, &request{class: r.b.classes.byName["safe"]}) {
				n++
			}
			r.now += 10 * ms
			r.feed(ClientDisconnected{ID: fmt.Sprint(i)})
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
	r := newHarness(t, testConfig(), servers(1)...)
	r.adopt("old", "s00")
	r.loads["s00"] = 0.3
	r.feed(MessageDelay{ID: "old", Server: "s00", Delay: time.Second})
	r.request("x", "safe")
	if _, sent := lastAction[Send](r); sent {
		t.Error("sent to a server whose messages are late")
	}
	r.advance(time.Second)
	if _, ok := lastAction[Reject](r); !ok {
		t.Error("not rejected when the latency objective had passed")
	}
}

// Requests of a tenant over its quota have low priority and must leave capacity to other tenants.
func TestTenantOverQuotaIsRejectedFirst(t *testing.T) {
	c := testConfig()
	c.Tenants = []Tenant{{Name: "flood", ConnectionQuota: 10}, {Name: "calm", ConnectionQuota: 10}}
	for tenant, want := range map[string]bool{"flood": false, "calm": true} {
		r := newHarness(t, c, servers(2)...)
		for i := range 30 {
			r.feed(AdoptedConnection{Request: Request{ID: fmt.Sprint(i), Class: "safe", Tenant: "flood"}, Server: "s00"})
		}
		r.loads["s00"], r.loads["s01"] = 0.68, 0.68
		r.inFlight["s00"], r.inFlight["s01"] = 60, 60
		r.feed(Request{ID: "x", Class: "safe", Tenant: tenant, Timeout: time.Second})
		r.advance(time.Second)
		if _, sent := lastAction[Send](r); sent != want {
			t.Errorf("%s: sent %v", tenant, sent)
		}
	}
}

// A server that ran ten times slower was evacuated, reported no load, and was filled again every few seconds.
func TestRepeatedOverloadReducesAdmission(t *testing.T) {
	admitted := func(overloads int) int {
		r := newHarness(t, testConfig(), servers(4)...)
		s := r.b.servers.byID["s00"]
		for range overloads {
			r.b.applyReport(s, LoadReport{Load: 3, InFlight: -1, BacklogSeconds: -1})
			r.b.evacuateIfFaulty(s)
			r.b.now += r.b.settleTime()
		}
		r.b.applyReport(s, LoadReport{Load: 0.2, InFlight: -1, BacklogSeconds: -1})
		n := 0
		for range 400 {
			r.b.now += 5 * ms
			s.estimate.step, s.estimate.placed = 0.05, 0
			if r.b.admit(s, &request{class: r.b.classes.byName["safe"]}) {
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
	r := newHarness(t, testConfig(), servers(2)...)
	for i := range 40 {
		class, load := "safe", 800e3
		if i%2 == 0 {
			class, load = "keyed", 100e3
		}
		r.feed(AdoptedConnection{Request: Request{ID: fmt.Sprint(i), Key: fmt.Sprint(i), Class: class}, Server: "s00"})
		r.feed(ConnectionLoad{ID: fmt.Sprint(i), Load: load})
		r.feed(ConnectionLoad{ID: fmt.Sprint(i)})
		r.feed(ConnectionLoad{ID: fmt.Sprint(i), Load: -1})
	}
	if w, v := r.b.classLoads.weight("safe"), r.b.classLoads.weight("keyed"); math.Abs(w-16.0/9) > 0.1 ||
		math.Abs(v-2.0/9) > 0.05 {
		t.Fatalf("weights %v and %v, want 16/9 and 2/9 of the mean as reported", w, v)
	}
	if w := r.b.classLoads.weight("unsafe"); w != 1 {
		t.Errorf("a class without reported loads has weight %v, want 1", w)
	}
	for _, s := range r.b.servers.sorted { // capacity for 1.5 mean connections
		s.reading.load, s.reading.known, s.reading.at, s.estimate.step, r.loads[s.ID] = 0.74, true, r.now, 0.04, 0.74
	}
	heavy := &request{Request: Request{Class: "safe"}, class: r.b.classes.byName["safe"]}
	light := &request{Request: Request{Class: "keyed"}, class: r.b.classes.byName["keyed"]}
	if s := r.b.servers.sorted[0]; r.b.admit(s, heavy) || !r.b.admit(s, light) {
		t.Error("with capacity for 1.5 mean connections, want a heavy one rejected and a light one admitted")
	}
}

// After a change of the settings, established connections still count for their tenant.
func TestConfigUpdateKeepsConnectionCounts(t *testing.T) {
	r := newHarness(t, testConfig(), servers(2)...)
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "a", ConnectionQuota: 10}}
	r.feed(ConfigUpdate{cfg})
	r.feed(AdoptedConnection{Request: Request{ID: "x", Class: "safe", Tenant: "a"}, Server: "s00"})
	cfg.Tenants, cfg.MaxAttempts = []Tenant{{Name: "a", ConnectionQuota: 20}}, 1
	cfg.Classes = cfg.Classes[:1]
	r.feed(ConfigUpdate{cfg})
	if a := r.b.tenants["a"]; a.openConnections != 1 || a.ConnectionQuota != 20 || r.b.config.MaxAttempts != 1 ||
		len(r.b.classes.byName) != 1 {
		t.Errorf("tenant %+v, limit of %d attempts, %d classes", a, r.b.config.MaxAttempts, len(r.b.classes.byName))
	}
	r.feed(AttemptEnded{ID: "x", Server: "s00", Result: ResultCanceled, Final: true})
	if a := r.b.tenants["a"]; a.openConnections != 0 {
		t.Errorf("%d connections counted after the end of the only one", a.openConnections)
	}
	cfg.Balancers = 0
	if r.feed(ConfigUpdate{cfg}); r.b.config.Balancers == 0 {
		t.Error("invalid settings were applied")
	}
}

func TestDrainingServerGetsNoRequests(t *testing.T) {
	r := newHarness(t, testConfig(), servers(3)...)
	list := servers(3)
	list[0].State, list[1].State = Draining, Gone
	r.feed(ServerList{Kind: ListDelta, Servers: list[:2]})
	for i := range 20 {
		if s := r.connect(fmt.Sprint(i)); s != "s02" {
			t.Fatalf("sent to %s, want s02, the only live server", s)
		}
	}
}
