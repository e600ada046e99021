package admission

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// clientRecord is one known client. It is in one of two segments, each ordered by establishedAt: on probation after its
// first long established flow, and tenured after another one that began at least RememberFor/16 later.
type clientRecord struct {
	key            uint64
	network        key
	knownSince     time.Duration // when it became known
	establishedAt  time.Duration // when it last had an established flow
	mutedUntil     time.Duration // it counts as unknown until then
	activeRequests [2]int32      // requests at once: by claimants, by the client itself
	tenured        bool
	prev, next     int32
}

// knownTable holds the known clients, as a segmented LRU cache. New clients evict only clients on probation; a tenured
// client goes back on probation only when another becomes tenured. So many clients that establish one flow each, at the
// cost of a descriptor for EstablishedFor, can't evict the tenured ones. One network gets at most MaxPerNetwork
// records.
type knownTable struct {
	cfg        Reserve
	seed       uint64
	records    []clientRecord
	index      map[uint64]int32
	perNetwork map[key]int32
	free       []int32
	head       [2]int32
	tail       [2]int32
	sizes      [2]int
}

func (k *knownTable) init(cfg Reserve, seed uint64) {
	k.cfg, k.seed = cfg, seed
	k.records, k.index, k.perNetwork = make([]clientRecord, 1), map[uint64]int32{}, map[key]int32{}
}

