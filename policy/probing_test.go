package policy

import (
	"fmt"
	"testing"
	"time"
)

// A refuge whose report trailed by two seconds took twenty connections a second.
func TestOwnPlacementsOutlastAReport(t *testing.T) {
	r := newRig(t, testConfig(), servers(1)...)
	s := r.b.servers.byID["s00"]
	r.b.takeReport(s, LoadReport{Load: 0.2, InFlight: 10, BacklogSeconds: -1})
	s.estimate.placed = 0.4
	r.b.now += 300 * ms
	r.b.takeReport(s, LoadReport{Load: 0.21, InFlight: 10, BacklogSeconds: -1})
	if s.estimate.placed < 0.25 {
		t.Errorf("%v of 0.4 is left after 300 ms", s.estimate.placed)
	}
	r.b.now += 20 * time.Second
	r.b.takeReport(s, LoadReport{Load: 0.6, InFlight: 10, BacklogSeconds: -1})
	if s.estimate.placed > 0.01 {
		t.Errorf("%v of 0.4 is left after 20 s", s.estimate.placed)
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

// One probe without an answer can be chance; the next must not wait for the next check.
func TestSecondLookAtOnce(t *testing.T) {
	r := newRig(t, testConfig(), servers(4)...)
	r.open("x", "s00")
	r.mute["s00"] = ResultTimedOut
	r.log = nil
	r.b.ensureReading(r.b.servers.byID["s00"], nil)
	r.feed(ProbeResult{Server: "s00", Result: ResultTimedOut})
	if n := len(all[Migrate](r)); n != 1 {
		t.Errorf("%d of 1 left after a probe and a second look", n)
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
	s := r.b.servers.byID["s00"] // and what was placed before counts twice no longer than it takes to show
	s.estimate.placed = 0.4
	for range 8 {
		r.run(200 * ms)
		r.feed(ProbeResult{Server: "s00", Report: &LoadReport{Load: 0.5, InFlight: -1}})
	}
	if s.estimate.placed > 0.1 {
		t.Errorf("%v still counts beside what is reported", s.estimate.placed)
	}
}

// At thin traffic no newcomer reads a server for seconds. One that was near full is read for its connections' sake,
// and left when it stays over while others have room.
func TestServersNearFullAreWatched(t *testing.T) {
	for _, others := range []float64{0.5, 0.85} {
		r := newRig(t, testConfig(), servers(4)...)
		for i, s := range r.b.servers.sorted {
			r.loads[s.ID], r.rif[s.ID] = others, 100
			r.open(fmt.Sprint("c", i), s.ID)
			r.b.takeReport(s, LoadReport{Load: others, Utilization: -1, InFlight: 100, BacklogSeconds: -1})
		}
		for i := range 60 {
			r.open(fmt.Sprint(i), "s00")
		}
		r.b.takeReport(r.b.servers.byID["s00"], LoadReport{Load: 0.85, Utilization: -1, InFlight: 160, BacklogSeconds: -1})
		r.b.exploration.nextSlotAt = r.now + time.Hour // nothing but the watch reads
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

// Reports that tell only how many connections a server holds say nothing of what it can hold: a hundred each
// (the figure that stood for full) refused everybody where machines hold more.
func TestReportsWithoutALoadOnlyCompare(t *testing.T) {
	r := newRig(t, testConfig(), servers(4)...)
	held := map[string]float64{"s00": 240, "s01": 250, "s02": 260, "s03": 700}
	sent := map[string]int{}
	for i := range 60 {
		for id, n := range held {
			s := r.b.servers.byID[id]
			s.probe.pending = false
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

// A server whose work piles up reads ten times over with few connections: that says how slow it is, not what a
// connection weighs. Held for its weight it poisoned the others' mean, and so the cold ones' budgets, and it kept
// the server empty when it was well again.
func TestAHangTellsNothingOfWeights(t *testing.T) {
	r := newRig(t, testConfig(), servers(4)...)
	for _, s := range r.b.servers.sorted {
		r.loads[s.ID], r.rif[s.ID] = 0.5, 50
		r.b.takeReport(s, LoadReport{Load: 0.5, Utilization: -1, InFlight: 50, BacklogSeconds: -1})
	}
	for i := range 20 {
		r.open(fmt.Sprint(i), "s00")
	}
	s := r.b.servers.byID["s00"]
	r.loads["s00"], r.rif["s00"] = 9, 3
	r.run(10 * time.Second)
	if got := r.b.means.step; got > 0.015 {
		t.Errorf("the mean connection adds %.3f, it is 0.010", got)
	}
	r.loads["s00"], r.rif["s00"] = 0, 0
	r.b.takeReport(s, LoadReport{Load: 0, Utilization: -1, InFlight: 0, BacklogSeconds: -1})
	if q := (&request{class: r.b.classes.byName["safe"]}); (newcomerLoadLimit-r.b.effectiveLoad(s, q))/r.b.loadStep(
		s,
	)/(1+s.estimate.penalty) < 5 {
		t.Errorf(
			"well again and empty it has room for %.1f: step %.3f, doubt %.1f",
			(newcomerLoadLimit-s.reading.load)/r.b.loadStep(s)/(1+s.estimate.penalty),
			r.b.loadStep(s),
			s.estimate.penalty,
		)
	}
}
