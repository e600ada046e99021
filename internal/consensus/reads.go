package consensus

import (
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3"

	"oatloft/internal/failpoint"
)

// maxQueuedReads is the maximum number of confirmations that wait for the next round.
const maxQueuedReads = 4096

// confirmedRead is a confirmed round that waits until the entries committed at that time are applied.
type confirmedRead struct {
	index   uint64
	term    uint64
	waiters []waiter
}

// confirm checks that this replica is still the leader. w receives the outcome once a majority has confirmed it after
// this call and all entries committed before are applied here.
func (r *replica) confirm(w waiter) {
	switch {
	case !r.isLeader():
		w <- outcome{err: &NotLeader{}}
	case len(r.readQueue) >= maxQueuedReads:
		w <- outcome{err: &Overloaded{What: "requests to the leader", Limit: maxQueuedReads}}
	default:
		r.readQueue = append(r.readQueue, w)
	}
}

// beginReadRound begins the next round of confirmations, unless one is in progress.
func (r *replica) beginReadRound() {
	if len(r.readQueue) == 0 || r.readRound != nil {
		return
	}
	if !r.isLeader() {
		failAll(&r.readQueue, &NotLeader{})
		return
	}
	// A new leader may not know the commit index until an entry of its own term is committed. Raft does not check this
	// for a single voter.
	if r.appliedTerm != r.term {
		return
	}
	if failpoint.On("confirm-unasked") {
		read := confirmedRead{index: r.applied, term: r.term, waiters: r.readQueue}
		r.confirmedReads = append(r.confirmedReads, read)
		r.readQueue = nil
		r.answerReads()
		return
	}
	r.readRound, r.readQueue = r.readQueue, nil
	r.readRoundNumber++
	r.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, r.readRoundNumber))
}

// takeReadStates processes raft's confirmations; only that of the round in progress counts.
func (r *replica) takeReadStates(states []raft.ReadState) {
	for _, s := range states {
		isRound := len(s.RequestCtx) == 8 && binary.BigEndian.Uint64(s.RequestCtx) == r.readRoundNumber
		if isRound && r.readRound != nil {
			r.confirmedReads = append(r.confirmedReads, confirmedRead{index: s.Index, term: r.term, waiters: r.readRound})
			r.readRound = nil
		}
	}
}

// answerReads answers the confirmed reads whose entries have been applied.
func (r *replica) answerReads() {
	r.confirmedReads = slices.DeleteFunc(r.confirmedReads, func(read confirmedRead) bool {
		if read.index > r.applied {
			return false
		}
		answer := outcome{term: r.term}
		if read.term != r.term || !r.isLeader() {
			answer = outcome{err: &NotLeader{}}
		}
		for _, w := range read.waiters {
			w <- answer
		}
		return true
	})
}

// failAll fails all waiters with err.
func failAll(waiters *[]waiter, err error) {
	for _, w := range *waiters {
		w <- outcome{err: err}
	}
	*waiters = nil
}
