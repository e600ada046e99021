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

// ConfigError reports an invalid setting.
type ConfigError struct{ Field, Why, Do string }

// Error implements error.
func (e *ConfigError) Error() string { return "revisions." + e.Field + ": " + e.Why }

// Hint implements hint.Hinter.
func (e *ConfigError) Hint() string { return e.Do }

// ForeignFolder reports a folder of another cluster, another member or another program. The folder is not modified.
type ForeignFolder struct{ Folder, Why string }

// Error implements error.
func (e *ForeignFolder) Error() string {
	return fmt.Sprintf("folder %s does not belong to this member: %s", e.Folder, e.Why)
}

// Hint implements hint.Hinter.
func (e *ForeignFolder) Hint() string {
	return "configure this member's own folder, or an empty one: it then rejoins as a new voter"
}

// CorruptFolder reports a folder whose content differs from what was written. The folder is not modified.
type CorruptFolder struct{ Folder, Why string }

// Error implements error.
func (e *CorruptFolder) Error() string {
	return fmt.Sprintf("folder %s is corrupt: %s", e.Folder, e.Why)
}

// Hint implements hint.Hinter.
func (e *CorruptFolder) Hint() string {
	return "move the folder away and restart: this member rejoins as a new voter while a majority of the others is intact"
}

// UnwritableFolder reports a failed write to the folder. The member does not vote until it can write again.
type UnwritableFolder struct {
	Folder string
	Cause  error
}

// Error implements error.
func (e *UnwritableFolder) Error() string {
	return fmt.Sprintf("write to folder %s failed, this member does not vote: %v", e.Folder, e.Cause)
}

// Unwrap returns the cause.
func (e *UnwritableFolder) Unwrap() error { return e.Cause }

// Hint implements hint.Hinter.
func (e *UnwritableFolder) Hint() string {
	switch {
	case errors.Is(e.Cause, syscall.ENOSPC), errors.Is(e.Cause, syscall.EDQUOT):
		return "make room on its disk; the member then votes again without a restart"
	case errors.Is(e.Cause, syscall.EACCES), errors.Is(e.Cause, syscall.EPERM), errors.Is(e.Cause, syscall.EROFS):
		return "let the balancer's user write there (folder 0700, file 0600)"
	}
	return "check the disk; if it has failed, use an empty folder on another disk and restart this balancer"
}

// mayRecover reports whether the fault can clear without a restart. A failed sync cannot: what is on the disk is
// unknown afterwards.
func (e *UnwritableFolder) mayRecover() bool {
	for _, x := range []error{syscall.ENOSPC, syscall.EDQUOT, syscall.EACCES, syscall.EPERM, syscall.EROFS} {
		if errors.Is(e.Cause, x) {
			return true
		}
	}
	return false
}

// ReplicaFailed reports that a voter stopped on an inconsistency, such as an entry before the last committed one.
type ReplicaFailed struct{ Why string }

// Error implements error.
func (e *ReplicaFailed) Error() string { return "this member stopped voting: " + e.Why }

// Hint implements hint.Hinter.
func (e *ReplicaFailed) Hint() string {
	return "keep a copy of its folder for analysis, empty the folder and restart this balancer: " +
		"it rejoins as a new voter"
}

// NotLeader reports that the call needs the leader, which this member is not. Leader is empty if none is known.
type NotLeader struct{ Leader LeaderInfo }

// Error implements error.
func (e *NotLeader) Error() string {
	if e.Leader.Name == "" {
		return "there is no leader at present"
	}
	return "this member doesn't lead, " + e.Leader.Name + " does"
}

// Hint implements hint.Hinter.
func (e *NotLeader) Hint() string {
	if e.Leader.Name == "" {
		return "check that a majority of the voters runs and can reach each other; one is then elected within seconds"
	}
	return "ask " + e.Leader.Name
}

