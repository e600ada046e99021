package consensus

import (
	"context"
	"encoding/json"
	"slices"
	"time"
)

// Replace gives the vote of one member to another, and returns once that is committed. Only the leader can do it.
// Errors: *NotLeader, *UnknownMember, *NotReplaced, *Unreachable, *RemoteError, *Overloaded, and *UnknownOutcome if the
// replacement may or may not be carried out.
func (n *Node) Replace(ctx context.Context, oldName, newName string) error {
	r := n.runner.Load()
	if _, err := n.Confirm(ctx); err != nil {
		return err
	}
	if r == nil {
		return &NotLeader{Leader: n.Leader()}
	}
	state := r.state.Load()
	replaced, isVoter := memberByName(state.members, oldName)
	_, hasVote := memberByName(state.members, newName)
	if !isVoter && hasVote {
		return nil // an earlier call has done it
	}
	refused := func(why, do string) error {
		return &NotReplaced{Old: oldName, New: newName, Why: why, Do: do}
	}
	candidate := n.cfg.candidate(newName)
	switch {
	case !isVoter:
		return refused(oldName+" holds no vote", "choose one of the voters listed by the status")
	case hasVote && newName != oldName:
		return refused(newName+" has a vote already or is about to get one", "choose a member without a vote")
	case candidate == nil:
		return &UnknownMember{Name: newName}
	case newName == oldName:
		return refused("both names are the same",
			"to have it rejoin as a new voter, stop it, empty its folder and start it")
	}
	learner, err := n.prepareCandidate(ctx, *candidate, state.bootstrapID)
	if err != nil {
		return err
	}
	learner.Replaces = replaced.ID
	if !r.post(func() { r.replica.addRequest(memberRequest{Member: learner, ByOperator: true}) }) {
		return &Overloaded{What: "requests to the leader", Limit: maxQueuedCalls}
	}
	return n.awaitReplacement(ctx, r, replaced.ID, learner.ID, refused(newName+" did not catch up",
		"check that "+newName+" runs and can be reached from all voters, then try again"))
}

// awaitReplacement waits until the vote has moved from oldID to newID. It returns failed if the new member was added
// and removed again, or if the old one was removed without it.
func (n *Node) awaitReplacement(ctx context.Context, r *runner, oldID, newID uint64, failed error) error {
	added := false
	for {
		select {
		case <-ctx.Done():
			return &UnknownOutcome{Cause: ctx.Err()}
		case <-n.ctx.Done():
			return &UnknownOutcome{Cause: &Closed{}}
		case <-time.After(n.cfg.Tick):
		}
		state := r.state.Load()
		_, hasNew := state.members[newID]
		_, hasOld := state.members[oldID]
		added = added || hasNew
		switch {
		case hasNew && !hasOld && len(state.conf.GetVotersOutgoing()) == 0:
			return nil
		case added && !hasNew, !added && !hasOld:
			return failed
		case !n.Leader().IsSelf && hasOld:
			return &UnknownOutcome{Cause: &NotLeader{Leader: n.Leader()}}
		}
	}
}

func memberByName(members map[uint64]member, name string) (member, bool) {
	for _, m := range members {
		if m.Name == name {
			return m, true
		}
	}
	return member{}, false
}

// prepareCandidate asks a candidate to prepare for a vote, and returns it with its folder's ID.
func (n *Node) prepareCandidate(ctx context.Context, candidate Candidate, bootstrapID uint64) (member, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	body, err := json.Marshal(bootstrapID)
	if err != nil {
		return member{}, err
	}
	address := n.addressOf(candidate.Name, candidate.Addr)
	answer, err := n.transport.call(ctx, candidate.Name, address, methodPrepare, body)
	if err != nil {
		return member{}, err
	}
	var status memberStatus
	err = json.Unmarshal(answer, &status)
	if err != nil || status.ID == 0 || status.Bootstrap.ID != bootstrapID {
		return member{}, errOtherBootstrap(candidate.Name, methodPrepare)
	}
	return member{ID: status.ID, Name: candidate.Name, Zone: candidate.Zone, Addr: candidate.Addr}, nil
}

// findCandidate prepares a candidate without a vote to replace a member (0: to be an additional voter), if possible
// one of the same zone, and queues its request.
func (n *Node) findCandidate(ctx context.Context, r *runner, members []member, replaces uint64) {
	defer r.memberCallPending.Store(false)
	for _, candidate := range n.candidatesFor(members, replaces) {
		if slices.ContainsFunc(members, func(m member) bool { return m.Name == candidate.Name }) {
			continue
		}
		learner, err := n.prepareCandidate(ctx, candidate, r.state.Load().bootstrapID)
		if err != nil {
			n.log.Debug("candidate cannot replace a voter", "name", candidate.Name, "err", err)
			continue
		}
		learner.Replaces = replaces
		r.post(func() { r.replica.addRequest(memberRequest{Member: learner}) })
		return
	}
}

// candidatesFor returns all candidates, those of the replaced member's zone first.
func (n *Node) candidatesFor(members []member, replaces uint64) []Candidate {
	zone := ""
	for _, m := range members {
		if m.ID == replaces {
			zone = m.Zone
		}
	}
	rank := func(c Candidate) int {
		if c.Zone == zone {
			return 0
		}
		return 1
	}
	list := SelectVoters(n.cfg.Candidates, len(n.cfg.Candidates))
	slices.SortStableFunc(list, func(a, b Candidate) int { return rank(a) - rank(b) })
	return list
}
