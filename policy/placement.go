package policy

import (
	"slices"
	"time"
)

const (
	crossZoneFactor  = 2.0                    // load per unit of cross-zone cost that outweighs using another zone
	tieMargin        = 0.15                   // smaller differences of load count as a tie: the first sampled server wins
	resampleInterval = 100 * time.Millisecond // mean time until a waiting request samples again; the minimum is half
)

// receiveRequest accepts a new request. The client of a migrated connection goes to the server that the migration
// chose. A server that is live again after draining gets the next new request: in another zone or warming up, it would
// rarely be sampled under light traffic.
func (b *Balancer) receiveRequest(q Request) {
	if b.requests.byID[q.ID] != nil {
		return
	}
	class := b.classes.byName[q.Class]
	if class == nil { // the idempotency is unknown, but nothing has been sent, so a retry is safe
		b.emit(Reject{ID: q.ID, Reason: reasonUnknownClass})
		return
	}
	r := b.newRequest(q, class)
	restored := b.servers.restored
	if m, ok := b.migrations[q.Key]; ok && b.now < m.expiresAt {
		r.migration = m
		delete(b.migrations, q.Key)
	} else if len(restored) > 0 && !q.MidFlow && b.maySetUp() && b.usable(restored[0], r) {
		r.target = restored[0]
		b.servers.restored = restored[1:]
	}
	b.place(r)
}

// place chooses a server: the target of the request's migration, or the better of two sampled servers once their loads
// are known.
func (b *Balancer) place(r *request) {
	b.requests.enqueue(r)
	switch {
	case b.exhausted(r) || !b.maySetUp() && b.shouldReject(r):
		b.rejectOrFail(r)
	case !b.maySetUp():
		r.sampled = nil
		r.nextPlacementAt = b.now + b.tickInterval
	case r.target != nil && b.usable(r.target, r):
		b.send(r, r.target)
	default:
		r.sampled = b.sample(r)
		r.nextPlacementAt = b.now + r.class.LatencyObjective/8
		for _, s := range r.sampled {
			b.ensureReading(s, r)
		}
		if len(r.sampled) > 0 {
			b.chooseIfReadingsComplete(r)
		}
	}
}

// chooseIfReadingsComplete chooses a server unless a probe of a sampled server is pending.
func (b *Balancer) chooseIfReadingsComplete(r *request) {
	if !slices.ContainsFunc(r.sampled, func(s *server) bool { return s.probe.pending }) {
		b.choose(r)
	}
}

// choose sends the request to the better of its sampled servers. While they are full, the request waits. It gets its
// final answer when no attempt can succeed in time any more.
func (b *Balancer) choose(r *request) {
	sticky := r.MidFlow && len(r.sampled) > 0 && b.staysSticky(r.sampled[0])
	best := b.bestSampled(r, sticky)
	switch {
	case b.tooLateForAttempt(r):
		b.rejectOrFail(r)
	case best != nil && (sticky || b.admit(best, r)):
		b.send(r, best)
	case b.shouldReject(r):
		b.rejectOrFail(r)
	case r.sampled == nil || b.now >= r.nextPlacementAt:
		b.place(r)
	default:
		r.sampled = nil
		r.nextPlacementAt = b.now + resampleInterval/2 + b.jitter(resampleInterval)
	}
}

// bestSampled returns the usable sampled server with the lowest cost, or nil if there is none. A sticky request takes
// the first usable one.
func (b *Balancer) bestSampled(r *request, sticky bool) *server {
	var best *server
	for _, s := range r.sampled {
		better := best == nil || !sticky && b.placementCost(s, r)+tieMargin < b.placementCost(best, r)
		unresponsive := s.probe.pending && s.probe.failures > 0 && len(r.sampled) > 1
		if better && !unresponsive && b.usable(s, r) {
			best = s
		}
	}
	return best
}

// placementCost returns the effective load of a server for the request, plus the cost of using another zone.
func (b *Balancer) placementCost(s *server, r *request) float64 {
	cost := b.effectiveLoad(s, r)
	if s.Zone != b.config.Zone {
		cost += crossZoneFactor * b.config.CrossZoneCost
	}
	return cost
}

// usable reports whether the rules allow sending the request to a server. The active revision and saturated links
// exclude servers for new requests only: a mid-flow connection continues where it is established.
func (b *Balancer) usable(s *server, r *request) bool {
	lastRank, saturated := b.saturatedLinks[s.Zone]
	open := r.MidFlow || s.sampleWeight > 0 && (!saturated || r.class.PriorityRank <= lastRank)
	return open &&
		b.lease == LeaseActive &&
		s.State == Live &&
		s != r.avoid &&
		b.mayRepeat(s, r) &&
		b.withinWarmUpBudget(s, r)
}

// send starts an attempt.
func (b *Balancer) send(r *request, s *server) {
	b.requests.dequeue(r)
	r.server = s
	r.attemptPending = true
	r.attemptSentAt = b.now
	r.sampled = nil
	if r.attempts > 0 {
		b.retries.spend()
	}
	r.attempts++
	b.setups.pending++
	weight := b.classLoads.weight(r.Class)
	s.warmUp.tokens -= weight // not used once the server has warmed up
	s.estimate.placed += b.loadStep(s) * weight
	b.emit(Send{r.ID, s.ID, b.attemptTimeout(r)})
}

// attemptEstablished records that a connection has been established.
func (b *Balancer) attemptEstablished(event AttemptEstablished) {
	r := b.requests.byID[event.ID]
	if r == nil || !r.attemptPending || event.Attempt != r.attempts-1 {
		return
	}
	r.server.probe.reset()
	r.attemptPending = false
	b.setups.recordSuccess(event.Latency, float64(b.config.MaxPendingAttempts))
	b.establish(r)
}
