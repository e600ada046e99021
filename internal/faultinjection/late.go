package faultinjection

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
	"unsafe"

	"golang.org/x/sys/unix"

	"oatloft/internal/fake"
)

// This file measures the delays of the machine, to tell them from delays of a balancer: for each processor that this
// process may use, the delay of a timer and of a datagram over loopback; the time that the threads of each balancer
// waited for a processor, as the system reports it; and the delay of writes to the disk, which excuses only a fault run
// that could not begin. A time limit that is exceeded by no more than these delays makes the run void. A violation that
// does not concern time is never excused, nor an answer that is later than the measured delay.

const (
	timerInterval    = 5 * time.Millisecond
	pollInterval     = 250 * time.Millisecond
	observationDelay = 2 * pollInterval // the system counts a wait once it is over, and this process may poll late
	maxLateShare     = 0.25             // of a run's time; a run on a machine that was late for longer proves little
	maxTimerSamples  = 200_000          // late samples that are kept for each processor
	syncInterval     = 50 * time.Millisecond
	syncAllowance    = 20 * time.Millisecond // a write that takes no longer is on time
)

// waitSample is the total wait up to a time.
type waitSample struct{ at, waited time.Duration }

// waits are the samples of a growing total, in order of time.
type waits []waitSample

// by returns the total at a time.
func (l waits) by(at time.Duration) time.Duration {
	if len(l) == 0 {
		return 0
	}
	// Nothing is known of the time before the first sample.
	return l[max(0, sort.Search(len(l), func(i int) bool { return l[i].at > at })-1)].waited
}

// within returns the increase of the total in a period.
func (l waits) within(from, to time.Duration) time.Duration { return l.by(to) - l.by(from) }

// add increases the total by more at a time.
func (l *waits) add(at, more time.Duration) {
	if sum := l.by(at) + more; more > 0 || len(*l) == 0 {
		*l = append(*l, waitSample{at, sum})
	}
}

// machine measures the delays of timers and loopback at each processor, and of the disk, for all fault runs of this
// process.
type machine struct {
	zero       time.Time
	mu         sync.Mutex
	late       []waits
	disk       waits
	writeSince time.Duration // start of the write in progress, 0 for none
}

var sharedMachine = sync.OnceValue(func() *machine {
	m := &machine{zero: time.Now()}
	m.mu.Lock()
	defer m.mu.Unlock()
	var may, one unix.CPUSet
	_ = unix.SchedGetaffinity(0, &may)
	for cpu := range 8 * len(may) * int(unsafe.Sizeof(may[0])) {
		if may.IsSet(cpu) {
			one.Zero()
			one.Set(cpu)
			m.late = append(m.late, nil)
			go m.measureTimer(len(m.late)-1, one)
		}
	}
	if f, err := os.CreateTemp("", "oatlab-late"); err == nil {
		_ = os.Remove(f.Name()) // the open file is deleted when the process ends
		go m.measureDisk(f)
	}
	return m
})

// measureDisk repeatedly writes a byte to the disk that holds the folders of fault runs. The consensus log waits for
// such writes, so processes that found a cluster can't answer while the disk stalls.
func (m *machine) measureDisk(f *os.File) {
	for b := []byte{0}; ; time.Sleep(syncInterval) {
		m.mu.Lock()
		m.writeSince = time.Since(m.zero)
		m.mu.Unlock()
		_, err := f.WriteAt(b, 0)
		err = errors.Join(err, f.Sync())
		m.mu.Lock()
		now := time.Since(m.zero)
		m.disk.add(now, max(0, now-m.writeSince-syncAllowance))
		m.writeSince = 0
		m.mu.Unlock()
		if err != nil {
			return // this disk can't be measured any more
		}
	}
}

// diskLate returns the total delay of writes to the disk in a period, including the write in progress.
func (m *machine) diskLate(from, to time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	late := m.disk.within(from, to)
	if m.writeSince > 0 {
		late += max(0, to-max(m.writeSince, from)-syncAllowance)
	}
	return late
}

