// The door: the listener's and the loop's way to internal/admission, where that is configured. This file owns the
// lock around the gate, the spare descriptors and the good-byes to those who were refused before nbio saw them; it
// must never decide who is let in, and must never drop a connection without a line.

package proxy

import (
	"errors"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"runtime"
	"sync"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"oatloft/internal/admission"
	"oatloft/internal/clientstore"
	"oatloft/internal/logs"
	"oatloft/internal/platform"
)

const (
	maxRejections   = 8                      // in one turn of the accepting goroutine
	rejectionPause  = 50 * time.Microsecond  // in which the runtime looks at the network
	maxSpares       = 2                      // given up when the process has no descriptor left: one to answer, one to hand over
	goodbyeTimeout  = 250 * time.Millisecond // for a refused terminal to read its answer and end
	maxGoodbyeBytes = 64 << 10               // bytes of it that are read away meanwhile
	exhaustedRetry  = 3 * time.Millisecond   // between two tries to get a descriptor
)

// Admission is what the host needs to know beside the module's settings.
type Admission struct {
	admission.Config
	MaxGoodbyes                      int
	SnapshotPath                     string // path; none if empty
	SnapshotInterval, SnapshotMaxAge time.Duration
}

// admissionController is asked by the accepting goroutine, by nbio's for ends, and by the reducer's.
type admissionController struct {
	shared     bool // other processes hold the listener as well
	now        func() time.Duration
	log        *slog.Logger
	limitedLog *logs.Limited
	cfg        Admission

	rejectedInTurn int // of the accepting goroutine alone, as is the pause
	timer          *systemTimer

	mu               sync.Mutex
	gate             *admission.Gate
	spareDescriptors []*os.File
	goodbyes         []net.Conn // oldest first
	lastTicket       admission.Ticket
	pendingVictims   map[admission.Ticket]admission.Victim // to be sent off before the reducer has heard of them
}

func newAdmissionController(cfg Admission, seed uint64, now func() time.Duration, log *slog.Logger, said *logs.Limited) (*admissionController, error) {
	g, err := admission.New(cfg.Config, seed)
	if err != nil {
		return nil, err
	}
	d := &admissionController{now: now, log: log, limitedLog: said, cfg: cfg, gate: g, timer: newSystemTimer(), pendingVictims: map[admission.Ticket]admission.Victim{}}
	g.Fixed(admission.Spare, maxSpares+cfg.MaxGoodbyes)
	g.Fixed(admission.Discovery, 2)
	d.refillSpares()
	if cfg.SnapshotPath != "" {
		s, err := clientstore.Load(cfg.SnapshotPath, time.Now(), cfg.SnapshotMaxAge)
		if err != nil {
			log.Warn("known clients not restored, starting with none", "err", err)
		} else if len(s.Clients) > 0 {
			log.Info("known clients restored", "clients", g.Restore(now(), s.Seed, s.Clients), "of", len(s.Clients))
		}
	}
	return d, nil
}

// refillSpares opens the spare descriptors that are missing.
func (d *admissionController) refillSpares() {
	for len(d.spareDescriptors) < maxSpares {
		f, err := os.Open(os.DevNull)
		if err != nil {
			return
		}
		d.spareDescriptors = append(d.spareDescriptors, f)
	}
}

// descriptorsExhausted tells the gate that the process has no descriptor left, and gives up the spare ones for what can't wait.
func (d *admissionController) descriptorsExhausted(lend bool) {
	d.mu.Lock()
	d.gate.Exhausted(d.now())
	if lend {
		for _, f := range d.spareDescriptors {
			_ = f.Close()
		}
		d.spareDescriptors = d.spareDescriptors[:0]
	}
	d.mu.Unlock()
	d.limitedLog.Say(time.Now(), slog.LevelWarn, "exhaustion", "the process has no descriptor left")
}

func noDescriptor(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// accept returns the next connection that is let in. The others get their answer here, at the price of some calls
// to the system. Between two of them others get their turn: with one core a flood would else have it for 10 ms
// at a time. That is not enough: as long as anybody can run, the runtime asks what came in from the network (the
// ends of dials, for one) each 10 ms only. So this goroutine rests after some refusals, and a flood is taken in
// turns: what has queued up meanwhile waits for the rest and no longer.
func (d *admissionController) accept(raw syscall.RawConn) (net.Conn, error) {
	for {
		if d.rejectedInTurn >= maxRejections {
			d.rejectedInTurn = 0
			d.timer.sleep(rejectionPause)
		}
		fd, from, err := acceptRaw(raw, true, d.shared)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case noDescriptor(err):
			d.rejectWithSpare(raw)
			continue
		case err != nil:
			time.Sleep(acceptRetry)
			continue
		}
		d.mu.Lock()
		if d.lastTicket != 0 { // nbio could not take the one before in
			d.gate.Closed(d.now(), d.lastTicket)
		}
		var v admission.Verdict
		d.lastTicket, v = d.gate.Accept(d.now(), from)
		d.mu.Unlock()
		if v.OK() {
			c, err := newConn(fd)
			if err == nil {
				nc, err := nbio.NBConn(c)
				if err == nil {
					return nc, nil
				}
				_ = c.Close()
			}
			d.descriptorsExhausted(false)
			d.mu.Lock()
			d.gate.Closed(d.now(), d.lastTicket)
			d.lastTicket, v = 0, d.gate.Refusal(d.now(), admission.Exhaustion)
			d.mu.Unlock()
			v.Curt = true // there is no descriptor to wait with
		}
		d.rejectedInTurn++
		d.sayGoodbye(fd, from, v)
		runtime.Gosched()
	}
}

