package host

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"oatloft/internal/consensus"
	"oatloft/internal/hint"
	"oatloft/internal/revision"
)

const (
	// operateTimeout bounds an operator's call.
	operateTimeout = 5 * time.Second
	// statusTimeout bounds what a call waits for where an answer without the leader is worth something.
	statusTimeout = time.Second
	// leaderTimeout bounds one call to a leader, after which another one is looked for.
	leaderTimeout = 4 * time.Second
	// leaderRetry is the time between two calls.
	leaderRetry = 50 * time.Millisecond
	// maxWaitingNames is how many members an answer names that a proposal waits for.
	maxWaitingNames = 8
)

// Operate carries out an operator's order, the words after "revision", at whichever member leads. The error has a
// hint; one that begins with revision.RetryLaterPrefix may be followed by the same call again.
func (h *Host) Operate(ctx context.Context, words string) (string, error) {
	order, err := revision.ParseCall(words)
	if err != nil {
		return "", err
	}
	switch order.Verb {
	case revision.VerbPropose:
		if incompatible := h.check(order.Text); incompatible != nil { // other members check for themselves
			return h.earlierOutcome(ctx, order.Key, incompatible)
		}
	case revision.VerbStatus:
		return h.status(ctx), nil
	}
	ctx, cancel := context.WithTimeout(ctx, operateTimeout)
	defer cancel()
	return h.callAnyLeader(ctx, words)
}

// earlierOutcome returns the outcome of a proposal that does not fit this balancer now: it may have been handed in
// before, when it did. Otherwise the error is incompatible.
func (h *Host) earlierOutcome(ctx context.Context, key string, incompatible error) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	text, err := h.callAnyLeader(ctx, revision.Call{Verb: revision.VerbOutcome, Key: key}.String())
	if err == nil || strings.HasPrefix(err.Error(), key+" ended nowhere") {
		return text, err
	}
	return "", incompatible
}

// callAnyLeader has an order carried out by the leader, and looks for another one while none answers.
func (h *Host) callAnyLeader(ctx context.Context, words string) (string, error) {
	cause := "none is known"
	timeout := leaderTimeout
	if end, ok := ctx.Deadline(); ok { // a leader that does not answer must not hold up a caller that waits less
		timeout = min(timeout, time.Until(end))
	}
	for {
		if leader := h.node.Leader(); leader.Name != "" {
			text, err := h.callLeaderRaw(leader, methodOperate, []byte(words), timeout)
			if err == nil {
				return string(text), nil
			}
			if hinter := hint.Hinter(nil); errors.As(err, &hinter) && !mayRetry(err) {
				return "", err
			}
			cause = strings.TrimPrefix(err.Error(), revision.RetryLaterPrefix)
		}
		select {
		case <-ctx.Done():
			return "", &NoLeader{cause}
		case <-h.ctx.Done():
			return "", &NoLeader{"this balancer ends"}
		case <-time.After(leaderRetry):
		}
	}
}

// mayRetry tells whether, by this error, nothing is known to have been done, so that another member may be asked.
func mayRetry(err error) bool {
	return strings.HasPrefix(err.Error(), revision.RetryLaterPrefix) ||
		errors.As(err, new(*consensus.Unreachable)) ||
		errors.As(err, new(*consensus.Overloaded)) ||
		errors.As(err, new(*consensus.NotLeader))
}

// executeOrder carries out an order at the leader.
func (h *Host) executeOrder(ctx context.Context, order revision.Call) (string, error) {
	if err := h.lockAsLeader(ctx); err != nil {
		return "", err
	}
	defer h.mu.Unlock()
	switch order.Verb {
	case revision.VerbStatus:
		return h.leaderStatus(), nil
	case revision.VerbGet:
		return revisionText(h.state, order.Number)
	case revision.VerbList:
		return listRevision(h.state, order.Number), nil
	case revision.VerbOutcome:
		return h.outcome(order.Key)
	case revision.VerbReplace:
		return h.replaceVoter(ctx, order)
	case revision.VerbForget:
		forget := revision.Command{Op: revision.OpForget, LeaderTerm: h.state.LeaderTerm, Name: order.Name}
		if err := h.commitUnlocked(ctx, forget); err != nil {
			return "", err
		}
		return "forgotten " + order.Name, nil
	}
	return h.propose(ctx, order)
}

