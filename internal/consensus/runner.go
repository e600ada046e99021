package consensus

import (
	"context"
	"errors"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"

	"oatloft/internal/hint"
)

const (
	incomingQueueBatches = 256                // batches from other voters
	maxQueuedCalls       = 1024               // functions posted to the runner's goroutine
	maxBatchMessages     = 64                 // queued events processed before one write, or messages in one call
	leaderlessCheckTicks = 20 * electionTicks // time without a leader after which a voter checks that it has its vote
	removedCheckTicks    = 4 * electionTicks  // time after which a voter that is not a member any more checks the same
	memberCheckTicks     = electionTicks / 2  // between two checks whether members have to change
)

// errVoteReleased ends a runner whose voter has lost its vote to another member.
var errVoteReleased error = &VoteReleased{hint.Annotated{
	What: "this member no longer has a vote",
	Do:   "nothing: another member has the vote now, see oatctl revision status",
}}

// batch is a batch of messages from one voter.
type batch struct {
	from     string
	messages []*pb.Message
}

// runner is the goroutine that drives a replica with messages, proposals and ticks, and sends its messages in batches.
// While it runs it owns the replica and, with its writer, the open folder. Queues are bounded: messages that do not fit
// are dropped and counted, which raft tolerates.
type runner struct {
	node    *Node
	store   *store
	replica *replica
	done    chan struct{} // closed once it has ended

	incoming chan batch
	calls    chan func()

	writer  *writer
	jobs    []storeJob // queued until the writer is idle
	writing bool

	outboxes map[uint64]*outbox
	names    map[uint64]string // by ID, names of senders of messages; used for voters that are not members here yet

	ticksWithoutLeader int
	ticksRemoved       int         // since this voter is not a member any more
	memberCallPending  atomic.Bool // a query or preparation of members is in progress
	voteReleased       bool        // this voter has lost its vote to another member

	state atomic.Pointer[runnerState]
}

// runnerState is the state of a runner after its last step, published for other goroutines.
type runnerState struct {
	leader      uint64
	term        uint64
	isLeader    bool
	isLearner   bool
	members     map[uint64]member
	view        []memberView // set at the leader only
	conf        *pb.ConfState
	applied     uint64
	committed   uint64
	firstEntry  uint64
	entryBytes  int64
	bootstrapID uint64
}

func (n *Node) newRunner(store *store) (*runner, error) {
	replica, err := newReplica(&n.cfg, store, n.machine, &n.machineIndex, n.log)
	if err != nil {
		return nil, err
	}
	r := &runner{
		node:     n,
		store:    store,
		replica:  replica,
		done:     make(chan struct{}),
		incoming: make(chan batch, incomingQueueBatches),
		calls:    make(chan func(), maxQueuedCalls),
		writer:   newWriter(store),
		outboxes: map[uint64]*outbox{},
		names:    map[uint64]string{},
	}
	r.publish()
	return r, nil
}

// run drives the replica until ctx ends (nil), the folder fails, or this voter has lost its vote (errVoteReleased).
func (r *runner) run(ctx context.Context) (err error) {
	ticker := time.NewTicker(r.node.cfg.Tick)
	written := make(chan struct{})
	go func() {
		defer close(written)
		r.writer.run(r.done)
	}()
	defer func() {
		if x := recover(); x != nil { // raft panics on inconsistent input
			err = &ReplicaFailed{Why: oneLine(x)}
		}
		ticker.Stop()
		r.close(err)
		<-written // the folder may be closed afterwards
	}()
	for {
		if err := r.step(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			r.tick(ctx)
		case b := <-r.incoming:
			r.receive(b)
		case f := <-r.calls:
			f()
		case result := <-r.writer.results:
			if err := r.handleWritten(ctx, result); err != nil {
				return err
			}
		}
		r.drainQueues()
	}
}

// close stops the outboxes and fails all waiters.
func (r *runner) close(err error) {
	for _, o := range r.outboxes {
		o.cancel()
	}
	cause := err
	if err == nil || errors.Is(err, errVoteReleased) {
		cause = &Closed{}
	}
	r.replica.failWaiters(&UnknownOutcome{Cause: cause}, &NotLeader{})
	close(r.done)
}

// drainQueues processes queued batches and calls, so that one write covers them.
func (r *runner) drainQueues() {
	for range maxBatchMessages {
		select {
		case b := <-r.incoming:
			r.receive(b)
		case f := <-r.calls:
			f()
		default:
			return
		}
	}
}

func (r *runner) receive(b batch) {
	for _, m := range b.messages {
		r.names[m.GetFrom()] = b.from
		r.replica.step(m)
	}
}

