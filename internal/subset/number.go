package subset

import "slices"

// ForNumber returns the subset of one of count balancers that are identified only by their numbers, from 0. It depends
// on the lists only and not on earlier subsets: each balancer starts with the servers that it ranks first, and Plan
// balances these subsets.
func ForNumber(number, count int, zone func(number int) string, servers []Server, cfg Config) []string {
	members := make([]Member, count)
	for i := range members {
		members[i] = Member{Name: numberName(i), Zone: zone(i)}
	}
	members = WithFirstByRank(members, servers, cfg)
	return Plan(members, servers, cfg)[numberName(number)]
}

// numberName returns the name for which the ranks of a numbered balancer are computed.
func numberName(number int) string {
	return string([]byte{byte(number >> 24), byte(number >> 16), byte(number >> 8), byte(number)})
}

// WithFirstByRank returns the members with the servers that each prefers most as their current subsets.
func WithFirstByRank(members []Member, servers []Server, cfg Config) []Member {
	ranked := slices.Clone(members)
	for i, m := range ranked {
		order := slices.Clone(servers)
		slices.SortFunc(order, func(a, b Server) int { return comparePreference(m, a, b) })
		ranked[i].Current = nil
		for _, s := range order[:min(len(order), max(cfg.Size, 1))] {
			ranked[i].Current = append(ranked[i].Current, s.ID)
		}
	}
	return ranked
}
