package policy

import (
	"fmt"
	"testing"
	"time"
)

// A server with free capacity and reports delayed by 2 s was sent 20 connections per second, because the load placed
// by the balancer itself was dropped too early.
func TestPlacedLoadDecaysOverReports(t *testing.T) {
	r := newHarness(t, testConfig(), servers(1)...)
	s := r.b.servers.byID["s00"]
	r.b.applyReport(s, LoadReport{Load: 0.2, InFlight: 10, BacklogSeconds: -1})
	s.estimate.placed = 0.4
	r.b.now += 300 * ms
	r.b.applyReport(s, LoadReport{Load: 0.21, InFlight: 10, BacklogSeconds: -1})
	if s.estimate.placed < 0.25 {
		t.Errorf("%v of the placed load of 0.4 is left after 300 ms", s.estimate.placed)
	}
	r.b.now += 20 * time.Second
	r.b.applyReport(s, LoadReport{Load: 0.6, InFlight: 10, BacklogSeconds: -1})
	if s.estimate.placed > 0.01 {
		t.Errorf("%v of the placed load of 0.4 is left after 20 s", s.estimate.placed)
	}
}

// A third of all probes was rejected for lack of capacity, because late messages and synchronized checks caused too
// many.
func TestProbeRateIsBounded(t *testing.T) {
	r := newHarness(t, testConfig(), servers(40)...)
	for i := range 20 {
		r.adopt(fmt.Sprint(i), fmt.Sprintf("s%02d", i))
	}
	r.actions = nil
	for i := range 1000 {
		r.feed(MessageDelay{ID: "0", Server: "s00", Delay: time.Second})
		if i%10 == 0 {
			r.advance(10 * ms)
		}
	}
	if n := len(actionsOf[Probe](r)); n > 30 {
		t.Errorf("%d probes in a second of late messages", n)
	}
	r.actions = nil
	r.advance(20 * time.Second)
	if n := len(actionsOf[Probe](r)); n > 120 {
		t.Errorf("%d probes in 20 s without traffic, with connections on 20 of 40 servers", n)
	}
}

// A single probe without an answer can be chance. The server must be probed again at once, not at the next regular
// check.
func TestFailedProbeIsRepeatedAtOnce(t *testing.T) {
	r := newHarness(t, testConfig(), servers(4)...)
	r.adopt("x", "s00")
	r.probeResults["s00"] = ResultTimedOut
	r.actions = nil
	r.b.ensureReading(r.b.servers.byID["s00"], nil)
	r.feed(ProbeResult{Server: "s00", Result: ResultTimedOut})
	if n := len(actionsOf[Migrate](r)); n != 1 {
		t.Errorf("%d migrations of 1 connection after two failed probes", n)
	}
}

// After a reload, a server that had lost its connections was considered full because of a reading from 0.7 s before,
// although servers report five times per second. Meanwhile the clients reconnected and were rejected for lack of
// capacity at other servers.
func TestReadingsExpire(t *testing.T) {
	r := newHarness(t, testConfig(), servers(2)...)
	r.loads["s00"], r.loads["s01"] = 0.9, 0.9
	r.request("x", "safe")
	r.loads["s00"] = 0.1
	r.advance(700 * ms)
	r.actions = nil
	r.request("y", "safe")
	if s, ok := lastAction[Send](r); !ok || s.Server != "s00" {
		t.Errorf("actions %v, want a send to the server that has capacity again", r.actions)
	}
	s := r.b.servers.byID["s00"] // the placed load must not be counted any longer than it takes to show in reports
	s.estimate.placed = 0.4
	for range 8 {
		r.advance(200 * ms)
		r.feed(ProbeResult{Server: "s00", Report: &LoadReport{Load: 0.5, InFlight: -1}})
	}
	if s.estimate.placed > 0.1 {
		t.Errorf("a placed load of %v still counts in addition to the reported load", s.estimate.placed)
	}
}

