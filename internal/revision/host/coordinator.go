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

// Methods of the calls between members. Members of other versions use the same names.
const (
	methodRenew   = "renew"   // renews a lease
	methodJoin    = "join"    // adds a process to the lease holders
	methodLeave   = "leave"   // gives up a process's lease for good
	methodEnded   = "ended"   // reports that another process of the caller's balancer has ended
	methodOperate = "operate" // carries out an operator's call
)

const (
	maxInFlight       = 64 // commands of the leader that are being committed
	commitTimeout     = 5 * time.Second
	commitRetryDelay  = 20 * time.Millisecond // delay after the log has not accepted an entry
	minConfirmTimeout = 200 * time.Millisecond
	maxLeaderInterval = 50 * time.Millisecond // longest interval between steps of the leader
	proposalInterval  = 10 * time.Millisecond // the same while a proposal is pending
	stepsPerLease     = 16                    // steps of the leader per lease duration
)

// machine implements the log's state machine on a Host. Its methods run on the log's goroutine.
type machine Host

var _ consensus.Machine = (*machine)(nil)

// Apply applies a committed entry. An entry that cannot be decoded is skipped, at all members alike.
func (m *machine) Apply(_ uint64, entry []byte) {
	command, err := revision.DecodeCommand(entry)
	if err != nil {
		m.log.Error("revisions: skipped a committed entry that cannot be decoded", "err", err)
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

// releaseBandwidth reports the holders that no longer use links: a holder that has left, or the earlier processes of
// a holder that joins. It is called with mu held.
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

// Snapshot returns the encoded state.
func (m *machine) Snapshot() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state.Snapshot()
}

// Restore replaces the state with a snapshot.
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

// commit commits a command to the log and returns its result. The error is the state's rejection of the command, or
// *NotCommitted if the outcome is unknown.
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
	default: // a snapshot was restored instead of applying the entry
		return revision.Result{}, &NotCommitted{"a snapshot replaced its log entry"}
	}
}

// coordinate runs the leader's steps while this process leads. It is a goroutine of its own.
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

// leadStep commits the commands that are due if this process leads, and returns the time until the next step.
func (h *Host) leadStep() time.Duration {
	leader := h.node.Leader()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !leader.IsSelf || leader.Term != h.term {
		h.leader, h.term = nil, 0
	}
	if !leader.IsSelf {
		return max(h.cfg.Lease/4, maxLeaderInterval)
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
		return maxLeaderInterval
	}
	for _, command := range h.leader.NextCommands(h.now(), h.state) {
		h.commitInBackground(command)
	}
	if h.state.Pending != nil {
		return min(proposalInterval, h.cfg.Lease/stepsPerLease)
	}
	return min(maxLeaderInterval, h.cfg.Lease/stepsPerLease)
}

// commitInBackground commits one of the leader's commands in a goroutine, unless the same command is being committed
// or maxInFlight is reached. It is called with mu held.
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
			case <-time.After(commitRetryDelay):
			case <-h.ctx.Done():
			}
		}
		signal(h.wakeCoordinator)
	})
}

// beginTerm begins the leader's term, unless leadership has changed meanwhile. It is called with mu held.
func (h *Host) beginTerm(logTerm, number uint64) {
	if h.leader == nil || h.term != logTerm || h.leader.Term() != 0 {
		return
	}
	h.leader.BeginTerm(h.now(), number)
	if h.cfg.Bandwidth != nil {
		h.cfg.Bandwidth.Elected(h.now())
	}
}

// lockAsLeader confirms that this process still leads after the call began. It returns with mu held unless it
// returns an error, which is a *NotLeader.
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

// serve handles calls of other members.
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
		call, err := revision.ParseCall(string(body))
		if err != nil {
			return nil, err
		}
		text, err := h.executeCall(ctx, call)
		return []byte(text), err
	}
	return nil, &revision.Corrupt{Cause: "unknown method: " + method}
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

// serveRenew answers a renewal once this process is confirmed to lead after receiving it. Bandwidth grants count from
// the time of receipt, which precedes the confirmation.
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
		grants, renewAfter := h.cfg.Bandwidth.HandleRequest(request.Holder.String(), request.Links, received)
		reply.Links = grants
		if renewAfter > 0 {
			reply.RenewAfter = min(reply.RenewAfter, renewAfter)
		}
	}
	return json.Marshal(reply)
}
