package subset

import (
	"cmp"
	"slices"
)

// pair is a member and a server that could be added to its subset.
type pair struct {
	member, server int
	near           bool
	rank           uint64
}

// fill adds the missing pairs within sizes and quotas: first those within a zone, then the others, each by rank. The
// rest is added along augmenting paths, on which members pass servers on to each other.
func (p *plan) fill() {
	pairs := p.missingPairs()
	firstFar := slices.IndexFunc(pairs, func(x pair) bool { return !x.near })
	if firstFar < 0 {
		firstFar = len(pairs)
	}
	p.fillFrom(pairs[:firstFar], firstFar > 0) // without any near pair, paths over all servers come before the far pairs
	p.fillFrom(pairs[firstFar:], false)
}

// missingPairs returns the pairs in which both the member and the server need one more, the most preferred first.
func (p *plan) missingPairs() []pair {
	var pairs []pair
	for i := range p.members {
		for j := range p.servers {
			if p.needsServer(i) && p.needsHolder(j) && !p.holds[i][j] {
				pairs = append(pairs, pair{i, j, p.near(i, j), Rank(p.members[i].Name, p.servers[j].ID)})
			}
		}
	}
	slices.SortFunc(pairs, func(a, b pair) int {
		return cmp.Or(
			compareNear(a.near, b.near),
			cmp.Compare(a.rank, b.rank),
			cmp.Compare(a.member, b.member),
			cmp.Compare(a.server, b.server),
		)
	})
	return pairs
}

// fillFrom adds pairs from the list, and then along augmenting paths over near servers only, or over all.
func (p *plan) fillFrom(pairs []pair, nearOnly bool) {
	for _, x := range pairs {
		if p.needsServer(x.member) && p.needsHolder(x.server) {
			p.add(x.member, x.server)
		}
	}
	p.deadEnd = make([]bool, len(p.members))
	for i := range p.members {
		for p.needsServer(i) && p.augment(i, nearOnly) {
		}
	}
}

// pathSearch is a breadth-first search for the shortest augmenting path from a member that lacks a server.
type pathSearch struct {
	*plan
	start    int
	nearOnly bool
	reached  map[int]exchange // by member
	expanded []bool           // by server: its holders have been reached
}

// exchange is the step by which a member was reached: it would pass the server on to the member before it.
type exchange struct{ previous, server int }

// augment adds one server to member i along the shortest augmenting path: i takes a server of another member, that
// member takes one of a third, and so on, until one takes a server below its quota. It reports whether there is such a
// path. No size exceeds the number of servers, and the quotas add up to the sizes, so there is a path while i lacks a
// server; over near servers only there may be none.
func (p *plan) augment(i int, nearOnly bool) bool {
	if p.deadEnd[i] {
		return false
	}
	search := &pathSearch{
		plan: p, start: i, nearOnly: nearOnly,
		reached:  map[int]exchange{i: {-1, -1}},
		expanded: make([]bool, len(p.servers)),
	}
	for queue := []int{i}; len(queue) > 0; queue = queue[1:] {
		if search.complete(queue[0]) {
			return true
		}
		queue = append(queue, search.expand(queue[0])...)
	}
	for m := range search.reached { // no path of a later member can continue from these
		p.deadEnd[m] = true
	}
	return false
}

// complete completes the path if member m can take a server below its quota: it adds that server to m, and passes
// servers on along the path.
func (c *pathSearch) complete(m int) bool {
	for j := range c.servers {
		if c.holds[m][j] || !c.needsHolder(j) || c.nearOnly && !c.near(m, j) {
			continue
		}
		c.add(m, j)
		for m != c.start {
			step := c.reached[m]
			c.remove(m, step.server)
			c.add(step.previous, step.server)
			m = step.previous
		}
		return true
	}
	return false
}

// expand returns the members not reached yet that hold a server which m could take.
func (c *pathSearch) expand(m int) (members []int) {
	for j := range c.servers {
		if c.holds[m][j] || c.expanded[j] || c.nearOnly && !c.near(m, j) {
			continue
		}
		c.expanded[j] = true
		for other := range c.members {
			if _, seen := c.reached[other]; !seen && c.holds[other][j] && !c.deadEnd[other] {
				c.reached[other] = exchange{m, j}
				members = append(members, other)
			}
		}
	}
	return members
}
