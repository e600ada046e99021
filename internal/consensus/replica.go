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
	maxPending     = 256       // proposals that wait to be committed
	maxUncommitted = 8 << 20   // bytes of entries that are not committed
	maxMessage     = 256 << 10 // bytes of entries in one message
	maxCommitted   = 4 << 20   // bytes of entries applied in one turn, or on their way to one voter
	maxInflight    = 64        // messages on their way to one voter
	keyBytes       = 8         // in front of each entry: by which a proposer knows its own again
)

// outcome is how a proposal or a confirmation ended.
type outcome struct {
	term uint64
	err  error
}

// waiter takes one outcome, without waiting itself.
type waiter chan outcome

// replica is one voter's raft, stepped: messages, proposals and ticks in, messages out, and what to write to the
// folder in between. It has no goroutine, clock or socket; the runner's goroutine owns it, and tests step many over
// a network of their own. No message leaves before what it rests on is in the folder, and nothing happens any more
// after a write that failed.
type replica struct {
	cfg          *Config
	store        *store
	machine      Machine
	machineIndex *uint64 // the last entry that the machine has applied; outlives a replica that is begun again
	raw          *raft.RawNode

	id          uint64 // of the folder
	bootstrapID uint64
	ticks       int // since this replica began
	term        uint64
	softState   raft.SoftState
	changed     bool // who leads, or who is a member, has changed since this was last cleared

	conf            *pb.ConfState
	members         map[uint64]member
	lastMessageTick map[uint64]int // by number, the tick at which a message came
	requests        []timedRequest // for votes, while this replica leads
	changeTick      int            // of the last change proposed; 0 once it is done

	applied     uint64
	appliedTerm uint64 // of the last entry applied

	nextKey uint64
	pending map[uint64]waiter // by the key in front of the entry

	readQueue       []waiter // wait for the next round of confirmations
	readRound       []waiter // of the round under way
	readRoundNumber uint64
	confirmedReads  []confirmedRead

	snapshotIndex     uint64 // of the last snapshot, made or on its way to the folder
	snapshotting      bool   // one is on its way
	snapshotRequested bool   // a member was added, who can only do with a snapshot that names it
}

// newReplica begins from what the store holds.
func newReplica(
	cfg *Config, store *store, machine Machine, machineIndex *uint64, log *slog.Logger,
) (c *replica, err error) {
	header := store.header
	c = &replica{
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
		if err := c.restore(header.SnapIndex, snapshot.GetData()); err != nil {
			return nil, err
		}
	}
	defer func() {
		if x := recover(); x != nil {
			c, err = nil, &ReplicaFailed{Why: oneLine(x)}
		}
	}()
	c.raw, err = raft.NewRawNode(c.raftConfig(log))
	if err != nil {
		return nil, &ReplicaFailed{Why: oneLine(err)}
	}
	return c, nil
}

func (c *replica) raftConfig(log *slog.Logger) *raft.Config {
	return &raft.Config{
		ID:                        c.id,
		ElectionTick:              electionTicks,
		HeartbeatTick:             heartbeatTicks,
		Storage:                   c.store,
		Applied:                   c.applied,
		MaxSizePerMsg:             maxMessage,
		MaxCommittedSizePerReady:  maxCommitted,
		MaxUncommittedEntriesSize: maxUncommitted,
		MaxInflightMsgs:           maxInflight,
		MaxInflightBytes:          maxCommitted,
		AsyncStorageWrites:        true,
		CheckQuorum:               true,
		PreVote:                   true,
		DisableProposalForwarding: true,
		StepDownOnRemoval:         true,
		Logger:                    raftLog{log},
	}
}

