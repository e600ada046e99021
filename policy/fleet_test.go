package policy

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// sideBySide runs many balancers against one set of servers with delayed load reports.
type sideBySide struct {
	balancers  []*Balancer
	held       map[string]float64
	reported   []map[string]float64 // one entry for each step, the latest last
	late       int                  // delay of the reports in steps
	fill       float64              // connections that fill a server
	peak       map[string]float64
	probes     int
	refused    int
	again      []Request
	dead       map[string]bool // servers whose probes end with answer, without a report
	answer     Result
	deadProbes int
}

const stepTime = 20 * time.Millisecond

func newSideBySide(t *testing.T, balancers, late int, fill float64, held map[string]float64) *sideBySide {
	t.Helper()
	f := &sideBySide{held: held, late: late, fill: fill, peak: map[string]float64{}}
	var list []Server
	for id := range held {
		list = append(list, Server{ID: id, Zone: "a", Weight: 1})
	}
	slices.SortFunc(list, func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
	f.note()
	for i := range balancers {
		c := testConfig()
		c.Balancers = balancers
		c.MaxAttempts = 6
		b, err := New(c, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		f.balancers = append(f.balancers, b)
		f.feed(i, time.Hour, ServerList{Kind: ListFull, Servers: list})
	}
	return f
}

func (f *sideBySide) note() {
	now := map[string]float64{}
	for id, n := range f.held {
		now[id] = n
		f.peak[id] = max(f.peak[id], n/f.fill)
	}
	f.reported = append(f.reported, now)
}

func (f *sideBySide) feed(i int, at time.Duration, ev Event) {
	b := f.balancers[i]
	for _, a := range b.Step(at, ev, nil) {
		switch a := a.(type) {
		case Probe:
			f.probes++
			if f.dead[a.Server] {
				f.deadProbes++
				f.feed(i, at, ProbeResult{Server: a.Server, Result: f.answer})
				continue
			}
			n := f.reported[max(0, len(f.reported)-1-f.late)][a.Server]
			f.feed(i, at, ProbeResult{Server: a.Server, Report: report(n/f.fill, n)})
		case Send:
			f.held[a.Server]++
			f.feed(i, at, AttemptEstablished{ID: a.ID, Attempt: 0, Server: a.Server, Latency: stepTime})
		case Reject:
			f.refused++
			f.again = append(f.again, Request{ID: a.ID + "+", Key: a.ID, Class: "safe", Timeout: 2 * time.Second})
		case Migrate:
			f.held[b.requests.byID[a.ID].server.ID]--
			f.again = append(f.again, Request{ID: a.ID + "-", Key: a.ID, Class: "safe", Timeout: 2 * time.Second})
		}
	}
}

// A burst of new requests reaches eighty balancers that all get the same delayed reports, while three of ten servers
// have capacity. None of the three may be overloaded, and their capacity must be used.
func TestAWaveOverManyBalancersOverfillsNoServer(t *testing.T) {
	held := map[string]float64{}
	for i := range 10 {
		held[fmt.Sprint("s", i)] = 170
		if i < 3 {
			held[fmt.Sprint("s", i)] = 110
		}
	}
	f := newSideBySide(t, 80, 15, 200, held)
	next := 0
	for s := range 150 { // three seconds
		at := time.Hour + time.Duration(s+1)*stepTime
		come := f.again
		f.again = nil
		if s < 50 {
			for range 8 {
				next++
				id := fmt.Sprint("r", next)
				come = append(come, Request{ID: id, Key: id, Class: "safe", Timeout: 2 * time.Second})
			}
		}
		for k, q := range come {
			f.feed((next*7+k*13+s)%80, at, q)
		}
		for i := range f.balancers {
			f.feed(i, at, TimerFired{"tick"})
		}
		f.note()
	}
	placed := f.held["s0"] + f.held["s1"] + f.held["s2"] - 330
	for id, x := range f.peak {
		if x > 0.98 {
			t.Errorf("%s had a load of %.2f", id, x)
		}
	}
	if placed < 100 {
		t.Errorf("%.0f of 400 requests were placed, with capacity for 150", placed)
	}
	t.Logf("peaks %v, %.0f placed, %d rejected, %d probes", f.peak, placed, f.refused, f.probes)
}

// A server whose last report shows overload stops answering, or answers with errors, and discovery notifies balancers
// seconds later. Eighty balancers with connections to it may probe it, but must not overload it with probes.
func TestADeadServerIsNotStormedByMany(t *testing.T) {
	for _, answer := range []Result{ResultUnreachable, ResultFailed} {
		held := map[string]float64{"s0": 230, "s1": 120, "s2": 120, "s3": 120}
		f := newSideBySide(t, 80, 15, 200, held)
		for i := range f.balancers {
			for k := range 3 {
				f.feed(
					i,
					time.Hour,
					AdoptedConnection{
						Request: Request{ID: fmt.Sprint(i, "-", k), Key: fmt.Sprint(i, "-", k), Class: "safe"},
						Server:  "s0",
					},
				)
			}
			f.balancers[i].ensureReading(f.balancers[i].servers.byID["s0"], nil)
			f.feed(
				i,
				time.Hour,
				ProbeResult{Server: "s0", Report: report(1.15, 230)},
			)
		}
		f.dead, f.answer = map[string]bool{"s0": true}, answer
		for s := range 150 { // three seconds
			at := time.Hour + time.Duration(s+1)*stepTime
			come := f.again
			f.again = nil
			for k, q := range come {
				f.feed((k*13+s)%80, at, q)
			}
			for i := range f.balancers {
				f.feed(i, at, TimerFired{"tick"})
			}
			f.note()
		}
		if perSecond := float64(f.deadProbes) / 80 / 3; perSecond > 3 {
			t.Errorf("%.1f probes per second and balancer to a server with probe result %d", perSecond, answer)
		}
	}
}

// Balancers that start together, as after a release, must spread their calls to discovery over time, and so must
// balancers whose calls have failed.
func TestManyThatStartTogetherAskDiscoverySpread(t *testing.T) {
	c := testConfig()
	c.Balancers = 80
	c.PollEndpointList = true
	c.PollInterval = 8 * time.Second
	calls := map[int]int{}
	for i := range 80 {
		b, err := New(c, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		for s := range 300 {
			for _, a := range b.Step(time.Hour+time.Duration(s)*stepTime, TimerFired{"tick"}, nil) {
				if _, ok := a.(Subscribe); ok {
					calls[s/5]++ // a tenth of a second
					b.Step(time.Hour+time.Duration(s)*stepTime, ServerList{Kind: ListFailed}, nil)
				}
			}
		}
	}
	for tenth, n := range calls {
		if n > 16 {
			t.Errorf("%d of 80 balancers called discovery in the same 0.1 s (interval %d)", n, tenth)
		}
	}
	if len(calls) < 15 {
		t.Errorf("calls in only %d intervals of 0.1 s, want at least 15", len(calls))
	}
}
