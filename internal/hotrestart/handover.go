// Package hotrestart keeps what one process of a balancer leaves to the next, in small files in a directory that both
// see: which regions operators leave out, and, from a process that leaves, who stands where. It owns the files' form. Both
// versions of the program may run at once, so a file that is damaged, another balancer's or too new is an error that
// its reader passes over, never a reason to stop; and a file is there whole or not at all.
package hotrestart

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"
	"net/url"
	"os"
	"path/filepath"
	"slices"
	"syscall"
	"time"

	"oatloft/internal/hint"
)

const (
	form      = "oatloft"
	version   = 1
	mostBytes = 8 << 20 // no file is longer; the directory counts as memory
	lockWait  = 300 * time.Millisecond
	lockAgain = 2 * time.Millisecond
)

// Maintenance is the regions that operators leave out, and those that were ever listed.
type Maintenance struct {
	Out   []string `json:"out"`
	Known []string `json:"known"`
}

// Left is what a process that leaves knows: by flow's key, the region that holds it.
type Left struct {
	Known    []string          `json:"known"`
	Standing map[string]string `json:"standing"`
}

type envelope struct {
	Form     string          `json:"form"`
	Version  int             `json:"version"`
	Kind     string          `json:"kind"`
	Balancer string          `json:"balancer"`
	Written  int64           `json:"written_ms"`
	Sum      uint32          `json:"crc32"`
	Body     json.RawMessage `json:"body"`
}

// Dir is where one balancer's files are.
type Dir struct {
	path, balancer string
	seen           map[string]os.FileInfo
}

// Open names the directory; nothing is written until there is something to keep.
func Open(path, balancer string) *Dir { return &Dir{path, balancer, map[string]os.FileInfo{}} }

func (d *Dir) file(kind string) string {
	return filepath.Join(d.path, form+"-"+url.PathEscape(d.balancer)+"-"+kind+".json")
}

const maintenance, left = "maintenance", "left"

// read returns a file's body and when it was written; os.ErrNotExist where there is none.
func (d *Dir) read(kind string, body any) (time.Time, error) {
	f, err := os.Open(d.file(kind))
	if err != nil {
		return time.Time{}, err
	}
	defer func() { _ = f.Close() }()
	info, err := f.Stat()
	if err == nil && info.Size() > mostBytes {
		err = &Damaged{hint.Annotated{What: fmt.Sprintf("%d bytes, more than %d", info.Size(), mostBytes), Do: aside}}
	}
	var data []byte
	if err == nil {
		data, err = os.ReadFile(f.Name())
	}
	var at time.Time
	if err == nil {
		at, err = d.decode(data, kind, body)
	}
	if err != nil {
		return time.Time{}, &Damaged{hint.Annotated{Where: "handover: " + f.Name(), Cause: err, Do: aside}}
	}
	return at, nil
}

func (d *Dir) decode(data []byte, kind string, body any) (time.Time, error) {
	var e envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return time.Time{}, &Damaged{hint.Annotated{What: "damaged", Cause: err, Do: aside}}
	}
	switch {
	case e.Form != form || e.Kind != kind:
		return time.Time{}, &Damaged{hint.Annotated{What: "not a file of this kind", Do: aside}}
	case e.Version > version || e.Version < 1:
		return time.Time{}, &Damaged{hint.Annotated{What: fmt.Sprintf("version %d, this program reads %d", e.Version, version),
			Do: "let it be: the process that wrote it is of a later version; it is written anew at the next change"}}
	case e.Balancer != d.balancer:
		return time.Time{}, &Damaged{hint.Annotated{What: fmt.Sprintf("balancer %q's, not %q's", e.Balancer, d.balancer), Do: "give each balancer a directory or a name of its own ($TMPDIR, PROXY_NAME)"}}
	case crc32.ChecksumIEEE(e.Body) != e.Sum:
		return time.Time{}, &Damaged{hint.Annotated{What: "damaged: the checksum doesn't fit", Do: aside}}
	}
	return time.UnixMilli(e.Written), json.Unmarshal(e.Body, body)
}

