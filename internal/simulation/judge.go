// The judgement of a drawn deployment's play: the platform's rules, seen from outside, and what each loss of worth came from. Beside
// the balancers one policy plays in place of all that sees the true state late. This file must never change what happens, the seer
// apart, which is all of its play.

package simulation

import (
	"fmt"
	"math"
	"slices"
	"time"

	"oatloft/internal/core"
	"oatloft/policy"
)

// loss says why a terminal that wants to be connected isn't, or is badly served.
type loss string

const (
	nobody     loss = "no balancer"
	waits      loss = "waits for its set-up"
	beside     loss = "refused beside room"
	listless   loss = "refused, no list yet"
	idle       loss = "refused beside an idle cold budget"
	full       loss = "refused, all full"
	failed     loss = "failed"
	moved      loss = "moved, not back yet"
	broke      loss = "connection broken"
	silentHost loss = "stands at a silent region"
	overloaded loss = "stands at an overloaded region"
	abroad     loss = "stands in another zone"
	gone       loss = ""
)

const slackTime = 50 * time.Millisecond // the platform's, on sockets

// Judge keeps to what a play showed.
type Judge struct {
	Faults                               map[string]int // by rule
	First                                []string       // what broke first
	Wanted, Got                          float64        // worth, by the second
	Lost                                 map[loss]float64
	ByClass, ByTenant                    [][2]float64 // got, wanted
	Placed, Refused, Failed, Late, Dials int
	Fell                                 int
	ProbesSent                           int
	came, moves, calls                   int
}

func (j *Judge) init(p *Place) {
	j.Faults, j.Lost = map[string]int{}, map[loss]float64{}
	j.ByClass, j.ByTenant = make([][2]float64, len(p.D.Classes)), make([][2]float64, len(p.D.Tenants))
}

func (j *Judge) fault(p *Place, rule, format string, args ...any) {
	if j.Faults[rule]++; len(j.First) < 4 {
		j.First = append(j.First, fmt.Sprintf("%v, %s: %s", p.now-time.Hour, rule, fmt.Sprintf(format, args...)))
	}
}

// Broken is how many faults there were.
func (j *Judge) Broken() (n int) {
	for _, k := range j.Faults {
		n += k
	}
	return n
}

// Score is the part of the worth that was served.
func (j *Judge) Score() float64 { return j.Got / max(1e-9, j.Wanted) }

func (j *Judge) dialed(p *Place, r *request) {
	j.Dials++
	if r.attempts++; r.attempts > p.D.Attempts {
		j.fault(p, "attempts", "%s has %d of %d", r.id, r.attempts, p.D.Attempts)
	}
}

func (j *Judge) probed(p *Place, d *balancerProcess) {
	if j.ProbesSent++; !p.D.Probes {
		j.fault(p, "probes", "balancer %d probes where none are allowed", d.slot)
	}
}

// told tells whether a balancer counts as told of a region's being bad, and since when.
func (p *Place) toldOf(d *balancerProcess, h *host) (time.Duration, bool) {
	if h.badAt == 0 {
		return 0, false
	}
	at := h.badAt
	if heard, ok := d.heard[h]; ok && heard >= h.badAt {
		return heard, true
	}
	switch ask := p.D.AskEvery; {
	case p.down:
		return 0, false
	case d.silentAt > 0 && (d.lastCall < d.silentAt || at < d.lastCall): // the silent watch missed it, not the call that broke it off
		at = max(at, d.silentAt+6*time.Second)
	case p.D.Pushed:
		at = max(at, d.born)
	case d.watch != nil && d.watch.up:
		return 0, false // on its way
	default:
		if d.failed {
			ask *= 4
		}
		at = max(at+p.D.AskEvery, d.lastCall+ask)
		if p.backAt > d.lastCall {
			at = max(at, p.backAt+p.D.AskEvery)
		}
	}
	return at, at <= p.now
}

// sent judges a line that leaves for a region.
func (j *Judge) sent(p *Place, d *balancerProcess, r *request, t *task) {
	h := t.on
	if at, told := p.toldOf(d, h); told && p.now > at+p.D.Grace+slackTime && r.c.mid == nil {
		j.fault(p, "drains", "balancer %d sends %s to %s, told %v ago of its being %s (grace %v)", d.slot, r.id, h.Host.Host, p.now-at, h.Health, p.D.Grace)
	}
	if first := r.ran; first != nil {
		k := r.c.class.Class
		apart := k.KeyScope == policy.KeyScopeZone && first.zone != h.zone || k.KeyScope == policy.KeyScopeCell && first.Block != h.Block
		if k.Idempotency == policy.NotIdempotent || k.Idempotency == policy.IdempotentByKey && (apart || p.now > r.ranAt+k.KeyTTL+slackTime) {
			j.fault(p, "repeats", "%s (%s) is repeated at %s after it may have run at %s", r.id, k.Name, h.Host.Host, first.Host.Host)
		}
	}
}

