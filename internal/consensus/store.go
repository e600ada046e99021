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

	// ProcessesFolder is the name of a subfolder that other packages may create beside the database; it is not read here.
	ProcessesFolder = "processes"

	format          = "oatloft agreement 1"
	pageBytes       = 4096
	logFillFraction = 0.9 // of a page; keys are appended in ascending order, so little space is needed for inserts
)

var (
	bucketMeta  = []byte("meta")
	bucketLog   = []byte("log")
	keyHeader   = []byte("head")
	keySnapshot = []byte("snapshot")
)

// header is the metadata that each write updates together with the entries.
type header struct {
	Format    string    `json:"Format"`
	Cluster   string    `json:"Cluster"`
	Name      string    `json:"Name"`
	ID        uint64    `json:"ID"` // of this folder: random, never reused
	Bootstrap bootstrap `json:"Founded"`
	Term      uint64    `json:"Term"`
	Vote      uint64    `json:"Vote"`
	Commit    uint64    `json:"Commit"`
	SnapIndex uint64    `json:"SnapIndex"`
	SnapTerm  uint64    `json:"SnapTerm"`
	Conf      confState `json:"Conf"` // members as of the snapshot
	Base      uint64    `json:"Base"` // index of the entry before the first one kept
	BaseTerm  uint64    `json:"BaseTerm"`
	BaseChain uint64    `json:"BaseChain"`
	Last      uint64    `json:"Last"`
	LastChain uint64    `json:"LastChain"`
}

// confState is the stored form of raft's ConfState.
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

// store is a voter's open folder, one bbolt database. One goroutine writes, while another one reads what is on disk
// through raft.Storage.
//
// Only data that passes verification is used. bbolt has checksums for its two meta pages only, so verifyPages checks
// the pages before bbolt opens the file, and each value has a checksum of its own. The checksums of entries are
// chained, so that an intact page of an earlier state is detected as well. All entries are kept in memory: they are few
// and short, since snapshots replace them.
type store struct {
	db         *bolt.DB
	folder     string
	writeFault func() error // for tests, called before each write

	mu       sync.RWMutex // guards logState
	logState              // only one goroutine writes it, which therefore reads it without the lock
}

// logState is the in-memory copy of the folder's header and entries.
type logState struct {
	header     header
	entries    []*pb.Entry // header.Base + 1 to header.Last
	chains     []uint64    // chained checksum of each entry
	entryBytes int64       // total size of the entries
}

// state returns the in-memory state; it is safe to call from any goroutine.
func (s *store) state() logState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.logState
}

func (s *store) close() {
	if s.db != nil {
		_ = s.db.Close() // all writes have been synced
	}
}

func (s *store) corruptError(format string, args ...any) error {
	return &CorruptFolder{Folder: s.folder, Why: fmt.Sprintf(format, args...)}
}

// load reads and verifies the header and all entries.
func (s *store) load() error {
	return s.db.View(func(tx *bolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if meta == nil || log == nil {
			return &ForeignFolder{Folder: s.folder, Why: fileName + " lacks the meta or log bucket"}
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
			return s.corruptError("entries end at %d, header has %d as the last one", last, h.Last)
		}
		return nil
	})
}

