package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// record is one known client. In the list it stands in one of two parts, each in the order of its last
// standing: on probation after its first, tenured once it has stood again at least RememberFor/16 later.
type record struct {
	key        uint64
	net        key
	first      time.Duration // when it became known
	last       time.Duration // when it was last seen standing
	muted      time.Duration
	using      [2]int32 // transactions at once: by claimants, by itself
	tenured    bool
	prev, next int32
}

// knownTable remembers clients in two parts. Newcomers evict each other only: who is tenured is evicted by others
// who are, so a crowd of strangers that stand once, at the price of a descriptor for StandFor each, can't push
// them out. One network gets MaxPerNetwork places.
type knownTable struct {
	cfg    Reserve
	seed   uint64
	list   []record
	index  map[uint64]int32
	byNet  map[key]int32
	free   []int32
	first  [2]int32
	last   [2]int32
	counts [2]int
}

func (k *knownTable) init(cfg Reserve, seed uint64) {
	k.cfg, k.seed = cfg, seed
	k.list, k.index, k.byNet = make([]record, 1), map[uint64]int32{}, map[key]int32{}
}

// keyOf is a client's identity as a number that outsiders can't choose.
func (k *knownTable) keyOf(by Identity, who Who, addr key) uint64 {
	if by == ByAddress {
		return mix(addr.hi^k.seed, addr.lo)
	}
	var d xxhash.Digest
	d.ResetWithSeed(k.seed)
	if by == ByTenantAndFlow {
		_, _ = d.WriteString(who.Tenant)
		_, _ = d.WriteString("\x00")
	}
	_, _ = d.WriteString(who.Key)
	return d.Sum64()
}

func (k *knownTable) get(id uint64, now time.Duration) *record {
	if i, ok := k.index[id]; ok && now-k.list[i].last <= k.cfg.RememberFor {
		return &k.list[i]
	}
	return nil
}

func (k *knownTable) has(id uint64) bool { return k.index[id] != 0 }

// rank says what a client that presents this identity from this network counts as.
func (k *knownTable) rank(id uint64, net key, now time.Duration) Rank {
	r := k.get(id, now)
	switch {
	case r == nil || r.muted > now:
		return Stranger
	case r.net != net && int(r.using[0]) < k.cfg.MaxPerClient:
		return Claimant
	case r.net == net && int(r.using[1]) < k.cfg.MaxPerClient: // claimants can't use these up
		return Known
	}
	return Stranger
}

// seenAt tells that a known client was last seen in that network.
func (k *knownTable) seenAt(net key) bool { return k.byNet[net] > 0 }

func (k *knownTable) use(id uint64, as Rank, n int32) {
	if i, ok := k.index[id]; ok && as != Stranger {
		u := &k.list[i].using[as-Claimant]
		*u = max(0, *u+n)
	}
}

func (k *knownTable) mute(id uint64, now time.Duration) {
	if i, ok := k.index[id]; ok {
		k.list[i].muted = now + k.cfg.MuteFor
	}
}

// stood remembers that a client has stood, from since on. It tells whether the client is newly known.
func (k *knownTable) stood(id uint64, net key, now, since time.Duration) bool {
	if i, ok := k.index[id]; ok {
		r := &k.list[i]
		again := since > r.first+k.cfg.RememberFor/16
		if r.net != net && since > r.last {
			// It has moved: no two networks count as its own, so that a thief's standing is its owner's loss
			// for as long only as the owner doesn't stand again.
			if k.byNet[net] < int32(k.cfg.MaxPerNetwork) {
				k.leave(r.net)
				k.byNet[net]++
				r.net = net
			}
		}
		r.last = now
		k.unlink(i)
		if again && !r.tenured {
			k.makeRoomForTenure()
			r.tenured = true
		}
		k.link(i)
		return false
	}
	if k.byNet[net] >= int32(k.cfg.MaxPerNetwork) {
		return false
	}
	if len(k.index) >= k.cfg.Max {
		if k.first[0] == 0 {
			return false
		}
		k.drop(k.first[0])
	}
	k.add(record{key: id, net: net, first: now, last: now})
	return true
}

