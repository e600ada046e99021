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

	"github.com/cespare/xxhash/v2"
	bolt "go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sys/unix"

	"oatloft/internal/failpoint"
	"oatloft/internal/hint"
)

// newSuffix is appended to the name of the database while it is being created.
const newSuffix = ".new"

// errLocked is returned if another process has the folder open.
var errLocked error = &FolderLocked{hint.Annotated{
	What: "folder is locked by another process",
	Do:   "wait for this balancer's earlier process to end, or configure a separate folder for each balancer",
}}

// openStore opens a folder, which it creates if it is missing. It does not wait for a lock. Errors: errLocked if
// another process has the folder open, *ForeignFolder, *CorruptFolder, *UnwritableFolder.
func openStore(folder, cluster, name string, writeFault func() error) (s *store, err error) {
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return nil, &UnwritableFolder{Folder: folder, Cause: err}
	}
	path := filepath.Join(folder, fileName)
	fresh, err := checkFile(folder, path)
	if err != nil {
		return nil, err
	}
	defer func() {
		if x := recover(); x != nil {
			s, err = nil, &CorruptFolder{Folder: folder, Why: oneLine(x)}
		}
	}()
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true)) // bbolt maps the file into memory
	if fresh {
		return createStore(folder, path, cluster, name, writeFault)
	}
	db, err := openDB(folder, path)
	if err != nil {
		return nil, err
	}
	s = &store{db: db, folder: folder, writeFault: writeFault}
	defer func() {
		if err != nil || s.header.ID == 0 {
			_ = db.Close()
		}
	}()
	if err = s.load(); err != nil {
		return nil, err
	}
	if s.header.Cluster != cluster || s.header.Name != name {
		return nil, &ForeignFolder{
			Folder: folder,
			Why:    fmt.Sprintf("it belongs to %q of cluster %q", s.header.Name, s.header.Cluster),
		}
	}
	return s, nil
}

// checkFile reports whether the folder has no database yet, and rejects files that are not this package's.
func checkFile(folder, path string) (fresh bool, err error) {
	info, err := os.Lstat(path)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return true, checkForeignFiles(folder)
	case err != nil:
		return false, &UnwritableFolder{Folder: folder, Cause: err}
	case !info.Mode().IsRegular():
		return false, &ForeignFolder{Folder: folder, Why: fileName + " is not a regular file"}
	case info.Mode().Perm()&0o022 != 0:
		return false, &ForeignFolder{
			Folder: folder,
			Why:    fmt.Sprintf("%s is writable by other users (mode %#o, want 0600)", fileName, info.Mode().Perm()),
		}
	}
	return false, nil
}

// checkForeignFiles rejects a folder without a database that contains other files.
func checkForeignFiles(folder string) error {
	list, err := os.ReadDir(folder)
	if err != nil {
		return &UnwritableFolder{Folder: folder, Cause: err}
	}
	for _, entry := range list {
		switch entry.Name() {
		case fileName + newSuffix, "lost+found", ProcessesFolder:
		default:
			return &ForeignFolder{Folder: folder, Why: "it contains " + quoted(entry.Name()) + " but no " + fileName}
		}
	}
	return nil
}

type openFile = func(path string, flag int, mode os.FileMode) (*os.File, error)

func dbOptions(open openFile) *bolt.Options {
	return &bolt.Options{
		Timeout:      time.Millisecond,
		PageSize:     pageBytes,
		FreelistType: bolt.FreelistMapType,
		OpenFile:     open,
	}
}

// openDB verifies the pages of a database and opens it.
func openDB(folder, path string) (*bolt.DB, error) {
	var file *os.File
	opened := false
	defer func() {
		if !opened && file != nil { // bbolt leaves the file open if it panics
			_ = file.Close()
		}
	}()
	open := func(path string, flag int, mode os.FileMode) (f *os.File, err error) {
		file, err = openVerified(path, flag&^os.O_CREATE, mode)
		return file, err
	}
	db, err := bolt.Open(path, 0o600, dbOptions(open))
	opened = err == nil
	var corrupt *corruptPages
	switch {
	case err == nil:
		return db, nil
	case errors.Is(err, errLocked), errors.Is(err, berrors.ErrTimeout):
		return nil, errLocked
	case errors.As(err, &corrupt):
		return nil, &CorruptFolder{Folder: folder, Why: corrupt.Error()}
	case errors.Is(err, os.ErrPermission), os.IsNotExist(err):
		return nil, &UnwritableFolder{Folder: folder, Cause: err}
	}
	return nil, &CorruptFolder{Folder: folder, Why: oneLine(err)}
}

// openVerified opens and locks a database, and verifies its pages.
func openVerified(path string, flag int, mode os.FileMode) (*os.File, error) {
	f, err := openLocked(path, flag, mode)
	if err != nil {
		return nil, err
	}
	info, err := f.Stat()
	if err == nil {
		err = verifyPages(f, info.Size())
	}
	if err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// openLocked opens a file and locks it before anything is read. bbolt locks it too, but only after opening it.
func openLocked(path string, flag int, mode os.FileMode) (*os.File, error) {
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

// openEmpty opens and truncates a file. Existing content is that of an unfinished creation and was never in use.
func openEmpty(path string, flag int, mode os.FileMode) (*os.File, error) {
	f, err := openLocked(path, flag, mode)
	if err == nil {
		err = f.Truncate(0)
	}
	return f, err
}

// createStore writes a new database under a temporary name and renames it, so that an incomplete one is never opened.
func createStore(folder, path, cluster, name string, writeFault func() error) (*store, error) {
	db, err := bolt.Open(path+newSuffix, 0o600, dbOptions(openEmpty))
	switch {
	case errors.Is(err, errLocked):
		return nil, errLocked
	case err != nil:
		return nil, &UnwritableFolder{Folder: folder, Cause: err}
	}
	s := &store{db: db, folder: folder, writeFault: writeFault, logState: logState{header: newHeader(cluster, name)}}
	if failpoint.On("vote-with-lost-folder") {
		s.header.ID = xxhash.Sum64String(name) >> 2
	}
	err = db.Update(s.initialize)
	if err == nil {
		err = publishFile(path)
	}
	if err == nil {
		err = syncFolder(folder)
	}
	switch {
	case err == nil:
		return s, nil
	case errors.Is(err, errLocked):
		_ = db.Close()
		return nil, err
	}
	_ = db.Close()
	return nil, &UnwritableFolder{Folder: folder, Cause: err}
}

func (s *store) initialize(tx *bolt.Tx) error {
	for _, bucket := range [][]byte{bucketMeta, bucketLog} {
		if _, err := tx.CreateBucketIfNotExists(bucket); err != nil {
			return err
		}
	}
	return putHeader(tx, s.header)
}

// publishFile renames a complete file to its final name. If another process has done so before, it returns errLocked.
func publishFile(path string) error {
	if _, err := os.Lstat(path); err == nil {
		return errLocked
	}
	return os.Rename(path+newSuffix, path)
}

func syncFolder(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	return d.Sync()
}

// randomID returns a random folder ID other than 0, below 2^62: raft reserves the highest values.
func randomID() uint64 {
	var b [8]byte
	for {
		_, _ = rand.Read(b[:]) // never fails
		if id := binary.BigEndian.Uint64(b[:]) >> 2; id != 0 {
			return id
		}
	}
}
