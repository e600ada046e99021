package consensus

import (
	"cmp"
	"slices"
	"time"

	"oatloft/internal/hint"
)

// LeaderInfo describes the leader as known to this member.
type LeaderInfo struct {
	Name    string // "" while none is known
	Address string // address at which it is called from here
	Term    uint64
	IsSelf  bool // this member is the leader
}

// Voter is a member that holds a vote or, as a learner, is about to get one.
type Voter struct {
	ID           uint64
	Name         string
	Zone         string
	Learner      bool
	ReplacesName string        // of a learner: the voter that it replaces; "" for none
	Match        uint64        // index of the last entry that it is known to have; set at the leader only
	Silence      time.Duration // time since its last message; set at the leader only
}

// Role is a member's role in the replicated log.
type Role string

// Roles of a member. The texts are part of the status output.
const (
	Reader        Role = "reader"    // holds no vote and calls the leader
	Waiting       Role = "waiting"   // another process has the folder or the address; takes over once that one ends
	Bootstrapping Role = "founding"  // is one of the first voters and waits for all the others
	Rejoining     Role = "returning" // has lost its folder and asks to rejoin as a new voter
	Learner       Role = "learner"   // receives the log but has no vote
	Follower      Role = "follower"
	Leading       Role = "leading"
	Faulty        Role = "broken" // does not vote because its folder cannot be written or trusted, see Status.Fault
)

// Status is the status of a member.
type Status struct {
	Role       Role
	ID         uint64 // of its folder; 0 without one
	Bootstrap  uint64 // ID of its bootstrap; 0 for none yet
	Leader     LeaderInfo
	Voters     []Voter // in order of their names
	Applied    uint64  // index of the last entry applied to the Machine
	Committed  uint64  // index of the last committed entry
	FirstEntry uint64  // index of the first entry kept
	EntryBytes int64   // size of the entries kept
	BytesIn    int64   // received on connections to other members, since the start
	BytesOut   int64   // sent on connections to other members, since the start
	Dropped    int64   // messages to voters dropped because the queue was full or the voter unreachable
	Refused    int64   // connections and calls refused because a limit was reached
	Fault      error   // cause if Role is Faulty; nil otherwise
	Awaiting   string  // name of the member waited for while Bootstrapping
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

// addReplica adds the state of the replica.
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

// setRole records this member's role and logs changes.
func (n *Node) setRole(role Role, fault error, awaiting string) {
	n.mu.Lock()
	oldRole, oldFault, oldAwaiting := n.role, n.fault, n.awaiting
	n.role, n.fault, n.awaiting = role, fault, awaiting
	n.mu.Unlock()
	switch {
	case fault != nil && (oldFault == nil || oldFault.Error() != fault.Error()):
		n.log.Error("revisions: this member cannot vote", "err", hint.Line(fault))
	case fault != nil || oldRole == role && oldAwaiting == awaiting:
	case role == Bootstrapping && awaiting != "":
		n.log.Info("revisions: waiting for all voters, which the bootstrap needs once", "awaiting", awaiting)
	case role == Rejoining:
		n.log.Warn("revisions: new folder in an existing cluster, rejoining as a new voter")
	case role == Waiting:
		n.log.Info("revisions: another process of this balancer holds the vote", "folder", n.cfg.Folder)
	}
}
