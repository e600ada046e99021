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
	formatName        = "oatloft" // identifies the format in the files, and prefixes their names
	formatVersion     = 1         // of the format
	maxFileBytes      = 8 << 20   // the directory's files count towards the memory limit
	lockTimeout       = 300 * time.Millisecond
	lockRetryInterval = 2 * time.Millisecond
	fileMode          = 0o600
)

// Kinds of files.
const (
	maintenanceKind = "maintenance"
	predecessorKind = "left"
	discoveryKind   = "discovery"
	reloadKind      = "reload"
)

// Dir is the directory with one balancer's files. It is not safe for concurrent use.
type Dir struct {
	path     string
	balancer string
	lastInfo map[string]os.FileInfo // by kind, as of the last call of changed
}

// Open returns the directory at path. Nothing is written until there is state to save.
func Open(path, balancer string) *Dir {
	return &Dir{path: path, balancer: balancer, lastInfo: map[string]os.FileInfo{}}
}

// envelope is the encoding of a file.
type envelope struct {
	Format        string          `json:"form"`
	Version       int             `json:"version"`
	Kind          string          `json:"kind"`
	Balancer      string          `json:"balancer"`
	WrittenMillis int64           `json:"written_ms"`
	Checksum      uint32          `json:"crc32"`
	Body          json.RawMessage `json:"body"`
}

func (d *Dir) statePath(kind string) string { return d.filePath("-" + kind + ".json") }

// name returns the path of one of the balancer's files.
func (d *Dir) filePath(suffix string) string {
	return filepath.Join(d.path, formatName+"-"+url.PathEscape(d.balancer)+suffix)
}

// read decodes a file's body and returns when the file was written. The error matches os.ErrNotExist if there is no
// file, and is *DamagedFile otherwise.
func (d *Dir) read(kind string, body any) (time.Time, error) {
	f, err := os.Open(d.statePath(kind))
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

// decode validates a file's envelope, decodes its body, and returns when the file was written.
func (d *Dir) decode(data []byte, kind string, body any) (time.Time, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return time.Time{}, &DamagedFile{hint.Annotated{What: "damaged", Cause: err, Do: damagedFileHint}}
	}
	switch {
	case e.Format != formatName || e.Kind != kind:
		return time.Time{}, &DamagedFile{hint.Annotated{What: "not a file of this kind", Do: damagedFileHint}}
	case e.Version > formatVersion || e.Version < 1:
		return time.Time{}, &DamagedFile{
			hint.Annotated{What: fmt.Sprintf("version %d, but this program reads version %d", e.Version, formatVersion),
				Do: "leave it in place: a process of a later version wrote it; it is rewritten at the next change"},
		}
	case e.Balancer != d.balancer:
		return time.Time{}, &DamagedFile{
			hint.Annotated{What: fmt.Sprintf("belongs to balancer %q, not to %q", e.Balancer, d.balancer),
				Do: "give each balancer its own directory or name ($TMPDIR, PROXY_NAME)"},
		}
	case crc32.ChecksumIEEE(e.Body) != e.Checksum:
		return time.Time{}, &DamagedFile{hint.Annotated{What: "damaged: the checksum does not match", Do: damagedFileHint}}
	}
	return time.UnixMilli(e.WrittenMillis), json.Unmarshal(e.Body, body)
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
				Do: "end some of the maintenance; established flows are passed to the next process only if they fit"},
		}
	}
	if err := d.replace(d.statePath(kind), data, needsSync(kind)); err != nil {
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
		Format:        formatName,
		Version:       formatVersion,
		Kind:          kind,
		Balancer:      d.balancer,
		WrittenMillis: time.Now().UnixMilli(),
		Checksum:      crc32.ChecksumIEEE(data),
		Body:          data,
	})
}

// needsSync reports whether a file has to survive a crash of the machine. What is only for a process that runs beside
// this one or right after it does not, and must not hold up the balancer's loop.
func needsSync(kind string) bool { return kind != discoveryKind && kind != reloadKind }

// replace writes a temporary file, syncs it if told to, and renames it to path.
func (d *Dir) replace(path string, data []byte, sync bool) error {
	f, err := os.CreateTemp(d.path, "."+formatName+"-*")
	if err != nil {
		return err
	}
	defer func() { _ = os.Remove(f.Name()) }()
	_, err = f.Write(data)
	if err == nil && sync {
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

// lock keeps the balancer's other processes from changing files until unlock. The error is *WriteFailed.
func (d *Dir) lock() (unlock func(), err error) {
	f, err := os.OpenFile(d.filePath(".lock"), os.O_RDWR|os.O_CREATE, fileMode)
	if err != nil {
		return nil, &WriteFailed{hint.Annotated{Where: "handover", Cause: err, Do: makeWritableHint}}
	}
	for deadline := time.Now().Add(lockTimeout); ; time.Sleep(lockRetryInterval) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { _ = f.Close() }, nil
		}
		if time.Now().After(deadline) {
			_ = f.Close()
			return nil, &WriteFailed{
				hint.Annotated{Where: "handover: " + f.Name(), What: "locked by another process", Cause: err,
					Do: "call again; if the error persists, check which process of this balancer hangs"},
			}
		}
	}
}

// changed reports whether a file was replaced or modified since the last call. A removed file has not changed: its
// content remains in effect.
func (d *Dir) changed(kind string) bool {
	info, err := os.Stat(d.statePath(kind))
	if err != nil {
		return false
	}
	old := d.lastInfo[kind]
	d.lastInfo[kind] = info
	return old == nil || !os.SameFile(old, info) || !old.ModTime().Equal(info.ModTime()) || old.Size() != info.Size()
}
