package revision

// This file owns what one process may do: by which revision it may route newcomers, and until when by its own clock. It takes
// the leader's answers and what the data's loop has taken up, and says what is to be told to the leader. It must never lengthen a
// permission but by a grant, which counts from the moment at which it was asked for, nor say that it has stopped before the loop has.

import (
	"encoding/json"
	"errors"
	"time"

	"oatloft/internal/failpoint"
)

// LeasePhase is what a process may do.
type LeasePhase uint8

// The phases.
const (
	Learning  LeasePhase = iota // it doesn't know yet what is in force, or can't route by it
	Active                      // newcomers go by Number until Until
	Suspended                   // it has heard that the next one is about to be in force
	Expired                     // its permission has run out, or was taken away
	Released                    // it has given it up for good
)

func (p LeasePhase) String() string {
	return [...]string{"learning", "at-work", "between", "lapsed", "left"}[p]
}

// Lease is what a process may do now. Seq grows whenever anything but a later Until is new.
type Lease struct {
	Seq    uint64
	Phase  LeasePhase
	Number uint64
	Hash   string
	Text   json.RawMessage
	Until  time.Duration // by this process's clock; Forever for no end
	Reason string
}

// Forever is the end of a permission that doesn't end by time.
const Forever = time.Duration(1<<63 - 1)

// Allows tells whether newcomers may be routed now.
func (p *Lease) Allows(now time.Duration) bool { return p.Phase == Active && now < p.Until }

// RenewRequest is what a holder tells and asks. Numbers are 0 for none.
type RenewRequest struct {
	Holder
	HoldOnPartition  bool   `json:"c,omitempty"`
	Seq              uint64 `json:"s"`           // of the asking
	HasNumber        uint64 `json:"t,omitempty"` // the revision whose text it has, plus one
	AnsweredProposal uint64 `json:"p,omitempty"` // the proposal that it has staged or turned down
	Rejection        string `json:"no,omitempty"`
	StoppedEpoch     uint64 `json:"e,omitempty"` // the epoch of the stop that its loop has taken up
	Totals           Totals `json:"f,omitzero"`
	Links            []byte `json:"l,omitempty"`
}

// RenewReply is the leader's answer.
type RenewReply struct {
	Known         bool            `json:"k,omitempty"` // the holder is in the roster
	MinGeneration uint64          `json:"fl,omitempty"`
	Epoch         uint64          `json:"e"`
	Stopped       bool            `json:"s,omitempty"`
	Granted       bool            `json:"g,omitempty"`
	Lease         time.Duration   `json:"d,omitempty"`
	Number        uint64          `json:"n"` // in force
	Hash          string          `json:"h,omitempty"`
	Text          json.RawMessage `json:"t,omitempty"` // where the holder hasn't got it
	Proposal      uint64          `json:"p,omitempty"`
	Proposed      json.RawMessage `json:"pt,omitempty"` // where the holder hasn't answered
	ProposedHash  string          `json:"ph,omitempty"`
	Next          time.Duration   `json:"x,omitempty"` // ask again after
	Links         []byte          `json:"l,omitempty"`
}

// Member is one process's part.
type Member struct {
	Holder          Holder
	HoldOnPartition bool
	Check           func(text json.RawMessage) error // against this balancer's own settings and list

	lease           Lease
	acknowledged    uint64 // Seq that the loop has taken up
	lastRequest     uint64 // last asking
	ignoreUpTo      uint64 // answers to askings up to this one don't count
	listed          bool   // in the roster, as far as told
	epoch           uint64 // latest heard of
	stopEpoch       uint64 // epoch of the stop heard of, 0 for none
	stopSeq         uint64 // Seq by which that was told to the loop
	hasText         bool   // text of number
	number          uint64
	hash            string
	text            json.RawMessage
	staged          uint64 // proposal
	stagedHash      string
	stagedText      json.RawMessage
	rejection       string
	incompatibility string // why it can't route by what is in force
}

// NewMember is a process that knows of nothing.
func NewMember(h Holder, hold bool, check func(json.RawMessage) error) *Member {
	return &Member{Holder: h, HoldOnPartition: hold, Check: check, lease: Lease{Seq: 1, Reason: "it has not heard yet what is in force"}}
}

// Lease is what it may do, as last published.
func (m *Member) Lease() Lease { return m.lease }

// IsListed tells whether it is in the roster, as far as it knows.
func (m *Member) IsListed() bool { return m.listed }

// HasText tells that it has the text of what is in force, as far as told.
func (m *Member) HasText() bool { return m.hasText }

// Incompatibility is why it can't route by what is in force, "" if it can or doesn't know.
func (m *Member) Incompatibility() string { return m.incompatibility }

// publish makes what may be done now known to the loop; what is the same but for a later Until keeps its Seq.
func (m *Member) publish(phase LeasePhase, until time.Duration, why string) {
	p := Lease{m.lease.Seq, phase, m.number, m.hash, m.text, until, why}
	if old := m.lease; old.Phase != phase || old.Number != m.number || old.Reason != why {
		p.Seq++
	}
	m.lease = p
}

// Acknowledge tells that the loop goes by what was published with this Seq.
func (m *Member) Acknowledge(seq uint64) { m.acknowledged = max(m.acknowledged, seq) }

