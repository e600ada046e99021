package consensus

import "slices"

// memberView is the leader's view of a member.
type memberView struct {
	member
	Voter       bool
	CaughtUp    bool   // it has all entries that the leader has applied
	Match       uint64 // index of the last entry it is known to have
	SilentTicks int    // since the leader last received a message from it
}

// membershipView is the input of nextMembershipChange. Times are in ticks of the leader.
type membershipView struct {
	Self          uint64
	Members       []memberView // in order of their IDs
	ChangePending bool
	TargetVoters  int
	ReplaceAfter  int // ticks of silence; 0 for never
	Requests      []memberRequest
}

// memberRequest is a request for a vote: a replacement by an operator, a candidate found by the leader, or a member
// that rejoins with a new folder. The member is prepared already.
type memberRequest struct {
	Member     member // Replaces is the voter whose vote it gets
	ByOperator bool   // applies even while the replaced voter is active
}

// changeKind is the kind of a membership change.
type changeKind int

// The kinds of change.
const (
	noChange       changeKind = iota
	addLearner                // adds a member without a vote
	promoteLearner            // gives a learner a vote, that of Replaces if there is one
	removeMember
	findCandidate // searches for a member to replace Replaces, or to be an additional voter if that is 0
)

func (k changeKind) String() string {
	return [...]string{"none", "add learner", "promote learner", "remove member", "look"}[k]
}

// membershipChange is a change of the members, and the member that it concerns.
type membershipChange struct {
	Kind   changeKind
	Member member
}

const (
	silentLearnerTicks = 40 * electionTicks // silence after which a learner is removed
	silentVoterTicks   = 2 * electionTicks  // silence after which a member of the same name may replace a voter
)

// nextMembershipChange decides on the next change of members; it is a pure function of the leader's view. Only one
// change is pending at a time, and a new voter starts as a learner until it has caught up.
func nextMembershipChange(v membershipView) membershipChange {
	if v.ChangePending {
		return membershipChange{}
	}
	voters, alive := v.countVoters()
	if i := slices.IndexFunc(v.Members, func(m memberView) bool { return !m.Voter }); i >= 0 {
		return v.learnerChange(v.Members[i], voters)
	}
	if change := v.requestedChange(voters); change.Kind != noChange {
		return change
	}
	longestSilent, found := v.longestSilentVoter()
	switch {
	case voters > v.TargetVoters && found:
		// A silent voter is removed first. An active one is removed only if the remaining active voters are a majority.
		if longestSilent.SilentTicks >= silentVoterTicks || alive-1 > (voters-1)/2 {
			return membershipChange{Kind: removeMember, Member: longestSilent.member}
		}
	case voters < v.TargetVoters:
		return membershipChange{Kind: findCandidate}
	case v.ReplaceAfter > 0 && found && longestSilent.SilentTicks >= v.ReplaceAfter:
		return membershipChange{Kind: findCandidate, Member: member{Replaces: longestSilent.ID}}
	}
	return membershipChange{}
}

func (v membershipView) countVoters() (voters, alive int) {
	for _, m := range v.Members {
		if !m.Voter {
			continue
		}
		voters++
		if m.SilentTicks < silentVoterTicks {
			alive++
		}
	}
	return voters, alive
}

func (v membershipView) voter(id uint64) (memberView, bool) {
	i := slices.IndexFunc(v.Members, func(m memberView) bool { return m.Voter && m.ID == id })
	if i < 0 {
		return memberView{}, false
	}
	return v.Members[i], true
}

// longestSilentVoter returns the voter that has been silent for longest, other than the leader.
func (v membershipView) longestSilentVoter() (longest memberView, found bool) {
	for _, m := range v.Members {
		if m.Voter && m.ID != v.Self && (!found || m.SilentTicks > longest.SilentTicks) {
			longest, found = m, true
		}
	}
	return longest, found
}

// learnerChange removes a learner that is silent, whose vote is not needed any more or whose folder was lost, and
// promotes one that has caught up.
func (v membershipView) learnerChange(learner memberView, voters int) membershipChange {
	_, replacedIsVoter := v.voter(learner.Replaces)
	newerFolder := slices.ContainsFunc(v.Requests, func(r memberRequest) bool {
		return r.Member.Name == learner.Name && r.Member.ID != learner.ID
	})
	switch {
	case newerFolder,
		learner.SilentTicks > silentLearnerTicks,
		learner.Replaces != 0 && !replacedIsVoter,
		learner.Replaces == 0 && voters >= v.TargetVoters:
		return membershipChange{Kind: removeMember, Member: learner.member}
	case learner.CaughtUp && learner.SilentTicks < electionTicks:
		return membershipChange{Kind: promoteLearner, Member: learner.member}
	}
	return membershipChange{}
}

// requestedChange adds the first requesting member that may get the vote as a learner.
func (v membershipView) requestedChange(voters int) membershipChange {
	for _, r := range v.Requests {
		if slices.ContainsFunc(v.Members, func(m memberView) bool { return m.ID == r.Member.ID }) {
			continue
		}
		replaced, found := v.voter(r.Member.Replaces)
		additional := r.Member.Replaces == 0 && voters < v.TargetVoters
		if additional || found && (r.ByOperator || replaced.SilentTicks >= silentVoterTicks) {
			return membershipChange{Kind: addLearner, Member: r.Member}
		}
	}
	return membershipChange{}
}
