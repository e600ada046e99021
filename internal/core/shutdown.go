package core

import "time"

// Phase is the stage of a balancer's shutdown. It only ever advances.
type Phase uint8

// The phases.
const (
	Serving  Phase = iota // no shutdown was requested
	Draining              // clients are still accepted, and served or migrated
	Closing               // no request is unanswered; idle clients are told to reconnect
)

// Time limits derived from the platform's rules, with a margin for the network delay to the peer. SIGKILL comes no
// sooner after SIGTERM than killDelay plus the longest client timeout, of which at most maxCountedTimeout counts.
const (
	minShutdownDuration    = 800 * time.Millisecond // new clients still arrive for half of this time
	minShutdownHandedOver  = 150 * time.Millisecond // after a handover: no clients arrive, and the flows are read
	maxCountedTimeout      = 3 * time.Second
	killDelay              = 700 * time.Millisecond
	answerMargin           = 200 * time.Millisecond // from the last answer to the earliest SIGKILL
	exitMargin             = 50 * time.Millisecond  // from the process's own exit to the earliest SIGKILL
	maxShutdownPassThrough = 10 * time.Second       // in pass-through mode, so that more connections survive
	maxLineEndReserve      = time.Second            // left after paced migrations, for servers to end their lines
	lastBytesTimeout       = 100 * time.Millisecond // always left for sending the last bytes, even after the limits
	lastMoveMargin         = 50 * time.Millisecond  // from the last MOVE to the process's own exit
)

// shutdownState is the phase, and the times fixed when the shutdown began. All are zero while serving.
type shutdownState struct {
	phase             Phase
	handedOver        bool          // another process accepts new clients
	breaksConnections bool          // established connections end with this process, so their clients are migrated
	earliestExit      time.Duration // clients may still arrive until then
	answerDeadline    time.Duration // all outstanding answers are sent by then
	closeDeadline     time.Duration // the latest time at which established connections are migrated or left to others
	exitDeadline      time.Duration // the process exits on its own by then
}

// newShutdown fixes the times of a shutdown that starts now, with the longest client timeout of any class.
func newShutdown(now, maxClientTimeout time.Duration, handedOver, passThrough bool) shutdownState {
	killAt := now + min(maxCountedTimeout, maxClientTimeout) + killDelay
	s := shutdownState{
		phase:             Draining,
		handedOver:        handedOver,
		breaksConnections: handedOver || !passThrough,
		answerDeadline:    killAt - answerMargin,
		closeDeadline:     killAt - answerMargin,
		exitDeadline:      killAt - exitMargin,
	}
	s.earliestExit = min(now+minShutdownDuration, s.closeDeadline)
	if handedOver {
		s.earliestExit = now + minShutdownHandedOver
	}
	if passThrough && !handedOver {
		s.closeDeadline = now + maxShutdownPassThrough
	}
	return s
}

// migrationWindow returns the period over which a handover migrates the clients. It ends well before closeDeadline,
// whatever the client timeouts are, so that a server has time to end the line that it is sending.
func (s *shutdownState) migrationWindow() migrationWindow {
	available := s.closeDeadline - s.earliestExit
	reserve := min(maxLineEndReserve, available/2)
	return migrationWindow{from: s.earliestExit, until: s.earliestExit + min(migrationDuration, available-reserve)}
}

// Phase returns the phase of the balancer's shutdown.
func (r *Reducer) Phase() Phase { return r.shutdown.phase }

// ShuttingDown reports whether the balancer is shutting down.
func (r *Reducer) ShuttingDown() bool { return r.shutdown.phase != Serving }

// beginShutdown begins the shutdown. Further requests have no effect.
func (r *Reducer) beginShutdown(event ShutdownRequested) {
	if r.ShuttingDown() {
		return
	}
	r.shutdown = newShutdown(r.now, r.config.MaxClientTimeout, event.HandedOver, r.config.PassThrough)
	switch {
	case event.HandedOver:
		r.beginMigrations(allServers, r.shutdown.migrationWindow())
	case r.shutdown.breaksConnections:
		r.migrateAll()
	}
	r.timers.set(r.shutdown.earliestExit, timer{kind: shutdownTimer})
}

// migratesAtOnce reports whether the shutdown migrates each client as soon as its connection is established. After a
// handover, the paced migrations do it.
func (s *shutdownState) migratesAtOnce() bool { return s.breaksConnections && !s.handedOver }

// limitTimeout returns the timeout of a request received now, shortened to the answer deadline during a shutdown.
func (r *Reducer) limitTimeout(timeout time.Duration) time.Duration {
	if !r.ShuttingDown() {
		return timeout
	}
	return min(timeout, max(0, r.shutdown.answerDeadline-r.now))
}

// migrateAll migrates all clients before the exit of the process would break their connections.
func (r *Reducer) migrateAll() {
	for _, q := range r.requests.sorted() {
		if q.state == established {
			r.migrate(q, reasonShutdown)
		}
	}
}

// advanceShutdown sends the outstanding answers at their deadline, and enters the Closing phase once this process
// serves no clients. Established connections are served here until closeDeadline, since other balancers may not be
// ready to take them over. Clients that are left then are migrated if their connections end with this process.
func (r *Reducer) advanceShutdown() {
	if r.requests.unanswered > 0 && r.now >= r.shutdown.answerDeadline {
		r.answerAll()
	}
	if r.requests.unanswered > 0 || !r.servesNoClients() && r.now < r.shutdown.closeDeadline {
		r.timers.set(r.now+TickInterval, timer{kind: shutdownTimer})
		return
	}
	if r.shutdown.breaksConnections {
		r.migrateAll()
	}
	r.shutdown.phase = Closing
	// At least lastBytesTimeout is left: in pass-through mode, or if this process was not scheduled in time, SIGKILL may
	// already be possible at any moment, and exiting faster has no benefit.
	r.shutdown.exitDeadline = max(r.shutdown.exitDeadline, r.now+lastBytesTimeout)
	r.emit(Exit{Deadline: r.shutdown.exitDeadline})
	// Idle clients may be sending a request at this moment, so each is sent an answer.
	r.Counters.IdleClosed += r.closeOldestIdle(r.idle.count(), 0, true)
}

// servesNoClients reports whether this process serves no clients any more. If another process has taken over the
// listener, idle clients count as served too: they would not reconnect on their own.
func (r *Reducer) servesNoClients() bool {
	return len(r.requests.byClient) == 0 && (!r.shutdown.handedOver || len(r.idle.waiting) == 0)
}

// answerAll sends all outstanding answers now, since the platform kills this process before the deadlines of all
// requests have passed.
func (r *Reducer) answerAll() {
	for _, q := range r.requests.sorted() {
		if r.requests.has(q) && q.state != established {
			q.deadline = r.now
			r.deadlinePassed(q)
		}
	}
}
