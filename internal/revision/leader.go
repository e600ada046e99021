package revision

// This file owns the coordinator: the member that leads grants permissions, asks all for their word on a proposal, and says which
// steps are to be settled. It keeps nothing that a successor would need: that stands in State, or is asked for again. It must
// never grant anything in a reign that isn't its own, while a stop is settled, or to a holder that it is about to hold lapsed.

import (
	"slices"
	"strconv"
	"time"

	"oatloft/internal/failpoint"
)

// Pace are the times of a leader.
type Pace struct {
	Lease    time.Duration // of a grant, from when it was asked for, by the holder's clock
	Deadline time.Duration // of a proposal that names none
	StopWait time.Duration // for all to stop, before the one in force is put back to work; Lease/4 if 0
	Keep     int           // revisions of history
	KeepB    int64         // bytes of history
}

// Margin is how long a leader waits after the last grant that it may have given before it holds a lease lapsed: rates of clocks
// differ by less than a tenth.
func Margin(lease time.Duration) time.Duration {
	if failpoint.On("no-margin") {
		return lease / 2
	}
	return lease + lease/5 + 100*time.Millisecond
}

// heard is what a leader has of one holder.
type heard struct {
	since     time.Duration // in the roster, as far as this leader knows
	granted   time.Duration // no grant by anybody is later than this
	seen      time.Duration // last asking
	condemned bool          // held lapsed: no grant until it has left
	answers   uint64
	no        string
	stopped   uint64
	missed    bool // it had not stopped in time, and has not been heard since
	told      bool // figures have come
	figures   Figures
}

// Leader is the coordinator of one reign.
type Leader struct {
	Pace Pace
	Name string

	reign    uint64 // 0 until settled
	began    time.Duration
	holders  map[Holder]*heard
	proposal uint64
	since    time.Duration // when this leader first saw the proposal
	stop     uint64        // epoch of the stop
	stopped  time.Duration // when this leader first saw it
	total    Figures       // of all, since this reign began
	guard    guard
}

// NewLeader is the coordinator to be, until Reigns.
func NewLeader(name string, pace Pace) *Leader {
	if pace.StopWait == 0 {
		pace.StopWait = pace.Lease / 4
	}
	return &Leader{Pace: pace, Name: name, holders: map[Holder]*heard{}}
}

// Reigns begins: its reign command was settled as number n, and that was learned at now.
func (l *Leader) Reigns(now time.Duration, n uint64) {
	l.reign, l.began = n, now
	l.guard.began(now)
}

// Reign is its number, 0 before it.
func (l *Leader) Reign() uint64 { return l.reign }

// at is what it has of h, which is in the roster.
func (l *Leader) at(h Holder, now time.Duration) *heard {
	x := l.holders[h]
	if x == nil {
		x = &heard{since: now, granted: now, seen: now}
		if failpoint.On("new-leader-knows") {
			x.granted, x.seen = -1<<40, -1<<40
		}
		l.holders[h] = x
	}
	return x
}

// Answer is what a holder that asked is told. The caller has made sure, after the asking had come, that this process leads in
// this reign; ok is false if the reign is over.
func (l *Leader) Answer(now time.Duration, s *State, r Renew) (reply Reply, ok bool) {
	if l.reign == 0 || l.reign != s.Reign {
		return Reply{}, false
	}
	f := s.InForce()
	reply = Reply{Epoch: s.Epoch, Number: f.Number, Hash: f.Hash, Lease: l.Pace.Lease, Next: l.Pace.Lease / 8}
	if r.Has != f.Number+1 && (r.Answers == 0 || r.Answers != f.ID || r.No != "") {
		reply.Text = f.Text
	}
	if !s.Has(r.Holder) {
		reply.Floor = s.Floors[r.Name]
		return reply, true
	}
	x := l.at(r.Holder, now)
	if x.condemned {
		reply.Known, reply.Next = true, l.soon()
		return reply, true
	}
	reply.Known = true
	x.seen, x.missed = now, false
	x.answers, x.no, x.stopped = r.Answers, r.No, r.Stopped
	l.tell(x, r.Figures)
	if p := s.Pending; p != nil {
		reply.Proposal, reply.PropHash, reply.Next = p.ID, p.Hash, l.soon()
		if r.Answers != p.ID {
			reply.Proposed, reply.Next = p.Text, 0
		}
		if p.Stopped && r.Stopped != s.Epoch {
			reply.Next = 0
		}
		reply.Stopped = p.Stopped
	}
	if failpoint.On("grant-while-stopped") && r.Stopped == s.Epoch {
		reply.Stopped = false
	}
	if !reply.Stopped {
		reply.Granted = true
		x.granted = now
	}
	reply.Next = min(reply.Next, l.Pace.Lease/8)
	return reply, true
}

