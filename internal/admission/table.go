package admission

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
	"time"
)

// key is an address or a network. IPv4 stands in its IPv6-mapped form, so the two never meet.
type key struct{ hi, lo uint64 }

func keyOf(a netip.Addr, prefix int) key {
	b := a.As16()
	k := key{binary.BigEndian.Uint64(b[:8]), binary.BigEndian.Uint64(b[8:])}
	if a.Is4() {
		prefix += 96
	}
	if prefix <= 64 {
		return key{k.hi &^ (1<<(64-prefix) - 1), 0}
	}
	return key{k.hi, k.lo &^ (1<<(128-prefix) - 1)}
}

// mix hashes two words; with an unknown seed in one of them nobody can aim at a cell from outside.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0xa0761d6478bd642f, b^0xe7037ed1a0b428db)
	hi2, lo2 := bits.Mul64(hi^lo, 0x8ebc6af09c88c6e3)
	return hi2 ^ lo2
}

// entry is what is remembered of one address or network. Its rate is kept by the virtual scheduling of
// GCRA: debt is the time up to which its connections so far have been paid for.
type entry struct {
	key        key
	debt       time.Duration // absolute
	struck     time.Duration // absolute; refusals for rate in the same form
	held       int32         // connections; an entry that holds any is pinned
	silent     int32
	served     int32 // transactions
	bytes      int
	prev, next int32 // of those that hold none, the longest unused first
	head, tail int32 // of its silent tickets
	crowdPrev  int32
	crowdNext  int32
	rank       int32 // in crowd
}

func (e *entry) strike(now time.Duration, rate float64) {
	e.struck = max(e.struck, now) + perItem(rate)
}

func (e *entry) strikes(now time.Duration, rate float64) int {
	return int(max(0, e.struck-now) / perItem(rate))
}

func perItem(rate float64) time.Duration {
	return max(1, time.Duration(float64(time.Second)/rate))
}

// table remembers a bounded number of addresses or networks. Entries that hold connections stay, and there are
// no more of these than descriptors. Of the others the longest unused is given up for a newcomer; what it still
// owes goes into the sketch, where the newcomer looks as well, so nobody gets rid of a debt by having himself
// evicted, whatever the number of addresses.
//
// The sketch has depth rows of width cells. A cell holds the latest time up to which anybody evicted into it has
// paid, and wears off by itself; the smallest of an address's cells is its estimate. It is never too low. It is
// too high only where other evicted debtors hit all depth cells: with d debtors that are still in debt it is so
// for a share of at most (1-e^(-d/width))^depth of the innocent (d = 256: 0.2 %; 384: 1 %; 1,024: 16 %), and never by
// more than the largest debt there is, the burst.
type table struct {
	list    []entry
	index   map[key]int32
	free    []int32
	size    int
	first   int32 // idle, longest unused
	last    int32
	seed    uint64
	sketch  [depth][width]time.Duration
	evicted int64
}

const (
	depth = 4
	width = 1024
)

func newTable(size int, seed uint64) *table {
	return &table{
		list:  make([]entry, 1, min(size, 1024)+1),
		index: make(map[key]int32, min(size, 1024)),
		size:  size,
		seed:  seed,
	}
}

func (t *table) cell(row int, k key) *time.Duration {
	h := mix(k.hi^t.seed, k.lo+uint64(row)*0x9e3779b97f4a7c15)
	return &t.sketch[row][h%width]
}

// touch finds a key's entry or makes one; 0 where all are pinned.
func (t *table) touch(k key, now time.Duration) int32 {
	if i, ok := t.index[k]; ok {
		if t.list[i].held == 0 {
			t.unlink(i)
			t.link(i)
		}
		return i
	}
	var i int32
	switch {
	case len(t.free) > 0:
		i = t.free[len(t.free)-1]
		t.free = t.free[:len(t.free)-1]
	case len(t.list) <= t.size:
		i = int32(len(t.list))
		t.list = append(t.list, entry{})
	case t.first != 0:
		i = t.first
		old := &t.list[i]
		t.unlink(i)
		delete(t.index, old.key)
		t.evicted++
		if old.debt > now {
			for row := range depth {
				c := t.cell(row, old.key)
				*c = max(*c, old.debt)
			}
		}
	default:
		return 0
	}
	debt := time.Duration(1<<63 - 1)
	for row := range depth {
		debt = min(debt, *t.cell(row, k))
	}
	t.list[i] = entry{key: k, debt: debt}
	t.index[k] = i
	t.link(i)
	return i
}

