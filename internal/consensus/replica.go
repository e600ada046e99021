package consensus

import (
	"encoding/binary"
	"fmt"
	"log/slog"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"oatloft/internal/failpoint"
)

const (
	maxPendingProposals = 256       // proposals waiting to be committed
	maxUncommittedBytes = 8 << 20   // of entries that are not committed
	maxMessageBytes     = 256 << 10 // of entries in one message
	maxCommittedBytes   = 4 << 20   // of entries applied in one batch, or in flight to one voter
	maxInflightMessages = 64        // messages in flight to one voter
	proposalKeyBytes    = 8         // prefix of each entry, by which a proposer recognizes its own
)

// outcome is the result of a proposal or a confirmation.
type outcome struct {
	term uint64
	err  error
}

// waiter receives one outcome; it is buffered, so that the sender never blocks.
type waiter chan outcome

// replica is one voter's raft state machine. Messages, proposals and ticks go in; messages and writes to the folder
// come out. It has no goroutine, clock or socket: the runner's goroutine owns it, and tests drive many replicas over a
// simulated network. No message is sent before the state that it depends on is in the folder, and a replica is not
// used again after a failed write.
type replica struct {
	cfg          *Config
	store        *store
	machine      Machine
	machineIndex *uint64 // last entry that the machine has applied; outlives the replica
	raw          *raft.RawNode

	id          uint64 // ID of the folder
	bootstrapID uint64
	ticks       int // since this replica was created
	term        uint64
	softState   raft.SoftState
	changed     bool // the leader, the term or the members have changed since the runner last published its state

	conf            *pb.ConfState
	members         map[uint64]member
	lastMessageTick map[uint64]int  // by ID, tick of the last message received
	requests        []queuedRequest // for votes, while this replica is the leader
	changeTick      int             // when the last change was proposed; 0 once it is applied

	applied     uint64
	appliedTerm uint64 // of the last entry applied

	nextKey uint64
	pending map[uint64]waiter // by the key that precedes the entry

	readQueue       []waiter // waiting for the next round of confirmations
	readRound       []waiter // of the round in progress
	readRoundNumber uint64
	confirmedReads  []confirmedRead

	snapshotIndex     uint64 // of the last snapshot, written or being written
	snapshotting      bool   // a snapshot is being written
	snapshotRequested bool   // a member was added, which can start only from a snapshot that contains it
}

// newReplica returns a replica that resumes from the content of the store.
func newReplica(
	cfg *Config, store *store, machine Machine, machineIndex *uint64, log *slog.Logger,
) (r *replica, err error) {
	header := store.header
	r = &replica{
		cfg:             cfg,
		store:           store,
		machine:         machine,
		machineIndex:    machineIndex,
		id:              header.ID,
		bootstrapID:     header.Bootstrap.ID,
		term:            header.Term,
		conf:            header.Conf.pb(),
		members:         map[uint64]member{},
		lastMessageTick: map[uint64]int{},
		applied:         header.SnapIndex,
		snapshotIndex:   header.SnapIndex,
		nextKey:         randomID(),
		pending:         map[uint64]waiter{},
	}
	if header.SnapIndex > 0 {
		snapshot, err := store.readSnapshot()
		if err != nil {
			return nil, err
		}
		if err := r.restore(header.SnapIndex, snapshot.GetData()); err != nil {
			return nil, err
		}
	}
	defer func() {
		if x := recover(); x != nil {
			r, err = nil, &ReplicaFailed{Why: oneLine(x)}
		}
	}()
	r.raw, err = raft.NewRawNode(r.raftConfig(log))
	if err != nil {
		return nil, &ReplicaFailed{Why: oneLine(err)}
	}
	return r, nil
}

func (r *replica) raftConfig(log *slog.Logger) *raft.Config {
	return &raft.Config{
		ID:                        r.id,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   r.store,
		Applied:                   r.applied,
		MaxSizePerMsg:             maxMessageBytes,
		MaxCommittedSizePerReady:  maxCommittedBytes,
		MaxUncommittedEntriesSize: maxUncommittedBytes,
		MaxInflightMsgs:           maxInflightMessages,
		MaxInflightBytes:          maxCommittedBytes,
		AsyncStorageWrites:        true,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    raftLog{log},
	}
}