func revisionText(state *revision.State, number uint64) (string, error) {
	if number == revision.Latest {
		return string(state.InForce().Text), nil
	}
	r, err := state.Revision(number)
	if err != nil {
		return "", err
	}
	return string(r.Text), nil
}

// replaceVoter has a voter replaced. It is called with mu held, and unlocks it meanwhile.
func (h *Host) replaceVoter(ctx context.Context, order revision.Call) (string, error) {
	h.mu.Unlock()
	err := h.node.Replace(ctx, order.Name, order.NewName)
	h.mu.Lock()
	if err != nil {
		return "", err
	}
	return "voter " + order.Name + " replaced by " + order.NewName, nil
}

// commitUnlocked has a command committed. It is called with mu held, and unlocks it meanwhile.
func (h *Host) commitUnlocked(ctx context.Context, command revision.Command) error {
	h.mu.Unlock()
	defer h.mu.Lock()
	_, err := h.commit(ctx, command)
	return err
}

// propose commits a proposal, unless its key is known. With mu held, but for the commit.
func (h *Host) propose(ctx context.Context, order revision.Call) (string, error) {
	if text, err := h.outcome(order.Key); !errors.As(err, new(*UnknownKey)) {
		return text, err
	}
	command, err := proposal(h.state, order)
	if err != nil {
		return "", err
	}
	if err := h.commitUnlocked(ctx, command); err != nil {
		return "", err
	}
	signal(h.wakeCoordinator)
	return h.outcome(order.Key)
}

// proposal returns the command of an operator's proposal or rollback.
func proposal(state *revision.State, order revision.Call) (revision.Command, error) {
	command := revision.Command{
		Op:            revision.OpPropose,
		Kind:          revision.KindProposed,
		Key:           order.Key,
		Base:          order.Base,
		By:            cmp.Or(order.By, "-"),
		GuardDuration: int64(order.GuardDuration),
		Deadline:      int64(order.Deadline),
		ProposedAt:    time.Now().UnixMilli(),
	}
	if order.Base == revision.Latest {
		command.Base = state.InForce().Number
	}
	if order.Verb == revision.VerbRollback {
		command.Kind, command.Source = revision.KindRollback, order.Number
		_, err := state.Revision(order.Number)
		return command, err
	}
	content, err := revision.Decode(order.Text)
	if err != nil {
		return command, err
	}
	command.Text, command.Hash, command.Note = revision.Encode(content), revision.Hash(content), content.Note
	return command, nil
}

// outcome returns what is known of a proposal. With mu held.
func (h *Host) outcome(key string) (string, error) {
	if p := h.state.Pending; p != nil && p.Key == key {
		return revision.PendingText(key, h.waitingText()), nil
	}
	outcome := h.state.Outcome(key)
	switch {
	case outcome == nil:
		return "", &UnknownKey{key}
	case outcome.Number == 0:
		return "", &revision.ProposalFailed{Key: key, Members: outcome.Members, Reason: outcome.Reason}
	}
	hash := "-"
	if r, err := h.state.Revision(outcome.Number); err == nil {
		hash = r.Hash
	}
	return revision.CommittedText(outcome.Number, hash, key), nil
}

// waitingText describes what the pending proposal waits for. With mu held.
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
	if len(names) > maxWaitingNames {
		more = fmt.Sprintf(" and %d more", len(names)-maxWaitingNames)
		names = names[:maxWaitingNames]
	}
	return step + "(waiting for " + strings.Join(names, ",") + more + ")"
}
