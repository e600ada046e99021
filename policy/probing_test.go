package policy

import (
	"fmt"
	"testing"
	"time"
)

// A server with free capacity and reports delayed by 2 s was sent 20 connections per second, because the load placed
// by the balancer itself was dropped too early.
func TestPlacedLoadDecaysOverReports(t *testing.T) {
	h := newHarness(t, testConfig(), servers(1)...)
	s := h.b.servers.byID["s00"]
	h.b.applyReport(s, LoadReport{Load: 0.2, InFlight: 10, BacklogSeconds: -1})
	s.estimate.placed = 0.4
	h.b.now += 300 * ms
	h.b.applyReport(s, LoadReport{Load: 0.21, InFlight: 10, BacklogSeconds: -1})
	if s.estimate.placed < 0.25 {
		t.Errorf("%v of the placed load of 0.4 is left after 300 ms", s.estimate.placed)
	}
	h.b.now += 20 * time.Second
	h.b.applyReport(s, LoadReport{Load: 0.6, InFlight: 10, BacklogSeconds: -1})
	if s.estimate.placed > 0.01 {
		t.Errorf("%v of the placed load of 0.4 is left after 20 s", s.estimate.placed)
	}
}

// A third of all probes was rejected for lack of capacity, because late messages and synchronized checks caused too
// many.
func TestProbeRateIsBounded(t *testing.T) {
	h := newHarness(t, testConfig(), servers(40)...)
	for i := range 20 {
		h.adopt(fmt.Sprint(i), fmt.Sprintf("s%02d", i))
	}
	h.actions = nil
	for i := range 1000 {
		h.feed(MessageDelay{ID: "0", Server: "s00", Delay: time.Second})
		if i%10 == 0 {
			h.advance(10 * ms)
		}
	}
	if n := len(actionsOf[Probe](h)); n > 30 {
		t.Errorf("%d probes in a second of late messages", n)
	}
	h.actions = nil
	h.advance(20 * time.Second)
	if n := len(actionsOf[Probe](h)); n > 120 {
		t.Errorf("%d probes in 20 s without traffic, with connections on 20 of 40 servers", n)
	}
}

// A single probe without an answer can be chance. The server must be probed again at once, not at the next regular
// check.
func TestFailedProbeIsRepeatedAtOnce(t *testing.T) {
	h := newHarness(t, testConfig(), servers(4)...)
	h.adopt("x", "s00")
	h.probeResults["s00"] = ResultTimedOut
	h.actions = nil
	h.b.ensureReading(h.b.servers.byID["s00"], nil)
	h.feed(ProbeResult{Server: "s00", Result: ResultTimedOut})
	if n := len(actionsOf[Migrate](h)); n != 1 {
		t.Errorf("%d migrations of 1 connection after two failed probes", n)
	}
}

// After a reload, a server that had lost its connections was considered full because of a reading from 0.7 s before,
// although servers report five times per second. Meanwhile the clients reconnected and were rejected for lack of
// capacity at other servers.
func TestReadingsExpire(t *testing.T) {
	h := newHarness(t, testConfig(), servers(2)...)
	h.loads["s00"], h.loads["s01"] = 0.9, 0.9
	h.request("x", "safe")
	h.loads["s00"] = 0.1
	h.advance(700 * ms)
	h.actions = nil
	h.request("y", "safe")
	if s, ok := lastAction[Send](h); !ok || s.Server != "s00" {
		t.Errorf("actions %v, want a send to the server that has capacity again", h.actions)
	}
	s := h.b.servers.byID["s00"] // the placed load must not be counted any longer than it takes to show in reports
	s.estimate.placed = 0.4
	for range 8 {
		h.advance(200 * ms)
		h.feed(ProbeResult{Server: "s00", Report: &LoadReport{Load: 0.5, InFlight: -1}})
	}
	if s.estimate.placed > 0.1 {
		t.Errorf("a placed load of %v still counts in addition to the reported load", s.estimate.placed)
	}
}

