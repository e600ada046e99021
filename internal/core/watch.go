package core

import (
	"time"

	"oatloft/policy"
)

// Times of the calls to discovery. The platform's protocol has a change count as notified updateDeadline after
// discovery had it and could be reached, whatever failed in between, and an empty line come by a watch every
// heartbeatInterval while nothing changes.
const (
	updateDeadline    = 6 * time.Second
	heartbeatInterval = 2 * time.Second
	// maxBackoff is when the module begins the next call after a failed one at the latest.
	maxBackoff = updateDeadline / 4
	// unansweredLimit is how long a call that is not answered may bring no byte. Where one began just before discovery
	// was back, its rest, the backoff after it and one more call that is not answered take three quarters of
	// updateDeadline at the most.
	unansweredLimit = updateDeadline / 4
	// watchSilenceLimit is how long a watch that was answered may bring no byte: a heartbeat may come late by a third.
	watchSilenceLimit = heartbeatInterval + 600*time.Millisecond
	// listTimeout is how long a list, or the answer to a call, may take to be complete while bytes come. Then the next
	// call begins beside it: a second remains for the answer to that one.
	listTimeout = updateDeadline - maxBackoff - time.Second
)

// watchState is the latest call to discovery.
type watchState struct {
	open           bool // the call is under way or answered
	isAnswered     bool // a complete list or line has come by it
	lastCompleteAt time.Duration
	lastDataAt     time.Duration // when bytes came that complete nothing yet; 0 if none have
	fromVersion    int64         // that the call named: it answers with what came after
	calls          int
}

// answered notes a complete list or line.
func (w *watchState) answered(now time.Duration) {
	w.open = true
	w.isAnswered = true
	w.lastCompleteAt = now
}

// subscribe carries out the module's Subscribe, unless a call is under way: its answer is the module's as well.
func (r *Reducer) subscribe() {
	if !r.watch.open || r.watch.isAnswered {
		r.beginWatch()
	}
}

// beginWatch calls discovery for what has changed since the version held.
func (r *Reducer) beginWatch() {
	r.Counters.Watches++
	r.watch = watchState{
		open:           true,
		lastCompleteAt: r.now,
		fromVersion:    r.endpoints.version,
		calls:          r.watch.calls + 1,
	}
	r.timers.set(r.now+unansweredLimit, timer{kind: watchTimer, number: r.watch.calls})
	r.emit(Watch{Version: r.endpoints.version})
}

// watchHeartbeat takes the word that nothing has changed. As the first one by a call it is the answer.
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

// watchFailed has the module begin the next call. The one that stood counts as failed, whether or not it goes on.
func (r *Reducer) watchFailed() {
	r.Counters.WatchesBroken++
	r.watch.open = false
	r.decide(policy.ServerList{Kind: policy.ListFailed})
}

// checkWatch ends a call by which nothing comes any more. One by which a list comes too slowly goes on beside the
// next one, as the previous watch: otherwise a list that takes its time would never be had. A list without end
// keeps nobody deaf this way.
func (r *Reducer) checkWatch() {
	w := &r.watch
	if !w.open {
		return
	}
	limit := unansweredLimit
	if w.isAnswered {
		limit = watchSilenceLimit
	}
	switch {
	case r.now-max(w.lastCompleteAt, w.lastDataAt) >= limit:
		r.watchClosed()
	case w.lastDataAt > w.lastCompleteAt && r.now-w.lastCompleteAt >= listTimeout:
		r.watchFailed()
	}
}