// NextRequest is what to tell the leader now. The caller keeps the time at which it asked.
func (m *Member) NextRequest() RenewRequest {
	m.lastRequest++
	r := RenewRequest{Holder: m.Holder, HoldOnPartition: m.HoldOnPartition, Seq: m.lastRequest, AnsweredProposal: m.staged, Rejection: m.rejection}
	if m.hasText {
		r.HasNumber = m.number + 1
	}
	if m.stopEpoch != 0 && (m.acknowledged >= m.stopSeq || failpoint.On("stopped-untaken")) {
		r.StoppedEpoch = m.stopEpoch
	}
	return r
}

// Leave gives the permission up for good. It may be told to the leader once Left.
func (m *Member) Leave() {
	if m.lease.Phase != Released {
		m.publish(Released, 0, "it has left")
	}
}

// HasLeft tells that the loop has taken up that this process has left.
func (m *Member) HasLeft() bool {
	return m.lease.Phase == Released && (m.acknowledged >= m.lease.Seq || failpoint.On("leaves-untaken"))
}

// Tick ends what has run out.
func (m *Member) Tick(now time.Duration) {
	if m.lease.Phase == Active && now >= m.lease.Until {
		if failpoint.On("renews-itself") && now < m.lease.Until+time.Second*3600 {
			m.lease.Until += time.Second
			return
		}
		m.publish(Expired, 0, "nobody has renewed its permission in time")
	}
}

// HandleReply is the leader's answer r to what was asked at asked, by this process's clock.
func (m *Member) HandleReply(now, asked time.Duration, seq uint64, r RenewReply) {
	m.Tick(now)
	if seq <= m.ignoreUpTo || m.lease.Phase == Released {
		return
	}
	if !r.Known {
		m.notListed(r)
		return
	}
	m.listed = true
	if r.Epoch < m.epoch && !failpoint.On("old-epoch") {
		return
	}
	m.epoch = max(m.epoch, r.Epoch)
	if r.Proposal > m.staged && r.Proposed != nil {
		m.stage(r)
	}
	switch {
	case r.Stopped:
		if m.stopEpoch != r.Epoch {
			m.stopEpoch = r.Epoch
			if m.lease.Phase == Active || m.lease.Phase == Expired {
				m.publish(Suspended, 0, "the next revision is about to be in force")
			}
			m.stopSeq = m.lease.Seq
		}
	case r.Granted:
		m.granted(now, asked, r)
	}
}

// notListed: not in the roster. Nothing that it may have been granted counts any more, and it begins anew.
func (m *Member) notListed(r RenewReply) {
	if r.MinGeneration > m.Holder.Generation {
		m.Holder.Generation = r.MinGeneration
	}
	m.learn(r)
	if m.listed || m.lease.Phase == Active {
		m.listed, m.epoch, m.stopEpoch, m.stopSeq = false, 0, 0, 0
		m.ignoreUpTo = m.lastRequest
		if m.lease.Phase == Active || m.lease.Phase == Suspended {
			m.publish(Expired, 0, "the others have gone on without it")
		}
	}
	m.unstage()
	if m.lease.Phase == Learning && m.incompatibility != "" {
		m.publish(Learning, 0, "it can't route by revision "+formatUint(r.Number)+": "+m.incompatibility)
	}
}

// learn takes the text in force, if it is new, and sees whether this balancer can route by it.
func (m *Member) learn(r RenewReply) {
	switch {
	case m.hasText && m.number == r.Number && m.hash == r.Hash:
	case r.Hash != "" && m.stagedHash == r.Hash && m.stagedText != nil && m.rejection == "":
		m.hasText, m.number, m.hash, m.text, m.incompatibility = true, r.Number, r.Hash, m.stagedText, ""
		return
	case r.Text != nil:
		m.hasText, m.number, m.hash, m.text, m.incompatibility = true, r.Number, r.Hash, r.Text, "?"
	default:
		m.hasText = false // ask for it
		return
	}
	if m.incompatibility != "" { // settings may have changed since
		m.incompatibility = ""
		if err := m.Check(m.text); err != nil {
			m.incompatibility = err.Error()
		}
	}
}

// stage keeps a proposal, and what this balancer says of it. It stays staged when the proposal has ended: the next thing heard may
// be that it is in force. A process that doesn't know enough yet says nothing, and is asked again with its next renewal.
func (m *Member) stage(r RenewReply) {
	err := m.Check(r.Proposed)
	var unfit *Incompatible
	if errors.As(err, &unfit) && unfit.MayChange {
		return
	}
	m.staged, m.stagedHash, m.stagedText, m.rejection = r.Proposal, r.ProposedHash, r.Proposed, ""
	if err != nil && !failpoint.On("unchecked") {
		m.rejection = err.Error()
	}
}

func (m *Member) unstage() { m.staged, m.stagedHash, m.stagedText, m.rejection = 0, "", nil, "" }

func (m *Member) granted(now, asked time.Duration, r RenewReply) {
	before := m.number
	m.learn(r)
	if !m.hasText {
		return
	}
	m.stopEpoch, m.stopSeq = 0, 0
	if m.incompatibility != "" {
		m.publish(Learning, 0, "it can't route by revision "+formatUint(r.Number)+": "+m.incompatibility)
		return
	}
	until := Forever
	if !m.HoldOnPartition {
		until = asked + r.Lease
		if failpoint.On("lease-from-answer") {
			until = now + r.Lease
		}
		if m.lease.Phase == Active && before == m.number {
			until = max(until, m.lease.Until)
		}
		if until <= now {
			return
		}
	}
	m.publish(Active, until, "")
}
