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
	sim := &warmUpSimulation{
		warmUpFleet:     f,
		t:               t,
		rng:             rand.New(rand.NewPCG(seed, 11)),
		now:             time.Hour,
		workByServer:    map[string]float64{},
		connectionCount: map[string]int{},
	}
	sim.meanWork = 1
	if len(f.classWork) > 0 {
		sim.meanWork = 0
		for _, w := range f.classWork {
			sim.meanWork += w / float64(len(f.classWork))
		}
	}
	if sim.meanLifetime == 0 {
		sim.meanLifetime = 20 * time.Second
	}
	sim.updateDueAt, sim.notified = make([]time.Duration, f.balancers), make([]bool, f.balancers)
	for i := range f.balancers {
		sim.balancersRunning = append(sim.balancersRunning, nil)
		sim.startBalancer(i)
	}
	for i := range int(f.initialLoad * f.fullConnections * float64(f.warmServers)) {
		balancer, class := sim.rng.IntN(f.balancers), sim.randomClass()
		s := sim.addConnection(balancer, fmt.Sprint("before", i), fmt.Sprintf("s%02d", i%f.warmServers), class)
		sim.feed(balancer, AdoptedConnection{Request: Request{ID: s.id, Class: f.Classes[class].Name}, Server: s.server})
		sim.reportLoad(s)
	}
	if f.listedBefore {
		sim.publish(Server{ID: "cold", Zone: "a", Weight: 1})
	}
	began, until := sim.now, sim.now+serverStartAt+min(f.WarmUpDuration, 12*time.Second)
	for step := 1; sim.now < until; step++ {
		sim.now += 20 * time.Millisecond
		sim.injectFaults(sim.now-began, step)
		sim.step(sim.now - began)
	}
	sim.result.budgetUsed /= max(1e-9, sim.totalBudget)
	return sim.result
}

// injectFaults injects the faults due at this time since the beginning.
func (sim *warmUpSimulation) injectFaults(at time.Duration, step int) {
	every := func(d time.Duration) bool { return step%int(d/(20*time.Millisecond)) == 0 }
	switch {
	case sim.listedBefore && at == serverStartAt-time.Second:
		sim.stopServer()
	case at == serverStartAt:
		sim.startServer()
	case sim.crashes && at == serverStartAt+2*time.Second:
		sim.stopServer()
	case sim.crashes && at == serverStartAt+3*time.Second:
		sim.startServer()
	case sim.restartShare > 0 && at > serverStartAt && every(1500*time.Millisecond) && at < serverStartAt+5*time.Second:
		for i := range sim.balancersRunning {
			if sim.rng.Float64() < sim.restartShare {
				sim.restartBalancer(i)
			}
		}
	case sim.reloadsConfig && every(time.Second):
		for i := range sim.balancersRunning {
			sim.feed(i, ConfigUpdate{sim.balancersRunning[i].config})
		}
	case sim.repeatsList && every(time.Second):
		sim.publish(sim.listedEntry)
	}
}

func (sim *warmUpSimulation) stopServer() {
	sim.startedAt = 0
	for _, s := range sim.connections {
		if s.server == "cold" {
			sim.endConnection(s, ResultReset)
		}
	}
}

func (sim *warmUpSimulation) startServer() {
	sim.startedAt = sim.now
	clear(sim.notified)
	sim.publish(Server{ID: "cold", Zone: "a", Weight: 1, StartedAt: sim.now})
}

// publish publishes the warming server's entry. Each balancer receives it after its own random delay.
func (sim *warmUpSimulation) publish(s Server) {
	sim.listedEntry, sim.isListed = s, s.ID != ""
	for i := range sim.updateDueAt {
		sim.updateDueAt[i] = sim.now + time.Duration(sim.rng.Float64()*float64(sim.maxListDelay))
	}
}

func (sim *warmUpSimulation) entryWithJitter() Server {
	s := sim.listedEntry
	if s.StartedAt > 0 {
		s.StartedAt += time.Duration((2*sim.rng.Float64() - 1) * float64(sim.startJitter))
	}
	return s
}

func (sim *warmUpSimulation) fullList() ServerList {
	l := ServerList{Kind: ListFull, Servers: servers(sim.warmServers)}
	if sim.isListed {
		l.Servers = append(l.Servers, sim.entryWithJitter())
	}
	return l
}