// step processes everything that the replica has ready.
func (r *runner) step(ctx context.Context) error {
	applied := r.replica.applied
	messages, jobs, err := r.replica.advance()
	if err != nil {
		return err
	}
	for _, m := range messages {
		r.send(ctx, m)
	}
	r.jobs = append(r.jobs, jobs...)
	if len(r.jobs) > 0 && !r.writing {
		r.writing = true
		r.writer.jobs <- r.jobs
		r.jobs = nil
	}
	if r.voteReleased {
		return errVoteReleased
	}
	if r.replica.changed || r.replica.applied != applied {
		r.replica.changed = false
		r.publish()
	}
	return nil
}

// handleWritten records that jobs are on disk, and sends the messages that depend on them.
func (r *runner) handleWritten(ctx context.Context, result writeResult) error {
	if result.err != nil {
		return result.err
	}
	for _, job := range result.jobs {
		messages, err := r.replica.jobWritten(job)
		if err != nil {
			return err
		}
		for _, m := range messages {
			r.send(ctx, m)
		}
	}
	r.writing = false
	return nil
}

func (r *runner) tick(ctx context.Context) {
	r.replica.tick()
	r.checkLeader()
	r.checkRemoved()
	if r.replica.ticks%memberCheckTicks == 0 {
		r.changeMembers(ctx)
		r.publish()
	}
}

// checkLeader queries the leader whether this voter still has its vote, each time that this voter has known no leader
// for leaderlessCheckTicks.
func (r *runner) checkLeader() {
	if r.replica.softState.Lead != raft.None {
		r.ticksWithoutLeader = 0
		return
	}
	r.ticksWithoutLeader++
	if r.ticksWithoutLeader%leaderlessCheckTicks == 0 {
		r.node.checkMembership(r)
	}
}

// checkRemoved queries the same if this voter is not a member any more according to the entries it has applied.
func (r *runner) checkRemoved() {
	_, isMember := r.replica.members[r.replica.id]
	if isMember || r.replica.applied == 0 || r.replica.isLeader() {
		r.ticksRemoved = 0
		return
	}
	r.ticksRemoved++
	if r.ticksRemoved == removedCheckTicks {
		r.node.checkMembership(r)
		r.ticksRemoved = 0
	}
}

// changeMembers starts the next change of members, if one is due.
func (r *runner) changeMembers(ctx context.Context) {
	change := r.replica.nextChange()
	switch change.Kind {
	case noChange:
	case findCandidate:
		if r.memberCallPending.CompareAndSwap(false, true) {
			members := r.replica.memberList()
			go r.node.findCandidate(ctx, r, members, change.Member.Replaces)
		}
	default:
		m := change.Member
		r.node.log.Info("revisions: changing members",
			"what", change.Kind.String(), "name", m.Name, "id", m.ID, "for", m.Replaces)
		r.replica.proposeChange(change)
	}
}

// publish publishes the state for other goroutines.
func (r *runner) publish() {
	replica, stored := r.replica, r.store.state()
	state := &runnerState{
		leader:      replica.softState.Lead,
		term:        replica.term,
		isLeader:    replica.isLeader(),
		isLearner:   !slices.Contains(replica.conf.GetVoters(), replica.id),
		members:     maps.Clone(replica.members),
		conf:        replica.conf,
		applied:     replica.applied,
		committed:   stored.header.Commit,
		firstEntry:  stored.header.Base + 1,
		entryBytes:  stored.entryBytes,
		bootstrapID: replica.bootstrapID,
	}
	if state.isLeader {
		state.view = replica.view().Members
	}
	r.state.Store(state)
	r.publishLeader(state)
}

func (r *runner) publishLeader(state *runnerState) {
	leader := LeaderInfo{Term: state.term, IsSelf: state.isLeader}
	if state.leader == raft.None {
		if state.isLearner && !r.node.Leader().IsSelf { // still to be added: Node.watchLeader finds the leader
			return
		}
	} else {
		leader.Name = r.nameOf(state.leader)
		leader.Address = r.node.addressOf(leader.Name, r.replica.members[state.leader].Addr)
	}
	r.node.setLeader(leader)
}

// nameOf returns a voter's name from the members or else from its messages; "" if it is unknown.
func (r *runner) nameOf(id uint64) string {
	if name := r.replica.members[id].Name; name != "" {
		return name
	}
	return r.names[id]
}

// post queues f to run on the runner's goroutine; it returns false if the queue is full.
func (r *runner) post(f func()) bool {
	select {
	case r.calls <- f:
		return true
	default:
		return false
	}
}
