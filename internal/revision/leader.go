package revision

import (
	"slices"
	"strconv"
	"time"

	"oatloft/internal/failpoint"
)

// LeaderConfig are the times and limits of a leader.
type LeaderConfig struct {
	Lease         time.Duration // of a grant, from when it was requested, by the holder's clock
	Deadline      time.Duration // of a proposal that names none
	StopTimeout   time.Duration // for all to stop, before the revision in force goes on; Lease/4 if 0
	KeepRevisions int           // of history
	KeepBytes     int64         // of history
}

const (
	renewalsPerLease      = 8 // a holder renews so often while a lease lasts
	stopTimeoutDivisor    = 4
	minFastInterval       = 10 * time.Millisecond
	fastIntervalPerHolder = 300 * time.Microsecond // for each holder
	maxMissedRenewals     = 2                      // a holder that has missed so many counts as silent
)

// ExpiryMargin is how long a leader waits after the last grant that anybody may have given before it takes a lease
// for expired: rates of clocks differ by less than a tenth.
func ExpiryMargin(lease time.Duration) time.Duration {
	if failpoint.On("no-margin") {
		return lease / 2
	}
	return lease + lease/5 + 100*time.Millisecond
}

// holderState is what a leader has heard from one holder.
type holderState struct {
	lastGrant        time.Duration // no grant by any leader is later than this
	lastRenewal      time.Duration
	expiring         bool // no grant until its expiry is committed
	answeredProposal uint64
	rejection        string // why it rejects the proposal; "" if it accepts
	stoppedEpoch     uint64
	missedStop       bool // it had not stopped in time, and has not been heard from since
	hasTotals        bool
	totals           Totals
}

// Leader is the coordinator of one term: it grants leases, collects the members' answers to a proposal, and says
// which commands are to be committed. It keeps nothing that a successor would need: that is in State, or requested
// again. It never grants anything in a term that is not its own, while a stop is committed, or to a holder whose
// lease it is about to expire.
//
// A Leader has no goroutine and no clock. Its methods may not be called at the same time.
type Leader struct {
	Config LeaderConfig
	Name   string

	term      uint64 // 0 until its beginning is committed
	termStart time.Duration
	holders   map[Holder]*holderState
	totals    Totals // of all holders, since this term began
	guard     guard

	proposal     uint64
	proposalSeen time.Duration // when this leader first saw the proposal
	stopEpoch    uint64
	stopSeen     time.Duration // when this leader first saw the stop
}

// NewLeader returns a leader that is to be, until BeginTerm.
func NewLeader(name string, config LeaderConfig) *Leader {
	if config.StopTimeout == 0 {
		config.StopTimeout = config.Lease / stopTimeoutDivisor
	}
	return &Leader{Config: config, Name: name, holders: map[Holder]*holderState{}}
}

// BeginTerm tells that its term was committed as number term, and that this was learnt now.
func (l *Leader) BeginTerm(now time.Duration, term uint64) {
	l.term, l.termStart = term, now
	l.guard.reset(now)
}

// Term is its term's number, 0 before it.
func (l *Leader) Term() uint64 { return l.term }

// holder is what it has of a listed holder.
func (l *Leader) holder(h Holder, now time.Duration) *holderState {
	state := l.holders[h]
	if state == nil {
		state = &holderState{lastGrant: now, lastRenewal: now}
		if failpoint.On("new-leader-knows") {
			state.lastGrant, state.lastRenewal = -1<<40, -1<<40
		}
		l.holders[h] = state
	}
	return state
}

// Renew answers a holder's request. The caller has made sure, after the request had come, that this process leads
// in this term; ok is false if the term is over.
func (l *Leader) Renew(now time.Duration, s *State, request RenewRequest) (reply RenewReply, ok bool) {
	if l.term == 0 || l.term != s.LeaderTerm {
		return RenewReply{}, false
	}
	reply = l.replyInForce(s, request)
	if !s.HasHolder(request.Holder) {
		reply.MinGeneration = s.MinGenerations[request.Name]
		return reply, true
	}
	reply.Known = true
	h := l.holder(request.Holder, now)
	if h.expiring {
		reply.Next = l.fastInterval()
		return reply, true
	}
	h.lastRenewal = now
	h.missedStop = false
	h.answeredProposal, h.rejection, h.stoppedEpoch = request.AnsweredProposal, request.Rejection, request.StoppedEpoch
	l.addTotals(h, request.Totals)
	if s.Pending != nil {
		l.addProposal(s, request, &reply)
	}
	if failpoint.On("grant-while-stopped") && request.StoppedEpoch == s.Epoch {
		reply.Stopped = false
	}
	if !reply.Stopped {
		reply.Granted = true
		h.lastGrant = now
	}
	reply.Next = min(reply.Next, l.renewInterval())
	return reply, true
}

