// A pause shorter than the runtime's. This file owns one timer of the system's; it must never be used by two
// goroutines at once.

package net

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// pause lets the network have its turn. With one processor the runtime looks at the network only when nobody can
// run, or each 10 ms: a goroutine that yields in a loop is always there to run, and one that sleeps does so for a
// millisecond at least. A timer of the system's is itself a part of the network: waiting for it makes the runtime
// look, and ends when it should.
type pause struct {
	fd   int
	file *os.File
}

func newPause() *pause {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return &pause{}
	}
	return &pause{fd, os.NewFile(uintptr(fd), "pause")}
}

func (p *pause) rest(d time.Duration) {
	if p.file != nil {
		var b [8]byte
		spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(d))}
		if unix.TimerfdSettime(p.fd, 0, &spec, nil) == nil {
			if _, err := p.file.Read(b[:]); err == nil {
				return
			}
		}
	}
	time.Sleep(d)
}
