package admission

import (
	"encoding/binary"
	"math/bits"
	"net/netip"
	"time"
)

// key is an address or a network. IPv4 is in its IPv6-mapped form, so that it can't collide with IPv6.
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

// mix hashes two words. One of them contains a secret seed, so that clients can't choose the cell they hash to.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0xa0761d6478bd642f, b^0xe7037ed1a0b428db)
	hi2, lo2 := bits.Mul64(hi^lo, 0x8ebc6af09c88c6e3)
	return hi2 ^ lo2
}

// entry is the state of one address or network. Its rate is limited by the virtual scheduling algorithm of GCRA: debt
// is the theoretical arrival time of its next connection.
type entry struct {
	key             key
	debt            time.Duration // time since the start
	strikeDebt      time.Duration // the same for refusals because of the rate
	openConnections int32         // open connections; an entry that has any is pinned
	silent          int32         // silent connections
	admitted        int32         // admitted requests
	bytes           int           // received from the silent connections
	prev, next      int32         // entries without connections, least recently used first
	head, tail      int32         // silent connections of the address, oldest first
	rankPrev        int32
	rankNext        int32
	rank            int32 // in silentByAddress; 0 if not listed there
}

func (e *entry) addStrike(now time.Duration, rate float64) {
	e.strikeDebt = max(e.strikeDebt, now) + emissionInterval(rate)
}

func (e *entry) strikeCount(now time.Duration, rate float64) int {
	return int(max(0, e.strikeDebt-now) / emissionInterval(rate))
}

func emissionInterval(rate float64) time.Duration {
	return max(1, time.Duration(float64(time.Second)/rate))
}

// table is an LRU table of a bounded number of addresses or networks. Entries with open connections are never evicted;
// there are no more of them than descriptors. When another entry is evicted for a new one, its debt is stored in the
// sketch, and the debt of each new entry is read from there. So an address can't lose its debt by being evicted,
// however many addresses there are.
//
// The sketch has sketchDepth rows of sketchWidth cells. A cell contains the latest debt of all entries evicted into it,
// and expires when that time has passed. The smallest cell of a key is its estimate. It is never too low. It is too
// high only if other evicted entries with debts share all cells of the key. With d such entries this affects at most
// (1-e^(-d/sketchWidth))^sketchDepth of the keys without debt (d = 256: 0.2 %; 384: 1 %; 1,024: 16 %), and the error is
// at most the largest possible debt, which is the burst.
type table struct {
	list    []entry
	index   map[key]int32
	free    []int32
	size    int
	lruHead int32 // least recently used entry without connections
	lruTail int32 // most recently used one
	seed    uint64
	sketch  [sketchDepth][sketchWidth]time.Duration
	evicted int64
}

const (
	sketchDepth = 4
	sketchWidth = 1024
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
	return &t.sketch[row][h%sketchWidth]
}

