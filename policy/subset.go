package policy

import "slices"

// zoneWeightPrefix is the prefix of zone names in Config.Weights.
const zoneWeightPrefix = "zone/"

// subset is the set of servers that this balancer considers.
type subset struct {
	candidates map[string]bool // by id; nil for all servers
	disabled   bool            // no candidate is live and warmed up: all servers are considered
}

func (b *Balancer) setCandidates(event CandidateSubset) {
	b.subset.candidates = nil
	if len(event.Servers) > 0 {
		b.subset.candidates = make(map[string]bool, len(event.Servers))
	}
	for _, id := range event.Servers {
		b.subset.candidates[id] = true
	}
	b.markSubset()
}

// markSubset records for each server whether it is a candidate, whether this balancer probes it for others, and its
// weight.
func (b *Balancer) markSubset() {
	b.subset.disabled = true
	for _, s := range b.servers.sorted {
		s.excluded = b.subset.candidates != nil && !b.subset.candidates[s.ID]
		s.assigned = slices.Contains(b.fleet.AssignedServers, s.ID)
		s.sampleWeight = b.configuredWeight(s)
		if !s.excluded && s.State == Live && b.warmUpCapacity(s) >= 1 {
			b.subset.disabled = false
		}
	}
}

// configuredWeight returns the product of the configured weights of a server and of its zone.
func (b *Balancer) configuredWeight(s *server) float64 {
	weight := 1.0
	for _, name := range []string{s.ID, zoneWeightPrefix + s.Zone} {
		if configured, ok := b.config.Weights[name]; ok {
			weight *= configured
		}
	}
	return weight
}

func (b *Balancer) beyondSubset(s *server) bool { return s.excluded && !b.subset.disabled }

// subsetSize returns the number of servers between which connections are migrated.
func (b *Balancer) subsetSize() int {
	return b.servers.count(func(s *server) bool { return !b.beyondSubset(s) })
}
