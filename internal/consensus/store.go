package consensus

// A voter's folder: one bbolt database. This file owns its form, its checks and the order of writes; it must never let
// anything be used that isn't as it was written, and never write into a folder that it has refused.
//
// bbolt sums up its two head pages only. So before it gets a file, walk.go looks at how the pages hang together, and
// each value here carries a sum of its own; entries are chained, so that a page which is whole but of an earlier time is
// found as well. What is read is kept in memory; entries are few and short, since snapshots cut them off.

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

	// Processes is a folder beside it that others may make; nothing of it is read here.
	Processes = "processes"

	format   = "oatloft agreement 1"
	pageSize = 4096
)

var (
	bucketMeta  = []byte("meta")
	bucketLog   = []byte("log")
	keyHeader   = []byte("head")
	keySnapshot = []byte("snapshot")
)

// header is what each write leaves up to date besides the entries themselves.
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
	return confState{Voters: c.GetVoters(), Learners: c.GetLearners(), Outgoing: c.GetVotersOutgoing(), Next: c.GetLearnersNext(), Leave: c.GetAutoLeave()}
}

func (c confState) pb() *pb.ConfState {
	return &pb.ConfState{Voters: c.Voters, Learners: c.Learners, VotersOutgoing: c.Outgoing, LearnersNext: c.Next, AutoLeave: &c.Leave}
}

// store is an open folder. One goroutine writes, and another one reads it meanwhile as raft's Storage: what it finds is
// what is on disk.
type store struct {
	db         *bolt.DB
	folder     string
	writeFault func() error // a test's, before each write

	mu sync.RWMutex // held by the writer while it takes up what has been written
	logState
}

// logState is what is kept in memory of a folder.
type logState struct {
	header     header
	entries    []*pb.Entry // Base+1..Last
	chains     []uint64    // of each of them
	entryBytes int64       // of entries
}

func (s *store) close() {
	if s.db != nil {
		_ = s.db.Close()
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
		raw, ok := checkChecksum(keyHeader, meta.Get(keyHeader))
		if !ok {
			return s.corrupt("the sum of its head doesn't fit")
		}
		if err := json.Unmarshal(raw, &s.header); err != nil || s.header.Format != format {
			return &ForeignFolder{Folder: s.folder, Why: "it is of another version"}
		}
		if s.header.SnapIndex > 0 {
			if _, ok := checkChecksum(keySnapshot, meta.Get(keySnapshot)); !ok {
				return s.corrupt("the sum of its snapshot doesn't fit")
			}
		}
		next, last := s.header.Base+1, s.header.BaseChain
		c := log.Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			if len(k) != 8 || len(v) < 8 || binary.BigEndian.Uint64(k) != next {
				return s.corrupt("entry %d is missing", next)
			}
			if last = chain(last, next, v[8:]); last != binary.BigEndian.Uint64(v) {
				if !failpoint.On("sums-unchecked") {
					return s.corrupt("the sum of entry %d doesn't fit", next)
				}
				last = binary.BigEndian.Uint64(v)
			}
			e := new(pb.Entry)
			if err := proto.Unmarshal(v[8:], e); err != nil || e.GetIndex() != next {
				return s.corrupt("entry %d can't be read", next)
			}
			s.entries, s.chains, s.entryBytes = append(s.entries, e), append(s.chains, last), s.entryBytes+int64(len(v))
			next++
		}
		if s.header.Last != next-1 || s.header.LastChain != last || s.header.Commit > s.header.Last || s.header.SnapIndex > s.header.Last || s.header.Base > s.header.SnapIndex {
			return s.corrupt("its entries end at %d, not at %d", next-1, s.header.Last)
		}
		return nil
	})
}

func putHeader(tx *bolt.Tx, h header) error {
	b, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketMeta).Put(keyHeader, withChecksum(keyHeader, b))
}

// update writes in one go: on disk, all of it, when it returns nil. f changes a draft of what is in memory along, and
// that is taken up then.
func (s *store) update(f func(d *logState, tx *bolt.Tx) error) error {
	d := s.logState
	write := func(tx *bolt.Tx) error {
		if err := f(&d, tx); err != nil {
			return err
		}
		return putHeader(tx, d.header)
	}
	var err error
	if s.writeFault != nil {
		err = s.writeFault()
	}
	if err != nil && failpoint.On("write-error-ignored") {
		_ = s.db.Update(func(tx *bolt.Tx) error { _ = write(tx); return err })
		err = nil
	} else if err == nil {
		err = s.db.Update(write)
	}
	if err != nil {
		if path := (*os.PathError)(nil); errors.As(err, &path) {
			err = path.Err // the name is the one that the file was made under
		}
		return &UnwritableFolder{Folder: s.folder, Cause: err}
	}
	s.mu.Lock()
	s.logState = d
	s.mu.Unlock()
	return nil
}

// snapshotState is what is in memory, for readers.
func (s *store) state() logState {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.logState
}

// recordBootstrap writes down which founding the folder belongs to, before anything is said to others that rests on it. A founding
// with voters is also the first snapshot; a member that is taken in later gets its first one from the leader.
func (s *store) recordBootstrap(f bootstrap) error {
	return s.update(func(d *logState, tx *bolt.Tx) error {
		d.header.Bootstrap = f
		if len(f.Voters) == 0 {
			return nil
		}
		var conf confState
		for _, v := range f.Voters {
			conf.Voters = append(conf.Voters, v.ID)
		}
		d.header.Term, d.header.Commit, d.header.Last, d.header.Base, d.header.BaseTerm = 1, 1, 1, 1, 1
		return d.putSnapshot(tx, 1, 1, conf, packSnapshot(f.Voters, nil))
	})
}

