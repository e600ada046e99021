package policy

import (
	"fmt"
	"testing"
	"time"
)

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
		r.b.setups.meanMillis = 5000 // set-ups are slow
		r.loads["s00"] = c.load
		if c.delay > 0 {
			r.feed(MessageDelay{ID: "1", Server: "s00", Delay: c.delay})
		} else {
			r.b.ensureReading(r.b.servers.byID["s00"], nil)
			r.feed(ProbeResult{Server: "s00", Report: report(c.load, -1)})
			if n := len(all[Migrate](r)); n > 0 { // it may be noise, or a wave of set-ups that is over soon
				t.Errorf("%s: %d left by a single reading", name, n)
			}
			r.run(time.Second)
		}
		if n := len(all[Migrate](r)); n < c.low || n > c.high {
			t.Errorf("%s: %d of 100 left, want %d to %d", name, n, c.low, c.high)
		}
		moved := len(all[Migrate](r))
		r.feed(
			ProbeResult{Server: "s00", Report: report(c.load, -1)},
		)
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
		s := r.b.servers.sorted[i]
		s.probe.failures = 2
	}
	for _, s := range r.b.servers.sorted {
		r.b.actions = nil
		r.b.evacuateIfFaulty(s)
		if len(r.b.actions) > 0 {
			t.Errorf("%d left %s", len(r.b.actions), s.ID)
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

// Draining servers of the second deployment keep their connections until they stop, and then reset them: 53 of 150
// came again within a second, and found no room for 1.8 s. Nobody else sends them off before; all at once is a wave
// too.
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
