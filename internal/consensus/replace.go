package consensus

import (
	"context"
	"encoding/json"
	"slices"
	"time"
)

// Replace gives the vote of one member to another. It returns once that is committed. Only the leader can. Errors:
// *NotLeader, *UnknownMember, *NotReplaced, *Unreachable, *RemoteError, *Overloaded, and *UnknownOutcome if it may
// or may not come to pass.
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
		return nil // done before
	}
	refused := func(why, do string) error {
		return &NotReplaced{Old: oldName, New: newName, Why: why, Do: do}
	}
	candidate := n.cfg.candidate(newName)
	switch {
	case !isVoter:
		return refused(oldName+" holds none", "choose one of the voters that the status lists")
	case hasVote && newName != oldName:
		return refused(newName+" has one already, or is about to", "choose a member without a vote")
	case candidate == nil:
		return &UnknownMember{Name: newName}
	case newName == oldName:
		return refused("they are the same",
			"to have it come back as a new voter, stop it, empty its folder and start it")
	}
	recruit, err := n.recruit(ctx, *candidate, state.bootstrapID)
	if err != nil {
		return err
	}
	recruit.Replaces = replaced.ID
	if !r.post(func() { r.replica.request(memberRequest{Member: recruit, ByOperator: true}) }) {
		return &Overloaded{What: "questions to the leader", Limit: callQueue}
	}
	return n.awaitReplacement(ctx, r, replaced.ID, recruit.ID, refused(newName+" couldn't keep up",
		"see that "+newName+" runs and can be reached from all voters, then try again"))
}

// awaitReplacement waits until the vote of one number is another's. It returns failed if the new one was added and
// removed again, or the old one was removed without it.
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

// recruit asks a candidate to get ready for a vote, and for its folder's number.
func (n *Node) recruit(ctx context.Context, candidate Candidate, bootstrapID uint64) (member, error) {
	ctx, cancel := context.WithTimeout(ctx, 3*callTimeout)
	defer cancel()
	body, err := json.Marshal(bootstrapID)
	if err != nil {
		return member{}, err
	}
	address := n.addressOf(candidate.Name, candidate.Addr)
	answer, err := n.transport.call(ctx, candidate.Name, address, methodRecruit, body)
	if err != nil {
		return member{}, err
	}
	var status memberStatus
	err = json.Unmarshal(answer, &status)
	if err != nil || status.ID == 0 || status.Bootstrap.ID != bootstrapID {
		return member{}, errOtherBootstrap(candidate.Name, methodRecruit)
	}
	return member{ID: status.ID, Name: candidate.Name, Zone: candidate.Zone, Addr: candidate.Addr}, nil
}

// findCandidate recruits a candidate without a vote that could replace a member (0: be one more), if possible of
// the same zone.
func (n *Node) findCandidate(ctx context.Context, r *runner, members []member, replaces uint64) {
	defer r.searching.Store(false)
	for _, candidate := range n.candidatesFor(members, replaces) {
		if slices.ContainsFunc(members, func(m member) bool { return m.Name == candidate.Name }) {
			continue
		}
		recruit, err := n.recruit(ctx, candidate, r.state.Load().bootstrapID)
		if err != nil {
			n.log.Debug("no stand-in for a voter", "name", candidate.Name, "err", err)
			continue
		}
		recruit.Replaces = replaces
		r.post(func() { r.replica.request(memberRequest{Member: recruit}) })
		return
	}
}

// candidatesFor lists all candidates, those of the replaced member's zone first.
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
