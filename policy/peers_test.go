package policy

import (
	"fmt"
	"testing"
	"time"
)

func newListedBalancer(t *testing.T, n int, change func(c *Config)) (*Balancer, time.Duration) {
	t.Helper()
	c := testConfig()
	c.Balancers = 10
	if change != nil {
		change(&c)
	}
	b, err := New(c, 1)
	if err != nil {
		t.Fatal(err)
	}
	var list []Server
	for i := range n {
		list = append(list, Server{ID: fmt.Sprint("s", i), Zone: "a", Weight: 1})
	}
	b.Step(time.Hour, ServerList{Kind: ListFull, Servers: list}, nil)
	return b, time.Hour
}

func probedServers(actions []Action) (ids []string) {
	for _, a := range actions {
		if p, ok := a.(Probe); ok {
			ids = append(ids, p.Server)
		}
	}
	return ids
}

// Only candidates are sampled, both for new requests and for exploration. If no candidate is live, or the list of
// candidates is empty, all servers are considered.
func TestOnlyCandidatesAreSampled(t *testing.T) {
	b, now := newListedBalancer(t, 10, nil)
	b.Step(now, CandidateSubset{Servers: []string{"s3", "s5", "s9"}}, nil)
	sampledServers := func(n int) map[string]bool {
		sampled := map[string]bool{}
		for i := range n {
			now += 10 * time.Second
			q := Request{ID: fmt.Sprint(now, i), Key: fmt.Sprint(now), Class: "safe", Timeout: time.Second}
			for _, id := range probedServers(b.Step(now, q, nil)) {
				sampled[id] = true
				b.Step(now, ProbeResult{Server: id, Result: ResultFailed}, nil)
			}
			b.Step(now, ClientDisconnected{ID: q.ID}, nil)
		}
		return sampled
	}
	if got := sampledServers(60); len(got) != 3 || !got["s3"] || !got["s5"] || !got["s9"] {
		t.Errorf("sampled: %v, want the three candidates", got)
	}
	r := &request{Request: Request{ID: "x", Class: "safe"}, class: b.classes.byName["safe"], mayHaveRunAt: -1}
	r.server = b.servers.byID["s3"]
	for range 100 {
		if s := b.randomOtherServer(r); s.ID != "s5" && s.ID != "s9" {
			t.Fatalf("explores %s, which is no other candidate", s.ID)
		}
	}
	if b.subsetSize() != 3 {
		t.Errorf("the subset has %d servers, want 3", b.subsetSize())
	}
	var change []Server
	for _, id := range []string{"s3", "s5", "s9"} {
		change = append(change, Server{ID: id, Zone: "a", Weight: 1, State: Draining})
	}
	b.Step(now, ServerList{Kind: ListDelta, Servers: change}, nil)
	if got := sampledServers(60); len(got) != 7 {
		t.Errorf("with all candidates draining, sampled: %v", got)
	}
	b.Step(now, CandidateSubset{}, nil)
	if b.subsetSize() != 10 {
		t.Errorf("without candidates, %d of 10 servers are considered", b.subsetSize())
	}
}

// Another balancer's reading replaces a probe, for longer the more free capacity it shows. It is not reported as this
// balancer's own reading, and a reading older than its own has no effect.
func TestPeerReadingsSaveProbes(t *testing.T) {
	b, now := newListedBalancer(t, 2, nil)
	probesForRequest := func(id string) []string {
		return probedServers(b.Step(now, Request{ID: id, Key: id, Class: "safe", Timeout: time.Second}, nil))
	}
	for _, id := range []string{"s0", "s1"} {
		b.Step(now, PeerReading{Server: id, Load: 0.2, Age: 300 * time.Millisecond}, nil)
	}
	now += time.Second
	if got := probesForRequest("a"); len(got) != 0 {
		t.Errorf("with free capacity reported 1.3 s ago, probed %v", got)
	}
	for _, reading := range b.LoadReadings() {
		t.Errorf("reading of %s with load %v reported as an own one", reading.Server, reading.Load)
	}
	now += 10 * time.Second
	for _, id := range []string{"s0", "s1"} {
		b.Step(now, PeerReading{Server: id, Load: 0.78, Age: 300 * time.Millisecond}, nil)
	}
	now += time.Second
	if got := probesForRequest("b"); len(got) != 2 {
		t.Errorf("with servers near full, probed %v", got)
	}
	b.Step(
		now,
		ProbeResult{Server: "s0", Report: report(0.5, 5)},
		nil,
	)
	b.Step(now, PeerReading{Server: "s0", Load: 0.1, Age: 50 * time.Millisecond}, nil)
	if x := b.servers.byID["s0"].reading.load; x != 0.5 {
		t.Errorf("an older reading of another balancer replaced the own one: %v", x)
	}
	now += 10 * time.Second
	if got := probedServers(b.Step(now, PeerReading{Server: "s0", Unreachable: true}, nil)); len(got) != 1 ||
		got[0] != "s0" {
		t.Errorf("after a report that s0 is unreachable, probed %v", got)
	}
	if s := b.servers.byID["s0"]; s.probe.failures != 0 || s.probe.ejectedUntil != 0 {
		t.Error("a server was ejected on another balancer's report alone")
	}
}

