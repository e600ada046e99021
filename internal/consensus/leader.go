package consensus

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	leaderCheckInterval   = 5 * time.Second        // between queries of the leader by a member without a vote
	searchBackoff         = 100 * time.Millisecond // per failed search in a row
	maxSearchBackoffSteps = 5
	searchJitterMs        = 50
)

// Leader returns the leader as known to this member.
func (n *Node) Leader() LeaderInfo { return *n.leader.Load() }

// LeaderChanged returns a channel of capacity 1 that receives a signal when Leader changes.
func (n *Node) LeaderChanged() <-chan struct{} { return n.leaderChanged }

func (n *Node) setLeader(leader LeaderInfo) {
	if old := n.leader.Swap(&leader); *old != leader {
		signal(n.leaderChanged)
	}
}

// watchLeader keeps Leader up to date at a member without a vote. It queries the leader periodically, and the
// candidates in random order while no leader is known or after a call to the leader has failed.
func (n *Node) watchLeader() {
	defer n.goroutines.Done()
	rng := rand.New(rand.NewPCG(n.cfg.Seed, randomID()))
	next := time.NewTimer(0)
	defer next.Stop()
	failures := 0
	for {
		suspect := false
		select {
		case <-n.ctx.Done():
			return
		case <-n.leaderSuspect:
			suspect = true
		case <-next.C:
		}
		switch {
		case !n.mustSearchLeader():
			next.Reset(time.Second)
		case n.findLeader(rng, suspect):
			failures = 0
			next.Reset(leaderCheckInterval)
		default:
			failures = min(failures+1, maxSearchBackoffSteps)
			jitter := time.Duration(rng.IntN(searchJitterMs)) * time.Millisecond
			next.Reset(time.Duration(failures)*searchBackoff + jitter)
		}
	}
}

// mustSearchLeader reports whether this member has to query others for the leader: it has no replica, or one that is
// still to be added and knows no leader.
func (n *Node) mustSearchLeader() bool {
	r := n.runner.Load()
	if r == nil {
		return true
	}
	state := r.state.Load()
	return state.isLearner && state.leader == 0
}

// findLeader queries the known leader or, if that is suspect, the other candidates. It reports whether a leader is
// known now.
func (n *Node) findLeader(rng *rand.Rand, suspect bool) bool {
	known := n.Leader()
	askKnown := !suspect && known.Name != ""
	if askKnown && time.Since(time.Unix(0, n.leaderAnsweredAt.Load())) < leaderCheckInterval {
		return true
	}
	best := LeaderInfo{}
	for _, i := range rng.Perm(len(n.cfg.Candidates)) {
		name := n.cfg.Candidates[i].Name
		if askKnown {
			name = known.Name
		}
		if name == n.cfg.Name && !n.runsInOtherProcess() || suspect && name == known.Name {
			continue
		}
		reported, ok := n.queryStatus(name, false)
		if n.ctx.Err() != nil || !n.mustSearchLeader() {
			return true
		}
		if ok && reported.Leader != "" && reported.Term >= max(known.Term, best.Term) {
			best = n.leaderInfo(reported)
			if !suspect || best.Term > known.Term {
				break
			}
		}
		if askKnown { // it is not the leader any more, or is unreachable
			askKnown, suspect, known.Name = false, true, ""
		}
	}
	if best.Name == "" {
		best.Term = known.Term
	}
	if n.mustSearchLeader() {
		n.setLeader(best)
	}
	return best.Name != ""
}

func (n *Node) leaderInfo(reported reportedStatus) LeaderInfo {
	return LeaderInfo{
		Name:    reported.Leader,
		Address: n.addressOf(reported.Leader, ""),
		Term:    reported.Term,
	}
}

// reportedStatus is the answer to methodStatus: a member's status, and the leader as known to it.
type reportedStatus struct {
	memberStatus
	Leader string `json:"Lead"`
	Term   uint64 `json:"Term"`
}

// queryStatuses queries all other candidates for their status, concurrently.
func (n *Node) queryStatuses() map[string]reportedStatus {
	statuses := map[string]reportedStatus{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, candidate := range n.cfg.Candidates {
		if candidate.Name == n.cfg.Name {
			continue
		}
		calls.Go(func() {
			if status, ok := n.queryStatus(candidate.Name, true); ok {
				mu.Lock()
				statuses[candidate.Name] = status
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	return statuses
}

// queryStatus queries one candidate for the leader that it knows and, withFolder, for its folder's ID and bootstrap.
func (n *Node) queryStatus(name string, withFolder bool) (status reportedStatus, ok bool) {
	ctx, cancel := context.WithTimeout(n.ctx, callTimeout)
	defer cancel()
	var body []byte
	if withFolder {
		body = []byte{1}
	}
	answer, err := n.transport.call(ctx, name, n.addressOf(name, ""), methodStatus, body)
	if err != nil || json.Unmarshal(answer, &status) != nil {
		return reportedStatus{}, false
	}
	return status, status.Name == name
}

// checkMembership asks the leader, in the background, whether this voter still has its vote.
func (n *Node) checkMembership(r *runner) {
	if !r.memberCallPending.CompareAndSwap(false, true) {
		return
	}
	id, bootstrapID := r.replica.id, r.replica.bootstrapID
	fresh := r.store.state().header.Last <= 1
	go func() {
		defer r.memberCallPending.Store(false)
		for _, reported := range n.queryStatuses() {
			if reported.Leader == "" || reported.Leader == n.cfg.Name {
				continue
			}
			answer, ok := n.queryMembership(reported.Leader, id)
			if !ok {
				continue
			}
			// The answer of another bootstrap's leader counts only if nothing has ever been committed in this one.
			if !answer.IsMember && (answer.BootstrapID == bootstrapID || fresh) {
				r.post(func() { r.voteReleased = true })
			}
			return
		}
	}()
}

// queryMembership asks a leader whether the folder of that ID has a vote.
func (n *Node) queryMembership(leader string, id uint64) (answer memberAnswer, ok bool) {
	body, err := json.Marshal(id)
	if err != nil {
		return memberAnswer{}, false
	}
	ctx, cancel := context.WithTimeout(n.ctx, 2*callTimeout)
	defer cancel()
	out, err := n.transport.call(ctx, leader, n.addressOf(leader, ""), methodMember, body)
	if err != nil || json.Unmarshal(out, &answer) != nil {
		return memberAnswer{}, false
	}
	return answer, true
}

// runsInOtherProcess reports whether another process of this member, during an upgrade, has its folder and its address.
func (n *Node) runsInOtherProcess() bool { return n.cfg.Listen != "" && n.status.Load() == nil }