// restore restores the members of a snapshot, and the machine unless that has applied later entries already. The
// first snapshot, at index 1, is the bootstrap and has no machine state.
func (r *replica) restore(index uint64, data []byte) error {
	members, machine, err := unpackSnapshot(data)
	if err != nil {
		return err
	}
	clear(r.members)
	for _, m := range members {
		r.members[m.ID] = m
	}
	if index <= *r.machineIndex || index <= 1 {
		return nil
	}
	if err := r.machine.Restore(index, machine); err != nil {
		return &ReplicaFailed{Why: "snapshot can't be restored: " + oneLine(err)}
	}
	*r.machineIndex = index
	return nil
}

func (r *replica) tick() {
	r.ticks++
	r.raw.Tick()
}

// step processes another voter's message. Messages that raft rejects are ignored.
func (r *replica) step(m *pb.Message) {
	if m.GetTo() != r.id {
		return
	}
	r.lastMessageTick[m.GetFrom()] = r.ticks
	_ = r.raw.Step(m)
}

func (r *replica) isLeader() bool { return r.softState.RaftState == raft.StateLeader }

// propose proposes an entry; w receives the outcome once it is applied here.
func (r *replica) propose(entry []byte, w waiter) {
	switch {
	case !r.isLeader():
		w <- outcome{err: &NotLeader{}}
		return
	case len(r.pending) >= maxPendingProposals:
		w <- outcome{err: &Overloaded{What: "proposals", Limit: maxPendingProposals}}
		return
	}
	r.nextKey++
	data := make([]byte, 0, proposalKeyBytes+len(entry))
	data = binary.BigEndian.AppendUint64(data, r.nextKey)
	data = append(data, entry...)
	if err := r.raw.Propose(data); err != nil {
		w <- outcome{err: &Overloaded{What: "bytes of uncommitted entries", Limit: maxUncommittedBytes}}
		return
	}
	r.pending[r.nextKey] = w
}

// storeJob is a write to the folder: a message of raft to its storage, or a compaction. Jobs run one at a time, in
// order; jobWritten is called after each.
type storeJob struct {
	message    *pb.Message
	compaction *compaction
}

// run performs the write; it may run on another goroutine than the replica's methods.
func (j storeJob) run(s *store) error {
	if j.compaction != nil {
		return s.compact(*j.compaction)
	}
	return s.writeMessage(j.message)
}

// jobWritten records that a job is on disk, and returns the messages that depend on it, which may be sent now.
func (r *replica) jobWritten(j storeJob) ([]*pb.Message, error) {
	if j.compaction != nil {
		r.snapshotting = false
		return nil, nil
	}
	if snapshot := j.message.GetSnapshot(); !raft.IsEmptySnap(snapshot) {
		metadata := snapshot.GetMetadata()
		if err := r.restore(metadata.GetIndex(), snapshot.GetData()); err != nil {
			return nil, err
		}
		r.conf = metadata.GetConfState()
		r.applied = metadata.GetIndex()
		r.changed = true
		r.snapshotIndex = max(r.snapshotIndex, r.applied)
	}
	return r.routeMessages(j.message.GetResponses()), nil
}

// routeMessages returns the messages to other voters and steps those to this replica.
func (r *replica) routeMessages(messages []*pb.Message) (out []*pb.Message) {
	for _, m := range messages {
		if m.GetTo() == r.id {
			_ = r.raw.Step(m)
		} else {
			out = append(out, m)
		}
	}
	return out
}

// advance processes everything that raft has ready. It returns the messages that may be sent now and the jobs for the
// folder. After an error this replica must not be used any more.
func (r *replica) advance() (out []*pb.Message, jobs []storeJob, err error) {
	for {
		r.beginReadRound()
		if !r.raw.HasReady() {
			break
		}
		ready := r.raw.Ready()
		r.updateLeadership(ready)
		for _, m := range ready.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				out = append(out, releaseEarly(m, r.id)...)
				jobs = append(jobs, storeJob{message: m})
			case raft.LocalApplyThread:
				for _, entry := range m.GetEntries() {
					if err := r.apply(entry); err != nil {
						return nil, nil, err
					}
				}
				out = append(out, r.routeMessages(m.GetResponses())...)
			default:
				out = append(out, m)
			}
		}
		r.takeReadStates(ready.ReadStates)
		r.answerReads()
	}
	job, err := r.nextCompaction()
	if err != nil {
		return nil, nil, err
	}
	if job != nil {
		jobs = append(jobs, storeJob{compaction: job})
	}
	return out, jobs, nil
}

