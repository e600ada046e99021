package consensus

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"sync"

	bolt "go.etcd.io/bbolt"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"oatloft/internal/failpoint"
)

const (
	fileName = "agree.db"

	// Processes is a folder beside the file that others may make; nothing of it is read here.
	Processes = "processes"

	format         = "oatloft agreement 1"
	pageSize       = 4096
	logFillPercent = 0.9 // entries come in order
)

var (
	bucketMeta  = []byte("meta")
	bucketLog   = []byte("log")
	keyHeader   = []byte("head")
	keySnapshot = []byte("snapshot")
)

// header is what each write updates beside the entries themselves.
type header struct {
	Format    string    `json:"Format"`
	Cluster   string    `json:"Cluster"`
	Name      string    `json:"Name"`
	ID        uint64    `json:"ID"` // this folder's number: chosen at random, never reused
	Bootstrap bootstrap `json:"Founded"`
	Term      uint64    `json:"Term"`
	Vote      uint64    `json:"Vote"`
	Commit    uint64    `json:"Commit"`
	SnapIndex uint64    `json:"SnapIndex"`
	SnapTerm  uint64    `json:"SnapTerm"`
	Conf      confState `json:"Conf"` // as of the snapshot
	Base      uint64    `json:"Base"` // the entry before the first one kept
	BaseTerm  uint64    `json:"BaseTerm"`
	BaseChain uint64    `json:"BaseChain"`
	Last      uint64    `json:"Last"`
	LastChain uint64    `json:"LastChain"`
}

// confState is raft's set of members, as the folder keeps it.
type confState struct {
	Voters   []uint64 `json:"Voters"`
	Learners []uint64 `json:"Learners"`
	Outgoing []uint64 `json:"Outgoing"`
	Next     []uint64 `json:"Next"`
	Leave    bool     `json:"Leave"`
}

func confOf(c *pb.ConfState) confState {
	return confState{
		Voters:   c.GetVoters(),
		Learners: c.GetLearners(),
		Outgoing: c.GetVotersOutgoing(),
		Next:     c.GetLearnersNext(),
		Leave:    c.GetAutoLeave(),
	}
}

func (c confState) pb() *pb.ConfState {
	return &pb.ConfState{
		Voters:         c.Voters,
		Learners:       c.Learners,
		VotersOutgoing: c.Outgoing,
		LearnersNext:   c.Next,
		AutoLeave:      &c.Leave,
	}
}

// store is a voter's open folder: one bbolt database. One goroutine writes, and another one reads meanwhile what is
// on disk, as raft's Storage.
//
// Nothing is used that is not as it was written. bbolt has checksums of its two head pages only, so verifyPages
// looks at the pages before bbolt gets the file, and each value has a checksum here; entries are chained, so that a
// page which is whole but of an earlier time is found as well. What is read is kept in memory; entries are few and
// short, since snapshots replace them.
type store struct {
	db         *bolt.DB
	folder     string
	writeFault func() error // of tests, before each write

	mu       sync.RWMutex // held by the writer while it takes over what has been written
	logState              // written by one goroutine, which reads it without the lock
}

// logState is what is kept in memory of a folder.
type logState struct {
	header     header
	entries    []*pb.Entry // header.Base + 1 to header.Last
	chains     []uint64    // the checksum of each of them and all before
	entryBytes int64       // of all entries
}

// state is what is in memory, for other goroutines than the writer's.
func (s *store) state() logState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.logState
}

func (s *store) close() {
	if s.db != nil {
		_ = s.db.Close() // what was written is on disk
	}
}

func (s *store) corrupt(why string, args ...any) error {
	return &CorruptFolder{Folder: s.folder, Why: fmt.Sprintf(why, args...)}
}

// load reads and checks everything.
func (s *store) load() error {
	return s.db.View(func(tx *bolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if meta == nil || log == nil {
			return &ForeignFolder{Folder: s.folder, Why: fileName + " holds no agreement"}
		}
		if err := s.loadHeader(meta); err != nil {
			return err
		}
		if err := s.loadEntries(log); err != nil {
			return err
		}
		last, chain := s.lastLoaded()
		h := s.header
		if h.Last != last || h.LastChain != chain || h.Commit > h.Last || h.SnapIndex > h.Last || h.Base > h.SnapIndex {
			return s.corrupt("its entries end at %d, not at %d", last, h.Last)
		}
		return nil
	})
}

func (s *store) loadHeader(meta *bolt.Bucket) error {
	raw, ok := checkChecksum(keyHeader, meta.Get(keyHeader))
	if !ok {
		return s.corrupt("the sum of its head doesn't fit")
	}
	if err := json.Unmarshal(raw, &s.header); err != nil || s.header.Format != format {
		return &ForeignFolder{Folder: s.folder, Why: "it is of another version"}
	}
	if s.header.SnapIndex == 0 {
		return nil
	}
	if _, ok := checkChecksum(keySnapshot, meta.Get(keySnapshot)); !ok {
		return s.corrupt("the sum of its snapshot doesn't fit")
	}
	return nil
}

