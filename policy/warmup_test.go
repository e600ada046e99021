package policy

import (
	"fmt"
	"math"
	"testing"
	"time"
)

// thinFleet is many balancers with light traffic each, and servers whose connections never end.
type thinFleet struct {
	config    Config
	fill      float64 // connections that fill a warm server
	now       time.Duration
	coldSince time.Duration // start of the server "cold"
	rounds    int
	list      []Server
	held      map[string]float64
	sentCold  float64
	balancers []*Balancer
}

func newThinFleet(t *testing.T, config Config, servers int, fill float64) *thinFleet {
	f := &thinFleet{config: config, fill: fill, now: time.Hour, coldSince: time.Hour, held: map[string]float64{}}
	for i := range servers {
		id := fmt.Sprint("s", i)
		f.list = append(f.list, Server{ID: id, Zone: "a", Weight: 1})
		f.held[id] = 0.7 * fill
	}
	for i := range config.Balancers {
		b, err := New(config, int64(i))
		if err != nil {
			t.Fatal(err)
		}
		b.Step(f.now, ServerList{Kind: ListFull, Servers: f.list}, nil)
		f.balancers = append(f.balancers, b)
	}
	return f
}

// capacity returns the number of connections that fill a server now.
func (f *thinFleet) capacity(server string) float64 {
	if server != "cold" {
		return f.fill
	}
	elapsed := float64(f.now-f.coldSince) / float64(f.config.WarmUpDuration)
	return f.fill * min(1, f.config.WarmUpInitialCapacity+(1-f.config.WarmUpInitialCapacity)*elapsed)
}

func (f *thinFleet) feed(b *Balancer, ev Event) {
	for _, a := range b.Step(f.now, ev, nil) {
		switch a := a.(type) {
		case Probe:
			f.feed(b, ProbeResult{Server: a.Server, Report: report(f.held[a.Server]/f.capacity(a.Server), f.held[a.Server])})
		case Send:
			f.held[a.Server]++
			if a.Server == "cold" {
				f.sentCold++
			}
			f.feed(b, AttemptEstablished{ID: a.ID, Server: a.Server, Latency: 20 * time.Millisecond})
		}
	}
}

// run simulates a duration in which each balancer receives one request per second.
func (f *thinFleet) run(d time.Duration) {
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
func TestColdServersAreUsedAtThinTraffic(t *testing.T) {
	const fill = 100.0
	c := testConfig()
	c.Balancers = 200
	c.WarmUpInitialCapacity = 0.34
	c.WarmUpDuration = 8600 * time.Millisecond
	c.OverloadMultiple = 4
	c.OverloadWindow = 3 * time.Second
	f := newThinFleet(t, c, 20, fill)
	f.run(2 * time.Second)
	f.coldSince = f.now
	f.list = append(f.list, Server{ID: "cold", Zone: "a", Weight: 1, StartedAt: f.now})
	for _, b := range f.balancers {
		f.feed(b, ServerList{Kind: ListFull, Servers: f.list})
	}
	f.run(3 * time.Second)
	// The budget for 3 s is 0.6 of 4 times the capacity, spread over the warm-up of 8.6 s. In this time the server has
	// a third to a half of its full capacity.
	meanCapacity := c.WarmUpInitialCapacity + (1-c.WarmUpInitialCapacity)*3/8.6/2
	budget := defaultWarmUpBudgetShare * c.OverloadMultiple * fill * meanCapacity * 3 / 8.6
	t.Logf("%.0f sent of a budget of %.0f", f.sentCold, budget)
	if f.sentCold < 0.4*budget || f.sentCold > 1.1*budget {
		t.Errorf("%.0f sent of a budget of %.0f", f.sentCold, budget)
	}
}

// If reports carry no number of connections, or probes are disabled, the warm-up budget depends on a load step
// estimated from the balancer's own connections. The estimate has to assume a warm server, at half of the load limit
// if no load is known.
func TestColdServersStandWhereNoReportCounts(t *testing.T) {
	const fill, each = 50.0, 20
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
					feed(ProbeResult{Server: a.Server, Report: report(each/fill, -1)})
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
		for i := range 10 * each {
			feed(AdoptedConnection{Request: Request{ID: fmt.Sprint("a", i), Class: "safe"}, Server: list[i%10].ID})
		}
		come := func(n int) {
			for i := range n {
				now += 20 * time.Millisecond
				for range 10 {
					feed(Request{ID: fmt.Sprint("r", now, i), Key: fmt.Sprint(now, i), Class: "safe", Timeout: time.Second})
					i += n
				}
				feed(TimerFired{"tick"})
			}
		}
		come(500)
		feed(ServerList{Kind: ListDelta, Servers: []Server{{ID: "cold", Zone: "a", Weight: 1, StartedAt: now}}})
		come(250)
		window := c.OverloadWindow.Seconds() / c.WarmUpDuration.Seconds()
		bears := c.OverloadMultiple * fill * (c.WarmUpInitialCapacity + 0.125) * window
		if most := bears + 2*math.Sqrt(bears) + 2; float64(sent) > most {
			t.Errorf("%s: %d sent to a warming server within %v, it bears %.1f", name, sent, c.OverloadWindow, most)
		}
	}
}

