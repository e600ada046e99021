package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// warmUpFleet is a deployment in which one server starts under traffic. Config holds the settings of the balancers.
type warmUpFleet struct {
	Config
	balancers       int           // actual number, which may differ from the settings
	warmServers     int           // servers that have warmed up
	fullConnections float64       // mean connections that fill a warm server
	initialLoad     float64       // of the warm servers before the start
	requestRate     float64       // new requests per second at all balancers
	burstFactor     float64       // factor on the rate after the start
	workVariation   float64       // coefficient of variation of the lognormal factor in a connection's work
	classWork       []float64     // relative work by class, scaled to a mean of 1 over all requests
	reportsLoad     bool          // connections report their load
	reportNoise     float64       // relative error of the load in reports
	withoutCounts   bool          // reports carry no number of connections
	maxListDelay    time.Duration // longest delay of endpoint list updates, random for each balancer
	listedBefore    bool          // the server is listed before, goes down, and starts again
	crashes         bool          // the starting server crashes again after 2 s, and starts 1 s later
	restartShare    float64       // fraction of balancers that restart at each of three times during the warm-up
	repeatsList     bool          // the full list is sent again every second
	reloadsConfig   bool          // the settings are sent again every second
	startJitter     time.Duration // largest error of the reported start, random in each list
	skewed          bool          // one balancer gets a third of the requests
	meanLifetime    time.Duration // mean lifetime of a connection; 0 for 20 s
}

// warmUpResult is the result of a simulation.
type warmUpResult struct {
	overloaded bool    // the bound was exceeded, with over 2/3 of it sent by balancers that were notified of the start
	peakRatio  float64 // highest work in a window, divided by the bound
	budgetUsed float64 // work sent to the warming server, divided by the total budget
	attempts   int
}

// sentWork is one attempt sent to the warming server.
type sentWork struct {
	at       time.Duration
	work     float64
	notified bool // the balancer had been notified of the latest start
}

// simulatedConnection is one connection at a server.
type simulatedConnection struct {
	balancer int
	id       string
	server   string
	work     float64
	endsAt   time.Duration
	closed   bool
}

// warmUpSimulation is a running simulation of a warmUpFleet.
type warmUpSimulation struct {
	warmUpFleet
	t                testing.TB
	rng              *rand.Rand
	now              time.Duration
	balancersRunning []*Balancer
	updateDueAt      []time.Duration // when each balancer receives the latest list update; 0 if it has
	notified         []bool          // whether each balancer has been notified of the latest start
	startedAt        time.Duration   // start of the warming server; 0 while it is down
	listedEntry      Server          // current entry of the warming server in discovery
	isListed         bool
	workByServer     map[string]float64
	connectionCount  map[string]int
	connections      []*simulatedConnection
	recentAttempts   []sentWork
	lastID           int
	meanWork         float64
	result           warmUpResult
	totalBudget      float64 // total budget up to now, as work
}

const serverStartAt = 4 * time.Second

// simulate simulates the fleet for a seed from before the start of the server until it has warmed up, at most 12 s.
func (f warmUpFleet) simulate(t testing.TB, seed uint64) warmUpResult {
	p := &warmUpSimulation{
		warmUpFleet:     f,
		t:               t,
		rng:             rand.New(rand.NewPCG(seed, 11)),
		now:             time.Hour,
		workByServer:    map[string]float64{},
		connectionCount: map[string]int{},
	}
	p.meanWork = 1
	if len(f.classWork) > 0 {
		p.meanWork = 0
		for _, w := range f.classWork {
			p.meanWork += w / float64(len(f.classWork))
		}
	}
	if p.meanLifetime == 0 {
		p.meanLifetime = 20 * time.Second
	}
	p.updateDueAt, p.notified = make([]time.Duration, f.balancers), make([]bool, f.balancers)
	for i := range f.balancers {
		p.balancersRunning = append(p.balancersRunning, nil)
		p.startBalancer(i)
	}
	for i := range int(f.initialLoad * f.fullConnections * float64(f.warmServers)) {
		balancer, class := p.rng.IntN(f.balancers), p.randomClass()
		s := p.addConnection(balancer, fmt.Sprint("before", i), fmt.Sprintf("s%02d", i%f.warmServers), class)
		p.feed(balancer, AdoptedConnection{Request: Request{ID: s.id, Class: f.Classes[class].Name}, Server: s.server})
		p.reportLoad(s)
	}
	if f.listedBefore {
		p.publish(Server{ID: "cold", Zone: "a", Weight: 1})
	}
	began, until := p.now, p.now+serverStartAt+min(f.WarmUpDuration, 12*time.Second)
	for step := 1; p.now < until; step++ {
		p.now += 20 * time.Millisecond
		p.injectFaults(p.now-began, step)
		p.step(p.now - began)
	}
	p.result.budgetUsed /= max(1e-9, p.totalBudget)
	return p.result
}