// restore takes a snapshot's members, and its machine unless that is further already. The first snapshot is the
// bootstrap, of which the machine knows nothing.
func (c *replica) restore(index uint64, data []byte) error {
	members, machine, err := unpackSnapshot(data)
	if err != nil {
		return err
	}
	clear(c.members)
	for _, m := range members {
		c.members[m.ID] = m
	}
	if index <= *c.machineIndex || index <= 1 {
		return nil
	}
	if err := c.machine.Restore(index, machine); err != nil {
		return &ReplicaFailed{Why: "a snapshot can't be taken over: " + oneLine(err)}
	}
	*c.machineIndex = index
	return nil
}

func (c *replica) tick() {
	c.ticks++
	c.raw.Tick()
}

// step takes another voter's message. What raft cannot use is no error.
func (c *replica) step(m *pb.Message) {
	if m.GetTo() != c.id {
		return
	}
	c.lastMessageTick[m.GetFrom()] = c.ticks
	_ = c.raw.Step(m)
}

func (c *replica) isLeader() bool { return c.softState.RaftState == raft.StateLeader }

// propose begins to commit an entry; w hears once it is applied here.
func (c *replica) propose(entry []byte, w waiter) {
	switch {
	case !c.isLeader():
		w <- outcome{err: &NotLeader{}}
		return
	case len(c.pending) >= maxPending:
		w <- outcome{err: &Overloaded{What: "proposals", Limit: maxPending}}
		return
	}
	c.nextKey++
	data := make([]byte, 0, keyBytes+len(entry))
	data = binary.BigEndian.AppendUint64(data, c.nextKey)
	data = append(data, entry...)
	if err := c.raw.Propose(data); err != nil {
		w <- outcome{err: &Overloaded{What: "bytes to settle", Limit: maxUncommitted}}
		return
	}
	c.pending[c.nextKey] = w
}

// storeJob is something to write to the folder: a message of raft to its storage, or a compaction. Jobs are done in
// their order, one at a time; and when one is done, the replica's written is called.
type storeJob struct {
	message    *pb.Message
	compaction *compaction
}

// run writes; it may run on another goroutine than the replica's methods.
func (j storeJob) run(s *store) error {
	if j.compaction != nil {
		return s.compact(*j.compaction)
	}
	return s.writeMessage(j.message)
}

// written notes that a job is done. The messages that rest on it, which it returns, may leave now.
func (c *replica) written(j storeJob) ([]*pb.Message, error) {
	if j.compaction != nil {
		c.snapshotting = false
		return nil, nil
	}
	if snapshot := j.message.GetSnapshot(); !raft.IsEmptySnap(snapshot) {
		metadata := snapshot.GetMetadata()
		if err := c.restore(metadata.GetIndex(), snapshot.GetData()); err != nil {
			return nil, err
		}
		c.conf = metadata.GetConfState()
		c.applied = metadata.GetIndex()
		c.changed = true
		c.snapshotIndex = max(c.snapshotIndex, c.applied)
	}
	return c.release(j.message.GetResponses()), nil
}

// release returns the messages to others, and gives those to itself back to raft.
func (c *replica) release(messages []*pb.Message) (out []*pb.Message) {
	for _, m := range messages {
		if m.GetTo() == c.id {
			_ = c.raw.Step(m)
		} else {
			out = append(out, m)
		}
	}
	return out
}

// advance does all that is ready. It returns the messages that may leave now, and what to write to the folder.
// After an error this replica must not be used any more.
func (c *replica) advance() (out []*pb.Message, jobs []storeJob, err error) {
	for {
		c.beginReadRound()
		if !c.raw.HasReady() {
			break
		}
		ready := c.raw.Ready()
		c.leadershipChanged(ready)
		for _, m := range ready.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				out = append(out, releaseEarly(m, c.id)...)
				jobs = append(jobs, storeJob{message: m})
			case raft.LocalApplyThread:
				for _, entry := range m.GetEntries() {
					if err := c.apply(entry); err != nil {
						return nil, nil, err
					}
				}
				out = append(out, c.release(m.GetResponses())...)
			default:
				out = append(out, m)
			}
		}
		c.readStates(ready.ReadStates)
		c.answerReads()
	}
	job, err := c.nextCompaction()
	if err != nil {
		return nil, nil, err
	}
	if job != nil {
		jobs = append(jobs, storeJob{compaction: job})
	}
	return out, jobs, nil
}

