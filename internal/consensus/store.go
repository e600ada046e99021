package consensus

// A voter's folder: one bbolt database. This file owns its form, its checks and the order of writes; it must never let
// anything be used that isn't as it was written, and never write into a folder that it has refused.
//
// bbolt sums up its two head pages only. So before it gets a file, walk.go looks at how the pages hang together, and
// each value here carries a sum of its own; entries are chained, so that a page which is whole but of an earlier time is
// found as well. What is read is kept in memory; entries are few and short, since snapshots cut them off.

import (
	"crypto/rand"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"golang.org/x/sys/unix"
	"google.golang.org/protobuf/proto"

	"oatloft/internal/failpoint"
	"oatloft/internal/hint"
)

const (
	fileName = "agree.db"

	// Processes is a folder beside it that others may make; nothing of it is read here.
	Processes = "processes"

	format   = "oatloft agreement 1"
	pageSize = 4096
)

var (
	bucketMeta = []byte("meta")
	bucketLog  = []byte("log")
	keyHead    = []byte("head")
	keySnap    = []byte("snapshot")
)

// head is what each write leaves up to date besides the entries themselves.
type head struct {
	Format, Cluster, Name string
	ID                    uint64 // this folder's number: drawn at random, never reused
	Founded               founding
	Term, Vote, Commit    uint64
	SnapIndex, SnapTerm   uint64
	Conf                  confState // as of the snapshot
	Base, BaseTerm        uint64    // the entry before the first one kept
	BaseChain             uint64
	Last, LastChain       uint64
}

type confState struct {
	Voters, Learners, Outgoing, Next []uint64
	Leave                            bool
}

func confOf(c *pb.ConfState) confState {
	return confState{Voters: c.GetVoters(), Learners: c.GetLearners(), Outgoing: c.GetVotersOutgoing(), Next: c.GetLearnersNext(), Leave: c.GetAutoLeave()}
}

func (c confState) pb() *pb.ConfState {
	return &pb.ConfState{Voters: c.Voters, Learners: c.Learners, VotersOutgoing: c.Outgoing, LearnersNext: c.Next, AutoLeave: &c.Leave}
}

// errLocked says that another process has the folder.
var errLocked error = &Locked{hint.Annotated{What: "another process has the folder", Do: "wait for this balancer's earlier process to end, or give each balancer a folder of its own"}}

// store is an open folder. One goroutine writes, and another one reads it meanwhile as raft's Storage: what it finds is
// what is on disk.
type store struct {
	db     *bolt.DB
	folder string
	fault  func() error // a test's, before each write

	mu sync.RWMutex // held by the writer while it takes up what has been written
	held
}

// held is what is kept in memory of a folder.
type held struct {
	h       head
	entries []*pb.Entry // Base+1..Last
	chains  []uint64    // of each of them
	bytes   int64       // of entries
}

// openStore opens folder or makes it. It waits for nobody: errLocked where another process has it. Errors are *Foreign,
// *Damaged, *Unwritable.
func openStore(folder, cluster, name string, fault func() error) (s *store, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, &Unwritable{Folder: folder, Cause: err}
	}
	path := filepath.Join(folder, fileName)
	info, err := os.Lstat(path)
	fresh := errors.Is(err, os.ErrNotExist)
	switch {
	case err != nil && !fresh:
		return nil, &Unwritable{Folder: folder, Cause: err}
	case fresh:
		if err := onlyOurs(folder); err != nil {
			return nil, err
		}
	case !info.Mode().IsRegular():
		return nil, &Foreign{Folder: folder, Why: fileName + " is no plain file"}
	case info.Mode().Perm()&0o022 != 0:
		return nil, &Foreign{Folder: folder, Why: fmt.Sprintf("others may write %s (mode %#o); 0600 is wanted", fileName, info.Mode().Perm())}
	}
	defer func() {
		if x := recover(); x != nil {
			s, err = nil, &Damaged{Folder: folder, Why: oneLine(x)}
		}
	}()
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	if fresh {
		return createStore(folder, path, cluster, name, fault)
	}
	db, err := openDB(folder, path)
	if err != nil {
		return nil, err
	}
	s = &store{db: db, folder: folder, fault: fault}
	defer func() {
		if err != nil || s.h.ID == 0 {
			_ = db.Close()
		}
	}()
	if err = s.load(); err != nil {
		return nil, err
	}
	if s.h.Cluster != cluster || s.h.Name != name {
		return nil, &Foreign{Folder: folder, Why: fmt.Sprintf("it belongs to %q of cluster %q", s.h.Name, s.h.Cluster)}
	}
	return s, nil
}

