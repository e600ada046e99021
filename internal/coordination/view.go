package coordination

import (
	"time"

	"oatloft/internal/stagger"
	"oatloft/internal/subset"
)

// Config selects the functions in use: subsets, shared readings and staggering. SubsetSize, ShareReadings and Stagger
// must be the same in all members of a cluster.
type Config struct {
	Name          string
	Zone          string
	Balancers     int           // as configured for the deployment
	PeerTimeout   time.Duration // silence after which a member is declared gone
	SubsetSize    int           // servers that a balancer probes itself; 0 for all
	ShareReadings bool
	Stagger       bool
}

// Enabled reports whether any of the three functions is in use.
func (c Config) Enabled() bool { return c.SubsetSize > 0 || c.ShareReadings || c.Stagger }

// Member is another balancer with its announcement. Values that it has not announced are 0 or nil.
type Member struct {
	Name             string
	Zone             string
	Leaving          bool
	ExplorationSlots int                       // number of slots so far
	SlotAge          time.Duration             // since its last exploration slot began
	Demand           float64                   // placements per second
	ReferenceSize    int                       // fleet size by which it divides bounded budgets
	Subset           []uint32                  // hashes of the servers in its subset, by ServerHash
	Readings         map[string]stagger.Report // by server
	Reported         bool                      // its announcement has been received
}

// countsForLayout reports whether a member is given a subset and servers to read.
func (m *Member) countsForLayout() bool { return m.Reported && !m.Leaving }

// View lists the other members that are present.
type View struct {
	Stale   bool // the members must be ignored
	Known   int  // number of all members not yet forgotten, including gone ones and this one
	Members []Member
}

// Server is this balancer's own information about a server.
type Server struct {
	ID           string
	Zone         string
	Live         bool
	WarmingUp    bool          // it started recently, so a budget limits its new requests
	Load         float64       // relative to its capacity
	ReadAt       time.Duration // time of this balancer's own reading; 0 for none
	FailedProbes int           // consecutive
}

// LocalState is the local state of this balancer.
type LocalState struct {
	Servers          []Server
	ExplorationSlots int           // number of slots so far
	SlotAge          time.Duration // since the last exploration slot began
	SlotPeriod       time.Duration
	Demand           float64 // placements per second
	Rejected         int64   // number of rejected requests so far
}

// liveServers returns the live servers in the form that subset.Plan takes.
func (l *LocalState) liveServers() (servers []subset.Server) {
	for _, s := range l.Servers {
		if s.Live {
			servers = append(servers, subset.Server{ID: s.ID, Zone: s.Zone})
		}
	}
	return servers
}

// ServerHash returns the hash that identifies a server in announced subsets, because ids can be long.
func ServerHash(server string) uint32 { return uint32(subset.Rank("", server) >> 32) }