// releaseEarly is a failpoint: it takes out of a message to the storage the answers to others, which are to leave
// once it is written.
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

// nextCompaction returns the snapshot to make and the entries to drop, nil if none are due.
func (c *replica) nextCompaction() (*compaction, error) {
	tooLong := c.store.state().entryBytes > c.cfg.maxEntryBytes && !c.snapshotting
	due := c.applied-c.snapshotIndex >= c.cfg.SnapshotEvery || c.snapshotRequested || tooLong
	if c.applied <= c.snapshotIndex || !due {
		return nil, nil
	}
	term, err := c.store.Term(c.applied)
	if err != nil {
		return nil, &ReplicaFailed{Why: fmt.Sprintf("entry %d is applied and not in the folder", c.applied)}
	}
	c.snapshotRequested = false
	c.snapshotIndex = c.applied
	c.snapshotting = true
	return &compaction{
		index:       c.applied,
		term:        term,
		conf:        c.conf,
		data:        packSnapshot(c.memberList(), c.machine.Snapshot()),
		keepEntries: c.entriesToKeep(),
	}, nil
}

// entriesToKeep is how many entries before a snapshot are kept for voters that lag.
func (c *replica) entriesToKeep() (n uint64) {
	state, size := c.store.state(), int64(0)
	for i := int(c.applied-state.header.Base) - 1; i >= 0 && n < c.cfg.KeepEntries; i-- {
		size += entryBytes(state.entries[i])
		if size > c.cfg.maxEntryBytes/4 {
			break
		}
		n++
	}
	return n
}

// leadershipChanged takes a change of who leads, or of the term. What was asked of a leader that is none any more
// ends here.
func (c *replica) leadershipChanged(ready raft.Ready) {
	term := ready.GetTerm()
	if ready.SoftState == nil && (term == 0 || term == c.term) {
		return
	}
	wasLeader, oldTerm := c.isLeader(), c.term
	if ready.SoftState != nil {
		c.softState = *ready.SoftState
	}
	if term != 0 {
		c.term = term
	}
	c.changed = true
	newReign := !wasLeader || oldTerm != c.term
	if c.isLeader() && newReign {
		for id := range c.members { // nobody counts as silent for the time before
			c.lastMessageTick[id] = c.ticks
		}
	}
	if wasLeader && (!c.isLeader() || oldTerm != c.term) {
		c.stop(&UnknownOutcome{Cause: &NotLeader{}}, &NotLeader{})
	}
}

// stop ends all that waits, proposals with one error and confirmations with another.
func (c *replica) stop(proposals, reads error) {
	for key, w := range c.pending {
		w <- outcome{err: proposals}
		delete(c.pending, key)
	}
	failAll(&c.readQueue, reads)
	failAll(&c.readRound, reads)
	for _, r := range c.confirmedReads {
		failAll(&r.waiters, reads)
	}
	c.confirmedReads = nil
}

// apply applies one committed entry.
func (c *replica) apply(entry *pb.Entry) error {
	c.appliedTerm = entry.GetTerm()
	index := entry.GetIndex()
	defer func() { c.applied = index }()
	if entry.GetType() != pb.EntryNormal {
		change, err := unpackConfChange(entry)
		if err != nil {
			return &ReplicaFailed{Why: fmt.Sprintf("entry %d can't be read", index)}
		}
		c.applyConfChange(change)
		return nil
	}
	data := entry.GetData()
	if len(data) < keyBytes { // a leader's first entry is empty
		return nil
	}
	if index > *c.machineIndex {
		c.machine.Apply(index, data[keyBytes:])
		*c.machineIndex = index
	}
	key := binary.BigEndian.Uint64(data)
	if w := c.pending[key]; w != nil {
		w <- outcome{term: c.term}
		delete(c.pending, key)
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
