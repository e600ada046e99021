package coordination

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"oatloft/internal/stagger"
	"oatloft/internal/subset"
)

// layout assigns subsets of the servers to members, and to each server the members that read it for all. Balancers with
// the same lists compute the same layout.
type layout struct {
	subsets map[string][]string // servers by member
	readers map[string][]string // members by server
}

// Layouts caches layouts by the digest of their inputs, for coordinators in one process to share. A nil *Layouts caches
// nothing. It is safe for concurrent use.
type Layouts struct {
	mu       sync.Mutex
	byDigest map[uint64]*layout
}

// maxLayouts is the number of cached layouts at which the cache is cleared.
const maxLayouts = 64

func (l *Layouts) get(digest uint64) *layout {
	if l == nil {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.byDigest[digest]
}

func (l *Layouts) put(digest uint64, planned *layout) {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.byDigest) >= maxLayouts || l.byDigest == nil {
		l.byDigest = map[uint64]*layout{}
	}
	l.byDigest[digest] = planned
}

// updateLayout updates this balancer's subset and assigned servers if the inputs of the layout have changed. With a
// stale view, or until a new balancer has had time to learn of the others, it has neither.
func (c *Coordinator) updateLayout(now time.Duration, v View, local LocalState) {
	if v.Stale || now-c.startedAt < c.cfg.PeerTimeout/startDelayDivisor {
		c.subset, c.assigned, c.layoutDigest = nil, nil, 0
		return
	}
	digest := c.digest(v, local)
	if digest == c.layoutDigest { // true in most updates
		return
	}
	servers := local.liveServers()
	planned := c.Layouts.get(digest)
	if planned == nil {
		c.Counts.Plans++
		planned = c.plan(c.layoutMembers(v, servers), servers)
		c.Layouts.put(digest, planned)
	}
	c.layoutDigest, c.subset, c.assigned = digest, planned.subsets[c.cfg.Name], nil
	for _, s := range servers {
		if slices.Contains(planned.readers[s.ID], c.cfg.Name) {
			c.assigned = append(c.assigned, s.ID)
		}
	}
}

// digest returns a hash of the inputs of a layout: the live servers, and the members with their subsets in the order of
// their names. Members are sorted in v.
func (c *Coordinator) digest(v View, local LocalState) uint64 {
	d := digestInput(c.digestInput[:0])
	for _, s := range local.Servers {
		if s.Live {
			d.addStrings(s.ID, s.Zone)
		}
	}
	d.addStrings("")
	self := Member{Name: c.cfg.Name, Zone: c.cfg.Zone, Reported: true}
	for _, id := range c.subset {
		self.Subset = append(self.Subset, ServerHash(id))
	}
	place, _ := slices.BinarySearchFunc(v.Members, self, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	for i := range v.Members[:place] {
		d.addMember(&v.Members[i])
	}
	d.addMember(&self)
	for i := range v.Members[place:] {
		d.addMember(&v.Members[place+i])
	}
	c.digestInput = d
	return xxhash.Sum64(d)
}

// digestInput is the input of the hash function.
type digestInput []byte

func (d *digestInput) addStrings(parts ...string) {
	for _, part := range parts {
		*d = append(append(*d, part...), 0)
	}
}

func (d *digestInput) addMember(m *Member) {
	if !m.countsForLayout() {
		return
	}
	d.addStrings(m.Name, m.Zone)
	for _, hash := range m.Subset {
		*d = binary.BigEndian.AppendUint32(*d, hash)
	}
	d.addStrings("")
}

// layoutMembers returns the members in the layout, this one first, with the ids of the servers in their announced
// subsets.
func (c *Coordinator) layoutMembers(v View, servers []subset.Server) []subset.Member {
	byHash := make(map[uint32]string, len(servers))
	for _, s := range servers {
		byHash[ServerHash(s.ID)] = s.ID
	}
	members := []subset.Member{{Name: c.cfg.Name, Zone: c.cfg.Zone, Current: c.subset}}
	for i := range v.Members {
		m := &v.Members[i]
		if !m.countsForLayout() {
			continue
		}
		member := subset.Member{Name: m.Name, Zone: m.Zone, Current: make([]string, 0, len(m.Subset))}
		for _, hash := range m.Subset {
			if id, ok := byHash[hash]; ok {
				member.Current = append(member.Current, id)
			}
		}
		members = append(members, member)
	}
	return members
}

// plan computes a layout. The readers of a server are chosen among the members that have it in their subsets, if there
// are enough. A balancer without other members is assigned no servers to read.
func (c *Coordinator) plan(members []subset.Member, servers []subset.Server) *layout {
	planned := &layout{readers: map[string][]string{}}
	probers := map[string][]string{}
	if c.cfg.SubsetSize > 0 {
		cfg := subset.Config{Size: c.cfg.SubsetSize, MinBalancers: minBalancers}
		planned.subsets = subset.Plan(members, servers, cfg)
		for _, m := range members {
			for _, id := range planned.subsets[m.Name] {
				probers[id] = append(probers[id], m.Name)
			}
		}
	}
	if !c.cfg.ShareReadings || len(members) < 2 {
		return planned
	}
	names := make([]string, len(members))
	for i, m := range members {
		names[i] = m.Name
	}
	for _, s := range servers {
		readers := names
		if l := probers[s.ID]; len(l) >= min(stagger.ReadersPerServer, len(names)) {
			readers = l
		}
		planned.readers[s.ID] = stagger.AssignReaders(s.ID, readers)
	}
	return planned
}