// acceptRaw takes a connection from the listener without what the standard library does for each: most of those
// that are refused live for three calls to the system. It waits for one if told to.
//
// Whether a call to a socket waits is a property that all processes share which hold it. Whoever hands a listener to the
// next process may make it wait by that (os/exec does), and this one's thread would then stay in accept4 until another
// connection comes, and hold up the listener's closing. So that is set anew before each call.
func acceptRaw(l syscall.RawConn, wait, shared bool) (fd int, from netip.Addr, err error) {
	closed := l.Read(func(s uintptr) bool {
		var sa syscall.Sockaddr
		if shared {
			_ = syscall.SetNonblock(int(s), true)
		}
		for {
			if fd, sa, err = syscall.Accept4(int(s), syscall.SOCK_NONBLOCK|syscall.SOCK_CLOEXEC); !errors.Is(err, syscall.EINTR) {
				break
			}
		}
		switch sa := sa.(type) {
		case *syscall.SockaddrInet4:
			from = netip.AddrFrom4(sa.Addr)
		case *syscall.SockaddrInet6:
			from = netip.AddrFrom16(sa.Addr).Unmap()
		}
		return !wait || !errors.Is(err, syscall.EAGAIN)
	})
	if closed != nil {
		return 0, from, net.ErrClosed
	}
	return fd, from, err
}

// newConn makes the standard library's connection of a copy of fd, and closes fd if that worked.
func newConn(fd int) (net.Conn, error) {
	twin, err := syscall.Dup(fd)
	if err != nil {
		return nil, err
	}
	syscall.CloseOnExec(twin)
	f := os.NewFile(uintptr(twin), "terminal")
	c, err := net.FileConn(f)
	_ = f.Close()
	if err == nil {
		_ = syscall.Close(fd)
	}
	return c, err
}

// rejectWithSpare answers a connection that the process has no descriptor for: the spare ones make room for it.
func (d *admissionController) rejectWithSpare(l syscall.RawConn) {
	d.descriptorsExhausted(true)
	fd, from, err := acceptRaw(l, false, d.shared)
	if err == nil {
		d.mu.Lock()
		v := d.gate.Refusal(d.now(), admission.Exhaustion)
		d.mu.Unlock()
		v.Curt = true
		d.sayGoodbye(fd, from, v)
	} else {
		time.Sleep(exhaustedRetry)
	}
	d.mu.Lock()
	d.refillSpares()
	d.mu.Unlock()
}

// sayGoodbye answers, and waits a little for the other side to end, since what it sends to a closed socket would make
// a reset of the answer. No more than GoodByes wait so; the oldest of them gives up its place. Where the verdict is
// curt, what has come already is read away, and that is all.
func (d *admissionController) sayGoodbye(fd int, from netip.Addr, v admission.Verdict) {
	d.limitedLog.Say(time.Now(), slog.LevelInfo, v.Reason.String(), "refused", slog.Any("from", from), slog.Duration("after", v.After))
	var line [32]byte
	var junk [4096]byte
	for range maxGoodbyeBytes / len(junk) {
		n, err := syscall.Read(fd, junk[:])
		if errors.Is(err, syscall.ECONNRESET) { // it is gone already
			_ = syscall.Close(fd)
			return
		}
		if n <= 0 || err != nil {
			break
		}
	}
	_, _ = syscall.Write(fd, platform.AppendShort(line[:0], v.After)) // a fresh socket takes it at once
	if v.Curt || d.cfg.MaxGoodbyes == 0 {
		_ = syscall.Close(fd)
		return
	}
	_ = syscall.Shutdown(fd, syscall.SHUT_WR)
	c, err := newConn(fd)
	if err != nil {
		_ = syscall.Close(fd)
		return
	}
	d.mu.Lock()
	if len(d.goodbyes) >= d.cfg.MaxGoodbyes {
		_ = d.goodbyes[0].Close()
		d.goodbyes = append(d.goodbyes[:0], d.goodbyes[1:]...)
	}
	d.goodbyes = append(d.goodbyes, c)
	d.mu.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(goodbyeTimeout))
	go func() {
		_, _ = io.CopyN(io.Discard, c, maxGoodbyeBytes)
		d.mu.Lock()
		for i, other := range d.goodbyes {
			if other == c {
				d.goodbyes = append(d.goodbyes[:i], d.goodbyes[i+1:]...)
				break
			}
		}
		_ = c.Close()
		d.mu.Unlock()
	}()
}

