package host

// This file owns the goroutine that holds this balancer's permission: it renews, joins and leaves, and publishes permits. It must
// never publish anything but what the machine says, nor tell the leader that a stop is taken up before the data's loop has told so.

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"oatloft/internal/consensus"
	"oatloft/internal/failpoint"
	"oatloft/internal/hint"
	"oatloft/internal/revision"
)

// leaseHolder is the goroutine's own.
type leaseHolder struct {
	*Host
	member *revision.Member
	log    *slog.Logger

	calls        int // under way
	lastCall     time.Duration
	next         time.Duration        // when to ask
	calledLeader consensus.LeaderInfo // whom the calls under way were sent to
	knownLeader  consensus.LeaderInfo // as last seen
	answers      chan answer
	joined       chan error
	joining      bool
	leaving      []chan struct{}
	left         bool
	contentHash  string // hash of content
	content      *revision.Content
	published    []revision.Lease // published and not taken up yet
	activeNumber uint64           // number plus one by which the loop is at work
	until        time.Duration
	complaint    string
}

type answer struct {
	seq         uint64
	requestedAt time.Duration
	reply       revision.RenewReply
	err         error
}

func (h *leaseHolder) run() {
	h.answers, h.joined = make(chan answer, 4), make(chan error, 1)
	timer := time.NewTimer(0)
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-timer.C:
		case <-h.wakeHolder:
		case done := <-h.leave:
			h.leaving = append(h.leaving, done)
			h.member.Leave()
		case a := <-h.answers:
			h.handleAnswer(a)
		case err := <-h.joined:
			h.joining = false
			h.logAnswer(err)
			h.next = 0
			if err != nil {
				h.next = h.now() + h.cfg.Lease/16
			}
		}
		h.step()
		wait := max(h.next-h.now(), 0)
		if p := h.member.Lease(); p.Phase == revision.Active && p.Until != revision.Forever {
			wait = min(wait, max(p.Until-h.now(), 0))
		}
		timer.Reset(max(wait, time.Millisecond))
	}
}

func (h *leaseHolder) step() {
	h.collectAcks()
	h.member.Tick(h.now())
	h.publish()
	lead := h.node.Leader()
	now := h.now()
	if lead.Term != h.knownLeader.Term || lead.Name != h.knownLeader.Name {
		h.knownLeader, h.next = lead, now
	}
	switch {
	case h.left || lead.Name == "" || h.calls > 3: // nobody answers
	case h.member.HasLeft():
		if h.calls == 0 {
			h.call(lead, "leave", h.member.Holder)
		}
	case h.member.Lease().Phase == revision.Released: // until the loop has taken it up
	case h.calls > 0 && lead.Term == h.calledLeader.Term && lead.Name == h.calledLeader.Name && now < h.lastCall+h.cfg.Lease/2:
	case now >= h.next:
		h.next = now + h.cfg.Lease/8
		h.renew(lead, now)
	}
	if h.next <= now {
		h.next = now + max(h.cfg.Lease/64, 5*time.Millisecond)
	}
}

// renew renews. The time from which a grant counts is read before anything is sent.
func (h *leaseHolder) renew(lead consensus.LeaderInfo, now time.Duration) {
	r := h.member.NextRequest()
	t := &h.totals
	r.Totals = revision.Totals{Requests: t[0].Load(), Rejected: t[1].Load(), Failed: t[2].Load(), Late: t[3].Load()}
	if h.cfg.Bandwidth != nil {
		r.Links = h.cfg.Bandwidth.Demand()
	}
	body, _ := json.Marshal(r)
	h.calls++
	h.lastCall, h.calledLeader = now, lead
	go func() {
		a := answer{seq: r.Seq, requestedAt: now}
		var back []byte
		if back, a.err = h.callLeader(lead, "renew", body, max(h.cfg.Lease, time.Second)); a.err == nil {
			a.err = json.Unmarshal(back, &a.reply)
		}
		select {
		case h.answers <- a:
		case <-h.ctx.Done():
		}
	}()
}

func (h *Host) callLeader(lead consensus.LeaderInfo, method string, body []byte, within time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(h.ctx, within)
	defer cancel()
	if lead.IsSelf {
		return h.serve(ctx, h.cfg.Name, method, body)
	}
	return h.node.Call(ctx, lead.Name, method, body)
}

// call is a call whose answer is yes or an error: join and leave.
func (h *leaseHolder) call(lead consensus.LeaderInfo, method string, what any) {
	body, _ := json.Marshal(what)
	h.calls++
	h.lastCall, h.calledLeader = h.now(), lead
	go func() {
		a := answer{}
		_, a.err = h.callLeader(lead, method, body, 2*time.Second)
		select {
		case h.answers <- a:
		case <-h.ctx.Done():
		}
	}()
}

