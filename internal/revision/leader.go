package revision

import (
	"slices"
	"strconv"
	"time"

	"oatloft/internal/failpoint"
)

// LeaderConfig has the durations and limits of a leader.
type LeaderConfig struct {
	Lease           time.Duration // of a grant, from the time of the request by the holder's clock
	Deadline        time.Duration // for proposals that set none
	StopTimeout     time.Duration // for all holders to stop, before the revision in force resumes; 0 means Lease/4
	MaxRevisions    int           // maximum number of revisions in the history
	MaxHistoryBytes int64         // maximum bytes of the texts in the history
}

const (
	renewalsPerLease      = 8 // renewals by a holder within the duration of one lease
	stopTimeoutDivisor    = 4
	minFastInterval       = 10 * time.Millisecond
	fastIntervalPerHolder = 300 * time.Microsecond // per listed holder
	maxMissedRenewals     = 2                      // a holder that has missed more counts as silent
)

// ExpiryMargin returns how long a leader waits after the last possible grant by any leader before it considers a lease
// expired. It allows for clock rates that differ by less than a tenth.
func ExpiryMargin(lease time.Duration) time.Duration {
	if failpoint.On("no-margin") {
		return lease / 2
	}
	return lease + lease/5 + 100*time.Millisecond
}

// holderState is what a leader knows of one holder.
type holderState struct {
	lastGrant        time.Duration // upper bound on the time of the last grant by any leader
	lastRenewal      time.Duration
	expiring         bool // its expiry is about to be committed: grant nothing
	answeredProposal uint64
	rejection        string // reason for rejecting the proposal; "" if it accepts
	stoppedEpoch     uint64
	missedStop       bool // it did not stop in time and has not renewed since
	hasTotals        bool
	totals           Totals
}

// Leader is the coordinator of one term: it grants leases, collects the members' answers to a proposal and returns
// the commands to commit. It keeps nothing that its successor needs: that is in State, or is reported again. It grants
// nothing in a term other than its own, while a stop is committed, or to a holder whose lease it is about to expire.
//
// A Leader has no goroutine and no clock. Its methods must not be called concurrently.
type Leader struct {
	Config LeaderConfig
	Name   string

	term      uint64 // 0 until BeginTerm
	termStart time.Duration
	holders   map[Holder]*holderState
	totals    Totals // of all holders since this term began
	guard     guard

	proposal     uint64
	proposalSeen time.Duration // when this leader first saw the proposal
	stopEpoch    uint64
	stopSeen     time.Duration // when this leader first saw the stop
}

// NewLeader returns a leader that does nothing until BeginTerm is called.
func NewLeader(name string, config LeaderConfig) *Leader {
	if config.StopTimeout == 0 {
		config.StopTimeout = config.Lease / stopTimeoutDivisor
	}
	return &Leader{Config: config, Name: name, holders: map[Holder]*holderState{}}
}

// BeginTerm records that this leader learnt at now that its term was committed under the number term.
func (l *Leader) BeginTerm(now time.Duration, term uint64) {
	l.term, l.termStart = term, now
	l.guard.reset(now)
}

// Term returns the number of its term, or 0 before BeginTerm.
func (l *Leader) Term() uint64 { return l.term }

// holder returns the state of a listed holder, and creates it if there is none. For a holder that it does not know, a
// leader assumes that an earlier leader has granted a lease just now.
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

// Renew answers a holder's request. After receiving the request, the caller must have confirmed that this process
// still leads in this term. ok is false if the term is over.
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
		reply.RenewAfter = l.fastInterval()
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
	reply.RenewAfter = min(reply.RenewAfter, l.renewInterval())
	return reply, true
}

// replyInForce returns a reply with the revision in force, including its text if the holder does not have it.
func (l *Leader) replyInForce(s *State, request RenewRequest) RenewReply {
	inForce := s.InForce()
	reply := RenewReply{
		Epoch:      s.Epoch,
		Number:     inForce.Number,
		Hash:       inForce.Hash,
		Lease:      l.Config.Lease,
		RenewAfter: l.renewInterval(),
	}
	hasText := request.HasNumber == inForce.Number+1
	staged := request.AnsweredProposal != 0 && request.AnsweredProposal == inForce.ID && request.Rejection == ""
	if !hasText && !staged {
		reply.Text = inForce.Text
	}
	return reply
}

// addProposal adds the proposal to a reply, including its text if the holder has not answered it.
func (l *Leader) addProposal(s *State, request RenewRequest, reply *RenewReply) {
	p := s.Pending
	reply.Proposal, reply.ProposedHash = p.ID, p.Hash
	reply.Stopped = p.Stopped
	reply.RenewAfter = l.fastInterval()
	if request.AnsweredProposal != p.ID {
		reply.Proposed = p.Text
		reply.RenewAfter = 0
	}
	if p.Stopped && request.StoppedEpoch != s.Epoch {
		reply.RenewAfter = 0
	}
}

// CommandApplied must be called after a command has been applied to the state.
func (l *Leader) CommandApplied(c Command) {
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

// fastInterval is the renewal interval while a proposal is pending or a holder is expiring. It grows with the number
// of holders.
func (l *Leader) fastInterval() time.Duration {
	return max(minFastInterval, time.Duration(len(l.holders))*fastIntervalPerHolder)
}

// isExpired reports whether every grant to a holder, by this or any earlier leader, has expired.
func (l *Leader) isExpired(entry HolderEntry, h *holderState, now time.Duration) bool {
	return !entry.KeepLeaseOnPartition && now >= max(h.lastGrant, l.termStart)+ExpiryMargin(l.Config.Lease)
}

// NextCommands returns the commands to commit now. It may return the same commands again until they are applied; a
// command that is committed too late has no effect.
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

// advanceProposal returns the next step of the proposal, if one is due: an abort when a holder rejects it or the
// deadline has passed; a stop once all holders have accepted; a commit once all have stopped, or a resume if they did
// not stop within the stop timeout.
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
		command.MaxRevisions, command.MaxHistoryBytes = l.Config.MaxRevisions, l.Config.MaxHistoryBytes
	case len(missing) == 0 && len(s.Holders) > 0:
		command.Op = OpStop
	case now >= l.proposalSeen+deadline:
		command.Op, command.Members = OpAbort, slices.Compact(missing)
		command.Reason = "no answer within " + deadline.String()
	case p.Stopped && now >= l.stopSeen+l.Config.StopTimeout:
		command.Op = OpResume
		l.markMissedStop(now, s, p)
	default:
		return command, false
	}
	return command, true
}

// noteProposal records when this leader first sees a proposal and its stop.
func (l *Leader) noteProposal(now time.Duration, s *State, p *Proposal) {
	if l.proposal != p.ID {
		l.proposal, l.proposalSeen, l.stopEpoch = p.ID, now, 0
	}
	if p.Stopped && l.stopEpoch != s.Epoch {
		l.stopEpoch, l.stopSeen = s.Epoch, now
	}
}

// firstRejection returns the first holder that rejects the proposal, and its reason.
func (l *Leader) firstRejection(now time.Duration, s *State, p *Proposal) (name, reason string, rejected bool) {
	for _, entry := range s.Holders {
		h := l.holder(entry.Holder, now)
		if h.answeredProposal == p.ID && h.rejection != "" {
			return entry.Name, h.rejection, true
		}
	}
	return "", "", false
}

// missingHolders returns the names of the holders that the proposal waits for: first those that have not answered or
// are silent, then those that have not stopped. Before the stop, a silent holder counts even if it has accepted,
// because the stop would only have to wait for it.
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

// WaitingFor returns the names of the holders that the proposal waits for, as shown to operators.
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
