package policy

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// coldFleet is a deployment in which one server starts under traffic. Config holds the settings of the balancers.
type coldFleet struct {
	Config
	balancers   int           // actual number, which may differ from the settings
	warm        int           // servers that have warmed up
	fill        float64       // mean connections that fill a warm server
	load        float64       // of the warm servers before the start
	rate        float64       // new requests per second at all balancers
	burst       float64       // factor on the rate after the start
	uneven      float64       // coefficient of variation of the lognormal factor in a connection's work
	classWork   []float64     // relative work by class, scaled to a mean of 1 over all requests
	tellsLoad   bool          // connections report their load
	noise       float64       // relative error of the load in reports
	uncounted   bool          // reports carry no number of connections
	late        time.Duration // longest delay of endpoint list updates, random for each balancer
	returns     bool          // the server is listed before, goes down, and starts again
	crashes     bool          // the starting server crashes again after 2 s, and starts 1 s later
	restarts    float64       // fraction of balancers that restart at each of three times during the warm-up
	repeats     bool          // the full list is sent again every second
	reloads     bool          // the settings are sent again every second
	jitterStart time.Duration // largest error of the reported start, random in each list
	skewed      bool          // one balancer gets a third of the requests
	shortLives  time.Duration // mean lifetime of a connection; 0 for 20 s
}

// coldResult is the result of a simulation.
type coldResult struct {
	fell   bool    // the bound was exceeded, with over 2/3 of it sent by balancers that were notified of the start
	peak   float64 // highest work in a window, divided by the bound
	served float64 // work sent to the warming server, divided by the total budget
	sends  int
}

// coldSendMade is one attempt sent to the warming server.
type coldSendMade struct {
	at   time.Duration
	work float64
	told bool // the balancer had been notified of the latest start
}

// standing is one connection at a server.
type standing struct {
	by     int
	id     string
	on     string
	work   float64
	ends   time.Duration
	closed bool
}

// coldPlay is a running simulation of a coldFleet.
type coldPlay struct {
	coldFleet
	t        testing.TB
	rng      *rand.Rand
	now      time.Duration
	all      []*Balancer
	told     []time.Duration // when each balancer receives the latest list update; 0 if it has
	knows    []bool          // whether each balancer has been notified of the latest start
	born     time.Duration   // start of the warming server; 0 while it is down
	listed   Server          // current entry of the warming server in discovery
	isListed bool
	held     map[string]float64
	count    map[string]int
	stands   []*standing
	sent     []coldSendMade
	ids      int
	meanWork float64
	result   coldResult
	allowed  float64 // total budget up to now, as work
}

const coldStart = 4 * time.Second

// play simulates the fleet for a seed from before the start of the server until it has warmed up, at most 12 s.
func (f coldFleet) play(t testing.TB, seed uint64) coldResult {
	p := &coldPlay{
		coldFleet: f,
		t:         t,
		rng:       rand.New(rand.NewPCG(seed, 11)),
		now:       time.Hour,
		held:      map[string]float64{},
		count:     map[string]int{},
	}
	p.meanWork = 1
	if len(f.classWork) > 0 {
		p.meanWork = 0
		for _, w := range f.classWork {
			p.meanWork += w / float64(len(f.classWork))
		}
	}
	if p.shortLives == 0 {
		p.shortLives = 20 * time.Second
	}
	p.told, p.knows = make([]time.Duration, f.balancers), make([]bool, f.balancers)
	for i := range f.balancers {
		p.all = append(p.all, nil)
		p.start(i)
	}
	for i := range int(f.load * f.fill * float64(f.warm)) {
		by, class := p.rng.IntN(f.balancers), p.class()
		s := p.stand(by, fmt.Sprint("before", i), fmt.Sprintf("s%02d", i%f.warm), class)
		p.feed(by, AdoptedConnection{Request: Request{ID: s.id, Class: f.Classes[class].Name}, Server: s.on})
		p.tells(s)
	}
	if f.returns {
		p.list(Server{ID: "cold", Zone: "a", Weight: 1})
	}
	began, until := p.now, p.now+coldStart+min(f.WarmUpDuration, 12*time.Second)
	for step := 1; p.now < until; step++ {
		p.now += 20 * time.Millisecond
		p.trouble(p.now-began, step)
		p.step(p.now - began)
	}
	p.result.served /= max(1e-9, p.allowed)
	return p.result
}

