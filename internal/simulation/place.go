// A drawn deployment stepped: reducers with their modules, as many as the deployment has balancers, against regions, discovery and
// terminals that do what deployments do to them. Each balancer reads its configuration and its lists with oatloft's own readers.
// This file owns what happens; judge.go, beside it, owns the rules and the counts. It must never tell a balancer what a socket
// would not tell it.

package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/generate"
	"oatloft/internal/platform"
	"oatloft/internal/proxy"
	"oatloft/policy"
)

const (
	warmUp     = 3 * time.Second  // before anything counts
	placeFor   = 24 * time.Second // a play's length; nobody comes in its last part
	sampleStep = 100 * time.Millisecond
	lookStep   = 50 * time.Millisecond // of what reports tell
	fallsFor   = 5 * time.Second
	mostTries  = 12
)

// host is a stepped region.
type host struct {
	generate.Host
	i, zone          int
	size             float64 // connections of mean work that fill it
	speed            float64 // of what it can do
	born             time.Duration
	state            policy.ServerState // as discovery has it
	seq, bornAt      int64              // of its last change; of its last start
	badSeq           int64              // of the first change since it was ready ...
	badAt            time.Duration      // ... and when discovery told that; 0 for not yet
	down, hung       bool
	errs             float64
	load             float64
	tasks            []*task
	past             []look // latest last
	window           []cold
	judged           bool // it fell once
	nowBad, badKnown bool // to the seer
}

type look struct{ x, held float64 }

type cold struct {
	at     time.Duration
	work   float64
	knower bool
}

// task is a routed task.
type task struct {
	of          *request
	attempt     int
	on          *host
	began       time.Duration
	connected   bool
	sent, mayBe bool // the line has left; it may have run
	held        bool // the region has it
	at          int  // in the region's list
	heard       time.Duration
	unheard     bool // a line waits for its reply
}

// client is a terminal that wants to be connected for a while.
type client struct {
	key, group, tenant string
	class              *generate.Class
	k, t               int
	zone               int
	from, till         time.Duration
	tries              int
	req                *request
	seat               *task // where it stands
	mid                *host // it stood there, and its packets now come elsewhere
	why                loss
}

// request is one connection of a terminal to a balancer.
type request struct {
	id       string
	c        *client
	d        *balancerProcess
	h        core.Handle
	due      time.Duration
	came     time.Duration
	answered bool
	over     bool
	task     *task
	attempts int
	before   bool  // the run: the platform names its region
	ran      *host // where it first may have run
	ranAt    time.Duration
}

// balancerProcess is one process of a balancer.
type balancerProcess struct {
	slot, zone    int
	r             *core.Reducer
	dead, closed  bool // closed: nobody new is sent here
	born          time.Duration
	reqs          map[core.Handle]*request
	order         []*request
	watch, former *watch
	lastCall      time.Duration
	failed        bool
	silentAt      time.Duration
	heardSeq      int64
	heard         map[*host]time.Duration // of its being bad
	leaving       bool
}

type watch struct {
	in           platform.WatchReader
	up, answered bool
	silent       bool
	seq          int64
}

// Place is a deployment at work.
type Place struct {
	D             generate.Deployment
	Trace         func(slot int, now time.Duration, effects []core.Effect) // called before a balancer's effects are carried out; may be nil
	Judge         Judge
	seer          bool
	broken        Break
	now           time.Duration
	zero          time.Time
	rng           *rand.Rand
	todo          [][]func()
	step          int
	hosts         []*host
	seq           int64 // of the list
	told          []publication
	down          bool // discovery
	backAt        time.Duration
	slots         []*balancerProcess
	skew          []float64
	active        []*client
	ids           int
	handle        core.Handle
	traffic, late float64
	lateMost      time.Duration
}

type publication struct {
	seq  int64
	host *host
	Host generate.Host
}

func (p *Place) after(d time.Duration, f func()) {
	at := p.step + max(1, int(d/core.TickInterval))
	for len(p.todo) <= at {
		p.todo = append(p.todo, nil)
	}
	p.todo[at] = append(p.todo[at], f)
}

// between draws a time.
func (p *Place) between(low, high time.Duration) time.Duration {
	return low + time.Duration(p.rng.Float64()*float64(high-low))
}

// Break is a balancer that is broken on purpose: told other settings than hold, or news of the list so late.
type Break struct {
	Told func(*core.Config)
	News time.Duration
}