// overloadError returns a MachineOverloaded error for a fault run that failed at its start if the machine's timers or
// its disk were late for more than a quarter of the time, and nil otherwise.
func (w *Scenario) overloadError(missed string) error {
	own, _, _ := w.overallLateness()
	all := w.Now()
	disk := float64(w.late.m.diskLate(w.late.began, w.late.began+all)) / float64(all)
	if max(own, disk) <= maxLateShare {
		return nil
	}
	return &MachineOverloaded{own, disk, missed}
}

// measureTimer repeatedly sleeps and sends itself a datagram, on a thread that is bound to one processor. A stalled
// processor delays the threads and packets that are assigned to it, while all others are on time.
func (m *machine) measureTimer(k int, cpu unix.CPUSet) {
	runtime.LockOSThread()
	_ = unix.SchedSetaffinity(0, &cpu)
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_DGRAM|unix.SOCK_CLOEXEC, 0)
	if err == nil {
		err = errors.Join(unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}),
			unix.SetsockoptTimeval(fd, unix.SOL_SOCKET, unix.SO_RCVTIMEO, &unix.Timeval{Sec: 2}))
	}
	self, _ := unix.Getsockname(fd)
	b := make([]byte, 1)
	for {
		due := time.Since(m.zero) + timerInterval
		wait := unix.NsecToTimespec(int64(timerInterval))
		_ = unix.Nanosleep(&wait, nil)
		if err == nil && unix.Sendto(fd, b, 0, self) == nil {
			_, _, _ = unix.Recvfrom(fd, b, 0)
		}
		now := time.Since(m.zero)
		m.mu.Lock()
		if len(m.late[k]) > maxTimerSamples {
			m.late[k] = slices.Clone(m.late[k][maxTimerSamples/2:])
		}
		m.late[k].add(now, now-due-time.Millisecond) // timers are accurate to 1 ms at best
		m.mu.Unlock()
	}
}

// within returns, for a period, the largest total delay of a processor, the mean of all, and the largest single delay.
func (m *machine) within(from, to time.Duration) (most, mean, atOnce time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, l := range m.late {
		late := l.within(from, to)
		most, mean = max(most, late), mean+late/time.Duration(len(m.late))
		for i := len(l) - 1; i > 0 && l[i].at > from; i-- {
			atOnce = max(atOnce, l[i].waited-l[i-1].waited)
		}
	}
	return most, mean, atOnce
}

// lateness holds the delays of the machine during a fault run.
type lateness struct {
	m        *machine
	began    time.Duration // start of the run, on the clock of machine
	mu       sync.Mutex
	waits    []waits // for processors, by balancer
	tracked  []trackedProcess
	polledAt time.Duration // time of the last poll
}

// trackedProcess is a process whose threads are polled.
type trackedProcess struct {
	balancer int
	p        *fake.Process
	seen     map[string]time.Duration // waits by the file of the thread
}

// pollThreadsUntilEnd polls the balancers' threads until the run ends.
func (w *Scenario) pollThreadsUntilEnd() {
	for pause(w.ended, pollInterval) {
		w.pollThreads()
	}
}

// trackProcess starts the polling of a process's threads.
func (w *Scenario) trackProcess(i int, p *fake.Process) {
	w.late.mu.Lock()
	defer w.late.mu.Unlock()
	w.late.tracked = append(w.late.tracked, trackedProcess{i, p, map[string]time.Duration{}})
}

