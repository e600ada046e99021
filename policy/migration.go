package policy

import (
	"time"
)

const (
	evacuationTarget = 0.8             // load that an evacuation leaves on a server
	drainTime        = 2 * time.Second // within which a backlog, or the connections of a draining server, are gone
	migrationExpiry  = 5 * time.Second // within which a migrated client is expected back
	minDelayTarget   = 0.2             // load that an evacuation leaves at the longest delay
)

// migration says what a migration is for: its client goes to target, or anywhere but to avoid. One that explores
// has the server that it left in origin, with the load it had there.
type migration struct {
	target     *server
	origin     *server
	avoid      *server
	originLoad float64
	expiresAt  time.Duration
}

// migrate closes a connection and remembers where its client is to go.
func (b *Balancer) migrate(r *request, m migration) {
	r.migrating = true
	m.expiresAt = b.now + migrationExpiry
	if r.Key != "" {
		b.migrations[r.Key] = m
	}
	b.act(Migrate{r.ID, migrationReason(r, m)})
}

func migrationReason(r *request, m migration) string {
	s := r.server
	switch {
	case m.origin != nil:
		return reasonExplore
	case m.target != nil:
		return reasonReturn
	case s.State == Draining:
		return reasonDraining
	case s.faulty():
		return reasonUnreachable
	case s.reading.known && s.reading.load > overloadedLoad:
		return reasonOverloaded
	}
	return reasonEvacuate
}

// expectPredecessorFlow notes where a connection is established that another process carried, as if it had been
// migrated there.
func (b *Balancer) expectPredecessorFlow(event PredecessorFlow) {
	if s := b.servers.byID[event.Server]; s != nil {
		b.migrations[event.Key] = migration{target: s, expiresAt: b.now + migrationExpiry}
	}
}

// dropExpiredMigrations forgets the clients that went elsewhere.
func (b *Balancer) dropExpiredMigrations() {
	for key, m := range b.migrations {
		if b.now >= m.expiresAt {
			delete(b.migrations, key)
		}
	}
}

// evacuateIfFaulty moves connections off a server that is silent, overloaded or behind with its messages, faster
// than exploration would and in proportion to the excess.
func (b *Balancer) evacuateIfFaulty(s *server) {
	share := b.evacuationShare(s)
	if share <= 0 || b.now < s.nextEvacuationAt || s.State == Draining {
		return
	}
	s.nextEvacuationAt = b.now + b.settleTime()
	s.estimate.penalty = 2*s.estimate.penalty + 1
	b.migrateShare(s, share)
}

// evacuationShare is the share of its connections that a server should lose, 0 or less for none. What it has too
// much goes only as far as others have capacity, unless it does not answer or is beyond its own.
func (b *Balancer) evacuationShare(s *server) float64 {
	share := 0.0
	overloaded := s.reading.overloadedSince > 0 && b.now-s.reading.overloadedSince >= minReportLag
	switch {
	case s.faulty() && !b.mostServersFaulty():
		share = 1
	case s.reading.known && (overloaded || s.delay.exceeds(b.classes.messageObjective, b.now)):
		share = 1 - b.evacuationTargetLoad(s)/s.reading.load
	}
	if !s.faulty() && s.reading.load <= 1 {
		share *= b.spareShare()
	}
	return share
}

// evacuationTargetLoad is lower the longer messages take, so that the backlog drains.
func (b *Balancer) evacuationTargetLoad(s *server) float64 {
	if b.now-s.delay.at >= delayMemory {
		return evacuationTarget
	}
	return min(evacuationTarget, max(minDelayTarget, 1-s.delay.value.Seconds()/drainTime.Seconds()))
}

// spareShare is the share of what is too much at some servers that others have capacity for. That of warming
// servers waits for their budget and does not count.
func (b *Balancer) spareShare() float64 {
	spare, excess := 0.0, 0.0
	for _, s := range b.servers.sorted {
		if b.warmUpCapacity(s) >= 1 {
			spare += max(0, newcomerLoadLimit-b.estimatedLoad(s))
		}
		excess += max(0, b.estimatedLoad(s)-evacuationTarget)
	}
	return min(1, spare/max(excess, minLoadStep))
}

// migrateShare moves a share of a server's connections elsewhere, at random.
func (b *Balancer) migrateShare(s *server, share float64) {
	for _, r := range b.requests.established {
		if r.server == s && !r.migrating && r.origin == nil && b.rng.Float64() < share {
			b.migrate(r, migration{avoid: s})
		}
	}
}
