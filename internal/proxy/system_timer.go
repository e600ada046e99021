package proxy

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// systemTimer is a kernel timer, for pauses shorter than the runtime's timers allow. With one processor the runtime
// polls the network only when no goroutine is runnable, or every 10 ms; a goroutine that yields in a loop is always
// runnable, and one that sleeps does so for at least a millisecond. A kernel timer is itself polled: waiting for it
// makes the runtime poll, and it fires on time. It must be used by one goroutine only.
type systemTimer struct {
	fd   int
	file *os.File // nil where no kernel timer is available
}

func newSystemTimer() *systemTimer {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return &systemTimer{}
	}
	return &systemTimer{fd, os.NewFile(uintptr(fd), "pause")}
}

// onExpiry calls expired on a goroutine of its own, each time the timer expires, until close. It returns false where
// no kernel timer is available.
func (t *systemTimer) onExpiry(expired func()) bool {
	if t.file == nil {
		return false
	}
	go func() {
		for t.wait() {
			expired()
		}
	}()
	return true
}

// wait waits until the timer expires. It returns false if the timer is closed.
func (t *systemTimer) wait() bool {
	var count [8]byte
	_, err := t.file.Read(count[:])
	return err == nil
}

// set makes the timer expire after d, in place of any earlier setting. It returns false on failure.
func (t *systemTimer) set(d time.Duration) bool {
	spec := unix.ItimerSpec{Value: unix.NsecToTimespec(int64(max(d, 1)))}
	return unix.TimerfdSettime(t.fd, 0, &spec, nil) == nil
}

func (t *systemTimer) close() {
	if t.file != nil {
		_ = t.file.Close()
	}
}

// sleep pauses the calling goroutine.
func (t *systemTimer) sleep(d time.Duration) {
	if t.file != nil && t.set(d) && t.wait() {
		return
	}
	time.Sleep(d)
}