// touch returns the index of a key's entry, and adds the entry if it is missing. It returns 0 if all entries are
// pinned.
func (t *table) touch(k key, now time.Duration) int32 {
	if i, ok := t.index[k]; ok {
		if t.list[i].openConnections == 0 {
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
	case t.lruHead != 0:
		i = t.lruHead
		old := &t.list[i]
		t.unlink(i)
		delete(t.index, old.key)
		t.evicted++
		if old.debt > now {
			for row := range sketchDepth {
				c := t.cell(row, old.key)
				*c = max(*c, old.debt)
			}
		}
	default:
		return 0
	}
	debt := time.Duration(1<<63 - 1)
	for row := range sketchDepth {
		debt = min(debt, *t.cell(row, k))
	}
	t.list[i] = entry{key: k, debt: debt}
	t.index[k] = i
	t.link(i)
	return i
}

// allow adds one connection to the entry's debt if the burst allows it, and reports whether it does.
func (t *table) allow(i int32, now time.Duration, rate float64, burst int) bool {
	e := &t.list[i]
	step := emissionInterval(rate)
	newDebt := max(e.debt, now) + step
	if newDebt > now+time.Duration(burst)*step {
		return false
	}
	e.debt = newDebt
	return true
}

// chargeRefused adds three more connections to the entry's debt, up to the burst, so that a connection that was
// accepted and then refused costs as much as four.
func (t *table) chargeRefused(i int32, now time.Duration, rate float64, burst int) {
	e := &t.list[i]
	step := emissionInterval(rate)
	e.debt = max(e.debt, min(max(e.debt, now)+3*step, now+time.Duration(burst)*step))
}

// addConnections adds n to the entry's open connections. An entry is pinned while it has any.
func (t *table) addConnections(i int32, n int32) {
	e := &t.list[i]
	was := e.openConnections
	e.openConnections += n
	switch {
	case was == 0 && e.openConnections > 0:
		t.unlink(i)
	case was > 0 && e.openConnections == 0:
		t.link(i)
	}
}

func (t *table) link(i int32) {
	e := &t.list[i]
	e.prev, e.next = t.lruTail, 0
	if t.lruTail != 0 {
		t.list[t.lruTail].next = i
	} else {
		t.lruHead = i
	}
	t.lruTail = i
}

func (t *table) unlink(i int32) {
	e := &t.list[i]
	if e.prev != 0 {
		t.list[e.prev].next = e.next
	} else if t.lruHead == i {
		t.lruHead = e.next
	}
	if e.next != 0 {
		t.list[e.next].prev = e.prev
	} else if t.lruTail == i {
		t.lruTail = e.prev
	}
	e.prev, e.next = 0, 0
}

// silentByAddress lists the addresses by their number of silent clients, so that one with the most of them is found
// without a search over all addresses.
type silentByAddress struct{ first, last [maxSilentRank + 1]int32 }

const maxSilentRank = 64 // silent clients; addresses with as many or more have the same rank

// rank returns an address's rank. An exempt address is used by many clients, so it ranks as an address with one client.
func (c *silentByAddress) rank(e *entry, exempt bool) int32 {
	if exempt && e.silent > 0 {
		return 1
	}
	return min(e.silent, maxSilentRank)
}

func (c *silentByAddress) add(g *Controller, t int32) {
	x := &g.connections[t]
	e := &g.addresses.list[x.address]
	x.prev, x.next = e.tail, 0
	if e.tail != 0 {
		g.connections[e.tail].next = t
	} else {
		e.head = t
	}
	e.tail = t
	e.silent++
	c.setRank(g, x.address, c.rank(e, x.exempt))
}

// remove removes a ticket and its bytes from its address. It does nothing if the ticket was removed before.
func (c *silentByAddress) remove(g *Controller, t int32) {
	x := &g.connections[t]
	e := &g.addresses.list[x.address]
	if x.prev == 0 && e.head != t {
		return
	}
	if x.prev != 0 {
		g.connections[x.prev].next = x.next
	} else {
		e.head = x.next
	}
	if x.next != 0 {
		g.connections[x.next].prev = x.prev
	} else {
		e.tail = x.prev
	}
	x.prev, x.next = 0, 0
	e.bytes -= x.bytes
	e.silent--
	c.setRank(g, x.address, c.rank(e, x.exempt))
}

func (c *silentByAddress) setRank(g *Controller, i int32, rank int32) {
	list := g.addresses.list
	e := &list[i]
	if old := e.rank; old != 0 {
		if e.rankPrev != 0 {
			list[e.rankPrev].rankNext = e.rankNext
		} else {
			c.first[old] = e.rankNext
		}
		if e.rankNext != 0 {
			list[e.rankNext].rankPrev = e.rankPrev
		} else {
			c.last[old] = e.rankPrev
		}
	}
	e.rank, e.rankPrev, e.rankNext = rank, 0, 0
	if rank == 0 {
		return
	}
	e.rankPrev = c.last[rank]
	if e.rankPrev != 0 {
		list[e.rankPrev].rankNext = i
	} else {
		c.first[rank] = i
	}
	c.last[rank] = i
}

// victim returns the oldest silent client of the address that has the most of them. If that client is younger than
// MinVictimAge, it tries an address of the next rank, so that an address that replaces its connections quickly doesn't
// protect those of others.
func (c *silentByAddress) victim(g *Controller) (int32, bool) {
	for rank := maxSilentRank; rank > 0; rank-- {
		if i := c.first[rank]; i != 0 {
			t := g.addresses.list[i].head
			if g.now-g.connections[t].acceptedAt >= MinVictimAge {
				return t, true
			}
		}
	}
	return 0, false
}
