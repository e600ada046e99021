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
			if g := hint.Hinter(nil); errors.As(err, &g) && !mayRetry(err) {
				return "", err
			}
			cause = strings.TrimPrefix(err.Error(), revision.RetryLaterPrefix)
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

// mayRetry tells of an error by which nothing is known to be done, so that another member may be asked.
func mayRetry(err error) bool {
	return strings.HasPrefix(err.Error(), revision.RetryLaterPrefix) || errors.As(err, new(*consensus.Unreachable)) || errors.As(err, new(*consensus.Overloaded)) ||
		errors.As(err, new(*consensus.NotLeader))
}

// executeOrder is done at the leader.
func (h *Host) executeOrder(ctx context.Context, o revision.Order) (string, error) {
	if err := h.lockAsLeader(ctx); err != nil {
		return "", err
	}
	defer h.mu.Unlock()
	s := h.state
	switch o.Verb {
	case revision.VerbStatus:
		return h.leaderStatus(), nil
	case revision.VerbGet:
		if o.Number == revision.Latest {
			return string(s.InForce().Text), nil
		}
		r, err := s.Revision(o.Number)
		if err != nil {
			return "", err
		}
		return string(r.Text), nil
	case revision.VerbList:
		return listRevision(s, o.Number), nil
	case revision.VerbOutcome:
		return h.outcome(o.Key)
	case revision.VerbReplace:
		h.mu.Unlock()
		err := h.node.Replace(ctx, o.Name, o.NewName)
		h.mu.Lock()
		if err != nil {
			return "", err
		}
		return "voter " + o.Name + " replaced by " + o.NewName, nil
	case revision.VerbForget:
		c := revision.Command{Op: revision.OpForget, LeaderTerm: s.LeaderTerm, Name: o.Name}
		if _, err := h.commitUnlocked(ctx, c); err != nil {
			return "", err
		}
		return "forgotten " + o.Name, nil
	}
	return h.propose(ctx, o)
}

// commitUnlocked has a command settled. With mu held before and after, not during.
func (h *Host) commitUnlocked(ctx context.Context, c revision.Command) (revision.Result, error) {
	h.mu.Unlock()
	defer h.mu.Lock()
	return h.commit(ctx, c)
}

func (h *Host) propose(ctx context.Context, o revision.Order) (string, error) {
	s := h.state
	if text, err := h.outcome(o.Key); !errors.As(err, new(*UnknownKey)) {
		return text, err // handed in before
	}
	c := revision.Command{Op: revision.OpPropose, Kind: revision.KindProposed, Key: o.Key, Base: o.Base, By: cmp.Or(o.By, "-"), GuardFor: int64(o.GuardFor),
		Deadline: int64(o.Deadline), ProposedAt: time.Now().UnixMilli()}
	if o.Base == revision.Latest {
		c.Base = s.InForce().Number
	}
	if o.Verb == revision.VerbRollback {
		c.Kind, c.Source = revision.KindRollback, o.Number
		if _, err := s.Revision(o.Number); err != nil {
			return "", err
		}
	} else {
		content, err := revision.Decode(o.Text)
		if err != nil {
			return "", err
		}
		c.Text, c.Hash, c.Note = revision.Encode(content), revision.Hash(content), content.Note
	}
	if _, err := h.commitUnlocked(ctx, c); err != nil {
		return "", err
	}
	signal(h.wakeCoordinator)
	return h.outcome(o.Key)
}

// outcome is what is known of a proposal. With mu held.
func (h *Host) outcome(key string) (string, error) {
	s := h.state
	if p := s.Pending; p != nil && p.Key == key {
		return revision.PendingText(key, h.waitingText()), nil
	}
	o := s.Outcome(key)
	switch {
	case o == nil:
		return "", &UnknownKey{key}
	case o.Number == 0:
		return "", &revision.ProposalFailed{Key: key, Members: o.Members, Reason: o.Reason}
	}
	hash := "-"
	if r, err := s.Revision(o.Number); err == nil {
		hash = r.Hash
	}
	return revision.SettledText(o.Number, hash, key), nil
}

func (h *Host) waitingText() string {
	step := "check"
	if h.state.Stopped() {
		step = "stop"
	}
	names := h.leader.WaitingFor(h.state)
	if len(names) == 0 {
		return step
	}
	more := ""
	if len(names) > 8 {
		names, more = names[:8], fmt.Sprintf(" and %d more", len(names)-8)
	}
	return step + "(waiting for " + strings.Join(names, ",") + more + ")"
}

// listRevision is the revision after n in one line, "-" at the end.
func listRevision(s *revision.State, after uint64) string {
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
	case revision.KindRollback:
		kind = fmt.Sprintf("rollback-of-%d", r.Source)
	case revision.KindGuard:
		kind = fmt.Sprintf("guard-back-to-%d", r.Source)
	}
	age := "-"
	if r.ProposedAt > 0 {
		age = time.Since(time.UnixMilli(r.ProposedAt)).Truncate(time.Second).String()
	}
	return fmt.Sprintf("%d hash=%s age=%s by=%s from=%d kind=%s key=%s%s note=%q", r.Number, revision.ShortHash(r.Hash), age, cmp.Or(quoteIfSpaced(r.By), "-"), r.Base, kind, cmp.Or(r.Key, "-"), lost, r.Note)
}

func quoteIfSpaced(s string) string {
	if strings.ContainsAny(s, " \t") {
		return fmt.Sprintf("%q", s)
	}
	return s
}

// leaderStatus is what the leader says of all. With mu held.
func (h *Host) leaderStatus() string {
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
		if r.HoldOnPartition {
			holds = "hold"
		}
	}
	pending := "none"
	if p := s.Pending; p != nil {
		pending = p.Key + ":" + h.waitingText()
	}
	watch := "none"
	if w := s.Guard; w != nil {
		switch {
		case w.Kept:
			watch = "kept"
		case w.FailedRollbacks >= revision.MaxFailedRollbacks:
			watch = "no-way-back"
		default:
			watch = "open"
		}
	}
	return fmt.Sprintf("in-force=%d hash=%s leader=%s reign=%d voters=%s members=%d(%s) pending=%s watch=%s history=%d..%d on_cut=%s", f.Number, revision.ShortHash(f.Hash),
		h.cfg.Name, s.LeaderTerm, strings.Join(voters, ","), len(members), strings.Join(members[:min(len(members), 16)], ","), pending, watch, s.History[0].Number, f.Number, holds)
}

// status is this balancer's own part, and what the leader says, if one can be reached.
func (h *Host) status(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	p := h.Lease()
	now := time.Now()
	own := fmt.Sprintf("here=%d phase=%s", p.Number, p.Phase)
	if p.Phase == Active && !p.Allows(now) {
		own = fmt.Sprintf("here=%d phase=%s", p.Number, Expired)
	}
	if p.Phase == Active {
		if p.Until.IsZero() {
			own += " until=-"
		} else {
			own += " until=" + p.Until.Sub(now).Truncate(time.Millisecond).String()
		}
	}
	if p.Reason != "" {
		own += fmt.Sprintf(" why=%q", p.Reason)
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
