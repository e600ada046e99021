// Package consensus is the log of settled decisions among balancers: what one member proposes is settled once most of the
// voters have it on disk, and every voter applies the same entries in the same order. It owns the voters' folder
// (store.go), the stepping of go.etcd.io/raft (core.go, engine.go), who holds a vote (draw.go, decide.go, seat.go) and the
// calls between members (wire.go). It must never say what an entry means (that is the Machine's), never stand on the
// data's goroutine, and never bring an old vote back: a voter's number is drawn anew with each new folder.
//
// Members that hold no vote, and those that are no candidates at all, keep nothing on disk and run no raft. They only
// know who leads, and call it.
package consensus

import (
	"context"
	"log/slog"
	"net"
	"slices"
	"time"
)

// Machine is the replicated state. All calls come from one goroutine of the node and must not block. Snapshot must be a
// function of the entries applied alone, so that it is the same at all voters.
type Machine interface {
	Apply(index uint64, entry []byte)
	Snapshot() []byte
	Restore(index uint64, snapshot []byte) error
}

// Candidate is a member that may hold a vote.
type Candidate struct {
	Name string
	Zone string
	Addr string // IP and port that other members call
}

// Handler answers other members' calls. It runs on goroutines of the transport, several at a time. Advice in an error of
// it reaches the caller.
type Handler func(ctx context.Context, from, method string, body []byte) ([]byte, error)

// Config is what a member is started with. Zero values of what is a number or a time stand for the defaults.
type Config struct {
	Cluster    string // members of another cluster are refused, and so is its folder
	Name       string
	Listen     string            // where others call; "" for a member that is no candidate, and listens nowhere
	Candidates []Candidate       // who may hold a vote, the same list in the same order at all members
	Voters     int               // how many of them do, 1 to 7; 3 by default, or all where there are fewer
	Reach      map[string]string // by name, where to call in place of a candidate's address
	Folder     string            // made if missing, mode 0700

	Tick          time.Duration // 50 ms; an election starts after 10 to 20 of them without a leader
	ReplaceAfter  time.Duration // a voter that is silent for so long loses its vote to another candidate; 0 for never
	SnapshotEvery uint64        // entries; 1000
	KeepEntries   uint64        // entries kept behind a snapshot for voters that lag; 500
	Seed          uint64        // of the order in which others are asked

	kept  int64        // bytes of entries that are kept at most, about; a quarter of it stays behind a snapshot
	fault func() error // a test's: what a write to the folder ends with, in place of being done
}

const (
	electionTicks  = 10
	heartbeatTicks = 2
	maxVoters      = 7
	maxEntry       = 1 << 20 // bytes of one entry
)

// withDefaults fills in what is zero, and checks.
func (c Config) withDefaults() (Config, error) {
	bad := func(field, why, do string) error { return &Misconfigured{Field: field, Why: why, Do: do} }
	switch {
	case c.Cluster == "" || len(c.Cluster) > 128:
		return c, bad("cluster", "it needs a name of 1 to 128 bytes", "set the same cluster's name at all balancers")
	case c.Name == "" || len(c.Name) > 128:
		return c, bad("name", "it needs 1 to 128 bytes", "give each balancer a name of its own")
	case len(c.Candidates) == 0 || len(c.Candidates) > 64:
		return c, bad("members", "1 to 64 of them are needed", "list the balancers that may hold a vote, the same list in the same order at all")
	case c.Voters < 0 || c.Voters > maxVoters:
		return c, bad("voters", "there can be 1 to 7", "choose 3 or 5")
	case c.Voters > len(c.Candidates):
		return c, bad("voters", "there are fewer members than that", "list more members, or lower the number of voters")
	}
	seen := map[string]bool{}
	for _, k := range c.Candidates {
		if k.Name == "" || len(k.Name) > 128 || seen[k.Name] {
			return c, bad("members", "each needs a name of its own; "+quoted(k.Name)+" has none", "list each balancer once")
		}
		if seen[k.Name] = true; !address(k.Addr) {
			return c, bad("members", quoted(k.Name)+" has no IP address and port that others could call: "+quoted(k.Addr), "write it as 10.0.0.1:7100")
		}
	}
	for name, at := range c.Reach {
		if !seen[name] || !address(at) {
			return c, bad("reach", quoted(name)+" is no member, or "+quoted(at)+" no IP address and port", "name members of the list, and where to call them from here")
		}
	}
	if c.Voters == 0 {
		c.Voters = min(3, len(c.Candidates))
	}
	if c.Listen != "" {
		switch {
		case !seen[c.Name]:
			return c, bad("listen", quoted(c.Name)+" is not among the members that may hold a vote", "list it, or leave listen empty")
		case !address(c.Listen):
			return c, bad("listen", quoted(c.Listen)+" is no IP address and port", "write it as 10.0.0.1:7100")
		case c.Folder == "":
			return c, bad("folder", "whoever may hold a vote needs one", "name a folder on a disk that outlives restarts")
		}
	}
	def := func(x *time.Duration, y time.Duration) {
		if *x <= 0 {
			*x = y
		}
	}
	def(&c.Tick, 50*time.Millisecond)
	if c.SnapshotEvery == 0 {
		c.SnapshotEvery = 1000
	}
	if c.kept == 0 {
		c.kept = maxKept
	}
	if c.KeepEntries == 0 {
		c.KeepEntries = 500
	}
	return c, nil
}

