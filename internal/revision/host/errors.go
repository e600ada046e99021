package host

import (
	"oatloft/internal/revision"
)

// NoLeader is the error of a call for which no leader could be reached.
type NoLeader struct{ Cause string }

// Error implements error.
func (e *NoLeader) Error() string {
	return revision.RetryLaterPrefix + "this balancer cannot reach a leader: " + e.Cause
}

// Hint implements hint.Hinter.
func (e *NoLeader) Hint() string {
	return "retry in a few seconds with the same key; " +
		"if the error persists, check that most of the voters run and reach each other"
}

// NotLeader is the error of a call to a member that does not lead.
type NotLeader struct{ Name string }

// Error implements error.
func (e *NotLeader) Error() string { return revision.RetryLaterPrefix + e.Name + " is not the leader" }

// Hint implements hint.Hinter.
func (e *NotLeader) Hint() string { return "retry in a second" }

// UnknownKey is the error of a call for the outcome of a proposal whose key is unknown.
type UnknownKey struct{ Key string }

// Error implements error.
func (e *UnknownKey) Error() string { return "no proposal is known under the key " + e.Key }

// Hint implements hint.Hinter.
func (e *UnknownKey) Hint() string {
	return "submit the proposal again with the same key; outcomes of the last 1000 proposals are kept, " +
		"see also oatctl revision list"
}

// ConfigError is the error of a setting with which a host cannot start.
type ConfigError struct{ Field, Reason string }

// Error implements error.
func (e *ConfigError) Error() string { return "revisions." + e.Field + ": " + e.Reason }

// Hint implements hint.Hinter.
func (e *ConfigError) Hint() string { return "correct the field in the edge file" }

// GenerationInUse is the error that another process of this balancer has the same generation.
type GenerationInUse struct{ Path string }

// Error implements error.
func (e *GenerationInUse) Error() string {
	return e.Path + ": the file belongs to another process of this balancer"
}

// Hint implements hint.Hinter.
func (e *GenerationInUse) Hint() string {
	return "start processes of one balancer at least a millisecond apart, and check the machine's clock"
}

// ProcessFileFailed is the error that a process cannot create its process file, so that other processes of this
// balancer cannot detect its end.
type ProcessFileFailed struct {
	Folder string
	Cause  error
}

// Error implements error.
func (e *ProcessFileFailed) Error() string {
	return "other processes of this balancer cannot detect the end of this one: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ProcessFileFailed) Unwrap() error { return e.Cause }

// Hint implements hint.Hinter.
func (e *ProcessFileFailed) Hint() string {
	return "make " + e.Folder + " writable; " +
		"until then, if this process is killed while on_cut is hold, run oatctl revision forget"
}

// NotCommitted is the error that it is unknown whether a command was committed.
type NotCommitted struct{ Reason string }

// Error implements error.
func (e *NotCommitted) Error() string {
	return revision.RetryLaterPrefix + "unknown whether the command was committed: " + e.Reason
}

// Hint implements hint.Hinter.
func (e *NotCommitted) Hint() string {
	return "retry with the same key: the command takes effect at most once"
}
