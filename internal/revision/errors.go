package revision

// This file owns the errors that proposals and calls are refused with, each a type of its own. They must say what an operator can do.

import (
	"fmt"
	"strings"
	"time"
)

// Busy is the error that another proposal is under way.
type Busy struct {
	Key  string
	Kind Kind
	By   string
}

func (e *Busy) Error() string {
	return fmt.Sprintf("another proposal is under way: %s (%s) by %s", e.Key, e.Kind, e.By)
}

// Hint is what an operator can do.
func (e *Busy) Hint() string {
	return "wait for it with oatctl revision wait " + e.Key + ", look at what it made, and propose anew"
}

// Moved is the error that another revision is in force than the one that the proposal was made from.
type Moved struct {
	From, InForce uint64
	Hash          string
}

func (e *Moved) Error() string {
	return fmt.Sprintf("revision %d is in force (%s), not %d", e.InForce, Short(e.Hash), e.From)
}

// Hint is what an operator can do.
func (e *Moved) Hint() string {
	return fmt.Sprintf("see what has changed with oatctl revision diff %d %d, and propose anew with --from %d", e.From, e.InForce, e.InForce)
}

// Watched is the error that the revision in force is being watched.
type Watched struct {
	Number uint64
	For    int64
}

func (e *Watched) Error() string {
	return fmt.Sprintf("revision %d is watched for %v and not kept yet", e.Number, time.Duration(e.For))
}

// Hint is what an operator can do.
func (e *Watched) Hint() string {
	return "wait until oatctl revision status shows watch=kept, or roll back, which is not held up"
}

// Forgotten is the error that a revision is not in the history any more.
type Forgotten struct{ Number, First uint64 }

func (e *Forgotten) Error() string {
	return fmt.Sprintf("revision %d has been forgotten; the history begins with %d", e.Number, e.First)
}

// Hint is what an operator can do.
func (e *Forgotten) Hint() string {
	return "take one from oatctl revision list, or propose the text anew; revisions.history and history_bytes say how many are kept"
}

// Missing is the error that there has been no such revision.
type Missing struct{ Number, InForce uint64 }

func (e *Missing) Error() string {
	return fmt.Sprintf("there has been no revision %d; %d is in force", e.Number, e.InForce)
}

// Hint is what an operator can do.
func (e *Missing) Hint() string { return "take one from oatctl revision list" }

// NoMember is the error that nobody of that name is in the roster.
type NoMember struct{ Name string }

func (e *NoMember) Error() string { return "no member " + e.Name + " may route newcomers" }

// Hint is what an operator can do.
func (e *NoMember) Hint() string {
	return "see the names in oatctl revision status; one that isn't there holds nothing up"
}

// Superseded is the error that a later process of this name has told that this one has ended.
type Superseded struct {
	Name  string
	Floor uint64
}

func (e *Superseded) Error() string {
	return fmt.Sprintf("a later process of %s (%d) has taken its place", e.Name, e.Floor)
}

// Hint is what an operator can do.
func (e *Superseded) Hint() string {
	return "run one balancer under a name, but in an upgrade; see that the machine's clock doesn't go back"
}

// Stale is the error that a coordinator's step was settled too late to count. Nothing has happened.
type Stale struct{ Step, Cause string }

func (e *Stale) Error() string { return e.Step + " came too late: " + e.Cause }

// Hint is what an operator can do.
func (e *Stale) Hint() string { return "do it again" }

// Torn is the error that a snapshot or entry can't be read.
type Torn struct{ Cause string }

func (e *Torn) Error() string { return "what is settled can't be read: " + e.Cause }

// Hint is what an operator can do.
func (e *Torn) Hint() string {
	return "move the revisions' folder aside and start again: the balancer comes back as a new voter"
}

// Unwilling is the error that a proposal ended nowhere.
type Unwilling struct {
	Key string
	Who []string
	Why string
}

func (e *Unwilling) Error() string {
	if len(e.Who) == 0 {
		return e.Key + " ended nowhere: " + e.Why
	}
	return e.Key + " ended nowhere, for " + strings.Join(e.Who, ", ") + ": " + e.Why
}

// Hint is what an operator can do.
func (e *Unwilling) Hint() string {
	if len(e.Who) == 0 {
		return "propose anew, under a new key"
	}
	return "mend what it says at " + strings.Join(e.Who, ", ") + ", or, if that balancer is off for good, oatctl revision forget it; then propose anew"
}