// replyInForce is the part of a reply on the revision in force, with its text if the holder has not got it.
func (l *Leader) replyInForce(s *State, request RenewRequest) RenewReply {
	inForce := s.InForce()
	reply := RenewReply{
		Epoch:  s.Epoch,
		Number: inForce.Number,
		Hash:   inForce.Hash,
		Lease:  l.Config.Lease,
		Next:   l.renewInterval(),
	}
	hasText := request.HasNumber == inForce.Number+1
	staged := request.AnsweredProposal != 0 && request.AnsweredProposal == inForce.ID && request.Rejection == ""
	if !hasText && !staged {
		reply.Text = inForce.Text
	}
	return reply
}

// replyProposal adds the proposal to a reply, with its text if the holder has not answered it.
func (l *Leader) addProposal(s *State, request RenewRequest, reply *RenewReply) {
	p := s.Pending
	reply.Proposal, reply.ProposedHash = p.ID, p.Hash
	reply.Stopped = p.Stopped
	reply.Next = l.fastInterval()
	if request.AnsweredProposal != p.ID {
		reply.Proposed = p.Text
		reply.Next = 0
	}
	if p.Stopped && request.StoppedEpoch != s.Epoch {
		reply.Next = 0
	}
}

// Applied tells of a command that was applied to the state.
func (l *Leader) Applied(c Command) {
	if c.Op != OpExpire && c.Op != OpLeave && c.Op != OpForget {
		return
	}
	for h := range l.holders {
		if h == c.Holder || h.Name == c.Name {
			delete(l.holders, h)
		}
	}
}

func (l *Leader) renewInterval() time.Duration { return l.Config.Lease / renewalsPerLease }

// shortInterval is how soon holders renew while something is under way: the sooner the fewer they are.
func (l *Leader) fastInterval() time.Duration {
	return max(minFastInterval, time.Duration(len(l.holders))*fastIntervalPerHolder)
}

// isExpired tells that nothing a holder was ever granted holds any more, whoever granted it.
func (l *Leader) isExpired(entry HolderEntry, h *holderState, now time.Duration) bool {
	return !entry.HoldOnPartition && now >= max(h.lastGrant, l.termStart)+ExpiryMargin(l.Config.Lease)
}

// NextCommands returns what is to be committed now. It may return the same again until it is; what comes too late
// does nothing.
func (l *Leader) NextCommands(now time.Duration, s *State) []Command {
	if l.term == 0 || l.term != s.LeaderTerm {
		return nil
	}
	for h := range l.holders {
		if !s.HasHolder(h) {
			delete(l.holders, h)
		}
	}
	commands := l.expireHolders(now, s)
	if p := s.Pending; p != nil {
		if c, due := l.advanceProposal(now, s, p); due {
			commands = append(commands, c)
		}
		return commands
	}
	l.proposal, l.stopEpoch = 0, 0
	return append(commands, l.checkGuard(now, s)...)
}

func (l *Leader) expireHolders(now time.Duration, s *State) (commands []Command) {
	for _, entry := range s.Holders {
		h := l.holder(entry.Holder, now)
		silent := now-h.lastRenewal >= ExpiryMargin(l.Config.Lease)
		if l.isExpired(entry, h, now) && silent || h.expiring {
			h.expiring = !failpoint.On("lapse-uncondemned")
			commands = append(commands, Command{Op: OpExpire, LeaderTerm: l.term, Holder: entry.Holder})
		}
	}
	return commands
}