// injectFaults injects the faults due at this time since the beginning.
func (p *warmUpSimulation) injectFaults(at time.Duration, step int) {
	every := func(d time.Duration) bool { return step%int(d/(20*time.Millisecond)) == 0 }
	switch {
	case p.listedBefore && at == serverStartAt-time.Second:
		p.stopServer()
	case at == serverStartAt:
		p.startServer()
	case p.crashes && at == serverStartAt+2*time.Second:
		p.stopServer()
	case p.crashes && at == serverStartAt+3*time.Second:
		p.startServer()
	case p.restartShare > 0 && at > serverStartAt && every(1500*time.Millisecond) && at < serverStartAt+5*time.Second:
		for i := range p.balancersRunning {
			if p.rng.Float64() < p.restartShare {
				p.restartBalancer(i)
			}
		}
	case p.reloadsConfig && every(time.Second):
		for i := range p.balancersRunning {
			p.feed(i, ConfigUpdate{p.balancersRunning[i].config})
		}
	case p.repeatsList && every(time.Second):
		p.publish(p.listedEntry)
	}
}

func (p *warmUpSimulation) stopServer() {
	p.startedAt = 0
	for _, s := range p.connections {
		if s.server == "cold" {
			p.endConnection(s, ResultReset)
		}
	}
}

func (p *warmUpSimulation) startServer() {
	p.startedAt = p.now
	clear(p.notified)
	p.publish(Server{ID: "cold", Zone: "a", Weight: 1, StartedAt: p.now})
}

// publish publishes the warming server's entry. Each balancer receives it after its own random delay.
func (p *warmUpSimulation) publish(s Server) {
	p.listedEntry, p.isListed = s, s.ID != ""
	for i := range p.updateDueAt {
		p.updateDueAt[i] = p.now + time.Duration(p.rng.Float64()*float64(p.maxListDelay))
	}
}

func (p *warmUpSimulation) entryWithJitter() Server {
	s := p.listedEntry
	if s.StartedAt > 0 {
		s.StartedAt += time.Duration((2*p.rng.Float64() - 1) * float64(p.startJitter))
	}
	return s
}

func (p *warmUpSimulation) fullList() ServerList {
	l := ServerList{Kind: ListFull, Servers: servers(p.warmServers)}
	if p.isListed {
		l.Servers = append(l.Servers, p.entryWithJitter())
	}
	return l
}

func (p *warmUpSimulation) startBalancer(i int) {
	b, err := New(p.Config, int64(p.rng.Uint64()>>1))
	if err != nil {
		p.t.Fatal(err)
	}
	p.balancersRunning[i] = b
	p.notified[i] = p.listedEntry.StartedAt > 0 || p.notified[i]
	p.feed(i, p.fullList())
}

// restartBalancer stops a balancer, which ends its connections, and starts it again.
func (p *warmUpSimulation) restartBalancer(i int) {
	for _, s := range p.connections {
		if s.balancer == i && !s.closed {
			p.removeConnection(s)
		}
	}
	p.startBalancer(i)
}

