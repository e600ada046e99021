package host

import (
	"oatloft/internal/revision"
)

// NoLeader is the error that no member can be reached that leads now.
type NoLeader struct{ Cause string }

// Error describes what has happened.
func (e *NoLeader) Error() string {
	return revision.RetryLaterPrefix + "no member leads that can be reached from here: " + e.Cause
}

// Hint says what an operator can do.
func (e *NoLeader) Hint() string {
	return "ask again in some seconds, with the same key; " +
		"if it stays so, see that most of the voters run and reach each other"
}

// NotLeader is the error of a call between members to one that does not lead.
type NotLeader struct{ Name string }

// Error describes what has happened.
func (e *NotLeader) Error() string { return revision.RetryLaterPrefix + e.Name + " does not lead" }

// Hint says what an operator can do.
func (e *NotLeader) Hint() string { return "ask again in a second" }

// UnknownKey is the error that no proposal is known under a key.
type UnknownKey struct{ Key string }

// Error describes what has happened.
func (e *UnknownKey) Error() string { return "no proposal is known under the key " + e.Key }

// Hint says what an operator can do.
func (e *UnknownKey) Hint() string {
	return "hand it in again with the same key; outcomes of the last 1000 proposals are known, " +
		"see also oatctl revision list"
}

// ConfigError is the error that a host cannot start with its settings.
type ConfigError struct{ Field, Why string }

// Error describes what has happened.
func (e *ConfigError) Error() string { return "revisions." + e.Field + ": " + e.Why }

// Hint says what an operator can do.
func (e *ConfigError) Hint() string { return "mend the field in the edge file" }

// GenerationInUse is the error that another process of this balancer has the same generation.
type GenerationInUse struct{ Path string }

// Error describes what has happened.
func (e *GenerationInUse) Error() string {
	return e.Path + ": another process of this balancer has this file"
}

// Hint says what an operator can do.
func (e *GenerationInUse) Hint() string {
	return "start processes of one balancer at least a millisecond apart, and set the machine's clock right"
}

// ProcessFileFailed is the error that other processes of this balancer cannot see when this one ends.
type ProcessFileFailed struct {
	Folder string
	Cause  error
}

// Error describes what has happened.
func (e *ProcessFileFailed) Error() string {
	return "other processes of this balancer can't see when this one ends: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ProcessFileFailed) Unwrap() error { return e.Cause }

// Hint says what an operator can do.
func (e *ProcessFileFailed) Hint() string {
	return "see that " + e.Folder + " can be written to; " +
		"until then, should it be killed where on_cut is hold, oatctl revision forget"
}

// NotCommitted is the error that it is not known yet whether a command was committed.
type NotCommitted struct{ Reason string }

// Error describes what has happened.
func (e *NotCommitted) Error() string {
	return revision.RetryLaterPrefix + "not known to be settled: " + e.Reason
}

// Hint says what an operator can do.
func (e *NotCommitted) Hint() string { return "ask again with the same key: it is done once at most" }
