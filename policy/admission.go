package policy

import (
	"math"
	"time"
)

const (
	newRequestLoadLimit = 0.8  // load above which a server gets no new requests
	overQuotaLoadLimit  = 0.6  // the same for tenants over their quota and for the class of the lowest priority
	stickyMissShare     = 0.4  // fraction of mid-flow connections sent to a wrong server, over whole fleets
	minLoadStep         = 1e-6 // load; keeps divisors positive where a connection adds no load
)

// admit reports whether a server has capacity for the request. All balancers see the same delayed report, so each
// admits its share of what all of them want to send before the load shows in a report. The capacity of a server that
// is warming up is divided by its warm-up budget instead.
func (b *Balancer) admit(s *server, r *request) bool {
	if !b.config.ProbesEnabled {
		return true
	}
	capacity := b.capacityLeft(s, r, b.loadLimit(r)) / (1 + s.estimate.penalty)
	if capacity < 1 || s.delay.exceeds(r.class.MessageLatencyObjective, b.now) {
		return false
	}
	return b.warmUpCapacity(s) < 1 || b.admitAtRandom(capacity)
}

// loadLimit returns the load up to which servers admit the request. The class of the lowest priority is rejected
// first.
func (b *Balancer) loadLimit(r *request) float64 {
	if r.tenant.overQuota(b.config.Balancers) {
		return overQuotaLoadLimit
	}
	rank := float64(max(0, r.class.PriorityRank-1)) / float64(max(1, b.classes.highestRank))
	return newRequestLoadLimit - rank*(newRequestLoadLimit-overQuotaLoadLimit)
}

// capacityLeft returns how many more connections of the request's class a server can take before its load reaches
// the limit.
func (b *Balancer) capacityLeft(s *server, r *request, limit float64) float64 {
	return (limit - b.effectiveLoad(s, r)) / max(b.loadStep(s)*b.classLoads.weight(r.Class), minLoadStep)
}

// staysSticky reports whether a mid-flow connection is sent to the server where it is probably established. This
// adds no load if the prediction is right. Because some predictions are wrong, mid-flow connections share the
// capacity as new requests do; otherwise a burst of them would fill one server.
func (b *Balancer) staysSticky(s *server) bool {
	load := b.estimatedLoad(s)
	if load >= 1 {
		return false
	}
	if !b.zonesHaveManyBalancers() {
		return true
	}
	capacity := (overloadedLoad - load) / max(b.loadStep(s), minLoadStep) / stickyMissShare
	return b.admitAtRandom(capacity)
}

// admitAtRandom decides at random whether one placement gets part of the capacity that all balancers see. New requests
// are divided among the servers that have capacity: servers that look full get none, and their share goes to the
// others.
func (b *Balancer) admitAtRandom(capacity float64) bool {
	b.demand.add(b.now)
	servers := b.servers.count(func(s *server) bool {
		return s.State == Live && b.warmUpCapacity(s) >= 1 && b.estimatedLoad(s) < newRequestLoadLimit
	})
	return b.rng.Float64()*b.fleetDemand()/float64(max(1, servers))*b.reportLag().Seconds() < capacity
}

// demandRate is a running rate of placements per second. It decays by a factor of e each second.
type demandRate struct {
	perSecond float64
	updatedAt time.Duration
}

func (d *demandRate) add(now time.Duration) {
	d.perSecond = 1 + d.at(now)
	d.updatedAt = now
}

func (d *demandRate) at(now time.Duration) float64 {
	return d.perSecond * math.Exp(-(now - d.updatedAt).Seconds())
}