// keyOf returns a client's identity as a seeded hash, so that clients can't choose its value.
func (k *knownTable) keyOf(by Identity, who ClaimedIdentity, addr key) uint64 {
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

func (k *knownTable) lookup(id uint64, now time.Duration) *clientRecord {
	if i, ok := k.index[id]; ok && now-k.records[i].establishedAt <= k.cfg.RememberFor {
		return &k.records[i]
	}
	return nil
}

func (k *knownTable) contains(id uint64) bool { return k.index[id] != 0 }

// rank returns the rank of a client that presents this identity from this network.
func (k *knownTable) rank(id uint64, network key, now time.Duration) Rank {
	r := k.lookup(id, now)
	switch {
	case r == nil || r.mutedUntil > now:
		return Unknown
	case r.network != network && int(r.activeRequests[0]) < k.cfg.MaxPerClient:
		return Claimant
	case r.network == network && int(r.activeRequests[1]) < k.cfg.MaxPerClient:
		return Known // counted apart from Claimant, so that claimants can't use up a known client's requests
	}
	return Unknown
}

// hasNetwork reports whether the network is that of any known client.
func (k *knownTable) hasNetwork(network key) bool { return k.perNetwork[network] > 0 }

func (k *knownTable) addRequests(id uint64, as Rank, n int32) {
	if i, ok := k.index[id]; ok && as != Unknown {
		u := &k.records[i].activeRequests[as-Claimant]
		*u = max(0, *u+n)
	}
}

func (k *knownTable) mute(id uint64, now time.Duration) {
	if i, ok := k.index[id]; ok {
		k.records[i].mutedUntil = now + k.cfg.MuteFor
	}
}

// recordEstablished records that a client has an established flow that began at the time since. It reports whether the
// client became known by this call.
func (k *knownTable) recordEstablished(id uint64, network key, now, since time.Duration) bool {
	if i, ok := k.index[id]; ok {
		r := &k.records[i]
		again := since > r.knownSince+k.cfg.RememberFor/16
		if r.network != network && since > r.establishedAt {
			// The client changed its network. Only one network counts as its own, so if another client uses its key, the
			// client loses its rank only until it establishes a flow again.
			if k.perNetwork[network] < int32(k.cfg.MaxPerNetwork) {
				k.releaseNetwork(r.network)
				k.perNetwork[network]++
				r.network = network
			}
		}
		r.establishedAt = now
		k.unlink(i)
		if again && !r.tenured {
			k.limitTenured()
			r.tenured = true
		}
		k.link(i)
		return false
	}
	if k.perNetwork[network] >= int32(k.cfg.MaxPerNetwork) {
		return false
	}
	if len(k.index) >= k.cfg.Max {
		if k.head[0] == 0 {
			return false
		}
		k.remove(k.head[0])
	}
	k.add(clientRecord{key: id, network: network, knownSince: now, establishedAt: now})
	return true
}

// limitTenured keeps a quarter of the records for clients on probation. If the tenured segment is full, its least
// recently established client goes back on probation.
func (k *knownTable) limitTenured() {
	if k.sizes[1] < k.cfg.Max-k.cfg.Max/4 {
		return
	}
	i := k.head[1]
	k.unlink(i)
	k.records[i].tenured = false
	k.link(i)
}

func (k *knownTable) add(r clientRecord) {
	var i int32
	if n := len(k.free); n > 0 {
		i, k.free = k.free[n-1], k.free[:n-1]
		k.records[i] = r
	} else {
		i = int32(len(k.records))
		k.records = append(k.records, r)
	}
	k.index[r.key] = i
	k.perNetwork[r.network]++
	k.link(i)
}

func (k *knownTable) releaseNetwork(network key) {
	if k.perNetwork[network]--; k.perNetwork[network] <= 0 {
		delete(k.perNetwork, network)
	}
}

func (k *knownTable) remove(i int32) {
	k.unlink(i)
	delete(k.index, k.records[i].key)
	k.releaseNetwork(k.records[i].network)
	k.records[i] = clientRecord{}
	k.free = append(k.free, i)
}

// expire removes clients that have had no established flow for RememberFor, and returns how many.
func (k *knownTable) expire(now time.Duration) (n int64) {
	for segment := range k.head {
		for i := k.head[segment]; i != 0 && now-k.records[i].establishedAt > k.cfg.RememberFor; i = k.head[segment] {
			k.remove(i)
			n++
		}
	}
	return n
}

func segment(r *clientRecord) int {
	if r.tenured {
		return 1
	}
	return 0
}

func (k *knownTable) link(i int32) {
	r := &k.records[i]
	s := segment(r)
	r.prev, r.next = k.tail[s], 0
	if r.prev != 0 {
		k.records[r.prev].next = i
	} else {
		k.head[s] = i
	}
	k.tail[s] = i
	k.sizes[s]++
}

func (k *knownTable) unlink(i int32) {
	r := &k.records[i]
	s := segment(r)
	if r.prev != 0 {
		k.records[r.prev].next = r.next
	} else {
		k.head[s] = r.next
	}
	if r.next != 0 {
		k.records[r.next].prev = r.prev
	} else {
		k.tail[s] = r.prev
	}
	k.sizes[s]--
}

// KnownClient is one known client in a form for storage. Age is the time since its last established flow.
type KnownClient struct {
	ID      uint64
	Network [2]uint64
	Age     time.Duration
	Tenured bool
}

// KnownClients returns the known clients, the least recently established first, and the seed that their IDs depend on.
func (g *Controller) KnownClients() (seed uint64, list []KnownClient) {
	k := &g.known
	for s := range k.head {
		for i := k.head[s]; i != 0; i = k.records[i].next {
			r := &k.records[i]
			list = append(list, KnownClient{r.key, [2]uint64{r.network.hi, r.network.lo}, g.now - r.establishedAt, r.tenured})
		}
	}
	slices.SortStableFunc(list, func(a, b KnownClient) int { return cmp.Compare(b.Age, a.Age) })
	return k.seed, list
}

// Restore loads a list returned by KnownClients, and returns how many clients it loaded. It loads none once a
// connection has been accepted or a client is known. Within the limits of the settings, the most recently established
// clients are preferred.
func (g *Controller) Restore(now time.Duration, seed uint64, list []KnownClient) int {
	g.setTime(now)
	k := &g.known
	if len(g.connections) > 1 || len(k.index) > 0 {
		return 0
	}
	k.seed = seed
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b KnownClient) int { return cmp.Compare(a.Age, b.Age) })
	keep := list[:0]
	perNetwork, tenured := map[key]int{}, 0
	for _, c := range list {
		network := key{c.Network[0], c.Network[1]}
		if c.Age < 0 || c.Age > k.cfg.RememberFor || len(keep) >= k.cfg.Max || perNetwork[network] >= k.cfg.MaxPerNetwork ||
			k.index[c.ID] != 0 {
			continue
		}
		if c.Tenured = c.Tenured && tenured < k.cfg.Max-k.cfg.Max/4; c.Tenured {
			tenured++
		}
		perNetwork[network]++
		k.index[c.ID] = -1 // marks duplicates; add sets the index
		keep = append(keep, c)
	}
	for _, c := range slices.Backward(keep) {
		k.add(clientRecord{key: c.ID, network: key{c.Network[0], c.Network[1]}, knownSince: g.now - c.Age,
			establishedAt: g.now - c.Age, tenured: c.Tenured})
	}
	return len(keep)
}