// Under light traffic no new request causes a probe for seconds. A server near full must be probed because of its
// connections, and be evacuated if it stays overloaded while others have capacity.
func TestServersNearFullAreProbed(t *testing.T) {
	for _, others := range []float64{0.5, 0.85} {
		r := newHarness(t, testConfig(), servers(4)...)
		for i, s := range r.b.servers.sorted {
			r.loads[s.ID], r.inFlight[s.ID] = others, 100
			r.adopt(fmt.Sprint("c", i), s.ID)
			r.b.applyReport(s, LoadReport{Load: others, Utilization: -1, InFlight: 100, BacklogSeconds: -1})
		}
		for i := range 60 {
			r.adopt(fmt.Sprint(i), "s00")
		}
		r.b.applyReport(r.b.servers.byID["s00"], LoadReport{Load: 0.85, Utilization: -1, InFlight: 160, BacklogSeconds: -1})
		r.b.exploration.nextSlotAt = r.now + time.Hour // no exploration, so that only the regular probes run
		r.loads["s00"] = 0.97
		r.advance(5 * time.Second)
		n := len(actionsOf[Migrate](r))
		if others < newRequestLoadLimit && (n < 3 || n > 25) {
			t.Errorf("%d of 61 migrated while other servers have capacity", n)
		} else if others > newRequestLoadLimit && n > 0 {
			t.Errorf("%d migrated while no server has capacity", n)
		}
	}
}

// Reports with only a number of connections do not show how many a server can hold. A fixed figure of 100 for a full
// server rejected all requests where servers can hold more, so the numbers are only compared with each other.
func TestReportsWithoutLoadAreCompared(t *testing.T) {
	r := newHarness(t, testConfig(), servers(4)...)
	connections := map[string]float64{"s00": 240, "s01": 250, "s02": 260, "s03": 700}
	sent := map[string]int{}
	for i := range 60 {
		for id, n := range connections {
			s := r.b.servers.byID[id]
			s.probe.pending = false
			r.b.applyReport(s, LoadReport{Load: -1, Utilization: -1, InFlight: n, BacklogSeconds: -1})
		}
		r.request(fmt.Sprint(i), "safe")
		for _, a := range r.actions {
			if s, ok := a.(Send); ok {
				sent[s.Server]++
				r.feed(AttemptEstablished{ID: s.ID, Server: s.Server, Latency: ms})
				r.feed(ClientDisconnected{ID: s.ID})
			}
		}
		r.actions = nil
		r.now += 50 * ms
	}
	if n := sent["s00"] + sent["s01"] + sent["s02"]; n < 50 || sent["s03"] > 0 {
		t.Errorf("sent %v: want nearly all 60 to the three similar servers, none to the one with three times as many", sent)
	}
}

// A server with a backlog reports ten times its capacity with few connections. This load shows how slow the server is,
// not the work of a connection. Used as a load step, it distorted the mean of all servers, and with it the warm-up
// budgets, and it kept the server empty after it had recovered.
func TestBacklogDoesNotChangeLoadStep(t *testing.T) {
	r := newHarness(t, testConfig(), servers(4)...)
	for _, s := range r.b.servers.sorted {
		r.loads[s.ID], r.inFlight[s.ID] = 0.5, 50
		r.b.applyReport(s, LoadReport{Load: 0.5, Utilization: -1, InFlight: 50, BacklogSeconds: -1})
	}
	for i := range 20 {
		r.adopt(fmt.Sprint(i), "s00")
	}
	s := r.b.servers.byID["s00"]
	r.loads["s00"], r.inFlight["s00"] = 9, 3
	r.advance(10 * time.Second)
	if got := r.b.means.step; got > 0.015 {
		t.Errorf("the load step of a mean connection is %.3f, want 0.010", got)
	}
	r.loads["s00"], r.inFlight["s00"] = 0, 0
	r.b.applyReport(s, LoadReport{Load: 0, Utilization: -1, InFlight: 0, BacklogSeconds: -1})
	if q := (&request{class: r.b.classes.byName["safe"]}); (newRequestLoadLimit-r.b.effectiveLoad(s, q))/r.b.loadStep(
		s,
	)/(1+s.estimate.penalty) < 5 {
		t.Errorf(
			"recovered and empty, the server has capacity for %.1f: step %.3f, penalty %.1f",
			(newRequestLoadLimit-s.reading.load)/r.b.loadStep(s)/(1+s.estimate.penalty),
			r.b.loadStep(s),
			s.estimate.penalty,
		)
	}
}
