package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// Each test here stands for a failure found on the bench, and fails without the code that answers it.

// Incident rules-3: a retry sent 60 ms before the deadline ended after it, and no answer was in time.
func TestNoAttemptCloseToTheDeadline(t *testing.T) {
	r := newRig(t, testConfig(), servers(4)...)
	r.request("x", "safe")
	first, _ := last[Send](r)
	r.run(1980 * ms)
	r.log = nil
	r.feed(AttemptEnded{ID: "x", Server: first.Server, Result: ResultFailed})
	if len(r.log) != 1 {
		t.Fatalf("actions %v", r.log)
	}
	if _, ok := r.log[0].(Reject); !ok {
		t.Errorf("%T in place of the final answer", r.log[0])
	}
}

// A session store in trouble answered nine set-ups in ten with an error, each of which came again at once.
func TestErrorsAtManyServersSlowSetUpsDown(t *testing.T) {
	r := newRig(t, testConfig(), servers(10)...)
	sent := 0
	for i := range 40 {
		r.request(fmt.Sprint(i), "safe")
		for _, a := range r.log {
			if s, ok := a.(Send); ok {
				sent++
				r.feed(AttemptEnded{ID: s.ID, Attempt: r.b.requests[s.ID].attempts - 1, Server: s.Server, Result: ResultFailed})
			}
		}
		r.log = nil
		r.run(5 * ms)
	}
	if sent > 40 {
		t.Errorf("%d sends in 200 ms while every set-up fails", sent)
	}
	if r.b.setupsLimit > 4 {
		t.Errorf("%v set-ups may still be under way", r.b.setupsLimit)
	}
	if r.b.mayExplore(&request{Request: Request{Key: "k"}, class: r.b.classes["safe"]}) {
		t.Error("connections would still be broken to explore")
	}
}

func TestErrorsAtOneServerLeaveTheOthersAlone(t *testing.T) {
	r := newRig(t, testConfig(), servers(10)...)
	window := r.b.setupsLimit
	bad := r.b.sortedServers[0]
	for range 20 {
		r.b.setupsPending++
		r.b.setupFinished(&request{server: bad}, false, 0)
	}
	if r.b.setupsLimit < window {
		t.Errorf("the window fell from %v to %v", window, r.b.setupsLimit)
	}
}

// Overload made set-ups slow, and slow set-ups once kept connections from leaving overloaded servers.
func TestEscapeFromOverload(t *testing.T) {
	for name, c := range map[string]struct {
		load      float64
		delay     time.Duration
		low, high int // connections of 100 that leave
	}{
		"overloaded":          {load: 1.5, low: 32, high: 62}, // down to 0.8 of 1.5: 47 leave
		"fine":                {load: 0.9, low: 0, high: 0},
		"behind with a lot":   {load: 0.9, delay: time.Second, low: 30, high: 60}, // down to 0.5 of 0.9
		"behind with nothing": {load: 0.9, delay: 50 * ms, low: 0, high: 0},
	} {
		r := newRig(t, testConfig(), servers(4)...)
		for i := range 100 {
			r.open(fmt.Sprint(i), "s00")
		}
		r.b.setupsMeanMillis = 5000 // set-ups are slow
		r.loads["s00"] = c.load
		if c.delay > 0 {
			r.feed(MessageDelay{ID: "1", Server: "s00", Delay: c.delay})
		} else {
			r.b.ensureReading(r.b.servers["s00"], nil)
			r.feed(ProbeResult{Server: "s00", Report: &LoadReport{Load: c.load, Utilization: -1, InFlight: -1, BacklogSeconds: -1}})
			if n := len(all[Migrate](r)); n > 0 { // it may be noise, or a wave of set-ups that is over soon
				t.Errorf("%s: %d left by a single reading", name, n)
			}
			r.run(time.Second)
		}
		if n := len(all[Migrate](r)); n < c.low || n > c.high {
			t.Errorf("%s: %d of 100 left, want %d to %d", name, n, c.low, c.high)
		}
		moved := len(all[Migrate](r))
		r.feed(ProbeResult{Server: "s00", Report: &LoadReport{Load: c.load, Utilization: -1, InFlight: -1, BacklogSeconds: -1}})
		if n := len(all[Migrate](r)); n != moved {
			t.Errorf("%s: %d more left before the first escape could show", name, n-moved)
		}
	}
}

