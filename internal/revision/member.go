package revision

import (
	"encoding/json"
	"errors"
	"time"

	"oatloft/internal/failpoint"
)

// Member is one process's side of the protocol. It tracks the revision by which the process may place new requests and
// until when on its own clock, handles the leader's replies and the event loop's acknowledgements, and builds the
// requests to the leader. A lease is extended only by a grant, counted from the time of the request. A stop is reported
// to the leader only after the event loop has acknowledged it.
//
// A Member has no goroutine and no clock. Its methods must not be called concurrently.
type Member struct {
	Holder               Holder
	KeepLeaseOnPartition bool
	Check                func(text json.RawMessage) error // checks against this balancer's settings and discovery list

	lease           Lease
	acknowledgedSeq uint64 // Seq of the lease that the event loop uses
	lastRequest     uint64 // Seq of the last request
	ignoreUpTo      uint64 // replies to requests up to this Seq are ignored
	listed          bool   // according to the last reply
	epoch           uint64 // the highest epoch received
	stopEpoch       uint64 // epoch of the stop received; 0 for none
	stopSeq         uint64 // Seq of the lease that reported the stop to the event loop
	inForce         inForce
	staged          stagedProposal
}

// inForce is the revision in force, as far as the member knows.
type inForce struct {
	hasText         bool
	number          uint64
	hash            string
	text            json.RawMessage
	incompatibility string // why this balancer cannot route by it; "" if it can
}

// stagedProposal is the latest proposal that a member has answered. It stays staged after the proposal has ended,
// because the next reply may report that it is in force.
type stagedProposal struct {
	id        uint64 // 0 for none
	hash      string
	text      json.RawMessage
	rejection string // "" if it is accepted
}

// unchecked is the incompatibility of a text that has not been checked.
const unchecked = "?"

// NewMember returns the member of a process that has received nothing from a leader yet.
func NewMember(h Holder, holdOnPartition bool, check func(json.RawMessage) error) *Member {
	return &Member{
		Holder:               h,
		KeepLeaseOnPartition: holdOnPartition,
		Check:                check,
		lease:                Lease{Seq: 1, Reason: "the revision in force is not known yet"},
	}
}

// Lease returns the lease as last published.
func (m *Member) Lease() Lease { return m.lease }

// IsListed reports whether the process is listed, according to the last reply.
func (m *Member) IsListed() bool { return m.listed }

// HasText reports whether the member has the text of the revision in force, as far as it knows.
func (m *Member) HasText() bool { return m.inForce.hasText }

// Incompatibility returns why the balancer cannot route by the revision in force, or "" if it can or that is unknown.
func (m *Member) Incompatibility() string { return m.inForce.incompatibility }

// publish replaces the lease. Its Seq stays the same if only Until differs.
func (m *Member) publish(phase LeasePhase, until time.Duration, reason string) {
	old := m.lease
	m.lease = Lease{
		Seq:    old.Seq,
		Phase:  phase,
		Number: m.inForce.number,
		Hash:   m.inForce.hash,
		Text:   m.inForce.text,
		Until:  until,
		Reason: reason,
	}
	if old.Phase != phase || old.Number != m.inForce.number || old.Reason != reason {
		m.lease.Seq++
	}
}

// Acknowledge records that the event loop uses the lease with this Seq.
func (m *Member) Acknowledge(seq uint64) { m.acknowledgedSeq = max(m.acknowledgedSeq, seq) }

// NextRequest returns the request to send to the leader now. The caller must remember when it was sent.
func (m *Member) NextRequest() RenewRequest {
	m.lastRequest++
	request := RenewRequest{
		Holder:               m.Holder,
		KeepLeaseOnPartition: m.KeepLeaseOnPartition,
		Seq:                  m.lastRequest,
		AnsweredProposal:     m.staged.id,
		Rejection:            m.staged.rejection,
	}
	if m.inForce.hasText {
		request.HasNumber = m.inForce.number + 1
	}
	if m.stopEpoch != 0 && (m.acknowledgedSeq >= m.stopSeq || failpoint.On("stopped-untaken")) {
		request.StoppedEpoch = m.stopEpoch
	}
	return request
}

// Leave releases the lease for good. The leader may be notified once HasLeft returns true.
func (m *Member) Leave() {
	if m.lease.Phase != Released {
		m.publish(Released, 0, "this process has left")
	}
}

// HasLeft reports whether the event loop has acknowledged that this process has left.
func (m *Member) HasLeft() bool {
	return m.lease.Phase == Released && (m.acknowledgedSeq >= m.lease.Seq || failpoint.On("leaves-untaken"))
}

// Tick ends an expired lease.
func (m *Member) Tick(now time.Duration) {
	if m.lease.Phase != Active || now < m.lease.Until {
		return
	}
	if failpoint.On("renews-itself") && now < m.lease.Until+time.Hour {
		m.lease.Until += time.Second
		return
	}
	m.publish(Expired, 0, "the lease was not renewed in time")
}

