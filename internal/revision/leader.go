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

// LeaderConfig are the times of a leader.
type LeaderConfig struct {
	Lease         time.Duration // of a grant, from when it was asked for, by the holder's clock
	Deadline      time.Duration // of a proposal that names none
	StopTimeout   time.Duration // for all to stop, before the one in force is put back to work; Lease/4 if 0
	KeepRevisions int           // revisions of history
	KeepBytes     int64         // bytes of history
}

// ExpiryMargin is how long a leader waits after the last grant that it may have given before it holds a lease lapsed: rates of clocks
// differ by less than a tenth.
func ExpiryMargin(lease time.Duration) time.Duration {
	if failpoint.On("no-margin") {
		return lease / 2
	}
	return lease + lease/5 + 100*time.Millisecond
}

// holderState is what a leader has of one holder.
type holderState struct {
	since            time.Duration // in the roster, as far as this leader knows
	lastGrant        time.Duration // no grant by anybody is later than this
	lastRenewal      time.Duration // last asking
	expiring         bool          // held lapsed: no grant until it has left
	answeredProposal uint64
	rejection        string
	stoppedEpoch     uint64
	missedStop       bool // it had not stopped in time, and has not been heard since
	hasTotals        bool // figures have come
	totals           Totals
}

// Leader is the coordinator of one reign.
type Leader struct {
	Config LeaderConfig
	Name   string

	term         uint64 // 0 until settled
	termBegan    time.Duration
	holders      map[Holder]*holderState
	proposal     uint64
	proposalSeen time.Duration // when this leader first saw the proposal
	stopEpoch    uint64        // epoch of the stop
	stopSeen     time.Duration // when this leader first saw it
	totals       Totals        // of all, since this reign began
	guard        guard
}

// NewLeader is the coordinator to be, until Reigns.
func NewLeader(name string, pace LeaderConfig) *Leader {
	if pace.StopTimeout == 0 {
		pace.StopTimeout = pace.Lease / 4
	}
	return &Leader{Config: pace, Name: name, holders: map[Holder]*holderState{}}
}

// BeginTerm begins: its reign command was settled as number n, and that was learned at now.
func (l *Leader) BeginTerm(now time.Duration, n uint64) {
	l.term, l.termBegan = n, now
	l.guard.reset(now)
}

// Term is its number, 0 before it.
func (l *Leader) Term() uint64 { return l.term }

// holder is what it has of h, which is in the roster.
func (l *Leader) holder(h Holder, now time.Duration) *holderState {
	x := l.holders[h]
	if x == nil {
		x = &holderState{since: now, lastGrant: now, lastRenewal: now}
		if failpoint.On("new-leader-knows") {
			x.lastGrant, x.lastRenewal = -1<<40, -1<<40
		}
		l.holders[h] = x
	}
	return x
}

// Renew is what a holder that asked is told. The caller has made sure, after the asking had come, that this process leads in
// this reign; ok is false if the reign is over.
func (l *Leader) Renew(now time.Duration, s *State, r RenewRequest) (reply RenewReply, ok bool) {
	if l.term == 0 || l.term != s.LeaderTerm {
		return RenewReply{}, false
	}
	f := s.InForce()
	reply = RenewReply{Epoch: s.Epoch, Number: f.Number, Hash: f.Hash, Lease: l.Config.Lease, Next: l.Config.Lease / 8}
	if r.HasNumber != f.Number+1 && (r.AnsweredProposal == 0 || r.AnsweredProposal != f.ID || r.Rejection != "") {
		reply.Text = f.Text
	}
	if !s.HasHolder(r.Holder) {
		reply.MinGeneration = s.MinGenerations[r.Name]
		return reply, true
	}
	x := l.holder(r.Holder, now)
	if x.expiring {
		reply.Known, reply.Next = true, l.shortInterval()
		return reply, true
	}
	reply.Known = true
	x.lastRenewal, x.missedStop = now, false
	x.answeredProposal, x.rejection, x.stoppedEpoch = r.AnsweredProposal, r.Rejection, r.StoppedEpoch
	l.addTotals(x, r.Totals)
	if p := s.Pending; p != nil {
		reply.Proposal, reply.ProposedHash, reply.Next = p.ID, p.Hash, l.shortInterval()
		if r.AnsweredProposal != p.ID {
			reply.Proposed, reply.Next = p.Text, 0
		}
		if p.Stopped && r.StoppedEpoch != s.Epoch {
			reply.Next = 0
		}
		reply.Stopped = p.Stopped
	}
	if failpoint.On("grant-while-stopped") && r.StoppedEpoch == s.Epoch {
		reply.Stopped = false
	}
	if !reply.Stopped {
		reply.Granted = true
		x.lastGrant = now
	}
	reply.Next = min(reply.Next, l.Config.Lease/8)
	return reply, true
}

