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
type lossCause string

const (
	lossNoBalancer           lossCause = "no balancer"
	lossConnecting           lossCause = "waits for its set-up"
	lossRejectedWithCapacity lossCause = "refused beside room"
	lossNoList               lossCause = "refused, no list yet"
	lossWarmUpUnused         lossCause = "refused beside an idle cold budget"
	lossNoCapacity           lossCause = "refused, all full"
	lossFailed               lossCause = "failed"
	lossMigrating            lossCause = "moved, not back yet"
	lossDisconnected         lossCause = "connection broken"
	lossSilentServer         lossCause = "stands at a silent region"
	lossOverloaded           lossCause = "stands at an overloaded region"
	lossOtherZone            lossCause = "stands in another zone"
	lossNone                 lossCause = ""
)

const timingSlack = 50 * time.Millisecond // the platform's, on sockets

// Judge keeps to what a play showed.
type Evaluation struct {
	Violations                           map[string]int // by rule
	First                                []string       // what broke first
	Demanded, Served                     float64        // worth, by the second
	LossByCause                          map[lossCause]float64
	ByClass, ByTenant                    [][2]float64 // got, wanted
	Placed, Refused, Failed, Late, Dials int
	Fell                                 int
	ProbesSent                           int
	requests, migrations, watchRequests  int
}

func (v *Evaluation) reset(s *Site) {
	v.Violations, v.LossByCause = map[string]int{}, map[lossCause]float64{}
	v.ByClass, v.ByTenant = make([][2]float64, len(s.Deployment.Classes)), make([][2]float64, len(s.Deployment.Tenants))
}

func (v *Evaluation) violation(s *Site, rule, format string, args ...any) {
	if v.Violations[rule]++; len(v.First) < 4 {
		v.First = append(v.First, fmt.Sprintf("%v, %s: %s", s.now-time.Hour, rule, fmt.Sprintf(format, args...)))
	}
}

// Broken is how many faults there were.
func (v *Evaluation) Broken() (n int) {
	for _, k := range v.Violations {
		n += k
	}
	return n
}

// Score is the part of the worth that was served.
func (v *Evaluation) Score() float64 { return v.Served / max(1e-9, v.Demanded) }

func (v *Evaluation) recordConnect(s *Site, r *request) {
	v.Dials++
	if r.attempts++; r.attempts > s.Deployment.MaxAttempts {
		v.violation(s, "attempts", "%s has %d of %d", r.id, r.attempts, s.Deployment.MaxAttempts)
	}
}

func (v *Evaluation) recordProbe(s *Site, b *balancerProcess) {
	if v.ProbesSent++; !s.Deployment.ProbesEnabled {
		v.violation(s, "probes", "balancer %d probes where none are allowed", b.slot)
	}
}

// told tells whether a balancer counts as told of a region's being bad, and since when.
func (s *Site) notifiedOf(b *balancerProcess, srv *siteServer) (time.Duration, bool) {
	if srv.unavailableSince == 0 {
		return 0, false
	}
	at := srv.unavailableSince
	if received, ok := b.notified[srv]; ok && received >= srv.unavailableSince {
		return received, true
	}
	switch pollInterval := s.Deployment.PollInterval; {
	case s.discoveryDown:
		return 0, false
	case b.watchSilentSince > 0 && (b.watchRequestedAt < b.watchSilentSince || at < b.watchRequestedAt): // the silent watch missed it, not the call that broke it off
		at = max(at, b.watchSilentSince+6*time.Second)
	case s.Deployment.PushUpdates:
		at = max(at, b.startedAt)
	case b.watch != nil && b.watch.open:
		return 0, false // on its way
	default:
		if b.watchFailed {
			pollInterval *= 4
		}
		at = max(at+s.Deployment.PollInterval, b.watchRequestedAt+pollInterval)
		if s.discoveryUpAt > b.watchRequestedAt {
			at = max(at, s.discoveryUpAt+s.Deployment.PollInterval)
		}
	}
	return at, at <= s.now
}