// take pays for one connection, if the entry's debt allows that.
func (t *table) take(i int32, now time.Duration, rate float64, burst int) bool {
	e := &t.list[i]
	step := perItem(rate)
	paid := max(e.debt, now) + step
	if paid > now+time.Duration(burst)*step {
		return false
	}
	e.debt = paid
	return true
}

// charge makes a connection that was let in and then refused cost as much as four.
func (t *table) charge(i int32, now time.Duration, rate float64, burst int) {
	e := &t.list[i]
	step := perItem(rate)
	e.debt = max(e.debt, min(max(e.debt, now)+3*step, now+time.Duration(burst)*step))
}

// hold pins an entry while it holds connections.
func (t *table) hold(i int32, n int32) {
	e := &t.list[i]
	was := e.held
	e.held += n
	switch {
	case was == 0 && e.held > 0:
		t.unlink(i)
	case was > 0 && e.held == 0:
		t.link(i)
	}
}

func (t *table) link(i int32) {
	e := &t.list[i]
	e.prev, e.next = t.last, 0
	if t.last != 0 {
		t.list[t.last].next = i
	} else {
		t.first = i
	}
	t.last = i
}

func (t *table) unlink(i int32) {
	e := &t.list[i]
	if e.prev != 0 {
		t.list[e.prev].next = e.next
	} else if t.first == i {
		t.first = e.next
	}
	if e.next != 0 {
		t.list[e.next].prev = e.prev
	} else if t.last == i {
		t.last = e.prev
	}
	e.prev, e.next = 0, 0
}

// crowd orders the addresses by how many silent terminals they hold, so that the worst is found at once.
type crowd struct{ first, last [crowdMost + 1]int32 }

const crowdMost = 64 // from here on addresses are alike

// rank is an address's place. An exempt address stands for many clients: it counts as one with one.
func (c *crowd) rank(e *entry, exempt bool) int32 {
	if exempt && e.silent > 0 {
		return 1
	}
	return min(e.silent, crowdMost)
}

func (c *crowd) add(g *Gate, t int32) {
	x := &g.tickets[t]
	e := &g.peers.list[x.peer]
	x.prev, x.next = e.tail, 0
	if e.tail != 0 {
		g.tickets[e.tail].next = t
	} else {
		e.head = t
	}
	e.tail = t
	e.silent++
	c.place(g, x.peer, c.rank(e, x.exempt))
}

// remove takes a ticket out, also its bytes; it may be called again.
func (c *crowd) remove(g *Gate, t int32) {
	x := &g.tickets[t]
	e := &g.peers.list[x.peer]
	if x.prev == 0 && e.head != t {
		return
	}
	if x.prev != 0 {
		g.tickets[x.prev].next = x.next
	} else {
		e.head = x.next
	}
	if x.next != 0 {
		g.tickets[x.next].prev = x.prev
	} else {
		e.tail = x.prev
	}
	x.prev, x.next = 0, 0
	e.bytes -= x.bytes
	e.silent--
	c.place(g, x.peer, c.rank(e, x.exempt))
}

func (c *crowd) place(g *Gate, i int32, rank int32) {
	list := g.peers.list
	e := &list[i]
	if old := e.rank; old != 0 {
		if e.crowdPrev != 0 {
			list[e.crowdPrev].crowdNext = e.crowdNext
		} else {
			c.first[old] = e.crowdNext
		}
		if e.crowdNext != 0 {
			list[e.crowdNext].crowdPrev = e.crowdPrev
		} else {
			c.last[old] = e.crowdPrev
		}
	}
	e.rank, e.crowdPrev, e.crowdNext = rank, 0, 0
	if rank == 0 {
		return
	}
	e.crowdPrev = c.last[rank]
	if e.crowdPrev != 0 {
		list[e.crowdPrev].crowdNext = i
	} else {
		c.first[rank] = i
	}
	c.last[rank] = i
}

// worst is the oldest silent terminal of the address that holds the most of them; where that one is too young,
// of the next address: who changes his terminals quickly protects nobody else's.
func (c *crowd) worst(g *Gate) (int32, bool) {
	for rank := crowdMost; rank > 0; rank-- {
		if i := c.first[rank]; i != 0 {
			t := g.peers.list[i].head
			if g.now-g.tickets[t].born >= Youngest {
				return t, true
			}
		}
	}
	return 0, false
}