// Open starts a deployment: with its balancers, or with one policy in place of all that sees the true state late.
func Open(d generate.Deployment, seer bool, broken Break) (*Place, error) {
	p := &Place{D: d, seer: seer, broken: broken, now: time.Hour, zero: time.Unix(1_700_000_000, 0), rng: rand.New(rand.NewPCG(uint64(d.Seed), 77)), traffic: 1}
	p.Judge.init(p)
	for i := range d.Regions {
		p.addHost(p.D.RegionZone(i), -1)
	}
	for i := range d.Balancers {
		p.skew = append(p.skew, 1)
		if i == 0 {
			p.skew[0] = d.Skew
		}
		p.slots = append(p.slots, nil)
		if err := p.start(i, true); err != nil {
			return nil, err
		}
	}
	stand := int(d.Load * d.Fill * float64(d.Regions))
	for i := range stand {
		c := p.client(p.now)
		h := p.hosts[i%len(p.hosts)]
		p.after(p.between(0, time.Second), func() { p.asks(c, h) })
	}
	rate := float64(stand) / d.Life.Seconds()
	for step := 0; step < int((warmUp+placeFor)/core.TickInterval); step++ {
		p.after(time.Duration(step)*core.TickInterval, func() {
			for n := int(rate*p.traffic*core.TickInterval.Seconds() + p.rng.Float64()); n > 0; n-- {
				c := p.client(p.now)
				p.asks(c, nil)
			}
		})
	}
	for _, t := range d.Troubles {
		p.after(t.At, func() { p.trouble(t) })
	}
	return p, nil
}

func (p *Place) client(from time.Duration) *client {
	c := &client{key: fmt.Sprint("k", p.ids), from: from, till: from + time.Duration(p.rng.ExpFloat64()*float64(p.D.Life)) + 500*time.Millisecond, t: -1}
	p.ids++
	at := p.rng.Float64()
	for c.k = 0; c.k < len(p.D.Classes)-1 && at > p.D.Classes[c.k].Part; c.k++ {
		at -= p.D.Classes[c.k].Part
	}
	c.class = &p.D.Classes[c.k]
	at = p.rng.Float64()
	for i, f := range p.D.Fractions {
		if at < f {
			c.t, c.tenant = i, p.D.Tenants[i].Name
			break
		}
		at -= f
	}
	if p.D.Groups > 0 && p.rng.IntN(2) == 0 {
		c.group = fmt.Sprint("g", p.rng.IntN(p.D.Groups))
	}
	c.zone = p.D.BalancerZone(p.rng.IntN(p.D.Balancers))
	p.active = append(p.active, c)
	return c
}

func (p *Place) addHost(zone int, born time.Duration) *host {
	n := len(p.hosts)
	size := []float64{1, 1, 1.5, 0.6}[n%4]
	h := &host{Host: generate.Host{Host: fmt.Sprintf("s-%04x%02d", (n*40503+p.D.Seed*977)%65536, n%100), Site: p.D.Zone(zone), Class: "m", Block: n % p.D.Cells, Health: "ready", Share: size},
		i: n, zone: zone, size: size * p.D.Fill, speed: 1, born: born, past: []look{{}}}
	h.Dial = fmt.Sprintf("10.0.%d.%d:9000", n/250, n%250)
	if born > 0 {
		h.Born = p.unix(born)
	}
	p.hosts = append(p.hosts, h)
	p.change(h, policy.Live, born > 0)
	return h
}

func (p *Place) unix(at time.Duration) float64 { return float64(p.zero.Add(at).UnixMicro()) / 1000 }

// ramp and x are what a region can do now, and how loaded it is.
func (p *Place) ramp(h *host) float64 {
	if h.born < 0 || p.now-h.born >= p.D.ColdFor {
		return 1
	}
	return p.D.ColdFrom + (1-p.D.ColdFrom)*float64(p.now-h.born)/float64(p.D.ColdFor)
}

func (p *Place) can(h *host) float64 { return h.size * h.speed * p.ramp(h) }

func (p *Place) x(h *host) float64 { return h.load / p.can(h) }

// sound tells that a region answers.
func (h *host) sound() bool { return !h.down && !h.hung }

// change has discovery learn something of a region; it tells it a lag later.
func (p *Place) change(h *host, to policy.ServerState, started bool) {
	h.state = to
	h.Health = []string{"ready", "draining", "gone"}[to]
	p.seq++
	seq, entry := p.seq, h.Host
	if p.step > 0 {
		p.after(p.D.ListLag, func() { p.publish(publication{seq, h, entry}, started) })
		return
	}
	p.told = append(p.told, publication{seq, h, entry})
	h.seq = seq
}