func (sim *warmUpSimulation) startBalancer(i int) {
	b, err := New(sim.Config, int64(sim.rng.Uint64()>>1))
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.balancersRunning[i] = b
	sim.notified[i] = sim.listedEntry.StartedAt > 0 || sim.notified[i]
	sim.feed(i, sim.fullList())
}

// restartBalancer stops a balancer, which ends its connections, and starts it again.
func (sim *warmUpSimulation) restartBalancer(i int) {
	for _, s := range sim.connections {
		if s.balancer == i && !s.closed {
			sim.removeConnection(s)
		}
	}
	sim.startBalancer(i)
}

func (sim *warmUpSimulation) randomClass() int { return sim.rng.IntN(max(1, len(sim.classWork))) }

// randomWork generates the work of a connection of a class.
func (sim *warmUpSimulation) randomWork(class int) float64 {
	w := 1.0
	if len(sim.classWork) > 0 {
		w = sim.classWork[class] / sim.meanWork
	}
	if sim.workVariation > 0 {
		v := math.Log(1 + sim.workVariation*sim.workVariation)
		w *= math.Exp(sim.rng.NormFloat64()*math.Sqrt(v) - v/2)
	}
	return w
}

func (sim *warmUpSimulation) addConnection(balancer int, id, server string, class int) *simulatedConnection {
	s := &simulatedConnection{
		balancer: balancer,
		id:       id,
		server:   server,
		work:     sim.randomWork(class),
		endsAt:   sim.now + time.Duration(sim.rng.ExpFloat64()*float64(sim.meanLifetime)),
	}
	sim.workByServer[server] += s.work
	sim.connectionCount[server]++
	sim.connections = append(sim.connections, s)
	return s
}

func (sim *warmUpSimulation) reportLoad(s *simulatedConnection) {
	if sim.reportsLoad {
		sim.feed(s.balancer, ConnectionLoad{ID: s.id, Load: s.work})
	}
}

func (sim *warmUpSimulation) removeConnection(s *simulatedConnection) {
	if !s.closed {
		s.closed = true
		sim.workByServer[s.server] -= s.work
		sim.connectionCount[s.server]--
	}
}

func (sim *warmUpSimulation) endConnection(s *simulatedConnection, result Result) {
	if !s.closed {
		sim.removeConnection(s)
		sim.feed(s.balancer, AttemptEnded{ID: s.id, Server: s.server, Result: result, Final: true})
	}
}

func (sim *warmUpSimulation) warmUpFraction() float64 {
	if sim.startedAt == 0 {
		return 1
	}
	return min(
		1,
		sim.WarmUpInitialCapacity+
			(1-sim.WarmUpInitialCapacity)*float64(sim.now-sim.startedAt)/float64(max(1, sim.WarmUpDuration)),
	)
}

func (sim *warmUpSimulation) capacity(server string) float64 {
	if server == "cold" {
		return sim.fullConnections * sim.warmUpFraction()
	}
	return sim.fullConnections
}

// windowCapacity returns the work that the warming server bears in one window.
func (sim *warmUpSimulation) windowCapacity() float64 {
	return sim.OverloadMultiple * sim.capacity("cold") / sim.WarmUpDuration.Seconds() * sim.OverloadWindow.Seconds()
}

func (sim *warmUpSimulation) feed(i int, ev Event) {
	for _, a := range sim.balancersRunning[i].Step(sim.now, ev, nil) {
		switch a := a.(type) {
		case Probe:
			sim.answerProbe(i, a.Server)
		case Send:
			sim.handleSend(i, a)
		case Migrate:
			for _, s := range sim.connections {
				if s.balancer == i && s.id == a.ID {
					sim.endConnection(s, ResultCanceled)
				}
			}
		}
	}
}

func (sim *warmUpSimulation) answerProbe(i int, server string) {
	if server == "cold" && sim.startedAt == 0 && !(sim.listedBefore && sim.now < time.Hour+serverStartAt-time.Second) {
		sim.feed(i, ProbeResult{Server: server, Result: ResultUnreachable})
		return
	}
	x := max(0, sim.workByServer[server]/sim.capacity(server)*(1+sim.reportNoise*sim.rng.NormFloat64()))
	r := report(x, float64(sim.connectionCount[server]))
	if sim.withoutCounts {
		r.InFlight = -1
	}
	sim.feed(i, ProbeResult{Server: server, Report: r})
}

