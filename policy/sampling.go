package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	crossZoneSamplingFactor   = 40.0 // exponent by which other zones are sampled less, over the cost of a crossing
	manyBalancersPerZone      = 4
	samplesInSubset           = 2 // a request that found no capacity so often looks beyond the subset
	sampledServersPerDecision = 2
)

// sample picks two usable servers at random, with less weight for those of other zones and those that warm up.
//
// The samples of a group, and the first one of a key, follow from that group or key alone: a balancer that gets a
// connection in mid-flow may find its server, which another balancer chose. What a group's first two servers have
// no capacity for goes on to the next ones in the same order.
func (b *Balancer) sample(r *request) []*server {
	r.samples++
	salt := b.sampleSalt(r)
	candidates := b.sampleCandidates(r)
	preferOwnZone := r.samples == 1 && (!r.MidFlow || b.zonesHaveManyBalancers())
	for _, s := range candidates {
		// Only few balancers may send to a warming server at any time, so that each of these samples it sooner.
		weight := s.sampleWeight * b.warmUpCapacity(s) / b.sendProbability(s)
		if preferOwnZone && s.Zone != b.config.Zone {
			weight *= math.Exp(-crossZoneSamplingFactor * b.config.CrossZoneCost)
		}
		s.sampleRank = -math.Log(uniform(s.idHash+salt)) / weight
	}
	slices.SortFunc(candidates, func(x, y *server) int { return cmp.Compare(x.sampleRank, y.sampleRank) })
	n := len(candidates)
	if n <= sampledServersPerDecision {
		return candidates
	}
	first := sampledServersPerDecision * max(0, r.samples-samplesInSubset)
	return []*server{candidates[first%n], candidates[(first+1)%n]}
}

func (b *Balancer) sampleSalt(r *request) uint64 {
	if r.Group == "" && (r.samples > 1 || r.Key == "") {
		return b.rng.Uint64()
	}
	return hashText(cmp.Or(r.Group, r.Key))
}

// sampleCandidates lists the servers that may be sampled. Ejected servers are among them while most servers look
// faulty.
func (b *Balancer) sampleCandidates(r *request) []*server {
	ignoreEjection := b.mostServersFaulty()
	return slices.DeleteFunc(slices.Clone(b.servers.sorted), func(s *server) bool {
		if b.beyondSubset(s) && r.samples <= samplesInSubset {
			return true
		}
		return !b.usable(s, r) || b.now < s.probe.ejectedUntil && !ignoreEjection
	})
}

// zonesHaveManyBalancers tells that a zone has enough balancers for some to be left when others stop. Then
// connections in mid-flow come from a balancer of this one's zone, which sampled as this one does; otherwise their
// zone is unknown.
func (b *Balancer) zonesHaveManyBalancers() bool {
	zones := map[string]bool{b.config.Zone: true}
	for _, s := range b.servers.sorted {
		zones[s.Zone] = true
	}
	return b.config.Balancers >= manyBalancersPerZone*len(zones)
}

// uniform turns a sum of hashes into a number that is uniform in (0, 1). The mixing steps are those of the
// SplitMix64 generator.
func uniform(x uint64) float64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (float64((x^x>>31)>>11) + 0.5) / (1 << 53)
}
