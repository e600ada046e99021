package policy

import (
	"cmp"
	"math"
	"slices"
)

const (
	crossZoneSamplingFactor   = 40.0 // exponent per unit of cross-zone cost by which other zones are sampled less
	manyBalancersPerZone      = 4
	samplesInSubset           = 2 // samples without capacity after which a request considers servers beyond the subset
	sampledServersPerDecision = 2
)

// sample picks two usable servers at random, with less weight for those in other zones and those warming up.
//
// All samples of a group, and the first sample of a key, depend only on that group or key. A balancer that receives a
// mid-flow connection can thus find the server that another balancer chose for it. If the first two servers of a group
// have no capacity, the next two in the same order are sampled.
func (b *Balancer) sample(r *request) []*server {
	r.samples++
	salt := b.sampleSalt(r)
	candidates := b.sampleCandidates(r)
	preferOwnZone := r.samples == 1 && (!r.MidFlow || b.zonesHaveManyBalancers())
	for _, s := range candidates {
		// Only few balancers have budget for a warming server at any time, so each of those samples it more often.
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

// sampleCandidates returns the servers that may be sampled. Ejected servers are included while most servers look
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

// zonesHaveManyBalancers reports whether a zone has so many balancers that some remain when others stop. If so,
// mid-flow connections come from a balancer of the own zone, which sampled in the same way; otherwise their zone is
// unknown.
func (b *Balancer) zonesHaveManyBalancers() bool {
	zones := map[string]bool{b.config.Zone: true}
	for _, s := range b.servers.sorted {
		zones[s.Zone] = true
	}
	return b.config.Balancers >= manyBalancersPerZone*len(zones)
}

// uniform maps a sum of hashes to a uniformly distributed number in (0, 1), with the mixing steps of the SplitMix64
// generator.
func uniform(x uint64) float64 {
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return (float64((x^x>>31)>>11) + 0.5) / (1 << 53)
}
