// Evaluation of a generated deployment's run: the platform's rules as observed from outside the balancers, and the
// causes of lost priority weight. For comparison, a baseline runs the same deployment: one policy in place of all
// balancers that knows the true state with a delay. Except for the baseline, and for servers that overload during their
// warm-up, this file does not influence the run.

package simulation

import (
	"fmt"
	"math"
	"slices"
	"time"

	"oatloft/internal/core"
	"oatloft/policy"
)

// lossCause is the reason why a client that wants to be connected is not connected, or is served badly.
type lossCause string

const (
	lossNoBalancer           lossCause = "no balancer"
	lossConnecting           lossCause = "connecting"
	lossRejectedWithCapacity lossCause = "rejected despite free capacity"
	lossNoList               lossCause = "rejected before the first endpoint list"
	lossWarmUpUnused         lossCause = "rejected despite unused warm-up capacity"
	lossNoCapacity           lossCause = "rejected for lack of capacity"
	lossFailed               lossCause = "failed"
	lossMigrating            lossCause = "migrating"
	lossDisconnected         lossCause = "connection broken"
	lossSilentServer         lossCause = "connected to a silent server"
	lossOverloaded           lossCause = "connected to an overloaded server"
	lossOtherZone            lossCause = "connected to another zone"
	lossNone                 lossCause = ""
)

const timingSlack = 50 * time.Millisecond // tolerance of the platform's time limits, as on sockets

// Evaluation holds the results of a run.
type Evaluation struct {
	Violations                                    map[string]int // number of violations by rule
	FirstViolations                               []string       // the first violations
	Demanded, Served                              float64        // priority weight times seconds
	LossByCause                                   map[lossCause]float64
	ByClass, ByTenant                             [][2]float64 // served, demanded
	Established, Rejected, Failed, Late, Attempts int
	Overloaded                                    int
	ProbesSent                                    int
	requests, migrations, watchRequests           int
}

func (v *Evaluation) reset(s *Site) {
	v.Violations, v.LossByCause = map[string]int{}, map[lossCause]float64{}
	v.ByClass, v.ByTenant = make([][2]float64, len(s.Deployment.Classes)), make([][2]float64, len(s.Deployment.Tenants))
}

func (v *Evaluation) violation(s *Site, rule, format string, args ...any) {
	if v.Violations[rule]++; len(v.FirstViolations) < 4 {
		v.FirstViolations = append(v.FirstViolations,
			fmt.Sprintf("%v, %s: %s", s.now-time.Hour, rule, fmt.Sprintf(format, args...)))
	}
}

// ViolationCount returns the number of violations.
func (v *Evaluation) ViolationCount() (n int) {
	for _, k := range v.Violations {
		n += k
	}
	return n
}

// Score returns the served fraction of the demanded priority weight.
func (v *Evaluation) Score() float64 { return v.Served / max(1e-9, v.Demanded) }

func (v *Evaluation) recordConnect(s *Site, r *request) {
	v.Attempts++
	if r.attempts++; r.attempts > s.Deployment.MaxAttempts {
		v.violation(s, "attempts", "%s has had %d attempts of at most %d", r.id, r.attempts, s.Deployment.MaxAttempts)
	}
}

func (v *Evaluation) recordProbe(s *Site, b *balancerProcess) {
	if v.ProbesSent++; !s.Deployment.ProbesEnabled {
		v.violation(s, "probes", "balancer %d sends probes although they are disabled", b.slot)
	}
}

// notifiedOf reports whether a balancer has to know by now that a server is unavailable, and since when.
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
	// The silent watch missed the change, not the request that replaced it.
	case b.watchSilentSince > 0 && (b.watchRequestedAt < b.watchSilentSince || at < b.watchRequestedAt):
		at = max(at, b.watchSilentSince+6*time.Second)
	case s.Deployment.PushUpdates:
		at = max(at, b.startedAt)
	case b.watch != nil && b.watch.open:
		return 0, false // the update is on its way
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

// checkSend checks a request that is sent to a server.
func (v *Evaluation) checkSend(s *Site, b *balancerProcess, r *request, a *attempt) {
	srv := a.server
	if at, notified := s.notifiedOf(b, srv); notified && s.now > at+s.Deployment.DrainGrace+timingSlack &&
		r.client.movedFrom == nil {
		v.violation(s, "drains", "balancer %d sends %s to %s %v after it was notified that the server is %s (grace %v)",
			b.slot, r.id, srv.Endpoint.ID, s.now-at, srv.Health, s.Deployment.DrainGrace)
	}
	if ranOn := r.mayHaveRunOn; ranOn != nil {
		class := r.client.class.Class
		outOfScope := class.KeyScope == policy.KeyScopeZone && ranOn.zoneIndex != srv.zoneIndex ||
			class.KeyScope == policy.KeyScopeCell && ranOn.Cell != srv.Cell
		if class.Idempotency == policy.NotIdempotent ||
			class.Idempotency == policy.IdempotentByKey && (outOfScope || s.now > r.mayHaveRunAt+class.KeyTTL+timingSlack) {
			v.violation(s, "repeats", "%s (%s) is sent again to %s after %s may have executed it", r.id, class.Name,
				srv.Endpoint.ID, ranOn.Endpoint.ID)
		}
	}
}

