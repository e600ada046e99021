package consensus

import (
	"crypto/rand"
	"encoding/binary"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"

	"oatloft/internal/failpoint"
	"oatloft/internal/hint"
)

// errLocked says that another process has the folder.
var errLocked error = &FolderLocked{hint.Annotated{What: "another process has the folder", Do: "wait for this balancer's earlier process to end, or give each balancer a folder of its own"}}

// openStore opens folder or makes it. It waits for nobody: errLocked where another process has it. Errors are *Foreign,
// *Damaged, *Unwritable.
func openStore(folder, cluster, name string, fault func() error) (s *store, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, &UnwritableFolder{Folder: folder, Cause: err}
	}
	path := filepath.Join(folder, fileName)
	info, err := os.Lstat(path)
	fresh := errors.Is(err, os.ErrNotExist)
	switch {
	case err != nil && !fresh:
		return nil, &UnwritableFolder{Folder: folder, Cause: err}
	case fresh:
		if err := checkForeignFiles(folder); err != nil {
			return nil, err
		}
	case !info.Mode().IsRegular():
		return nil, &ForeignFolder{Folder: folder, Why: fileName + " is no plain file"}
	case info.Mode().Perm()&0o022 != 0:
		return nil, &ForeignFolder{Folder: folder, Why: fmt.Sprintf("others may write %s (mode %#o); 0600 is wanted", fileName, info.Mode().Perm())}
	}
	defer func() {
		if x := recover(); x != nil {
			s, err = nil, &CorruptFolder{Folder: folder, Why: oneLine(x)}
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
	s = &store{db: db, folder: folder, writeFault: fault}
	defer func() {
		if err != nil || s.header.ID == 0 {
			_ = db.Close()
		}
	}()
	if err = s.load(); err != nil {
		return nil, err
	}
	if s.header.Cluster != cluster || s.header.Name != name {
		return nil, &ForeignFolder{Folder: folder, Why: fmt.Sprintf("it belongs to %q of cluster %q", s.header.Name, s.header.Cluster)}
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
				err = verifyPages(f, info.Size())
			}
			if err != nil {
				_ = f.Close()
				return nil, err
			}
			file = f
			return f, nil
		}})
	whole = err == nil
	var torn *corruptPages
	switch {
	case err == nil:
		return db, nil
	case errors.Is(err, errLocked), errors.Is(err, berrors.ErrTimeout):
		return nil, errLocked
	case errors.As(err, &torn):
		return nil, &CorruptFolder{Folder: folder, Why: torn.Error()}
	case errors.Is(err, os.ErrPermission), os.IsNotExist(err):
		return nil, &UnwritableFolder{Folder: folder, Cause: err}
	}
	return nil, &CorruptFolder{Folder: folder, Why: oneLine(err)}
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

// checkForeignFiles refuses to begin in a folder that holds others' things.
func checkForeignFiles(folder string) error {
	list, err := os.ReadDir(folder)
	if err != nil {
		return &UnwritableFolder{Folder: folder, Cause: err}
	}
	for _, e := range list {
		if e.Name() != fileName+".new" && e.Name() != "lost+found" && e.Name() != Processes {
			return &ForeignFolder{Folder: folder, Why: "it holds " + quoted(e.Name()) + " and no " + fileName}
		}
	}
	return nil
}

// createStore writes a fresh folder beside its place and renames it, so that a half-made one is never met.
func createStore(folder, path, cluster, name string, fault func() error) (*store, error) {
	fail := func(err error) (*store, error) { return nil, &UnwritableFolder{Folder: folder, Cause: err} }
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
	s := &store{db: db, folder: folder, writeFault: fault, logState: logState{header: header{Format: format, Cluster: cluster, Name: name, ID: randomID()}}}
	if failpoint.On("vote-with-lost-folder") {
		s.header.ID = xxhash.Sum64String(name) >> 2
	}
	err = db.Update(func(tx *bolt.Tx) error {
		for _, b := range [][]byte{bucketMeta, bucketLog} {
			if _, err := tx.CreateBucketIfNotExists(b); err != nil {
				return err
			}
		}
		return putHeader(tx, s.header)
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

// randomID is a number that no folder has had.
func randomID() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:])
		if id := binary.BigEndian.Uint64(b[:]) >> 2; id != 0 { // raft keeps the uppermost for itself
			return id
		}
	}
}