// publish writes a change to all open watches.
func (p *Place) publish(c publication, started bool) {
	if p.down {
		p.after(max(core.TickInterval, p.backAt-p.now), func() { p.publish(c, started) })
		return
	}
	c.seq = int64(len(p.told)) + 1
	p.told = append(p.told, c)
	c.host.seq = c.seq
	if started {
		c.host.bornAt = c.seq
	}
	if c.Host.Health == "ready" {
		c.host.badSeq, c.host.badAt = 0, 0
	} else if c.host.badAt == 0 {
		c.host.badSeq, c.host.badAt = c.seq, p.now
	}
	body := p.D.List(c.seq, false, []generate.Host{c.Host})
	for _, d := range p.slots {
		if w := d.watch; w != nil && w.up && !w.silent && !d.dead {
			p.deliver(d, w, chunk(body), c.seq)
		}
	}
}

func chunk(body []byte) []byte { return fmt.Appendf(nil, "%x\r\n%s\r\n", len(body), body) }

// whole is the list as discovery has told it.
func (p *Place) whole() []byte {
	at, hosts := map[*host]int{}, []generate.Host{}
	for _, c := range p.told {
		if i, ok := at[c.host]; ok {
			hosts[i] = c.Host
		} else {
			at[c.host] = len(hosts)
			hosts = append(hosts, c.Host)
		}
	}
	hosts = slices.DeleteFunc(hosts, func(h generate.Host) bool { return h.Health == "gone" })
	return p.D.List(int64(len(p.told)), true, hosts)
}

// start has a new process come up in a balancer's place.
func (p *Place) start(slot int, first bool) error {
	zone := p.D.BalancerZone(slot)
	var known []byte
	if first || p.D.Known {
		known = p.whole()
	}
	cfg, err := proxy.ParseConfig(p.D.JSON(zone, p.rng.Uint64()>>2, known), proxy.Overrides{})
	if err != nil {
		return err
	}
	if p.broken.Told != nil {
		p.broken.Told(&cfg.Core)
	}
	r, err := core.New(cfg.Core)
	if err != nil {
		return err
	}
	d := &balancerProcess{slot: slot, zone: zone, r: r, born: p.now, lastCall: p.now, reqs: map[core.Handle]*request{}, heard: map[*host]time.Duration{}}
	p.slots[slot] = d
	if known != nil {
		list, err := platform.ParseList(known, p.zero)
		if err != nil {
			return err
		}
		list.Kind = policy.ListCached
		p.hears(d, int64(len(p.told)))
		p.do(d, list)
	}
	p.do(d, core.Tick{})
	return nil
}

// do steps a balancer.
func (p *Place) do(d *balancerProcess, ev core.Event) {
	if d.dead || p.seer {
		return
	}
	if l, ok := ev.(core.EndpointsListed); ok && p.broken.News > 0 && l.Kind == policy.ListDelta {
		p.after(p.broken.News, func() { p.steps(d, l) })
		return
	}
	p.steps(d, ev)
}

func (p *Place) steps(d *balancerProcess, ev core.Event) {
	if d.dead {
		return
	}
	effects := d.r.Step(p.now, ev, nil)
	if p.Trace != nil {
		p.Trace(d.slot, p.now, effects)
	}
	for _, e := range effects {
		p.effect(d, e)
	}
}

// Run plays the deployment to its end.
func (p *Place) Run() {
	for end := p.now + warmUp + placeFor; p.now < end; {
		p.now += core.TickInterval
		p.step++
		if p.step < len(p.todo) {
			list := p.todo[p.step]
			p.todo[p.step] = nil
			for _, f := range list {
				f()
			}
		}
		if p.step%int(lookStep/core.TickInterval) == 0 {
			for _, h := range p.hosts {
				h.past = append(h.past, look{p.x(h), float64(len(h.tasks))})
			}
		}
		if p.step%int(sampleStep/core.TickInterval) == 0 {
			p.Judge.sample(p)
			if p.seer {
				p.seen()
			}
		}
		if !p.seer {
			for _, d := range p.slots {
				p.do(d, core.Tick{})
			}
		}
	}
}

