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
	incomingQueue   = 256 // batches from other voters
	callQueue       = 1024
	maxBatch        = 64                 // events taken up before one write, or messages in one call
	leaderlessTicks = 20 * electionTicks // after which others are asked whether this voter still has its vote
	removedTicks    = 4 * electionTicks  // after which a voter that is no member asks the same
	changeTicks     = electionTicks / 2  // between two looks at the members
)

// errReleased ends a runner whose voter has no vote any more.
var errReleased error = &VoteReleased{hint.Annotated{
	What: "no seat any more",
	Do:   "nothing: another member has the vote now, see oatctl revision status",
}}

// batch is messages of one voter.
type batch struct {
	from string
	msgs []*pb.Message
}

// runner is the goroutine around a replica: messages, proposals and ticks in, batches of messages out. It owns the
// replica and, with its writer, the open folder, while it runs. Queues are bounded; what does not fit is dropped
// and counted, which raft bears.
type runner struct {
	node    *Node
	store   *store
	replica *replica
	done    chan struct{} // closed once it has ended

	incoming chan batch
	calls    chan func()

	writer  *writer
	jobs    []storeJob // to be written once the writer is free
	writing bool

	outboxes map[uint64]*outbox
	names    map[uint64]string // by number, as messages told; for those that are no members here yet

	ticksWithoutLeader int
	ticksRemoved       int         // since this voter is no member any more
	searching          atomic.Bool // a call about members is under way
	released           bool        // this voter has no vote any more

	state atomic.Pointer[runnerState]
}

// runnerState is what other goroutines may know of a runner, as of its last step.
type runnerState struct {
	leader      uint64
	term        uint64
	isLeader    bool
	isLearner   bool
	members     map[uint64]member
	view        []memberView // a leader's
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
		incoming: make(chan batch, incomingQueue),
		calls:    make(chan func(), callQueue),
		writer:   newWriter(store),
		outboxes: map[uint64]*outbox{},
		names:    map[uint64]string{},
	}
	r.publish()
	return r, nil
}

// run steps until ctx ends (nil), the folder fails, or this voter has no vote any more (errReleased).
func (r *runner) run(ctx context.Context) (err error) {
	ticker := time.NewTicker(r.node.cfg.Tick)
	written := make(chan struct{})
	go func() {
		defer close(written)
		r.writer.run(r.done)
	}()
	defer func() {
		if x := recover(); x != nil { // raft panics where what it is told cannot be
			err = &ReplicaFailed{Why: oneLine(x)}
		}
		ticker.Stop()
		r.close(err)
		<-written // whoever closes the folder next relies on it
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
			if err := r.jobsWritten(ctx, result); err != nil {
				return err
			}
		}
		r.takeWaiting()
	}
}

// close ends all that waits.
func (r *runner) close(err error) {
	for _, o := range r.outboxes {
		o.cancel()
	}
	cause := err
	if err == nil || errors.Is(err, errReleased) {
		cause = &Closed{}
	}
	r.replica.stop(&UnknownOutcome{Cause: cause}, &NotLeader{})
	close(r.done)
}

// takeWaiting takes what else has come, so that it goes into the same write.
func (r *runner) takeWaiting() {
	for range maxBatch {
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
	for _, m := range b.msgs {
		r.names[m.GetFrom()] = b.from
		r.replica.step(m)
	}
}

// step does all that is ready.
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
	if r.released {
		return errReleased
	}
	if r.replica.changed || r.replica.applied != applied {
		r.replica.changed = false
		r.publish()
	}
	return nil
}

// jobsWritten notes what the folder holds now, and sends what rests on it.
func (r *runner) jobsWritten(ctx context.Context, result writeResult) error {
	if result.err != nil {
		return result.err
	}
	for _, job := range result.jobs {
		messages, err := r.replica.written(job)
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
	if r.replica.ticks%changeTicks == 0 {
		r.changeMembers(ctx)
		r.publish()
	}
}

// checkLeader asks others whether this voter still has its vote, if it has heard of no leader for long.
func (r *runner) checkLeader() {
	if r.replica.softState.Lead != raft.None {
		r.ticksWithoutLeader = 0
		return
	}
	r.ticksWithoutLeader++
	if r.ticksWithoutLeader%leaderlessTicks == 0 {
		r.node.checkMembership(r)
	}
}

// checkRemoved asks the same if this voter is no member any more by what it has applied.
func (r *runner) checkRemoved() {
	_, isMember := r.replica.members[r.replica.id]
	if isMember || r.replica.applied == 0 || r.replica.isLeader() {
		r.ticksRemoved = 0
		return
	}
	r.ticksRemoved++
	if r.ticksRemoved == removedTicks {
		r.node.checkMembership(r)
		r.ticksRemoved = 0
	}
}

// changeMembers does the next change of members, if one is due.
func (r *runner) changeMembers(ctx context.Context) {
	change := r.replica.nextChange()
	switch change.Kind {
	case noChange:
	case findCandidate:
		if r.searching.CompareAndSwap(false, true) {
			members := r.replica.memberList()
			go r.node.findCandidate(ctx, r, members, change.Member.Replaces)
		}
	default:
		m := change.Member
		r.node.log.Info("revisions: voters change",
			"what", change.Kind.String(), "name", m.Name, "id", m.ID, "for", m.Replaces)
		r.replica.proposeChange(change)
	}
}

// publish lets other goroutines see the state.
func (r *runner) publish() {
	c, kept := r.replica, r.store.state()
	state := &runnerState{
		leader:      c.softState.Lead,
		term:        c.term,
		isLeader:    c.isLeader(),
		isLearner:   !slices.Contains(c.conf.GetVoters(), c.id),
		members:     maps.Clone(c.members),
		conf:        c.conf,
		applied:     c.applied,
		committed:   kept.header.Commit,
		firstEntry:  kept.header.Base + 1,
		entryBytes:  kept.entryBytes,
		bootstrapID: c.bootstrapID,
	}
	if state.isLeader {
		state.view = c.view().Members
	}
	r.state.Store(state)
	r.publishLeader(state)
}

func (r *runner) publishLeader(state *runnerState) {
	leader := LeaderInfo{Term: state.term, IsSelf: state.isLeader}
	if state.leader == raft.None {
		if state.isLearner && !r.node.Leader().IsSelf { // it waits to be added; Node.watchLeader asks others who leads
			return
		}
	} else {
		leader.Name = r.nameOf(state.leader)
		leader.Address = r.node.addressOf(leader.Name, r.replica.members[state.leader].Addr)
	}
	r.node.setLeader(leader)
}

// nameOf is a voter's name, by the members or else by its messages; "" if it is unknown.
func (r *runner) nameOf(id uint64) string {
	if name := r.replica.members[id].Name; name != "" {
		return name
	}
	return r.names[id]
}

// post runs f on the runner's goroutine; false if its queue is full.
func (r *runner) post(f func()) bool {
	select {
	case r.calls <- f:
		return true
	default:
		return false
	}
}
