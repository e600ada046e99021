package policy

import (
	"math"
	"time"
)

const (
	newcomerLoadLimit  = 0.8  // servers above this load get no new requests
	overQuotaLoadLimit = 0.6  // nor those above this one, of tenants over their quota and of the last class
	stickyMissShare    = 0.4  // of the guesses in mid-flow that miss their server, as counted over whole fleets
	minLoadStep        = 1e-6 // divisors stay finite where a connection adds no load
)

// admit tells whether a server has capacity for the request. All balancers see the same late report, so each admits
// its share of what they all want to send before the load shows. The capacity of a warming server is shared by its
// budget instead.
func (b *Balancer) admit(s *server, r *request) bool {
	if !b.config.ProbesEnabled {
		return true
	}
	capacity := b.capacityLeft(s, r, b.loadLimit(r)) / (1 + s.estimate.penalty)
	if capacity < 1 || s.delay.exceeds(r.class.MessageLatencyObjective, b.now) {
		return false
	}
	return b.warmUpCapacity(s) < 1 || b.winsShare(capacity)
}

// loadLimit is the load up to which servers admit the request: the last class in priority gives way first.
func (b *Balancer) loadLimit(r *request) float64 {
	if r.tenant.overQuota(b.config.Balancers) {
		return overQuotaLoadLimit
	}
	rank := float64(max(0, r.class.PriorityRank-1)) / float64(max(1, b.classes.lowestPriority))
	return newcomerLoadLimit - rank*(newcomerLoadLimit-overQuotaLoadLimit)
}

// capacityLeft is how many connections of the request's class a server has capacity for until it is loaded to the
// limit.
func (b *Balancer) capacityLeft(s *server, r *request, limit float64) float64 {
	return (limit - b.effectiveLoad(s, r)) / max(b.loadStep(s)*b.classLoads.weight(r.Class), minLoadStep)
}

// staysSticky tells whether a connection in mid-flow is sent to the server where it is likely to be established.
// That adds no load if the guess is right; since some guesses miss, they share the capacity as new requests do, or
// a wave of them would fill one server.
func (b *Balancer) staysSticky(s *server) bool {
	load := b.estimatedLoad(s)
	if load >= 1 {
		return false
	}
	if !b.zonesHaveManyBalancers() {
		return true
	}
	capacity := (overloadedLoad - load) / max(b.loadStep(s), minLoadStep) / stickyMissShare
	return b.winsShare(capacity)
}

// winsShare gives one placement its chance of the capacity that all balancers see. New requests are divided among the
// servers that have some: those that look full get none, and their share goes to the others.
func (b *Balancer) winsShare(capacity float64) bool {
	b.demand.count(b.now)
	servers := b.servers.count(func(s *server) bool {
		return s.State == Live && b.warmUpCapacity(s) >= 1 && b.estimatedLoad(s) < newcomerLoadLimit
	})
	return b.rng.Float64()*b.fleetDemand()/float64(max(1, servers))*b.reportLag().Seconds() < capacity
}

// demandRate is a running rate of placements, per second. It decays by a factor of e each second.
type demandRate struct {
	perSecond float64
	updatedAt time.Duration
}

func (d *demandRate) count(now time.Duration) {
	d.perSecond = 1 + d.at(now)
	d.updatedAt = now
}

func (d *demandRate) at(now time.Duration) float64 {
	return d.perSecond * math.Exp(-(now - d.updatedAt).Seconds())
}