// advanceProposal is the next step of the proposal, if one is due: an abort as soon as a holder rejects it or the
// deadline has passed; a stop once all have accepted; the commit once all have stopped, or a resume if that takes
// too long.
func (l *Leader) advanceProposal(now time.Duration, s *State, p *Proposal) (command Command, due bool) {
	l.noteProposal(now, s, p)
	command = Command{LeaderTerm: l.term, ProposalID: p.ID, Epoch: s.Epoch, HoldersVersion: s.HoldersVersion}
	if name, reason, rejected := l.firstRejection(now, s, p); rejected {
		command.Op, command.Members, command.Reason = OpAbort, []string{name}, reason
		return command, true
	}
	deadline := l.Config.Deadline
	if p.Deadline > 0 {
		deadline = time.Duration(p.Deadline)
	}
	missing := l.missingHolders(now, s, p)
	switch {
	case len(missing) == 0 && p.Stopped:
		command.Op, command.Baseline = OpCommit, l.guard.baseline()
		command.KeepRevisions, command.KeepBytes = l.Config.KeepRevisions, l.Config.KeepBytes
	case len(missing) == 0 && len(s.Holders) > 0:
		command.Op = OpStop
	case now >= l.proposalSeen+deadline:
		command.Op, command.Members = OpAbort, slices.Compact(missing)
		command.Reason = "no answer in " + deadline.String()
	case p.Stopped && now >= l.stopSeen+l.Config.StopTimeout:
		command.Op = OpResume
		l.markMissedStop(now, s, p)
	default:
		return command, false
	}
	return command, true
}

// noteProposal notes when this leader first sees a proposal and its stop.
func (l *Leader) noteProposal(now time.Duration, s *State, p *Proposal) {
	if l.proposal != p.ID {
		l.proposal, l.proposalSeen, l.stopEpoch = p.ID, now, 0
	}
	if p.Stopped && l.stopEpoch != s.Epoch {
		l.stopEpoch, l.stopSeen = s.Epoch, now
	}
}

// rejection is the first holder that rejects the proposal, and why.
func (l *Leader) firstRejection(now time.Duration, s *State, p *Proposal) (name, reason string, rejected bool) {
	for _, entry := range s.Holders {
		h := l.holder(entry.Holder, now)
		if h.answeredProposal == p.ID && h.rejection != "" {
			return entry.Name, h.rejection, true
		}
	}
	return "", "", false
}

// missingHolders names the holders that the proposal waits for: those that have not answered or are silent, then
// those that have not stopped yet. Before the stop a silent one counts although it has accepted, since the stop
// would only wait for it.
func (l *Leader) missingHolders(now time.Duration, s *State, p *Proposal) []string {
	var silent, running []string
	for _, entry := range s.Holders {
		h := l.holder(entry.Holder, now)
		overdue := now-h.lastRenewal > maxMissedRenewals*max(l.fastInterval(), l.renewInterval())
		switch {
		case h.answeredProposal != p.ID || h.missedStop || !p.Stopped && overdue:
			silent = append(silent, entry.Name)
		case p.Stopped && h.stoppedEpoch != s.Epoch:
			running = append(running, entry.Name)
		}
	}
	missing := append(silent, running...)
	someStopped := p.Stopped && len(missing) < len(s.Holders)
	mostStopped := 2*len(missing) < len(s.Holders)
	if failpoint.On("one-stopped") && someStopped || failpoint.On("majority") && mostStopped {
		return nil
	}
	return missing
}

func (l *Leader) markMissedStop(now time.Duration, s *State, p *Proposal) {
	for _, entry := range s.Holders {
		h := l.holder(entry.Holder, now)
		if h.answeredProposal != p.ID || h.stoppedEpoch != s.Epoch {
			h.missedStop = true
		}
	}
}

// WaitingFor names the holders that the proposal waits for, for operators.
func (l *Leader) WaitingFor(s *State) (names []string) {
	p := s.Pending
	if p == nil || l.term == 0 {
		return nil
	}
	for _, entry := range s.Holders {
		h := l.holders[entry.Holder]
		if h == nil || h.answeredProposal != p.ID || h.missedStop || p.Stopped && h.stoppedEpoch != s.Epoch {
			names = append(names, entry.Name)
		}
	}
	return slices.Compact(names)
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }
