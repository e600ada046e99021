package host

import (
	"time"

	"oatloft/internal/failpoint"
	"oatloft/internal/revision"
)

// maxUnacknowledged is the number of published leases that are kept until the proxy's loop acknowledges them.
const maxUnacknowledged = 64

// noNumber means that the proxy's loop uses no revision. Revision numbers begin at 0.
const noNumber = -1

// Reasons in the log line about a revision that the proxy's loop no longer uses.
const (
	releasedSuspended = "between" // the next revision is about to be in force
	releasedExpired   = "lapsed"  // the lease has expired
	releasedLeft      = "left"    // the process has left
)

// published records the leases that the lease holder has published and the proxy's loop has acknowledged.
type published struct {
	unacknowledged []revision.Lease // oldest first
	contentHash    string
	content        *revision.Content // the revision with contentHash
	activeNumber   int64             // the revision that the loop uses; noNumber if none
}

// publish makes the member's lease visible to the proxy's loop, if it has changed.
func (h *leaseHolder) publish() {
	l := h.member.Lease()
	old := h.lease.Load()
	var until time.Time
	if l.Until != revision.NoExpiry && l.Phase == revision.Active {
		until = h.base.Add(l.Until)
	}
	if old.Seq == l.Seq && old.Until.Equal(until) {
		return
	}
	next := &Lease{
		Number:  l.Number,
		Hash:    l.Hash,
		Content: h.contentOf(l),
		Phase:   publicPhase(l.Phase),
		Until:   until,
		Seq:     l.Seq,
		Reason:  l.Reason,
	}
	if old.Seq != l.Seq {
		h.addUnacknowledged(l)
	}
	if l.Phase == revision.Expired && h.published.activeNumber != noNumber && old.Phase == Active {
		h.logRelease(expiryTime(old.Until).UnixMicro(), releasedExpired)
	}
	h.lease.Store(next)
	if h.cfg.LeaseChanged != nil && (old.Seq != l.Seq || !failpoint.On("changed-unrung")) {
		h.cfg.LeaseChanged()
	}
}

// publicPhase converts a member's phase to the phase that the proxy's loop sees.
func publicPhase(phase revision.LeasePhase) Phase {
	switch phase {
	case revision.Active:
		return Active
	case revision.Suspended:
		return Suspended
	case revision.Expired, revision.Released:
		return Expired
	}
	return Learning
}

// contentOf returns the decoded content of a lease's revision, or nil until one is known. Each text is decoded once.
func (h *leaseHolder) contentOf(l revision.Lease) *revision.Content {
	p := &h.published
	if l.Text != nil && p.contentHash != l.Hash {
		if content, err := revision.Decode(l.Text); err == nil {
			p.contentHash, p.content = l.Hash, content
		}
	}
	return p.content
}

// addUnacknowledged keeps a lease until the loop acknowledges it. Beyond maxUnacknowledged the oldest is dropped.
func (h *leaseHolder) addUnacknowledged(l revision.Lease) {
	p := &h.published
	p.unacknowledged = append(p.unacknowledged, l)
	if len(p.unacknowledged) > maxUnacknowledged {
		p.unacknowledged = p.unacknowledged[1:]
	}
}

// expiryTime returns the wall-clock time at which a lease expired: until if that has passed, otherwise now.
func expiryTime(until time.Time) time.Time {
	expired := time.Now()
	if !until.IsZero() && until.Before(expired) {
		expired = until
	}
	return time.Now().Add(-time.Since(expired))
}

// collectAcks passes each of the loop's acknowledgements on to the member, however briefly the loop used the lease.
func (h *leaseHolder) collectAcks() {
	h.acksMu.Lock()
	acks := h.acks
	h.acks = nil
	h.acksMu.Unlock()
	for _, ack := range acks {
		if l, ok := h.takeAcknowledged(ack.seq); ok {
			h.logAcknowledged(l, ack.at)
		}
		h.member.Acknowledge(ack.seq)
	}
}

// takeAcknowledged removes the unacknowledged leases up to seq and returns the latest of them.
func (h *leaseHolder) takeAcknowledged(seq uint64) (latest revision.Lease, ok bool) {
	p := &h.published
	for len(p.unacknowledged) > 0 && p.unacknowledged[0].Seq <= seq {
		latest, ok = p.unacknowledged[0], true
		p.unacknowledged = p.unacknowledged[1:]
	}
	return latest, ok
}

// logAcknowledged logs that the loop has used a lease since at, in microseconds of wall clock.
func (h *leaseHolder) logAcknowledged(l revision.Lease, at int64) {
	p := &h.published
	if l.Phase != revision.Active {
		if p.activeNumber != noNumber {
			h.logRelease(at, releaseReason(l.Phase))
		}
		h.nextCall = 0 // report the acknowledgement immediately
		return
	}
	number := int64(l.Number)
	if p.activeNumber == number {
		return
	}
	if p.activeNumber != noNumber {
		h.logRelease(at, releasedSuspended)
	}
	p.activeNumber = number
	h.log.Info("revision active", "number", l.Number, "hash", revision.HashPrefix(l.Hash), "at", at)
	signal(h.wakeCoordinator)
	h.nextCall = 0
}

// releaseReason returns the reason why the loop no longer uses a revision.
func releaseReason(phase revision.LeasePhase) string {
	switch phase {
	case revision.Suspended:
		return releasedSuspended
	case revision.Released:
		return releasedLeft
	}
	return releasedExpired
}

func (h *leaseHolder) logRelease(at int64, reason string) {
	h.log.Info("revision released", "number", h.published.activeNumber, "at", at, "why", reason)
	h.published.activeNumber = noNumber
}