// asks has a terminal come to a balancer; at names the region where it stood before the play.
func (p *Place) asks(c *client, at *host) {
	if p.now >= c.till || c.req != nil || c.seat != nil {
		return
	}
	if p.seer {
		p.seat(c, at)
		return
	}
	d := p.front(c.zone)
	if d == nil {
		c.why = nobody
		p.after(100*time.Millisecond, func() { p.asks(c, at) })
		return
	}
	p.handle++
	p.ids++
	c.tries++
	wait := time.Duration((0.5 + 0.5*p.rng.Float64()) * float64(c.class.GiveUp)).Truncate(time.Millisecond)
	r := &request{id: fmt.Sprint("r", p.ids), c: c, d: d, h: p.handle, due: p.now + wait, came: p.now}
	c.req, c.why = r, waits
	d.reqs[r.h] = r
	d.order = append(d.order, r)
	ev := core.RequestReceived{Client: r.h, Request: policy.Request{ID: r.id, Key: c.key, Group: c.group, Class: c.class.Name, Tenant: c.tenant, Timeout: wait, MidFlow: c.mid != nil}}
	if r.before = at != nil; r.before {
		ev.EstablishedServer = at.Host.Host
	}
	p.Judge.came++
	p.do(d, ev)
	p.after(wait+core.TickInterval, func() { p.Judge.inTime(p, r) })
}

// front is a balancer of a zone, or of any where it has none.
func (p *Place) front(zone int) *balancerProcess {
	for _, any := range []bool{false, true} {
		total := 0.0
		for i, d := range p.slots {
			if !d.dead && !d.closed && (any || d.zone == zone) {
				total += p.skew[i]
			}
		}
		at := p.rng.Float64() * total
		for i, d := range p.slots {
			if !d.dead && !d.closed && (any || d.zone == zone) {
				if at -= p.skew[i]; at <= 0 {
					return d
				}
			}
		}
	}
	return nil
}

// again has a terminal come once more.
func (p *Place) again(c *client, wait time.Duration) {
	if c.tries > mostTries && c.why != moved && c.why != broke {
		return // it is not seen again
	}
	p.after(wait, func() { p.asks(c, nil) })
}

// free takes a routed task from its region.
func (p *Place) free(t *task) {
	if t == nil || !t.held {
		return
	}
	t.held = false
	h := t.on
	last := len(h.tasks) - 1
	h.tasks[t.at] = h.tasks[last]
	h.tasks[t.at].at = t.at
	h.tasks = h.tasks[:last]
	if h.load -= t.of.c.class.Work; last == 0 {
		h.load = 0
	}
}

func (p *Place) hold(t *task) {
	t.held, t.at = true, len(t.on.tasks)
	t.on.tasks = append(t.on.tasks, t)
	t.on.load += t.of.c.class.Work
}

// over ends a terminal's connection to its balancer. Where it still wants to be connected it comes again after a while.
func (p *Place) over(r *request, why loss, again time.Duration) {
	if r.over {
		return
	}
	r.over = true
	p.free(r.task)
	r.task = nil
	delete(r.d.reqs, r.h)
	c := r.c
	if c.req == r {
		c.req, c.seat, c.why = nil, nil, why
		p.again(c, again)
	}
}

// effect carries out what a balancer wants.
func (p *Place) effect(d *balancerProcess, e core.Effect) {
	switch e := e.(type) {
	case core.Probe:
		p.probe(d, e)
	case core.Dial:
		p.dial(d, e)
	case core.SendRequest:
		p.line(d, e)
	case core.CloseAttempt:
		if r := d.reqs[e.Client]; r != nil {
			if t := r.task; t != nil {
				p.ranMaybe(r, t)
			}
			p.free(r.task)
			r.task = nil
		}
	case core.Answer:
		r := d.reqs[e.Client]
		p.Judge.answered(p, r, &e)
		if r == nil {
			return
		}
		why := p.Judge.refused(p, r, e.Rejected)
		wait := p.between(p.D.ComeAgain/2, p.D.ComeAgain)
		if e.RetryAfter > 0 {
			wait = e.RetryAfter
		}
		p.over(r, why, wait)
	case core.Forward:
		r := d.reqs[e.Client]
		switch {
		case r == nil || r.task == nil:
		case e.ToServer:
			p.returns(r, r.task)
		case !r.answered:
			p.Judge.answered(p, r, nil)
			r.c.seat = r.task
		}
	case core.CloseServer:
		if r := d.reqs[e.Client]; r != nil {
			p.free(r.task)
			r.task = nil
			if e.Reason == core.CloseEOF && r.c.till > p.now { // the terminal goes on waiting for the region's end
				p.over(r, broke, p.D.Rejoin)
			}
		}
	case core.CloseClient:
		if r := d.reqs[e.Client]; r != nil {
			p.over(r, broke, p.between(p.D.Rejoin/2, p.D.Rejoin))
		}
	case core.MigrateClient:
		r := d.reqs[e.Client]
		if r == nil || r.c.seat == nil {
			p.Judge.fault(p, "moved", "%d is moved and doesn't stand", e.Client)
			return
		}
		p.Judge.moves++
		p.over(r, moved, p.between(p.D.Rejoin/2, p.D.Rejoin))
	case core.Watch:
		p.call(d, e.Version)
	case core.StopWatch:
		d.watch = nil
	case core.Exit:
		p.exit(d)
	}
}

