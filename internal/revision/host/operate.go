package host

// This file owns operators' calls: what is done here, what the leader does, and how answers read. It must never do one twice: each
// change has a key, and whatever isn't known to be done is said to be so.

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"oatloft/internal/consensus"
	"oatloft/internal/hint"
	"oatloft/internal/revision"
)

// Operate does what an operator's line after "revision" asks for, at whichever member leads. The error gives advice; one that begins
// with revision.LaterText may be repeated as it is.
func (h *Host) Operate(ctx context.Context, words string) (string, error) {
	o, err := revision.ParseOrder(words)
	if err != nil {
		return "", err
	}
	switch o.Verb {
	case revision.VerbPropose:
		if unfit := h.check(o.Text); unfit != nil { // the others will say for themselves
			ctx, cancel := context.WithTimeout(ctx, time.Second)
			defer cancel()
			text, err := h.atLeader(ctx, revision.Order{Verb: revision.VerbOutcome, Key: o.Key}.String())
			if err == nil || strings.HasPrefix(err.Error(), o.Key+" ended nowhere") { // handed in before, when it fitted
				return text, err
			}
			return "", unfit
		}
	case revision.VerbStatus:
		return h.status(ctx), nil
	}
	ctx, cancel := context.WithTimeout(ctx, 5*time.Second)
	defer cancel()
	return h.atLeader(ctx, words)
}

