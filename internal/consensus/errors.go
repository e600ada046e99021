package consensus

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
	"syscall"

	"oatloft/internal/hint"
)

func quoted(s string) string { return strconv.Quote(s) }

// ConfigError is a setting that cannot work.
type ConfigError struct{ Field, Why, Do string }

// Error says what is wrong.
func (e *ConfigError) Error() string { return "revisions." + e.Field + ": " + e.Why }

// Hint implements hint.Hinter.
func (e *ConfigError) Hint() string { return e.Do }

// ForeignFolder is a folder of another cluster, another member or another program. It is left as it is.
type ForeignFolder struct{ Folder, Why string }

// Error says what is wrong.
func (e *ForeignFolder) Error() string {
	return fmt.Sprintf("folder %s is not this member's: %s", e.Folder, e.Why)
}

// Hint implements hint.Hinter.
func (e *ForeignFolder) Hint() string {
	return "name this member's own folder, or an empty one, with which it comes back as a new voter"
}

// CorruptFolder is a folder whose content is not as it was written. It is left as it is.
type CorruptFolder struct{ Folder, Why string }

// Error says what is wrong.
func (e *CorruptFolder) Error() string {
	return fmt.Sprintf("folder %s is damaged: %s", e.Folder, e.Why)
}

// Hint implements hint.Hinter.
func (e *CorruptFolder) Hint() string {
	return "move the folder away and start again: this member comes back as a new voter while most of the others stand"
}

// UnwritableFolder is a write to the folder that failed. The member does not vote until it can write again.
type UnwritableFolder struct {
	Folder string
	Cause  error
}

// Error says what is wrong.
func (e *UnwritableFolder) Error() string {
	return fmt.Sprintf("folder %s can't be written, this member doesn't vote: %v", e.Folder, e.Cause)
}

// Unwrap returns the cause.
func (e *UnwritableFolder) Unwrap() error { return e.Cause }

// Hint implements hint.Hinter.
func (e *UnwritableFolder) Hint() string {
	switch {
	case errors.Is(e.Cause, syscall.ENOSPC), errors.Is(e.Cause, syscall.EDQUOT):
		return "make room on its disk; it votes again by itself then"
	case errors.Is(e.Cause, syscall.EACCES), errors.Is(e.Cause, syscall.EPERM), errors.Is(e.Cause, syscall.EROFS):
		return "let the balancer's user write there (folder 0700, file 0600)"
	}
	return "look at the disk; if it failed, put the folder on another one, empty, and restart this balancer"
}

// mayRecover tells whether the fault may pass by itself. A failed sync does not: it is unknown what is on the disk
// then.
func (e *UnwritableFolder) mayRecover() bool {
	for _, x := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EACCES, syscall.EPERM, syscall.EROFS} {
		if errors.Is(e.Cause, x) {
			return true
		}
	}
	return false
}

// ReplicaFailed is a voter that stopped because of a contradiction, such as an entry before the last committed one.
type ReplicaFailed struct{ Why string }

// Error says what is wrong.
func (e *ReplicaFailed) Error() string { return "this member stopped voting: " + e.Why }

// Hint implements hint.Hinter.
func (e *ReplicaFailed) Hint() string {
	return "keep a copy of its folder for those who look into it, empty the folder and restart this balancer: " +
		"it comes back as a new voter"
}

// NotLeader says that only the leader can do what was asked.
type NotLeader struct{ Leader LeaderInfo }

// Error says what is wrong.
func (e *NotLeader) Error() string {
	if e.Leader.Name == "" {
		return "nobody leads at present"
	}
	return "this member doesn't lead, " + e.Leader.Name + " does"
}

// Hint implements hint.Hinter.
func (e *NotLeader) Hint() string {
	if e.Leader.Name == "" {
		return "see that most of the voters run and reach each other; then one leads within seconds"
	}
	return "ask " + e.Leader.Name
}

// Overloaded says that as many calls or proposals are under way as may be.
type Overloaded struct {
	What  string
	Limit int
}

// Error says what is wrong.
func (e *Overloaded) Error() string {
	return fmt.Sprintf("%s: %d are under way already", e.What, e.Limit)
}

// Hint implements hint.Hinter.
func (e *Overloaded) Hint() string { return "try again in a second" }

// TooLong is an entry or an answer above the limit.
type TooLong struct{ Bytes, Limit int }

// Error says what is wrong.
func (e *TooLong) Error() string {
	return fmt.Sprintf("%d bytes, and at most %d fit", e.Bytes, e.Limit)
}

// Hint implements hint.Hinter.
func (e *TooLong) Hint() string { return "make it shorter, or do it in several steps" }

// UnknownOutcome says that what was proposed may or may not be committed.
type UnknownOutcome struct{ Cause error }

// Error says what is wrong.
func (e *UnknownOutcome) Error() string {
	return fmt.Sprintf("it may or may not have been settled: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcome) Unwrap() error { return e.Cause }

// Hint implements hint.Hinter.
func (e *UnknownOutcome) Hint() string { return "ask again with the same key: it is done once at most" }

// Unreachable is a member that could not be called, or did not answer in time.
type Unreachable struct {
	Name, Addr string
	Cause      error
}

// Error says what is wrong.
func (e *Unreachable) Error() string { return fmt.Sprintf("%s at %s: %v", e.Name, e.Addr, e.Cause) }

// Unwrap returns the cause.
func (e *Unreachable) Unwrap() error { return e.Cause }

// Hint implements hint.Hinter.
func (e *Unreachable) Hint() string {
	return "see that " + e.Name + " runs, and that " + e.Addr + " can be reached from here"
}

// UnknownMember is a name that is not among the candidates.
type UnknownMember struct{ Name string }

// Error says what is wrong.
func (e *UnknownMember) Error() string {
	return quoted(e.Name) + " is not among the members that may hold a vote"
}

// Hint implements hint.Hinter.
func (e *UnknownMember) Hint() string { return "list it in revisions.members at all balancers" }

// RemoteError is another member's error.
type RemoteError struct{ Name, Method, Text, Do string }

// Error says what is wrong.
func (e *RemoteError) Error() string { return e.Text }

// Hint implements hint.Hinter.
func (e *RemoteError) Hint() string {
	if e.Do == "" {
		return "see the log of " + e.Name
	}
	return e.Do
}

// NotReplaced is a replacement that did not come to pass: the old voter keeps its vote.
type NotReplaced struct{ Old, New, Why, Do string }

// Error says what is wrong.
func (e *NotReplaced) Error() string {
	return fmt.Sprintf("%s keeps its vote, %s gets none: %s", e.Old, e.New, e.Why)
}

// Hint implements hint.Hinter.
func (e *NotReplaced) Hint() string { return e.Do }

// CallFailed is a call between members that ended before its answer came.
type CallFailed struct{ Why string }

// Error says what is wrong.
func (e *CallFailed) Error() string { return e.Why }

// Hint implements hint.Hinter.
func (e *CallFailed) Hint() string {
	return "see that the other member runs, that nothing between the two cuts connections, " +
		"and that both are of one version"
}

// FolderLocked is a folder that another process has.
type FolderLocked struct{ hint.Annotated }

// VoteReleased is the end of a voter whose vote another member has now.
type VoteReleased struct{ hint.Annotated }

// Closed says that the node has been closed.
type Closed struct{}

// Error says what is wrong.
func (*Closed) Error() string { return "the agreement has been closed here" }

// Hint implements hint.Hinter.
func (*Closed) Hint() string { return "ask another balancer" }

func oneLine(x any) string { return strings.Join(strings.Fields(fmt.Sprint(x)), " ") }
