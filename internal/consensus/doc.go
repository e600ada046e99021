// Package consensus replicates a log of commands among balancers with raft (go.etcd.io/raft). A command proposed by
// one member is committed once a majority of the voters has it on disk, and every voter applies the same entries in
// the same order to its Machine.
//
// A Node is one member. Its methods may be called from any goroutine. Only the Machine interprets entries. The
// package never runs on the goroutine that owns the balancer's state.
//
// Voters keep a folder with their log. A folder's ID is random and never reused, so a member that has lost its folder
// cannot vote twice. Members without a vote keep nothing on disk and run no raft: they track the leader and call it.
//
//	config.go      settings of a member
//	node.go        proposals, confirmed reads and calls, from any goroutine
//	status.go      status that a member reports about itself
//	leader.go      leader discovery by members without a vote
//	calls.go       server side of the calls between members
//	replace.go     replacement of a voter by an operator
//	voter.go       life cycle of a voter, from an empty folder to a vote
//	bootstrap.go   selection of the first voters and of the one that begins the log
//	changes.go     decision on the leader's next membership change (pure)
//	runner.go      goroutine that drives a replica, and its queues
//	outbox.go      delivery of messages to other voters
//	replica.go     one voter's raft state machine (no goroutine, clock or socket)
//	reads.go       confirmation that a replica still leads
//	members.go     members as known to a replica
//	store.go       content of the folder and writes to it
//	folder.go      opening and creating the folder
//	storage.go     raft.Storage implementation on top of the folder
//	checksum.go    checksums of stored values
//	verify.go      verification of the database's pages before it is opened
//	writer.go      goroutine that writes to the folder
//	raftlog.go     adapter from raft's logger to slog
//	transport.go   calls between members (storj.io/drpc over TCP)
//	peer.go        client side of the calls between members
//	errors.go      error types, each with a hint for operators
package consensus
