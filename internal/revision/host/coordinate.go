package host

// This file owns the coordinator's goroutine, what other members call, and the log's entries on their way in and out. It must never
// answer a renewal before this process has made sure, after the renewal came, that it leads.

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

// machine is the host as the log's machine.
type machine Host

// Apply takes a settled entry. One that can't be read does nothing, at all members alike.
func (s *machine) Apply(_ uint64, entry []byte) {
	c, err := revision.ReadCommand(entry)
	if err != nil {
		s.log.Error("a settled entry can't be read", "err", err)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var before []revision.HolderEntry
	if c.Op == revision.OpJoin && c.Ended {
		before = s.state.Holders
	}
	r := s.state.Apply(c)
	if w := s.waiting[c.Nonce]; w != nil && c.Nonce != 0 {
		delete(s.waiting, c.Nonce)
		w <- r
	}
	if s.leader != nil {
		s.leader.Applied(c)
		if s.cfg.Bandwidth != nil && r.Err == nil {
			if c.Op == revision.OpLeave {
				s.cfg.Bandwidth.HolderLeft(c.Holder.String())
			}
			for _, b := range before {
				if !s.state.HasHolder(b.Holder) {
					s.cfg.Bandwidth.HolderLeft(b.Holder.String())
				}
			}
		}
	}
	signal(s.wakeCoordinator)
}

// Snapshot is the whole of what is settled.
func (s *machine) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.Snapshot()
}

// Restore takes a snapshot for what is settled.
func (s *machine) Restore(_ uint64, snapshot []byte) error {
	n := &revision.State{}
	if err := n.Restore(snapshot); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = n
	signal(s.wakeCoordinator)
	return nil
}

// commit has a command settled. The error is a *revision... refusal, or *Unsettled where it isn't known.
func (h *Host) commit(ctx context.Context, c revision.Command) (revision.Result, error) {
	c.Nonce = rand.Uint64() | 1
	w := make(chan revision.Result, 1)
	h.mu.Lock()
	h.waiting[c.Nonce] = w
	h.mu.Unlock()
	defer func() {
		h.mu.Lock()
		delete(h.waiting, c.Nonce)
		h.mu.Unlock()
	}()
	if err := h.node.Propose(ctx, c.Entry()); err != nil {
		return revision.Result{}, &NotCommitted{err.Error()}
	}
	select {
	case r := <-w:
		return r, r.Err
	default: // a snapshot has come over it
		return revision.Result{}, &NotCommitted{"it may have been settled long ago"}
	}
}

// coordinate is the goroutine that leads while this process does.
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

// leadStep does what is to be done now, and tells when to look again.
func (h *Host) leadStep() time.Duration {
	lead := h.node.Leader()
	h.mu.Lock()
	defer h.mu.Unlock()
	if !lead.IsSelf || lead.Term != h.term {
		h.leader, h.term = nil, 0
	}
	if !lead.IsSelf {
		return max(h.cfg.Lease/4, 50*time.Millisecond)
	}
	if h.leader == nil {
		h.term = lead.Term
		h.leader = revision.NewLeader(h.cfg.Name, revision.LeaderConfig{Lease: h.cfg.Lease, Deadline: h.cfg.Deadline, KeepRevisions: h.cfg.History, KeepBytes: h.cfg.HistoryBytes})
	}
	if h.leader.Term() == 0 {
		h.commitInBackground(revision.Command{Op: revision.OpBeginTerm, By: h.cfg.Name})
		return 50 * time.Millisecond
	}
	for _, c := range h.leader.NextCommands(h.now(), h.state) {
		h.commitInBackground(c)
	}
	if h.state.Pending != nil {
		return min(10*time.Millisecond, h.cfg.Lease/16)
	}
	return min(50*time.Millisecond, h.cfg.Lease/16)
}

