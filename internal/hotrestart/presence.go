package hotrestart

import (
	"encoding/binary"
	"fmt"
	"os"
	"syscall"

	"oatloft/internal/hint"
)

// maxProcesses is how many processes of one balancer are told apart. An upgrade has two, and three if the next
// comes soon.
const maxProcesses = 4

// Usage is what a process uses of what all processes of a balancer have together. Its fields are written to the
// file in this order.
type Usage struct {
	Sockets      int64 // descriptors
	Memory       int64 // bytes
	ShuttingDown int64 // not 0: it places no new clients
}

// Presence lets the processes of one balancer see each other. Each holds the lock of a file, which the system
// releases however the process ends, and writes its usage there.
type Presence struct {
	dir    *Dir
	number int
	file   *os.File
}

func (d *Dir) presenceFile(number int) string { return d.name(fmt.Sprintf("-%d.use", number)) }

// Register takes the first file that no other process holds. The error is *WriteFailed or *TooManyProcesses.
func (d *Dir) Register() (*Presence, error) {
	for number := range maxProcesses {
		f, err := os.OpenFile(d.presenceFile(number), os.O_RDWR|os.O_CREATE, fileMode)
		if err != nil {
			return nil, &WriteFailed{hint.Annotated{Where: "handover", Cause: err, Do: makeWritableHint}}
		}
		if syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB) == nil {
			p := &Presence{dir: d, number: number, file: f}
			return p, p.Write(Usage{})
		}
		_ = f.Close()
	}
	return nil, &TooManyProcesses{
		hint.Annotated{
			Where: "handover",
			What:  fmt.Sprintf("%d processes of balancer %q are at work already", maxProcesses, d.balancer),
			Do:    "end those that should have left; or give this balancer a name of its own",
		},
	}
}

// Write publishes this process's usage.
func (p *Presence) Write(usage Usage) error {
	data, err := binary.Append(nil, binary.LittleEndian, usage)
	if err != nil {
		return err
	}
	_, err = p.file.WriteAt(data, 0)
	return err
}

// Others returns the usage of each other process that is running.
func (p *Presence) Others() (list []Usage) {
	for number := range maxProcesses {
		if number == p.number {
			continue
		}
		if usage, running := readUsage(p.dir.presenceFile(number)); running {
			list = append(list, usage)
		}
	}
	return list
}

// readUsage reads the usage of a running process. A file whose lock can be shared is held by nobody: what it says
// is of a process that has ended.
func readUsage(path string) (usage Usage, running bool) {
	f, err := os.Open(path)
	if err != nil {
		return Usage{}, false
	}
	defer func() { _ = f.Close() }()
	if syscall.Flock(int(f.Fd()), syscall.LOCK_SH|syscall.LOCK_NB) == nil {
		return Usage{}, false
	}
	data := make([]byte, binary.Size(usage))
	if n, _ := f.ReadAt(data, 0); n == len(data) {
		_, _ = binary.Decode(data, binary.LittleEndian, &usage) // cannot fail: the size fits
	}
	return usage, true
}

// Close releases the file.
func (p *Presence) Close() { _ = p.file.Close() }
