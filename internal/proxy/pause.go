// A pause shorter than the runtime's. This file owns one timer of the system's; it must never be used by two
// goroutines at once.

package proxy

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// systemTimer lets the network have its turn. With one processor the runtime looks at the network only when nobody can
// run, or each 10 ms: a goroutine that yields in a loop is always there to run, and one that sleeps does so for a
// millisecond at least. A timer of the system's is itself a part of the network: waiting for it makes the runtime
// look, and ends when it should.
type systemTimer struct {
	fd   int
	file *os.File
}

func newSystemTimer() *systemTimer {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return &systemTimer{}
	}
	return &systemTimer{fd, os.NewFile(uintptr(fd), "pause")}
}

// onExpiry has it ring whenever a time that set has said is over, until it is closed; it is false where there is no timer of the system's.
func (p *systemTimer) onExpiry(ring func()) bool {
	if p.file == nil {
		return false
	}
	go func() {
		var b [8]byte
		for {
			if _, err := p.file.Read(b[:]); err != nil {
				return
			}
			ring()
		}
	}()
	return true
}

// set takes the time in place of the one before.
func (p *systemTimer) set(d time.Duration) bool {
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(max(d, 1)))}
	return unix.TimerfdSettime(p.fd, 0, &spec, nil) == nil
}

func (p *systemTimer) close() {
	if p.file != nil {
		_ = p.file.Close()
	}
}

func (p *systemTimer) sleep(d time.Duration) {
	if p.file != nil {
		var b [8]byte
		if p.set(d) {
			if _, err := p.file.Read(b[:]); err == nil {
				return
			}
		}
	}
	time.Sleep(d)
}
