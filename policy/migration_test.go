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
		h := newHarness(t, testConfig(), servers(4)...)
		for i := range 100 {
			h.adopt(fmt.Sprint(i), "s00")
		}
		h.b.setups.meanMillis = 5000 // set-ups are slow
		h.loads["s00"] = c.load
		if c.delay > 0 {
			h.feed(MessageDelay{ID: "1", Server: "s00", Delay: c.delay})
		} else {
			h.b.ensureReading(h.b.servers.byID["s00"], nil)
			h.feed(ProbeResult{Server: "s00", Report: report(c.load, -1)})
			if n := len(actionsOf[Migrate](h)); n > 0 { // one reading can be noise, or a short burst of set-ups
				t.Errorf("%s: %d migrated after a single reading", name, n)
			}
			h.advance(time.Second)
		}
		if n := len(actionsOf[Migrate](h)); n < c.low || n > c.high {
			t.Errorf("%s: %d of 100 migrated, want %d to %d", name, n, c.low, c.high)
		}
		migrated := len(actionsOf[Migrate](h))
		h.feed(
			ProbeResult{Server: "s00", Report: report(c.load, -1)},
		)
		if n := len(actionsOf[Migrate](h)); n != migrated {
			t.Errorf("%s: %d more migrated before the effect of the first evacuation could show", name, n-migrated)
		}
	}
}

func TestUnreachableServerIsEvacuated(t *testing.T) {
	h := newHarness(t, testConfig(), servers(4)...)
	for i := range 10 {
		h.adopt(fmt.Sprint(i), "s00")
	}
	h.probeResults["s00"] = ResultTimedOut
	h.advance(25 * time.Second) // only the regular probes can show the fault
	if n := len(actionsOf[Migrate](h)); n < 10 {
		t.Errorf("%d of 10 migrated", n)
	}
}

// If most servers look unreachable, the fault is not in the servers, and migrating all connections would do harm.
func TestNoEvacuationWhenMostServersLookUnreachable(t *testing.T) {
	h := newHarness(t, testConfig(), servers(4)...)
	for i := range 40 {
		h.adopt(fmt.Sprint(i), fmt.Sprintf("s%02d", i%4))
	}
	h.advance(2 * time.Second)
	for i := range 4 {
		s := h.b.servers.sorted[i]
		s.probe.failures = 2
	}
	for _, s := range h.b.servers.sorted {
		h.b.actions = nil
		h.b.evacuateIfFaulty(s)
		if len(h.b.actions) > 0 {
			t.Errorf("%d connections migrated away from %s", len(h.b.actions), s.ID)
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
		h := newHarness(t, cfg, servers(2)...)
		h.loads["s00"], h.loads["s01"] = 0.4, c.there
		h.adopt("x", "s00")
		for i := 0; len(actionsOf[Migrate](h)) == 0; i++ {
			if h.advance(time.Second); i > 300 {
				t.Fatal("no exploration within 300 s")
			}
		}
		h.feed(AttemptEnded{ID: "x", Server: "s00", Result: ResultCanceled, Final: true})
		h.feed(Request{ID: "y", Key: "kx", Class: "safe", Timeout: 2 * time.Second})
		if s, _ := lastAction[Send](h); s.ID != "y" || s.Server != "s01" {
			t.Fatalf("%s: explored %q, want s01", name, s.Server)
		}
		h.feed(AttemptEstablished{ID: "y", Server: "s01"})
		h.actions = nil
		h.advance(h.b.slotLength() + 100*ms)
		if returned := len(actionsOf[Migrate](h)) > 0; returned != c.back {
			t.Errorf("%s: returned: %v", name, returned)
		}
		if c.back {
			h.feed(AttemptEnded{ID: "y", Server: "s01", Result: ResultCanceled, Final: true})
			h.feed(Request{ID: "z", Key: "kx", Class: "safe", Timeout: 2 * time.Second})
			if s, _ := lastAction[Send](h); s.ID != "z" || s.Server != "s00" {
				t.Errorf("returned to %q, want s00", s.Server)
			}
		}
	}
}

func TestRejectedExplorerReturns(t *testing.T) {
	cfg := testConfig()
	cfg.MaxExploration = 0.5
	h := newHarness(t, cfg, servers(3)...)
	h.adopt("x", "s00")
	for len(actionsOf[Migrate](h)) == 0 {
		h.advance(time.Second)
	}
	h.feed(AttemptEnded{ID: "x", Server: "s00", Result: ResultCanceled, Final: true})
	h.feed(Request{ID: "y", Key: "kx", Class: "safe", Timeout: 2 * time.Second})
	s, _ := lastAction[Send](h)
	h.feed(AttemptEnded{ID: "y", Server: s.Server, Result: ResultRejected})
	if s, _ := lastAction[Send](h); s.Server != "s00" {
		t.Errorf("sent to %q instead of the earlier server", s.Server)
	}
}

// In the second deployment, draining servers keep their connections until they stop, and then reset them: 53 of 150
// clients reconnected within 1 s and found no capacity for 1.8 s. Only the balancer can migrate the connections before
// that, and it must spread the migrations over time, because migrating all at once causes the same burst.
func TestDrainingServerIsEvacuatedGradually(t *testing.T) {
	h := newHarness(t, testConfig(), servers(4)...)
	for i := range 60 {
		h.adopt(fmt.Sprint(i), "s00")
	}
	h.adopt("elsewhere", "s01")
	draining := servers(4)[:1]
	draining[0].State = Draining
	h.actions = nil
	h.feed(ServerList{Kind: ListDelta, Servers: draining})
	maxPerStep := 0
	for range 100 {
		before := len(actionsOf[Migrate](h))
		h.advance(100 * ms)
		maxPerStep = max(maxPerStep, len(actionsOf[Migrate](h))-before)
	}
	migrated := map[string]bool{}
	for _, m := range actionsOf[Migrate](h) {
		migrated[m.ID] = true
	}
	if len(migrated) != 60 || migrated["elsewhere"] || maxPerStep > 15 {
		t.Errorf("%d of 60 migrated, up to %d in 100 ms", len(migrated), maxPerStep)
	}
}