func openDB(folder, path string) (*bolt.DB, error) {
	var file *os.File
	whole := false
	defer func() {
		if !whole && file != nil {
			_ = file.Close() // bbolt keeps it where it panics
		}
	}()
	db, err := bolt.Open(path, 0o600, &bolt.Options{Timeout: time.Millisecond, PageSize: pageSize, FreelistType: bolt.FreelistMapType,
		OpenFile: func(path string, flag int, mode os.FileMode) (*os.File, error) {
			f, err := lockedFile(path, flag&^os.O_CREATE, mode)
			if err != nil {
				return nil, err
			}
			if info, e := f.Stat(); e != nil {
				err = e
			} else {
				err = walk(f, info.Size())
			}
			if err != nil {
				_ = f.Close()
				return nil, err
			}
			file = f
			return f, nil
		}})
	whole = err == nil
	var torn *tornPages
	switch {
	case err == nil:
		return db, nil
	case errors.Is(err, errLocked), errors.Is(err, berrors.ErrTimeout):
		return nil, errLocked
	case errors.As(err, &torn):
		return nil, &Damaged{Folder: folder, Why: torn.Error()}
	case errors.Is(err, os.ErrPermission), os.IsNotExist(err):
		return nil, &Unwritable{Folder: folder, Cause: err}
	}
	return nil, &Damaged{Folder: folder, Why: oneLine(err)}
}

// lockedFile opens a file and locks it for this process before anything is read, as bbolt does only afterwards.
func lockedFile(path string, flag int, mode os.FileMode) (*os.File, error) {
	f, err := os.OpenFile(path, flag, mode)
	if err != nil {
		return nil, err
	}
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = f.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, errLocked
		}
		return nil, err
	}
	return f, nil
}

// onlyOurs refuses to begin in a folder that holds others' things.
func onlyOurs(folder string) error {
	list, err := os.ReadDir(folder)
	if err != nil {
		return &Unwritable{Folder: folder, Cause: err}
	}
	for _, e := range list {
		if e.Name() != fileName+".new" && e.Name() != "lost+found" && e.Name() != Processes {
			return &Foreign{Folder: folder, Why: "it holds " + quoted(e.Name()) + " and no " + fileName}
		}
	}
	return nil
}

// createStore writes a fresh folder beside its place and renames it, so that a half-made one is never met.
func createStore(folder, path, cluster, name string, fault func() error) (*store, error) {
	fail := func(err error) (*store, error) { return nil, &Unwritable{Folder: folder, Cause: err} }
	db, err := bolt.Open(path+".new", 0o600, &bolt.Options{Timeout: time.Millisecond, PageSize: pageSize, FreelistType: bolt.FreelistMapType,
		OpenFile: func(path string, flag int, mode os.FileMode) (*os.File, error) {
			f, err := lockedFile(path, flag, mode)
			if err == nil {
				err = f.Truncate(0) // half of one that was never in use
			}
			return f, err
		}})
	if errors.Is(err, errLocked) {
		return nil, errLocked
	} else if err != nil {
		return fail(err)
	}
	s := &store{db: db, folder: folder, fault: fault, held: held{h: head{Format: format, Cluster: cluster, Name: name, ID: drawID()}}}
	if failpoint.On("vote-with-lost-folder") {
		s.h.ID = xxhash.Sum64String(name) >> 2
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{bucketMeta, bucketLog} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return putHead(tx, s.h)
	})
	if err == nil {
		if _, e := os.Lstat(path); e == nil {
			err = errLocked // another process was faster
		} else {
			err = os.Rename(path+".new", path)
		}
	}
	if err == nil {
		err = syncFolder(folder)
	}
	if err != nil {
		_ = db.Close()
		if errors.Is(err, errLocked) {
			return nil, err
		}
		return fail(err)
	}
	return s, nil
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

// drawID is a number that no folder has had.
func drawID() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:])
		if id := binary.BigEndian.Uint64(b[:]) >> 2; id != 0 { // raft keeps the uppermost for itself
			return id
		}
	}
}

func (s *store) close() {
	if s.db != nil {
		_ = s.db.Close()
	}
}

func sealed(key, value []byte) []byte {
	d := xxhash.New()
	_, _ = d.Write(key)
	_, _ = d.Write(value)
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(value)), d.Sum64()), value...)
}

func unsealed(key, b []byte) ([]byte, bool) {
	if len(b) < 8 {
		return nil, false
	}
	d := xxhash.New()
	_, _ = d.Write(key)
	_, _ = d.Write(b[8:])
	return b[8:], d.Sum64() == binary.BigEndian.Uint64(b)
}

