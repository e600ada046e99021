// Package consensus replicates a log of commands among balancers with raft (go.etcd.io/raft): what one member
// proposes is committed once a majority of the voters has it on disk, and every voter applies the same entries in
// the same order to its Machine.
//
// A Node is one member. Its methods may be called from any goroutine. What an entry means is the Machine's
// business; the package never interprets entries, and never runs on the goroutine that owns the balancer's state.
//
// Voters keep a folder with their log. A voter's number is chosen at random with each new folder and never used
// again, so that a member which has lost its folder cannot vote twice. Members without a vote keep nothing on disk
// and run no raft: they know who leads, and call it.
//
//	config.go      settings of a member
//	node.go        proposals, confirmed reads and calls, for any goroutine
//	status.go      what a member reports of itself
//	leader.go      how members without a vote find the leader
//	calls.go       answers to other members' calls
//	replace.go     an operator's replacement of a voter
//	voter.go       the way from an empty folder to a vote, and back
//	bootstrap.go   who votes first, and who begins the log
//	changes.go     which change of members the leader makes next (pure)
//	runner.go      the goroutine around a replica, and the queues to it
//	outbox.go      delivery of messages to other voters
//	replica.go     one voter's raft, stepped (no goroutine, clock or socket)
//	reads.go       confirmation that a replica still leads
//	members.go     the members as a replica knows them
//	store.go       the folder's content and its writes
//	folder.go      opening and creating the folder
//	storage.go     the folder as raft reads it
//	checksum.go    checksums of what is stored
//	verify.go      verification of the database's pages before it is opened
//	transport.go   calls of other members (storj.io/drpc over TCP)
//	peer.go        calls to other members
//	errors.go      error types, each with a hint for operators
package consensus