// answered judges a final answer; without one of the balancer's own it is the region's.
func (j *Judge) answered(p *Place, r *request, e *core.Answer) {
	if r == nil {
		j.fault(p, "one answer", "an answer to nobody")
		return
	}
	if r.answered {
		j.fault(p, "one answer", "%s is answered twice", r.id)
	}
	r.answered = true
	if p.now > r.due+slackTime {
		j.fault(p, "in time", "%s is answered %v late", r.id, p.now-r.due)
	}
	if e == nil {
		if j.Placed++; p.now > r.came+r.c.class.LatencyObjective {
			j.Late++
		}
		return
	}
	if r.task != nil {
		j.fault(p, "one task at once", "%s is answered with a task out", r.id)
	}
	if k := r.c.class; e.Rejected && r.ran != nil && (k.Idempotency == policy.NotIdempotent || k.Idempotency == policy.IdempotentByKey && k.KeyScope != policy.KeyScopeAll) {
		j.fault(p, "repeats", "%s (%s) is told to try again after it may have run at %s", r.id, k.Name, r.ran.Host.Host)
	}
	if e.RetryAfter > p.D.Advice {
		j.fault(p, "advice", "%s is to stay away for %v of %v", r.id, e.RetryAfter, p.D.Advice)
	}
}

func (j *Judge) inTime(p *Place, r *request) {
	p.after(slackTime, func() {
		if !r.answered && !r.over {
			j.fault(p, "in time", "%s (%s) has no answer after its time", r.id, r.c.class.Name)
			r.answered = true
		}
	})
}

// refused says why a terminal was.
func (j *Judge) refused(p *Place, r *request, short bool) loss {
	if !short {
		j.Failed++
		return failed
	}
	j.Refused++
	why := full
	if r.d.heardSeq == 0 {
		return listless
	}
	for _, h := range p.hosts {
		switch warm := p.ramp(h) >= 1; {
		case h.state != policy.Live || !h.sound() || p.x(h) >= 0.8 || h.errs > 0:
		case warm:
			return beside
		case 2*p.pushed(h) < p.bears(h):
			why = idle
		}
	}
	return why
}

// bears is how much work a cold region bears in the settings' time, pushed how much it got in it.
func (p *Place) bears(h *host) float64 {
	return p.D.FallMultiple * p.can(h) / p.D.ColdFor.Seconds() * p.D.FallTime.Seconds()
}

func (p *Place) pushed(h *host) (sum float64) {
	for _, c := range h.window {
		if c.at > p.now-p.D.FallTime {
			sum += c.work
		}
	}
	return sum
}

// chilled counts what a cold region is sent, and has it fall over.
func (j *Judge) chilled(p *Place, d *balancerProcess, h *host, t *task) {
	h.window = slices.DeleteFunc(h.window, func(c cold) bool { return c.at <= p.now-p.D.FallTime })
	h.window = append(h.window, cold{p.now, t.of.c.class.Work, d != nil && d.heardSeq >= h.bornAt})
	sum, known := 0.0, 0.0
	for _, c := range h.window {
		if sum += c.work; c.knower {
			known += c.work
		}
	}
	n := p.bears(h)
	if sum <= n+2*math.Sqrt(n)+2 {
		return
	}
	j.Fell++
	if !h.judged && known > sum*2/3 {
		j.fault(p, "cold", "%s is sent %.1f within %v, %.1f of it by who had been told; it bears %.1f", h.Host.Host, sum, p.D.FallTime, known, n)
	}
	h.judged = true
	p.crash(h)
	p.after(fallsFor, func() {
		if h.state == policy.Live {
			p.returnsCold(h)
		}
	})
}

// stops judges what still stands at a region that drained: of those told ten seconds and more before, next to nobody. A part of
// them leaves in each moment, so the bound is one of chance.
func (j *Judge) stops(p *Place, h *host) {
	if p.seer {
		return
	}
	stand := 0
	for _, t := range h.tasks {
		if r := t.of; r.c.seat == t && r.task == t && !r.d.dead && h.sound() {
			if at, told := p.toldOf(r.d, h); told && p.now-at > 10*time.Second && p.now-r.came > 12*time.Second {
				stand++
			}
		}
	}
	if n := 0.007 * h.size; float64(stand) > n+3*math.Sqrt(n)+3 {
		j.fault(p, "moved in time", "%d stand at %s as it stops, told 10 s ago and more", stand, h.Host.Host)
	}
}