func (p *warmUpSimulation) randomClass() int { return p.rng.IntN(max(1, len(p.classWork))) }

// randomWork generates the work of a connection of a class.
func (p *warmUpSimulation) randomWork(class int) float64 {
	w := 1.0
	if len(p.classWork) > 0 {
		w = p.classWork[class] / p.meanWork
	}
	if p.workVariation > 0 {
		v := math.Log(1 + p.workVariation*p.workVariation)
		w *= math.Exp(p.rng.NormFloat64()*math.Sqrt(v) - v/2)
	}
	return w
}

func (p *warmUpSimulation) addConnection(balancer int, id, server string, class int) *simulatedConnection {
	s := &simulatedConnection{
		balancer: balancer,
		id:       id,
		server:   server,
		work:     p.randomWork(class),
		endsAt:   p.now + time.Duration(p.rng.ExpFloat64()*float64(p.meanLifetime)),
	}
	p.workByServer[server] += s.work
	p.connectionCount[server]++
	p.connections = append(p.connections, s)
	return s
}

func (p *warmUpSimulation) reportLoad(s *simulatedConnection) {
	if p.reportsLoad {
		p.feed(s.balancer, ConnectionLoad{ID: s.id, Load: s.work})
	}
}

func (p *warmUpSimulation) removeConnection(s *simulatedConnection) {
	if !s.closed {
		s.closed = true
		p.workByServer[s.server] -= s.work
		p.connectionCount[s.server]--
	}
}

func (p *warmUpSimulation) endConnection(s *simulatedConnection, result Result) {
	if !s.closed {
		p.removeConnection(s)
		p.feed(s.balancer, AttemptEnded{ID: s.id, Server: s.server, Result: result, Final: true})
	}
}

func (p *warmUpSimulation) warmUpFraction() float64 {
	if p.startedAt == 0 {
		return 1
	}
	return min(
		1,
		p.WarmUpInitialCapacity+(1-p.WarmUpInitialCapacity)*float64(p.now-p.startedAt)/float64(max(1, p.WarmUpDuration)),
	)
}

func (p *warmUpSimulation) capacity(server string) float64 {
	if server == "cold" {
		return p.fullConnections * p.warmUpFraction()
	}
	return p.fullConnections
}

// windowCapacity returns the work that the warming server bears in one window.
func (p *warmUpSimulation) windowCapacity() float64 {
	return p.OverloadMultiple * p.capacity("cold") / p.WarmUpDuration.Seconds() * p.OverloadWindow.Seconds()
}

func (p *warmUpSimulation) feed(i int, ev Event) {
	for _, a := range p.balancersRunning[i].Step(p.now, ev, nil) {
		switch a := a.(type) {
		case Probe:
			p.answerProbe(i, a.Server)
		case Send:
			p.handleSend(i, a)
		case Migrate:
			for _, s := range p.connections {
				if s.balancer == i && s.id == a.ID {
					p.endConnection(s, ResultCanceled)
				}
			}
		}
	}
}

func (p *warmUpSimulation) answerProbe(i int, server string) {
	if server == "cold" && p.startedAt == 0 && !(p.listedBefore && p.now < time.Hour+serverStartAt-time.Second) {
		p.feed(i, ProbeResult{Server: server, Result: ResultUnreachable})
		return
	}
	x := max(0, p.workByServer[server]/p.capacity(server)*(1+p.reportNoise*p.rng.NormFloat64()))
	r := report(x, float64(p.connectionCount[server]))
	if p.withoutCounts {
		r.InFlight = -1
	}
	p.feed(i, ProbeResult{Server: server, Report: r})
}

