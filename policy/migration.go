package policy

import (
	"time"
)

const (
	evacuationTarget = 0.8             // load that an evacuation leaves on a server
	drainTime        = 2 * time.Second // in which a backlog is processed, or a draining server loses its connections
	migrationExpiry  = 5 * time.Second // within which a migrated client is expected to reconnect
	minDelayTarget   = 0.2             // load that an evacuation leaves if the message delay is longest
)

// migration is the destination of a migrated client: it goes to target, or to any server except avoid. If the
// connection explores, origin is the server that it left and originLoad the load there.
type migration struct {
	target     *server
	origin     *server
	avoid      *server
	originLoad float64
	expiresAt  time.Duration
}

// migrate closes a connection and records where its client goes when it reconnects.
func (b *Balancer) migrate(r *request, m migration) {
	r.migrating = true
	m.expiresAt = b.now + migrationExpiry
	if r.Key != "" {
		b.migrations[r.Key] = m
	}
	b.emit(Migrate{r.ID, migrationReason(r, m)})
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

// expectPredecessorFlow records the server of a connection that another process established, in the same way as for a
// migration to that server.
func (b *Balancer) expectPredecessorFlow(event PredecessorFlow) {
	if s := b.servers.byID[event.Server]; s != nil {
		b.migrations[event.Key] = migration{target: s, expiresAt: b.now + migrationExpiry}
	}
}

// dropExpiredMigrations deletes the records of clients that did not reconnect here in time.
func (b *Balancer) dropExpiredMigrations() {
	for key, m := range b.migrations {
		if b.now >= m.expiresAt {
			delete(b.migrations, key)
		}
	}
}

// evacuateIfFaulty migrates connections away from a server that is unreachable, overloaded or late with its messages.
// This is faster than exploration, and in proportion to the excess load.
func (b *Balancer) evacuateIfFaulty(s *server) {
	share := b.evacuationShare(s)
	if share <= 0 || b.now < s.nextEvacuationAt || s.State == Draining {
		return
	}
	s.nextEvacuationAt = b.now + b.settleTime()
	s.estimate.penalty = 2*s.estimate.penalty + 1
	b.migrateShare(s, share)
}

// evacuationShare returns the fraction of its connections that a server should lose, 0 or less for none. The excess is
// limited to the spare capacity of the other servers, unless the server does not answer or its load exceeds 1.
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
		share *= b.spareCapacityShare()
	}
	return share
}

// evacuationTargetLoad returns the load that an evacuation leaves on a server. It is lower the longer messages take, so
// that the backlog drains.
func (b *Balancer) evacuationTargetLoad(s *server) float64 {
	if b.now-s.delay.at >= delayMemory {
		return evacuationTarget
	}
	return min(evacuationTarget, max(minDelayTarget, 1-s.delay.value.Seconds()/drainTime.Seconds()))
}

// spareCapacityShare returns the fraction of the excess load of some servers for which the others have capacity. The
// capacity of warming servers does not count, because it is available only as their warm-up budget allows.
func (b *Balancer) spareCapacityShare() float64 {
	spare, excess := 0.0, 0.0
	for _, s := range b.servers.sorted {
		if b.warmUpCapacity(s) >= 1 {
			spare += max(0, newRequestLoadLimit-b.estimatedLoad(s))
		}
		excess += max(0, b.estimatedLoad(s)-evacuationTarget)
	}
	return min(1, spare/max(excess, minLoadStep))
}

// migrateShare migrates a random fraction of a server's connections to other servers.
func (b *Balancer) migrateShare(s *server, share float64) {
	for _, r := range b.requests.established {
		if r.server == s && !r.migrating && r.origin == nil && b.rng.Float64() < share {
			b.migrate(r, migration{avoid: s})
		}
	}
}
