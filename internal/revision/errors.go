package revision

import (
	"fmt"
	"strings"
	"time"
)

// ProposalPending reports that another proposal is pending.
type ProposalPending struct {
	Key  string
	Kind Kind
	By   string
}

// Error returns the message.
func (e *ProposalPending) Error() string {
	return fmt.Sprintf("another proposal is pending: %s (%s) by %s", e.Key, e.Kind, e.By)
}

// Hint returns what an operator can do about it.
func (e *ProposalPending) Hint() string {
	return "wait for it with oatctl revision wait " + e.Key + ", check the revision that results, and propose again"
}

// BaseChanged reports that the revision in force is not the one on which the proposal was based.
type BaseChanged struct {
	Base, InForce uint64
	Hash          string
}

// Error returns the message.
func (e *BaseChanged) Error() string {
	return fmt.Sprintf("revision %d is in force (%s), not %d", e.InForce, HashPrefix(e.Hash), e.Base)
}

// Hint returns what an operator can do about it.
func (e *BaseChanged) Hint() string {
	return fmt.Sprintf("see the changes with oatctl revision diff %d %d, and propose again with --from %d",
		e.Base, e.InForce, e.InForce)
}

// GuardActive reports that the guard of the revision in force has not ended.
type GuardActive struct {
	Number   uint64
	Duration int64
}

// Error returns the message.
func (e *GuardActive) Error() string {
	return fmt.Sprintf("revision %d is watched by its guard for %v, which has not ended",
		e.Number, time.Duration(e.Duration))
}

// Hint returns what an operator can do about it.
func (e *GuardActive) Hint() string {
	return "wait until oatctl revision status shows watch=kept, or roll back, which is allowed at any time"
}

// NotRetained reports that a revision is no longer in the history.
type NotRetained struct{ Number, FirstKept uint64 }

// Error returns the message.
func (e *NotRetained) Error() string {
	return fmt.Sprintf("revision %d is no longer in the history, which begins with %d", e.Number, e.FirstKept)
}

// Hint returns what an operator can do about it.
func (e *NotRetained) Hint() string {
	return "choose one from oatctl revision list, or propose the text again; " +
		"revisions.history and history_bytes set how many are kept"
}

// NotFound reports that no revision of that number has existed.
type NotFound struct{ Number, InForce uint64 }

// Error returns the message.
func (e *NotFound) Error() string {
	return fmt.Sprintf("revision %d does not exist; %d is in force", e.Number, e.InForce)
}

// Hint returns what an operator can do about it.
func (e *NotFound) Hint() string { return "choose one from oatctl revision list" }

// UnknownHolder reports that no process of that name is listed.
type UnknownHolder struct{ Name string }

// Error returns the message.
func (e *UnknownHolder) Error() string {
	return "no member named " + e.Name + " may place new requests"
}

// Hint returns what an operator can do about it.
func (e *UnknownHolder) Hint() string {
	return "see the names in oatctl revision status; a member that is not listed there does not block proposals"
}

// Superseded reports that a later process of this name has reported the end of this one.
type Superseded struct {
	Name          string
	MinGeneration uint64
}

// Error returns the message.
func (e *Superseded) Error() string {
	return fmt.Sprintf("this process was superseded by a later process of %s (%d)", e.Name, e.MinGeneration)
}

// Hint returns what an operator can do about it.
func (e *Superseded) Hint() string {
	return "run one balancer per name, except during an upgrade; make sure that the machine's clock does not go back"
}

// StaleCommand reports that a leader's command was committed too late and has had no effect.
type StaleCommand struct{ Step, Cause string }

// Error returns the message.
func (e *StaleCommand) Error() string { return e.Step + " was committed too late: " + e.Cause }

// Hint returns what an operator can do about it.
func (e *StaleCommand) Hint() string { return "repeat the call" }

// Corrupt reports that a snapshot, log entry or call cannot be decoded.
type Corrupt struct{ Cause string }

// Error returns the message.
func (e *Corrupt) Error() string { return "can't decode the stored revision state: " + e.Cause }

// Hint returns what an operator can do about it.
func (e *Corrupt) Hint() string {
	return "move the revisions' folder aside and restart: the balancer rejoins as a new voter"
}

// ProposalFailed reports that a proposal was aborted.
type ProposalFailed struct {
	Key     string
	Members []string
	Reason  string
}

// Error returns the message.
func (e *ProposalFailed) Error() string {
	if len(e.Members) == 0 {
		return e.Key + " ended nowhere: " + e.Reason
	}
	return e.Key + " ended nowhere, for " + strings.Join(e.Members, ", ") + ": " + e.Reason
}

// Hint returns what an operator can do about it.
func (e *ProposalFailed) Hint() string {
	if len(e.Members) == 0 {
		return "propose again under a new key"
	}
	return "correct the reported problem at " + strings.Join(e.Members, ", ") +
		", or, if that balancer is switched off for good, run oatctl revision forget with its name; then propose again"
}