// reset makes the folder one of a new voter that knows nothing, with a number of its own.
func (s *store) reset() error {
	return s.update(func(d *logState, tx *bolt.Tx) error {
		*d = logState{header: header{Format: format, Cluster: d.header.Cluster, Name: d.header.Name, ID: randomID()}}
		if err := emptyLog(tx); err != nil {
			return err
		}
		return tx.Bucket(bucketMeta).Delete(keySnapshot)
	})
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

// writeMessage does what a message of raft to its storage asks for. What rests on it may be said once it has returned nil.
func (s *store) writeMessage(m *pb.Message) error {
	snap, entries := m.GetSnapshot(), m.GetEntries()
	if raft.IsEmptySnap(snap) && len(entries) == 0 && (m.Term == nil || m.GetTerm() == s.header.Term && m.GetVote() == s.header.Vote) {
		if m.Term != nil { // no more than how far is settled: that is written along with what comes next
			s.mu.Lock()
			s.header.Commit = m.GetCommit()
			s.mu.Unlock()
		}
		return nil
	}
	return s.update(func(d *logState, tx *bolt.Tx) error {
		if m.Term != nil {
			d.header.Term, d.header.Vote, d.header.Commit = m.GetTerm(), m.GetVote(), m.GetCommit()
		}
		if !raft.IsEmptySnap(snap) {
			if err := emptyLog(tx); err != nil {
				return err
			}
			meta := snap.GetMetadata()
			index, term := meta.GetIndex(), meta.GetTerm()
			d.entries, d.chains, d.entryBytes = nil, nil, 0
			d.header.Base, d.header.BaseTerm, d.header.BaseChain = index, term, 0
			d.header.Last, d.header.LastChain, d.header.Commit = index, 0, max(d.header.Commit, index)
			if err := d.putSnapshot(tx, index, term, confOf(meta.GetConfState()), snap.GetData()); err != nil {
				return err
			}
		}
		log := tx.Bucket(bucketLog)
		log.FillPercent = 0.9
		for i, e := range entries {
			index := e.GetIndex()
			if i == 0 {
				if index <= d.header.Base || index > d.header.Last+1 {
					return &ReplicaFailed{Why: fmt.Sprintf("entry %d doesn't follow %d", index, d.header.Last)}
				}
				if err := d.truncate(log, index); err != nil {
					return err
				}
			}
			body, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			d.header.LastChain, d.header.Last = chain(d.header.LastChain, index, body), index
			if err := log.Put(key(index), append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(body)), d.header.LastChain), body...)); err != nil {
				return err
			}
			d.entries, d.chains, d.entryBytes = append(d.entries, e), append(d.chains, d.header.LastChain), d.entryBytes+int64(8+len(body))
		}
		return nil
	})
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
	if index <= d.header.Last { // else what follows may go behind what readers have
		d.entries, d.chains = d.entries[:n:n], d.chains[:n:n]
	}
	d.header.Last, d.header.LastChain = index-1, d.header.BaseChain
	if n > 0 {
		d.header.LastChain = d.chains[n-1]
	}
	return nil
}

func entryBytes(e *pb.Entry) int64 { return int64(8 + proto.Size(e)) }

// putSnapshot replaces the snapshot, and what belongs to it, so that a reader never meets one with the other's.
func (d *logState) putSnapshot(tx *bolt.Tx, index, term uint64, conf confState, data []byte) error {
	d.header.SnapIndex, d.header.SnapTerm, d.header.Conf = index, term, conf
	meta, err := proto.Marshal(&pb.SnapshotMetadata{ConfState: conf.pb(), Index: &index, Term: &term})
	if err != nil {
		return err
	}
	b := append(append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(meta)+len(data)), uint32(len(meta))), meta...), data...)
	return tx.Bucket(bucketMeta).Put(keySnapshot, withChecksum(keySnapshot, b))
}

// compaction is a snapshot to write in place of the one before.
type compaction struct {
	index, term uint64
	conf        *pb.ConfState
	data        []byte
	keepEntries uint64 // entries before it
}

func (s *store) compact(x compaction) error {
	if x.index <= s.header.SnapIndex {
		return nil // the leader has sent a later one meanwhile
	}
	return s.update(func(d *logState, tx *bolt.Tx) error {
		if err := d.putSnapshot(tx, x.index, x.term, confOf(x.conf), x.data); err != nil {
			return err
		}
		if x.index < x.keepEntries || x.index-x.keepEntries <= d.header.Base {
			return nil
		}
		log, drop := tx.Bucket(bucketLog), x.index-x.keepEntries-d.header.Base
		for i := uint64(0); i < drop; i++ {
			d.entryBytes -= entryBytes(d.entries[i])
			if err := log.Delete(key(d.header.Base + 1 + i)); err != nil {
				return err
			}
		}
		d.header.BaseTerm, d.header.BaseChain = d.entries[drop-1].GetTerm(), d.chains[drop-1]
		d.header.Base += drop
		d.entries, d.chains = append([]*pb.Entry(nil), d.entries[drop:]...), append([]uint64(nil), d.chains[drop:]...)
		return nil
	})
}

// What follows is raft.Storage.
