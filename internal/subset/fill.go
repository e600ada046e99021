package subset

import (
	"cmp"
	"slices"
)

// pair is a member and a server that it could take.
type pair struct {
	member, server int
	near           bool
	rank           uint64
}

// fill gives out what is missing: near servers first, by rank, within sizes and quotas. What remains is given by
// chains of exchanges: a member that can take a server with room passes one of its own on.
func (p *plan) fill() {
	pairs := p.missingPairs()
	firstFar := slices.IndexFunc(pairs, func(x pair) bool { return !x.near })
	if firstFar < 0 {
		firstFar = len(pairs)
	}
	p.fillFrom(pairs[:firstFar], firstFar > 0) // without any near pair, chains over all servers come before the far pairs
	p.fillFrom(pairs[firstFar:], false)
}

// missingPairs returns the pairs of members and servers that both need one more, the best first.
func (p *plan) missingPairs() []pair {
	var pairs []pair
	for i := range p.members {
		for j := range p.servers {
			if p.lacks(i) && p.needsHolder(j) && !p.holds[i][j] {
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

// fillFrom gives out pairs, and then what chains of exchanges allow: over near servers only, or over all.
func (p *plan) fillFrom(pairs []pair, nearOnly bool) {
	for _, x := range pairs {
		if p.lacks(x.member) && p.needsHolder(x.server) {
			p.give(x.member, x.server)
		}
	}
	p.closed = make([]bool, len(p.members))
	for i := range p.members {
		for p.lacks(i) && p.augment(i, nearOnly) {
		}
	}
}

// chain is a search for the shortest chain of exchanges from a member that lacks a server.
type chain struct {
	*plan
	start    int
	nearOnly bool
	reached  map[int]exchange // by member
	expanded []bool           // by server: its holders are reached already
}

// exchange says how a member was reached: it would give the server to the member before it.
type exchange struct{ before, server int }

// augment finds member i one more server by the shortest chain: i takes a server of another member, which takes
// another one, until one takes a server with room. It tells whether there was a chain. No size is above the number
// of servers, and the quotas add up to the sizes, so there is a chain as long as i lacks a server; among near
// servers alone there may be none.
func (p *plan) augment(i int, nearOnly bool) bool {
	if p.closed[i] {
		return false
	}
	c := &chain{
		plan: p, start: i, nearOnly: nearOnly,
		reached:  map[int]exchange{i: {-1, -1}},
		expanded: make([]bool, len(p.servers)),
	}
	for queue := []int{i}; len(queue) > 0; queue = queue[1:] {
		if c.finish(queue[0]) {
			return true
		}
		queue = append(queue, c.next(queue[0])...)
	}
	for m := range c.reached { // no chain of a later member leads on from these
		p.closed[m] = true
	}
	return false
}

// finish gives member m a server with room, if it can take one, and passes servers on along the chain.
func (c *chain) finish(m int) bool {
	for j := range c.servers {
		if c.holds[m][j] || !c.needsHolder(j) || c.nearOnly && !c.near(m, j) {
			continue
		}
		c.give(m, j)
		for m != c.start {
			step := c.reached[m]
			c.take(m, step.server)
			c.give(step.before, step.server)
			m = step.before
		}
		return true
	}
	return false
}

// next returns the members that hold a server which m could take, and were not reached yet.
func (c *chain) next(m int) (members []int) {
	for j := range c.servers {
		if c.holds[m][j] || c.expanded[j] || c.nearOnly && !c.near(m, j) {
			continue
		}
		c.expanded[j] = true
		for other := range c.members {
			if _, seen := c.reached[other]; !seen && c.holds[other][j] && !c.closed[other] {
				c.reached[other] = exchange{m, j}
				members = append(members, other)
			}
		}
	}
	return members
}