func (s *store) loadEntries(log *bolt.Bucket) error {
	cursor := log.Cursor()
	for k, v := cursor.First(); k != nil; k, v = cursor.Next() {
		if err := s.loadEntry(k, v); err != nil {
			return err
		}
	}
	return nil
}

// loadEntry reads the next entry: its chained checksum, then itself.
func (s *store) loadEntry(k, v []byte) error {
	last, chained := s.lastLoaded()
	index := last + 1
	if len(k) != 8 || len(v) < 8 || binary.BigEndian.Uint64(k) != index {
		return s.corrupt("entry %d is missing", index)
	}
	stored, body := binary.BigEndian.Uint64(v), v[8:]
	if chain(chained, index, body) != stored && !failpoint.On("sums-unchecked") {
		return s.corrupt("the sum of entry %d doesn't fit", index)
	}
	entry := new(pb.Entry)
	if err := proto.Unmarshal(body, entry); err != nil || entry.GetIndex() != index {
		return s.corrupt("entry %d can't be read", index)
	}
	s.entries = append(s.entries, entry)
	s.chains = append(s.chains, stored)
	s.entryBytes += int64(len(v))
	return nil
}

// lastLoaded is the last entry read so far, with its chained checksum.
func (s *store) lastLoaded() (index, chained uint64) {
	n := len(s.chains)
	if n == 0 {
		return s.header.Base, s.header.BaseChain
	}
	return s.header.Base + uint64(n), s.chains[n-1]
}

func putHeader(tx *bolt.Tx, h header) error {
	b, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketMeta).Put(keyHeader, withChecksum(keyHeader, b))
}

// update writes in one transaction: all of it is on disk when it returns nil. f changes a draft of what is in
// memory along with it, which is taken over then. The error is an *UnwritableFolder.
func (s *store) update(f func(draft *logState, tx *bolt.Tx) error) error {
	draft := s.logState
	write := func(tx *bolt.Tx) error {
		if err := f(&draft, tx); err != nil {
			return err
		}
		return putHeader(tx, draft.header)
	}
	if err := s.transact(write); err != nil {
		var path *os.PathError
		if errors.As(err, &path) {
			err = path.Err // the path is the one under which the file was made
		}
		return &UnwritableFolder{Folder: s.folder, Cause: err}
	}
	s.mu.Lock()
	s.logState = draft
	s.mu.Unlock()
	return nil
}

// transact runs a transaction, unless a test has it fail.
func (s *store) transact(write func(*bolt.Tx) error) error {
	if s.writeFault != nil {
		if err := s.writeFault(); err != nil {
			if !failpoint.On("write-error-ignored") {
				return err
			}
			_ = s.db.Update(func(tx *bolt.Tx) error {
				_ = write(tx) // for what it does in memory
				return err
			})
			return nil
		}
	}
	return s.db.Update(write)
}

// recordBootstrap writes down which bootstrap the folder belongs to, before anything is sent that rests on it. A
// bootstrap with voters is also the first snapshot; a member that is added later gets its first one from the
// leader.
func (s *store) recordBootstrap(b bootstrap) error {
	return s.update(func(draft *logState, tx *bolt.Tx) error {
		draft.header.Bootstrap = b
		if len(b.Voters) == 0 {
			return nil
		}
		var conf confState
		for _, v := range b.Voters {
			conf.Voters = append(conf.Voters, v.ID)
		}
		h := &draft.header
		h.Term, h.Commit, h.Last, h.Base, h.BaseTerm = 1, 1, 1, 1, 1
		return draft.putSnapshot(tx, 1, 1, conf, packSnapshot(b.Voters, nil))
	})
}

// reset makes the folder one of a new voter that knows nothing, with a number of its own.
func (s *store) reset() error {
	return s.update(func(draft *logState, tx *bolt.Tx) error {
		*draft = logState{header: newHeader(draft.header.Cluster, draft.header.Name)}
		if err := emptyLog(tx); err != nil {
			return err
		}
		return tx.Bucket(bucketMeta).Delete(keySnapshot)
	})
}

func newHeader(cluster, name string) header {
	return header{Format: format, Cluster: cluster, Name: name, ID: randomID()}
}

// checkWritable writes without changing anything.
func (s *store) checkWritable() error {
	return s.update(func(*logState, *bolt.Tx) error { return nil })
}

func emptyLog(tx *bolt.Tx) error {
	if err := tx.DeleteBucket(bucketLog); err != nil {
		return err
	}
	_, err := tx.CreateBucket(bucketLog)
	return err
}

// writeMessage does what a message of raft to its storage asks for. What rests on it may be sent once it has
// returned nil.
func (s *store) writeMessage(m *pb.Message) error {
	snapshot, entries := m.GetSnapshot(), m.GetEntries()
	sameVote := m.Term == nil || m.GetTerm() == s.header.Term && m.GetVote() == s.header.Vote
	if raft.IsEmptySnap(snapshot) && len(entries) == 0 && sameVote {
		if m.Term != nil { // at most the commit index is new: it is written along with what comes next
			s.mu.Lock()
			s.header.Commit = m.GetCommit()
			s.mu.Unlock()
		}
		return nil
	}
	return s.update(func(draft *logState, tx *bolt.Tx) error {
		if m.Term != nil {
			draft.header.Term, draft.header.Vote, draft.header.Commit = m.GetTerm(), m.GetVote(), m.GetCommit()
		}
		if !raft.IsEmptySnap(snapshot) {
			if err := draft.replaceLog(tx, snapshot); err != nil {
				return err
			}
		}
		return draft.appendEntries(tx, entries)
	})
}

