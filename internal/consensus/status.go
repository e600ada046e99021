package consensus

import (
	"cmp"
	"slices"
	"time"

	"oatloft/internal/hint"
)

// LeaderInfo is who leads, as known here.
type LeaderInfo struct {
	Name    string // "" while none is known
	Address string // where it is called from here
	Term    uint64
	IsSelf  bool // this member leads
}

// Voter is one of those that hold a vote, or are about to (Learner).
type Voter struct {
	ID           uint64
	Name         string
	Zone         string
	Learner      bool
	ReplacesName string        // the voter whose vote a learner is to get; "" for none
	Match        uint64        // the last entry that the leader knows it to have; 0 elsewhere
	Silence      time.Duration // since the leader heard from it; 0 elsewhere
}

// Role is what a member does in the agreement.
type Role string

// The roles. Operators read them by these texts.
const (
	Reader        Role = "reader"    // holds no vote, and calls the leader
	Waiting       Role = "waiting"   // another process has the folder or the address: takes over once that one ends
	Bootstrapping Role = "founding"  // is to hold a vote, and waits for all the others that are
	Rejoining     Role = "returning" // has lost its folder, and asks to come back as a new voter
	Learner       Role = "learner"   // follows without a vote
	Follower      Role = "follower"
	Leading       Role = "leading"
	Faulty        Role = "broken" // its folder cannot be written or trusted, and it does not vote: Status.Fault says why
)

// Status is what a member reports of itself.
type Status struct {
	Role       Role
	ID         uint64 // of its folder; 0 without one
	Bootstrap  uint64 // number of the bootstrap that it belongs to; 0 for none yet
	Leader     LeaderInfo
	Voters     []Voter // by name
	Applied    uint64  // the last entry that the Machine has
	Committed  uint64  // the last entry that a majority has
	FirstEntry uint64  // of the entries kept
	EntryBytes int64   // of the entries kept
	BytesIn    int64   // of calls and their answers, since the start
	BytesOut   int64
	Dropped    int64  // messages to voters that found their queue full or nobody there
	Refused    int64  // calls refused since too many were under way
	Fault      error  // why it is Faulty; nil otherwise
	Awaiting   string // while Bootstrapping: whom it waits for
}

// Status returns this member's status.
func (n *Node) Status() Status {
	s := Status{
		Leader:   n.Leader(),
		BytesIn:  n.transport.bytesIn.Load(),
		BytesOut: n.transport.bytesOut.Load(),
		Dropped:  n.dropped.Load(),
		Refused:  n.transport.refused.Load(),
	}
	n.mu.Lock()
	s.Role, s.Fault, s.Awaiting = n.role, n.fault, n.awaiting
	n.mu.Unlock()
	if own := n.status.Load(); own != nil {
		s.ID, s.Bootstrap = own.ID, own.Bootstrap.ID
	}
	if r := n.runner.Load(); r != nil {
		s.addReplica(r.state.Load(), n.cfg.Tick)
	}
	return s
}

// addReplica adds what the replica tells.
func (s *Status) addReplica(state *runnerState, tick time.Duration) {
	s.Role = Follower
	switch {
	case state.isLeader:
		s.Role = Leading
	case state.isLearner:
		s.Role = Learner
	}
	s.Applied = state.applied
	s.Committed = state.committed
	s.FirstEntry = state.firstEntry
	s.EntryBytes = state.entryBytes
	for id, m := range state.members {
		v := Voter{ID: id, Name: m.Name, Zone: m.Zone, Learner: !slices.Contains(state.conf.GetVoters(), id)}
		if m.Replaces != 0 {
			v.ReplacesName = state.members[m.Replaces].Name
		}
		if i := slices.IndexFunc(state.view, func(view memberView) bool { return view.ID == id }); i >= 0 {
			v.Match = state.view[i].Match
			v.Silence = time.Duration(state.view[i].SilentTicks) * tick
		}
		s.Voters = append(s.Voters, v)
	}
	slices.SortFunc(s.Voters, func(a, b Voter) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID))
	})
}

// setRole notes what this member does, and logs what is new of it.
func (n *Node) setRole(role Role, fault error, awaiting string) {
	n.mu.Lock()
	oldRole, oldFault, oldAwaiting := n.role, n.fault, n.awaiting
	n.role, n.fault, n.awaiting = role, fault, awaiting
	n.mu.Unlock()
	switch {
	case fault != nil && (oldFault == nil || oldFault.Error() != fault.Error()):
		n.log.Error("revisions: this member holds no vote", "err", hint.Line(fault))
	case fault != nil || oldRole == role && oldAwaiting == awaiting:
	case role == Bootstrapping && awaiting != "":
		n.log.Info("revisions: all voters are needed once, for the founding", "awaiting", awaiting)
	case role == Rejoining:
		n.log.Warn("revisions: the folder is new, and the cluster isn't: coming back as a new voter")
	case role == Waiting:
		n.log.Info("revisions: another process of this balancer holds the vote", "folder", n.cfg.Folder)
	}
}
