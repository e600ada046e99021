package host

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"oatloft/internal/consensus"
	"oatloft/internal/failpoint"
	"oatloft/internal/revision"
)

// Methods of the calls between members. Other versions know them by these names.
const (
	methodRenew   = "renew"   // a lease
	methodJoin    = "join"    // a process is to be listed
	methodLeave   = "leave"   // a process gives up its lease for good
	methodEnded   = "ended"   // another process of the caller has ended
	methodOperate = "operate" // an operator's call
)

const (
	maxInFlight       = 64 // of the leader's commands
	commitTimeout     = 5 * time.Second
	commitRetry       = 20 * time.Millisecond // the log does not take entries now
	minConfirmTimeout = 200 * time.Millisecond
	maxLeaderStep     = 50 * time.Millisecond // between two looks of a leader ...
	proposalStep      = 10 * time.Millisecond // ... and while a proposal is under way
	leaseSteps        = 16                    // looks of a leader in the time of a lease
)

// machine is the host as the log's state machine. Its methods run on the log's goroutine.
type machine Host

var _ consensus.Machine = (*machine)(nil)

// Apply takes a committed entry. One that cannot be read does nothing, at all members alike.
func (m *machine) Apply(_ uint64, entry []byte) {
	command, err := revision.DecodeCommand(entry)
	if err != nil {
		m.log.Error("a settled entry can't be read", "err", err)
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	before := m.state.Holders
	result := m.state.Apply(command)
	if w := m.waiting[command.Nonce]; w != nil && command.Nonce != 0 {
		delete(m.waiting, command.Nonce)
		w <- result
	}
	if m.leader != nil {
		m.leader.CommandApplied(command)
		if result.Err == nil {
			m.releaseBandwidth(command, before)
		}
	}
	signal(m.wakeCoordinator)
}

// releaseBandwidth tells of holders that use nothing of links any more: one that has left, or the earlier processes
// of one that joins.
func (m *machine) releaseBandwidth(command revision.Command, before []revision.HolderEntry) {
	if m.cfg.Bandwidth == nil {
		return
	}
	switch {
	case command.Op == revision.OpLeave:
		m.cfg.Bandwidth.HolderLeft(command.Holder.String())
	case command.Op == revision.OpJoin && command.Ended:
		for _, entry := range before {
			if !m.state.HasHolder(entry.Holder) {
				m.cfg.Bandwidth.HolderLeft(entry.String())
			}
		}
	}
}

// Snapshot returns the whole state.
func (m *machine) Snapshot() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Snapshot()
}

// Restore takes a snapshot in place of the state.
func (m *machine) Restore(_ uint64, snapshot []byte) error {
	state := &revision.State{}
	if err := state.Restore(snapshot); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.state = state
	signal(m.wakeCoordinator)
	return nil
}

// commit has a command committed. The error is the state's refusal, or *NotCommitted if the outcome is not known.
func (h *Host) commit(ctx context.Context, command revision.Command) (revision.Result, error) {
	command.Nonce = rand.Uint64() | 1
	w := make(chan revision.Result, 1)
	h.mu.Lock()
	h.waiting[command.Nonce] = w
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.waiting, command.Nonce)
		h.mu.Unlock()
	}()
	if err := h.node.Propose(ctx, command.Encode()); err != nil {
		return revision.Result{}, &NotCommitted{err.Error()}
	}
	select {
	case result := <-w:
		return result, result.Err
	default: // a snapshot has come in place of the entry
		return revision.Result{}, &NotCommitted{"it may have been settled long ago"}
	}
}

// coordinate is the goroutine that does the leader's work while this process leads.
func (h *Host) coordinate() {
	for {
		wait := h.leadStep()
		select {
		case <-h.ctx.Done():
			return
		case <-h.node.LeaderChanged():
			signal(h.wakeHolder)
		case <-h.wakeCoordinator:
		case <-time.After(wait):
		}
	}
}

// leadStep does what a leader has to do now, and returns when to look again.
func (h *Host) leadStep() time.Duration {
	leader := h.node.Leader()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !leader.IsSelf || leader.Term != h.term {
		h.leader, h.term = nil, 0
	}
	if !leader.IsSelf {
		return max(h.cfg.Lease/4, maxLeaderStep)
	}
	if h.leader == nil {
		h.term = leader.Term
		h.leader = revision.NewLeader(h.cfg.Name, revision.LeaderConfig{
			Lease:           h.cfg.Lease,
			Deadline:        h.cfg.Deadline,
			MaxRevisions:    h.cfg.History,
			MaxHistoryBytes: h.cfg.HistoryBytes,
		})
	}
	if h.leader.Term() == 0 {
		h.commitInBackground(revision.Command{Op: revision.OpBeginTerm, By: h.cfg.Name})
		return maxLeaderStep
	}
	for _, command := range h.leader.NextCommands(h.now(), h.state) {
		h.commitInBackground(command)
	}
	if h.state.Pending != nil {
		return min(proposalStep, h.cfg.Lease/leaseSteps)
	}
	return min(maxLeaderStep, h.cfg.Lease/leaseSteps)
}

