package host

import (
	"time"

	"oatloft/internal/failpoint"
	"oatloft/internal/revision"
)

// maxUnacknowledged is how many published leases are remembered for a loop that has not acknowledged them.
const maxUnacknowledged = 64

// noNumber says that the proxy's loop goes by no revision. Numbers of revisions begin at 0.
const noNumber = -1

// Reasons in the log line that a revision is no longer gone by.
const (
	releasedBetween = "between" // the next revision is about to be in force
	releasedLapsed  = "lapsed"  // the lease has expired
	releasedLeft    = "left"    // the process has left
)

// published is what the lease holder has published, and what the proxy's loop has acknowledged of it.
type published struct {
	unacknowledged []revision.Lease // oldest first
	contentHash    string
	content        *revision.Content // the revision with contentHash
	activeNumber   int64             // of the revision the loop goes by; noNumber if none
}

// publish makes the member's lease the one that the proxy's loop reads, if anything is new.
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
		h.remember(l)
	}
	if l.Phase == revision.Expired && h.published.activeNumber != noNumber && old.Phase == Active {
		h.logRelease(expiryTime(old.Until).UnixMicro(), releasedLapsed)
	}
	h.lease.Store(next)
	if h.cfg.LeaseChanged != nil && (old.Seq != l.Seq || !failpoint.On("changed-unrung")) {
		h.cfg.LeaseChanged()
	}
}

// publicPhase returns the phase that the proxy's loop sees.
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

// contentOf returns the decoded content of a lease's revision; nil until one is known. A text is decoded once.
func (h *leaseHolder) contentOf(l revision.Lease) *revision.Content {
	p := &h.published
	if l.Text != nil && p.contentHash != l.Hash {
		if content, err := revision.Decode(l.Text); err == nil {
			p.contentHash, p.content = l.Hash, content
		}
	}
	return p.content
}

// remember notes a lease that the loop has yet to acknowledge.
func (h *leaseHolder) remember(l revision.Lease) {
	p := &h.published
	p.unacknowledged = append(p.unacknowledged, l)
	if len(p.unacknowledged) > maxUnacknowledged {
		p.unacknowledged = p.unacknowledged[1:]
	}
}

// expiryTime returns when, by the wall clock, a lease has expired: at until if that has passed, else now.
func expiryTime(until time.Time) time.Time {
	expired := time.Now()
	if !until.IsZero() && until.Before(expired) {
		expired = until
	}
	return time.Now().Add(-time.Since(expired))
}

// collectAcks hands the loop's acknowledgements on to the member: each of them, however short the loop went by the
// lease.
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

// takeAcknowledged drops the remembered leases up to seq and returns the latest of them.
func (h *leaseHolder) takeAcknowledged(seq uint64) (latest revision.Lease, ok bool) {
	p := &h.published
	for len(p.unacknowledged) > 0 && p.unacknowledged[0].Seq <= seq {
		latest, ok = p.unacknowledged[0], true
		p.unacknowledged = p.unacknowledged[1:]
	}
	return latest, ok
}

// logAcknowledged logs that the loop has gone by a lease since at, in microseconds of wall clock.
func (h *leaseHolder) logAcknowledged(l revision.Lease, at int64) {
	p := &h.published
	if l.Phase != revision.Active {
		if p.activeNumber != noNumber {
			h.logRelease(at, releaseReason(l.Phase))
		}
		h.nextCall = 0 // report it at once
		return
	}
	number := int64(l.Number)
	if p.activeNumber == number {
		return
	}
	if p.activeNumber != noNumber {
		h.logRelease(at, releasedBetween)
	}
	p.activeNumber = number
	h.log.Info("revision at work", "number", l.Number, "hash", revision.HashPrefix(l.Hash), "at", at)
	signal(h.wakeCoordinator)
	h.nextCall = 0
}

// releaseReason names why the loop no longer goes by a revision.
func releaseReason(phase revision.LeasePhase) string {
	switch phase {
	case revision.Suspended:
		return releasedBetween
	case revision.Released:
		return releasedLeft
	}
	return releasedLapsed
}

func (h *leaseHolder) logRelease(at int64, why string) {
	h.log.Info("revision let go", "number", h.published.activeNumber, "at", at, "why", why)
	h.published.activeNumber = noNumber
}
