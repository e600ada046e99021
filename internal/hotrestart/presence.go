package hotrestart

import (
	"encoding/binary"
	"fmt"
	"net/url"
	"os"
	"path/filepath"
	"syscall"

	"oatloft/internal/hint"
)

// slots is how many processes of one balancer are told apart; an upgrade has two, and three if the next one comes soon.
const slots = 4

// Use is what a process takes of what all processes of a balancer have together.
type Use struct {
	Sockets int64 // descriptors
	Memory  int64 // bytes
	Leaving int64 // not 0: it places nobody new
}

// Presence tells the processes of one balancer of each other. Each holds the lock of a file, which the system gives back
// however it ends, and writes its use there.
type Presence struct {
	dir  *Dir
	mine int
	file *os.File
}

func (d *Dir) slot(i int) string {
	return filepath.Join(d.path, fmt.Sprintf("%s-%s-%d.use", form, url.PathEscape(d.balancer), i))
}

// Appear takes the first free file.
func (d *Dir) Appear() (*Presence, error) {
	for i := range slots {
		f, err := os.OpenFile(d.slot(i), os.O_RDWR|os.O_CREATE, 0o600)
		if err != nil {
			return nil, &Unwritable{hint.Annotated{Where: "handover", Cause: err, Do: writable}}
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			p := &Presence{d, i, f}
			return p, p.Write(Use{})
		}
		_ = f.Close()
	}
	return nil, &Taken{hint.Annotated{Where: "handover", What: fmt.Sprintf("%d processes of balancer %q are at work already", slots, d.balancer),
		Do: "end those that should have left; or give this balancer a name of its own"}}
}

// Write tells the others of this process's use.
func (p *Presence) Write(u Use) error {
	b, err := binary.Append(nil, binary.LittleEndian, u)
	if err == nil {
		_, err = p.file.WriteAt(b, 0)
	}
	return err
}

// Others returns the use of each other process that is there.
func (p *Presence) Others() (list []Use) {
	for i := range slots {
		if i == p.mine {
			continue
		}
		f, err := os.Open(p.dir.slot(i))
		if err != nil {
			continue
		}
		// A lock that can be shared is held by nobody: what the file says is of a process that has ended.
		if syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) != nil {
			var u Use
			b := make([]byte, binary.Size(u))
			if n, _ := f.ReadAt(b, 0); n == len(b) {
				_, _ = binary.Decode(b, binary.LittleEndian, &u)
			}
			list = append(list, u)
		}
		_ = f.Close()
	}
	return list
}

// Close gives the file back.
func (p *Presence) Close() { _ = p.file.Close() }
