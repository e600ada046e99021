package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// lightTrafficFleet is many balancers with light traffic each, and servers whose connections never end.
type lightTrafficFleet struct {
	config          Config
	fullConnections float64 // connections that fill a warm server
	now             time.Duration
	startedAt       time.Duration // start of the server "cold"
	rounds          int
	endpoints       []Server
	connections     map[string]float64
	sentToWarming   float64
	balancers       []*Balancer
}

func newLightTrafficFleet(t *testing.T, config Config, servers int, fullConnections float64) *lightTrafficFleet {
	f := &lightTrafficFleet{
		config:          config,
		fullConnections: fullConnections,
		now:             time.Hour,
		startedAt:       time.Hour,
		connections:     map[string]float64{},
	}
	for i := range servers {
		id := fmt.Sprint("s", i)
		f.endpoints = append(f.endpoints, Server{ID: id, Zone: "a", Weight: 1})
		f.connections[id] = 0.7 * fullConnections
	}
	for i := range config.Balancers {
		b, err := New(config, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Step(f.now, ServerList{Kind: ListFull, Servers: f.endpoints}, nil)
		f.balancers = append(f.balancers, b)
	}
	return f
}

// capacity returns the number of connections that fill a server now.
func (f *lightTrafficFleet) capacity(server string) float64 {
	if server != "cold" {
		return f.fullConnections
	}
	elapsed := float64(f.now-f.startedAt) / float64(f.config.WarmUpDuration)
	return f.fullConnections * min(1, f.config.WarmUpInitialCapacity+(1-f.config.WarmUpInitialCapacity)*elapsed)
}

func (f *lightTrafficFleet) feed(b *Balancer, ev Event) {
	for _, a := range b.Step(f.now, ev, nil) {
		switch a := a.(type) {
		case Probe:
			f.feed(b, ProbeResult{
				Server: a.Server,
				Report: report(f.connections[a.Server]/f.capacity(a.Server), f.connections[a.Server]),
			})
		case Send:
			f.connections[a.Server]++
			if a.Server == "cold" {
				f.sentToWarming++
			}
			f.feed(b, AttemptEstablished{ID: a.ID, Server: a.Server, Latency: 20 * time.Millisecond})
		}
	}
}

// run simulates a duration in which each balancer receives one request per second.
func (f *lightTrafficFleet) run(d time.Duration) {
	for end := f.now + d; f.now < end; f.rounds++ {
		f.now += 20 * time.Millisecond
		for i, b := range f.balancers {
			if (f.rounds+i)%50 == 0 {
				key := fmt.Sprint(f.rounds, "-", i)
				f.feed(b, Request{ID: "r" + key, Key: key, Class: "safe", Timeout: time.Second})
			}
			f.feed(b, TimerFired{"tick"})
		}
	}
}

// Two hundred balancers with one new request per second each, and one starting server beside twenty warm ones: the
// warm-up budget must be used, although each balancer may send there for a small fraction of the time only, and must
// not be exceeded.
func TestWarmUpBudgetIsUsedUnderLightTraffic(t *testing.T) {
	const fullConnections = 100.0
	c := testConfig()
	c.Balancers = 200
	c.WarmUpInitialCapacity = 0.34
	c.WarmUpDuration = 8600 * time.Millisecond
	c.OverloadMultiple = 4
	c.OverloadWindow = 3 * time.Second
	f := newLightTrafficFleet(t, c, 20, fullConnections)
	f.run(2 * time.Second)
	f.startedAt = f.now
	f.endpoints = append(f.endpoints, Server{ID: "cold", Zone: "a", Weight: 1, StartedAt: f.now})
	for _, b := range f.balancers {
		f.feed(b, ServerList{Kind: ListFull, Servers: f.endpoints})
	}
	f.run(3 * time.Second)
	// The budget for 3 s is 0.6 of 4 times the capacity, spread over the warm-up of 8.6 s. In this time the server has
	// a third to a half of its full capacity.
	meanCapacity := c.WarmUpInitialCapacity + (1-c.WarmUpInitialCapacity)*3/8.6/2
	budget := defaultWarmUpBudgetShare * c.OverloadMultiple * fullConnections * meanCapacity * 3 / 8.6
	t.Logf("%.0f sent of a budget of %.0f", f.sentToWarming, budget)
	if f.sentToWarming < 0.4*budget || f.sentToWarming > 1.1*budget {
		t.Errorf("%.0f sent of a budget of %.0f", f.sentToWarming, budget)
	}
}

// If reports carry no number of connections, or probes are disabled, the warm-up budget depends on a load step
// estimated from the balancer's own connections. The estimate has to assume a warm server, at half of the load limit
// if no load is known.
func TestWarmUpBoundHoldsWithoutReportedCounts(t *testing.T) {
	const fullConnections, connectionsPerServer = 50.0, 20
	for name, probes := range map[string]bool{"no counts": true, "no probes": false} {
		c := testConfig()
		c.ProbesEnabled = probes
		c.WarmUpInitialCapacity = 0.05
		c.WarmUpDuration = 40 * time.Second
		c.OverloadMultiple = 4
		c.OverloadWindow = 5 * time.Second
		b, err := New(c, 1)
		if err != nil {
			t.Fatal(err)
		}
		now, sent := time.Hour, 0
		list := servers(10)
		var feed func(ev Event)
		feed = func(ev Event) {
			for _, a := range b.Step(now, ev, nil) {
				switch a := a.(type) {
				case Probe:
					feed(ProbeResult{Server: a.Server, Report: report(connectionsPerServer/fullConnections, -1)})
				case Send:
					if a.Server == "cold" {
						sent++
					}
					feed(AttemptEstablished{ID: a.ID, Server: a.Server, Latency: 20 * time.Millisecond})
					feed(AttemptEnded{ID: a.ID, Server: a.Server, Final: true})
				}
			}
		}
		feed(ServerList{Kind: ListFull, Servers: list})
		for i := range 10 * connectionsPerServer {
			feed(AdoptedConnection{Request: Request{ID: fmt.Sprint("a", i), Class: "safe"}, Server: list[i%10].ID})
		}
		sendRequests := func(n int) {
			for i := range n {
				now += 20 * time.Millisecond
				for range 10 {
					feed(Request{ID: fmt.Sprint("r", now, i), Key: fmt.Sprint(now, i), Class: "safe", Timeout: time.Second})
					i += n
				}
				feed(TimerFired{"tick"})
			}
		}
		sendRequests(500)
		feed(ServerList{Kind: ListDelta, Servers: []Server{{ID: "cold", Zone: "a", Weight: 1, StartedAt: now}}})
		sendRequests(250)
		window := c.OverloadWindow.Seconds() / c.WarmUpDuration.Seconds()
		budget := c.OverloadMultiple * fullConnections * (c.WarmUpInitialCapacity + 0.125) * window
		if bound := budget + 2*math.Sqrt(budget) + 2; float64(sent) > bound {
			t.Errorf("%s: %d sent to a warming server within %v, it bears %.1f", name, sent, c.OverloadWindow, bound)
		}
	}
}

// Three balancers, a warming server that a few connections fill, and an unlimited number of new requests: the bound
// allows three requests above its rate, which is most of the budget here. They must be used, and the bound must not be
// exceeded.
func TestFewBalancersUseTheWarmUpBound(t *testing.T) {
	c := testConfig()
	c.Balancers = 3
	c.WarmUpInitialCapacity = 0.2
	c.WarmUpDuration = 20 * time.Second
	c.OverloadMultiple = 4
	c.OverloadWindow = 2 * time.Second
	list := servers(1)
	list[0].StartedAt = time.Hour
	const fullConnections = 70 // connections, when warm
	connections, maxInWindow := 0.0, 0
	sent := []time.Duration{}
	var balancers []*Balancer
	for i := range c.Balancers {
		b, _ := New(c, int64(i))
		b.means.step = 1.0 / fullConnections
		b.Step(time.Hour, ServerList{Kind: ListFull, Servers: list}, nil)
		balancers = append(balancers, b)
	}
	for at := time.Duration(0); at < 8*time.Second; at += 20 * ms {
		capacity := c.WarmUpInitialCapacity + (1-c.WarmUpInitialCapacity)*float64(at)/float64(c.WarmUpDuration)
		for i, b := range balancers {
			now, id := time.Hour+at, fmt.Sprint(i, at)
			actions := b.Step(now, Request{ID: id, Key: id, Class: "safe", Timeout: time.Second}, nil)
			actions = b.Step(now, TimerFired{"tick"}, actions)
			for j := 0; j < len(actions); j++ {
				switch a := actions[j].(type) {
				case Probe:
					actions = b.Step(
						now,
						ProbeResult{Server: a.Server, Report: report(connections/fullConnections/capacity, connections)},
						actions,
					)
				case Send:
					connections++
					sent = append(sent, at)
					actions = b.Step(now, AttemptEstablished{ID: a.ID, Server: a.Server}, actions)
				}
			}
		}
		n, from := 0, at-c.OverloadWindow
		for _, s := range sent {
			if s > from {
				n++
			}
		}
		maxInWindow = max(maxInWindow, n)
	}
	window := c.OverloadWindow.Seconds() / c.WarmUpDuration.Seconds()
	rate := c.OverloadMultiple * fullConnections * c.WarmUpInitialCapacity * window // when it starts
	t.Logf("%d sent, at most %d in %v; the rate is %.1f at the start", len(sent), maxInWindow, c.OverloadWindow, rate)
	bound := rate*(c.WarmUpInitialCapacity+0.4*(1-c.WarmUpInitialCapacity))/c.WarmUpInitialCapacity + overloadSlack
	if float64(maxInWindow) > bound || len(sent) < 26 {
		t.Errorf("%d sent, at most %d in %v", len(sent), maxInWindow, c.OverloadWindow)
	}
}

// warmUpScenarios returns fleets of m balancers under a burst, by the unusual condition in each. The overload window of
// the warming server is 2 s.
func warmUpScenarios(m int, budget float64) map[string]warmUpFleet {
	plain := warmUpFleet{
		Config:          warmUpConfig(m, 60, 0.34, budget, 2*time.Second),
		balancers:       m,
		warmServers:     6,
		fullConnections: 60,
		initialLoad:     0.65,
		requestRate:     20,
		burstFactor:     2,
	}
	scenarios := map[string]warmUpFleet{}
	for name, change := range map[string]func(f *warmUpFleet){
		"a burst":                  func(*warmUpFleet) {},
		"light traffic":            func(f *warmUpFleet) { f.requestRate, f.burstFactor = 4, 1.5 },
		"one balancer has a third": func(f *warmUpFleet) { f.skewed = true },
		"noisy reports":            func(f *warmUpFleet) { f.reportNoise = 0.2 },
		"reports without counts":   func(f *warmUpFleet) { f.withoutCounts = true },
		"restart and crash":        func(f *warmUpFleet) { f.listedBefore, f.crashes = true, true },
		"delayed lists": func(f *warmUpFleet) {
			f.listedBefore, f.crashes, f.maxListDelay = true, true, time.Second
		},
		"balancers restart":        func(f *warmUpFleet) { f.restartShare = 0.5 },
		"repeated lists":           func(f *warmUpFleet) { f.repeatsList = true },
		"start time with jitter":   func(f *warmUpFleet) { f.repeatsList, f.startJitter = true, 2*ms },
		"settings reloaded":        func(f *warmUpFleet) { f.reloadsConfig = true },
		"short-lived connections":  func(f *warmUpFleet) { f.requestRate, f.meanLifetime = 60, 3*time.Second },
		"too many in the settings": func(f *warmUpFleet) { f.Balancers += max(1, m/4) },
	} {
		f := plain
		change(&f)
		scenarios[name] = f
	}
	return scenarios
}

// With connections of equal work, all balancers together must not send more than a warming server bears, under any of
// the unusual conditions, with one, few or many balancers, and with budgets from less than one request to many.
func TestWarmUpBoundHoldsForTheFleet(t *testing.T) {
	for _, m := range []int{1, 4, 25} {
		for _, budget := range []float64{0.3, 1, 4, 15} {
			for name, f := range warmUpScenarios(m, budget) {
				sends := 0
				for seed := range uint64(3) {
					r := f.simulate(t, seed)
					sends += r.attempts
					if r.overloaded {
						t.Errorf("%d balancers, budget %.1f, %s, seed %d: %.2f of the bound", m, budget, name, seed, r.peakRatio)
					}
				}
				if sends == 0 {
					t.Errorf("%d balancers, budget %.1f, %s: nothing was sent to the warming server", m, budget, name)
				}
			}
		}
	}
}

// Classes whose connections report very different loads: a heavy request takes as much of the warm-up budget as its
// work, and goes to other servers while the budget allows only few requests. The budget must still be used.
func TestHeavyClassesRespectTheWarmUpBound(t *testing.T) {
	for _, m := range []int{1, 2, 3, 5} {
		for _, budget := range []float64{1, 3, 6} {
			overloads, budgetUsed := 0, 0.0
			const seeds = 6
			for seed := range uint64(seeds) {
				f := warmUpScenarios(m, budget)["a burst"]
				f.reportsLoad, f.classWork = true, []float64{0.2, 0.2, 1, 1, 8}
				r := f.simulate(t, seed)
				budgetUsed += r.budgetUsed / seeds
				if r.overloaded {
					overloads++
				}
			}
			if overloads > 0 {
				t.Errorf("%d balancers, budget %.1f: the server is overloaded in %d of %d runs", m, budget, overloads, seeds)
			}
			if budgetUsed < 0.3 {
				t.Errorf("%d balancers, budget %.1f: only %.2f of the budget is used", m, budget, budgetUsed)
			}
		}
	}
}

// maxAttemptsInWindow returns the highest number of requests that one balancer sends to a warming server within
// Config.OverloadWindow, with an unlimited number of new requests.
func maxAttemptsInWindow(t *testing.T, c Config, fleet FleetState, budget float64) int {
	t.Helper()
	const fullConnections = 1000.0
	c.WarmUpInitialCapacity = 1 // the capacity stays the same during the warm-up
	c.WarmUpDuration = time.Minute
	c.OverloadWindow = 2 * time.Second
	c.OverloadMultiple = budget * c.WarmUpDuration.Seconds() / c.OverloadWindow.Seconds() / fullConnections
	maxInWindow := 0
	for seed := range int64(3) {
		b, err := New(c, seed)
		if err != nil {
			t.Fatal(err)
		}
		list := servers(1)
		list[0].StartedAt = time.Hour
		b.Step(time.Hour, ServerList{Kind: ListFull, Servers: list}, nil)
		b.Step(time.Hour, fleet, nil)
		b.means.step = 1 / fullConnections
		b.config.WarmUpInitialCapacity = 0.999999 // a server with a capacity of 1 counts as warmed up
		sent := []time.Duration{}
		for at := time.Duration(0); at < 20*time.Second; at += 20 * ms {
			for id := fmt.Sprint(at, " "); ; id += "+" {
				now, before := time.Hour+at, len(sent)
				actions := b.Step(now, Request{ID: id, Key: id, Class: "safe", Timeout: time.Second}, nil)
				for j := 0; j < len(actions); j++ {
					switch a := actions[j].(type) {
					case Probe:
						actions = b.Step(now, ProbeResult{Server: a.Server, Report: report(0.001, 1)}, actions)
					case Send:
						sent = append(sent, at)
						actions = b.Step(now, AttemptEstablished{ID: a.ID, Server: a.Server}, actions)
						actions = b.Step(now, AttemptEnded{ID: a.ID, Server: a.Server, Final: true}, actions)
					}
				}
				b.Step(now, ClientDisconnected{ID: id}, nil)
				if len(sent) == before {
					break
				}
			}
			n := 0
			for _, s := range sent {
				if s > at-c.OverloadWindow {
					n++
				}
			}
			maxInWindow = max(maxInWindow, n)
		}
	}
	return maxInWindow
}

// withinSlack reports whether the sum of the requests that m balancers send in a window respects a warming server's
// bound. Either each balancer sends its share of the rate, at a random phase; or the sum, with a reserve for uneven
// work and one more request, is at most the used share of the budget N plus the slack of 2 sqrt(N) + 2.
func withinSlack(m int, sum, budgetShare float64) bool {
	rate := float64(m) * math.Floor(1.25*budgetShare/float64(m)+1)
	return sum <= rate || sum+0.75*math.Sqrt(sum)+1 <= budgetShare+2*math.Sqrt(budgetShare/defaultWarmUpBudgetShare)+2
}

// If the slack of the bound is divided among the balancers in whole requests, all requests in one window together must
// respect the bound.
func TestWholeAttemptsStayWithinTheSlack(t *testing.T) {
	casesAboveShare := 0
	for _, m := range []int{1, 2, 3, 4} {
		for _, n := range []float64{0.3, 1, 2, 5, 12, 30} {
			c := testConfig()
			c.Balancers = m
			sum, budgetShare := float64(m*maxAttemptsInWindow(t, c, FleetState{}, n)), defaultWarmUpBudgetShare*n
			if !withinSlack(m, sum, budgetShare) {
				t.Errorf("%d balancers, budget %.1f: %.0f requests in a window", m, n, sum)
			}
			if sum > budgetShare {
				casesAboveShare++
			}
		}
	}
	if casesAboveShare < 12 {
		t.Errorf("the slack was used in only %d cases, want at least 12", casesAboveShare)
	}
}

// If the number of balancers that divide the budget differs from the settings, whole requests are divided among
// exactly those balancers.
func TestBudgetDivisorStaysWithinTheSlack(t *testing.T) {
	for _, divisor := range []int{1, 2, 3, 5, 9} {
		for _, n := range []float64{0.3, 1, 2, 3.5, 5, 12, 30} {
			c := testConfig()
			c.Balancers = 4
			sum, budgetShare := float64(divisor*maxAttemptsInWindow(t, c, FleetState{BudgetDivisor: divisor}, n)),
				defaultWarmUpBudgetShare*n
			if !withinSlack(divisor, sum, budgetShare) {
				t.Errorf("%d balancers share, 4 in the settings, budget %.1f: %.0f requests in a window", divisor, n, sum)
			}
		}
	}
}

// If the reported start is later than the balancer's clock, or the server has no capacity when it starts, the budget
// is that of the start, and it becomes available once the server has capacity.
func TestWarmUpBudgetAtAndBeforeTheStart(t *testing.T) {
	for _, initialCapacity := range []float64{0, 0.05, 0.34} {
		for _, ahead := range []time.Duration{0, ms, 500 * ms, 5 * time.Second} {
			for _, meanStep := range []float64{0, 1.0 / 60} { // unknown, or known from the warm servers
				c := testConfig()
				c.WarmUpInitialCapacity = initialCapacity
				c.WarmUpDuration = 10 * time.Second
				c.OverloadMultiple = 4
				c.OverloadWindow = 2 * time.Second
				b, err := New(c, 1)
				if err != nil {
					t.Fatal(err)
				}
				list := servers(1)
				list[0].StartedAt = time.Hour + ahead
				b.Step(time.Hour, ServerList{Kind: ListFull, Servers: list}, nil)
				b.means.step = meanStep
				sent := map[bool]int{} // by whether it had started
				connections := 0.0
				for at := time.Duration(0); at < ahead+9*time.Second; at += 20 * ms {
					now, id := time.Hour+at, fmt.Sprint(at)
					actions := b.Step(now, Request{ID: id, Key: id, Class: "safe", Timeout: time.Second}, nil)
					actions = b.Step(now, TimerFired{"tick"}, actions)
					for j := 0; j < len(actions); j++ {
						switch a := actions[j].(type) {
						case Probe:
							actions = b.Step(now, ProbeResult{Server: a.Server, Report: report(0.001, connections)}, actions)
						case Send:
							connections++
							sent[at >= ahead]++
							actions = b.Step(now, AttemptEstablished{ID: a.ID, Server: a.Server}, actions)
							actions = b.Step(now, AttemptEnded{ID: a.ID, Server: a.Server, Final: true}, actions)
							connections--
						}
					}
				}
				n := c.OverloadMultiple * 60 * initialCapacity / c.WarmUpDuration.Seconds() * c.OverloadWindow.Seconds()
				windows := ahead.Seconds()/c.OverloadWindow.Seconds() + 1
				if bound := windows * (n + 2*math.Sqrt(n) + 2); float64(sent[false]) > bound {
					t.Errorf(
						"initial capacity %v, reported %v ahead, step %v: %d requests before the start, the server bears %.1f",
						initialCapacity,
						ahead,
						meanStep,
						sent[false],
						bound,
					)
				}
				if sent[true] < 5 {
					t.Errorf("capacity %v, %v ahead, step %v: %d sent after the start", initialCapacity, ahead, meanStep, sent[true])
				}
			}
		}
	}
}