// hasGoodbyes tells that a refused terminal may still have to read its answer.
func (d *admissionController) hasGoodbyes() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.goodbyes) > 0
}

// close gives up all descriptors. Nobody is accepted any more.
func (d *admissionController) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.spareDescriptors {
		_ = f.Close()
	}
	for _, c := range d.goodbyes {
		_ = c.Close()
	}
	d.spareDescriptors = nil
	d.timer.close()
}

// takeTicket is that of the connection which accept returned last; nbio opens it on the same goroutine.
func (d *admissionController) takeTicket() admission.Ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.lastTicket
	d.lastTicket = 0
	return t
}

func (d *admissionController) closed(t admission.Ticket) {
	d.mu.Lock()
	d.gate.Closed(d.now(), t)
	delete(d.pendingVictims, t)
	d.mu.Unlock()
}

func (d *admissionController) answered(t admission.Ticket) {
	d.mu.Lock()
	d.gate.Answered(d.now(), t)
	d.mu.Unlock()
}

func (d *admissionController) established(t admission.Ticket) {
	d.mu.Lock()
	d.gate.Stood(d.now(), t)
	d.mu.Unlock()
}

func (d *admissionController) countBytes(t admission.Ticket, n int) admission.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Bytes(d.now(), t, n)
}

func (d *admissionController) request(t admission.Ticket, o platform.Open) admission.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Request(d.now(), t, admission.Who{Key: o.Key, Tenant: o.Tenant})
}

// tick lets the gate's time pass and tells it what the process holds.
func (d *admissionController) tick(probes int, memory int64) (pressed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.refillSpares()
	d.gate.Fixed(admission.Probe, probes)
	if memory > 0 {
		d.gate.Memory(memory)
	}
	before := d.gate.Level()
	d.gate.Tick(d.now())
	if l := d.gate.Level(); l != before {
		d.limitedLog.Say(time.Now(), slog.LevelInfo, "level", "level changed", slog.String("from", before.String()), slog.String("to", l.String()))
	}
	return d.gate.Pressed()
}

// victims are the silent terminals that are to be sent off now. Those that the reducer has not heard of yet are
// kept in mind for accepted.
func (d *admissionController) victims(known func(admission.Ticket) bool, into []admission.Victim) []admission.Victim {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.gate.Victims() {
		if known(v.Ticket) {
			into = append(into, v)
		} else {
			d.pendingVictims[v.Ticket] = v
		}
	}
	return into
}

// takePendingVictim tells whether a terminal that the reducer hears of now was chosen before.
func (d *admissionController) takePendingVictim(t admission.Ticket) (v admission.Victim, was bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, was = d.pendingVictims[t]
	delete(d.pendingVictims, t)
	return v, was
}

func (d *admissionController) setLimits(descriptors, memoryMB int) {
	d.mu.Lock()
	d.gate.Limit(descriptors, int64(memoryMB)<<20)
	d.mu.Unlock()
}

func (d *admissionController) report() admission.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Report()
}

// reconfigure takes new settings, whole or not at all. What the tables hold, and where snapshots go, stays.
func (d *admissionController) reconfigure(a Admission) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.SnapshotPath != d.cfg.SnapshotPath {
		return &ImmutableSetting{"admission.reserve.snapshot.path"}
	}
	if err := d.gate.Reconfigure(a.Config); err != nil {
		return err
	}
	d.cfg = a
	d.gate.Fixed(admission.Spare, maxSpares+a.MaxGoodbyes)
	return nil
}

// saveSnapshots writes the snapshot of known clients now and then, until stop is closed, and once more then.
func (d *admissionController) saveSnapshots(stop <-chan struct{}) {
	if d.cfg.SnapshotPath == "" {
		return
	}
	tick := time.NewTicker(max(time.Second, d.cfg.SnapshotInterval))
	defer tick.Stop()
	for last := false; !last; {
		select {
		case <-tick.C:
		case <-stop:
			last = true
		}
		d.mu.Lock()
		seed, clients := d.gate.KnownClients()
		d.mu.Unlock()
		if err := clientstore.Save(d.cfg.SnapshotPath, clientstore.Snapshot{CreatedAt: time.Now(), Seed: seed, Clients: clients}); err != nil {
			d.limitedLog.Say(time.Now(), slog.LevelWarn, "snapshot", "known clients not kept", slog.Any("err", err))
		}
	}
}