func (p *Place) ranMaybe(r *request, t *task) {
	if t.mayBe && r.ran == nil {
		r.ran, r.ranAt = t.on, t.began
	}
}

func (p *Place) hostOf(id string) *host {
	for _, h := range p.hosts {
		if h.Host.Host == id {
			return h
		}
	}
	return nil
}

func (p *Place) way(d *balancerProcess, h *host) time.Duration {
	if d.zone != h.zone {
		return p.between(p.D.Way/2, p.D.Way)
	}
	return p.D.Way / 8
}

func (p *Place) probe(d *balancerProcess, e core.Probe) {
	h := p.hostOf(e.Server)
	p.Judge.probed(p, d)
	wait, ev := p.way(d, h)*2+p.between(time.Millisecond, 10*time.Millisecond), core.ProbeFinished{Server: e.Server}
	switch {
	case h.hung, h.down && h.state != policy.Gone:
		wait, ev.Result = e.Timeout, policy.ResultTimedOut
	case h.down:
		ev.Result = policy.ResultUnreachable
	case p.rng.Float64() < h.errs/4:
		ev.Result = policy.ResultFailed
	default:
		back := int((p.D.ReportLate + p.between(0, p.D.ReportEvery)) / lookStep)
		l := h.past[max(0, len(h.past)-1-back)]
		ev.Report = platform.ParseStats([]byte(p.D.Report(max(0, l.x*(1+noise*p.rng.NormFloat64())), l.held)))
	}
	p.after(wait, func() { p.do(d, ev) })
}

func (p *Place) dial(d *balancerProcess, e core.Dial) {
	r, h := d.reqs[e.Client], p.hostOf(e.Server)
	if r == nil || h == nil {
		p.Judge.fault(p, "nobody", "%d dials %s for nobody", e.Client, e.Server)
		return
	}
	if r.task != nil {
		p.Judge.fault(p, "one task at once", "%s dials %s with a task out at %s", r.id, e.Server, r.task.on.Host.Host)
		p.free(r.task)
	}
	p.Judge.dialed(p, r)
	t := &task{of: r, attempt: e.Attempt, on: h, began: p.now}
	r.task = t
	wait, how := p.way(d, h)+time.Millisecond, core.Event(core.AttemptConnected{Client: e.Client, Attempt: e.Attempt})
	if p.rng.Float64() < p.late {
		wait += p.between(0, p.lateMost)
	}
	if h.down {
		if h.state != policy.Gone {
			how = nil // its machine is silent
		} else {
			how = core.AttemptClosed{Client: e.Client, Attempt: e.Attempt, Reason: core.CloseRefused}
		}
	}
	if how != nil {
		p.after(wait, func() {
			if r.task != t {
				return
			}
			if _, up := how.(core.AttemptConnected); !up {
				r.task = nil
			} else if h.down {
				return
			}
			t.connected = true
			p.do(d, how)
		})
	}
	if !r.before {
		p.after(p.D.ConnectTimeout+2*core.TickInterval, func() {
			if r.task == t && !t.connected && !d.dead {
				p.Judge.fault(p, "connect time-out", "%s has dialed %s for longer than %v", r.id, e.Server, p.D.ConnectTimeout)
			}
		})
	}
}

// line sends a first line: from now on it may run.
func (p *Place) line(d *balancerProcess, e core.SendRequest) {
	r := d.reqs[e.Client]
	if r == nil || r.task == nil {
		p.Judge.fault(p, "nobody", "%d sends a line with no task", e.Client)
		return
	}
	t := r.task
	p.Judge.sent(p, d, r, t)
	t.sent, t.mayBe, t.began = true, true, p.now // a key's time counts from here
	p.after(core.TickInterval, func() {
		if r.task != t {
			return
		}
		if !p.arrives(d, t) {
			return
		}
		p.do(d, core.RequestSent{Client: e.Client, Attempt: e.Attempt})
	})
}