func (sim *warmUpSimulation) handleSend(i int, a Send) {
	b := sim.balancersRunning[i]
	attempt := b.requests.byID[a.ID].attempts - 1
	class := slices.IndexFunc(sim.Classes, func(k Class) bool { return k.Name == b.requests.byID[a.ID].Class })
	isDown := a.Server == "cold" && sim.startedAt == 0 &&
		!(sim.listedBefore && sim.now < time.Hour+serverStartAt-time.Second)
	if isDown {
		sim.feed(i, AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Result: ResultUnreachable})
		return
	}
	s := sim.addConnection(i, a.ID, a.Server, class)
	if a.Server == "cold" && sim.startedAt > 0 && sim.now-sim.startedAt < sim.WarmUpDuration-sim.startJitter {
		sim.checkBound(i, s.work)
	}
	if sim.workByServer[a.Server] > 1.3*sim.capacity(a.Server) {
		sim.removeConnection(s)
		sim.feed(i, AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Result: ResultRejected})
		return
	}
	sim.feed(i, AttemptEstablished{ID: a.ID, Attempt: attempt, Server: a.Server, Latency: 20 * time.Millisecond})
	sim.reportLoad(s)
}

// checkBound checks an attempt sent to the warming server against the server's bound.
func (sim *warmUpSimulation) checkBound(i int, work float64) {
	sim.recentAttempts = slices.DeleteFunc(
		sim.recentAttempts,
		func(s sentWork) bool { return s.at <= sim.now-sim.OverloadWindow || s.at < sim.startedAt },
	)
	sim.recentAttempts = append(sim.recentAttempts, sentWork{sim.now, work, sim.notified[i]})
	sum, notified := 0.0, 0.0
	for _, s := range sim.recentAttempts {
		if sum += s.work; s.notified {
			notified += s.work
		}
	}
	budget := sim.windowCapacity()
	bound := budget + 2*math.Sqrt(budget) + 2
	sim.result.attempts++
	sim.result.budgetUsed += work
	sim.result.peakRatio = max(sim.result.peakRatio, sum/bound)
	sim.result.overloaded = sim.result.overloaded || sum > bound && notified > sum*2/3
}

// step simulates 20 ms: list updates, ends of connections, new requests and timers.
func (sim *warmUpSimulation) step(at time.Duration) {
	if sim.startedAt > 0 {
		sim.totalBudget += sim.windowCapacity() / sim.OverloadWindow.Seconds() * 0.02
	}
	for i, dueAt := range sim.updateDueAt {
		if dueAt > 0 && sim.now >= dueAt {
			sim.updateDueAt[i], sim.notified[i] = 0, sim.startedAt > 0
			l := sim.fullList()
			if !sim.repeatsList {
				l = ServerList{Kind: ListDelta, Servers: []Server{sim.entryWithJitter()}}
			}
			sim.feed(i, l)
		}
	}
	for _, s := range sim.connections {
		if sim.now >= s.endsAt {
			sim.endConnection(s, ResultOK)
		}
	}
	sim.connections = slices.DeleteFunc(sim.connections, func(s *simulatedConnection) bool { return s.closed })
	rate := sim.requestRate * 0.02
	if at >= serverStartAt && sim.burstFactor > 0 {
		rate *= sim.burstFactor
	}
	for range poisson(sim.rng, rate) {
		i := sim.rng.IntN(sim.balancers)
		if sim.skewed && sim.rng.IntN(3) == 0 {
			i = 0
		}
		sim.lastID++
		id := fmt.Sprint("r", sim.lastID)
		sim.feed(i, Request{ID: id, Key: id, Class: sim.Classes[sim.randomClass()].Name, Timeout: time.Second})
	}
	for i := range sim.balancersRunning {
		sim.feed(i, TimerFired{"tick"})
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
	c.OverloadMultiple = budget * c.WarmUpDuration.Seconds() / window.Seconds() /
		(fullConnections * max(initialCapacity, 0.05))
	return c
}