// sent judges a line that leaves for a region.
func (v *Evaluation) checkSend(s *Site, b *balancerProcess, r *request, a *attempt) {
	srv := a.server
	if at, notified := s.notifiedOf(b, srv); notified && s.now > at+s.Deployment.DrainGrace+timingSlack && r.client.movedFrom == nil {
		v.violation(s, "drains", "balancer %d sends %s to %s, told %v ago of its being %s (grace %v)", b.slot, r.id, srv.Endpoint.ID, s.now-at, srv.Health, s.Deployment.DrainGrace)
	}
	if ranOn := r.mayHaveRunOn; ranOn != nil {
		class := r.client.class.Class
		outOfScope := class.KeyScope == policy.KeyScopeZone && ranOn.zoneIndex != srv.zoneIndex || class.KeyScope == policy.KeyScopeCell && ranOn.Cell != srv.Cell
		if class.Idempotency == policy.NotIdempotent || class.Idempotency == policy.IdempotentByKey && (outOfScope || s.now > r.mayHaveRunAt+class.KeyTTL+timingSlack) {
			v.violation(s, "repeats", "%s (%s) is repeated at %s after it may have run at %s", r.id, class.Name, srv.Endpoint.ID, ranOn.Endpoint.ID)
		}
	}
}

// answered judges a final answer; without one of the balancer's own it is the region's.
func (v *Evaluation) checkAnswer(s *Site, r *request, answer *core.Answer) {
	if r == nil {
		v.violation(s, "one answer", "an answer to nobody")
		return
	}
	if r.answered {
		v.violation(s, "one answer", "%s is answered twice", r.id)
	}
	r.answered = true
	if s.now > r.deadline+timingSlack {
		v.violation(s, "in time", "%s is answered %v late", r.id, s.now-r.deadline)
	}
	if answer == nil {
		if v.Placed++; s.now > r.receivedAt+r.client.class.LatencyObjective {
			v.Late++
		}
		return
	}
	if r.task != nil {
		v.violation(s, "one task at once", "%s is answered with a task out", r.id)
	}
	if class := r.client.class; answer.Rejected && r.mayHaveRunOn != nil && (class.Idempotency == policy.NotIdempotent || class.Idempotency == policy.IdempotentByKey && class.KeyScope != policy.KeyScopeAll) {
		v.violation(s, "repeats", "%s (%s) is told to try again after it may have run at %s", r.id, class.Name, r.mayHaveRunOn.Endpoint.ID)
	}
	if answer.RetryAfter > s.Deployment.MaxRetryAfter {
		v.violation(s, "advice", "%s is to stay away for %v of %v", r.id, answer.RetryAfter, s.Deployment.MaxRetryAfter)
	}
}

func (v *Evaluation) checkDeadline(s *Site, r *request) {
	s.schedule(timingSlack, func() {
		if !r.answered && !r.closed {
			v.violation(s, "in time", "%s (%s) has no answer after its time", r.id, r.client.class.Name)
			r.answered = true
		}
	})
}

// refused says why a terminal was.
func (v *Evaluation) recordRejection(s *Site, r *request, rejected bool) lossCause {
	if !rejected {
		v.Failed++
		return lossFailed
	}
	v.Refused++
	cause := lossNoCapacity
	if r.balancer.receivedVersion == 0 {
		return lossNoList
	}
	for _, srv := range s.servers {
		switch warmedUp := s.warmUpFactor(srv) >= 1; {
		case srv.state != policy.Live || !srv.responsive() || s.loadRatio(srv) >= 0.8 || srv.errorRate > 0:
		case warmedUp:
			return lossRejectedWithCapacity
		case 2*s.recentWarmUpLoad(srv) < s.warmUpLimit(srv):
			cause = lossWarmUpUnused
		}
	}
	return cause
}

// bears is how much work a cold region bears in the settings' time, pushed how much it got in it.
func (s *Site) warmUpLimit(srv *siteServer) float64 {
	return s.Deployment.OverloadMultiple * s.currentCapacity(srv) / s.Deployment.WarmUpDuration.Seconds() * s.Deployment.OverloadWindow.Seconds()
}

func (s *Site) recentWarmUpLoad(srv *siteServer) (sum float64) {
	for _, arrival := range srv.warmUpArrivals {
		if arrival.at > s.now-s.Deployment.OverloadWindow {
			sum += arrival.load
		}
	}
	return sum
}

