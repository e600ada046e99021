package consensus

import "slices"

// memberView is a member as the leader sees it.
type memberView struct {
	member
	Voter       bool
	CaughtUp    bool   // it has all that is applied at the leader
	Match       uint64 // the last entry it is known to have
	SilentTicks int    // since the leader heard from it
}

// membershipView is what the next change is decided by. Times are the leader's ticks.
type membershipView struct {
	Self          uint64
	Members       []memberView // by number
	ChangePending bool
	TargetVoters  int
	ReplaceAfter  int // ticks of silence; 0 for never
	Requests      []memberRequest
}

// memberRequest asks for a vote: an operator's replacement, or a member that comes back with a new folder. The
// member is ready and waits.
type memberRequest struct {
	Member     member // Replaces is the vote that it is to get
	ByOperator bool   // also while the old one is heard from
}

// changeKind is what to do next.
type changeKind int

// The kinds of change.
const (
	noChange       changeKind = iota
	addLearner                // without a vote
	promoteLearner            // gives it a vote, that of Replaces if there is one
	removeMember
	findCandidate // who could replace the member Replaces, or be one more voter if that is 0
)

func (k changeKind) String() string {
	return [...]string{"none", "take in without a vote", "give a vote", "take the vote away", "look"}[k]
}

// membershipChange is the next change, and whom it concerns.
type membershipChange struct {
	Kind   changeKind
	Member member
}

const (
	silentLearnerTicks = 40 * electionTicks // a learner that is silent for so long is removed
	silentVoterTicks   = 2 * electionTicks  // a voter must be silent for so long before one of its name replaces it
)

// nextMembershipChange decides on the next change of members: a pure function of what the leader has heard. One
// change is pending at a time, and a new voter first follows as a learner until it has caught up.
func nextMembershipChange(v membershipView) membershipChange {
	if v.ChangePending {
		return membershipChange{}
	}
	voters, alive := v.countVoters()
	if i := slices.IndexFunc(v.Members, func(m memberView) bool { return !m.Voter }); i >= 0 {
		return v.changeOfLearner(v.Members[i], voters)
	}
	if change := v.requestedChange(voters); change.Kind != noChange {
		return change
	}
	quietest, found := v.quietestVoter()
	switch {
	case voters > v.TargetVoters && found:
		// A silent voter is removed first; one that is heard from only where the rest stays a majority without it.
		if quietest.SilentTicks >= silentVoterTicks || alive-1 > (voters-1)/2 {
			return membershipChange{Kind: removeMember, Member: quietest.member}
		}
	case voters < v.TargetVoters:
		return membershipChange{Kind: findCandidate}
	case v.ReplaceAfter > 0 && found && quietest.SilentTicks >= v.ReplaceAfter:
		return membershipChange{Kind: findCandidate, Member: member{Replaces: quietest.ID}}
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

// quietestVoter is the voter that has been silent for longest, the leader apart.
func (v membershipView) quietestVoter() (quietest memberView, found bool) {
	for _, m := range v.Members {
		if m.Voter && m.ID != v.Self && (!found || m.SilentTicks > quietest.SilentTicks) {
			quietest, found = m, true
		}
	}
	return quietest, found
}

// changeOfLearner removes a learner that is silent, or whose vote is not needed any more, and promotes one that has
// caught up.
func (v membershipView) changeOfLearner(learner memberView, voters int) membershipChange {
	_, replacedIsVoter := v.voter(learner.Replaces)
	lostAgain := slices.ContainsFunc(v.Requests, func(r memberRequest) bool { // its folder
		return r.Member.Name == learner.Name && r.Member.ID != learner.ID
	})
	switch {
	case lostAgain,
		learner.SilentTicks > silentLearnerTicks,
		learner.Replaces != 0 && !replacedIsVoter,
		learner.Replaces == 0 && voters >= v.TargetVoters:
		return membershipChange{Kind: removeMember, Member: learner.member}
	case learner.CaughtUp && learner.SilentTicks < electionTicks:
		return membershipChange{Kind: promoteLearner, Member: learner.member}
	}
	return membershipChange{}
}

// requestedChange adds the first member that may get the vote it asks for.
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