// commitInBackground has one of the coordinator's commands settled in the background, unless it is on its way already. With mu held.
func (h *Host) commitInBackground(c revision.Command) {
	id := fmt.Sprint(h.term, c.Op, c.Holder, c.ProposalID, c.Epoch, c.Key)
	if h.inFlight[id] || len(h.inFlight) >= 64 {
		return
	}
	h.inFlight[id] = true
	term := h.term
	if c.Op == revision.OpPropose {
		c.ProposedAt = time.Now().UnixMilli()
	}
	h.goroutines.Go(func() {
		ctx, cancel := context.WithTimeout(h.ctx, 5*time.Second)
		r, err := h.commit(ctx, c)
		cancel()
		h.mu.Lock()
		delete(h.inFlight, id)
		if c.Op == revision.OpBeginTerm && err == nil && h.leader != nil && h.term == term && h.leader.Term() == 0 {
			h.leader.BeginTerm(h.now(), r.Number)
			if h.cfg.Bandwidth != nil {
				h.cfg.Bandwidth.Elected(h.now())
			}
		}
		h.mu.Unlock()
		if u := (*NotCommitted)(nil); errors.As(err, &u) {
			select {
			case <-time.After(20 * time.Millisecond): // the log doesn't take it now
			case <-h.ctx.Done():
			}
		}
		signal(h.wakeCoordinator)
	})
}

// lockAsLeader makes sure that this process leads, later than now. It comes back with mu held if there is no error.
func (h *Host) lockAsLeader(ctx context.Context) error {
	within, cancel := context.WithTimeout(ctx, max(h.cfg.Lease/2, 200*time.Millisecond))
	defer cancel()
	term, err := h.node.Confirm(within)
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

// serve answers what members call.
func (h *Host) serve(ctx context.Context, from, method string, body []byte) ([]byte, error) {
	switch method {
	case "renew":
		var r revision.RenewRequest
		if err := json.Unmarshal(body, &r); err != nil {
			return nil, &revision.Corrupt{Cause: err.Error()}
		}
		return h.renew(ctx, r)
	case "join", "leave":
		var c revision.Command
		if method == "join" {
			if err := json.Unmarshal(body, &c); err != nil {
				return nil, &revision.Corrupt{Cause: err.Error()}
			}
			c = revision.Command{Op: revision.OpJoin, Holder: c.Holder, HoldOnPartition: c.HoldOnPartition, Ended: c.Ended}
		} else {
			c.Op = revision.OpLeave
			if err := json.Unmarshal(body, &c.Holder); err != nil {
				return nil, &revision.Corrupt{Cause: err.Error()}
			}
		}
		if err := h.lockAsLeader(ctx); err != nil {
			return nil, err
		}
		h.mu.Unlock()
		_, err := h.commit(ctx, c)
		return nil, err
	case "ended":
		var o revision.Holder
		if err := json.Unmarshal(body, &o); err != nil {
			return nil, &revision.Corrupt{Cause: err.Error()}
		}
		return nil, h.processEnded(ctx, from, o)
	case "operate":
		o, err := revision.ParseOrder(string(body))
		if err != nil {
			return nil, err
		}
		text, err := h.executeOrder(ctx, o)
		return []byte(text), err
	}
	return nil, &revision.Corrupt{Cause: "no such call: " + method}
}

func (h *Host) renew(ctx context.Context, r revision.RenewRequest) ([]byte, error) {
	came := h.now() // what is lent counts from before it was made sure that this process leads
	if err := h.lockAsLeader(ctx); err != nil {
		return nil, err
	}
	reply, ok := h.leader.Renew(h.now(), h.state, r)
	if h.state.Pending != nil {
		signal(h.wakeCoordinator)
	}
	h.mu.Unlock()
	if !ok {
		return nil, &NotLeader{h.cfg.Name}
	}
	if r.Links != nil && reply.Known && h.cfg.Bandwidth != nil {
		again := time.Duration(0)
		if reply.Links, again = h.cfg.Bandwidth.Grant(r.Holder.String(), r.Links, came); again > 0 {
			reply.Next = min(reply.Next, again)
		}
	}
	return json.Marshal(reply)
}

var _ consensus.Machine = (*machine)(nil)
