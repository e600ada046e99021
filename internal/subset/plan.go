package subset

import (
	"cmp"
	"slices"
)

// plan is the state of one call of Plan. Members and servers are identified by their indexes in the sorted lists. A
// member holds a server if the server is in its subset.
type plan struct {
	members     []Member
	servers     []Server
	size        []int    // subset size, by member
	quota       []int    // planned number of members that hold it, by server
	holds       [][]bool // by member and server
	serverCount []int    // current subset size, by member
	holderCount []int    // current number of members that hold it, by server
	deadEnd     []bool   // by member: no augmenting path leads from it to a server below its quota
}

// Plan returns the subset of every member, by name. It changes the current subsets as little as the balance allows. The
// result doesn't depend on the order of the lists. Members without a current subset get the servers that they rank
// first.
func Plan(members []Member, servers []Server, cfg Config) map[string][]string {
	p := newPlan(members, servers)
	if len(p.members) == 0 || len(p.servers) == 0 {
		return map[string][]string{}
	}
	p.setSizes(cfg)
	p.addCurrent()
	p.setQuotas()
	p.dropExcess()
	p.fill()
	subsets := make(map[string][]string, len(p.members))
	for i, m := range p.members {
		subsets[m.Name] = p.subset(i)
	}
	return subsets
}

// newPlan sorts the lists and removes duplicates.
func newPlan(members []Member, servers []Server) *plan {
	p := &plan{members: slices.Clone(members), servers: slices.Clone(servers)}
	slices.SortFunc(p.members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(p.servers, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	p.members = slices.CompactFunc(p.members, func(a, b Member) bool { return a.Name == b.Name })
	p.servers = slices.CompactFunc(p.servers, func(a, b Server) bool { return a.ID == b.ID })
	return p
}

// subset returns the IDs of the servers that member i holds.
func (p *plan) subset(i int) []string {
	list := []string{}
	for j, held := range p.holds[i] {
		if held {
			list = append(list, p.servers[j].ID)
		}
	}
	return list
}

// setSizes sets the subset size of each member, so that every server can have its minimum number of balancers.
func (p *plan) setSizes(cfg Config) {
	balancers, servers := len(p.members), len(p.servers)
	minBalancers := min(max(cfg.MinBalancers, 1), balancers)
	size := max(cfg.Size, 1, (minBalancers*servers+balancers-1)/balancers)
	p.size = make([]int, balancers)
	for i, m := range p.members {
		share := cmp.Or(max(0, m.TrafficShare), 1)
		p.size[i] = min(servers, max(1, int(float64(size)*share+0.5)))
	}
	missing := minBalancers*servers - sum(p.size) // positive if small traffic shares have made the sizes too small
	for i := 0; missing > 0; i = (i + 1) % balancers {
		if p.size[i] < servers {
			p.size[i]++
			missing--
		}
	}
}

// addCurrent initializes the plan with the current subsets.
func (p *plan) addCurrent() {
	index := make(map[string]int, len(p.servers))
	for j, s := range p.servers {
		index[s.ID] = j
	}
	p.holds = make([][]bool, len(p.members))
	p.serverCount = make([]int, len(p.members))
	p.holderCount = make([]int, len(p.servers))
	for i, m := range p.members {
		p.holds[i] = make([]bool, len(p.servers))
		for _, id := range m.Current {
			if j, ok := index[id]; ok && !p.holds[i][j] {
				p.add(i, j)
			}
		}
	}
}

// setQuotas divides the pairs evenly among the servers. The servers with the most holders get the remainder, because
// this needs the fewest changes.
func (p *plan) setQuotas() {
	total, servers := sum(p.size), len(p.servers)
	p.quota = make([]int, servers)
	order := make([]int, servers)
	for j := range order {
		order[j] = j
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Or(
			cmp.Compare(p.holderCount[b], p.holderCount[a]),
			cmp.Compare(Rank("", p.servers[a].ID), Rank("", p.servers[b].ID)),
		)
	})
	for n, j := range order {
		p.quota[j] = total / servers
		if n < total%servers {
			p.quota[j]++
		}
	}
}

// dropExcess removes pairs beyond the subset sizes, and then pairs beyond the quotas.
func (p *plan) dropExcess() {
	for i := range p.members {
		for p.serverCount[i] > p.size[i] {
			p.remove(i, p.leastNeeded(i))
		}
	}
	for j := range p.servers {
		for p.holderCount[j] > p.quota[j] {
			p.remove(p.leastAttached(j), j)
		}
	}
}

// leastNeeded returns the server that member i gives up first: one with more holders than its quota before one at its
// quota, and that before one below its quota. Among equal ones it is the one that the member prefers least.
func (p *plan) leastNeeded(i int) int {
	best, most := -1, 0
	for j := range p.servers {
		if !p.holds[i][j] {
			continue
		}
		excess := min(1, max(-1, p.holderCount[j]-p.quota[j]))
		if best < 0 || excess > most || excess == most && p.compare(i, best, j) < 0 {
			best, most = j, excess
		}
	}
	return best
}

// leastAttached returns the holder of server j that gives it up first: one in another zone, then the last by rank.
func (p *plan) leastAttached(j int) int {
	best := -1
	for i := range p.members {
		if p.holds[i][j] && (best < 0 || p.losesBefore(i, best, j)) {
			best = i
		}
	}
	return best
}

func (p *plan) losesBefore(a, b, j int) bool {
	server := p.servers[j]
	return cmp.Or(
		compareNear(p.near(b, j), p.near(a, j)),
		cmp.Compare(Rank(p.members[b].Name, server.ID), Rank(p.members[a].Name, server.ID)),
	) < 0
}

// compare orders servers a and b as member i prefers them.
func (p *plan) compare(i, a, b int) int {
	return comparePreference(p.members[i], p.servers[a], p.servers[b])
}

func (p *plan) near(i, j int) bool { return p.members[i].Zone == p.servers[j].Zone }

// needsHolder reports whether server j needs another holder.
func (p *plan) needsHolder(j int) bool { return p.holderCount[j] < p.quota[j] }

// needsServer reports whether member i needs another server.
func (p *plan) needsServer(i int) bool { return p.serverCount[i] < p.size[i] }

func (p *plan) remove(i, j int) {
	p.holds[i][j] = false
	p.serverCount[i]--
	p.holderCount[j]--
}

func (p *plan) add(i, j int) {
	p.holds[i][j] = true
	p.serverCount[i]++
	p.holderCount[j]++
}

func sum(list []int) (total int) {
	for _, n := range list {
		total += n
	}
	return total
}
