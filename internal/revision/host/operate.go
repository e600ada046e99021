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
	// statusTimeout bounds the wait for the leader in calls that can be answered without it.
	statusTimeout = time.Second
	// leaderTimeout bounds one call to a leader, after which the call is retried at the leader known by then.
	leaderTimeout = 4 * time.Second
	// leaderRetryDelay is the delay between two calls.
	leaderRetryDelay = 50 * time.Millisecond
	// maxWaitingNames is the number of members that an answer names of those a proposal waits for.
	maxWaitingNames = 8
)

// Operate carries out an operator's call, the words after "revision", at the current leader. The error has a hint;
// if it begins with revision.RetryLaterPrefix, the same call may be retried.
func (h *Host) Operate(ctx context.Context, words string) (string, error) {
	call, err := revision.ParseCall(words)
	if err != nil {
		return "", err
	}
	switch call.Verb {
	case revision.VerbPropose:
		if incompatible := h.check(call.Text); incompatible != nil { // each other member checks against its settings
			return h.earlierOutcome(ctx, call.Key, incompatible)
		}
	case revision.VerbStatus:
		return h.status(ctx), nil
	}
	ctx, cancel := context.WithTimeout(ctx, operateTimeout)
	defer cancel()
	return h.callAnyLeader(ctx, words)
}

// earlierOutcome returns the outcome of a proposal that is incompatible with this balancer's current settings but may
// have been submitted earlier, when it was compatible. If there is no outcome, it returns the error incompatible.
func (h *Host) earlierOutcome(ctx context.Context, key string, incompatible error) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	text, err := h.callAnyLeader(ctx, revision.Call{Verb: revision.VerbOutcome, Key: key}.String())
	if err == nil || strings.HasPrefix(err.Error(), key+" ended nowhere") {
		return text, err
	}
	return "", incompatible
}

// callAnyLeader sends a call to the leader, and retries at the leader known by then until one answers or ctx ends.
func (h *Host) callAnyLeader(ctx context.Context, words string) (string, error) {
	cause := "no leader is known"
	timeout := leaderTimeout
	if end, ok := ctx.Deadline(); ok { // an unresponsive leader must not delay the caller beyond its deadline
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
			return "", &NoLeader{"the balancer is shutting down"}
		case <-time.After(leaderRetryDelay):
		}
	}
}

// mayRetry reports whether the error does not show that anything was done, so that another member may be called.
func mayRetry(err error) bool {
	return strings.HasPrefix(err.Error(), revision.RetryLaterPrefix) ||
		errors.As(err, new(*consensus.Unreachable)) ||
		errors.As(err, new(*consensus.Overloaded)) ||
		errors.As(err, new(*consensus.NotLeader))
}

// executeCall carries out a call on the leader.
func (h *Host) executeCall(ctx context.Context, call revision.Call) (string, error) {
	if err := h.lockAsLeader(ctx); err != nil {
		return "", err
	}
	defer h.mu.Unlock()
	switch call.Verb {
	case revision.VerbStatus:
		return h.leaderStatus(), nil
	case revision.VerbGet:
		return revisionText(h.state, call.Number)
	case revision.VerbList:
		return listRevision(h.state, call.Number), nil
	case revision.VerbOutcome:
		return h.outcome(call.Key)
	case revision.VerbReplace:
		return h.replaceVoter(ctx, call)
	case revision.VerbForget:
		forget := revision.Command{Op: revision.OpForget, LeaderTerm: h.state.LeaderTerm, Name: call.Name}
		if err := h.commitUnlocked(ctx, forget); err != nil {
			return "", err
		}
		return "forgotten " + call.Name, nil
	}
	return h.propose(ctx, call)
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

// replaceVoter replaces a voter of the log. It is called with mu held, and unlocks it during the call.
func (h *Host) replaceVoter(ctx context.Context, call revision.Call) (string, error) {
	h.mu.Unlock()
	err := h.node.Replace(ctx, call.Name, call.NewName)
	h.mu.Lock()
	if err != nil {
		return "", err
	}
	return "voter " + call.Name + " replaced by " + call.NewName, nil
}

// commitUnlocked commits a command. It is called with mu held, and unlocks it during the commit.
func (h *Host) commitUnlocked(ctx context.Context, command revision.Command) error {
	h.mu.Unlock()
	defer h.mu.Lock()
	_, err := h.commit(ctx, command)
	return err
}

// propose commits a proposal, unless its key is known. It is called with mu held, and unlocks it during the commit.
func (h *Host) propose(ctx context.Context, call revision.Call) (string, error) {
	if text, err := h.outcome(call.Key); !errors.As(err, new(*UnknownKey)) {
		return text, err
	}
	command, err := proposal(h.state, call)
	if err != nil {
		return "", err
	}
	if err := h.commitUnlocked(ctx, command); err != nil {
		return "", err
	}
	signal(h.wakeCoordinator)
	return h.outcome(call.Key)
}

// proposal returns the command for an operator's proposal or rollback.
func proposal(state *revision.State, call revision.Call) (revision.Command, error) {
	command := revision.Command{
		Op:            revision.OpPropose,
		Kind:          revision.KindProposed,
		Key:           call.Key,
		Base:          call.Base,
		By:            cmp.Or(call.By, "-"),
		GuardDuration: int64(call.GuardDuration),
		Deadline:      int64(call.Deadline),
		ProposedAt:    time.Now().UnixMilli(),
	}
	if call.Base == revision.Latest {
		command.Base = state.InForce().Number
	}
	if call.Verb == revision.VerbRollback {
		command.Kind, command.Source = revision.KindRollback, call.Number
		_, err := state.Revision(call.Number)
		return command, err
	}
	content, err := revision.Decode(call.Text)
	if err != nil {
		return command, err
	}
	command.Text, command.Hash, command.Note = revision.Encode(content), revision.Hash(content), content.Note
	return command, nil
}

// outcome describes the state or outcome of a proposal. It is called with mu held.
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

// waitingText describes what the pending proposal waits for. It is called with mu held.
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
