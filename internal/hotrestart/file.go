package hotrestart

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net/url"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"oatloft/internal/hint"
)

const (
	form         = "oatloft" // in the files, and before their names
	version      = 1
	maxFileBytes = 8 << 20 // the directory counts as memory
	lockTimeout  = 300 * time.Millisecond
	lockRetry    = 2 * time.Millisecond
	fileMode     = 0o600
)

// Kinds of files.
const (
	maintenanceKind = "maintenance"
	predecessorKind = "left"
)

// Dir is the directory with one balancer's files. It is not safe for concurrent use.
type Dir struct {
	path     string
	balancer string
	seen     map[string]os.FileInfo // by kind, at the last call of changed
}

// Open names the directory. Nothing is written until there is something to keep.
func Open(path, balancer string) *Dir {
	return &Dir{path: path, balancer: balancer, seen: map[string]os.FileInfo{}}
}

// envelope is the form of a file.
type envelope struct {
	Form     string          `json:"form"`
	Version  int             `json:"version"`
	Kind     string          `json:"kind"`
	Balancer string          `json:"balancer"`
	Written  int64           `json:"written_ms"`
	Sum      uint32          `json:"crc32"`
	Body     json.RawMessage `json:"body"`
}

func (d *Dir) file(kind string) string { return d.name("-" + kind + ".json") }

// name returns the path of one of the balancer's files.
func (d *Dir) name(suffix string) string {
	return filepath.Join(d.path, form+"-"+url.PathEscape(d.balancer)+suffix)
}

// read reads a file's body and returns when it was written. The error is os.ErrNotExist if there is no file, else
// *DamagedFile.
func (d *Dir) read(kind string, body any) (time.Time, error) {
	f, err := os.Open(d.file(kind))
	if err != nil {
		return time.Time{}, err
	}
	defer func() { _ = f.Close() }()
	written, err := d.readOpen(f, kind, body)
	if err != nil {
		return time.Time{}, &DamagedFile{hint.Annotated{Where: "handover: " + f.Name(), Cause: err, Do: damagedFileHint}}
	}
	return written, nil
}

func (d *Dir) readOpen(f *os.File, kind string, body any) (time.Time, error) {
	info, err := f.Stat()
	if err != nil {
		return time.Time{}, err
	}
	if info.Size() > maxFileBytes {
		return time.Time{}, &DamagedFile{
			hint.Annotated{What: fmt.Sprintf("%d bytes, more than %d", info.Size(), maxFileBytes), Do: damagedFileHint},
		}
	}
	data, err := os.ReadFile(f.Name())
	if err != nil {
		return time.Time{}, err
	}
	return d.decode(data, kind, body)
}

// decode checks a file's envelope, reads its body, and returns when it was written.
func (d *Dir) decode(data []byte, kind string, body any) (time.Time, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return time.Time{}, &DamagedFile{hint.Annotated{What: "damaged", Cause: err, Do: damagedFileHint}}
	}
	switch {
	case e.Form != form || e.Kind != kind:
		return time.Time{}, &DamagedFile{hint.Annotated{What: "not a file of this kind", Do: damagedFileHint}}
	case e.Version > version || e.Version < 1:
		return time.Time{}, &DamagedFile{
			hint.Annotated{What: fmt.Sprintf("version %d, this program reads %d", e.Version, version),
				Do: "let it be: the process that wrote it is of a later version; it is written anew at the next change"},
		}
	case e.Balancer != d.balancer:
		return time.Time{}, &DamagedFile{hint.Annotated{What: fmt.Sprintf("balancer %q's, not %q's", e.Balancer, d.balancer),
			Do: "give each balancer a directory or a name of its own ($TMPDIR, PROXY_NAME)"}}
	case crc32.ChecksumIEEE(e.Body) != e.Sum:
		return time.Time{}, &DamagedFile{hint.Annotated{What: "damaged: the checksum doesn't fit", Do: damagedFileHint}}
	}
	return time.UnixMilli(e.Written), json.Unmarshal(e.Body, body)
}

// write replaces a file. The error is *WriteFailed.
func (d *Dir) write(kind string, body any) error {
	data, err := d.encode(kind, body)
	if err != nil {
		return err
	}
	if len(data) > maxFileBytes {
		return &WriteFailed{
			hint.Annotated{Where: "handover", What: fmt.Sprintf("%d bytes to write, more than %d", len(data), maxFileBytes),
				Do: "end some of the maintenance; what stands is left to the next process only where it fits"},
		}
	}
	if err := d.replace(d.file(kind), data); err != nil {
		return &WriteFailed{hint.Annotated{Where: "handover", Cause: err, Do: makeWritableHint}}
	}
	return nil
}

func (d *Dir) encode(kind string, body any) ([]byte, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	return json.Marshal(envelope{
		Form:     form,
		Version:  version,
		Kind:     kind,
		Balancer: d.balancer,
		Written:  time.Now().UnixMilli(),
		Sum:      crc32.ChecksumIEEE(data),
		Body:     data,
	})
}

// replace writes a temporary file, syncs it, and renames it.
func (d *Dir) replace(path string, data []byte) error {
	f, err := os.CreateTemp(d.path, "."+form+"-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }()
	_, err = f.Write(data)
	if err == nil {
		err = f.Sync()
	}
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	if err != nil {
		return err
	}
	return os.Rename(f.Name(), path)
}

// lock keeps the balancer's other processes from changing files meanwhile. The error is *WriteFailed.
func (d *Dir) lock() (unlock func(), err error) {
	f, err := os.OpenFile(d.name(".lock"), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, &WriteFailed{hint.Annotated{Where: "handover", Cause: err, Do: makeWritableHint}}
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetry) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { _ = f.Close() }, nil
		}
		if time.Now().After(deadline) {
			_ = f.Close()
			return nil, &WriteFailed{
				hint.Annotated{Where: "handover: " + f.Name(), What: "locked by another process", Cause: err,
					Do: "call again; if it stays, see which process of this balancer hangs"},
			}
		}
	}
}

// changed tells whether a file is another one than at the last call. A file that is gone has not changed: what it
// held stays in force.
func (d *Dir) changed(kind string) bool {
	info, err := os.Stat(d.file(kind))
	if err != nil {
		return false
	}
	old := d.seen[kind]
	d.seen[kind] = info
	return old == nil || !os.SameFile(old, info) || !old.ModTime().Equal(info.ModTime()) || old.Size() != info.Size()
}
