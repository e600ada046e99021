package host

import (
	"context"
	"time"

	"oatloft/internal/revision"
)

// Bounds of the time between two looks for ended processes.
const (
	minWatchInterval = 100 * time.Millisecond
	maxWatchInterval = 2 * time.Second
	watchParts       = 4 // looks in the time of a lease
)

// watchEnded reports this balancer's ended processes to the leader, so that nobody waits for their leases. It looks
// again and again, because a process may end after the next one has started.
func (h *Host) watchEnded() {
	interval := min(max(h.cfg.Lease/watchParts, minWatchInterval), maxWatchInterval)
	for {
		h.reportEnded()
		select {
		case <-h.ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// reportEnded reports each ended process, up to the first call that fails.
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
		h.log.Info("revisions: an earlier process has ended without a word", "generation", generation)
	}
}

// processEnded ends the lease of a process that another process of the same balancer has seen end.
func (h *Host) processEnded(ctx context.Context, from string, holder revision.Holder) error {
	if from != holder.Name {
		return &revision.Corrupt{Cause: from + " tells that a process of " + holder.Name + " has ended"}
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
