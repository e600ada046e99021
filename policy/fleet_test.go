package policy

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"
)

// simulatedFleet runs many balancers against one set of servers with delayed load reports.
type simulatedFleet struct {
	balancers       []*Balancer
	connections     map[string]float64
	reports         []map[string]float64 // one entry for each step, the latest last
	reportDelay     int                  // delay of the reports in steps
	fullConnections float64              // connections that fill a server
	peakLoad        map[string]float64
	probes          int
	rejections      int
	reconnects      []Request
	failedServers   map[string]bool // servers whose probes end with failedResult, without a report
	failedResult    Result
	failedProbes    int
}

const stepInterval = 20 * time.Millisecond

func newSimulatedFleet(
	t *testing.T,
	balancers, reportDelay int,
	fullConnections float64,
	connections map[string]float64,
) *simulatedFleet {
	t.Helper()
	f := &simulatedFleet{
		connections:     connections,
		reportDelay:     reportDelay,
		fullConnections: fullConnections,
		peakLoad:        map[string]float64{},
	}
	var list []Server
	for id := range connections {
		list = append(list, Server{ID: id, Zone: "a", Weight: 1})
	}
	slices.SortFunc(list, func(x, y Server) int { return cmp.Compare(x.ID, y.ID) })
	f.recordConnections()
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

func (f *simulatedFleet) recordConnections() {
	current := map[string]float64{}
	for id, n := range f.connections {
		current[id] = n
		f.peakLoad[id] = max(f.peakLoad[id], n/f.fullConnections)
	}
	f.reports = append(f.reports, current)
}

func (f *simulatedFleet) feed(i int, at time.Duration, ev Event) {
	b := f.balancers[i]
	for _, a := range b.Step(at, ev, nil) {
		switch a := a.(type) {
		case Probe:
			f.probes++
			if f.failedServers[a.Server] {
				f.failedProbes++
				f.feed(i, at, ProbeResult{Server: a.Server, Result: f.failedResult})
				continue
			}
			n := f.reports[max(0, len(f.reports)-1-f.reportDelay)][a.Server]
			f.feed(i, at, ProbeResult{Server: a.Server, Report: report(n/f.fullConnections, n)})
		case Send:
			f.connections[a.Server]++
			f.feed(i, at, AttemptEstablished{ID: a.ID, Attempt: 0, Server: a.Server, Latency: stepInterval})
		case Reject:
			f.rejections++
			f.reconnects = append(f.reconnects, Request{ID: a.ID + "+", Key: a.ID, Class: "safe", Timeout: 2 * time.Second})
		case Migrate:
			f.connections[b.requests.byID[a.ID].server.ID]--
			f.reconnects = append(f.reconnects, Request{ID: a.ID + "-", Key: a.ID, Class: "safe", Timeout: 2 * time.Second})
		}
	}
}

// A burst of new requests reaches eighty balancers that all get the same delayed reports, while three of ten servers
// have capacity. None of the three may be overloaded, and their capacity must be used.
func TestBurstAtManyBalancersOverloadsNoServer(t *testing.T) {
	connections := map[string]float64{}
	for i := range 10 {
		connections[fmt.Sprint("s", i)] = 170
		if i < 3 {
			connections[fmt.Sprint("s", i)] = 110
		}
	}
	f := newSimulatedFleet(t, 80, 15, 200, connections)
	lastID := 0
	for s := range 150 { // three seconds
		at := time.Hour + time.Duration(s+1)*stepInterval
		requests := f.reconnects
		f.reconnects = nil
		if s < 50 {
			for range 8 {
				lastID++
				id := fmt.Sprint("r", lastID)
				requests = append(requests, Request{ID: id, Key: id, Class: "safe", Timeout: 2 * time.Second})
			}
		}
		for k, q := range requests {
			f.feed((lastID*7+k*13+s)%80, at, q)
		}
		for i := range f.balancers {
			f.feed(i, at, TimerFired{"tick"})
		}
		f.recordConnections()
	}
	placed := f.connections["s0"] + f.connections["s1"] + f.connections["s2"] - 330
	for id, x := range f.peakLoad {
		if x > 0.98 {
			t.Errorf("%s had a load of %.2f", id, x)
		}
	}
	if placed < 100 {
		t.Errorf("%.0f of 400 requests were placed, with capacity for 150", placed)
	}
	t.Logf("peaks %v, %.0f placed, %d rejected, %d probes", f.peakLoad, placed, f.rejections, f.probes)
}

// A server whose last report shows overload stops answering, or answers with errors, and discovery notifies balancers
// seconds later. Eighty balancers with connections to it may probe it, but must not overload it with probes.
func TestFailedServerIsNotOverloadedByProbes(t *testing.T) {
	for _, result := range []Result{ResultUnreachable, ResultFailed} {
		connections := map[string]float64{"s0": 230, "s1": 120, "s2": 120, "s3": 120}
		f := newSimulatedFleet(t, 80, 15, 200, connections)
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
		f.failedServers, f.failedResult = map[string]bool{"s0": true}, result
		for s := range 150 { // three seconds
			at := time.Hour + time.Duration(s+1)*stepInterval
			requests := f.reconnects
			f.reconnects = nil
			for k, q := range requests {
				f.feed((k*13+s)%80, at, q)
			}
			for i := range f.balancers {
				f.feed(i, at, TimerFired{"tick"})
			}
			f.recordConnections()
		}
		if perSecond := float64(f.failedProbes) / 80 / 3; perSecond > 3 {
			t.Errorf("%.1f probes per second and balancer to a server with probe result %d", perSecond, result)
		}
	}
}

// Balancers that start together, as after a release, must spread their calls to discovery over time, and so must
// balancers whose calls have failed.
func TestDiscoveryCallsAreStaggered(t *testing.T) {
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
			for _, a := range b.Step(time.Hour+time.Duration(s)*stepInterval, TimerFired{"tick"}, nil) {
				if _, ok := a.(Subscribe); ok {
					calls[s/5]++ // a tenth of a second
					b.Step(time.Hour+time.Duration(s)*stepInterval, ServerList{Kind: ListFailed}, nil)
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