func (p *warmUpSimulation) handleSend(i int, a Send) {
	b := p.balancersRunning[i]
	attempt := b.requests.byID[a.ID].attempts - 1
	class := slices.IndexFunc(p.Classes, func(k Class) bool { return k.Name == b.requests.byID[a.ID].Class })
	isDown := a.Server == "cold" && p.startedAt == 0 && !(p.listedBefore && p.now < time.Hour+serverStartAt-time.Second)
	if isDown {
		p.feed(i, AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Result: ResultUnreachable})
		return
	}
	s := p.addConnection(i, a.ID, a.Server, class)
	if a.Server == "cold" && p.startedAt > 0 && p.now-p.startedAt < p.WarmUpDuration-p.startJitter {
		p.checkBound(i, s.work)
	}
	if p.workByServer[a.Server] > 1.3*p.capacity(a.Server) {
		p.removeConnection(s)
		p.feed(i, AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Result: ResultRejected})
		return
	}
	p.feed(i, AttemptEstablished{ID: a.ID, Attempt: attempt, Server: a.Server, Latency: 20 * time.Millisecond})
	p.reportLoad(s)
}

// checkBound checks an attempt sent to the warming server against the server's bound.
func (p *warmUpSimulation) checkBound(i int, work float64) {
	p.recentAttempts = slices.DeleteFunc(
		p.recentAttempts,
		func(s sentWork) bool { return s.at <= p.now-p.OverloadWindow || s.at < p.startedAt },
	)
	p.recentAttempts = append(p.recentAttempts, sentWork{p.now, work, p.notified[i]})
	sum, notified := 0.0, 0.0
	for _, s := range p.recentAttempts {
		if sum += s.work; s.notified {
			notified += s.work
		}
	}
	budget := p.windowCapacity()
	bound := budget + 2*math.Sqrt(budget) + 2
	p.result.attempts++
	p.result.budgetUsed += work
	p.result.peakRatio = max(p.result.peakRatio, sum/bound)
	p.result.overloaded = p.result.overloaded || sum > bound && notified > sum*2/3
}

// step simulates 20 ms: list updates, ends of connections, new requests and timers.
func (p *warmUpSimulation) step(at time.Duration) {
	if p.startedAt > 0 {
		p.totalBudget += p.windowCapacity() / p.OverloadWindow.Seconds() * 0.02
	}
	for i, dueAt := range p.updateDueAt {
		if dueAt > 0 && p.now >= dueAt {
			p.updateDueAt[i], p.notified[i] = 0, p.startedAt > 0
			l := p.fullList()
			if !p.repeatsList {
				l = ServerList{Kind: ListDelta, Servers: []Server{p.entryWithJitter()}}
			}
			p.feed(i, l)
		}
	}
	for _, s := range p.connections {
		if p.now >= s.endsAt {
			p.endConnection(s, ResultOK)
		}
	}
	p.connections = slices.DeleteFunc(p.connections, func(s *simulatedConnection) bool { return s.closed })
	rate := p.requestRate * 0.02
	if at >= serverStartAt && p.burstFactor > 0 {
		rate *= p.burstFactor
	}
	for range poisson(p.rng, rate) {
		i := p.rng.IntN(p.balancers)
		if p.skewed && p.rng.IntN(3) == 0 {
			i = 0
		}
		p.lastID++
		id := fmt.Sprint("r", p.lastID)
		p.feed(i, Request{ID: id, Key: id, Class: p.Classes[p.randomClass()].Name, Timeout: time.Second})
	}
	for i := range p.balancersRunning {
		p.feed(i, TimerFired{"tick"})
	}
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for sum := rng.ExpFloat64(); sum < mean; sum += rng.ExpFloat64() {
		n++
	}
	return n
}

// warmUpConfig returns settings under which a starting server bears budget connections of mean work in the first
// window.
func warmUpConfig(balancers int, fullConnections, initialCapacity, budget float64, window time.Duration) Config {
	c := testConfig()
	c.Balancers = balancers
	c.WarmUpInitialCapacity = initialCapacity
	c.WarmUpDuration = 10 * time.Second
	c.OverloadWindow = window
	c.OverloadMultiple = budget * c.WarmUpDuration.Seconds() / window.Seconds() / (fullConnections * max(initialCapacity, 0.05))
	return c
}