func (s *store) loadHeader(meta *bolt.Bucket) error {
	raw, ok := verifyChecksum(keyHeader, meta.Get(keyHeader))
	if !ok {
		return s.corruptError("header checksum mismatch")
	}
	if err := json.Unmarshal(raw, &s.header); err != nil || s.header.Format != format {
		return &ForeignFolder{Folder: s.folder, Why: "unknown format version"}
	}
	if s.header.SnapIndex == 0 {
		return nil
	}
	if _, ok := verifyChecksum(keySnapshot, meta.Get(keySnapshot)); !ok {
		return s.corruptError("snapshot checksum mismatch")
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

// loadEntry reads the next entry: its chained checksum, followed by the encoded entry.
func (s *store) loadEntry(k, v []byte) error {
	last, chained := s.lastLoaded()
	index := last + 1
	if len(k) != 8 || len(v) < 8 || binary.BigEndian.Uint64(k) != index {
		return s.corruptError("entry %d is missing", index)
	}
	stored, body := binary.BigEndian.Uint64(v), v[8:]
	if chainChecksum(chained, index, body) != stored && !failpoint.On("sums-unchecked") {
		return s.corruptError("checksum mismatch of entry %d", index)
	}
	entry := new(pb.Entry)
	if err := proto.Unmarshal(body, entry); err != nil || entry.GetIndex() != index {
		return s.corruptError("entry %d can't be decoded", index)
	}
	s.entries = append(s.entries, entry)
	s.chains = append(s.chains, stored)
	s.entryBytes += int64(len(v))
	return nil
}

// lastLoaded returns the index of the last entry read so far and its chained checksum.
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

// update writes in one transaction, which is on disk when it returns nil. f also changes a draft of the in-memory
// state, which replaces the current one once the transaction is committed. The error is an *UnwritableFolder.
func (s *store) update(f func(draft *logState, tx *bolt.Tx) error) error {
	draft := s.logState
	write := func(tx *bolt.Tx) error {
		if err := f(&draft, tx); err != nil {
			return err
		}
		return putHeader(tx, draft.header)
	}
	if err := s.runTransaction(write); err != nil {
		var path *os.PathError
		if errors.As(err, &path) {
			err = path.Err // the path is the temporary one of createStore
		}
		return &UnwritableFolder{Folder: s.folder, Cause: err}
	}
	s.mu.Lock()
	s.logState = draft
	s.mu.Unlock()
	return nil
}

// runTransaction runs a write transaction, unless a test injects a fault.
func (s *store) runTransaction(write func(*bolt.Tx) error) error {
	if s.writeFault != nil {
		if err := s.writeFault(); err != nil {
			if !failpoint.On("write-error-ignored") {
				return err
			}
			_ = s.db.Update(func(tx *bolt.Tx) error {
				_ = write(tx) // for its effect on the in-memory state
				return err
			})
			return nil
		}
	}
	return s.db.Update(write)
}

// recordBootstrap records which bootstrap the folder belongs to, before any message that depends on it is sent. A
// bootstrap with voters is also the first snapshot. A member that is added later gets its first snapshot from the
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

// reset turns the folder into that of a new voter, with an empty log and a new ID.
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

// checkWritable tests that the folder can be written, by a write that changes nothing.
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

// writeMessage performs the write that a message of raft to its storage asks for. Messages that depend on it may be
// sent once it has returned nil.
func (s *store) writeMessage(m *pb.Message) error {
	snapshot, entries := m.GetSnapshot(), m.GetEntries()
	sameVote := m.Term == nil || m.GetTerm() == s.header.Term && m.GetVote() == s.header.Vote
	if raft.IsEmptySnap(snapshot) && len(entries) == 0 && sameVote {
		if m.Term != nil { // only the commit index can be new: it is written with the next update
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

// replaceLog replaces all entries by a snapshot from the leader.
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

// appendEntries writes entries; those stored from the first one's index on are replaced.
func (d *logState) appendEntries(tx *bolt.Tx, entries []*pb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	log := tx.Bucket(bucketLog)
	log.FillPercent = logFillFraction
	first := entries[0].GetIndex()
	if first <= d.header.Base || first > d.header.Last+1 {
		return &ReplicaFailed{Why: fmt.Sprintf("entry %d does not follow entry %d", first, d.header.Last)}
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
		d.header.LastChain = chainChecksum(d.header.LastChain, d.header.Last, body)
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

// truncate removes the entries from index on.
func (d *logState) truncate(log *bolt.Bucket, index uint64) error {
	for i := index; i <= d.header.Last; i++ {
		d.entryBytes -= entryBytes(d.entries[i-d.header.Base-1])
		if err := log.Delete(key(i)); err != nil {
			return err
		}
	}
	n := index - 1 - d.header.Base
	if index <= d.header.Last { // limits the capacity, so that an append does not overwrite entries that readers have
		d.entries, d.chains = d.entries[:n:n], d.chains[:n:n]
	}
	d.header.Last, d.header.LastChain = index-1, d.header.BaseChain
	if n > 0 {
		d.header.LastChain = d.chains[n-1]
	}
	return nil
}

func entryBytes(e *pb.Entry) int64 { return int64(8 + proto.Size(e)) }

// putSnapshot replaces the snapshot and updates the header's fields for it.
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

// compaction replaces the snapshot by a later one and drops the entries that it makes obsolete.
type compaction struct {
	index       uint64
	term        uint64
	conf        *pb.ConfState
	data        []byte
	keepEntries uint64 // number of entries before the snapshot that stay
}

// compact performs a compaction, unless the leader has sent a later snapshot meanwhile.
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

// dropFirst removes the first n entries.
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
