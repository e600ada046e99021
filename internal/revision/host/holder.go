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

// holder is the goroutine's own.
type holder struct {
	*Host
	m   *revision.Member
	log *slog.Logger

	calls     int // under way
	last      time.Duration
	next      time.Duration        // when to ask
	lead      consensus.LeaderInfo // whom the calls under way were sent to
	known     consensus.LeaderInfo // as last seen
	answers   chan answer
	joined    chan error
	joining   bool
	leaving   []chan struct{}
	left      bool
	text      string // hash of content
	content   *revision.Content
	seen      []revision.Permission // published and not taken up yet
	atWork    uint64                // number plus one by which the loop is at work
	until     time.Duration
	complaint string
}

type answer struct {
	seq   uint64
	asked time.Duration
	reply revision.Reply
	err   error
}

func (h *holder) run() {
	h.answers, h.joined = make(chan answer, 4), make(chan error, 1)
	timer := time.NewTimer(0)
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-timer.C:
		case <-h.poke:
		case done := <-h.leave:
			h.leaving = append(h.leaving, done)
			h.m.Leave()
		case a := <-h.answers:
			h.take(a)
		case err := <-h.joined:
			h.joining = false
			h.complain(err)
			h.next = 0
			if err != nil {
				h.next = h.now() + h.cfg.Lease/16
			}
		}
		h.step()
		wait := max(h.next-h.now(), 0)
		if p := h.m.Permission(); p.Phase == revision.AtWork && p.Until != revision.Forever {
			wait = min(wait, max(p.Until-h.now(), 0))
		}
		timer.Reset(max(wait, time.Millisecond))
	}
}

func (h *holder) step() {
	h.taken()
	h.m.Tick(h.now())
	h.publish()
	lead := h.node.Leader()
	now := h.now()
	if lead.Term != h.known.Term || lead.Name != h.known.Name {
		h.known, h.next = lead, now
	}
	switch {
	case h.left || lead.Name == "" || h.calls > 3: // nobody answers
	case h.m.Left():
		if h.calls == 0 {
			h.call(lead, "leave", h.m.Holder)
		}
	case h.m.Permission().Phase == revision.Gone: // until the loop has taken it up
	case h.calls > 0 && lead.Term == h.lead.Term && lead.Name == h.lead.Name && now < h.last+h.cfg.Lease/2:
	case now >= h.next:
		h.next = now + h.cfg.Lease/8
		h.ask(lead, now)
	}
	if h.next <= now {
		h.next = now + max(h.cfg.Lease/64, 5*time.Millisecond)
	}
}