// ends tells a balancer how a task ended.
func (p *Place) ends(t *task, how core.CloseReason, ran bool) {
	r := t.of
	if r.task != t {
		return
	}
	if p.seer {
		p.unseat(t, moved)
		return
	}
	if ran {
		p.ranMaybe(r, t)
	}
	p.free(t)
	if r.task = nil; r.c.seat == t {
		r.c.seat = nil
	}
	p.do(r.d, core.AttemptClosed{Client: r.h, Attempt: t.attempt, Reason: how})
}

// arrives has a region take a line, or not.
func (p *Place) arrives(d *balancerProcess, t *task) bool {
	h, r := t.on, t.of
	back := p.way(d, h)
	if p.ramp(h) < 1 && !h.down {
		p.Judge.chilled(p, d, h, t)
	}
	mid := r.c.mid
	r.c.mid = nil
	switch {
	case h.down && h.state == policy.Gone:
		p.after(back, func() { p.ends(t, core.CloseReset, true) })
		return true
	case h.down || h.hung:
		return true
	case mid != nil && mid != h: // it is open elsewhere
		p.after(back, func() { p.ends(t, core.CloseReset, true) })
		return true
	case mid == nil && (h.state != policy.Live || h.load > 1.3*p.can(h)):
		t.mayBe = false
		p.after(back, func() { p.ends(t, core.CloseRejected, false) })
		return true
	}
	p.hold(t)
	if p.rng.Float64() < h.errs {
		how := []core.CloseReason{core.CloseFailed, core.CloseReset}[p.rng.IntN(2)]
		p.after(back+p.D.Setup, func() { p.ends(t, how, true) })
		return true
	}
	takes := time.Duration(float64(p.D.Setup) * (0.5 + p.rng.Float64()) * (1 + 8*max(0, p.x(h)-0.8)) / max(0.1, h.speed))
	p.after(back+takes, func() { p.up(t) })
	return true
}

// up tells that a region serves; a hung one does so when it goes on.
func (p *Place) up(t *task) {
	r := t.of
	if r.task != t || !t.held {
		return
	}
	if t.on.hung {
		p.after(250*time.Millisecond, func() { p.up(t) })
		return
	}
	t.heard = p.now
	b := core.Payload{Data: []byte("UP 1\r\n"), Lines: 1}
	if p.D.Loads {
		b.HasLoad, b.Load = true, r.c.class.Work*1000
	}
	if p.do(r.d, core.AttemptAccepted{Client: r.h, Attempt: t.attempt, Payload: b}); r.task != t || r.c.seat != t {
		return
	}
	p.after(p.between(0, 2*time.Second), func() { p.talks(t) })
	p.after(max(0, r.c.till-p.now), func() {
		switch {
		case r.task != t || r.c.seat != t:
		case p.rng.IntN(2) == 0 && t.on.sound():
			p.ends(t, core.CloseFinished, true)
		default:
			p.leaves(r)
		}
	})
}

// leaves has a terminal go that has had enough.
func (p *Place) leaves(r *request) {
	p.do(r.d, core.ClientClosed{Client: r.h, Reason: core.CloseReset})
	p.over(r, gone, 0)
}

var someLine = core.Payload{Data: []byte("x\r\n"), Lines: 1}

// talks has a terminal send its line.
func (p *Place) talks(t *task) {
	if r := t.of; r.task == t && r.c.seat == t && !r.d.dead {
		p.after(2*time.Second, func() { p.talks(t) })
		p.do(r.d, core.DataReceived{Client: r.h, Payload: someLine})
	}
}

// returns has a region return a line.
func (p *Place) returns(r *request, t *task) {
	t.unheard = true
	p.after(p.way(r.d, t.on)*2+time.Duration(max(0, p.x(t.on)-1)*float64(400*time.Millisecond)), func() { p.replies(r, t) })
}

func (p *Place) replies(r *request, t *task) {
	switch {
	case r.task != t || r.d.dead || t.on.down:
	case t.on.hung:
		p.after(250*time.Millisecond, func() { p.replies(r, t) })
	default:
		t.heard, t.unheard = p.now, false
		p.do(r.d, core.DataReceived{Client: r.h, FromServer: true, Payload: someLine})
	}
}