// chilled counts what a cold region is sent, and has it fall over.
func (v *Evaluation) recordWarmUpArrival(s *Site, b *balancerProcess, srv *siteServer, a *attempt) {
	srv.warmUpArrivals = slices.DeleteFunc(srv.warmUpArrivals, func(arrival warmUpArrival) bool { return arrival.at <= s.now-s.Deployment.OverloadWindow })
	srv.warmUpArrivals = append(srv.warmUpArrivals, warmUpArrival{s.now, a.request.client.class.RelativeLoad, b != nil && b.receivedVersion >= srv.startVersion})
	sum, informedSum := 0.0, 0.0
	for _, arrival := range srv.warmUpArrivals {
		if sum += arrival.load; arrival.informed {
			informedSum += arrival.load
		}
	}
	limit := s.warmUpLimit(srv)
	if sum <= limit+2*math.Sqrt(limit)+2 {
		return
	}
	v.Fell++
	if !srv.overloadChecked && informedSum > sum*2/3 {
		v.violation(s, "cold", "%s is sent %.1f within %v, %.1f of it by who had been told; it bears %.1f", srv.Endpoint.ID, sum, s.Deployment.OverloadWindow, informedSum, limit)
	}
	srv.overloadChecked = true
	s.crashServer(srv)
	s.schedule(overloadDowntime, func() {
		if srv.state == policy.Live {
			s.restartServer(srv)
		}
	})
}

// stops judges what still stands at a region that drained: of those told ten seconds and more before, next to nobody. A part of
// them leaves in each moment, so the bound is one of chance.
func (v *Evaluation) checkDrained(s *Site, srv *siteServer) {
	if s.baseline {
		return
	}
	established := 0
	for _, a := range srv.attempts {
		if r := a.request; r.client.established == a && r.task == a && !r.balancer.dead && srv.responsive() {
			if at, notified := s.notifiedOf(r.balancer, srv); notified && s.now-at > 10*time.Second && s.now-r.receivedAt > 12*time.Second {
				established++
			}
		}
	}
	if allowed := 0.007 * srv.capacity; float64(established) > allowed+3*math.Sqrt(allowed)+3 {
		v.violation(s, "moved in time", "%d stand at %s as it stops, told 10 s ago and more", established, srv.Endpoint.ID)
	}
}

// killed judges what a planned restart cut off.
func (v *Evaluation) checkExit(s *Site, b *balancerProcess) {
	for _, r := range b.requestOrder {
		switch {
		case r.closed:
		case !r.answered && s.now > r.receivedAt+time.Second: // who comes in the last moment is not seen by the reducer in time on any day
			v.violation(s, "answers at the end", "balancer %d ends and owes %s its answer, %v old", b.slot, r.id, s.now-r.receivedAt)
		case r.answered && r.client.established != nil && !s.Deployment.PassThrough:
			v.violation(s, "moved at the end", "balancer %d ends while %s stands", b.slot, r.id)
		}
	}
}

// sample counts the worth that is served, and why the rest is not; and looks for who stands in silence.
func (v *Evaluation) sample(s *Site) {
	s.clients = slices.DeleteFunc(s.clients, func(c *client) bool { return s.now >= c.end && c.request == nil })
	if s.now < time.Hour+settlePeriod {
		return
	}
	for _, c := range s.clients {
		if s.now >= c.end || s.now < c.start {
			continue
		}
		weight := c.class.PriorityWeight * sampleInterval.Seconds()
		served := 0.0
		if a := c.established; a == nil {
			v.LossByCause[c.cause] += weight
		} else {
			crossZoneCost := 0.0
			if c.zone != a.server.zoneIndex {
				crossZoneCost = s.Deployment.CrossZoneCost
			}
			load := s.loadRatio(a.server)
			switch {
			case !a.server.responsive():
				v.LossByCause[lossSilentServer] += weight
			case load > 1:
				served = weight / load * (1 - crossZoneCost)
				v.LossByCause[lossOverloaded] += weight - served
			default:
				served = weight * (1 - crossZoneCost)
				v.LossByCause[lossOtherZone] += weight * crossZoneCost
			}
			if !s.baseline && a.awaitingReply && !a.server.responsive() && s.now-a.lastReceived > 7*time.Second+timingSlack {
				v.violation(s, "silent", "%s stands at %s, silent for %v", a.request.id, a.server.Endpoint.ID, s.now-a.lastReceived)
				a.lastReceived = s.now
			}
		}
		v.Demanded += weight
		v.Served += served
		v.ByClass[c.classIndex][0], v.ByClass[c.classIndex][1] = v.ByClass[c.classIndex][0]+served, v.ByClass[c.classIndex][1]+weight
		if c.tenantIndex >= 0 {
			v.ByTenant[c.tenantIndex][0], v.ByTenant[c.tenantIndex][1] = v.ByTenant[c.tenantIndex][0]+served, v.ByTenant[c.tenantIndex][1]+weight
		}
	}
}

