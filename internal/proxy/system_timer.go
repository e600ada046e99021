package proxy

import (
	"os"
	"time"

	"golang.org/x/sys/unix"
)

// systemTimer is a timer of the system's, for pauses shorter than the runtime's. With one processor the runtime
// polls the network only when no goroutine can run, or every 10 ms; a goroutine that yields in a loop can always
// run, and one that sleeps does so for a millisecond at least. A timer of the system's is itself polled: waiting
// for it makes the runtime poll, and ends on time. It is for one goroutine.
type systemTimer struct {
	fd   int
	file *os.File // nil where there is no such timer
}

func newSystemTimer() *systemTimer {
	fd, err := unix.TimerfdCreate(unix.CLOCK_MONOTONIC, unix.TFD_NONBLOCK|unix.TFD_CLOEXEC)
	if err != nil {
		return &systemTimer{}
	}
	return &systemTimer{fd, os.NewFile(uintptr(fd), "pause")}
}

// onExpiry calls expired, on a goroutine of its own, whenever a time that set has set is over, until close. It is
// false where there is no timer of the system's.
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

// wait returns when the timer expires; false if it is closed.
func (t *systemTimer) wait() bool {
	var count [8]byte
	_, err := t.file.Read(count[:])
	return err == nil
}

// set sets the time after which the timer expires, in place of the one before.
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