// A balancer that is assigned a server probes it for the others, also without connections to it.
func TestAssignedServersAreProbed(t *testing.T) {
	b, now := newListedBalancer(t, 3, nil)
	b.Step(now, FleetState{AssignedServers: []string{"s1"}}, nil)
	probes := 0
	for range 500 { // ten seconds
		now += 20 * time.Millisecond
		for _, id := range probedServers(b.Step(now, TimerFired{"tick"}, nil)) {
			if id != "s1" {
				t.Fatalf("probed %s, want s1 only", id)
			}
			probes++
			b.Step(
				now,
				ProbeResult{Server: id, Report: report(0.3, 9)},
				nil,
			)
		}
	}
	if probes < 10 || probes > 13 {
		t.Errorf("%d probes in 10 s, want one every 0.8 s", probes)
	}
}

// The warm-up budget is divided by FleetState.BudgetDivisor: below 0 this balancer gets no share, at 0 the number of
// balancers in the settings applies.
func TestWarmUpBudgetIsDividedAmongBalancers(t *testing.T) {
	sends := func(f FleetState) float64 {
		b, now := newListedBalancer(t, 1, func(c *Config) {
			c.WarmUpInitialCapacity = 0.3
			c.WarmUpDuration = 10 * time.Second
			c.OverloadMultiple = 4
			c.OverloadWindow = time.Second
		})
		s := b.servers.byID["s0"]
		b.startWarmUp(s, now)
		s.estimate.step, s.warmUp.tokens = 0.05, 0
		b.Step(now, f, nil)
		total := 0.0
		for range 100 {
			b.now += 20 * time.Millisecond
			for b.refillWarmUpBudget(s) >= 1 {
				s.warmUp.tokens--
				total++
			}
		}
		return total + max(0, s.warmUp.tokens)
	}
	tenth, fifth := sends(FleetState{}), sends(FleetState{BudgetDivisor: 5})
	if none := sends(FleetState{BudgetDivisor: -1}); none != 0 {
		t.Errorf("without a share of the budget, %v requests are allowed", none)
	}
	if fifth < 1.9*tenth || fifth > 2.1*tenth {
		t.Errorf("a fifth of the budget is %v, a tenth is %v", fifth, tenth)
	}
}

// A restarted balancer continues with the slot number of the fleet. A shift of the next slot never moves it into the
// past, nor by more than a slot length.
func TestExplorationSlotsFollowTheFleet(t *testing.T) {
	b, now := newListedBalancer(t, 3, nil)
	b.Step(now, TimerFired{"tick"}, nil)
	b.Step(now, FleetState{ExplorationSlots: 40}, nil)
	if b.Activity().ExplorationSlots != 40 {
		t.Errorf("slot number %d, want 40", b.Activity().ExplorationSlots)
	}
	b.Step(now, FleetState{ExplorationSlots: 7}, nil)
	if b.Activity().ExplorationSlots != 40 {
		t.Errorf("the slot number went back to %d", b.Activity().ExplorationSlots)
	}
	for _, shift := range []time.Duration{-time.Hour, time.Hour} {
		before := b.exploration.nextSlotAt
		b.Step(now, FleetState{SlotShift: shift}, nil)
		if b.exploration.nextSlotAt <= now || b.exploration.nextSlotAt > max(before, now+b.slotLength()) {
			t.Errorf("after a shift of %v the next slot starts in %v", shift, b.exploration.nextSlotAt-now)
		}
	}
}

// A request that twice finds no capacity among the candidates tries all servers before it is rejected.
func TestFullCandidatesCauseNoRejection(t *testing.T) {
	b, now := newListedBalancer(t, 10, nil)
	b.Step(now, CandidateSubset{Servers: []string{"s3", "s5"}}, nil)
	sent := ""
	var feed func(ev Event)
	feed = func(ev Event) {
		for _, a := range b.Step(now, ev, nil) {
			switch a := a.(type) {
			case Probe:
				x := 0.2
				if a.Server == "s3" || a.Server == "s5" {
					x = 0.99
				}
				feed(ProbeResult{Server: a.Server, Report: report(x, 100*x)})
			case Send:
				sent = a.Server
			case Reject:
				t.Fatal("rejected although eight servers have capacity")
			}
		}
	}
	feed(Request{ID: "r", Key: "r", Class: "safe", Timeout: 2 * time.Second})
	for range 100 {
		now += 20 * time.Millisecond
		feed(TimerFired{"tick"})
	}
	if sent == "" || sent == "s3" || sent == "s5" {
		t.Errorf("sent to %q", sent)
	}
}