// HandleReply handles the leader's reply to the request with this Seq, which was sent at requestedAt on this process's
// clock.
func (m *Member) HandleReply(now, requestedAt time.Duration, seq uint64, reply RenewReply) {
	m.Tick(now)
	if seq <= m.ignoreUpTo || m.lease.Phase == Released {
		return
	}
	if !reply.Known {
		m.handleNotListed(reply)
		return
	}
	m.listed = true
	if reply.Epoch < m.epoch && !failpoint.On("old-epoch") {
		return
	}
	m.epoch = max(m.epoch, reply.Epoch)
	if reply.Proposal > m.staged.id && reply.Proposed != nil {
		m.stageProposal(reply)
	}
	switch {
	case reply.Stopped:
		m.suspend(reply.Epoch)
	case reply.Granted:
		m.applyGrant(now, requestedAt, reply)
	}
}

// handleNotListed handles a reply that this process is not listed. All earlier grants are void, and the process starts
// over.
func (m *Member) handleNotListed(reply RenewReply) {
	m.Holder.Generation = max(m.Holder.Generation, reply.MinGeneration)
	m.updateInForce(reply)
	if m.listed || m.lease.Phase == Active {
		m.listed, m.epoch, m.stopEpoch, m.stopSeq = false, 0, 0, 0
		m.ignoreUpTo = m.lastRequest
		if m.lease.Phase == Active || m.lease.Phase == Suspended {
			m.publish(Expired, 0, "this process was removed from the list of lease holders")
		}
	}
	m.staged = stagedProposal{}
	if m.lease.Phase == Learning && m.inForce.incompatibility != "" {
		m.publishIncompatible(reply.Number)
	}
}

func (m *Member) publishIncompatible(number uint64) {
	m.publish(Learning, 0, "this balancer can't route by revision "+formatUint(number)+": "+m.inForce.incompatibility)
}

// updateInForce takes the text of the revision in force, if it is new, and checks whether this balancer can route by
// it. An incompatible text is checked again each time, since the settings may have changed since the last check.
func (m *Member) updateInForce(reply RenewReply) {
	f := &m.inForce
	known := f.hasText && f.number == reply.Number && f.hash == reply.Hash
	isStaged := reply.Hash != "" && m.staged.hash == reply.Hash && m.staged.text != nil && m.staged.rejection == ""
	switch {
	case known:
	case isStaged:
		*f = inForce{hasText: true, number: reply.Number, hash: reply.Hash, text: m.staged.text}
	case reply.Text != nil:
		*f = inForce{
			hasText: true, number: reply.Number, hash: reply.Hash, text: reply.Text, incompatibility: unchecked,
		}
	default: // the leader sends the text when HasNumber is 0
		f.hasText = false
		return
	}
	if f.incompatibility != "" {
		f.incompatibility = ""
		if err := m.Check(f.text); err != nil {
			f.incompatibility = err.Error()
		}
	}
}

// stageProposal checks and answers a proposal. A process that lacks the information to check it does not answer, and
// gets the proposal again with its next renewal.
func (m *Member) stageProposal(reply RenewReply) {
	err := m.Check(reply.Proposed)
	var incompatible *Incompatible
	if errors.As(err, &incompatible) && incompatible.MayChange {
		return
	}
	m.staged = stagedProposal{id: reply.Proposal, hash: reply.ProposedHash, text: reply.Proposed}
	if err != nil && !failpoint.On("unchecked") {
		m.staged.rejection = err.Error()
	}
}

// suspend stops placing new requests before the next revision.
func (m *Member) suspend(epoch uint64) {
	if m.stopEpoch == epoch {
		return
	}
	m.stopEpoch = epoch
	if m.lease.Phase == Active || m.lease.Phase == Expired {
		m.publish(Suspended, 0, "the next revision is about to come into force")
	}
	m.stopSeq = m.lease.Seq
}

// applyGrant applies a grant. The lease counts from the time of the request.
func (m *Member) applyGrant(now, requestedAt time.Duration, reply RenewReply) {
	previousNumber := m.inForce.number
	m.updateInForce(reply)
	if !m.inForce.hasText {
		return
	}
	m.stopEpoch, m.stopSeq = 0, 0
	if m.inForce.incompatibility != "" {
		m.publishIncompatible(reply.Number)
		return
	}
	if m.KeepLeaseOnPartition {
		m.publish(Active, NoExpiry, "")
		return
	}
	until := requestedAt + reply.Lease
	if failpoint.On("lease-from-answer") {
		until = now + reply.Lease
	}
	if m.lease.Phase == Active && previousNumber == m.inForce.number {
		until = max(until, m.lease.Until)
	}
	if until > now {
		m.publish(Active, until, "")
	}
}