// trouble injects the faults due at this time since the beginning.
func (p *coldPlay) trouble(at time.Duration, step int) {
	each := func(d time.Duration) bool { return step%int(d/(20*time.Millisecond)) == 0 }
	switch {
	case p.returns && at == coldStart-time.Second:
		p.down()
	case at == coldStart:
		p.up()
	case p.crashes && at == coldStart+2*time.Second:
		p.down()
	case p.crashes && at == coldStart+3*time.Second:
		p.up()
	case p.restarts > 0 && at > coldStart && each(1500*time.Millisecond) && at < coldStart+5*time.Second:
		for i := range p.all {
			if p.rng.Float64() < p.restarts {
				p.restart(i)
			}
		}
	case p.reloads && each(time.Second):
		for i := range p.all {
			p.feed(i, ConfigUpdate{p.all[i].config})
		}
	case p.repeats && each(time.Second):
		p.list(p.listed)
	}
}

func (p *coldPlay) down() {
	p.born = 0
	for _, s := range p.stands {
		if s.on == "cold" {
			p.end(s, ResultReset)
		}
	}
}

func (p *coldPlay) up() {
	p.born = p.now
	clear(p.knows)
	p.list(Server{ID: "cold", Zone: "a", Weight: 1, StartedAt: p.now})
}

// list publishes the warming server's entry. Each balancer receives it after its own random delay.
func (p *coldPlay) list(s Server) {
	p.listed, p.isListed = s, s.ID != ""
	for i := range p.told {
		p.told[i] = p.now + time.Duration(p.rng.Float64()*float64(p.late))
	}
}

func (p *coldPlay) entry() Server {
	s := p.listed
	if s.StartedAt > 0 {
		s.StartedAt += time.Duration((2*p.rng.Float64() - 1) * float64(p.jitterStart))
	}
	return s
}

func (p *coldPlay) whole() ServerList {
	l := ServerList{Kind: ListFull, Servers: servers(p.warm)}
	if p.isListed {
		l.Servers = append(l.Servers, p.entry())
	}
	return l
}

func (p *coldPlay) start(i int) {
	b, err := New(p.Config, int64(p.rng.Uint64()>>1))
	if err != nil {
		p.t.Fatal(err)
	}
	p.all[i] = b
	p.knows[i] = p.listed.StartedAt > 0 || p.knows[i]
	p.feed(i, p.whole())
}

// restart stops a balancer, which ends its connections, and starts it again.
func (p *coldPlay) restart(i int) {
	for _, s := range p.stands {
		if s.by == i && !s.closed {
			p.leaves(s)
		}
	}
	p.start(i)
}

func (p *coldPlay) class() int { return p.rng.IntN(max(1, len(p.classWork))) }

// work generates the work of a connection of a class.
func (p *coldPlay) work(class int) float64 {
	w := 1.0
	if len(p.classWork) > 0 {
		w = p.classWork[class] / p.meanWork
	}
	if p.uneven > 0 {
		v := math.Log(1 + p.uneven*p.uneven)
		w *= math.Exp(p.rng.NormFloat64()*math.Sqrt(v) - v/2)
	}
	return w
}

func (p *coldPlay) stand(by int, id, on string, class int) *standing {
	s := &standing{
		by:   by,
		id:   id,
		on:   on,
		work: p.work(class),
		ends: p.now + time.Duration(p.rng.ExpFloat64()*float64(p.shortLives)),
	}
	p.held[on] += s.work
	p.count[on]++
	p.stands = append(p.stands, s)
	return s
}

func (p *coldPlay) tells(s *standing) {
	if p.tellsLoad {
		p.feed(s.by, ConnectionLoad{ID: s.id, Load: s.work})
	}
}

func (p *coldPlay) leaves(s *standing) {
	if !s.closed {
		s.closed = true
		p.held[s.on] -= s.work
		p.count[s.on]--
	}
}

func (p *coldPlay) end(s *standing, how Result) {
	if !s.closed {
		p.leaves(s)
		p.feed(s.by, AttemptEnded{ID: s.id, Server: s.on, Result: how, Final: true})
	}
}

func (p *coldPlay) ramp() float64 {
	if p.born == 0 {
		return 1
	}
	return min(
		1,
		p.WarmUpInitialCapacity+(1-p.WarmUpInitialCapacity)*float64(p.now-p.born)/float64(max(1, p.WarmUpDuration)),
	)
}

func (p *coldPlay) can(server string) float64 {
	if server == "cold" {
		return p.fill * p.ramp()
	}
	return p.fill
}

// bears returns the work that the warming server bears in one window.
func (p *coldPlay) bears() float64 {
	return p.OverloadMultiple * p.can("cold") / p.WarmUpDuration.Seconds() * p.OverloadWindow.Seconds()
}

func (p *coldPlay) feed(by int, ev Event) {
	for _, a := range p.all[by].Step(p.now, ev, nil) {
		switch a := a.(type) {
		case Probe:
			p.probe(by, a.Server)
		case Send:
			p.send(by, a)
		case Migrate:
			for _, s := range p.stands {
				if s.by == by && s.id == a.ID {
					p.end(s, ResultCanceled)
				}
			}
		}
	}
}

