package policy

import (
	"slices"
	"time"
)

const (
	crossZoneFactor  = 2.0                    // load that counts as bad as a crossing of zones, over the crossing's cost
	tieMargin        = 0.15                   // loads this close are equal: the server sampled first takes the request
	resampleInterval = 100 * time.Millisecond // after which a waiting request samples again, with half of it as a minimum
)

// receive takes a new request. The client of a migrated connection goes to the server that the migration meant. A
// server that is back from draining takes the next new request: far away or warming up, it would hardly be sampled
// at thin traffic.
func (b *Balancer) receive(q Request) {
	if b.requests.byID[q.ID] != nil {
		return
	}
	class := b.classes.byName[q.Class]
	if class == nil { // its idempotency is unknown, but nothing was sent
		b.act(Reject{ID: q.ID, Reason: reasonUnknownClass})
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

// place looks for a server: the one that is meant for the request, or the better of two that it samples once their
// loads are known.
func (b *Balancer) place(r *request) {
	b.requests.enqueue(r)
	switch {
	case b.exhausted(r) || !b.maySetUp() && b.shouldReject(r):
		b.answerFinally(r)
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
			b.chooseWhenRead(r)
		}
	}
}

// chooseWhenRead chooses unless a sampled server still owes the answer to a probe.
func (b *Balancer) chooseWhenRead(r *request) {
	if !slices.ContainsFunc(r.sampled, func(s *server) bool { return s.probe.pending }) {
		b.choose(r)
	}
}

// choose sends the request to the better of its sampled servers, lets it wait while they are full, and gives it up
// before its wait is in vain.
func (b *Balancer) choose(r *request) {
	sticky := r.MidFlow && len(r.sampled) > 0 && b.staysSticky(r.sampled[0])
	best := b.bestSampled(r, sticky)
	switch {
	case b.overdue(r):
		b.answerFinally(r)
	case best != nil && (sticky || b.admit(best, r)):
		b.send(r, best)
	case b.shouldReject(r):
		b.answerFinally(r)
	case r.sampled == nil || b.now >= r.nextPlacementAt:
		b.place(r)
	default:
		r.sampled = nil
		r.nextPlacementAt = b.now + resampleInterval/2 + b.jitter(resampleInterval)
	}
}

// bestSampled returns the least loaded sampled server that may be used, nil if there is none. A sticky request
// takes the first.
func (b *Balancer) bestSampled(r *request, sticky bool) *server {
	var best *server
	for _, s := range r.sampled {
		better := best == nil || !sticky && b.placementCost(s, r)+tieMargin < b.placementCost(best, r)
		silent := s.probe.pending && s.probe.failures > 0 && len(r.sampled) > 1
		if better && !silent && b.usable(s, r) {
			best = s
		}
	}
	return best
}

// placementCost is the load that the request would find at a server, with what the crossing of zones costs.
func (b *Balancer) placementCost(s *server, r *request) float64 {
	cost := b.effectiveLoad(s, r)
	if s.Zone != b.config.Zone {
		cost += crossZoneFactor * b.config.CrossZoneCost
	}
	return cost
}

// usable tells whether the request may be sent to a server at all: rules first, then what the revision in force and
// saturated links leave out. A connection in mid-flow goes on where it is established.
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
	s.warmUp.tokens -= weight // has no effect on a server that has warmed up
	s.estimate.placed += b.loadStep(s) * weight
	b.act(Send{r.ID, s.ID, b.attemptTimeout(r)})
}

// attemptEstablished counts a connection that is established.
func (b *Balancer) attemptEstablished(event AttemptEstablished) {
	r := b.requests.byID[event.ID]
	if r == nil || !r.attemptPending || event.Attempt != r.attempts-1 {
		return
	}
	r.server.probe.recovered()
	r.attemptPending = false
	b.setups.succeeded(event.Latency, float64(b.config.MaxPendingAttempts))
	b.establish(r)
}