// Three balancers, a warming server that a few connections fill, and an unlimited number of new requests: the bound
// allows three requests above its rate, which is most of the budget here. They must be used, and the bound must not be
// exceeded.
func TestAFewBalancersUseTheColdBound(t *testing.T) {
	c := testConfig()
	c.Balancers = 3
	c.WarmUpInitialCapacity = 0.2
	c.WarmUpDuration = 20 * time.Second
	c.OverloadMultiple = 4
	c.OverloadWindow = 2 * time.Second
	list := servers(1)
	list[0].StartedAt = time.Hour
	const fill = 70 // connections, when warm
	held, most := 0.0, 0
	sent := []time.Duration{}
	var all []*Balancer
	for i := range c.Balancers {
		b, _ := New(c, int64(i))
		b.means.step = 1.0 / fill
		b.Step(time.Hour, ServerList{Kind: ListFull, Servers: list}, nil)
		all = append(all, b)
	}
	for at := time.Duration(0); at < 8*time.Second; at += 20 * ms {
		ramp := c.WarmUpInitialCapacity + (1-c.WarmUpInitialCapacity)*float64(at)/float64(c.WarmUpDuration)
		for i, b := range all {
			now, id := time.Hour+at, fmt.Sprint(i, at)
			out := b.Step(now, Request{ID: id, Key: id, Class: "safe", Timeout: time.Second}, nil)
			out = b.Step(now, TimerFired{"tick"}, out)
			for j := 0; j < len(out); j++ {
				switch a := out[j].(type) {
				case Probe:
					out = b.Step(now, ProbeResult{Server: a.Server, Report: report(held/fill/ramp, held)}, out)
				case Send:
					held++
					sent = append(sent, at)
					out = b.Step(now, AttemptEstablished{ID: a.ID, Server: a.Server}, out)
				}
			}
		}
		n, from := 0, at-c.OverloadWindow
		for _, s := range sent {
			if s > from {
				n++
			}
		}
		most = max(most, n)
	}
	window := c.OverloadWindow.Seconds() / c.WarmUpDuration.Seconds()
	rate := c.OverloadMultiple * fill * c.WarmUpInitialCapacity * window // when it starts
	t.Logf("%d sent, at most %d in %v; the rate is %.1f at the start", len(sent), most, c.OverloadWindow, rate)
	bound := rate*(c.WarmUpInitialCapacity+0.4*(1-c.WarmUpInitialCapacity))/c.WarmUpInitialCapacity + overloadSlack
	if float64(most) > bound || len(sent) < 26 {
		t.Errorf("%d sent, at most %d in %v", len(sent), most, c.OverloadWindow)
	}
}

