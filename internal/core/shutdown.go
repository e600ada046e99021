// The balancer's way out. This file owns the phases from SIGTERM to the end of the process, and the times that bound
// them; it must never let a phase end while somebody is owed an answer that can still be given.

package core

import "time"

// Phase is how far a balancer has come on its way out. It only ever advances.
type Phase uint8

// The phases.
const (
	Serving  Phase = iota // not told to leave
	Draining              // told to leave: clients are still taken in and served, or moved elsewhere
	Closing               // no answer is owed any more: whoever comes, or has asked nothing so far, is told to come again
)

// Times that the platform's rules set. SIGKILL comes no sooner after SIGTERM than killAfter and the longest deadline, of
// which no more than longestCounted counts; the figures leave room for the way to the other side.
const (
	leaveAfter     = 800 * time.Millisecond // new clients still come for half of this
	handedAfter    = 150 * time.Millisecond // ... or not at all, and the other process has read by then who stands where
	longestCounted = 3 * time.Second
	killAfter      = 700 * time.Millisecond
	answerMargin   = 200 * time.Millisecond // the last answer is given so long before SIGKILL may come ...
	exitMargin     = 50 * time.Millisecond  // ... and the process has ended by itself so long before
	passMost       = 10 * time.Second       // but where packets pass through: the longer they stand here, the more pass on unbroken
	lastWords      = 100 * time.Millisecond // that the last bytes get to leave, however late it is
)

// shutdown is the phase and the times that were fixed when it began. All are zero while serving.
type shutdown struct {
	phase    Phase
	handed   bool          // another process takes what comes
	leaveAt  time.Duration // no sooner does it end: clients may still be on their way
	answerBy time.Duration // all answers that are owed are given by then
	leaveBy  time.Duration // connections that still stand are given up then
	exitBy   time.Duration // the process ends by itself by then
}

// begin fixes the times of a shutdown that starts now, for clients that wait for longest at most.
func (s *shutdown) begin(now, longest time.Duration, handed, passThrough bool) {
	killed := now + min(longestCounted, longest) + killAfter
	*s = shutdown{phase: Draining, handed: handed, answerBy: killed - answerMargin, leaveBy: killed - answerMargin, exitBy: killed - exitMargin}
	s.leaveAt = min(now+leaveAfter, s.leaveBy)
	if handed {
		s.leaveAt = now + handedAfter
	}
	if passThrough && !handed {
		s.leaveBy = now + passMost
	}
}

// Phase is how far the balancer is on its way out.
func (r *Reducer) Phase() Phase { return r.shutdown.phase }

// ShuttingDown tells that the balancer is on its way out.
func (r *Reducer) ShuttingDown() bool { return r.shutdown.phase != Serving }

// leave begins the shutdown. A second call changes nothing.
func (r *Reducer) leave(ev ShutdownRequested) {
	if r.ShuttingDown() {
		return
	}
	r.shutdown.begin(r.now, r.cfg.MaxClientTimeout, ev.HandedOver, r.cfg.PassThrough)
	if ev.HandedOver {
		r.makeWay("", true, clearance{r.shutdown.leaveAt, r.shutdown.leaveAt + clearIn})
	} else {
		r.sendAllAway()
	}
	r.wheel.set(r.shutdown.leaveAt, timer{kind: leaveTimer})
}

// movesClients tells that a client that comes up now would be cut off by the end of this process, and is moved at once.
func (r *Reducer) movesClients() bool {
	return r.ShuttingDown() && !r.shutdown.handed && !r.cfg.PassThrough
}

// patience is how long a client that asks now is served at most.
func (r *Reducer) patience(own time.Duration) time.Duration {
	if !r.ShuttingDown() {
		return own
	}
	return min(own, max(0, r.shutdown.answerBy-r.now))
}

// sendAllAway moves all terminals before the balancer leaves, where it would break their connections.
func (r *Reducer) sendAllAway() {
	if r.cfg.PassThrough {
		return
	}
	for _, t := range r.inOrder() {
		if t.state == open {
			r.sendAway(t, "leaving")
		}
	}
}

// leaveNow is the timer of the draining: it gives the answers whose time has come, and begins the closing once nobody needs
// this process. While connections stand, others may not be ready to take them, and they are served here.
func (r *Reducer) leaveNow() {
	if r.owed > 0 && r.now >= r.shutdown.answerBy {
		r.answerAll()
	}
	if r.owed > 0 || !r.nothingLeft() && r.now < r.shutdown.leaveBy {
		r.wheel.set(r.now+TickInterval, timer{kind: leaveTimer})
		return
	}
	r.shutdown.phase = Closing
	r.do(Exit{Deadline: r.exitBy()})
	r.Counters.IdleClosed += r.sendOff(len(r.arrivals), 0, true) // they may ask in this very moment: none is left without an answer
}

// exitBy is when the process ends at the latest. The last bytes get some time in any case: where packets pass through, and
// where this process got no processor in time, SIGKILL may come at any moment from now on, and hurrying gains nothing.
func (r *Reducer) exitBy() time.Duration { return max(r.shutdown.exitBy, r.now+lastWords) }

// nothingLeft tells that nobody needs this process any more. Whoever came and has not spoken yet is served here as well
// where another process has the listener: it won't come again by itself.
func (r *Reducer) nothingLeft() bool {
	return len(r.open) == 0 && (!r.shutdown.handed || len(r.quiet) == 0)
}

// answerAll gives every answer that is owed now: the platform ends this process before all have waited as long as they may.
func (r *Reducer) answerAll() {
	for _, t := range r.inOrder() {
		if r.open[t.from] == t && t.state != open {
			t.deadline = r.now
			r.deadline(t)
		}
	}
}
