package host

import (
	"context"
	"time"

	"oatloft/internal/revision"
)

// Interval between checks for ended processes.
const (
	minCheckInterval = 100 * time.Millisecond
	maxCheckInterval = 2 * time.Second
	checksPerLease   = 4 // checks per lease duration
)

// watchEnded reports this balancer's ended processes to the leader, so that no member waits for their leases. It
// checks periodically, because a process may end after its successor has started.
func (h *Host) watchEnded() {
	interval := min(max(h.cfg.Lease/checksPerLease, minCheckInterval), maxCheckInterval)
	for {
		h.reportEnded()
		select {
		case <-h.ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// reportEnded reports each ended process and stops at the first call that fails.
func (h *Host) reportEnded() {
	leader := h.node.Leader()
	if leader.Name == "" {
		return
	}
	for _, generation := range h.processes.ended() {
		holder := revision.Holder{Name: h.cfg.Name, Generation: generation}
		if err := h.callLeader(leader, methodEnded, holder, nil, callTimeout); err != nil {
			return
		}
		h.processes.remove(generation)
		h.log.Info("revisions: another process of this balancer has ended without giving up its lease",
			"generation", generation)
	}
}

// processEnded ends the lease of a process that another process of the same balancer has reported as ended.
func (h *Host) processEnded(ctx context.Context, from string, holder revision.Holder) error {
	if from != holder.Name {
		return &revision.Corrupt{Cause: from + " reports that a process of " + holder.Name + " has ended"}
	}
	if err := h.lockAsLeader(ctx); err != nil {
		return err
	}
	known := h.state.HasEnded(holder)
	h.mu.Unlock()
	if known {
		return nil
	}
	_, err := h.commit(ctx, revision.Command{Op: revision.OpLeave, Holder: holder, Ended: true})
	return err
}