// coldPlaces returns fleets of m balancers under a burst, by the unusual condition in each. The overload window of the
// warming server is 2 s.
func coldPlaces(m int, budget float64) map[string]coldFleet {
	plain := coldFleet{
		Config:    coldSettings(m, 60, 0.34, budget, 2*time.Second),
		balancers: m,
		warm:      6,
		fill:      60,
		load:      0.65,
		rate:      20,
		burst:     2,
	}
	places := map[string]coldFleet{}
	for name, change := range map[string]func(f *coldFleet){
		"a burst":                  func(*coldFleet) {},
		"light traffic":            func(f *coldFleet) { f.rate, f.burst = 4, 1.5 },
		"one balancer has a third": func(f *coldFleet) { f.skewed = true },
		"noisy reports":            func(f *coldFleet) { f.noise = 0.2 },
		"reports without counts":   func(f *coldFleet) { f.uncounted = true },
		"restart and crash":        func(f *coldFleet) { f.returns, f.crashes = true, true },
		"delayed lists":            func(f *coldFleet) { f.returns, f.crashes, f.late = true, true, time.Second },
		"balancers restart":        func(f *coldFleet) { f.restarts = 0.5 },
		"repeated lists":           func(f *coldFleet) { f.repeats = true },
		"start time with jitter":   func(f *coldFleet) { f.repeats, f.jitterStart = true, 2*ms },
		"settings reloaded":        func(f *coldFleet) { f.reloads = true },
		"short-lived connections":  func(f *coldFleet) { f.rate, f.shortLives = 60, 3*time.Second },
		"too many in the settings": func(f *coldFleet) { f.Balancers += max(1, m/4) },
	} {
		f := plain
		change(&f)
		places[name] = f
	}
	return places
}