// checkAnswer checks a final answer. A nil answer stands for one from the server.
func (v *Evaluation) checkAnswer(s *Site, r *request, answer *core.Answer) {
	if r == nil {
		v.violation(s, "one answer", "answer for an unknown client")
		return
	}
	if r.answered {
		v.violation(s, "one answer", "%s was answered twice", r.id)
	}
	r.answered = true
	if s.now > r.deadline+timingSlack {
		v.violation(s, "answer deadline", "%s was answered %v after its deadline", r.id, s.now-r.deadline)
	}
	if answer == nil {
		if v.Established++; s.now > r.receivedAt+r.client.class.LatencyObjective {
			v.Late++
		}
		return
	}
	if r.attempt != nil {
		v.violation(s, "one attempt at a time", "%s was answered while an attempt is in progress", r.id)
	}
	if class := r.client.class; answer.Rejected && r.mayHaveRunOn != nil &&
		(class.Idempotency == policy.NotIdempotent ||
			class.Idempotency == policy.IdempotentByKey && class.KeyScope != policy.KeyScopeAll) {
		v.violation(s, "repeats", "%s (%s) was asked to retry after %s may have executed it", r.id, class.Name,
			r.mayHaveRunOn.Endpoint.ID)
	}
	if answer.RetryAfter > s.Deployment.MaxRetryAfter {
		v.violation(s, "advice", "%s got a retry-after of %v, the limit is %v", r.id, answer.RetryAfter,
			s.Deployment.MaxRetryAfter)
	}
}

func (v *Evaluation) checkDeadline(s *Site, r *request) {
	s.schedule(timingSlack, func() {
		if !r.answered && !r.closed {
			v.violation(s, "answer deadline", "%s (%s) has no answer after its deadline", r.id, r.client.class.Name)
			r.answered = true
		}
	})
}