// makeRoomForTenure keeps a quarter of the places for those on probation: the tenured client that has been unseen
// longest goes back on probation.
func (k *knownTable) makeRoomForTenure() {
	if k.counts[1] < k.cfg.Max-k.cfg.Max/4 {
		return
	}
	i := k.first[1]
	k.unlink(i)
	k.list[i].tenured = false
	k.link(i)
}

func (k *knownTable) add(r record) {
	var i int32
	if n := len(k.free); n > 0 {
		i, k.free = k.free[n-1], k.free[:n-1]
		k.list[i] = r
	} else {
		i = int32(len(k.list))
		k.list = append(k.list, r)
	}
	k.index[r.key] = i
	k.byNet[r.net]++
	k.link(i)
}

func (k *knownTable) leave(net key) {
	if k.byNet[net]--; k.byNet[net] <= 0 {
		delete(k.byNet, net)
	}
}

func (k *knownTable) drop(i int32) {
	k.unlink(i)
	delete(k.index, k.list[i].key)
	k.leave(k.list[i].net)
	k.list[i] = record{}
	k.free = append(k.free, i)
}

// expire forgets who was not seen for too long.
func (k *knownTable) expire(now time.Duration) (n int64) {
	for part := range k.first {
		for i := k.first[part]; i != 0 && now-k.list[i].last > k.cfg.RememberFor; i = k.first[part] {
			k.drop(i)
			n++
		}
	}
	return n
}

func part(r *record) int {
	if r.tenured {
		return 1
	}
	return 0
}

func (k *knownTable) link(i int32) {
	r := &k.list[i]
	p := part(r)
	r.prev, r.next = k.last[p], 0
	if r.prev != 0 {
		k.list[r.prev].next = i
	} else {
		k.first[p] = i
	}
	k.last[p] = i
	k.counts[p]++
}

func (k *knownTable) unlink(i int32) {
	r := &k.list[i]
	p := part(r)
	if r.prev != 0 {
		k.list[r.prev].next = r.next
	} else {
		k.first[p] = r.next
	}
	if r.next != 0 {
		k.list[r.next].prev = r.prev
	} else {
		k.last[p] = r.prev
	}
	k.counts[p]--
}

// KnownClient is one known client in a form that may be kept. Age is how long ago it was last seen standing.
type KnownClient struct {
	ID      uint64
	Net     [2]uint64
	Age     time.Duration
	Tenured bool
}

// KnownClients lists who is known, the longest unseen first, and the seed that the identities hang on.
func (g *Gate) KnownClients() (seed uint64, list []KnownClient) {
	k := &g.known
	for p := range k.first {
		for i := k.first[p]; i != 0; i = k.list[i].next {
			r := &k.list[i]
			list = append(list, KnownClient{r.key, [2]uint64{r.net.hi, r.net.lo}, g.now - r.last, r.tenured})
		}
	}
	slices.SortStableFunc(list, func(a, b KnownClient) int { return cmp.Compare(b.Age, a.Age) })
	return k.seed, list
}

// Restore takes up what KnownClients listed, before the first connection. It keeps to the bounds of the
// settings, the most lately seen first, and returns how many it took.
func (g *Gate) Restore(now time.Duration, seed uint64, list []KnownClient) int {
	g.tell(now)
	k := &g.known
	if len(g.tickets) > 1 || len(k.index) > 0 {
		return 0
	}
	k.seed = seed
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b KnownClient) int { return cmp.Compare(a.Age, b.Age) })
	keep := list[:0]
	nets, tenured := map[key]int{}, 0
	for _, c := range list {
		net := key{c.Net[0], c.Net[1]}
		if c.Age < 0 || c.Age > k.cfg.RememberFor || len(keep) >= k.cfg.Max || nets[net] >= k.cfg.MaxPerNetwork ||
			k.index[c.ID] != 0 {
			continue
		}
		if c.Tenured = c.Tenured && tenured < k.cfg.Max-k.cfg.Max/4; c.Tenured {
			tenured++
		}
		nets[net]++
		k.index[c.ID] = -1 // seen; add sets it
		keep = append(keep, c)
	}
	for _, c := range slices.Backward(keep) {
		k.add(record{key: c.ID, net: key{c.Net[0], c.Net[1]}, first: g.now - c.Age, last: g.now - c.Age, tenured: c.Tenured})
	}
	return len(keep)
}