// With connections of equal work, all balancers together must not send more than a warming server bears, under any of
// the unusual conditions, with one, few or many balancers, and with budgets from less than one request to many.
func TestColdBoundHoldsForTheWholeFleet(t *testing.T) {
	for _, m := range []int{1, 4, 25} {
		for _, budget := range []float64{0.3, 1, 4, 15} {
			for name, f := range coldPlaces(m, budget) {
				sends := 0
				for seed := range uint64(3) {
					r := f.play(t, seed)
					sends += r.sends
					if r.fell {
						t.Errorf("%d balancers, budget %.1f, %s, seed %d: %.2f of the bound", m, budget, name, seed, r.peak)
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
func TestHeavyClassesKeepToTheColdBound(t *testing.T) {
	for _, m := range []int{1, 2, 3, 5} {
		for _, budget := range []float64{1, 3, 6} {
			fell, served := 0, 0.0
			const seeds = 6
			for seed := range uint64(seeds) {
				f := coldPlaces(m, budget)["a burst"]
				f.tellsLoad, f.classWork = true, []float64{0.2, 0.2, 1, 1, 8}
				r := f.play(t, seed)
				served += r.served / seeds
				if r.fell {
					fell++
				}
			}
			if fell > 0 {
				t.Errorf("%d balancers, budget %.1f: the server is overloaded in %d of %d runs", m, budget, fell, seeds)
			}
			if served < 0.3 {
				t.Errorf("%d balancers, budget %.1f: only %.2f of the budget is used", m, budget, served)
			}
		}
	}
}

// mostInAWindow returns the highest number of requests that one balancer sends to a warming server within
// Config.OverloadWindow, with an unlimited number of new requests.
func mostInAWindow(t *testing.T, c Config, fleet FleetState, budget float64) int {
	t.Helper()
	const fill = 1000.0
	c.WarmUpInitialCapacity = 1 // the capacity stays the same during the warm-up
	c.WarmUpDuration = time.Minute
	c.OverloadWindow = 2 * time.Second
	c.OverloadMultiple = budget * c.WarmUpDuration.Seconds() / c.OverloadWindow.Seconds() / fill
	most := 0
	for seed := range int64(3) {
		b, err := New(c, seed)
		if err != nil {
			t.Fatal(err)
		}
		list := servers(1)
		list[0].StartedAt = time.Hour
		b.Step(time.Hour, ServerList{Kind: ListFull, Servers: list}, nil)
		b.Step(time.Hour, fleet, nil)
		b.means.step = 1 / fill
		b.config.WarmUpInitialCapacity = 0.999999 // a server with a capacity of 1 counts as warmed up
		sent := []time.Duration{}
		for at := time.Duration(0); at < 20*time.Second; at += 20 * ms {
			for id := fmt.Sprint(at, " "); ; id += "+" {
				now, before := time.Hour+at, len(sent)
				out := b.Step(now, Request{ID: id, Key: id, Class: "safe", Timeout: time.Second}, nil)
				for j := 0; j < len(out); j++ {
					switch a := out[j].(type) {
					case Probe:
						out = b.Step(now, ProbeResult{Server: a.Server, Report: report(0.001, 1)}, out)
					case Send:
						sent = append(sent, at)
						out = b.Step(now, AttemptEstablished{ID: a.ID, Server: a.Server}, out)
						out = b.Step(now, AttemptEnded{ID: a.ID, Server: a.Server, Final: true}, out)
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
			most = max(most, n)
		}
	}
	return most
}

// keepsToSlack reports whether the sum of the requests that m balancers send in a window respects a warming server's
// bound. Either each balancer sends its share of the rate, at a random phase; or the sum, with a reserve for uneven
// work and one more request, is at most the used share of the budget N plus the slack of 2 sqrt(N) + 2.
func keepsToSlack(m int, sum, part float64) bool {
	rate := float64(m) * math.Floor(1.25*part/float64(m)+1)
	return sum <= rate || sum+0.75*math.Sqrt(sum)+1 <= part+2*math.Sqrt(part/defaultWarmUpBudgetShare)+2
}

// If the slack of the bound is divided among the balancers in whole requests, all requests in one window together must
// respect the bound.
func TestWholeSendsKeepToTheSlack(t *testing.T) {
	handedOut := 0
	for _, m := range []int{1, 2, 3, 4} {
		for _, n := range []float64{0.3, 1, 2, 5, 12, 30} {
			c := testConfig()
			c.Balancers = m
			sum, part := float64(m*mostInAWindow(t, c, FleetState{}, n)), defaultWarmUpBudgetShare*n
			if !keepsToSlack(m, sum, part) {
				t.Errorf("%d balancers, budget %.1f: %.0f requests in a window", m, n, sum)
			}
			if sum > part {
				handedOut++
			}
		}
	}
	if handedOut < 12 {
		t.Errorf("the slack was used in only %d cases, want at least 12", handedOut)
	}
}

// If the number of balancers that divide the budget differs from the settings, whole requests are divided among
// exactly those balancers.
func TestSharersKeepToTheSlack(t *testing.T) {
	for _, sharers := range []int{1, 2, 3, 5, 9} {
		for _, n := range []float64{0.3, 1, 2, 3.5, 5, 12, 30} {
			c := testConfig()
			c.Balancers = 4
			sum, part := float64(sharers*mostInAWindow(t, c, FleetState{BudgetDivisor: sharers}, n)), defaultWarmUpBudgetShare*n
			if !keepsToSlack(sharers, sum, part) {
				t.Errorf("%d balancers share, 4 in the settings, budget %.1f: %.0f requests in a window", sharers, n, sum)
			}
		}
	}
}

// If the reported start is later than the balancer's clock, or the server has no capacity when it starts, the budget
// is that of the start, and it becomes available once the server has capacity.
func TestColdBudgetAtAndBeforeTheStart(t *testing.T) {
	for _, share := range []float64{0, 0.05, 0.34} {
		for _, ahead := range []time.Duration{0, ms, 500 * ms, 5 * time.Second} {
			for _, meanStep := range []float64{0, 1.0 / 60} { // unknown, or known from the warm servers
				c := testConfig()
				c.WarmUpInitialCapacity = share
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
				held := 0.0
				for at := time.Duration(0); at < ahead+9*time.Second; at += 20 * ms {
					now, id := time.Hour+at, fmt.Sprint(at)
					out := b.Step(now, Request{ID: id, Key: id, Class: "safe", Timeout: time.Second}, nil)
					out = b.Step(now, TimerFired{"tick"}, out)
					for j := 0; j < len(out); j++ {
						switch a := out[j].(type) {
						case Probe:
							out = b.Step(now, ProbeResult{Server: a.Server, Report: report(0.001, held)}, out)
						case Send:
							held++
							sent[at >= ahead]++
							out = b.Step(now, AttemptEstablished{ID: a.ID, Server: a.Server}, out)
							out = b.Step(now, AttemptEnded{ID: a.ID, Server: a.Server, Final: true}, out)
							held--
						}
					}
				}
				n := c.OverloadMultiple * 60 * share / c.WarmUpDuration.Seconds() * c.OverloadWindow.Seconds()
				windows := ahead.Seconds()/c.OverloadWindow.Seconds() + 1
				if most := windows * (n + 2*math.Sqrt(n) + 2); float64(sent[false]) > most {
					t.Errorf(
						"initial capacity %v, reported %v ahead, step %v: %d requests before the start, the server bears %.1f",
						share,
						ahead,
						meanStep,
						sent[false],
						most,
					)
				}
				if sent[true] < 5 {
					t.Errorf(
						"initial capacity %v, reported %v ahead, step %v: %d requests after the start, want at least 5",
						share,
						ahead,
						meanStep,
						sent[true],
					)
				}
			}
		}
	}
}
