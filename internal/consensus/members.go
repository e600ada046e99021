package consensus

import (
	"encoding/json"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
)

const (
	maxQueuedRequests  = 64                // requests for a vote
	changeTimeoutTicks = 4 * electionTicks // after which a change that was not applied may be proposed again
)

// queuedRequest is a request for a vote, and the tick at which it was received.
type queuedRequest struct {
	memberRequest
	tick int
}

// proposeChange proposes a change of the members. Only one change is pending at a time; raft drops one that is
// proposed too early.
func (r *replica) proposeChange(change membershipChange) {
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
	if err != nil { // impossible: a member consists of numbers and strings
		return
	}
	cc.Context = context
	r.changeTick = r.ticks
	_ = r.raw.ProposeConfChange(cc) // if it is dropped, it is decided on again after changeTimeoutTicks
}

// applyConfChange applies a committed change of the members.
func (r *replica) applyConfChange(cc pb.ConfChangeI) {
	v2 := cc.AsV2()
	var changed member
	_ = json.Unmarshal(
		v2.GetContext(),
		&changed,
	) // without a valid record an added member has no name here
	for _, change := range v2.GetChanges() {
		id := change.GetNodeId()
		switch change.GetType() {
		case pb.ConfChangeRemoveNode:
			delete(r.members, id)
			delete(r.lastMessageTick, id)
		case pb.ConfChangeAddLearnerNode, pb.ConfChangeAddNode:
			if changed.ID != id {
				continue
			}
			if change.GetType() == pb.ConfChangeAddNode {
				changed.Replaces = 0
			}
			r.members[id] = changed
			r.lastMessageTick[id] = r.ticks
			r.snapshotRequested = true
		}
	}
	r.conf = r.raw.ApplyConfChange(cc)
	r.changed = true
	r.changeTick = 0
}

// memberList returns the members in order of their IDs.
func (r *replica) memberList() []member {
	list := make([]member, 0, len(r.members))
	for _, m := range r.members {
		list = append(list, m)
	}
	slices.SortFunc(list, compareMembers)
	return list
}

// addRequest queues a member's request for a vote. It replaces earlier requests of the same member name and, if an
// operator asks, those for the same vote.
func (r *replica) addRequest(req memberRequest) {
	r.requests = slices.DeleteFunc(r.requests, func(old queuedRequest) bool {
		return old.Member.Name == req.Member.Name || old.Member.Replaces == req.Member.Replaces && req.ByOperator
	})
	if len(r.requests) < maxQueuedRequests {
		r.requests = append(r.requests, queuedRequest{req, r.ticks})
	}
}

// nextChange returns the next change towards the configured number of voters. There is none if this replica is not the
// leader or a change is pending.
func (r *replica) nextChange() membershipChange {
	if !r.isLeader() {
		r.requests, r.changeTick = nil, 0
		return membershipChange{}
	}
	r.requests = slices.DeleteFunc(r.requests, func(queued queuedRequest) bool {
		_, isMember := r.members[queued.Member.ID]
		return isMember || r.ticks-queued.tick >= silentLearnerTicks
	})
	if r.changeTick != 0 && r.ticks-r.changeTick < changeTimeoutTicks {
		return membershipChange{}
	}
	view := r.view()
	for _, queued := range r.requests {
		view.Requests = append(view.Requests, queued.memberRequest)
	}
	return nextMembershipChange(view)
}

// view returns the input of nextMembershipChange; only a leader has one.
func (r *replica) view() membershipView {
	v := membershipView{
		Self:          r.id,
		TargetVoters:  r.cfg.Voters,
		ChangePending: len(r.conf.GetVotersOutgoing()) > 0,
	}
	if r.cfg.ReplaceAfter > 0 {
		v.ReplaceAfter = max(r.cfg.ticks(r.cfg.ReplaceAfter), silentVoterTicks)
	}
	r.raw.WithProgress(func(id uint64, kind raft.ProgressType, progress tracker.Progress) {
		m := memberView{
			member:      r.members[id],
			Voter:       kind == raft.ProgressTypePeer,
			CaughtUp:    progress.Match >= r.applied && progress.Match > 0,
			Match:       progress.Match,
			SilentTicks: r.ticks - r.lastMessageTick[id],
		}
		m.ID = id
		if id == r.id {
			m.SilentTicks = 0
		}
		v.Members = append(v.Members, m)
	})
	slices.SortFunc(v.Members, func(a, b memberView) int { return compareMembers(a.member, b.member) })
	return v
}