func (p *coldPlay) probe(by int, server string) {
	if server == "cold" && p.born == 0 && !(p.returns && p.now < time.Hour+coldStart-time.Second) {
		p.feed(by, ProbeResult{Server: server, Result: ResultUnreachable})
		return
	}
	x := max(0, p.held[server]/p.can(server)*(1+p.noise*p.rng.NormFloat64()))
	r := report(x, float64(p.count[server]))
	if p.uncounted {
		r.InFlight = -1
	}
	p.feed(by, ProbeResult{Server: server, Report: r})
}

func (p *coldPlay) send(by int, a Send) {
	b := p.all[by]
	attempt := b.requests.byID[a.ID].attempts - 1
	class := slices.IndexFunc(p.Classes, func(k Class) bool { return k.Name == b.requests.byID[a.ID].Class })
	isDown := a.Server == "cold" && p.born == 0 && !(p.returns && p.now < time.Hour+coldStart-time.Second)
	if isDown {
		p.feed(by, AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Result: ResultUnreachable})
		return
	}
	s := p.stand(by, a.ID, a.Server, class)
	if a.Server == "cold" && p.born > 0 && p.now-p.born < p.WarmUpDuration-p.jitterStart {
		p.judge(by, s.work)
	}
	if p.held[a.Server] > 1.3*p.can(a.Server) {
		p.leaves(s)
		p.feed(by, AttemptEnded{ID: a.ID, Attempt: attempt, Server: a.Server, Result: ResultRejected})
		return
	}
	p.feed(by, AttemptEstablished{ID: a.ID, Attempt: attempt, Server: a.Server, Latency: 20 * time.Millisecond})
	p.tells(s)
}

// judge checks an attempt sent to the warming server against the server's bound.
func (p *coldPlay) judge(by int, work float64) {
	p.sent = slices.DeleteFunc(
		p.sent,
		func(s coldSendMade) bool { return s.at <= p.now-p.OverloadWindow || s.at < p.born },
	)
	p.sent = append(p.sent, coldSendMade{p.now, work, p.knows[by]})
	sum, told := 0.0, 0.0
	for _, s := range p.sent {
		if sum += s.work; s.told {
			told += s.work
		}
	}
	n := p.bears()
	bound := n + 2*math.Sqrt(n) + 2
	p.result.sends++
	p.result.served += work
	p.result.peak = max(p.result.peak, sum/bound)
	p.result.fell = p.result.fell || sum > bound && told > sum*2/3
}

// step simulates 20 ms: list updates, ends of connections, new requests and timers.
func (p *coldPlay) step(at time.Duration) {
	if p.born > 0 {
		p.allowed += p.bears() / p.OverloadWindow.Seconds() * 0.02
	}
	for i, when := range p.told {
		if when > 0 && p.now >= when {
			p.told[i], p.knows[i] = 0, p.born > 0
			l := p.whole()
			if !p.repeats {
				l = ServerList{Kind: ListDelta, Servers: []Server{p.entry()}}
			}
			p.feed(i, l)
		}
	}
	for _, s := range p.stands {
		if p.now >= s.ends {
			p.end(s, ResultOK)
		}
	}
	p.stands = slices.DeleteFunc(p.stands, func(s *standing) bool { return s.closed })
	rate := p.rate * 0.02
	if at >= coldStart && p.burst > 0 {
		rate *= p.burst
	}
	for range poisson(p.rng, rate) {
		by := p.rng.IntN(p.balancers)
		if p.skewed && p.rng.IntN(3) == 0 {
			by = 0
		}
		p.ids++
		id := fmt.Sprint("r", p.ids)
		p.feed(by, Request{ID: id, Key: id, Class: p.Classes[p.class()].Name, Timeout: time.Second})
	}
	for i := range p.all {
		p.feed(i, TimerFired{"tick"})
	}
}

func poisson(rng *rand.Rand, mean float64) (n int) {
	for left := rng.ExpFloat64(); left < mean; left += rng.ExpFloat64() {
		n++
	}
	return n
}

// coldSettings returns settings under which a starting server bears budget connections of mean work in the first
// window.
func coldSettings(balancers int, fill, share, budget float64, window time.Duration) Config {
	c := testConfig()
	c.Balancers = balancers
	c.WarmUpInitialCapacity = share
	c.WarmUpDuration = 10 * time.Second
	c.OverloadWindow = window
	c.OverloadMultiple = budget * c.WarmUpDuration.Seconds() / window.Seconds() / (fill * max(share, 0.05))
	return c
}
