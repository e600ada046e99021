package host

// This file owns how one process of a balancer knows that another one has ended: each holds, from before it joins until its end, the
// lock of a file of its own beside the log, which the system gives back however the process ends, and once nothing of it can send any
// more. It must never take a process for ended but by that lock: a file that isn't there, can't be read, or is a copy says nothing.

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"oatloft/internal/consensus"
	"oatloft/internal/failpoint"
	"oatloft/internal/revision"
)

// processFiles are the files of a balancer's processes, by generation. Safe for concurrent use.
type processFiles struct {
	folder string // "" where there is none: nothing is known of others
	mu     sync.Mutex
	own    map[uint64]*os.File
}

const (
	maxProcessFiles = 64 // files looked at in a turn
	leftoverAge     = time.Minute
)

func newProcessFiles(folder string) *processFiles {
	a := &processFiles{own: map[uint64]*os.File{}}
	if folder != "" {
		a.folder = filepath.Join(folder, consensus.Processes)
	}
	return a
}

func (a *processFiles) path(gen uint64) string {
	return filepath.Join(a.folder, strconv.FormatUint(gen, 10))
}

// create makes this process known under gen. The file gets its name once it is locked, so that one with a name which can be locked is of a
// process that has ended.
func (a *processFiles) create(gen uint64) (err error) {
	defer func() {
		if err != nil && !errors.As(err, new(*GenerationInUse)) {
			err = &ProcessFileFailed{a.folder, err}
		}
	}()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.folder == "" || a.own[gen] != nil {
		return nil
	}
	if err = os.MkdirAll(a.folder, 0o700); err != nil {
		return err
	}
	path := a.path(gen)
	f, err := os.OpenFile(path+".new", os.O_RDWR|os.O_CREATE|os.O_TRUNC, 0o600)
	if err != nil {
		return err
	}
	if err = unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err == nil {
		_, err = io.WriteString(f, inode(f))
	}
	if err == nil {
		if _, e := os.Lstat(path); e == nil {
			err = &GenerationInUse{path}
		} else {
			err = os.Rename(path+".new", path)
		}
	}
	if err != nil {
		_ = f.Close()
		return err
	}
	a.own[gen] = f
	return nil
}

// inode tells a file from a copy of it.
func inode(f *os.File) string {
	var s unix.Stat_t
	if unix.Fstat(int(f.Fd()), &s) != nil {
		return ""
	}
	return fmt.Sprintf("inode %d\n", s.Ino)
}

// ended are processes of this balancer that were there and have ended.
func (a *processFiles) ended() (list []uint64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.folder == "" {
		return nil
	}
	files, _ := os.ReadDir(a.folder)
	for _, e := range files[:min(len(files), maxProcessFiles)] {
		gen, err := strconv.ParseUint(e.Name(), 10, 64)
		if err != nil { // half of one, of a process that was killed just then
			if info, err := e.Info(); err == nil && time.Since(info.ModTime()) > leftoverAge {
				_ = os.Remove(filepath.Join(a.folder, e.Name()))
			}
			continue
		}
		if a.own[gen] == nil && hasEnded(a.path(gen)) {
			list = append(list, gen)
		}
	}
	return list
}

// hasEnded tells of a file whose lock nobody holds, and which is no copy.
func hasEnded(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }()
	if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil && !failpoint.On("ended-unlocked") {
		return false
	}
	said, _ := io.ReadAll(io.LimitReader(f, 64))
	return len(said) > 0 && string(said) == inode(f)
}

// remove takes away the file of a process that has ended.
func (a *processFiles) remove(gen uint64) { _ = os.Remove(a.path(gen)) }

// close gives the locks back. Where all know that this process has left, its files go too.
func (a *processFiles) close(left bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for gen, f := range a.own {
		if left {
			a.remove(gen)
		}
		_ = f.Close()
	}
	clear(a.own)
}

// watchEnded tells the leader of this balancer's processes that have ended, so that nobody waits for them: the next one may have been
// started while such a one was there, and couldn't say so.
func (h *Host) watchEnded() {
	every := min(max(h.cfg.Lease/4, 100*time.Millisecond), 2*time.Second)
	for {
		if lead := h.node.Leader(); lead.Name != "" {
			for _, gen := range h.processes.ended() {
				body, _ := json.Marshal(revision.Holder{Name: h.cfg.Name, Generation: gen})
				if _, err := h.callLeader(lead, "ended", body, 2*time.Second); err != nil {
					break
				}
				h.processes.remove(gen)
				h.log.Info("revisions: an earlier process has ended without a word", "generation", gen)
			}
		}
		select {
		case <-h.ctx.Done():
			return
		case <-time.After(every):
		}
	}
}

// processEnded is what the leader does of it.
func (h *Host) processEnded(ctx context.Context, from string, o revision.Holder) error {
	if from != o.Name {
		return &revision.Corrupt{Cause: from + " tells that a process of " + o.Name + " has ended"}
	}
	if err := h.lockAsLeader(ctx); err != nil {
		return err
	}
	known := h.state.HasEnded(o)
	h.mu.Unlock()
	if known {
		return nil
	}
	_, err := h.commit(ctx, revision.Command{Op: revision.OpLeave, Holder: o, Ended: true})
	return err
}