func (s *store) damaged(why string, args ...any) error {
	return &Damaged{Folder: s.folder, Why: fmt.Sprintf(why, args...)}
}

func chain(before, index uint64, body []byte) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], before)
	binary.BigEndian.PutUint64(b[8:], index)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.Write(body)
	return d.Sum64()
}

// load reads and checks everything.
func (s *store) load() error {
	return s.db.View(func(tx *bolt.Tx) error {
		meta, log := tx.Bucket(bucketMeta), tx.Bucket(bucketLog)
		if meta == nil || log == nil {
			return &Foreign{Folder: s.folder, Why: fileName + " holds no agreement"}
		}
		raw, ok := unsealed(keyHead, meta.Get(keyHead))
		if !ok {
			return s.damaged("the sum of its head doesn't fit")
		}
		if err := json.Unmarshal(raw, &s.h); err != nil || s.h.Format != format {
			return &Foreign{Folder: s.folder, Why: "it is of another version"}
		}
		if s.h.SnapIndex > 0 {
			if _, ok := unsealed(keySnap, meta.Get(keySnap)); !ok {
				return s.damaged("the sum of its snapshot doesn't fit")
			}
		}
		next, last := s.h.Base+1, s.h.BaseChain
		c := log.Cursor()
		for k, v := c.First(); k != nil; k, v = c.Next() {
			if len(k) != 8 || len(v) < 8 || binary.BigEndian.Uint64(k) != next {
				return s.damaged("entry %d is missing", next)
			}
			if last = chain(last, next, v[8:]); last != binary.BigEndian.Uint64(v) {
				if !failpoint.On("sums-unchecked") {
					return s.damaged("the sum of entry %d doesn't fit", next)
				}
				last = binary.BigEndian.Uint64(v)
			}
			e := new(pb.Entry)
			if err := proto.Unmarshal(v[8:], e); err != nil || e.GetIndex() != next {
				return s.damaged("entry %d can't be read", next)
			}
			s.entries, s.chains, s.bytes = append(s.entries, e), append(s.chains, last), s.bytes+int64(len(v))
			next++
		}
		if s.h.Last != next-1 || s.h.LastChain != last || s.h.Commit > s.h.Last || s.h.SnapIndex > s.h.Last || s.h.Base > s.h.SnapIndex {
			return s.damaged("its entries end at %d, not at %d", next-1, s.h.Last)
		}
		return nil
	})
}

func putHead(tx *bolt.Tx, h head) error {
	b, err := json.Marshal(h)
	if err != nil {
		return err
	}
	return tx.Bucket(bucketMeta).Put(keyHead, sealed(keyHead, b))
}

// update writes in one go: on disk, all of it, when it returns nil. f changes a draft of what is in memory along, and
// that is taken up then.
func (s *store) update(f func(d *held, tx *bolt.Tx) error) error {
	d := s.held
	write := func(tx *bolt.Tx) error {
		if err := f(&d, tx); err != nil {
			return err
		}
		return putHead(tx, d.h)
	}
	var err error
	if s.fault != nil {
		err = s.fault()
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
		return &Unwritable{Folder: s.folder, Cause: err}
	}
	s.mu.Lock()
	s.held = d
	s.mu.Unlock()
	return nil
}

// look is what is in memory, for readers.
func (s *store) look() held {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.held
}

// begin writes down which founding the folder belongs to, before anything is said to others that rests on it. A founding
// with voters is also the first snapshot; a member that is taken in later gets its first one from the leader.
func (s *store) begin(f founding) error {
	return s.update(func(d *held, tx *bolt.Tx) error {
		d.h.Founded = f
		if len(f.Voters) == 0 {
			return nil
		}
		var conf confState
		for _, v := range f.Voters {
			conf.Voters = append(conf.Voters, v.ID)
		}
		d.h.Term, d.h.Commit, d.h.Last, d.h.Base, d.h.BaseTerm = 1, 1, 1, 1, 1
		return d.putSnapshot(tx, 1, 1, conf, packSnapshot(f.Voters, nil))
	})
}

// reset makes the folder one of a new voter that knows nothing, with a number of its own.
func (s *store) reset() error {
	return s.update(func(d *held, tx *bolt.Tx) error {
		*d = held{h: head{Format: format, Cluster: d.h.Cluster, Name: d.h.Name, ID: drawID()}}
		if err := emptyLog(tx); err != nil {
			return err
		}
		return tx.Bucket(bucketMeta).Delete(keySnap)
	})
}

