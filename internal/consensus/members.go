package consensus

import (
	"encoding/json"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

const (
	maxRequests        = 64
	changeTimeoutTicks = 4 * electionTicks // after which a proposed change may be proposed again
)

// timedRequest is a request for a vote, and the tick at which it came.
type timedRequest struct {
	memberRequest
	tick int
}

// proposeChange proposes another set of members. Only one change is pending at a time; raft drops what comes too
// early.
func (c *replica) proposeChange(change membershipChange) {
	cc := &pb.ConfChangeV2{}
	add := func(t pb.ConfChangeType, id uint64) {
		cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: t.Enum(), NodeId: new(id)})
	}
	switch change.Kind {
	case addLearner:
		add(pb.ConfChangeAddLearnerNode, change.Member.ID)
	case promoteLearner:
		if change.Member.Replaces != 0 {
			add(pb.ConfChangeRemoveNode, change.Member.Replaces)
		}
		add(pb.ConfChangeAddNode, change.Member.ID)
	case removeMember:
		add(pb.ConfChangeRemoveNode, change.Member.ID)
	}
	context, err := json.Marshal(change.Member)
	if err != nil { // a member is numbers and texts
		return
	}
	cc.Context = context
	c.changeTick = c.ticks
	_ = c.raw.ProposeConfChange(cc) // decided again after a while if it was dropped
}

// applyConfChange takes a committed set of members.
func (c *replica) applyConfChange(cc pb.ConfChangeI) {
	v2 := cc.AsV2()
	var changed member
	_ = json.Unmarshal(
		v2.GetContext(),
		&changed,
	) // none names no member: one that is added without its record has no name here
	for _, change := range v2.GetChanges() {
		id := change.GetNodeId()
		switch change.GetType() {
		case pb.ConfChangeRemoveNode:
			delete(c.members, id)
			delete(c.lastMessageTick, id)
		case pb.ConfChangeAddLearnerNode, pb.ConfChangeAddNode:
			if changed.ID != id {
				continue
			}
			if change.GetType() == pb.ConfChangeAddNode {
				changed.Replaces = 0
			}
			c.members[id] = changed
			c.lastMessageTick[id] = c.ticks
			c.snapshotRequested = true
		}
	}
	c.conf = c.raw.ApplyConfChange(cc)
	c.changed = true
	c.changeTick = 0
}

// memberList lists the members by number.
func (c *replica) memberList() []member {
	list := make([]member, 0, len(c.members))
	for _, m := range c.members {
		list = append(list, m)
	}
	slices.SortFunc(list, compareMembers)
	return list
}

// request notes that a member asks for a vote. It replaces earlier requests of its name and, by an operator, for
// the same vote.
func (c *replica) request(r memberRequest) {
	c.requests = slices.DeleteFunc(c.requests, func(old timedRequest) bool {
		return old.Member.Name == r.Member.Name || old.Member.Replaces == r.Member.Replaces && r.ByOperator
	})
	if len(c.requests) < maxRequests {
		c.requests = append(c.requests, timedRequest{r, c.ticks})
	}
}

// nextChange is the next change towards the wanted voters; none where this replica does not lead, or a change is
// pending.
func (c *replica) nextChange() membershipChange {
	if !c.isLeader() {
		c.requests, c.changeTick = nil, 0
		return membershipChange{}
	}
	c.requests = slices.DeleteFunc(c.requests, func(r timedRequest) bool {
		_, isMember := c.members[r.Member.ID]
		return isMember || c.ticks-r.tick >= silentLearnerTicks
	})
	if c.changeTick != 0 && c.ticks-c.changeTick < changeTimeoutTicks {
		return membershipChange{}
	}
	view := c.view()
	for _, r := range c.requests {
		view.Requests = append(view.Requests, r.memberRequest)
	}
	return nextMembershipChange(view)
}

// view is what nextMembershipChange goes by; only a leader has one.
func (c *replica) view() membershipView {
	v := membershipView{
		Self:          c.id,
		TargetVoters:  c.cfg.Voters,
		ChangePending: len(c.conf.GetVotersOutgoing()) > 0,
	}
	if c.cfg.ReplaceAfter > 0 {
		v.ReplaceAfter = max(c.cfg.ticks(c.cfg.ReplaceAfter), silentVoterTicks)
	}
	c.raw.WithProgress(func(id uint64, kind raft.ProgressType, progress tracker.Progress) {
		m := memberView{
			member:      c.members[id],
			Voter:       kind == raft.ProgressTypePeer,
			CaughtUp:    progress.Match >= c.applied && progress.Match > 0,
			Match:       progress.Match,
			SilentTicks: c.ticks - c.lastMessageTick[id],
		}
		m.ID = id
		if id == c.id {
			m.SilentTicks = 0
		}
		v.Members = append(v.Members, m)
	})
	slices.SortFunc(v.Members, func(a, b memberView) int { return compareMembers(a.member, b.member) })
	return v
}
