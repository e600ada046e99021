// Package revision holds routing revisions: what all balancers route by, every one by the same at any time, and the
// agreement on the next one. It is pure: no socket, clock or goroutine.
//
// A proposal becomes the revision in force in four steps, each a Command in the log that package consensus
// replicates: it is proposed; every listed process checks it against its own settings and accepts; all stop placing
// new requests; and it is committed. A process may place new requests only while the leader has granted it a Lease.
//
//	content.go      what a revision says
//	text.go         how it is written down, and its hash
//	validate.go     what can never be in force
//	check.go        what does not fit one balancer (environment.go)
//	suggestion.go   which name may have been meant
//	diff.go         how two revisions differ, for operators
//	overlay.go      how a revision changes a balancer's settings
//	command.go      the log's commands
//	history.go      revisions, proposals and their outcomes
//	state.go        the state that follows from the log
//	lease.go        what a process may do now
//	renewal.go      messages between a process and the leader
//	member.go       a process's part
//	leader.go       the leader's part
//	guard.go        when a new revision is rolled back
//	orders.go       operators' calls
//	errors.go       errors with a hint for operators
package revision