// The seer: one policy in place of all balancers. It knows what it placed, and of all else the true state of a while ago.

// seat places a terminal at the region that is best by what is known.
func (s *Site) placeByBaseline(c *client, at *siteServer) {
	var best *siteServer
	if c.requests++; at != nil && available(at) {
		best = at
	} else {
		lowestCost := math.Inf(1)
		for _, srv := range s.servers {
			crossZoneCost := 0.0
			if srv.zoneIndex != c.zone {
				crossZoneCost = s.Deployment.CrossZoneCost
			}
			load := (srv.load + c.class.RelativeLoad) / s.currentCapacity(srv)
			if s.knownImpairedServer(srv) || load > 0.95 || s.warmUpFactor(srv) < 1 && s.recentWarmUpLoad(srv)+c.class.RelativeLoad > s.warmUpLimit(srv) {
				continue
			}
			if cost := crossZoneCost + load/50 + max(0, load-0.85); cost < lowestCost { // all that is not full serves alike
				best, lowestCost = srv, cost
			}
		}
	}
	if best == nil {
		c.cause = lossNoCapacity
		s.Evaluation.Refused++
		s.retry(c, s.randomDuration(s.Deployment.RetryDelay/2, s.Deployment.RetryDelay))
		return
	}
	s.Evaluation.Dials++
	r := &request{id: c.key, client: c, receivedAt: s.now}
	a := &attempt{request: r, server: best, startedAt: s.now}
	r.task = a
	if s.warmUpFactor(best) < 1 && at == nil {
		s.Evaluation.recordWarmUpArrival(s, nil, best, a)
	}
	if best.down || best.hung || s.rng.Float64() < best.errorRate {
		c.cause = lossFailed
		s.schedule(300*time.Millisecond, func() { s.connect(c, nil) })
		return
	}
	c.request, c.established, c.cause = r, a, lossNone
	s.Evaluation.Placed++
	s.occupy(a)
	s.schedule(max(0, c.end-s.now), func() {
		if c.established == a {
			s.release(a)
			c.request, c.established = nil, nil
		}
	})
}

func (s *Site) knownImpairedServer(srv *siteServer) bool { return srv.knownImpaired }

// unseat takes a terminal from its region; it comes again.
func (s *Site) disconnect(a *attempt, cause lossCause) {
	c := a.request.client
	s.release(a)
	if c.established == a {
		c.request, c.established, c.cause = nil, nil, cause
		s.schedule(s.randomDuration(s.Deployment.ReconnectDelay/2, s.Deployment.ReconnectDelay), func() { s.connect(c, nil) })
	}
}

// seen has the seer learn the state of now a while later, and lead away who stands where nothing is returned.
func (s *Site) updateBaseline() {
	for _, srv := range s.servers {
		if impaired := !srv.responsive() || srv.state != policy.Live || srv.errorRate > 0; impaired != srv.impaired {
			srv.impaired = impaired
			s.schedule(s.Deployment.ReportDelay+time.Second, func() { srv.knownImpaired = impaired })
		}
		if !srv.knownImpaired || srv.errorRate > 0 && srv.responsive() && srv.state == policy.Live {
			continue
		}
		for _, a := range slices.Clone(srv.attempts) {
			if a.request.client.established == a && (!srv.responsive() || s.rng.IntN(20) == 0) {
				s.disconnect(a, lossMigrating)
			}
		}
	}
}
