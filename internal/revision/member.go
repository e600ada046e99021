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

// Phase is what a process may do.
type Phase uint8

// The phases.
const (
	Learning Phase = iota // it doesn't know yet what is in force, or can't route by it
	AtWork                // newcomers go by Number until Until
	Between               // it has heard that the next one is about to be in force
	Lapsed                // its permission has run out, or was taken away
	Gone                  // it has given it up for good
)

func (p Phase) String() string {
	return [...]string{"learning", "at-work", "between", "lapsed", "left"}[p]
}

// Permission is what a process may do now. Seq grows whenever anything but a later Until is new.
type Permission struct {
	Seq    uint64
	Phase  Phase
	Number uint64
	Hash   string
	Text   json.RawMessage
	Until  time.Duration // by this process's clock; Forever for no end
	Why    string
}

// Forever is the end of a permission that doesn't end by time.
const Forever = time.Duration(1<<63 - 1)

// May tells whether newcomers may be routed now.
func (p *Permission) May(now time.Duration) bool { return p.Phase == AtWork && now < p.Until }

// Renew is what a holder tells and asks. Numbers are 0 for none.
type Renew struct {
	Holder
	Hold    bool    `json:"c,omitempty"`
	Seq     uint64  `json:"s"`           // of the asking
	Has     uint64  `json:"t,omitempty"` // the revision whose text it has, plus one
	Answers uint64  `json:"p,omitempty"` // the proposal that it has staged or turned down
	No      string  `json:"no,omitempty"`
	Stopped uint64  `json:"e,omitempty"` // the epoch of the stop that its loop has taken up
	Figures Figures `json:"f,omitzero"`
	Links   []byte  `json:"l,omitempty"`
}

// Reply is the leader's answer.
type Reply struct {
	Known    bool            `json:"k,omitempty"` // the holder is in the roster
	Floor    uint64          `json:"fl,omitempty"`
	Epoch    uint64          `json:"e"`
	Stopped  bool            `json:"s,omitempty"`
	Granted  bool            `json:"g,omitempty"`
	Lease    time.Duration   `json:"d,omitempty"`
	Number   uint64          `json:"n"` // in force
	Hash     string          `json:"h,omitempty"`
	Text     json.RawMessage `json:"t,omitempty"` // where the holder hasn't got it
	Proposal uint64          `json:"p,omitempty"`
	Proposed json.RawMessage `json:"pt,omitempty"` // where the holder hasn't answered
	PropHash string          `json:"ph,omitempty"`
	Next     time.Duration   `json:"x,omitempty"` // ask again after
	Links    []byte          `json:"l,omitempty"`
}

// Member is one process's part.
type Member struct {
	Holder Holder
	Hold   bool
	Check  func(text json.RawMessage) error // against this balancer's own settings and list

	permission Permission
	took       uint64 // Seq that the loop has taken up
	asked      uint64 // last asking
	floor      uint64 // answers to askings up to this one don't count
	known      bool   // in the roster, as far as told
	epoch      uint64 // latest heard of
	stopAt     uint64 // epoch of the stop heard of, 0 for none
	stopSeq    uint64 // Seq by which that was told to the loop
	has        bool   // text of number
	number     uint64
	hash       string
	text       json.RawMessage
	staged     uint64 // proposal
	stagedHash string
	stagedText json.RawMessage
	no         string
	unfit      string // why it can't route by what is in force
}

// NewMember is a process that knows of nothing.
func NewMember(h Holder, hold bool, check func(json.RawMessage) error) *Member {
	return &Member{Holder: h, Hold: hold, Check: check, permission: Permission{Seq: 1, Why: "it has not heard yet what is in force"}}
}

// Permission is what it may do, as last published.
func (m *Member) Permission() Permission { return m.permission }

// Joined tells whether it is in the roster, as far as it knows.
func (m *Member) Joined() bool { return m.known }

// Learned tells that it has the text of what is in force, as far as told.
func (m *Member) Learned() bool { return m.has }

// Fit is why it can't route by what is in force, "" if it can or doesn't know.
func (m *Member) Fit() string { return m.unfit }

// publish makes what may be done now known to the loop; what is the same but for a later Until keeps its Seq.
func (m *Member) publish(phase Phase, until time.Duration, why string) {
	p := Permission{m.permission.Seq, phase, m.number, m.hash, m.text, until, why}
	if old := m.permission; old.Phase != phase || old.Number != m.number || old.Why != why {
		p.Seq++
	}
	m.permission = p
}

// Took tells that the loop goes by what was published with this Seq.
func (m *Member) Took(seq uint64) { m.took = max(m.took, seq) }

// Ask is what to tell the leader now. The caller keeps the time at which it asked.
func (m *Member) Ask() Renew {
	m.asked++
	r := Renew{Holder: m.Holder, Hold: m.Hold, Seq: m.asked, Answers: m.staged, No: m.no}
	if m.has {
		r.Has = m.number + 1
	}
	if m.stopAt != 0 && (m.took >= m.stopSeq || failpoint.On("stopped-untaken")) {
		r.Stopped = m.stopAt
	}
	return r
}