// Applied tells of a command that was applied to the state.
func (l *Leader) Applied(c Command) {
	if c.Op == OpLapse || c.Op == OpLeave || c.Op == OpForget {
		for h := range l.holders {
			if h == c.Holder || h.Name == c.Name {
				delete(l.holders, h)
			}
		}
	}
}

// soon is how soon holders ask again while something is under way: the sooner the fewer they are.
func (l *Leader) soon() time.Duration {
	return max(10*time.Millisecond, time.Duration(len(l.holders))*300*time.Microsecond)
}

// lapsed tells that nothing h was ever granted holds any more, whoever granted it.
func (l *Leader) lapsed(r Rostered, x *heard, now time.Duration) bool {
	return !r.Hold && now >= max(x.granted, l.began)+Margin(l.Pace.Lease)
}

// Step is what is to be settled now. It may say the same again until it is; what comes too late does nothing.
func (l *Leader) Step(now time.Duration, s *State) []Command {
	if l.reign == 0 || l.reign != s.Reign {
		return nil
	}
	var out []Command
	for h := range l.holders {
		if !s.Has(h) {
			delete(l.holders, h)
		}
	}
	for _, r := range s.Holders {
		x := l.at(r.Holder, now)
		if silent := now-x.seen >= Margin(l.Pace.Lease); l.lapsed(r, x, now) && silent || x.condemned {
			x.condemned = !failpoint.On("lapse-uncondemned")
			out = append(out, Command{Op: OpLapse, Reign: l.reign, Holder: r.Holder})
		}
	}
	if p := s.Pending; p != nil {
		if c, ok := l.propel(now, s, p); ok {
			out = append(out, c)
		}
		return out
	}
	l.proposal, l.stop = 0, 0
	return append(out, l.watch(now, s)...)
}

// propel is the next step of the proposal, if there is one.
func (l *Leader) propel(now time.Duration, s *State, p *Proposal) (Command, bool) {
	c := Command{Reign: l.reign, ID: p.ID, Epoch: s.Epoch, Roster: s.Roster}
	if l.proposal != p.ID {
		l.proposal, l.since, l.stop = p.ID, now, 0
	}
	if p.Stopped && l.stop != s.Epoch {
		l.stop, l.stopped = s.Epoch, now
	}
	within := l.Pace.Deadline
	if p.Within > 0 {
		within = time.Duration(p.Within)
	}
	var silent, going []string
	for _, r := range s.Holders {
		x := l.at(r.Holder, now)
		switch {
		case x.answers == p.ID && x.no != "":
			c.Op, c.Who, c.Why = OpEnd, []string{r.Name}, x.no
			return c, true
		case x.answers != p.ID || x.missed:
			silent = append(silent, r.Name)
		case !p.Stopped && now-x.seen > 2*max(l.soon(), l.Pace.Lease/8):
			silent = append(silent, r.Name) // a stop would only wait for it
		case p.Stopped && x.stopped != s.Epoch:
			going = append(going, r.Name)
		}
	}
	waits := append(silent, going...)
	if failpoint.On("one-stopped") && p.Stopped && len(waits) < len(s.Holders) || failpoint.On("majority") && 2*len(waits) < len(s.Holders) {
		waits = nil
	}
	switch {
	case len(waits) == 0 && p.Stopped:
		c.Op, c.Before, c.Keep, c.KeepB = OpSettle, l.guard.before(), l.Pace.Keep, l.Pace.KeepB
	case len(waits) == 0 && len(s.Holders) > 0:
		c.Op = OpStop
	case now >= l.since+within:
		c.Op, c.Who, c.Why = OpEnd, slices.Compact(waits), "no answer in "+within.String()
	case p.Stopped && now >= l.stopped+l.Pace.StopWait:
		c.Op = OpResume
		for _, r := range s.Holders {
			if x := l.at(r.Holder, now); x.answers != p.ID || x.stopped != s.Epoch {
				x.missed = true
			}
		}
	default:
		return c, false
	}
	return c, true
}

// Waits names who is waited for, for operators.
func (l *Leader) Waits(s *State) (names []string) {
	p := s.Pending
	if p == nil || l.reign == 0 {
		return nil
	}
	for _, r := range s.Holders {
		x := l.holders[r.Holder]
		if x == nil || x.answers != p.ID || x.missed || p.Stopped && x.stopped != s.Epoch {
			names = append(names, r.Name)
		}
	}
	return slices.Compact(names)
}

func utoa(n uint64) string { return strconv.FormatUint(n, 10) }