// Under light traffic no new request causes a probe for seconds. A server near full must be probed because of its
// connections, and be evacuated if it stays overloaded while others have capacity.
func TestServersNearFullAreProbed(t *testing.T) {
	for _, others := range []float64{0.5, 0.85} {
		h := newHarness(t, testConfig(), servers(4)...)
		for i, s := range h.b.servers.sorted {
			h.loads[s.ID], h.inFlight[s.ID] = others, 100
			h.adopt(fmt.Sprint("c", i), s.ID)
			h.b.applyReport(s, LoadReport{Load: others, Utilization: -1, InFlight: 100, BacklogSeconds: -1})
		}
		for i := range 60 {
			h.adopt(fmt.Sprint(i), "s00")
		}
		h.b.applyReport(h.b.servers.byID["s00"], LoadReport{Load: 0.85, Utilization: -1, InFlight: 160, BacklogSeconds: -1})
		h.b.exploration.nextSlotAt = h.now + time.Hour // no exploration, so that only the regular probes run
		h.loads["s00"] = 0.97
		h.advance(5 * time.Second)
		n := len(actionsOf[Migrate](h))
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
	h := newHarness(t, testConfig(), servers(4)...)
	connections := map[string]float64{"s00": 240, "s01": 250, "s02": 260, "s03": 700}
	sent := map[string]int{}
	for i := range 60 {
		for id, n := range connections {
			s := h.b.servers.byID[id]
			s.probe.pending = false
			h.b.applyReport(s, LoadReport{Load: -1, Utilization: -1, InFlight: n, BacklogSeconds: -1})
		}
		h.request(fmt.Sprint(i), "safe")
		for _, a := range h.actions {
			if s, ok := a.(Send); ok {
				sent[s.Server]++
				h.feed(AttemptEstablished{ID: s.ID, Server: s.Server, Latency: ms})
				h.feed(ClientDisconnected{ID: s.ID})
			}
		}
		h.actions = nil
		h.now += 50 * ms
	}
	if n := sent["s00"] + sent["s01"] + sent["s02"]; n < 50 || sent["s03"] > 0 {
		t.Errorf("sent %v: want nearly all 60 to the three similar servers, none to the one with three times as many", sent)
	}
}

// A server with a backlog reports ten times its capacity with few connections. This load shows how slow the server is,
// not the work of a connection. Used as a load step, it distorted the mean of all servers, and with it the warm-up
// budgets, and it kept the server empty after it had recovered.
func TestBacklogDoesNotChangeLoadStep(t *testing.T) {
	h := newHarness(t, testConfig(), servers(4)...)
	for _, s := range h.b.servers.sorted {
		h.loads[s.ID], h.inFlight[s.ID] = 0.5, 50
		h.b.applyReport(s, LoadReport{Load: 0.5, Utilization: -1, InFlight: 50, BacklogSeconds: -1})
	}
	for i := range 20 {
		h.adopt(fmt.Sprint(i), "s00")
	}
	s := h.b.servers.byID["s00"]
	h.loads["s00"], h.inFlight["s00"] = 9, 3
	h.advance(10 * time.Second)
	if got := h.b.means.step; got > 0.015 {
		t.Errorf("the load step of a mean connection is %.3f, want 0.010", got)
	}
	h.loads["s00"], h.inFlight["s00"] = 0, 0
	h.b.applyReport(s, LoadReport{Load: 0, Utilization: -1, InFlight: 0, BacklogSeconds: -1})
	if q := (&request{class: h.b.classes.byName["safe"]}); (newRequestLoadLimit-h.b.effectiveLoad(s, q))/h.b.loadStep(
		s,
	)/(1+s.estimate.penalty) < 5 {
		t.Errorf(
			"recovered and empty, the server has capacity for %.1f: step %.3f, penalty %.1f",
			(newRequestLoadLimit-s.reading.load)/h.b.loadStep(s)/(1+s.estimate.penalty),
			h.b.loadStep(s),
			s.estimate.penalty,
		)
	}
}