// releaseEarly implements the failpoint ack-before-write: it removes from a message to the storage the responses to
// other voters, which must be sent only once it is written, and returns them.
func releaseEarly(m *pb.Message, id uint64) (early []*pb.Message) {
	if !failpoint.On("ack-before-write") {
		return nil
	}
	m.Responses = slices.DeleteFunc(m.GetResponses(), func(response *pb.Message) bool {
		toOther := response.GetTo() != id
		if toOther {
			early = append(early, response)
		}
		return toOther
	})
	return early
}

// nextCompaction returns the next compaction: the snapshot to write and the entries to drop. It is nil if none is due.
func (r *replica) nextCompaction() (*compaction, error) {
	overLimit := r.store.state().entryBytes > r.cfg.maxEntryBytes && !r.snapshotting
	due := r.applied-r.snapshotIndex >= r.cfg.SnapshotEvery || r.snapshotRequested || overLimit
	if r.applied <= r.snapshotIndex || !due {
		return nil, nil
	}
	term, err := r.store.Term(r.applied)
	if err != nil {
		return nil, &ReplicaFailed{Why: fmt.Sprintf("applied entry %d is missing from the folder", r.applied)}
	}
	r.snapshotRequested = false
	r.snapshotIndex = r.applied
	r.snapshotting = true
	return &compaction{
		index:       r.applied,
		term:        term,
		conf:        r.conf,
		data:        packSnapshot(r.memberList(), r.machine.Snapshot()),
		keepEntries: r.entriesToKeep(),
	}, nil
}

// entriesToKeep returns the number of entries before a snapshot that are kept for voters that lag.
func (r *replica) entriesToKeep() (n uint64) {
	state, size := r.store.state(), int64(0)
	for i := int(r.applied-state.header.Base) - 1; i >= 0 && n < r.cfg.KeepEntries; i-- {
		size += entryBytes(state.entries[i])
		if size > r.cfg.maxEntryBytes/4 {
			break
		}
		n++
	}
	return n
}

// updateLeadership records a change of the leader or of the term. If this replica has lost its leadership, pending
// proposals and reads fail.
func (r *replica) updateLeadership(ready raft.Ready) {
	term := ready.GetTerm()
	if ready.SoftState == nil && (term == 0 || term == r.term) {
		return
	}
	wasLeader, oldTerm := r.isLeader(), r.term
	if ready.SoftState != nil {
		r.softState = *ready.SoftState
	}
	if term != 0 {
		r.term = term
	}
	r.changed = true
	newLeadership := !wasLeader || oldTerm != r.term
	if r.isLeader() && newLeadership {
		for id := range r.members { // silence before this leadership does not count
			r.lastMessageTick[id] = r.ticks
		}
	}
	if wasLeader && (!r.isLeader() || oldTerm != r.term) {
		r.failWaiters(&UnknownOutcome{Cause: &NotLeader{}}, &NotLeader{})
	}
}

// failWaiters fails pending proposals with one error and pending confirmations with another.
func (r *replica) failWaiters(proposals, reads error) {
	for key, w := range r.pending {
		w <- outcome{err: proposals}
		delete(r.pending, key)
	}
	failAll(&r.readQueue, reads)
	failAll(&r.readRound, reads)
	for _, read := range r.confirmedReads {
		failAll(&read.waiters, reads)
	}
	r.confirmedReads = nil
}

// apply applies one committed entry.
func (r *replica) apply(entry *pb.Entry) error {
	r.appliedTerm = entry.GetTerm()
	index := entry.GetIndex()
	defer func() { r.applied = index }()
	if entry.GetType() != pb.EntryNormal {
		change, err := unpackConfChange(entry)
		if err != nil {
			return &ReplicaFailed{Why: fmt.Sprintf("entry %d can't be decoded", index)}
		}
		r.applyConfChange(change)
		return nil
	}
	data := entry.GetData()
	if len(data) < proposalKeyBytes { // the first entry of a new leader is empty
		return nil
	}
	if index > *r.machineIndex {
		r.machine.Apply(index, data[proposalKeyBytes:])
		*r.machineIndex = index
	}
	key := binary.BigEndian.Uint64(data)
	if w := r.pending[key]; w != nil {
		w <- outcome{term: r.term}
		delete(r.pending, key)
	}
	return nil
}

func unpackConfChange(entry *pb.Entry) (pb.ConfChangeI, error) {
	if entry.GetType() == pb.EntryConfChange {
		change := new(pb.ConfChange)
		return change, proto.Unmarshal(entry.GetData(), change)
	}
	change := new(pb.ConfChangeV2)
	return change, proto.Unmarshal(entry.GetData(), change)
}
