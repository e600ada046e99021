package core

import "time"

// Phase is how far a balancer has come on its way out. It only ever advances.
type Phase uint8

// The phases.
const (
	Serving  Phase = iota // no shutdown was requested
	Draining              // clients are still accepted and served, or migrated
	Closing               // no answer is owed any more: clients without a request are told to come again
)

// Times that the platform's rules set. SIGKILL comes no sooner after SIGTERM than killDelay and the longest
// deadline, of which no more than maxCountedTimeout counts; the figures leave room for the way to the other side.
const (
	minShutdown       = 800 * time.Millisecond // new clients still come for half of this
	minHandedOver     = 150 * time.Millisecond // ... or not at all, and by then the other process has read where flows are
	maxCountedTimeout = 3 * time.Second
	killDelay         = 700 * time.Millisecond
	answerMargin      = 200 * time.Millisecond // the last answer is given so long before SIGKILL may come ...
	exitMargin        = 50 * time.Millisecond  // ... and the process has ended by itself so long before
	maxPassThrough    = 10 * time.Second       // where packets pass through, for more connections to go on unbroken
	lastBytesTimeout  = 100 * time.Millisecond // that the last bytes get to leave, however late it is
)

// shutdownState is the phase and the times that were fixed when the shutdown began. All are zero while serving.
type shutdownState struct {
	phase          Phase
	handedOver     bool          // another process accepts the clients that come
	earliestExit   time.Duration // clients may still be on their way until then
	answerDeadline time.Duration // all answers that are owed are given by then
	closeDeadline  time.Duration // established connections are given up then
	exitDeadline   time.Duration // the process ends by itself by then
}

// newShutdown fixes the times of a shutdown that starts now, for clients that wait for longest at most.
func newShutdown(now, longest time.Duration, handedOver, passThrough bool) shutdownState {
	killed := now + min(maxCountedTimeout, longest) + killDelay
	s := shutdownState{
		phase:          Draining,
		handedOver:     handedOver,
		answerDeadline: killed - answerMargin,
		closeDeadline:  killed - answerMargin,
		exitDeadline:   killed - exitMargin,
	}
	s.earliestExit = min(now+minShutdown, s.closeDeadline)
	if handedOver {
		s.earliestExit = now + minHandedOver
	}
	if passThrough && !handedOver {
		s.closeDeadline = now + maxPassThrough
	}
	return s
}

// Phase is how far the balancer is on its way out.
func (r *Reducer) Phase() Phase { return r.shutdown.phase }

// ShuttingDown tells that the balancer is on its way out.
func (r *Reducer) ShuttingDown() bool { return r.shutdown.phase != Serving }

// beginShutdown begins the shutdown. A second request changes nothing.
func (r *Reducer) beginShutdown(event ShutdownRequested) {
	if r.ShuttingDown() {
		return
	}
	r.shutdown = newShutdown(r.now, r.config.MaxClientTimeout, event.HandedOver, r.config.PassThrough)
	if event.HandedOver {
		from := r.shutdown.earliestExit
		r.beginMigrations(allServers, migrationWindow{from: from, until: from + migrationDuration})
	} else if !r.config.PassThrough {
		r.migrateAll()
	}
	r.timers.set(r.shutdown.earliestExit, timer{kind: shutdownTimer})
}

// shutdownBreaksConnections tells that a connection which is established now would be cut off by the end of this
// process.
func (r *Reducer) shutdownBreaksConnections() bool {
	return r.ShuttingDown() && !r.shutdown.handedOver && !r.config.PassThrough
}

// limitTimeout is how long a request that comes now is served at most.
func (r *Reducer) limitTimeout(timeout time.Duration) time.Duration {
	if !r.ShuttingDown() {
		return timeout
	}
	return min(timeout, max(0, r.shutdown.answerDeadline-r.now))
}

// migrateAll migrates all clients before the process would break their connections.
func (r *Reducer) migrateAll() {
	for _, q := range r.requests.sorted() {
		if q.state == established {
			r.migrate(q, reasonShutdown)
		}
	}
}

// advanceShutdown gives the answers whose time has come, and begins the closing once nobody needs this process.
// While connections are established, other balancers may not be ready to take them, and they are served here.
func (r *Reducer) advanceShutdown() {
	if r.requests.unanswered > 0 && r.now >= r.shutdown.answerDeadline {
		r.answerAll()
	}
	if r.requests.unanswered > 0 || !r.nobodyLeft() && r.now < r.shutdown.closeDeadline {
		r.timers.set(r.now+TickInterval, timer{kind: shutdownTimer})
		return
	}
	r.shutdown.phase = Closing
	r.emit(Exit{Deadline: r.exitDeadline()})
	// Idle clients may send a request in this very moment: none is left without an answer.
	r.Counters.IdleClosed += r.closeOldestIdle(r.idle.count(), 0, true)
}

// exitDeadline is when the process ends at the latest. The last bytes get some time in any case: where packets pass
// through, and where this process got no processor in time, SIGKILL may come at any moment from now on, and
// hurrying gains nothing.
func (r *Reducer) exitDeadline() time.Duration {
	return max(r.shutdown.exitDeadline, r.now+lastBytesTimeout)
}

// nobodyLeft tells that nobody needs this process any more. Where another process has the listener, clients that
// have sent no request yet are served here too: they won't come again by themselves.
func (r *Reducer) nobodyLeft() bool {
	return len(r.requests.byClient) == 0 && (!r.shutdown.handedOver || len(r.idle.waiting) == 0)
}

// answerAll gives every answer that is owed now: the platform ends this process before all have waited as long as
// they may.
func (r *Reducer) answerAll() {
	for _, q := range r.requests.sorted() {
		if r.requests.has(q) && q.state != established {
			q.deadline = r.now
			r.deadlinePassed(q)
		}
	}
}