func (h *leaseHolder) handleAnswer(a answer) {
	h.calls--
	now := h.now()
	if a.err != nil {
		h.logAnswer(a.err)
		h.next = now + max(h.cfg.Lease/16, 10*time.Millisecond)
		return
	}
	if a.seq == 0 { // has left
		h.left = true
		h.released.Store(true)
		for _, done := range h.leaving {
			close(done)
		}
		return
	}
	h.member.HandleReply(now, a.requestedAt, a.seq, a.reply)
	h.logAnswer(nil)
	h.next = now + a.reply.Next
	if h.cfg.Bandwidth != nil && a.reply.Links != nil {
		h.cfg.Bandwidth.Granted(a.reply.Links, h.base.Add(a.requestedAt))
	}
	if !a.reply.Known && !h.joining {
		h.next = now + 10*time.Millisecond
		switch {
		case h.member.HasText() && h.member.Incompatibility() == "":
			h.join()
		case h.member.HasText(): // till the settings fit
			h.next = now + h.cfg.Lease/8
		}
	}
}

func (h *leaseHolder) join() {
	h.joining = true
	lead, gen := h.node.Leader(), h.member.Holder.Generation
	body, _ := json.Marshal(revision.Command{Op: revision.OpJoin, Holder: h.member.Holder, HoldOnPartition: h.cfg.HoldOnPartition, Ended: h.cfg.PredecessorEnded})
	go func() {
		if err := h.processes.create(gen); err != nil { // it serves all the same: once it ends, the next one or an operator tells
			h.log.Warn("revisions: nobody will see this process end", "err", hint.Line(err))
		}
		_, err := h.callLeader(lead, "join", body, 2*time.Second)
		select {
		case h.joined <- err:
		case <-h.ctx.Done():
		}
	}()
}

// logAnswer logs once that, and why, nothing is heard; nil ends it.
func (h *leaseHolder) logAnswer(err error) {
	text := ""
	if err != nil {
		text = err.Error()
	}
	if (text == "") != (h.complaint == "") {
		if text != "" {
			h.log.Debug("revisions: the leader does not answer", "err", text)
		} else {
			h.log.Debug("revisions: the leader answers")
		}
	}
	h.complaint = text
}

// publish makes the machine's permission the permit, where anything is new.
func (h *leaseHolder) publish() {
	p := h.member.Lease()
	old := h.lease.Load()
	var until time.Time
	if p.Until != revision.Forever && p.Phase == revision.Active {
		until = h.base.Add(p.Until)
	}
	if old.Seq == p.Seq && old.Until.Equal(until) {
		return
	}
	if p.Text != nil && h.contentHash != p.Hash {
		if c, err := revision.Decode(p.Text); err == nil {
			h.contentHash, h.content = p.Hash, c
		}
	}
	q := &Lease{Number: p.Number, Hash: p.Hash, Content: h.content, Until: until, Seq: p.Seq, Reason: p.Reason}
	switch p.Phase {
	case revision.Active:
		q.Phase = Active
		h.until = p.Until
	case revision.Suspended:
		q.Phase = Suspended
	case revision.Expired, revision.Released:
		q.Phase = Expired
	}
	if old.Seq != p.Seq {
		h.published = append(h.published, p)
		if len(h.published) > 64 { // a loop that is stopped for long
			h.published = h.published[1:]
		}
	}
	if p.Phase == revision.Expired && h.activeNumber != 0 && old.Phase == Active {
		at := time.Now()
		if !old.Until.IsZero() && old.Until.Before(at) {
			at = old.Until
		}
		h.logRelease(time.Now().Add(-time.Since(at)).UnixMicro(), "lapsed")
	}
	h.lease.Store(q)
	if h.cfg.LeaseChanged != nil && (old.Seq != p.Seq || !failpoint.On("changed-unrung")) {
		h.cfg.LeaseChanged()
	}
}

// collectAcks hands on what the data's loop has taken up: each of them, however short it went by it.
func (h *leaseHolder) collectAcks() {
	h.acksMu.Lock()
	list := h.acks
	h.acks = nil
	h.acksMu.Unlock()
	for _, t := range list {
		for len(h.published) > 0 && h.published[0].Seq <= t.seq {
			p := h.published[0]
			h.published = h.published[1:]
			if p.Seq == t.seq || len(h.published) == 0 || h.published[0].Seq > t.seq {
				h.acknowledgedLease(p, t.at)
			}
		}
		h.member.Acknowledge(t.seq)
	}
}

// acknowledgedLease: the loop goes by p since at.
func (h *leaseHolder) acknowledgedLease(p revision.Lease, at int64) {
	if p.Phase == revision.Active {
		if h.activeNumber != p.Number+1 {
			if h.activeNumber != 0 {
				h.logRelease(at, "between")
			}
			h.activeNumber = p.Number + 1
			h.log.Info("revision at work", "number", p.Number, "hash", revision.ShortHash(p.Hash), "at", at)
			signal(h.wakeCoordinator)
			h.next = 0
		}
		return
	}
	if h.activeNumber != 0 {
		h.logRelease(at, map[revision.LeasePhase]string{revision.Suspended: "between", revision.Released: "left"}[p.Phase])
	}
	h.next = 0 // say so at once
}

func (h *leaseHolder) logRelease(at int64, why string) {
	if why == "" {
		why = "lapsed"
	}
	h.log.Info("revision let go", "number", h.activeNumber-1, "at", at, "why", why)
	h.activeNumber = 0
}
