package subset

import (
	"cmp"
	"slices"
)

// plan is the bookkeeping of one planning: which member holds which server, by their places in the sorted lists.
type plan struct {
	members     []Member
	servers     []Server
	size        []int    // of each member's subset
	quota       []int    // members that are to hold each server
	holds       [][]bool // by member and server
	serverCount []int    // servers by member
	holderCount []int    // members by server
	closed      []bool   // members from which no chain of exchanges leads to a server with room
}

// Plan returns every member's subset by name: what each holds now, changed as little as the balance allows. The
// order of the lists makes no difference. Members that hold nothing begin with the servers that they rank first.
func Plan(members []Member, servers []Server, cfg Config) map[string][]string {
	p := newPlan(members, servers)
	if len(p.members) == 0 || len(p.servers) == 0 {
		return map[string][]string{}
	}
	p.setSizes(cfg)
	p.takeCurrent()
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

// subset lists the servers of member i.
func (p *plan) subset(i int) []string {
	list := []string{}
	for j, held := range p.holds[i] {
		if held {
			list = append(list, p.servers[j].ID)
		}
	}
	return list
}

// setSizes gives each member its subset's size: enough for every server to have its least number of balancers.
func (p *plan) setSizes(cfg Config) {
	balancers, servers := len(p.members), len(p.servers)
	minBalancers := min(max(cfg.MinBalancers, 1), balancers)
	size := max(cfg.Size, 1, (minBalancers*servers+balancers-1)/balancers)
	p.size = make([]int, balancers)
	for i, m := range p.members {
		share := cmp.Or(max(0, m.TrafficShare), 1)
		p.size[i] = min(servers, max(1, int(float64(size)*share+0.5)))
	}
	missing := minBalancers*servers - sum(p.size) // above 0 where small shares have made the sizes too small
	for i := 0; missing > 0; i = (i + 1) % balancers {
		if p.size[i] < servers {
			p.size[i]++
			missing--
		}
	}
}

// takeCurrent begins with what each member holds now.
func (p *plan) takeCurrent() {
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
				p.give(i, j)
			}
		}
	}
}

// setQuotas divides the pairs evenly among the servers. Those that have most holders now get the remainder, because
// then the least has to change.
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

// dropExcess takes away what is too much, first at members, then at servers.
func (p *plan) dropExcess() {
	for i := range p.members {
		for p.serverCount[i] > p.size[i] {
			p.take(i, p.leastNeeded(i))
		}
	}
	for j := range p.servers {
		for p.holderCount[j] > p.quota[j] {
			p.take(p.leastAttached(j), j)
		}
	}
}

// leastNeeded returns the server that member i gives up first: one that has too many holders, before one that has
// just enough or too few, and among these the one that it prefers least.
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

// leastAttached returns the holder of server j that gives it up first: a far one, then the last by rank.
func (p *plan) leastAttached(j int) int {
	best := -1
	for i := range p.members {
		if p.holds[i][j] && (best < 0 || p.givesUpBefore(i, best, j)) {
			best = i
		}
	}
	return best
}

func (p *plan) givesUpBefore(a, b, j int) bool {
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

// needsHolder tells whether server j needs another holder.
func (p *plan) needsHolder(j int) bool { return p.holderCount[j] < p.quota[j] }

// lacks tells whether member i needs another server.
func (p *plan) lacks(i int) bool { return p.serverCount[i] < p.size[i] }

func (p *plan) take(i, j int) {
	p.holds[i][j] = false
	p.serverCount[i]--
	p.holderCount[j]--
}

func (p *plan) give(i, j int) {
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
