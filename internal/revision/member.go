package revision

import (
	"encoding/json"
	"errors"
	"time"

	"oatloft/internal/failpoint"
)

// Member is one process's part: by which revision it may place new requests, and until when by its own clock. It
// takes the leader's replies and the loop's acknowledgements, and says what is to be told to the leader. Only a
// grant lengthens a lease, from the moment at which it was requested; and the member says that it has stopped only
// once the loop has acknowledged that.
//
// A Member has no goroutine and no clock. Its methods may not be called at the same time.
type Member struct {
	Holder          Holder
	HoldOnPartition bool
	Check           func(text json.RawMessage) error // against this balancer's own settings and list

	lease           Lease
	acknowledgedSeq uint64 // Seq by which the loop goes
	lastRequest     uint64 // Seq of the last request
	ignoreUpTo      uint64 // replies to requests up to this one do not count
	listed          bool   // as far as it knows
	epoch           uint64 // the latest heard of
	stopEpoch       uint64 // epoch of the stop heard of; 0 for none
	stopSeq         uint64 // Seq by which the loop was told of that
	inForce         inForce
	staged          stagedProposal
}

// inForce is the revision in force, as far as a member knows.
type inForce struct {
	hasText         bool
	number          uint64
	hash            string
	text            json.RawMessage
	incompatibility string // why this balancer cannot route by it; "" if it can
}

// stagedProposal is the latest proposal that a member has answered. It stays staged when the proposal has ended:
// the next thing heard may be that it is in force.
type stagedProposal struct {
	id        uint64 // 0 for none
	hash      string
	text      json.RawMessage
	rejection string // "" if it is accepted
}

// unchecked is the incompatibility of a text that has not been checked yet.
const unchecked = "?"

// NewMember returns a process that knows nothing.
func NewMember(h Holder, holdOnPartition bool, check func(json.RawMessage) error) *Member {
	return &Member{
		Holder:          h,
		HoldOnPartition: holdOnPartition,
		Check:           check,
		lease:           Lease{Seq: 1, Reason: "it has not heard yet what is in force"},
	}
}

// Lease is what it may do, as last published.
func (m *Member) Lease() Lease { return m.lease }

// IsListed tells whether it is listed, as far as it knows.
func (m *Member) IsListed() bool { return m.listed }

// HasText tells that it has the text of the revision in force, as far as it knows.
func (m *Member) HasText() bool { return m.inForce.hasText }

// Incompatibility is why it cannot route by the revision in force, "" if it can or does not know.
func (m *Member) Incompatibility() string { return m.inForce.incompatibility }

// publish changes the lease; one that is the same but for a later Until keeps its Seq.
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

// Acknowledge tells that the loop goes by the lease with this Seq.
func (m *Member) Acknowledge(seq uint64) { m.acknowledgedSeq = max(m.acknowledgedSeq, seq) }

// NextRequest returns what to tell the leader now. The caller keeps the time at which it is sent.
func (m *Member) NextRequest() RenewRequest {
	m.lastRequest++
	request := RenewRequest{
		Holder:           m.Holder,
		HoldOnPartition:  m.HoldOnPartition,
		Seq:              m.lastRequest,
		AnsweredProposal: m.staged.id,
		Rejection:        m.staged.rejection,
	}
	if m.inForce.hasText {
		request.HasNumber = m.inForce.number + 1
	}
	if m.stopEpoch != 0 && (m.acknowledgedSeq >= m.stopSeq || failpoint.On("stopped-untaken")) {
		request.StoppedEpoch = m.stopEpoch
	}
	return request
}

// Leave gives up the lease for good. The leader may be told once HasLeft.
func (m *Member) Leave() {
	if m.lease.Phase != Released {
		m.publish(Released, 0, "it has left")
	}
}

// HasLeft tells that the loop has acknowledged that this process has left.
func (m *Member) HasLeft() bool {
	return m.lease.Phase == Released && (m.acknowledgedSeq >= m.lease.Seq || failpoint.On("leaves-untaken"))
}

// Tick ends a lease that has run out.
func (m *Member) Tick(now time.Duration) {
	if m.lease.Phase != Active || now < m.lease.Until {
		return
	}
	if failpoint.On("renews-itself") && now < m.lease.Until+time.Hour {
		m.lease.Until += time.Second
		return
	}
	m.publish(Expired, 0, "nobody has renewed its permission in time")
}

// HandleReply takes the leader's reply to the request of that Seq, which was sent at requestedAt by this process's
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

// notListed takes a reply that this process is not listed. Nothing that it may have been granted counts any more,
// and it begins again.
func (m *Member) handleNotListed(reply RenewReply) {
	m.Holder.Generation = max(m.Holder.Generation, reply.MinGeneration)
	m.updateInForce(reply)
	if m.listed || m.lease.Phase == Active {
		m.listed, m.epoch, m.stopEpoch, m.stopSeq = false, 0, 0, 0
		m.ignoreUpTo = m.lastRequest
		if m.lease.Phase == Active || m.lease.Phase == Suspended {
			m.publish(Expired, 0, "the others have gone on without it")
		}
	}
	m.staged = stagedProposal{}
	if m.lease.Phase == Learning && m.inForce.incompatibility != "" {
		m.publishIncompatible(reply.Number)
	}
}

func (m *Member) publishIncompatible(number uint64) {
	m.publish(Learning, 0, "it can't route by revision "+formatUint(number)+": "+m.inForce.incompatibility)
}

// learn takes the text of the revision in force, if it is new, and checks whether this balancer can route by it.
// Settings may have changed since the last check.
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
	default: // its text has to be requested
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

// stage answers a proposal. A process that does not know enough yet does not answer, and is asked again with its
// next renewal.
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

// suspend stops this process for the next revision.
func (m *Member) suspend(epoch uint64) {
	if m.stopEpoch == epoch {
		return
	}
	m.stopEpoch = epoch
	if m.lease.Phase == Active || m.lease.Phase == Expired {
		m.publish(Suspended, 0, "the next revision is about to be in force")
	}
	m.stopSeq = m.lease.Seq
}

// granted takes a grant, which counts from the moment at which it was requested.
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
	if m.HoldOnPartition {
		m.publish(Active, Forever, "")
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