// ask renews. The time from which a grant counts is read before anything is sent.
func (h *holder) ask(lead consensus.LeaderInfo, now time.Duration) {
	r := h.m.Ask()
	t := &h.totals
	r.Figures = revision.Figures{Asked: t[0].Load(), Refused: t[1].Load(), Failed: t[2].Load(), Late: t[3].Load()}
	if h.cfg.Links != nil {
		r.Links = h.cfg.Links.Demand()
	}
	body, _ := json.Marshal(r)
	h.calls++
	h.last, h.lead = now, lead
	go func() {
		a := answer{seq: r.Seq, asked: now}
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
func (h *holder) call(lead consensus.LeaderInfo, method string, what any) {
	body, _ := json.Marshal(what)
	h.calls++
	h.last, h.lead = h.now(), lead
	go func() {
		a := answer{}
		_, a.err = h.callLeader(lead, method, body, 2*time.Second)
		select {
		case h.answers <- a:
		case <-h.ctx.Done():
		}
	}()
}

func (h *holder) take(a answer) {
	h.calls--
	now := h.now()
	if a.err != nil {
		h.complain(a.err)
		h.next = now + max(h.cfg.Lease/16, 10*time.Millisecond)
		return
	}
	if a.seq == 0 { // has left
		h.left = true
		h.gone.Store(true)
		for _, done := range h.leaving {
			close(done)
		}
		return
	}
	h.m.Take(now, a.asked, a.seq, a.reply)
	h.complain(nil)
	h.next = now + a.reply.Next
	if h.cfg.Links != nil && a.reply.Links != nil {
		h.cfg.Links.Granted(a.reply.Links, h.base.Add(a.asked))
	}
	if !a.reply.Known && !h.joining {
		h.next = now + 10*time.Millisecond
		switch {
		case h.m.Learned() && h.m.Fit() == "":
			h.join()
		case h.m.Learned(): // till the settings fit
			h.next = now + h.cfg.Lease/8
		}
	}
}

func (h *holder) join() {
	h.joining = true
	lead, gen := h.node.Leader(), h.m.Holder.Gen
	body, _ := json.Marshal(revision.Command{Op: revision.OpJoin, Holder: h.m.Holder, Hold: h.cfg.Hold, Ended: h.cfg.Succeeds})
	go func() {
		if err := h.alive.hold(gen); err != nil { // it serves all the same: once it ends, the next one or an operator tells
			h.log.Warn("revisions: nobody will see this process end", "err", hint.Line(err))
		}
		_, err := h.callLeader(lead, "join", body, 2*time.Second)
		select {
		case h.joined <- err:
		case <-h.ctx.Done():
		}
	}()
}

// complain logs once that, and why, nothing is heard; nil ends it.
func (h *holder) complain(err error) {
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
func (h *holder) publish() {
	p := h.m.Permission()
	old := h.permit.Load()
	var until time.Time
	if p.Until != revision.Forever && p.Phase == revision.AtWork {
		until = h.base.Add(p.Until)
	}
	if old.Seq == p.Seq && old.Until.Equal(until) {
		return
	}
	if p.Text != nil && h.text != p.Hash {
		if c, err := revision.Decode(p.Text); err == nil {
			h.text, h.content = p.Hash, c
		}
	}
	q := &Permit{Number: p.Number, Hash: p.Hash, Content: h.content, Until: until, Seq: p.Seq, Why: p.Why}
	switch p.Phase {
	case revision.AtWork:
		q.Phase = AtWork
		h.until = p.Until
	case revision.Between:
		q.Phase = Between
	case revision.Lapsed, revision.Gone:
		q.Phase = Lapsed
	}
	if old.Seq != p.Seq {
		h.seen = append(h.seen, p)
		if len(h.seen) > 64 { // a loop that is stopped for long
			h.seen = h.seen[1:]
		}
	}
	if p.Phase == revision.Lapsed && h.atWork != 0 && old.Phase == AtWork {
		at := time.Now()
		if !old.Until.IsZero() && old.Until.Before(at) {
			at = old.Until
		}
		h.letGo(time.Now().Add(-time.Since(at)).UnixMicro(), "lapsed")
	}
	h.permit.Store(q)
	if h.cfg.Changed != nil && (old.Seq != p.Seq || !failpoint.On("changed-unrung")) {
		h.cfg.Changed()
	}
}

// taken hands on what the data's loop has taken up: each of them, however short it went by it.
func (h *holder) taken() {
	h.taking.Lock()
	list := h.takes
	h.takes = nil
	h.taking.Unlock()
	for _, t := range list {
		for len(h.seen) > 0 && h.seen[0].Seq <= t.seq {
			p := h.seen[0]
			h.seen = h.seen[1:]
			if p.Seq == t.seq || len(h.seen) == 0 || h.seen[0].Seq > t.seq {
				h.changed(p, t.at)
			}
		}
		h.m.Took(t.seq)
	}
}

// changed: the loop goes by p since at.
func (h *holder) changed(p revision.Permission, at int64) {
	if p.Phase == revision.AtWork {
		if h.atWork != p.Number+1 {
			if h.atWork != 0 {
				h.letGo(at, "between")
			}
			h.atWork = p.Number + 1
			h.log.Info("revision at work", "number", p.Number, "hash", revision.Short(p.Hash), "at", at)
			ring(h.nudge)
			h.next = 0
		}
		return
	}
	if h.atWork != 0 {
		h.letGo(at, map[revision.Phase]string{revision.Between: "between", revision.Gone: "left"}[p.Phase])
	}
	h.next = 0 // say so at once
}

func (h *holder) letGo(at int64, why string) {
	if why == "" {
		why = "lapsed"
	}
	h.log.Info("revision let go", "number", h.atWork-1, "at", at, "why", why)
	h.atWork = 0
}
