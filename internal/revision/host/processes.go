package host

import (
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
)

const (
	// maxProcessFiles is the number of files that one check examines.
	maxProcessFiles = 64
	// leftoverAge is the age above which a file whose creation was not completed is removed.
	leftoverAge = time.Minute
	// maxProcessFileBytes bounds the part of a file that is read, in bytes.
	maxProcessFileBytes = 64

	processFolderMode = 0o700
	processFileMode   = 0o600
)

// processFiles lets the processes of one balancer detect each other's end. Each process locks a file of its own,
// named by its generation, from before it joins until its end; the system releases the lock however the process
// ends. A file that is missing, unreadable or copied is no evidence of an end. It is safe for concurrent use.
type processFiles struct {
	folder string // empty if none is configured: other processes are not observed
	mu     sync.Mutex
	own    map[uint64]*os.File // locked by this process, by generation
}

func newProcessFiles(folder string) *processFiles {
	p := &processFiles{own: map[uint64]*os.File{}}
	if folder != "" {
		p.folder = filepath.Join(folder, consensus.ProcessesFolder)
	}
	return p
}

func (p *processFiles) path(generation uint64) string {
	return filepath.Join(p.folder, strconv.FormatUint(generation, 10))
}

// create creates this process's file for a generation. The error is *GenerationInUse or *ProcessFileFailed.
func (p *processFiles) create(generation uint64) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.folder == "" || p.own[generation] != nil {
		return nil
	}
	f, err := p.createAndLock(generation)
	if err == nil {
		p.own[generation] = f
		return nil
	}
	if inUse := (*GenerationInUse)(nil); errors.As(err, &inUse) {
		return err
	}
	return &ProcessFileFailed{p.folder, err}
}

// createAndLock creates and locks the file of a generation. The file is renamed to its final name only once it is
// locked, so that a file with a final name and a free lock belongs to a process that has ended.
func (p *processFiles) createAndLock(generation uint64) (*os.File, error) {
	if err := os.MkdirAll(p.folder, processFolderMode); err != nil {
		return nil, err
	}
	path := p.path(generation)
	unnamed := path + ".new"
	f, err := os.OpenFile(unnamed, os.O_RDWR|os.O_CREATE|os.O_TRUNC, processFileMode)
	if err != nil {
		return nil, err
	}
	if err := lockAndName(f, unnamed, path); err != nil {
		_ = f.Close()
		return nil, err
	}
	return f, nil
}

// lockAndName locks a new file, writes its inode number to it, and renames it to its final name.
func lockAndName(f *os.File, unnamed, path string) error {
	if err := unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		return err
	}
	if _, err := io.WriteString(f, inode(f)); err != nil {
		return err
	}
	if _, err := os.Lstat(path); err == nil {
		return &GenerationInUse{path}
	}
	return os.Rename(unnamed, path)
}

// inode returns a file's identity, by which a copy of the file can be detected.
func inode(f *os.File) string {
	var s unix.Stat_t
	if unix.Fstat(int(f.Fd()), &s) != nil {
		return ""
	}
	return fmt.Sprintf("inode %d\n", s.Ino)
}

// ended returns the generations of this balancer's other processes that have ended.
func (p *processFiles) ended() (generations []uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.folder == "" {
		return nil
	}
	files, _ := os.ReadDir(p.folder) // an unreadable folder is no evidence of an end
	for _, file := range files[:min(len(files), maxProcessFiles)] {
		generation, err := strconv.ParseUint(file.Name(), 10, 64)
		if err != nil {
			p.removeLeftover(file)
			continue
		}
		if p.own[generation] == nil && hasEnded(p.path(generation)) {
			generations = append(generations, generation)
		}
	}
	return generations
}

// removeLeftover removes a file that is not named by a generation, if it is older than leftoverAge: its process was
// killed while creating it.
func (p *processFiles) removeLeftover(file os.DirEntry) {
	if info, err := file.Info(); err == nil && time.Since(info.ModTime()) > leftoverAge {
		_ = os.Remove(filepath.Join(p.folder, file.Name()))
	}
}

// hasEnded reports whether a file's lock is free and the file is not a copy.
func hasEnded(path string) bool {
	f, err := os.Open(path)
	if err != nil {
		return false
	}
	defer func() { _ = f.Close() }()
	if unix.Flock(int(f.Fd()), unix.LOCK_EX|unix.LOCK_NB) != nil && !failpoint.On("ended-unlocked") {
		return false
	}
	content, err := io.ReadAll(io.LimitReader(f, maxProcessFileBytes))
	return err == nil && len(content) > 0 && string(content) == inode(f)
}

// remove removes the file of a process that has ended.
func (p *processFiles) remove(generation uint64) { _ = os.Remove(p.path(generation)) }

// close releases this process's locks. If left, the leader has confirmed that the process has left, and its files are
// removed.
func (p *processFiles) close(left bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for generation, f := range p.own {
		if left {
			p.remove(generation)
		}
		_ = f.Close()
	}
	clear(p.own)
}
