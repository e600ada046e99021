// Package revision implements routing revisions, the routing configuration that all balancers of a cluster share, and
// the protocol by which they switch to the next one. At any time all balancers that place requests use the same
// revision. The package has no sockets, clocks or goroutines.
//
// A proposal comes into force in four steps, each a Command in the log that package consensus replicates: it is
// proposed; every listed process checks it against its own settings and accepts it; all of them stop placing new
// requests; and it is committed. A process may place new requests only while it has a Lease granted by the leader.
//
//	content.go      content of a revision
//	text.go         text encoding and hash
//	validate.go     checks that do not depend on a balancer
//	check.go        checks against one balancer's environment (environment.go)
//	suggestion.go   suggestions for unknown names
//	diff.go         differences of two revisions, for operators
//	overlay.go      application of a revision to a balancer's settings
//	command.go      commands of the log
//	history.go      revisions, proposals and their outcomes
//	state.go        the replicated state machine
//	lease.go        permission of a process to place requests
//	renewal.go      messages between a process and the leader
//	member.go       a process's side of the protocol
//	leader.go       the leader's side of the protocol
//	guard.go        automatic rollback of a new revision
//	calls.go        calls by operators
//	errors.go       errors with hints for operators
package revision