// call is a call to discovery.
func (p *Place) call(d *balancerProcess, seq int64) {
	if d.watch != nil && d.watch.answered {
		d.former = d.watch
	}
	w := &watch{in: platform.WatchReader{Zero: p.zero}, seq: seq}
	d.watch, d.lastCall = w, p.now
	p.Judge.calls++
	p.after(p.between(2*time.Millisecond, 60*time.Millisecond), func() {
		if d.watch != w || d.dead {
			return
		}
		if p.down {
			d.watch, d.failed = nil, true
			p.do(d, core.WatchClosed{})
			return
		}
		var body []byte
		if seq == 0 || p.rng.IntN(4) == 0 {
			body = chunk(p.whole())
		} else {
			hosts := []generate.Host{}
			for _, c := range p.told[min(len(p.told), int(seq)):] {
				hosts = append(hosts, c.Host)
			}
			body = chunk(p.D.List(int64(len(p.told)), false, hosts))
		}
		w.up, d.failed, d.silentAt, d.former = true, false, 0, nil
		p.deliver(d, w, append([]byte("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"), body...), int64(len(p.told)))
		p.after(2*time.Second, func() { p.beats(d, w) })
	})
}

// beats is the empty line of a watch on which nothing changes.
func (p *Place) beats(d *balancerProcess, w *watch) {
	if d.dead || !w.up || w.silent || d.watch != w && d.former != w {
		return
	}
	p.deliver(d, w, chunk([]byte("\n")), 0)
	p.after(2*time.Second, func() { p.beats(d, w) })
}

func (p *Place) hears(d *balancerProcess, upto int64) {
	for _, h := range p.hosts {
		if h.badAt > 0 && h.badSeq <= upto && h.badSeq > d.heardSeq {
			d.heard[h] = p.now
		}
	}
	d.heardSeq = max(d.heardSeq, upto)
}

// deliver brings bytes of a watch, in pieces.
func (p *Place) deliver(d *balancerProcess, w *watch, data []byte, upto int64) {
	p.hears(d, upto)
	for len(data) > 0 {
		n := min(len(data), 1+p.rng.IntN(900))
		err := w.in.Read(data[:n], func(l *core.EndpointsListed) {
			w.answered = true
			switch {
			case w == d.former:
				if l != nil {
					l.FromPreviousWatch = true
					p.do(d, *l)
				}
			case l == nil:
				p.do(d, core.WatchHeartbeat{})
			default:
				p.do(d, *l)
			}
		})
		if data = data[n:]; err != nil {
			if w.up = false; d.watch == w {
				d.watch = nil
				p.do(d, core.WatchClosed{})
			}
			return
		}
	}
}

// exit is a balancer's own end.
func (p *Place) exit(d *balancerProcess) { p.kill(d, true) }

// kill ends a process. Its terminals come again, or go on through another balancer where packets pass through.
func (p *Place) kill(d *balancerProcess, planned bool) {
	if d.dead {
		return
	}
	if planned {
		p.Judge.killed(p, d)
	}
	d.dead = true
	for _, r := range d.order {
		if r.over {
			continue
		}
		if t := r.c.seat; p.D.Pass && t != nil && t.held && r.c.req == r {
			r.c.mid = t.on
			r.over, r.c.why = true, moved
			r.c.req, r.c.seat = nil, nil
			c := r.c
			p.after(p.between(50*time.Millisecond, 400*time.Millisecond), func() {
				p.free(t)
				p.asks(c, nil)
			})
			continue
		}
		p.over(r, broke, p.between(50*time.Millisecond, p.D.Rejoin+100*time.Millisecond))
	}
	d.order = nil
}

// some picks a part of the regions, at least one.
func (p *Place) some(part float64, of func(*host) bool) (list []*host) {
	for _, h := range p.hosts {
		if of(h) {
			list = append(list, h)
		}
	}
	p.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(len(list), max(1, int(math.Round(part*float64(len(list))))))]
}

func ready(h *host) bool { return h.state == policy.Live && !h.down }

// drain has a region go: it is replaced by a cold one at once, and stops after a while.
func (p *Place) drain(h *host) {
	if !ready(h) {
		return
	}
	p.change(h, policy.Draining, false)
	p.addHost(h.zone, p.now)
	if p.D.GoAway {
		for _, t := range slices.Clone(h.tasks) {
			p.after(p.between(100*time.Millisecond, 3*time.Second), func() {
				if r := t.of; r.task == t && r.c.seat == t && h.sound() {
					p.ends(t, core.CloseMigrated, true)
				}
			})
		}
	}
	p.after(p.D.DrainFor, func() {
		p.Judge.stops(p, h)
		p.crash(h)
		p.change(h, policy.Gone, false)
	})
}