// killed judges what a planned restart cut off.
func (j *Judge) killed(p *Place, d *balancerProcess) {
	for _, r := range d.order {
		switch {
		case r.over:
		case !r.answered && p.now > r.came+time.Second: // who comes in the last moment is not seen by the reducer in time on any day
			j.fault(p, "answers at the end", "balancer %d ends and owes %s its answer, %v old", d.slot, r.id, p.now-r.came)
		case r.answered && r.c.seat != nil && !p.D.Pass:
			j.fault(p, "moved at the end", "balancer %d ends while %s stands", d.slot, r.id)
		}
	}
}

// sample counts the worth that is served, and why the rest is not; and looks for who stands in silence.
func (j *Judge) sample(p *Place) {
	p.active = slices.DeleteFunc(p.active, func(c *client) bool { return p.now >= c.till && c.req == nil })
	if p.now < time.Hour+warmUp {
		return
	}
	for _, c := range p.active {
		if p.now >= c.till || p.now < c.from {
			continue
		}
		worth := c.class.Worth * sampleStep.Seconds()
		got := 0.0
		if t := c.seat; t == nil {
			j.Lost[c.why] += worth
		} else {
			far := 0.0
			if c.zone != t.on.zone {
				far = p.D.Cross
			}
			x := p.x(t.on)
			switch {
			case !t.on.sound():
				j.Lost[silentHost] += worth
			case x > 1:
				got = worth / x * (1 - far)
				j.Lost[overloaded] += worth - got
			default:
				got = worth * (1 - far)
				j.Lost[abroad] += worth * far
			}
			if !p.seer && t.unheard && !t.on.sound() && p.now-t.heard > 7*time.Second+slackTime {
				j.fault(p, "silent", "%s stands at %s, silent for %v", t.of.id, t.on.Host.Host, p.now-t.heard)
				t.heard = p.now
			}
		}
		j.Wanted += worth
		j.Got += got
		j.ByClass[c.k][0], j.ByClass[c.k][1] = j.ByClass[c.k][0]+got, j.ByClass[c.k][1]+worth
		if c.t >= 0 {
			j.ByTenant[c.t][0], j.ByTenant[c.t][1] = j.ByTenant[c.t][0]+got, j.ByTenant[c.t][1]+worth
		}
	}
}

// The seer: one policy in place of all balancers. It knows what it placed, and of all else the true state of a while ago.

// seat places a terminal at the region that is best by what is known.
func (p *Place) seat(c *client, at *host) {
	var best *host
	if c.tries++; at != nil && ready(at) {
		best = at
	} else {
		least := math.Inf(1)
		for _, h := range p.hosts {
			far := 0.0
			if h.zone != c.zone {
				far = p.D.Cross
			}
			x := (h.load + c.class.Work) / p.can(h)
			if p.knownBad(h) || x > 0.95 || p.ramp(h) < 1 && p.pushed(h)+c.class.Work > p.bears(h) {
				continue
			}
			if cost := far + x/50 + max(0, x-0.85); cost < least { // all that is not full serves alike
				best, least = h, cost
			}
		}
	}
	if best == nil {
		c.why = full
		p.Judge.Refused++
		p.again(c, p.between(p.D.ComeAgain/2, p.D.ComeAgain))
		return
	}
	p.Judge.Dials++
	r := &request{id: c.key, c: c, came: p.now}
	t := &task{of: r, on: best, began: p.now}
	r.task = t
	if p.ramp(best) < 1 && at == nil {
		p.Judge.chilled(p, nil, best, t)
	}
	if best.down || best.hung || p.rng.Float64() < best.errs {
		c.why = failed
		p.after(300*time.Millisecond, func() { p.asks(c, nil) })
		return
	}
	c.req, c.seat, c.why = r, t, gone
	p.Judge.Placed++
	p.hold(t)
	p.after(max(0, c.till-p.now), func() {
		if c.seat == t {
			p.free(t)
			c.req, c.seat = nil, nil
		}
	})
}

func (p *Place) knownBad(h *host) bool { return h.badKnown }

// unseat takes a terminal from its region; it comes again.
func (p *Place) unseat(t *task, why loss) {
	c := t.of.c
	p.free(t)
	if c.seat == t {
		c.req, c.seat, c.why = nil, nil, why
		p.after(p.between(p.D.Rejoin/2, p.D.Rejoin), func() { p.asks(c, nil) })
	}
}

// seen has the seer learn the state of now a while later, and lead away who stands where nothing is returned.
func (p *Place) seen() {
	for _, h := range p.hosts {
		if bad := !h.sound() || h.state != policy.Live || h.errs > 0; bad != h.nowBad {
			h.nowBad = bad
			p.after(p.D.ReportLate+time.Second, func() { h.badKnown = bad })
		}
		if !h.badKnown || h.errs > 0 && h.sound() && h.state == policy.Live {
			continue
		}
		for _, t := range slices.Clone(h.tasks) {
			if t.of.c.seat == t && (!h.sound() || p.rng.IntN(20) == 0) {
				p.unseat(t, moved)
			}
		}
	}
}