// ticks is d in ticks, rounded up.
func (c *Config) ticks(d time.Duration) int { return int((d + c.Tick - 1) / c.Tick) }

// candidate finds one by its name; nil if there is none.
func (c *Config) candidate(name string) *Candidate {
	if i := slices.IndexFunc(c.Candidates, func(k Candidate) bool { return k.Name == name }); i >= 0 {
		return &c.Candidates[i]
	}
	return nil
}

// reach is where to call name from here; "" if it is no candidate.
func (c *Config) reach(name string) string {
	if at, ok := c.Reach[name]; ok {
		return at
	}
	if k := c.candidate(name); k != nil {
		return k.Addr
	}
	return ""
}

func address(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil && port != "" && port != "0"
}

// Lead is who leads, as known here.
type Lead struct {
	Leader string // its name; "" while none is known
	Addr   string // where it is called from here
	Term   uint64
	Mine   bool // this member leads
}

// Voter is one of those that hold a vote, or are about to (Learner).
type Voter struct {
	ID      uint64
	Name    string
	Zone    string
	Learner bool
	For     string        // the voter that a learner is to stand in for; ""
	Match   uint64        // the last entry that the leader knows it to have; 0 elsewhere
	Quiet   time.Duration // since the leader heard of it; 0 elsewhere
}

// Role is what a member does in the agreement.
type Role string

// The roles.
const (
	Reader    Role = "reader"    // holds no vote, and calls the leader
	Waiting   Role = "waiting"   // another process has the folder or the address: takes over once that one ends
	Founding  Role = "founding"  // is to hold a vote, and waits for all the others that are
	Returning Role = "returning" // has lost its folder, and asks to come back as a new voter
	Learner   Role = "learner"
	Follower  Role = "follower"
	Leading   Role = "leading"
	Broken    Role = "broken" // its folder can't be written or trusted: it doesn't act. Status.Fault says why
)

// Status is how this member stands.
type Status struct {
	Role     Role
	ID       uint64 // of its folder; 0 without one
	Founded  uint64 // which founding it belongs to; 0 for none yet
	Lead     Lead
	Voters   []Voter // by name
	Applied  uint64
	Settled  uint64
	First    uint64 // of the entries kept
	Bytes    int64  // of the entries kept
	In, Out  int64  // bytes of calls and their answers, since the start
	Dropped  int64  // messages to voters that found their queue full or nobody there
	Refused  int64  // calls turned down since too many were under way
	Fault    error  // why it is Broken; nil otherwise
	Awaiting string // in Founding: whom it waits for
}

// Start begins. A folder that can't be trusted, and settings that don't fit, are errors here; whatever comes later is told
// by Status and logged, and this member stays as a reader.
func Start(cfg Config, m Machine, h Handler, log *slog.Logger) (*Node, error) {
	cfg, err := cfg.withDefaults()
	if err != nil {
		return nil, err
	}
	return start(cfg, m, h, log)
}