// commitInBackground has one of the leader's commands committed, unless it is on its way already. With mu held.
func (h *Host) commitInBackground(command revision.Command) {
	id := fmt.Sprint(h.term, command.Op, command.Holder, command.ProposalID, command.Epoch, command.Key)
	if h.inFlight[id] || len(h.inFlight) >= maxInFlight {
		return
	}
	h.inFlight[id] = true
	term := h.term
	if command.Op == revision.OpPropose {
		command.ProposedAt = time.Now().UnixMilli()
	}
	h.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, commitTimeout)
		result, err := h.commit(ctx, command)
		cancel()
		h.mu.Lock()
		delete(h.inFlight, id)
		if command.Op == revision.OpBeginTerm && err == nil {
			h.beginTerm(term, result.Number)
		}
		h.mu.Unlock()
		if errors.As(err, new(*NotCommitted)) {
			select {
			case <-time.After(commitRetry):
			case <-h.ctx.Done():
			}
		}
		signal(h.wakeCoordinator)
	})
}

// beginTerm begins the leader's term, unless another one leads by now. With mu held.
func (h *Host) beginTerm(logTerm, number uint64) {
	if h.leader == nil || h.term != logTerm || h.leader.Term() != 0 {
		return
	}
	h.leader.BeginTerm(h.now(), number)
	if h.cfg.Bandwidth != nil {
		h.cfg.Bandwidth.Elected(h.now())
	}
}

// lockAsLeader makes sure that this process leads, later than the call began. It returns with mu held if there is
// no error (*NotLeader).
func (h *Host) lockAsLeader(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, max(h.cfg.Lease/2, minConfirmTimeout))
	defer cancel()
	term, err := h.node.Confirm(ctx)
	if failpoint.On("unconfirmed") {
		term, err = h.node.Leader().Term, nil
	}
	if err != nil {
		return &NotLeader{h.cfg.Name}
	}
	h.mu.Lock()
	if h.leader == nil || h.leader.Term() == 0 || h.term != term {
		h.mu.Unlock()
		signal(h.wakeCoordinator)
		return &NotLeader{h.cfg.Name}
	}
	return nil
}

// serve answers other members' calls.
func (h *Host) serve(ctx context.Context, from, method string, body []byte) ([]byte, error) {
	switch method {
	case methodRenew:
		return h.serveRenew(ctx, body)
	case methodJoin:
		var c revision.Command
		if err := unmarshal(body, &c); err != nil {
			return nil, err
		}
		join := revision.Command{
			Op: revision.OpJoin, Holder: c.Holder, KeepLeaseOnPartition: c.KeepLeaseOnPartition, Ended: c.Ended,
		}
		return nil, h.commitAsLeader(ctx, join)
	case methodLeave:
		leave := revision.Command{Op: revision.OpLeave}
		if err := unmarshal(body, &leave.Holder); err != nil {
			return nil, err
		}
		return nil, h.commitAsLeader(ctx, leave)
	case methodEnded:
		var ended revision.Holder
		if err := unmarshal(body, &ended); err != nil {
			return nil, err
		}
		return nil, h.processEnded(ctx, from, ended)
	case methodOperate:
		order, err := revision.ParseCall(string(body))
		if err != nil {
			return nil, err
		}
		text, err := h.executeOrder(ctx, order)
		return []byte(text), err
	}
	return nil, &revision.Corrupt{Cause: "no such call: " + method}
}

func unmarshal(body []byte, to any) error {
	if err := json.Unmarshal(body, to); err != nil {
		return &revision.Corrupt{Cause: err.Error()}
	}
	return nil
}

func (h *Host) commitAsLeader(ctx context.Context, command revision.Command) error {
	if err := h.lockAsLeader(ctx); err != nil {
		return err
	}
	h.mu.Unlock()
	_, err := h.commit(ctx, command)
	return err
}

// serveRenew answers a renewal, once it is sure, after the renewal came, that this process leads. What is granted
// of links counts from before that.
func (h *Host) serveRenew(ctx context.Context, body []byte) ([]byte, error) {
	var request revision.RenewRequest
	if err := unmarshal(body, &request); err != nil {
		return nil, err
	}
	received := h.now()
	if err := h.lockAsLeader(ctx); err != nil {
		return nil, err
	}
	reply, ok := h.leader.Renew(h.now(), h.state, request)
	if h.state.Pending != nil {
		signal(h.wakeCoordinator)
	}
	h.mu.Unlock()
	if !ok {
		return nil, &NotLeader{h.cfg.Name}
	}
	if request.Links != nil && reply.Known && h.cfg.Bandwidth != nil {
		grants, renewAfter := h.cfg.Bandwidth.Grant(request.Holder.String(), request.Links, received)
		reply.Links = grants
		if renewAfter > 0 {
			reply.RenewAfter = min(reply.RenewAfter, renewAfter)
		}
	}
	return json.Marshal(reply)
}