// write puts a file in place whole.
func (d *Dir) write(kind string, body any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return err
	}
	data, err = json.Marshal(envelope{form, version, kind, d.balancer, time.Now().UnixMilli(), crc32.ChecksumIEEE(data), data})
	if err != nil {
		return err
	}
	if len(data) > mostBytes {
		return &Unwritable{hint.Annotated{Where: "handover", What: fmt.Sprintf("%d bytes to write, more than %d", len(data), mostBytes),
			Do: "end some of the maintenance; what stands is left to the next process only where it fits"}}
	}
	f, err := os.CreateTemp(d.path, "."+form+"-*")
	if err != nil {
		return &Unwritable{hint.Annotated{Where: "handover", Cause: err, Do: writable}}
	}
	defer func() { _ = os.Remove(f.Name()) }()
	if _, err = f.Write(data); err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), d.file(kind))
	}
	if err != nil {
		return &Unwritable{hint.Annotated{Where: "handover", Cause: err, Do: writable}}
	}
	return nil
}

// lock keeps the other process from changing the maintenance file meanwhile.
func (d *Dir) lock() (unlock func(), err error) {
	f, err := os.OpenFile(filepath.Join(d.path, form+"-"+url.PathEscape(d.balancer)+".lock"), os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, &Unwritable{hint.Annotated{Where: "handover", Cause: err, Do: writable}}
	}
	for end := time.Now().Add(lockWait); ; time.Sleep(lockAgain) {
		err = syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB)
		if err == nil {
			return func() { _ = f.Close() }, nil
		}
		if time.Now().After(end) {
			_ = f.Close()
			return nil, &Unwritable{hint.Annotated{Where: "handover: " + f.Name(), What: "locked by another process", Cause: err,
				Do: "call again; if it stays, see which process of this balancer hangs"}}
		}
	}
}

// Maintenance reads which regions are left out. Without a file that is none.
func (d *Dir) Maintenance() (m Maintenance, err error) {
	if _, err = d.read(maintenance, &m); errors.Is(err, os.ErrNotExist) {
		return Maintenance{}, nil
	} else if err != nil {
		return Maintenance{}, err
	}
	return m, nil
}

// Maintain leaves a region out, or takes it back, and returns once that is on disk. The file is what counts, since the
// other process may have changed it; now is what this process holds, for a file that can't be read.
func (d *Dir) Maintain(id string, on bool, now Maintenance) error {
	unlock, err := d.lock()
	if err != nil {
		return err
	}
	defer unlock()
	m, err := d.Maintenance()
	if err != nil {
		m = Maintenance{Out: slices.Clone(now.Out)}
	}
	m.Out = slices.DeleteFunc(m.Out, func(o string) bool { return o == id })
	if on {
		m.Out = append(m.Out, id)
	}
	m.Known = append(m.Known, now.Known...)
	slices.Sort(m.Out)
	slices.Sort(m.Known)
	m.Known = slices.Compact(m.Known)
	return d.write(maintenance, m)
}

// Leave writes what a process leaves.
func (d *Dir) Leave(l Left) error { return d.write(left, l) }

// Left reads what the process before has left, unless that is longer ago than most.
func (d *Dir) Left(most time.Duration) (l Left, ok bool, err error) {
	at, err := d.read(left, &l)
	switch {
	case errors.Is(err, os.ErrNotExist):
		return Left{}, false, nil
	case err != nil:
		return Left{}, false, err
	case time.Since(at) > most || time.Until(at) > most: // left over, or from a clock that is wrong
		return Left{}, false, nil
	}
	return l, true, nil
}

// MaintenanceChanged and LeftChanged tell whether a file is another one than at the last call.
func (d *Dir) MaintenanceChanged() bool { return d.changed(maintenance) }

// LeftChanged tells it of what a process has left.
func (d *Dir) LeftChanged() bool { return d.changed(left) }

func (d *Dir) changed(kind string) bool {
	info, err := os.Stat(d.file(kind))
	if err != nil {
		return false // one that is gone tells nothing: what holds goes on
	}
	old := d.seen[kind]
	d.seen[kind] = info
	return old == nil || !os.SameFile(old, info) || !old.ModTime().Equal(info.ModTime()) || old.Size() != info.Size()
}

// Damaged is a file of the state directory that can't be taken for what it should be. It is passed over.
type Damaged struct{ hint.Annotated }

// Unwritable is the state directory in which something could not be kept. What was asked for isn't done.
type Unwritable struct{ hint.Annotated }

// Taken is that as many processes of the balancer are at work as may be.
type Taken struct{ hint.Annotated }

const (
	aside    = "move the file away; what it held is gone: make the calls maint-on again that still hold"
	writable = "see that the state directory ($TMPDIR) is there and can be written, then call again"
)