// crash resets all connections of a region, whose machine lives.
func (p *Place) crash(h *host) {
	h.down = true
	for _, t := range slices.Clone(h.tasks) {
		if p.seer {
			p.unseat(t, broke)
			continue
		}
		p.ends(t, core.CloseReset, true)
	}
}

// returnsCold has a region that was down be back.
func (p *Place) returnsCold(h *host) {
	h.down, h.hung, h.born, h.window = false, false, p.now, nil
	h.Born, h.bornAt = p.unix(p.now), math.MaxInt64 // nobody knows yet
	p.change(h, policy.Live, true)
}

func (p *Place) trouble(t generate.Trouble) {
	steps := func(over time.Duration, n int, f func(i int)) {
		for i := range n {
			p.after(over*time.Duration(i)/time.Duration(max(1, n))+core.TickInterval, func() { f(i) })
		}
	}
	drains := func(in time.Duration) {
		p.after(in, func() {
			for _, h := range p.some(t.Part/2, ready) {
				p.drain(h)
			}
		})
	}
	switch t.Kind {
	case generate.Roll:
		list := p.some(t.Part, ready)
		steps(t.For, len(list), func(i int) { p.drain(list[i]) })
	case generate.Lost:
		for _, h := range p.some(t.Part, ready) {
			h.down = true // silent: the machine is gone
			p.after(t.For, func() {
				p.crash(h) // what it held is reset once it is back
				p.returnsCold(h)
			})
		}
	case generate.Hang:
		for _, h := range p.some(t.Part, ready) {
			h.hung = true
			p.after(2*t.For, func() { h.hung = false })
		}
	case generate.Slow:
		for _, h := range p.some(t.Part, ready) {
			h.speed = 0.5
			p.after(2*t.For, func() { h.speed = 1 })
		}
	case generate.Late:
		p.late, p.lateMost = t.Part, time.Duration(t.Times*float64(600*time.Millisecond))
		p.after(2*t.For, func() { p.late = 0 })
	case generate.Errors:
		for _, h := range p.some(t.Part/2, ready) {
			h.errs = 0.5
			p.after(t.For, func() { h.errs = 0 })
		}
	case generate.Silent:
		for _, d := range p.slots {
			if d.watch != nil && d.watch.up {
				if d.watch.silent = true; d.silentAt == 0 {
					d.silentAt = p.now
				}
			}
		}
		drains(time.Duration(p.rng.IntN(3000)) * time.Millisecond)
	case generate.Unwatched:
		p.breakWatches()
		drains(time.Duration(p.rng.IntN(2000)) * time.Millisecond)
	case generate.Discovery:
		p.down, p.backAt = true, max(p.backAt, p.now+t.For)
		p.breakWatches()
		p.after(t.For, func() { p.down = p.now+core.TickInterval < p.backAt }) // one outage may go on into the next
		drains(t.For)
	case generate.Restart:
		steps(t.For+8*time.Second, len(p.slots), func(i int) { p.restart(i) })
	case generate.Kill:
		for i, d := range p.slots {
			if p.rng.Float64() < t.Part+0.1 {
				p.kill(d, false)
				p.after(p.between(500*time.Millisecond, 3*time.Second), func() { p.startAgain(i) })
			}
		}
	case generate.Burst:
		p.traffic *= t.Times
		p.after(t.For, func() { p.traffic /= t.Times })
	}
}

func (p *Place) startAgain(slot int) {
	if p.slots[slot].dead {
		if err := p.start(slot, false); err != nil {
			p.Judge.fault(p, "start", "balancer %d doesn't start again: %v", slot, err)
		}
	}
}

func (p *Place) breakWatches() {
	for _, d := range p.slots {
		if w := d.watch; w != nil && w.up {
			d.watch = nil
			p.after(core.TickInterval, func() { p.do(d, core.WatchClosed{}) })
		}
	}
}

// restart is a planned one.
func (p *Place) restart(slot int) {
	d := p.slots[slot]
	if d.dead || d.leaving {
		return
	}
	d.leaving = true
	p.after(p.between(200*time.Millisecond, 400*time.Millisecond), func() { d.closed = true })
	p.after(min(p.D.Longest(), 3*time.Second)+700*time.Millisecond, func() {
		p.kill(d, true)
		p.after(300*time.Millisecond, func() { p.startAgain(slot) })
	})
	p.do(d, core.ShutdownRequested{})
}