func TestConnectionsLeaveASilentServer(t *testing.T) {
	r := newRig(t, testConfig(), servers(4)...)
	for i := range 10 {
		r.open(fmt.Sprint(i), "s00")
	}
	r.mute["s00"] = ResultTimedOut
	r.run(25 * time.Second) // nothing points at it but the regular check
	if n := len(all[Migrate](r)); n < 10 {
		t.Errorf("%d of 10 left", n)
	}
}

// When most servers look silent the cause lies elsewhere, and moving everybody would only do harm.
func TestNobodyIsMovedWhenMostServersLookSilent(t *testing.T) {
	r := newRig(t, testConfig(), servers(4)...)
	for i := range 40 {
		r.open(fmt.Sprint(i), fmt.Sprintf("s%02d", i%4))
	}
	r.run(2 * time.Second)
	for i := range 4 {
		s := r.b.sortedServers[i]
		s.probeFailures = 2
	}
	for _, s := range r.b.sortedServers {
		r.b.actions = nil
		r.b.evacuate(s)
		if len(r.b.actions) > 0 {
			t.Errorf("%d left %s", len(r.b.actions), s.ID)
		}
	}
}

// Balancers that see the same late report with room for ten must not all send ten.
func TestRoomGoesByLot(t *testing.T) {
	admitted := func(balancers int) int {
		c := testConfig()
		c.Balancers = balancers
		r := newRig(t, c, servers(2)...)
		n := 0
		for i := range 200 {
			s := r.b.servers["s00"]
			s.readingLoad, s.estimateStep, s.estimatePlaced, s.readingKnown = 0.65, 0.01, 0, true
			if r.b.admit(s, &request{class: r.b.classes["safe"]}) {
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

// A refuge whose report trailed by two seconds took twenty connections a second.
func TestOwnPlacementsOutlastAReport(t *testing.T) {
	r := newRig(t, testConfig(), servers(1)...)
	s := r.b.servers["s00"]
	r.b.takeReport(s, LoadReport{Load: 0.2, InFlight: 10, BacklogSeconds: -1})
	s.estimatePlaced = 0.4
	r.b.now += 300 * ms
	r.b.takeReport(s, LoadReport{Load: 0.21, InFlight: 10, BacklogSeconds: -1})
	if s.estimatePlaced < 0.25 {
		t.Errorf("%v of 0.4 is left after 300 ms", s.estimatePlaced)
	}
	r.b.now += 20 * time.Second
	r.b.takeReport(s, LoadReport{Load: 0.6, InFlight: 10, BacklogSeconds: -1})
	if s.estimatePlaced > 0.01 {
		t.Errorf("%v of 0.4 is left after 20 s", s.estimatePlaced)
	}
}

// A third of all probes was turned away: late messages and checks in step asked for too many.
func TestProbesFollowTraffic(t *testing.T) {
	r := newRig(t, testConfig(), servers(40)...)
	for i := range 20 {
		r.open(fmt.Sprint(i), fmt.Sprintf("s%02d", i))
	}
	r.log = nil
	for i := range 1000 {
		r.feed(MessageDelay{ID: "0", Server: "s00", Delay: time.Second})
		if i%10 == 0 {
			r.run(10 * ms)
		}
	}
	if n := len(all[Probe](r)); n > 30 {
		t.Errorf("%d probes in a second of late messages", n)
	}
	r.log = nil
	r.run(20 * time.Second)
	if n := len(all[Probe](r)); n > 120 {
		t.Errorf("%d probes in 20 s without traffic, with connections on 20 of 40 servers", n)
	}
}

// A cold server reads empty; a fleet's newcomers would push it over.
func TestColdServerGetsItsBudget(t *testing.T) {
	c := testConfig()
	c.Balancers = 20
	list := servers(2)
	list[1].StartedAt = time.Hour
	r := newRig(t, c, list...)
	r.loads["s00"], r.rif["s00"] = 0.6, 30 // 50 connections fill a server
	r.b.takeReport(r.b.servers["s00"], LoadReport{Load: 0.6, InFlight: 30, BacklogSeconds: -1})
	sent := 0
	for i := range 300 {
		id := fmt.Sprint(i)
		r.request(id, "safe")
		r.run(10 * ms)
		if s, ok := last[Send](r); ok && s.ID == id {
			if s.Server == "s01" {
				sent++
			}
			r.feed(AttemptEstablished{ID: id, Server: s.Server})
		}
		r.feed(ClientDisconnected{ID: id})
	}
	// In 3 s all balancers may send at most 3 * 0.51 * 50/10 * 3 = 23, this one a twentieth of it.
	if sent > 2 {
		t.Errorf("%d connections within 3 s of the start", sent)
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

// The mechanism itself: an explorer goes to its drawn server, and comes back where that is no better.
func TestExploreAndGoBack(t *testing.T) {
	for name, c := range map[string]struct {
		there float64
		back  bool
	}{"worse there": {0.6, true}, "better there": {0.1, false}} {
		cfg := testConfig()
		cfg.MaxExploration = 0.5
		r := newRig(t, cfg, servers(2)...)
		r.loads["s00"], r.loads["s01"] = 0.4, c.there
		r.open("x", "s00")
		for i := 0; len(all[Migrate](r)) == 0; i++ {
			if r.run(time.Second); i > 300 {
				t.Fatal("never explored")
			}
		}
		r.feed(AttemptEnded{ID: "x", Server: "s00", Result: ResultCanceled, Final: true})
		r.feed(Request{ID: "y", Key: "kx", Class: "safe", Timeout: 2 * time.Second})
		if s, _ := last[Send](r); s.ID != "y" || s.Server != "s01" {
			t.Fatalf("%s: the explorer went to %q", name, s.Server)
		}
		r.feed(AttemptEstablished{ID: "y", Server: "s01"})
		r.log = nil
		r.run(r.b.slotLength() + 100*ms)
		if got := len(all[Migrate](r)) > 0; got != c.back {
			t.Errorf("%s: went back: %v", name, got)
		}
		if c.back {
			r.feed(AttemptEnded{ID: "y", Server: "s01", Result: ResultCanceled, Final: true})
			r.feed(Request{ID: "z", Key: "kx", Class: "safe", Timeout: 2 * time.Second})
			if s, _ := last[Send](r); s.ID != "z" || s.Server != "s00" {
				t.Errorf("came back to %q", s.Server)
			}
		}
	}
}

func TestExplorerThatIsTurnedAwayGoesBack(t *testing.T) {
	cfg := testConfig()
	cfg.MaxExploration = 0.5
	r := newRig(t, cfg, servers(3)...)
	r.open("x", "s00")
	for len(all[Migrate](r)) == 0 {
		r.run(time.Second)
	}
	r.feed(AttemptEnded{ID: "x", Server: "s00", Result: ResultCanceled, Final: true})
	r.feed(Request{ID: "y", Key: "kx", Class: "safe", Timeout: 2 * time.Second})
	s, _ := last[Send](r)
	r.feed(AttemptEnded{ID: "y", Server: s.Server, Result: ResultRejected})
	if s, _ := last[Send](r); s.Server != "s00" {
		t.Errorf("placed on %q in place of its old server", s.Server)
	}
}

// A server run ten times slower empties, reads as empty, and was filled again every few seconds.
func TestOverloadIsRemembered(t *testing.T) {
	admitted := func(overloads int) int {
		r := newRig(t, testConfig(), servers(4)...)
		s := r.b.servers["s00"]
		for range overloads {
			r.b.takeReport(s, LoadReport{Load: 3, InFlight: -1, BacklogSeconds: -1})
			r.b.evacuate(s)
			r.b.now += r.b.settleTime()
		}
		r.b.takeReport(s, LoadReport{Load: 0.2, InFlight: -1, BacklogSeconds: -1})
		n := 0
		for range 400 {
			r.b.now += 5 * ms
			s.estimateStep, s.estimatePlaced = 0.05, 0
			if r.b.admit(s, &request{class: r.b.classes["safe"]}) {
				n++
			}
		}
		return n
	}
	if fine, sick := admitted(0), admitted(4); sick > fine/2 || fine == 0 {
		t.Errorf("%d newcomers without, %d after four overloads", fine, sick)
	}
}

// Incident i6519c4: balancers restarted, and thousands of open connections reached others in mid-flow.
func TestAnotherBalancerFindsTheHolder(t *testing.T) {
	one, two := newRig(t, testConfig(), servers(20)...), newRig(t, testConfig(), servers(20)...)
	two.b.rng.Uint64() // another balancer has another random source
	found := 0
	for i := range 100 {
		for _, s := range one.b.sortedServers {
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

// One probe without an answer can be chance; the next must not wait for the next check.
func TestSecondLookAtOnce(t *testing.T) {
	r := newRig(t, testConfig(), servers(4)...)
	r.open("x", "s00")
	r.mute["s00"] = ResultTimedOut
	r.log = nil
	r.b.ensureReading(r.b.servers["s00"], nil)
	r.feed(ProbeResult{Server: "s00", Result: ResultTimedOut})
	if n := len(all[Migrate](r)); n != 1 {
		t.Errorf("%d of 1 left after a probe and a second look", n)
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
	if a := r.b.tenants["a"]; a.openConnections != 1 || a.ConnectionQuota != 20 || r.b.config.MaxAttempts != 1 || len(r.b.classes) != 1 {
		t.Errorf("%+v, %d attempts, %d classes", a, r.b.config.MaxAttempts, len(r.b.classes))
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

// Day reload: a region that had lost its connections was held for full by a reading of 0.7 s before, though
// regions report five times a second, while everybody came again and was refused elsewhere.
func TestReadingsAreNotTrustedForLong(t *testing.T) {
	r := newRig(t, testConfig(), servers(2)...)
	r.loads["s00"], r.loads["s01"] = 0.9, 0.9
	r.request("x", "safe")
	r.loads["s00"] = 0.1
	r.run(700 * ms)
	r.log = nil
	r.request("y", "safe")
	if s, ok := last[Send](r); !ok || s.Server != "s00" {
		t.Errorf("%v in place of a send to the region that has room again", r.log)
	}
	s := r.b.servers["s00"] // and what was placed before counts twice no longer than it takes to show
	s.estimatePlaced = 0.4
	for range 8 {
		r.run(200 * ms)
		r.feed(ProbeResult{Server: "s00", Report: &LoadReport{Load: 0.5, InFlight: -1}})
	}
	if s.estimatePlaced > 0.1 {
		t.Errorf("%v still counts beside what is reported", s.estimatePlaced)
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

// Clients that came again in a wave were refused after 0.75 of the time in which they want to stand, and came
// again at once, while regions had room or were about to report it.
func TestHeldUntilTheAim(t *testing.T) {
	r := newRig(t, testConfig(), servers(2)...)
	r.loads["s00"], r.loads["s01"] = 0.95, 0.95
	for i := range 9 {
		r.request(fmt.Sprint(i), "safe")
	}
	r.run(390 * ms)
	r.loads["s00"] = 0.2
	r.run(105 * ms)
	if s, ok := last[Send](r); !ok || s.Server != "s00" {
		t.Errorf("%v in place of a send where there is room", r.log)
	}
	r.loads["s00"] = 0.95
	r.run(2 * time.Second)
	r.log = nil
	r.request("y", "safe")
	r.run(510 * ms)
	if _, ok := last[Reject](r); !ok {
		t.Errorf("%v in place of a refusal at the aim", r.log)
	}
}

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

// Day rude: lines that no region can use are answered with an error by each. Eight of them among sound ones
// cut the window of set-ups to one and made everybody wait.
func TestUnusableRequestsDontSlowOthersDown(t *testing.T) {
	r := newRig(t, testConfig(), servers(5)...)
	for i := range 40 {
		id := fmt.Sprint(i)
		r.request(id, "safe")
		for try := 0; r.b.requests[id] != nil && !r.b.requests[id].established && try < 9; try++ {
			s, ok := last[Send](r)
			if !ok || s.ID != id {
				r.run(20 * ms)
				continue
			}
			r.log = nil
			if attempt := r.b.requests[id].attempts - 1; i%5 == 4 {
				r.feed(AttemptEnded{ID: id, Attempt: attempt, Server: s.Server, Result: ResultFailed})
			} else {
				r.feed(AttemptEstablished{ID: id, Attempt: attempt, Server: s.Server})
			}
		}
		if r.b.setupsLimit < 8 || r.b.setupsPausedUntil > r.now {
			t.Fatalf("after %d requests the window is %v", i+1, r.b.setupsLimit)
		}
	}
}

// Sends to a cold server that nobody wanted lapse: saved up by eighty balancers, they would all come at once.
func TestUnusedColdSendsLapse(t *testing.T) {
	c := testConfig()
	c.Balancers, c.OverloadWindow = 80, 3*time.Second
	list := servers(1)
	list[0].StartedAt = time.Hour
	ready := 0
	for seed := range int64(400) {
		b, _ := New(c, seed)
		b.Step(time.Hour, ServerList{Kind: ListFull, Servers: list}, nil)
		s := b.servers["s00"]
		s.estimateStep = 0.02 // 50 connections fill it
		for at := range 30 {
			b.now = time.Hour + time.Duration(at)*100*ms
			b.warmUpBudget(s)
		}
		if b.warmUpBudget(s) >= 1 {
			ready++
		}
	}
	// A balancer's part is 0.6*3*0.51*50/10/80 = 0.057 sends a second; a quarter of 3 s of that is 0.043.
	if ready == 0 || ready > 40 {
		t.Errorf("%d of 400 balancers could send at once after 3 idle seconds", ready)
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
		c.Balancers, c.CrossZoneCost = k.balancers, 0.16
		r := newRig(t, c, list...)
		found := 0
		for i := range 200 {
			key := fmt.Sprint("key", i)
			first := r.b.sample(&request{Request: Request{Key: key}, class: r.b.classes["safe"]})
			mid := r.b.sample(&request{Request: Request{Key: key, MidFlow: true}, class: r.b.classes["safe"]})
			if first[0] == mid[0] {
				found++
			}
		}
		if found < k.least || found > k.most {
			t.Errorf("%d balancers: %d of 200 were looked for where they were put", k.balancers, found)
		}
	}
}

// A balancer that holds nothing yet must not take a cold server for one that few connections fill: it would not
// send there for want of budget, so never read it, and so never learn better.
func TestAColdServerIsJudgedByTheOthers(t *testing.T) {
	c := testConfig()
	c.Balancers = 80
	list := servers(3)
	list[2].StartedAt = time.Hour
	r := newRig(t, c, list...)
	for _, id := range []string{"s00", "s01"} {
		for range 20 {
			r.b.takeReport(r.b.servers[id], LoadReport{Load: 0.7, Utilization: -1, InFlight: 140, BacklogSeconds: -1})
		}
	}
	cold := r.b.servers["s02"]
	if got, want := r.b.loadStep(cold), 0.005/r.b.warmUpCapacity(cold); math.Abs(got/want-1) > 0.1 {
		t.Errorf("one connection adds %.4f to a cold server, by the others' reports it is %.4f", got, want)
	}
	r.b.takeReport(cold, LoadReport{Load: 0.09, Utilization: -1, InFlight: 3, BacklogSeconds: -1}) // three large ones
	if got, want := r.b.loadStep(cold), 0.005/r.b.warmUpCapacity(cold); got > 1.4*want {
		t.Errorf("three connections made it %.4f", got)
	}
}

// At thin traffic no newcomer reads a server for seconds. One that was near full is read for its connections' sake,
// and left when it stays over while others have room.
func TestServersNearFullAreWatched(t *testing.T) {
	for _, others := range []float64{0.5, 0.85} {
		r := newRig(t, testConfig(), servers(4)...)
		for i, s := range r.b.sortedServers {
			r.loads[s.ID], r.rif[s.ID] = others, 100
			r.open(fmt.Sprint("c", i), s.ID)
			r.b.takeReport(s, LoadReport{Load: others, Utilization: -1, InFlight: 100, BacklogSeconds: -1})
		}
		for i := range 60 {
			r.open(fmt.Sprint(i), "s00")
		}
		r.b.takeReport(r.b.servers["s00"], LoadReport{Load: 0.85, Utilization: -1, InFlight: 160, BacklogSeconds: -1})
		r.b.explorationNextSlotAt = r.now + time.Hour // nothing but the watch reads
		r.loads["s00"] = 0.97
		r.run(5 * time.Second)
		n := len(all[Migrate](r))
		if others < newcomerLoadLimit && (n < 3 || n > 25) {
			t.Errorf("%d of 61 left where others have room", n)
		} else if others > newcomerLoadLimit && n > 0 {
			t.Errorf("%d were sent away where nobody has room", n)
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
		for _, s := range r.b.sortedServers {
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
			for _, s := range r.b.sortedServers {
				s.estimatePlaced = 0 // the others' placements are no more known than one's own here
			}
			r.run(50 * ms)
		}
		return n
	}
	if low, high := sent(0.3), sent(0.85); low < 30 || high > low/2 || high == 0 {
		t.Errorf("of 40 in mid-flow %d were kept at a load of 0.3, %d at 0.85", low, high)
	}
}

// In an upgrade two processes send to a cold server for one balancer: each takes half of its part.
func TestColdBudgetIsSharedBesides(t *testing.T) {
	sent := func(beside int) (n int) {
		b, err := New(Config{Zone: "a", Balancers: 2, MaxAttempts: 2, ProbesEnabled: true, PollEndpointList: true, OverlappingProcesses: beside,
			PollInterval: 10 * time.Second, WarmUpInitialCapacity: 0.4, WarmUpDuration: 8 * time.Second, OverloadMultiple: 4, OverloadWindow: 3 * time.Second,
			Classes: []Class{{Name: "chat", LatencyObjective: 800 * time.Millisecond}}}, 5)
		if err != nil {
			t.Fatal(err)
		}
		now := time.Hour
		b.Step(now, ServerList{Kind: ListFull, Servers: []Server{{ID: "s", Zone: "a", Weight: 1, StartedAt: now}}}, nil)
		for i := range 400 {
			now += 10 * time.Millisecond
			out := b.Step(now, Request{ID: fmt.Sprint(i), Key: fmt.Sprint(i), Class: "chat", Timeout: 700 * time.Millisecond}, nil)
			out = b.Step(now, TimerFired{Token: "tick"}, out)
			for j := 0; j < len(out); j++ {
				switch a := out[j].(type) {
				case Probe:
					out = b.Step(now, ProbeResult{Server: a.Server, Result: ResultOK, Report: &LoadReport{Load: 0.2, InFlight: 20, Utilization: -1, BacklogSeconds: -1}}, out)
				case Send:
					n++
					out = b.Step(now, AttemptEstablished{ID: a.ID, Server: a.Server}, out)
				}
			}
		}
		return n
	}
	alone, both := sent(0), sent(1)
	if alone < 4 || both > alone*2/3 {
		t.Fatalf("%d alone, %d for each of two", alone, both)
	}
}

// Where each server that holds some of a group works for the whole of it (three mean connections on the second
// deployment), fresh later draws spread a group whose first two servers were full over all servers.
func TestAGroupSpillsInOneOrderAtEveryBalancer(t *testing.T) {
	one, other := newRig(t, testConfig(), servers(12)...), newRig(t, testConfig(), servers(12)...)
	other.b.rng.Uint64() // another random state, as another balancer has
	for g := range 20 {
		r := &request{Request: Request{Group: fmt.Sprint("g", g), Key: "k"}, class: one.b.classes["safe"], mayHaveRunAt: -1}
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
			r.feed(AdoptedConnection{Request: Request{ID: fmt.Sprint(i), Key: fmt.Sprint(i), Group: "g", Class: "safe"}, Server: "s00"})
		}
		r.feed(Request{ID: "x", Key: "x", Group: "g", Class: "safe", Timeout: 2 * time.Second})
		r.run(300 * ms)
		if s, _ := last[Send](r); s.Server != c.sent {
			t.Errorf("group's server at %v, the other at %v: sent to %q, want %q", c.here, c.there, s.Server, c.sent)
		}
		for i := range 8 {
			r.feed(ClientDisconnected{ID: fmt.Sprint(i)})
		}
		if n := r.b.servers["s00"].groupConnections["g"]; c.sent != "s00" && n != 0 {
			t.Errorf("%d of the group left when all are gone", n)
		}
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
	if w, v := r.b.classWeight("safe"), r.b.classWeight("keyed"); math.Abs(w-16.0/9) > 0.1 || math.Abs(v-2.0/9) > 0.05 {
		t.Fatalf("weights %v and %v, told were 16/9 and 2/9 of the mean", w, v)
	}
	if w := r.b.classWeight("unsafe"); w != 1 {
		t.Errorf("a class that told nothing weighs %v", w)
	}
	for _, s := range r.b.sortedServers { // room for one mean connection and a half
		s.readingLoad, s.readingKnown, s.readingAt, s.estimateStep, r.loads[s.ID] = 0.74, true, r.now, 0.04, 0.74
	}
	heavy := &request{Request: Request{Class: "safe"}, class: r.b.classes["safe"]}
	light := &request{Request: Request{Class: "keyed"}, class: r.b.classes["keyed"]}
	if s := r.b.sortedServers[0]; r.b.admit(s, heavy) || !r.b.admit(s, light) {
		t.Error("room for 1.5 mean connections: want none for a heavy one, some for a light one")
	}
}

// Reports that tell only how many connections a server holds say nothing of what it can hold: a hundred each
// (the figure that stood for full) refused everybody where machines hold more.
func TestReportsWithoutALoadOnlyCompare(t *testing.T) {
	r := newRig(t, testConfig(), servers(4)...)
	held := map[string]float64{"s00": 240, "s01": 250, "s02": 260, "s03": 700}
	sent := map[string]int{}
	for i := range 60 {
		for id, n := range held {
			s := r.b.servers[id]
			s.probePending = false
			r.b.takeReport(s, LoadReport{Load: -1, Utilization: -1, InFlight: n, BacklogSeconds: -1})
		}
		r.request(fmt.Sprint(i), "safe")
		for _, a := range r.log {
			if s, ok := a.(Send); ok {
				sent[s.Server]++
				r.feed(AttemptEstablished{ID: s.ID, Server: s.Server, Latency: ms})
				r.feed(ClientDisconnected{ID: s.ID})
			}
		}
		r.log = nil
		r.now += 50 * ms
	}
	if n := sent["s00"] + sent["s01"] + sent["s02"]; n < 50 || sent["s03"] > 0 {
		t.Errorf("sent %v: want nearly all 60 to the three even ones, none to the one with thrice as many", sent)
	}
}

// Draining servers of the second deployment keep their connections until they stop, and then reset them: 53 of 150
// came again within a second, and found no room for 1.8 s. Nobody else sends them off before; all at once is a wave too.
func TestConnectionsLeaveADrainingServerOneByOne(t *testing.T) {
	r := newRig(t, testConfig(), servers(4)...)
	for i := range 60 {
		r.open(fmt.Sprint(i), "s00")
	}
	r.open("elsewhere", "s01")
	draining := servers(4)[:1]
	draining[0].State = Draining
	r.log = nil
	r.feed(ServerList{Kind: ListDelta, Servers: draining})
	most := 0
	for range 100 {
		before := len(all[Migrate](r))
		r.run(100 * ms)
		most = max(most, len(all[Migrate](r))-before)
	}
	moved := map[string]bool{}
	for _, m := range all[Migrate](r) {
		moved[m.ID] = true
	}
	if len(moved) != 60 || moved["elsewhere"] || most > 15 {
		t.Errorf("%d of 60 moved, up to %d in 100 ms", len(moved), most)
	}
}

// One of 300 balancers holds few connections, and none of most groups: what it doesn't know of stands nowhere for it, or
// nearly every newcomer would find servers a tie fuller than they are (calm+mass 0.92 to 0.85).
func TestAGroupThatIsNotKnownHereOpensAnywhere(t *testing.T) {
	r := newRig(t, testConfig(), servers(2)...)
	r.loads["s00"], r.loads["s01"] = 0.7, 0.7
	for i := range 3 {
		r.feed(AdoptedConnection{Request: Request{ID: fmt.Sprint(i), Key: fmt.Sprint(i)}, Server: "s00"}) // of no class: passed over
		r.open(fmt.Sprint("o", i), "s00")                                                       // of no group
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
	if s := r.b.servers["s00"]; len(s.groupConnections) > 1 || r.b.groupConnections[""] != 0 {
		t.Errorf("kept: %v and %v", s.groupConnections, r.b.groupConnections)
	}
}

// A server whose work piles up reads ten times over with few connections: that says how slow it is, not what a connection
// weighs. Held for its weight it poisoned the others' mean, and so the cold ones' budgets, and it kept the server empty
// when it was well again.
func TestAHangTellsNothingOfWeights(t *testing.T) {
	r := newRig(t, testConfig(), servers(4)...)
	for _, s := range r.b.sortedServers {
		r.loads[s.ID], r.rif[s.ID] = 0.5, 50
		r.b.takeReport(s, LoadReport{Load: 0.5, Utilization: -1, InFlight: 50, BacklogSeconds: -1})
	}
	for i := range 20 {
		r.open(fmt.Sprint(i), "s00")
	}
	s := r.b.servers["s00"]
	r.loads["s00"], r.rif["s00"] = 9, 3
	r.run(10 * time.Second)
	if got := r.b.meansStep; got > 0.015 {
		t.Errorf("the mean connection adds %.3f, it is 0.010", got)
	}
	r.loads["s00"], r.rif["s00"] = 0, 0
	r.b.takeReport(s, LoadReport{Load: 0, Utilization: -1, InFlight: 0, BacklogSeconds: -1})
	if q := (&request{class: r.b.classes["safe"]}); (newcomerLoadLimit-r.b.effectiveLoad(s, q))/r.b.loadStep(s)/(1+s.estimatePenalty) < 5 {
		t.Errorf("well again and empty it has room for %.1f: step %.3f, doubt %.1f", (newcomerLoadLimit-s.readingLoad)/r.b.loadStep(s)/(1+s.estimatePenalty), r.b.loadStep(s), s.estimatePenalty)
	}
}