// replaceLog takes a leader's snapshot in place of all entries.
func (d *logState) replaceLog(tx *bolt.Tx, snapshot *pb.Snapshot) error {
	if err := emptyLog(tx); err != nil {
		return err
	}
	metadata := snapshot.GetMetadata()
	index, term := metadata.GetIndex(), metadata.GetTerm()
	d.entries, d.chains, d.entryBytes = nil, nil, 0
	h := &d.header
	h.Base, h.BaseTerm, h.BaseChain = index, term, 0
	h.Last, h.LastChain, h.Commit = index, 0, max(h.Commit, index)
	return d.putSnapshot(tx, index, term, confOf(metadata.GetConfState()), snapshot.GetData())
}

// appendEntries writes entries in place of those from the first one's index on.
func (d *logState) appendEntries(tx *bolt.Tx, entries []*pb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	log := tx.Bucket(bucketLog)
	log.FillPercent = logFillPercent
	first := entries[0].GetIndex()
	if first <= d.header.Base || first > d.header.Last+1 {
		return &ReplicaFailed{Why: fmt.Sprintf("entry %d doesn't follow %d", first, d.header.Last)}
	}
	if err := d.truncate(log, first); err != nil {
		return err
	}
	for _, entry := range entries {
		body, err := proto.Marshal(entry)
		if err != nil {
			return err
		}
		d.header.Last = entry.GetIndex()
		d.header.LastChain = chain(d.header.LastChain, d.header.Last, body)
		value := binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(body)), d.header.LastChain)
		value = append(value, body...)
		if err := log.Put(key(d.header.Last), value); err != nil {
			return err
		}
		d.entries = append(d.entries, entry)
		d.chains = append(d.chains, d.header.LastChain)
		d.entryBytes += int64(len(value))
	}
	return nil
}

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// truncate drops the entries from index on.
func (d *logState) truncate(log *bolt.Bucket, index uint64) error {
	for i := index; i <= d.header.Last; i++ {
		d.entryBytes -= entryBytes(d.entries[i-d.header.Base-1])
		if err := log.Delete(key(i)); err != nil {
			return err
		}
	}
	n := index - 1 - d.header.Base
	if index <= d.header.Last { // what is appended must not overwrite what readers have
		d.entries, d.chains = d.entries[:n:n], d.chains[:n:n]
	}
	d.header.Last, d.header.LastChain = index-1, d.header.BaseChain
	if n > 0 {
		d.header.LastChain = d.chains[n-1]
	}
	return nil
}

func entryBytes(e *pb.Entry) int64 { return int64(8 + proto.Size(e)) }

// putSnapshot replaces the snapshot together with what the header says of it.
func (d *logState) putSnapshot(tx *bolt.Tx, index, term uint64, conf confState, data []byte) error {
	d.header.SnapIndex, d.header.SnapTerm, d.header.Conf = index, term, conf
	metadata, err := proto.Marshal(&pb.SnapshotMetadata{ConfState: conf.pb(), Index: &index, Term: &term})
	if err != nil {
		return err
	}
	b := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(metadata)+len(data)), uint32(len(metadata)))
	b = append(b, metadata...)
	b = append(b, data...)
	return tx.Bucket(bucketMeta).Put(keySnapshot, withChecksum(keySnapshot, b))
}

// compaction is a snapshot to write in place of the one before, after which entries are dropped.
type compaction struct {
	index       uint64
	term        uint64
	conf        *pb.ConfState
	data        []byte
	keepEntries uint64 // before the snapshot
}

// compact does nothing if the leader has sent a later snapshot meanwhile.
func (s *store) compact(c compaction) error {
	if c.index <= s.header.SnapIndex {
		return nil
	}
	return s.update(func(draft *logState, tx *bolt.Tx) error {
		if err := draft.putSnapshot(tx, c.index, c.term, confOf(c.conf), c.data); err != nil {
			return err
		}
		if c.index < c.keepEntries || c.index-c.keepEntries <= draft.header.Base {
			return nil
		}
		return draft.dropFirst(tx.Bucket(bucketLog), c.index-c.keepEntries-draft.header.Base)
	})
}

// dropFirst drops the first n entries.
func (d *logState) dropFirst(log *bolt.Bucket, n uint64) error {
	for i := range n {
		d.entryBytes -= entryBytes(d.entries[i])
		if err := log.Delete(key(d.header.Base + 1 + i)); err != nil {
			return err
		}
	}
	d.header.BaseTerm, d.header.BaseChain = d.entries[n-1].GetTerm(), d.chains[n-1]
	d.header.Base += n
	d.entries = append([]*pb.Entry(nil), d.entries[n:]...)
	d.chains = append([]uint64(nil), d.chains[n:]...)
	return nil
}