// Leave gives the permission up for good. It may be told to the leader once Left.
func (m *Member) Leave() {
	if m.permission.Phase != Gone {
		m.publish(Gone, 0, "it has left")
	}
}

// Left tells that the loop has taken up that this process has left.
func (m *Member) Left() bool {
	return m.permission.Phase == Gone && (m.took >= m.permission.Seq || failpoint.On("leaves-untaken"))
}

// Tick ends what has run out.
func (m *Member) Tick(now time.Duration) {
	if m.permission.Phase == AtWork && now >= m.permission.Until {
		if failpoint.On("renews-itself") && now < m.permission.Until+time.Second*3600 {
			m.permission.Until += time.Second
			return
		}
		m.publish(Lapsed, 0, "nobody has renewed its permission in time")
	}
}

// Take is the leader's answer r to what was asked at asked, by this process's clock.
func (m *Member) Take(now, asked time.Duration, seq uint64, r Reply) {
	m.Tick(now)
	if seq <= m.floor || m.permission.Phase == Gone {
		return
	}
	if !r.Known {
		m.unknown(r)
		return
	}
	m.known = true
	if r.Epoch < m.epoch && !failpoint.On("old-epoch") {
		return
	}
	m.epoch = max(m.epoch, r.Epoch)
	if r.Proposal > m.staged && r.Proposed != nil {
		m.stage(r)
	}
	switch {
	case r.Stopped:
		if m.stopAt != r.Epoch {
			m.stopAt = r.Epoch
			if m.permission.Phase == AtWork || m.permission.Phase == Lapsed {
				m.publish(Between, 0, "the next revision is about to be in force")
			}
			m.stopSeq = m.permission.Seq
		}
	case r.Granted:
		m.granted(now, asked, r)
	}
}

// unknown: not in the roster. Nothing that it may have been granted counts any more, and it begins anew.
func (m *Member) unknown(r Reply) {
	if r.Floor > m.Holder.Gen {
		m.Holder.Gen = r.Floor
	}
	m.learn(r)
	if m.known || m.permission.Phase == AtWork {
		m.known, m.epoch, m.stopAt, m.stopSeq = false, 0, 0, 0
		m.floor = m.asked
		if m.permission.Phase == AtWork || m.permission.Phase == Between {
			m.publish(Lapsed, 0, "the others have gone on without it")
		}
	}
	m.stageNone()
	if m.permission.Phase == Learning && m.unfit != "" {
		m.publish(Learning, 0, "it can't route by revision "+utoa(r.Number)+": "+m.unfit)
	}
}

// learn takes the text in force, if it is new, and sees whether this balancer can route by it.
func (m *Member) learn(r Reply) {
	switch {
	case m.has && m.number == r.Number && m.hash == r.Hash:
	case r.Hash != "" && m.stagedHash == r.Hash && m.stagedText != nil && m.no == "":
		m.has, m.number, m.hash, m.text, m.unfit = true, r.Number, r.Hash, m.stagedText, ""
		return
	case r.Text != nil:
		m.has, m.number, m.hash, m.text, m.unfit = true, r.Number, r.Hash, r.Text, "?"
	default:
		m.has = false // ask for it
		return
	}
	if m.unfit != "" { // settings may have changed since
		m.unfit = ""
		if err := m.Check(m.text); err != nil {
			m.unfit = err.Error()
		}
	}
}

// stage keeps a proposal, and what this balancer says of it. It stays staged when the proposal has ended: the next thing heard may
// be that it is in force. A process that doesn't know enough yet says nothing, and is asked again with its next renewal.
func (m *Member) stage(r Reply) {
	err := m.Check(r.Proposed)
	var unfit *Unfit
	if errors.As(err, &unfit) && unfit.Later {
		return
	}
	m.staged, m.stagedHash, m.stagedText, m.no = r.Proposal, r.PropHash, r.Proposed, ""
	if err != nil && !failpoint.On("unchecked") {
		m.no = err.Error()
	}
}

func (m *Member) stageNone() { m.staged, m.stagedHash, m.stagedText, m.no = 0, "", nil, "" }

func (m *Member) granted(now, asked time.Duration, r Reply) {
	before := m.number
	m.learn(r)
	if !m.has {
		return
	}
	m.stopAt, m.stopSeq = 0, 0
	if m.unfit != "" {
		m.publish(Learning, 0, "it can't route by revision "+utoa(r.Number)+": "+m.unfit)
		return
	}
	until := Forever
	if !m.Hold {
		until = asked + r.Lease
		if failpoint.On("lease-from-answer") {
			until = now + r.Lease
		}
		if m.permission.Phase == AtWork && before == m.number {
			until = max(until, m.permission.Until)
		}
		if until <= now {
			return
		}
	}
	m.publish(AtWork, until, "")
}