// recordRejection counts a request that was rejected or failed, and returns the cause of the loss.
func (v *Evaluation) recordRejection(s *Site, r *request, rejected bool) lossCause {
	if !rejected {
		v.Failed++
		return lossFailed
	}
	v.Rejected++
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

// warmUpLimit returns the load that a server may receive within the overload window while it warms up.
func (s *Site) warmUpLimit(srv *siteServer) float64 {
	return s.Deployment.OverloadMultiple * s.currentCapacity(srv) / s.Deployment.WarmUpDuration.Seconds() *
		s.Deployment.OverloadWindow.Seconds()
}

func (s *Site) recentWarmUpLoad(srv *siteServer) (sum float64) {
	for _, arrival := range srv.warmUpArrivals {
		if arrival.at > s.now-s.Deployment.OverloadWindow {
			sum += arrival.load
		}
	}
	return sum
}

// recordWarmUpArrival counts the load that a server receives while it warms up, and crashes the server on overload.
func (v *Evaluation) recordWarmUpArrival(s *Site, b *balancerProcess, srv *siteServer, a *attempt) {
	srv.warmUpArrivals = slices.DeleteFunc(srv.warmUpArrivals,
		func(arrival warmUpArrival) bool { return arrival.at <= s.now-s.Deployment.OverloadWindow })
	srv.warmUpArrivals = append(srv.warmUpArrivals, warmUpArrival{s.now, a.request.client.class.RelativeLoad,
		b != nil && b.receivedVersion >= srv.startVersion})
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
	v.Overloaded++
	if !srv.overloadedBefore && informedSum > sum*2/3 {
		v.violation(s, "cold", "%s received a load of %.1f within %v, %.1f of it from notified balancers; its limit is %.1f",
			srv.Endpoint.ID, sum, s.Deployment.OverloadWindow, informedSum, limit)
	}
	srv.overloadedBefore = true
	s.crashServer(srv)
	s.schedule(overloadDowntime, func() {
		if srv.state == policy.Live {
			s.restartServer(srv)
		}
	})
}

// checkDrained checks how many connections are still established at a server that stops after its drain. Of those whose
// balancer was notified more than 10 s ago, almost none may be left. Connections migrate at random times, so the bound
// allows for random variation.
func (v *Evaluation) checkDrained(s *Site, srv *siteServer) {
	if s.baseline {
		return
	}
	established := 0
	for _, a := range srv.attempts {
		if r := a.request; r.client.established == a && r.attempt == a && !r.balancer.dead && srv.responsive() {
			if at, notified := s.notifiedOf(r.balancer, srv); notified && s.now-at > 10*time.Second &&
				s.now-r.receivedAt > 12*time.Second {
				established++
			}
		}
	}
	if allowed := 0.007 * srv.capacity; float64(established) > allowed+3*math.Sqrt(allowed)+3 {
		v.violation(s, "migrated in time",
			"%d connections are established at %s as it stops, more than 10 s after their balancers were notified",
			established, srv.Endpoint.ID)
	}
}

// checkExit checks that a planned restart leaves no request unanswered and no connection established.
func (v *Evaluation) checkExit(s *Site, b *balancerProcess) {
	for _, r := range b.requestOrder {
		switch {
		case r.closed:
		// A request that arrives in the last moment may not reach the reducer in time.
		case !r.answered && s.now > r.receivedAt+time.Second:
			v.violation(s, "answered before exit", "balancer %d exits with request %s unanswered after %v", b.slot, r.id,
				s.now-r.receivedAt)
		case r.answered && r.client.established != nil && !s.Deployment.PassThrough:
			v.violation(s, "migrated before exit", "balancer %d exits while %s is established", b.slot, r.id)
		}
	}
}

// sample adds up the served priority weight and the causes of the rest, and detects connections to silent servers.
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
				v.violation(s, "silent", "%s is connected to %s, which has been silent for %v", a.request.id, a.server.Endpoint.ID,
					s.now-a.lastReceived)
				a.lastReceived = s.now
			}
		}
		v.Demanded += weight
		v.Served += served
		v.ByClass[c.classIndex][0], v.ByClass[c.classIndex][1] = v.ByClass[c.classIndex][0]+served,
			v.ByClass[c.classIndex][1]+weight
		if c.tenantIndex >= 0 {
			v.ByTenant[c.tenantIndex][0], v.ByTenant[c.tenantIndex][1] = v.ByTenant[c.tenantIndex][0]+served,
				v.ByTenant[c.tenantIndex][1]+weight
		}
	}
}

// The baseline is one policy in place of all balancers. It knows its own placements at once, and the rest of the true
// state with a delay.

// placeByBaseline connects a client to the best server by the baseline's knowledge.
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
			if s.knownImpairedServer(srv) || load > 0.95 ||
				s.warmUpFactor(srv) < 1 && s.recentWarmUpLoad(srv)+c.class.RelativeLoad > s.warmUpLimit(srv) {
				continue
			}
			// Servers with free capacity differ little.
			if cost := crossZoneCost + load/50 + max(0, load-0.85); cost < lowestCost {
				best, lowestCost = srv, cost
			}
		}
	}
	if best == nil {
		c.cause = lossNoCapacity
		s.Evaluation.Rejected++
		s.retry(c, s.randomDuration(s.Deployment.RetryDelay/2, s.Deployment.RetryDelay))
		return
	}
	s.Evaluation.Attempts++
	r := &request{id: c.key, client: c, receivedAt: s.now}
	a := &attempt{request: r, server: best, startedAt: s.now}
	r.attempt = a
	if s.warmUpFactor(best) < 1 && at == nil {
		s.Evaluation.recordWarmUpArrival(s, nil, best, a)
	}
	if best.down || best.hung || s.rng.Float64() < best.errorRate {
		c.cause = lossFailed
		s.schedule(300*time.Millisecond, func() { s.connect(c, nil) })
		return
	}
	c.request, c.established, c.cause = r, a, lossNone
	s.Evaluation.Established++
	s.occupy(a)
	s.schedule(max(0, c.end-s.now), func() {
		if c.established == a {
			s.release(a)
			c.request, c.established = nil, nil
		}
	})
}

func (s *Site) knownImpairedServer(srv *siteServer) bool { return srv.knownImpaired }

// disconnect ends a client's connection to its server. The client connects again.
func (s *Site) disconnect(a *attempt, cause lossCause) {
	c := a.request.client
	s.release(a)
	if c.established == a {
		c.request, c.established, c.cause = nil, nil, cause
		s.schedule(s.randomDuration(s.Deployment.ReconnectDelay/2, s.Deployment.ReconnectDelay), func() { s.connect(c, nil) })
	}
}

// updateBaseline gives the baseline the current state after a delay, and disconnects clients from impaired servers.
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
