package hotrestart

import (
	"encoding/binary"
	"fmt"
	"os"
	"syscall"

	"oatloft/internal/hint"
)

// maxProcesses is the maximum number of processes of one balancer. An upgrade has two, or three if the next upgrade
// follows soon.
const maxProcesses = 4

// Usage is a process's use of the resources that all processes of a balancer share. Its fields are written to the file
// in this order.
type Usage struct {
	Sockets      int64 // descriptors
	Memory       int64 // bytes
	ShuttingDown int64 // nonzero if it places no new clients
}

// Presence lets the processes of one balancer see each other. Each process holds the lock of a file, which the
// operating system releases however the process ends, and writes its usage to it.
type Presence struct {
	dir    *Dir
	number int
	file   *os.File
}

func (d *Dir) presenceFile(number int) string { return d.filePath(fmt.Sprintf("-%d.use", number)) }

// Register locks the first file that no other process has locked. The error is *WriteFailed or *TooManyProcesses.
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
			What:  fmt.Sprintf("%d processes of balancer %q are running already", maxProcesses, d.balancer),
			Do:    "end those that should have exited, or give this balancer its own name",
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

// readUsage reads the usage of a running process. If a shared lock on the file can be obtained, no process holds the
// file: its content is from a process that has ended.
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
		_, _ = binary.Decode(data, binary.LittleEndian, &usage) // cannot fail: the size matches
	}
	return usage, true
}

// Close releases the file.
func (p *Presence) Close() { _ = p.file.Close() }
