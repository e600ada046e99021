package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Balancers that see the same late report with room for ten must not all send ten.
func TestRoomGoesByLot(t *testing.T) {
	admitted := func(balancers int) int {
		c := testConfig()
		c.Balancers = balancers
		r := newRig(t, c, servers(2)...)
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
	alone, many := admitted(1), admitted(50)
	if many > alone/5 || alone == 0 {
		t.Errorf("one balancer admitted %d, one of fifty %d", alone, many)
	}
}

// A server that had a second of work piled up read a load of 0.5 and took newcomers.
func TestNoNewcomersWhereMessagesAreLate(t *testing.T) {
	r := newRig(t, testConfig(), servers(1)...)
	r.open("old", "s00")
	r.loads["s00"] = 0.3
	r.feed(MessageDelay{ID: "old", Server: "s00", Delay: time.Second})
	r.request("x", "safe")
	if _, sent := last[Send](r); sent {
		t.Error("sent to a server that lags")
	}
	r.run(time.Second)
	if _, ok := last[Reject](r); !ok {
		t.Error("not refused before its aim had passed")
	}
}

// A flood beyond a tenant's share is worth little and must leave room to the others.
func TestTrafficBeyondAShareGivesWay(t *testing.T) {
	c := testConfig()
	c.Tenants = []Tenant{{Name: "flood", ConnectionQuota: 10}, {Name: "calm", ConnectionQuota: 10}}
	for tenant, want := range map[string]bool{"flood": false, "calm": true} {
		r := newRig(t, c, servers(2)...)
		for i := range 30 {
			r.feed(AdoptedConnection{Request: Request{ID: fmt.Sprint(i), Class: "safe", Tenant: "flood"}, Server: "s00"})
		}
		r.loads["s00"], r.loads["s01"] = 0.68, 0.68
		r.rif["s00"], r.rif["s01"] = 60, 60
		r.feed(Request{ID: "x", Class: "safe", Tenant: tenant, Timeout: time.Second})
		r.run(time.Second)
		if _, sent := last[Send](r); sent != want {
			t.Errorf("%s: sent %v", tenant, sent)
		}
	}
}

// A server run ten times slower empties, reads as empty, and was filled again every few seconds.
func TestOverloadIsRemembered(t *testing.T) {
	admitted := func(overloads int) int {
		r := newRig(t, testConfig(), servers(4)...)
		s := r.b.servers.byID["s00"]
		for range overloads {
			r.b.takeReport(s, LoadReport{Load: 3, InFlight: -1, BacklogSeconds: -1})
			r.b.evacuateIfFaulty(s)
			r.b.now += r.b.settleTime()
		}
		r.b.takeReport(s, LoadReport{Load: 0.2, InFlight: -1, BacklogSeconds: -1})
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
	if fine, sick := admitted(0), admitted(4); sick > fine/2 || fine == 0 {
		t.Errorf("%d newcomers without, %d after four overloads", fine, sick)
	}
}

// Classes are uneven: where one asks eight times another's load, a server with room for four mean connections
// has none for eight of the heavy. Loads are told in any unit; idle connections tell nothing of their class.
func TestNewcomersCountAsTheirClassTold(t *testing.T) {
	r := newRig(t, testConfig(), servers(2)...)
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
		t.Fatalf("weights %v and %v, told were 16/9 and 2/9 of the mean", w, v)
	}
	if w := r.b.classLoads.weight("unsafe"); w != 1 {
		t.Errorf("a class that told nothing weighs %v", w)
	}
	for _, s := range r.b.servers.sorted { // room for one mean connection and a half
		s.reading.load, s.reading.known, s.reading.at, s.estimate.step, r.loads[s.ID] = 0.74, true, r.now, 0.04, 0.74
	}
	heavy := &request{Request: Request{Class: "safe"}, class: r.b.classes.byName["safe"]}
	light := &request{Request: Request{Class: "keyed"}, class: r.b.classes.byName["keyed"]}
	if s := r.b.servers.sorted[0]; r.b.admit(s, heavy) || !r.b.admit(s, light) {
		t.Error("room for 1.5 mean connections: want none for a heavy one, some for a light one")
	}
}

// A new configuration while the balancer serves: what stands goes on counting for its tenant.
func TestSettingsAreTakenWhileServing(t *testing.T) {
	r := newRig(t, testConfig(), servers(2)...)
	cfg := testConfig()
	cfg.Tenants = []Tenant{{Name: "a", ConnectionQuota: 10}}
	r.feed(ConfigUpdate{cfg})
	r.feed(AdoptedConnection{Request: Request{ID: "x", Class: "safe", Tenant: "a"}, Server: "s00"})
	cfg.Tenants, cfg.MaxAttempts = []Tenant{{Name: "a", ConnectionQuota: 20}}, 1
	cfg.Classes = cfg.Classes[:1]
	r.feed(ConfigUpdate{cfg})
	if a := r.b.tenants["a"]; a.openConnections != 1 || a.ConnectionQuota != 20 || r.b.config.MaxAttempts != 1 ||
		len(r.b.classes.byName) != 1 {
		t.Errorf("%+v, %d attempts, %d classes", a, r.b.config.MaxAttempts, len(r.b.classes.byName))
	}
	r.feed(AttemptEnded{ID: "x", Server: "s00", Result: ResultCanceled, Final: true})
	if a := r.b.tenants["a"]; a.openConnections != 0 {
		t.Errorf("%d open", a.openConnections)
	}
	cfg.Balancers = 0
	if r.feed(ConfigUpdate{cfg}); r.b.config.Balancers == 0 {
		t.Error("settings that can't work were taken")
	}
}

func TestDrainingServerGetsNothing(t *testing.T) {
	r := newRig(t, testConfig(), servers(3)...)
	list := servers(3)
	list[0].State, list[1].State = Draining, Gone
	r.feed(ServerList{Kind: ListDelta, Servers: list[:2]})
	for i := range 20 {
		if s := r.connect(fmt.Sprint(i)); s != "s02" {
			t.Fatalf("sent to %s", s)
		}
	}
}
