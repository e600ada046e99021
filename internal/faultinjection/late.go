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

// This file owns how late the machine was, apart from how late a balancer was: for each processor that this process may use, by how
// much a timer there and a datagram over loopback come late; how long the threads of each balancer waited for a processor, as the
// system tells; and by how much a write to the disk comes late, which excuses a fault run that could not begin, and nothing else. What took longer than it may by no more than that is held against nobody: the run is void. It must never excuse what is
// no matter of time, nor an answer that stays out for longer than the machine stood.

const (
	timerInterval = 5 * time.Millisecond
	pollInterval = 250 * time.Millisecond
	observationDelay    = 2 * pollInterval // the system counts a wait once it is over, and this process may look late
	maxLateShare   = 0.25          // of a run's time, without a processor: what was kept then proves little
	maxTimerSamples = 200_000       // late ones that are kept, of each processor
	syncInterval = 50 * time.Millisecond
	syncAllowance = 20 * time.Millisecond // a write that is on the disk by then is on time
)

// moment is what had been waited by a time, in all.
type waitSample struct{ at, waited time.Duration }

// waits is a sum that grows, kept by time.
type waits []waitSample

func (l waits) by(at time.Duration) time.Duration {
	if len(l) == 0 {
		return 0
	}
	// Of what was before the first look nothing is known.
	return l[max(0, sort.Search(len(l), func(i int) bool { return l[i].at > at })-1)].waited
}

func (l waits) within(from, to time.Duration) time.Duration { return l.by(to) - l.by(from) }

// add makes the sum grow.
func (l *waits) add(at, more time.Duration) {
	if sum := l.by(at) + more; more > 0 || len(*l) == 0 {
		*l = append(*l, waitSample{at, sum})
	}
}

// machine is how late timers and loopback are at each processor, and the disk, of all fault runs of this process.
type machine struct {
	zero time.Time
	mu   sync.Mutex
	late []waits
	disk waits
	writeSince  time.Duration // when the write that isn't on the disk yet began, 0 for none
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
		_ = os.Remove(f.Name()) // it lives on while it is open, and no longer
		go m.measureDisk(f)
	}
	return m
})

// write puts a byte on the disk where fault runs have their folders, over and over. What the agreement settles waits for such writes, so
// processes that are founding can't answer while the disk stands.
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
			return // nothing more is known of this disk
		}
	}
}

// diskLate is by how much writes to the disk came late in a time, one that is still out among them.
func (m *machine) diskLate(from, to time.Duration) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	late := m.disk.within(from, to)
	if m.writeSince > 0 {
		late += max(0, to-max(m.writeSince, from)-syncAllowance)
	}
	return late
}

// starved is why a fault run that missed something at its start could not begin: for a quarter of the time or more the machine's timers, or its
// disk, were late. nil if neither was.
func (w *Scenario) overloadError(missed string) error {
	own, _, _ := w.overallLateness()
	all := w.Now()
	disk := float64(w.late.m.diskLate(w.late.began, w.late.began+all)) / float64(all)
	if max(own, disk) <= maxLateShare {
		return nil
	}
	return &MachineOverloaded{own, disk, missed}
}

// beat sleeps and sends itself a datagram, over and over, on a thread that stays at one processor. A stalled processor holds up whatever
// threads and packets stand there, while all others come on time.
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
		m.late[k].add(now, now-due-time.Millisecond) // no timer is better than that
		m.mu.Unlock()
	}
}

// within is the most that a processor was late in a time, all of them in the mean, and the most at once.
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

// lateness is what is known of the machine in a fault run.
type lateness struct {
	m     *machine
	began time.Duration // of the run, by the machine's time
	mu    sync.Mutex
	waits    []waits // of each balancer's processes
	tracked  []trackedProcess
	polledAt    time.Duration // last looked at
}

type trackedProcess struct {
	balancer int
	p        *fake.Process
	seen     map[string]time.Duration // by thread
}

// beats looks at the balancers' threads until the run ends.
func (w *Scenario) pollThreadsUntilEnd() {
	for pause(w.ended, pollInterval) {
		w.pollThreads()
	}
}

// runs has a process's threads looked at from now on.
func (w *Scenario) trackProcess(i int, p *fake.Process) {
	w.late.mu.Lock()
	defer w.late.mu.Unlock()
	w.late.tracked = append(w.late.tracked, trackedProcess{i, p, map[string]time.Duration{}})
}

// look reads how long each thread has waited in a queue for a processor, no more often than every lookEvery: looking takes
// processors too. Where the system doesn't tell, nothing is known.
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

// waitedFor is how long each thread of a process has waited in all, by its file.
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

// lateFor is how long, within a time, the machine and balancer i's processes were late; the most of all balancers for -1.
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

// void tells that the machine was late by as much as something at balancer i was over its time. Either is noted.
func (w *Scenario) excusedByMachine(i int, from, over time.Duration, format string, args ...any) bool {
	return w.excusedByMachineUntil(i, from, w.Now(), over, format, args...)
}

// voidThen is void for a time that is over.
func (w *Scenario) excusedByMachineUntil(i int, from, to, over time.Duration, format string, args ...any) bool {
	time.Sleep(max(0, to+observationDelay-w.Now()))
	late := w.lateFor(i, from, to)
	if late < over {
		w.addViolation("%s, and the machine was %v late", fmt.Sprintf(format, args...), late.Round(time.Millisecond))
		return false
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.machineCauses = append(w.machineCauses, fmt.Sprintf(format, args...)+fmt.Sprintf(", and the machine was %v late", late.Round(time.Millisecond)))
	return true
}

// wholeLate is the part of the run's time by which timers were late, and that in which the balancers' threads waited for processors, in
// the mean, and the most that a timer was late.
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

// MachineOverloaded is the error that a fault run could not begin, and the machine had no processor to give, or its disk stood.
type MachineOverloaded struct {
	Late  float64 // part of the time by which timers were late
	Disk  float64 // and by which writes to the disk were
	Cause string
}

func (e *MachineOverloaded) Error() string {
	return fmt.Sprintf("timers were late for %.0f%% of the time, and the disk for %.0f%%: %s", 100*e.Late, 100*e.Disk, e.Cause)
}

// Hint is what an operator can do.
func (e *MachineOverloaded) Hint() string {
	return "play it again when the machine has less to do, or with fewer --jobs"
}
