package consensus

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	leaderCheckInterval = 5 * time.Second // a member without a vote checks so often whether the leader still leads
	searchBackoff       = 100 * time.Millisecond
	maxSearchBackoffs   = 5
	searchJitterMillis  = 50
)

// Leader is who leads, as far as is known here.
func (n *Node) Leader() LeaderInfo { return *n.leader.Load() }

// LeaderChanged has a signal when Leader has changed since the last one was taken; it holds one.
func (n *Node) LeaderChanged() <-chan struct{} { return n.leaderChanged }

func (n *Node) setLeader(leader LeaderInfo) {
	if old := n.leader.Swap(&leader); *old != leader {
		signal(n.leaderChanged)
	}
}

// watchLeader keeps Leader up to date at a member without a vote: the leader itself is asked now and then, and the
// candidates in a random order while none is known, or a call to it has failed.
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
		case <-n.suspect:
			suspect = true
		case <-next.C:
		}
		switch {
		case !n.searchesLeader():
			next.Reset(time.Second)
		case n.findLeader(rng, suspect):
			failures = 0
			next.Reset(leaderCheckInterval)
		default:
			failures = min(failures+1, maxSearchBackoffs)
			jitter := time.Duration(rng.IntN(searchJitterMillis)) * time.Millisecond
			next.Reset(time.Duration(failures)*searchBackoff + jitter)
		}
	}
}

// searchesLeader tells whether this member has to ask others who leads: it has no replica, or one that waits to be
// added and hears of nobody.
func (n *Node) searchesLeader() bool {
	r := n.runner.Load()
	if r == nil {
		return true
	}
	state := r.state.Load()
	return state.isLearner && state.leader == 0
}

// findLeader asks the known leader or, if that is suspect, the other candidates, and tells whether a leader is
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
		reported, ok := n.reportedStatus(name, false)
		if n.ctx.Err() != nil || !n.searchesLeader() {
			return true
		}
		if ok && reported.Leader != "" && reported.Term >= max(known.Term, best.Term) {
			best = n.leaderInfo(reported)
			if !suspect || best.Term > known.Term {
				break
			}
		}
		if askKnown { // it does not lead any more, or is not there
			askKnown, suspect, known.Name = false, true, ""
		}
	}
	if best.Name == "" {
		best.Term = known.Term
	}
	if n.searchesLeader() {
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

// reportedStatus is a member's status with what goes with it in an answer.
type reportedStatus struct {
	memberStatus
	Leader string `json:"Lead"`
	Term   uint64 `json:"Term"`
}

// reportedStatuses asks all other candidates for their status, at the same time.
func (n *Node) reportedStatuses() map[string]reportedStatus {
	statuses := map[string]reportedStatus{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for _, candidate := range n.cfg.Candidates {
		if candidate.Name == n.cfg.Name {
			continue
		}
		calls.Go(func() {
			if status, ok := n.reportedStatus(candidate.Name, true); ok {
				mu.Lock()
				statuses[candidate.Name] = status
				mu.Unlock()
			}
		})
	}
	calls.Wait()
	return statuses
}

// reportedStatus asks one candidate who leads and, withFolder, for its folder's number and bootstrap.
func (n *Node) reportedStatus(name string, withFolder bool) (status reportedStatus, ok bool) {
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

// checkMembership asks who leads whether this voter still has its vote, without holding up the runner.
func (n *Node) checkMembership(r *runner) {
	if !r.searching.CompareAndSwap(false, true) {
		return
	}
	id, bootstrapID := r.replica.id, r.replica.bootstrapID
	fresh := r.store.state().header.Last <= 1
	go func() {
		defer r.searching.Store(false)
		for _, reported := range n.reportedStatuses() {
			if reported.Leader == "" || reported.Leader == n.cfg.Name {
				continue
			}
			answer, ok := n.queryMembership(reported.Leader, id)
			if !ok {
				continue
			}
			// What the leader of another bootstrap says counts only where nothing has ever been committed in this one.
			if !answer.Has && (answer.Founding == bootstrapID || fresh) {
				r.post(func() { r.released = true })
			}
			return
		}
	}()
}

// queryMembership asks a leader whether a folder's number has a vote.
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

// runsInOtherProcess tells that another process of this member, during an upgrade, has its folder and its address.
func (n *Node) runsInOtherProcess() bool { return n.cfg.Listen != "" && n.status.Load() == nil }