// Applied tells of a command that was applied to the state.
func (l *Leader) Applied(c Command) {
	if c.Op == OpExpire || c.Op == OpLeave || c.Op == OpForget {
		for h := range l.holders {
			if h == c.Holder || h.Name == c.Name {
				delete(l.holders, h)
			}
		}
	}
}

// shortInterval is how soon holders ask again while something is under way: the sooner the fewer they are.
func (l *Leader) shortInterval() time.Duration {
	return max(10*time.Millisecond, time.Duration(len(l.holders))*300*time.Microsecond)
}

// isExpired tells that nothing h was ever granted holds any more, whoever granted it.
func (l *Leader) isExpired(r HolderEntry, x *holderState, now time.Duration) bool {
	return !r.HoldOnPartition && now >= max(x.lastGrant, l.termBegan)+ExpiryMargin(l.Config.Lease)
}

// NextCommands is what is to be settled now. It may say the same again until it is; what comes too late does nothing.
func (l *Leader) NextCommands(now time.Duration, s *State) []Command {
	if l.term == 0 || l.term != s.LeaderTerm {
		return nil
	}
	var out []Command
	for h := range l.holders {
		if !s.HasHolder(h) {
			delete(l.holders, h)
		}
	}
	for _, r := range s.Holders {
		x := l.holder(r.Holder, now)
		if silent := now-x.lastRenewal >= ExpiryMargin(l.Config.Lease); l.isExpired(r, x, now) && silent || x.expiring {
			x.expiring = !failpoint.On("lapse-uncondemned")
			out = append(out, Command{Op: OpExpire, LeaderTerm: l.term, Holder: r.Holder})
		}
	}
	if p := s.Pending; p != nil {
		if c, ok := l.advanceProposal(now, s, p); ok {
			out = append(out, c)
		}
		return out
	}
	l.proposal, l.stopEpoch = 0, 0
	return append(out, l.checkGuard(now, s)...)
}

// advanceProposal is the next step of the proposal, if there is one.
func (l *Leader) advanceProposal(now time.Duration, s *State, p *Proposal) (Command, bool) {
	c := Command{LeaderTerm: l.term, ProposalID: p.ID, Epoch: s.Epoch, HoldersVersion: s.HoldersVersion}
	if l.proposal != p.ID {
		l.proposal, l.proposalSeen, l.stopEpoch = p.ID, now, 0
	}
	if p.Stopped && l.stopEpoch != s.Epoch {
		l.stopEpoch, l.stopSeen = s.Epoch, now
	}
	within := l.Config.Deadline
	if p.Deadline > 0 {
		within = time.Duration(p.Deadline)
	}
	var silent, going []string
	for _, r := range s.Holders {
		x := l.holder(r.Holder, now)
		switch {
		case x.answeredProposal == p.ID && x.rejection != "":
			c.Op, c.Members, c.Reason = OpAbort, []string{r.Name}, x.rejection
			return c, true
		case x.answeredProposal != p.ID || x.missedStop:
			silent = append(silent, r.Name)
		case !p.Stopped && now-x.lastRenewal > 2*max(l.shortInterval(), l.Config.Lease/8):
			silent = append(silent, r.Name) // a stop would only wait for it
		case p.Stopped && x.stoppedEpoch != s.Epoch:
			going = append(going, r.Name)
		}
	}
	waits := append(silent, going...)
	if failpoint.On("one-stopped") && p.Stopped && len(waits) < len(s.Holders) || failpoint.On("majority") && 2*len(waits) < len(s.Holders) {
		waits = nil
	}
	switch {
	case len(waits) == 0 && p.Stopped:
		c.Op, c.Before, c.KeepRevisions, c.KeepBytes = OpCommit, l.guard.totalsBefore(), l.Config.KeepRevisions, l.Config.KeepBytes
	case len(waits) == 0 && len(s.Holders) > 0:
		c.Op = OpStop
	case now >= l.proposalSeen+within:
		c.Op, c.Members, c.Reason = OpAbort, slices.Compact(waits), "no answer in "+within.String()
	case p.Stopped && now >= l.stopSeen+l.Config.StopTimeout:
		c.Op = OpResume
		for _, r := range s.Holders {
			if x := l.holder(r.Holder, now); x.answeredProposal != p.ID || x.stoppedEpoch != s.Epoch {
				x.missedStop = true
			}
		}
	default:
		return c, false
	}
	return c, true
}

// WaitingFor names who is waited for, for operators.
func (l *Leader) WaitingFor(s *State) (names []string) {
	p := s.Pending
	if p == nil || l.term == 0 {
		return nil
	}
	for _, r := range s.Holders {
		x := l.holders[r.Holder]
		if x == nil || x.answeredProposal != p.ID || x.missedStop || p.Stopped && x.stoppedEpoch != s.Epoch {
			names = append(names, r.Name)
		}
	}
	return slices.Compact(names)
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
