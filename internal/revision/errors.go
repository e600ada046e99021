package revision

import (
	"fmt"
	"strings"
	"time"
)

// ProposalPending is the error that another proposal is under way.
type ProposalPending struct {
	Key  string
	Kind Kind
	By   string
}

// Error says what is wrong.
func (e *ProposalPending) Error() string {
	return fmt.Sprintf("another proposal is under way: %s (%s) by %s", e.Key, e.Kind, e.By)
}

// Hint is what an operator can do.
func (e *ProposalPending) Hint() string {
	return "wait for it with oatctl revision wait " + e.Key + ", look at what it made, and propose anew"
}

// BaseChanged is the error that another revision is in force than the one on which the proposal was based.
type BaseChanged struct {
	From, InForce uint64
	Hash          string
}

// Error says what is wrong.
func (e *BaseChanged) Error() string {
	return fmt.Sprintf("revision %d is in force (%s), not %d", e.InForce, ShortHash(e.Hash), e.From)
}

// Hint is what an operator can do.
func (e *BaseChanged) Hint() string {
	return fmt.Sprintf("see what has changed with oatctl revision diff %d %d, and propose anew with --from %d",
		e.From, e.InForce, e.InForce)
}

// GuardActive is the error that the guard of the revision in force is not over.
type GuardActive struct {
	Number   uint64
	Duration int64
}

// Error says what is wrong.
func (e *GuardActive) Error() string {
	return fmt.Sprintf("revision %d is watched for %v and not kept yet", e.Number, time.Duration(e.Duration))
}

// Hint is what an operator can do.
func (e *GuardActive) Hint() string {
	return "wait until oatctl revision status shows watch=kept, or roll back, which is not held up"
}

// Forgotten is the error that a revision is not in the history any more.
type Forgotten struct{ Number, FirstKept uint64 }

// Error says what is wrong.
func (e *Forgotten) Error() string {
	return fmt.Sprintf("revision %d has been forgotten; the history begins with %d", e.Number, e.FirstKept)
}

// Hint is what an operator can do.
func (e *Forgotten) Hint() string {
	return "take one from oatctl revision list, or propose the text anew; " +
		"revisions.history and history_bytes say how many are kept"
}

// Missing is the error that there has been no such revision.
type NotFound struct{ Number, InForce uint64 }

// Error says what is wrong.
func (e *NotFound) Error() string {
	return fmt.Sprintf("there has been no revision %d; %d is in force", e.Number, e.InForce)
}

// Hint is what an operator can do.
func (e *NotFound) Hint() string { return "take one from oatctl revision list" }

// UnknownHolder is the error that no process of that name is listed.
type UnknownHolder struct{ Name string }

// Error says what is wrong.
func (e *UnknownHolder) Error() string { return "no member " + e.Name + " may route newcomers" }

// Hint is what an operator can do.
func (e *UnknownHolder) Hint() string {
	return "see the names in oatctl revision status; one that isn't there holds nothing up"
}

// Superseded is the error that a later process of this name has reported that this one has ended.
type Superseded struct {
	Name          string
	MinGeneration uint64
}

// Error says what is wrong.
func (e *Superseded) Error() string {
	return fmt.Sprintf("a later process of %s (%d) has taken its place", e.Name, e.MinGeneration)
}

// Hint is what an operator can do.
func (e *Superseded) Hint() string {
	return "run one balancer under a name, but in an upgrade; see that the machine's clock doesn't go back"
}

// StaleCommand is the error that a leader's command was committed too late to count. Nothing has happened.
type StaleCommand struct{ Step, Cause string }

// Error says what is wrong.
func (e *StaleCommand) Error() string { return e.Step + " came too late: " + e.Cause }

// Hint is what an operator can do.
func (e *StaleCommand) Hint() string { return "do it again" }

// Corrupt is the error that a snapshot, entry or call cannot be read.
type Corrupt struct{ Cause string }

// Error says what is wrong.
func (e *Corrupt) Error() string { return "what is settled can't be read: " + e.Cause }

// Hint is what an operator can do.
func (e *Corrupt) Hint() string {
	return "move the revisions' folder aside and start again: the balancer comes back as a new voter"
}

// ProposalFailed is the error that a proposal was given up.
type ProposalFailed struct {
	Key     string
	Members []string
	Reason  string
}

// Error says what is wrong.
func (e *ProposalFailed) Error() string {
	if len(e.Members) == 0 {
		return e.Key + " ended nowhere: " + e.Reason
	}
	return e.Key + " ended nowhere, for " + strings.Join(e.Members, ", ") + ": " + e.Reason
}

// Hint is what an operator can do.
func (e *ProposalFailed) Hint() string {
	if len(e.Members) == 0 {
		return "propose anew, under a new key"
	}
	return "mend what it says at " + strings.Join(e.Members, ", ") +
		", or, if that balancer is off for good, oatctl revision forget it; then propose anew"
}