// atLeader has an order done by the leader, and looks for another while none answers.
func (h *Host) atLeader(ctx context.Context, words string) (string, error) {
	cause := "none is known"
	within := 4 * time.Second
	if end, ok := ctx.Deadline(); ok { // who waits no longer than that isn't held up by a leader that doesn't answer
		within = min(within, time.Until(end))
	}
	for {
		if lead := h.node.Leader(); lead.Name != "" {
			back, err := h.callLeader(lead, "operate", []byte(words), within)
			if err == nil {
				return string(back), nil
			}
			if g := hint.Hinter(nil); errors.As(err, &g) && !again(err) {
				return "", err
			}
			cause = strings.TrimPrefix(err.Error(), revision.LaterText)
		}
		select {
		case <-ctx.Done():
			return "", &NoLeader{cause}
		case <-h.ctx.Done():
			return "", &NoLeader{"this balancer ends"}
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// again tells of an error by which nothing is known to be done, so that another member may be asked.
func again(err error) bool {
	return strings.HasPrefix(err.Error(), revision.LaterText) || errors.As(err, new(*consensus.Unreachable)) || errors.As(err, new(*consensus.Overloaded)) ||
		errors.As(err, new(*consensus.NotLeader))
}

// order is done at the leader.
func (h *Host) order(ctx context.Context, o revision.Order) (string, error) {
	if err := h.confirmed(ctx); err != nil {
		return "", err
	}
	defer h.mu.Unlock()
	s := h.state
	switch o.Verb {
	case revision.VerbStatus:
		return h.leads(), nil
	case revision.VerbGet:
		if o.Number == revision.Latest {
			return string(s.InForce().Text), nil
		}
		r, err := s.Find(o.Number)
		if err != nil {
			return "", err
		}
		return string(r.Text), nil
	case revision.VerbList:
		return list(s, o.Number), nil
	case revision.VerbOutcome:
		return h.outcome(o.Key)
	case revision.VerbReplace:
		h.mu.Unlock()
		err := h.node.Replace(ctx, o.Name, o.Other)
		h.mu.Lock()
		if err != nil {
			return "", err
		}
		return "voter " + o.Name + " replaced by " + o.Other, nil
	case revision.VerbForget:
		c := revision.Command{Op: revision.OpForget, Reign: s.Reign, Name: o.Name}
		if _, err := h.unlocked(ctx, c); err != nil {
			return "", err
		}
		return "forgotten " + o.Name, nil
	}
	return h.propose(ctx, o)
}

// unlocked has a command settled. With mu held before and after, not during.
func (h *Host) unlocked(ctx context.Context, c revision.Command) (revision.Result, error) {
	h.mu.Unlock()
	defer h.mu.Lock()
	return h.settle(ctx, c)
}

func (h *Host) propose(ctx context.Context, o revision.Order) (string, error) {
	s := h.state
	if text, err := h.outcome(o.Key); !errors.As(err, new(*NoKey)) {
		return text, err // handed in before
	}
	c := revision.Command{Op: revision.OpPropose, Kind: revision.Proposed, Key: o.Key, From: o.From, By: cmp.Or(o.By, "-"), Watch: int64(o.Watch),
		Within: int64(o.Deadline), At: time.Now().UnixMilli()}
	if o.From == revision.Latest {
		c.From = s.InForce().Number
	}
	if o.Verb == revision.VerbRollback {
		c.Kind, c.Of = revision.Rollback, o.Number
		if _, err := s.Find(o.Number); err != nil {
			return "", err
		}
	} else {
		content, err := revision.Decode(o.Text)
		if err != nil {
			return "", err
		}
		c.Text, c.Hash, c.Note = revision.Encode(content), revision.Hash(content), content.Note
	}
	if _, err := h.unlocked(ctx, c); err != nil {
		return "", err
	}
	ring(h.nudge)
	return h.outcome(o.Key)
}

// outcome is what is known of a proposal. With mu held.
func (h *Host) outcome(key string) (string, error) {
	s := h.state
	if p := s.Pending; p != nil && p.Key == key {
		return revision.PendingText(key, h.waits()), nil
	}
	o := s.Outcome(key)
	switch {
	case o == nil:
		return "", &NoKey{key}
	case o.Number == 0:
		return "", &revision.Unwilling{Key: key, Who: o.Who, Why: o.Why}
	}
	hash := "-"
	if r, err := s.Find(o.Number); err == nil {
		hash = r.Hash
	}
	return revision.SettledText(o.Number, hash, key), nil
}

func (h *Host) waits() string {
	step := "check"
	if h.state.Stopped() {
		step = "stop"
	}
	names := h.leader.Waits(h.state)
	if len(names) == 0 {
		return step
	}
	more := ""
	if len(names) > 8 {
		names, more = names[:8], fmt.Sprintf(" and %d more", len(names)-8)
	}
	return step + "(waiting for " + strings.Join(names, ",") + more + ")"
}

// list is the revision after n in one line, "-" at the end.
func list(s *revision.State, after uint64) string {
	first, last := s.History[0].Number, s.InForce().Number
	n := after + 1 // Latest: 0
	if n > last {
		return "-"
	}
	lost := ""
	if n < first {
		n, lost = first, fmt.Sprintf(" forgotten=..%d", first-1)
	}
	r := &s.History[n-first]
	kind := string(r.Kind)
	switch r.Kind {
	case revision.Rollback:
		kind = fmt.Sprintf("rollback-of-%d", r.Of)
	case revision.Guard:
		kind = fmt.Sprintf("guard-back-to-%d", r.Of)
	}
	age := "-"
	if r.At > 0 {
		age = time.Since(time.UnixMilli(r.At)).Truncate(time.Second).String()
	}
	return fmt.Sprintf("%d hash=%s age=%s by=%s from=%d kind=%s key=%s%s note=%q", r.Number, revision.Short(r.Hash), age, cmp.Or(word(r.By), "-"), r.From, kind, cmp.Or(r.Key, "-"), lost, r.Note)
}

func word(s string) string {
	if strings.ContainsAny(s, " \t") {
		return fmt.Sprintf("%q", s)
	}
	return s
}

// leads is what the leader says of all. With mu held.
func (h *Host) leads() string {
	s := h.state
	f := s.InForce()
	var voters, members []string
	for _, v := range h.node.Status().Voters {
		name := v.Name
		if v.Learner {
			name += "(learning)"
		}
		voters = append(voters, name)
	}
	holds := "refuse"
	for _, r := range s.Holders {
		if !slices.Contains(members, r.Name) {
			members = append(members, r.Name)
		}
		if r.Hold {
			holds = "hold"
		}
	}
	pending := "none"
	if p := s.Pending; p != nil {
		pending = p.Key + ":" + h.waits()
	}
	watch := "none"
	if w := s.Watch; w != nil {
		switch {
		case w.Kept:
			watch = "kept"
		case w.Tries >= revision.MostTries:
			watch = "no-way-back"
		default:
			watch = "open"
		}
	}
	return fmt.Sprintf("in-force=%d hash=%s leader=%s reign=%d voters=%s members=%d(%s) pending=%s watch=%s history=%d..%d on_cut=%s", f.Number, revision.Short(f.Hash),
		h.cfg.Name, s.Reign, strings.Join(voters, ","), len(members), strings.Join(members[:min(len(members), 16)], ","), pending, watch, s.History[0].Number, f.Number, holds)
}

// status is this balancer's own part, and what the leader says, if one can be reached.
func (h *Host) status(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	p := h.Permit()
	now := time.Now()
	own := fmt.Sprintf("here=%d phase=%s", p.Number, p.Phase)
	if p.Phase == AtWork && !p.May(now) {
		own = fmt.Sprintf("here=%d phase=%s", p.Number, Lapsed)
	}
	if p.Phase == AtWork {
		if p.Until.IsZero() {
			own += " until=-"
		} else {
			own += " until=" + p.Until.Sub(now).Truncate(time.Millisecond).String()
		}
	}
	if p.Why != "" {
		own += fmt.Sprintf(" why=%q", p.Why)
	}
	n := h.node.Status()
	own += fmt.Sprintf(" role=%s", n.Role)
	if n.Fault != nil {
		own += fmt.Sprintf(" fault=%q", hint.Line(n.Fault))
	}
	text, err := h.atLeader(ctx, string(revision.VerbStatus))
	if err != nil {
		return own + " leader=none"
	}
	return own + " " + text
}
