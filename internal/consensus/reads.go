package consensus

import (
	"encoding/binary"
	"slices"

	"go.etcd.io/raft/v3"

	"oatloft/internal/failpoint"
)

// maxQueuedReads is how many confirmations may wait for the next round.
const maxQueuedReads = 4096

// confirmedRead waits until what was committed when it was confirmed is applied.
type confirmedRead struct {
	index   uint64
	term    uint64
	waiters []waiter
}

// confirm asks whether this replica still leads; w hears once a majority has said so after this call, and all that
// was committed before it is applied here.
func (c *replica) confirm(w waiter) {
	switch {
	case !c.isLeader():
		w <- outcome{err: &NotLeader{}}
	case len(c.readQueue) >= maxQueuedReads:
		w <- outcome{err: &Overloaded{What: "questions to the leader", Limit: maxQueuedReads}}
	default:
		c.readQueue = append(c.readQueue, w)
	}
}

// beginReadRound begins the next round of confirmations, if none is under way.
func (c *replica) beginReadRound() {
	if len(c.readQueue) == 0 || c.readRound != nil {
		return
	}
	if !c.isLeader() {
		failAll(&c.readQueue, &NotLeader{})
		return
	}
	// What was committed before it led may not be known as such yet; raft takes no care of that for a single voter.
	if c.appliedTerm != c.term {
		return
	}
	if failpoint.On("confirm-unasked") {
		read := confirmedRead{index: c.applied, term: c.term, waiters: c.readQueue}
		c.confirmedReads = append(c.confirmedReads, read)
		c.readQueue = nil
		c.answerReads()
		return
	}
	c.readRound, c.readQueue = c.readQueue, nil
	c.readRoundNumber++
	c.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, c.readRoundNumber))
}

// readStates takes the confirmations of raft; only that of the round under way counts.
func (c *replica) readStates(states []raft.ReadState) {
	for _, s := range states {
		isRound := len(s.RequestCtx) == 8 && binary.BigEndian.Uint64(s.RequestCtx) == c.readRoundNumber
		if isRound && c.readRound != nil {
			c.confirmedReads = append(c.confirmedReads, confirmedRead{index: s.Index, term: c.term, waiters: c.readRound})
			c.readRound = nil
		}
	}
}

// answerReads answers those whose read has been confirmed, and applied so far.
func (c *replica) answerReads() {
	c.confirmedReads = slices.DeleteFunc(c.confirmedReads, func(r confirmedRead) bool {
		if r.index > c.applied {
			return false
		}
		answer := outcome{term: c.term}
		if r.term != c.term || !c.isLeader() {
			answer = outcome{err: &NotLeader{}}
		}
		for _, w := range r.waiters {
			w <- answer
		}
		return true
	})
}

// failAll ends what waits with an error.
func failAll(waiters *[]waiter, err error) {
	for _, w := range *waiters {
		w <- outcome{err: err}
	}
	*waiters = nil
}
