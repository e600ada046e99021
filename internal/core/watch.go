package core

import (
	"time"

	"oatloft/policy"
)

// Time limits of watches. By the platform's protocol, a balancer is considered notified of a change updateDeadline
// after discovery had the change and was reachable, regardless of failures in between, and discovery sends an empty
// line on a watch every heartbeatInterval while nothing changes.
const (
	updateDeadline    = 6 * time.Second
	heartbeatInterval = 2 * time.Second
	// maxBackoff is the module's longest delay between a failed watch and the next one.
	maxBackoff = updateDeadline / 4
	// watchAnswerTimeout is how long an unanswered watch may deliver no bytes. If a watch began just before discovery
	// became reachable, its remaining time, the backoff after it and one more unanswered watch take at most three
	// quarters of updateDeadline.
	watchAnswerTimeout = updateDeadline / 4
	// watchSilenceTimeout is how long an answered watch may deliver no bytes. A heartbeat may be late by about a third.
	watchSilenceTimeout = heartbeatInterval + 600*time.Millisecond
	// listTimeout is how long a list, or a watch's first answer, may take to be complete while bytes arrive. Then the
	// next watch begins in parallel, with 1 s left for its answer.
	listTimeout = updateDeadline - maxBackoff - time.Second
)

// watchState is the state of the latest watch.
type watchState struct {
	open           bool // the watch was requested and has not failed
	isAnswered     bool // it has delivered a complete list or line
	lastCompleteAt time.Duration
	lastPartialAt  time.Duration // when it last delivered bytes that complete nothing yet; 0 if none have
	fromVersion    int64         // the watch was requested for the changes after this version
	sequence       int           // sequence number of the watch
}

// answered records that a complete list or line was received.
func (w *watchState) answered(now time.Duration) {
	w.open = true
	w.isAnswered = true
	w.lastCompleteAt = now
}

// subscribe performs the module's Subscribe, unless a watch still awaits its answer, which serves the module as well.
func (r *Reducer) subscribe() {
	if !r.watch.open || r.watch.isAnswered {
		r.beginWatch()
	}
}

// beginWatch requests the changes since the current version from discovery.
func (r *Reducer) beginWatch() {
	r.Counters.Watches++
	r.watch = watchState{
		open:           true,
		lastCompleteAt: r.now,
		fromVersion:    r.endpoints.version,
		sequence:       r.watch.sequence + 1,
	}
	r.timers.set(r.now+watchAnswerTimeout, timer{kind: watchTimer, number: r.watch.sequence})
	r.emit(Watch{Version: r.endpoints.version})
}

// watchHeartbeat handles a heartbeat. As the first message on a watch it counts as the watch's answer.
func (r *Reducer) watchHeartbeat() {
	first := !r.watch.open || !r.watch.isAnswered
	r.watch.answered(r.now)
	if first {
		r.decide(policy.ServerList{Kind: policy.ListDelta})
	}
}

func (r *Reducer) watchClosed() {
	if !r.watch.open {
		return
	}
	r.emit(StopWatch{})
	r.watchFailed()
}

// watchFailed has the module begin the next watch. The current one counts as failed even if it stays open.
func (r *Reducer) watchFailed() {
	r.Counters.WatchesBroken++
	r.watch.open = false
	r.decide(policy.ServerList{Kind: policy.ListFailed})
}

// checkWatch closes a silent watch. A watch that delivers a list too slowly counts as failed but stays open, as the
// previous watch, in parallel with the next one: closing it would mean that a slow list is never received, while
// waiting for it alone would let an endless list block all further updates.
func (r *Reducer) checkWatch() {
	w := &r.watch
	if !w.open {
		return
	}
	limit := watchAnswerTimeout
	if w.isAnswered {
		limit = watchSilenceTimeout
	}
	switch {
	case r.now-max(w.lastCompleteAt, w.lastPartialAt) >= limit:
		r.watchClosed()
	case w.lastPartialAt > w.lastCompleteAt && r.now-w.lastCompleteAt >= listTimeout:
		r.watchFailed()
	}
}
