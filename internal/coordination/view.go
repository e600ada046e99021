package coordination

import (
	"time"

	"oatloft/internal/stagger"
	"oatloft/internal/subset"
)

// Config says which of the three are on. All members of a cluster must have the same.
type Config struct {
	Name          string
	Zone          string
	Balancers     int           // by the deployment's settings
	PeerTimeout   time.Duration // a member that is silent for so long is held gone
	SubsetSize    int           // servers that a balancer looks at by itself; 0 for all
	ShareReadings bool
	Stagger       bool
}

// Enabled tells whether any of the three is on.
func (c Config) Enabled() bool { return c.SubsetSize > 0 || c.ShareReadings || c.Stagger }

// Member is what another balancer is and has announced. What it has not announced is 0 or nil.
type Member struct {
	Name             string
	Zone             string
	Leaving          bool
	ExplorationSlots int
	SlotAge          time.Duration // since its last exploration slot began
	Demand           float64       // choices per second
	ReferenceSize    int
	Subset           []uint32 // servers of its subset, by ServerHash
	Readings         map[string]stagger.Report
	Reported         bool // it has made its announcement
}

// countsForLayout tells whether a member takes part in subsets and readings.
func (m *Member) countsForLayout() bool { return m.Reported && !m.Leaving }

// View is who is present.
type View struct {
	Stale   bool // nothing in it counts
	Known   int  // all members not forgotten, including those held gone, and this one
	Members []Member
}

// Server is what this balancer knows of a server by itself.
type Server struct {
	ID           string
	Zone         string
	Live         bool
	WarmingUp    bool // it started not long ago: what may be sent there is bounded by a budget
	Load         float64
	ReadAt       time.Duration // time of its own reading; 0 for none
	FailedProbes int
}

// Local is what this balancer knows of itself.
type Local struct {
	Servers          []Server
	ExplorationSlots int
	SlotAge          time.Duration
	SlotPeriod       time.Duration
	Demand           float64
	Rejected         int64 // so far
}

// liveServers returns the live servers as the subset's planning takes them.
func (l *Local) liveServers() (servers []subset.Server) {
	for _, s := range l.Servers {
		if s.Live {
			servers = append(servers, subset.Server{ID: s.ID, Zone: s.Zone})
		}
	}
	return servers
}

// ServerHash identifies a server in announced subsets, since ids can be long.
func ServerHash(server string) uint32 { return uint32(subset.Rank("", server) >> 32) }
