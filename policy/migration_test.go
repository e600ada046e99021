package policy

import (
	"fmt"
	"testing"
	"time"
)

// Overload makes set-ups slow, and slow set-ups used to prevent migrations away from overloaded servers.
func TestEvacuationOfOverloadedServers(t *testing.T) {
	for name, c := range map[string]struct {
		load      float64
		delay     time.Duration
		low, high int // bounds for the number of migrations of 100 connections
	}{
		"overloaded":          {load: 1.5, low: 32, high: 62}, // from 1.5 to 0.8: 47 are migrated
		"fine":                {load: 0.9, low: 0, high: 0},
		"with a long backlog": {load: 0.9, delay: time.Second, low: 30, high: 60}, // from 0.9 to 0.5
		"with no backlog":     {load: 0.9, delay: 50 * ms, low: 0, high: 0},
	} {
		r := newHarness(t, testConfig(), servers(4)...)
		for i := range 100 {
			r.adopt(fmt.Sprint(i), "s00")
		}
		r.b.setups.meanMillis = 5000 // set-ups are slow
		r.loads["s00"] = c.load
		if c.delay > 0 {
			r.feed(MessageDelay{ID: "1", Server: "s00", Delay: c.delay})
		} else {
			r.b.ensureReading(r.b.servers.byID["s00"], nil)
			r.feed(ProbeResult{Server: "s00", Report: report(c.load, -1)})
			if n := len(actionsOf[Migrate](r)); n > 0 { // one reading can be noise, or a short burst of set-ups
				t.Errorf("%s: %d migrated after a single reading", name, n)
			}
			r.advance(time.Second)
		}
		if n := len(actionsOf[Migrate](r)); n < c.low || n > c.high {
			t.Errorf("%s: %d of 100 migrated, want %d to %d", name, n, c.low, c.high)
		}
		migrated := len(actionsOf[Migrate](r))
		r.feed(
			ProbeResult{Server: "s00", Report: report(c.load, -1)},
		)
		if n := len(actionsOf[Migrate](r)); n != migrated {
			t.Errorf("%s: %d more migrated before the effect of the first evacuation could show", name, n-migrated)
		}
	}
}

func TestUnreachableServerIsEvacuated(t *testing.T) {
	r := newHarness(t, testConfig(), servers(4)...)
	for i := range 10 {
		r.adopt(fmt.Sprint(i), "s00")
	}
	r.probeResults["s00"] = ResultTimedOut
	r.advance(25 * time.Second) // only the regular probes can show the fault
	if n := len(actionsOf[Migrate](r)); n < 10 {
		t.Errorf("%d of 10 migrated", n)
	}
}

// If most servers look unreachable, the fault is not in the servers, and migrating all connections would do harm.
func TestNoEvacuationWhenMostServersLookUnreachable(t *testing.T) {
	r := newHarness(t, testConfig(), servers(4)...)
	for i := range 40 {
		r.adopt(fmt.Sprint(i), fmt.Sprintf("s%02d", i%4))
	}
	r.advance(2 * time.Second)
	for i := range 4 {
		s := r.b.servers.sorted[i]
		s.probe.failures = 2
	}
	for _, s := range r.b.servers.sorted {
		r.b.actions = nil
		r.b.evacuateIfFaulty(s)
		if len(r.b.actions) > 0 {
			t.Errorf("%d connections migrated away from %s", len(r.b.actions), s.ID)
		}
	}
}

// A connection that explores goes to the chosen server, and returns if that server is no better.
func TestExploreAndReturn(t *testing.T) {
	for name, c := range map[string]struct {
		there float64
		back  bool
	}{"worse there": {0.6, true}, "better there": {0.1, false}} {
		cfg := testConfig()
		cfg.MaxExploration = 0.5
		r := newHarness(t, cfg, servers(2)...)
		r.loads["s00"], r.loads["s01"] = 0.4, c.there
		r.adopt("x", "s00")
		for i := 0; len(actionsOf[Migrate](r)) == 0; i++ {
			if r.advance(time.Second); i > 300 {
				t.Fatal("no exploration within 300 s")
			}
		}
		r.feed(AttemptEnded{ID: "x", Server: "s00", Result: ResultCanceled, Final: true})
		r.feed(Request{ID: "y", Key: "kx", Class: "safe", Timeout: 2 * time.Second})
		if s, _ := lastAction[Send](r); s.ID != "y" || s.Server != "s01" {
			t.Fatalf("%s: explored %q, want s01", name, s.Server)
		}
		r.feed(AttemptEstablished{ID: "y", Server: "s01"})
		r.actions = nil
		r.advance(r.b.slotLength() + 100*ms)
		if returned := len(actionsOf[Migrate](r)) > 0; returned != c.back {
			t.Errorf("%s: returned: %v, want %v", name, returned, c.back)
		}
		if c.back {
			r.feed(AttemptEnded{ID: "y", Server: "s01", Result: ResultCanceled, Final: true})
			r.feed(Request{ID: "z", Key: "kx", Class: "safe", Timeout: 2 * time.Second})
			if s, _ := lastAction[Send](r); s.ID != "z" || s.Server != "s00" {
				t.Errorf("returned to %q, want s00", s.Server)
			}
		}
	}
}

func TestRejectedExplorerReturns(t *testing.T) {
	cfg := testConfig()
	cfg.MaxExploration = 0.5
	r := newHarness(t, cfg, servers(3)...)
	r.adopt("x", "s00")
	for len(actionsOf[Migrate](r)) == 0 {
		r.advance(time.Second)
	}
	r.feed(AttemptEnded{ID: "x", Server: "s00", Result: ResultCanceled, Final: true})
	r.feed(Request{ID: "y", Key: "kx", Class: "safe", Timeout: 2 * time.Second})
	s, _ := lastAction[Send](r)
	r.feed(AttemptEnded{ID: "y", Server: s.Server, Result: ResultRejected})
	if s, _ := lastAction[Send](r); s.Server != "s00" {
		t.Errorf("sent to %q instead of the earlier server", s.Server)
	}
}

// In the second deployment, draining servers keep their connections until they stop, and then reset them: 53 of 150
// clients reconnected within 1 s and found no capacity for 1.8 s. Only the balancer can migrate the connections before
// that, and it must spread the migrations over time, because migrating all at once causes the same burst.
func TestDrainingServerIsEvacuatedGradually(t *testing.T) {
	r := newHarness(t, testConfig(), servers(4)...)
	for i := range 60 {
		r.adopt(fmt.Sprint(i), "s00")
	}
	r.adopt("elsewhere", "s01")
	draining := servers(4)[:1]
	draining[0].State = Draining
	r.actions = nil
	r.feed(ServerList{Kind: ListDelta, Servers: draining})
	maxPerStep := 0
	for range 100 {
		before := len(actionsOf[Migrate](r))
		r.advance(100 * ms)
		maxPerStep = max(maxPerStep, len(actionsOf[Migrate](r))-before)
	}
	migrated := map[string]bool{}
	for _, m := range actionsOf[Migrate](r) {
		migrated[m.ID] = true
	}
	if len(migrated) != 60 || migrated["elsewhere"] || maxPerStep > 15 {
		t.Errorf("%d of 60 migrated, up to %d in 100 ms", len(migrated), maxPerStep)
	}
}