// probe writes without changing anything.
func (s *store) probe() error { return s.update(func(*held, *bolt.Tx) error { return nil }) }

func emptyLog(tx *bolt.Tx) error {
	if err := tx.DeleteBucket(bucketLog); err != nil {
		return err
	}
	_, err := tx.CreateBucket(bucketLog)
	return err
}

// write does what a message of raft to its storage asks for. What rests on it may be said once it has returned nil.
func (s *store) write(m *pb.Message) error {
	snap, entries := m.GetSnapshot(), m.GetEntries()
	if raft.IsEmptySnap(snap) && len(entries) == 0 && (m.Term == nil || m.GetTerm() == s.h.Term && m.GetVote() == s.h.Vote) {
		if m.Term != nil { // no more than how far is settled: that is written along with what comes next
			s.mu.Lock()
			s.h.Commit = m.GetCommit()
			s.mu.Unlock()
		}
		return nil
	}
	return s.update(func(d *held, tx *bolt.Tx) error {
		if m.Term != nil {
			d.h.Term, d.h.Vote, d.h.Commit = m.GetTerm(), m.GetVote(), m.GetCommit()
		}
		if !raft.IsEmptySnap(snap) {
			if err := emptyLog(tx); err != nil {
				return err
			}
			meta := snap.GetMetadata()
			index, term := meta.GetIndex(), meta.GetTerm()
			d.entries, d.chains, d.bytes = nil, nil, 0
			d.h.Base, d.h.BaseTerm, d.h.BaseChain = index, term, 0
			d.h.Last, d.h.LastChain, d.h.Commit = index, 0, max(d.h.Commit, index)
			if err := d.putSnapshot(tx, index, term, confOf(meta.GetConfState()), snap.GetData()); err != nil {
				return err
			}
		}
		log := tx.Bucket(bucketLog)
		log.FillPercent = 0.9
		for i, e := range entries {
			index := e.GetIndex()
			if i == 0 {
				if index <= d.h.Base || index > d.h.Last+1 {
					return &Failed{Why: fmt.Sprintf("entry %d doesn't follow %d", index, d.h.Last)}
				}
				if err := d.cut(log, index); err != nil {
					return err
				}
			}
			body, err := proto.Marshal(e)
			if err != nil {
				return err
			}
			d.h.LastChain, d.h.Last = chain(d.h.LastChain, index, body), index
			if err := log.Put(key(index), append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(body)), d.h.LastChain), body...)); err != nil {
				return err
			}
			d.entries, d.chains, d.bytes = append(d.entries, e), append(d.chains, d.h.LastChain), d.bytes+int64(8+len(body))
		}
		return nil
	})
}

func key(index uint64) []byte { return binary.BigEndian.AppendUint64(nil, index) }

// cut drops the entries from index on.
func (d *held) cut(log *bolt.Bucket, index uint64) error {
	for i := index; i <= d.h.Last; i++ {
		d.bytes -= entryBytes(d.entries[i-d.h.Base-1])
		if err := log.Delete(key(i)); err != nil {
			return err
		}
	}
	n := index - 1 - d.h.Base
	if index <= d.h.Last { // else what follows may go behind what readers have
		d.entries, d.chains = d.entries[:n:n], d.chains[:n:n]
	}
	d.h.Last, d.h.LastChain = index-1, d.h.BaseChain
	if n > 0 {
		d.h.LastChain = d.chains[n-1]
	}
	return nil
}

func entryBytes(e *pb.Entry) int64 { return int64(8 + proto.Size(e)) }

// putSnapshot replaces the snapshot, and what belongs to it, so that a reader never meets one with the other's.
func (d *held) putSnapshot(tx *bolt.Tx, index, term uint64, conf confState, data []byte) error {
	d.h.SnapIndex, d.h.SnapTerm, d.h.Conf = index, term, conf
	meta, err := proto.Marshal(&pb.SnapshotMetadata{ConfState: conf.pb(), Index: &index, Term: &term})
	if err != nil {
		return err
	}
	b := append(append(binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(meta)+len(data)), uint32(len(meta))), meta...), data...)
	return tx.Bucket(bucketMeta).Put(keySnap, sealed(keySnap, b))
}

// shorten is a snapshot to write in place of the one before.
type shorten struct {
	index, term uint64
	conf        *pb.ConfState
	data        []byte
	keep        uint64 // entries before it
}