// Overloaded reports that the limit of concurrent calls or proposals is reached.
type Overloaded struct {
	What  string
	Limit int
}

// Error implements error.
func (e *Overloaded) Error() string {
	return fmt.Sprintf("%s: limit of %d reached", e.What, e.Limit)
}

// Hint implements hint.Hinter.
func (e *Overloaded) Hint() string { return "try again in a second" }

// TooLong reports an entry or an answer above the size limit.
type TooLong struct{ Bytes, Limit int }

// Error implements error.
func (e *TooLong) Error() string {
	return fmt.Sprintf("%d bytes exceed the limit of %d", e.Bytes, e.Limit)
}

// Hint implements hint.Hinter.
func (e *TooLong) Hint() string { return "make it shorter, or do it in several steps" }

// UnknownOutcome reports that a proposal may or may not be committed.
type UnknownOutcome struct{ Cause error }

// Error implements error.
func (e *UnknownOutcome) Error() string {
	return fmt.Sprintf("the proposal may or may not have been committed: %v", e.Cause)
}

// Unwrap returns the cause.
func (e *UnknownOutcome) Unwrap() error { return e.Cause }

// Hint implements hint.Hinter.
func (e *UnknownOutcome) Hint() string {
	return "repeat it with the same key: it is applied at most once"
}

// Unreachable reports a member that could not be called or did not answer in time.
type Unreachable struct {
	Name, Address string
	Cause         error
}

// Error implements error.
func (e *Unreachable) Error() string { return fmt.Sprintf("%s at %s: %v", e.Name, e.Address, e.Cause) }

// Unwrap returns the cause.
func (e *Unreachable) Unwrap() error { return e.Cause }

// Hint implements hint.Hinter.
func (e *Unreachable) Hint() string {
	return "check that " + e.Name + " runs, and that " + e.Address + " can be reached from here"
}

// UnknownMember reports a name that is not among the candidates.
type UnknownMember struct{ Name string }

// Error implements error.
func (e *UnknownMember) Error() string {
	return quoted(e.Name) + " is not among the members that may hold a vote"
}

// Hint implements hint.Hinter.
func (e *UnknownMember) Hint() string { return "list it in revisions.members at all balancers" }

// RemoteError is an error that another member returned.
type RemoteError struct{ Name, Method, Text, Do string }

// Error implements error.
func (e *RemoteError) Error() string { return e.Text }

// Hint implements hint.Hinter.
func (e *RemoteError) Hint() string {
	if e.Do == "" {
		return "see the log of " + e.Name
	}
	return e.Do
}

// NotReplaced reports a replacement that was not carried out: the old voter keeps its vote.
type NotReplaced struct{ Old, New, Why, Do string }

// Error implements error.
func (e *NotReplaced) Error() string {
	return fmt.Sprintf("voter %s not replaced by %s: %s", e.Old, e.New, e.Why)
}

// Hint implements hint.Hinter.
func (e *NotReplaced) Hint() string { return e.Do }

// CallFailed reports a call between members that ended before its answer arrived.
type CallFailed struct{ Why string }

// Error implements error.
func (e *CallFailed) Error() string { return e.Why }

// Hint implements hint.Hinter.
func (e *CallFailed) Hint() string {
	return "check that the other member runs, that nothing between the two closes connections, " +
		"and that both run the same version"
}

// FolderLocked reports a folder that another process has locked.
type FolderLocked struct{ hint.Annotated }

// VoteReleased reports that another member has taken over this voter's vote.
type VoteReleased struct{ hint.Annotated }

// Closed reports that the node has been closed.
type Closed struct{}

// Error implements error.
func (*Closed) Error() string { return "the consensus node is closed" }

// Hint implements hint.Hinter.
func (*Closed) Hint() string { return "call another balancer" }

// oneLine formats x with all whitespace, line breaks included, collapsed to single spaces.
func oneLine(x any) string { return strings.Join(strings.Fields(fmt.Sprint(x)), " ") }