// pollThreads reads how long each thread has waited for a processor, at most once per pollInterval since polling takes
// processor time too. Where the system has no such count, the waits stay 0.
func (w *Scenario) pollThreads() {
	w.late.mu.Lock()
	defer w.late.mu.Unlock()
	now := w.Now()
	if now-w.late.polledAt < pollInterval && len(w.late.waits) > 0 {
		return
	}
	w.late.polledAt = now
	for len(w.late.waits) < w.Schedule.Balancers {
		w.late.waits = append(w.late.waits, nil)
	}
	for k := 0; k < len(w.late.tracked); k++ {
		r := w.late.tracked[k]
		if err := r.p.Over(0); err == nil || err.Error() != "still running" {
			w.late.tracked = append(w.late.tracked[:k], w.late.tracked[k+1:]...)
			k--
			continue
		}
		sum := time.Duration(0)
		for file, waited := range threadWaits(r.p.PID()) {
			sum += waited - r.seen[file]
			r.seen[file] = waited
		}
		w.late.waits[r.balancer].add(now, sum)
	}
}

// threadWaits returns the total wait of each thread of a process, by the file of the thread.
func threadWaits(pid int) map[string]time.Duration {
	list := map[string]time.Duration{}
	files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/schedstat", pid))
	for _, file := range files {
		body, _ := os.ReadFile(file)
		if f := strings.Fields(string(body)); len(f) > 1 {
			n, _ := strconv.ParseInt(f[1], 10, 64)
			list[file] = time.Duration(n)
		}
	}
	return list
}

// lateFor returns the delay of the machine plus the wait of balancer i's processes in a period; for -1 the largest wait
// of all balancers.
func (w *Scenario) lateFor(i int, from, to time.Duration) time.Duration {
	w.pollThreads()
	to += observationDelay
	own, _, _ := w.late.m.within(w.late.began+from, w.late.began+to)
	w.late.mu.Lock()
	defer w.late.mu.Unlock()
	most := time.Duration(0)
	for k, of := range w.late.waits {
		if i < 0 || i == k {
			most = max(most, of.within(from, to))
		}
	}
	return min(most, to-from) + min(own, to-from)
}

// excusedByMachine reports whether the machine was late by at least the time over by which an event at balancer i
// missed its time limit. It records the event as a machine cause or as a violation.
func (w *Scenario) excusedByMachine(i int, from, over time.Duration, format string, args ...any) bool {
	return w.excusedByMachineUntil(i, from, w.Now(), over, format, args...)
}

// excusedByMachineUntil is excusedByMachine for a period that ended at to.
func (w *Scenario) excusedByMachineUntil(i int, from, to, over time.Duration, format string, args ...any) bool {
	time.Sleep(max(0, to+observationDelay-w.Now()))
	late := w.lateFor(i, from, to)
	if late < over {
		w.addViolation("%s, and the machine was %v late", fmt.Sprintf(format, args...), late.Round(time.Millisecond))
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machineCauses = append(w.machineCauses, fmt.Sprintf(format, args...)+fmt.Sprintf(", and the machine was %v late",
		late.Round(time.Millisecond)))
	return true
}

// overallLateness returns the share of the run's time by which timers were late, the mean share in which the balancers'
// threads waited for processors, and the largest delay of a timer.
func (w *Scenario) overallLateness() (own, theirs float64, atOnce time.Duration) {
	w.pollThreads()
	all := w.Now()
	_, late, atOnce := w.late.m.within(w.late.began, w.late.began+all)
	w.late.mu.Lock()
	defer w.late.mu.Unlock()
	for _, of := range w.late.waits {
		theirs += float64(of.within(0, all)) / float64(all) / float64(len(w.late.waits))
	}
	return float64(late) / float64(all), theirs, atOnce
}

// MachineOverloaded is the error that a fault run could not begin since the machine's processors or its disk were late.
type MachineOverloaded struct {
	Late  float64 // share of the time by which timers were late
	Disk  float64 // share of the time by which writes to the disk were late
	Cause string
}

// Error returns the delays of timers and disk, and the failure of the run.
func (e *MachineOverloaded) Error() string {
	return fmt.Sprintf("timers were late for %.0f%% of the time, and the disk for %.0f%%: %s", 100*e.Late, 100*e.Disk,
		e.Cause)
}

// Hint returns what an operator can do.
func (e *MachineOverloaded) Hint() string {
	return "run it again when the machine is less busy, or with fewer --jobs"
}