func (s *store) shorten(x shorten) error {
	if x.index <= s.h.SnapIndex {
		return nil // the leader has sent a later one meanwhile
	}
	return s.update(func(d *held, tx *bolt.Tx) error {
		if err := d.putSnapshot(tx, x.index, x.term, confOf(x.conf), x.data); err != nil {
			return err
		}
		if x.index < x.keep || x.index-x.keep <= d.h.Base {
			return nil
		}
		log, drop := tx.Bucket(bucketLog), x.index-x.keep-d.h.Base
		for i := uint64(0); i < drop; i++ {
			d.bytes -= entryBytes(d.entries[i])
			if err := log.Delete(key(d.h.Base + 1 + i)); err != nil {
				return err
			}
		}
		d.h.BaseTerm, d.h.BaseChain = d.entries[drop-1].GetTerm(), d.chains[drop-1]
		d.h.Base += drop
		d.entries, d.chains = append([]*pb.Entry(nil), d.entries[drop:]...), append([]uint64(nil), d.chains[drop:]...)
		return nil
	})
}

// readSnapshot reads the snapshot from disk.
func (s *store) readSnapshot() (snap *pb.Snapshot, err error) {
	err = s.db.View(func(tx *bolt.Tx) error {
		b, ok := unsealed(keySnap, tx.Bucket(bucketMeta).Get(keySnap))
		snap = &pb.Snapshot{Metadata: new(pb.SnapshotMetadata)}
		if !ok || len(b) < 4 || uint64(len(b)-4) < uint64(binary.BigEndian.Uint32(b)) {
			return s.damaged("the sum of its snapshot doesn't fit")
		}
		n := 4 + binary.BigEndian.Uint32(b)
		if err := proto.Unmarshal(b[4:n], snap.Metadata); err != nil {
			return s.damaged("its snapshot can't be read")
		}
		snap.Data = append(snap.Data, b[n:]...)
		return nil
	})
	return snap, err
}

// What follows is raft.Storage.

// InitialState implements raft.Storage.
func (s *store) InitialState() (*pb.HardState, *pb.ConfState, error) {
	h := s.look().h
	return &pb.HardState{Term: new(h.Term), Vote: new(h.Vote), Commit: new(h.Commit)}, h.Conf.pb(), nil
}

// Entries implements raft.Storage.
func (s *store) Entries(lo, hi, most uint64) ([]*pb.Entry, error) {
	d := s.look()
	switch {
	case lo <= d.h.Base:
		return nil, raft.ErrCompacted
	case hi > d.h.Last+1:
		return nil, raft.ErrUnavailable
	}
	part := d.entries[lo-d.h.Base-1 : hi-d.h.Base-1]
	var size uint64
	for i, e := range part {
		if size += uint64(proto.Size(e)); size > most && i > 0 {
			return part[:i:i], nil
		}
	}
	return part[:len(part):len(part)], nil
}

// Term implements raft.Storage.
func (s *store) Term(i uint64) (uint64, error) {
	d := s.look()
	switch {
	case i == d.h.Base:
		return d.h.BaseTerm, nil
	case i < d.h.Base:
		return 0, raft.ErrCompacted
	case i > d.h.Last:
		return 0, raft.ErrUnavailable
	}
	return d.entries[i-d.h.Base-1].GetTerm(), nil
}

// LastIndex implements raft.Storage.
func (s *store) LastIndex() (uint64, error) { return s.look().h.Last, nil }

// FirstIndex implements raft.Storage.
func (s *store) FirstIndex() (uint64, error) { return s.look().h.Base + 1, nil }

// Snapshot implements raft.Storage.
func (s *store) Snapshot() (*pb.Snapshot, error) {
	if s.look().h.SnapIndex == 0 {
		return &pb.Snapshot{}, nil
	}
	snap, err := s.readSnapshot()
	if err != nil {
		return nil, raft.ErrSnapshotTemporarilyUnavailable
	}
	return snap, nil
}

// packSnapshot puts the members beside the machine's own snapshot.
func packSnapshot(seats []seat, machine []byte) []byte {
	b, _ := json.Marshal(seats)
	return append(append(binary.BigEndian.AppendUint32(nil, uint32(len(b))), b...), machine...)
}

func unpackSnapshot(data []byte) (seats []seat, machine []byte, err error) {
	if len(data) < 4 || uint64(len(data)-4) < uint64(binary.BigEndian.Uint32(data)) {
		return nil, nil, &Failed{Why: "a snapshot has an unknown form"}
	}
	n := 4 + binary.BigEndian.Uint32(data)
	if err := json.Unmarshal(data[4:n], &seats); err != nil {
		return nil, nil, &Failed{Why: "a snapshot has an unknown form"}
	}
	return seats, data[n:], nil
}
