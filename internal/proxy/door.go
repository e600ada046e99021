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
	refusals    = 8                      // in one turn of the accepting goroutine
	refusalRest = 50 * time.Microsecond  // in which the runtime looks at the network
	spares      = 2                      // given up when the process has no descriptor left: one to answer, one to hand over
	goodByeWait = 250 * time.Millisecond // for a refused terminal to read its answer and end
	goodByeMost = 64 << 10               // bytes of it that are read away meanwhile
	starvedWait = 3 * time.Millisecond   // between two tries to get a descriptor
)

// Admission is what the host needs to know beside the module's settings.
type Admission struct {
	admission.Config
	GoodByes                     int
	Snapshot                     string // path; none if empty
	SnapshotEvery, SnapshotLives time.Duration
}

// door is asked by the accepting goroutine, by nbio's for ends, and by the reducer's.
type door struct {
	shared bool // other processes hold the listener as well
	now    func() time.Duration
	log    *slog.Logger
	said   *logs.Limited
	cfg    Admission

	refusedInTurn int // of the accepting goroutine alone, as is the pause
	pause         *pause

	mu     sync.Mutex
	gate   *admission.Gate
	spare  []*os.File
	byes   []net.Conn // oldest first
	taken  admission.Ticket
	doomed map[admission.Ticket]admission.Victim // to be sent off before the reducer has heard of them
}

func newDoor(cfg Admission, seed uint64, now func() time.Duration, log *slog.Logger, said *logs.Limited) (*door, error) {
	g, err := admission.New(cfg.Config, seed)
	if err != nil {
		return nil, err
	}
	d := &door{now: now, log: log, said: said, cfg: cfg, gate: g, pause: newPause(), doomed: map[admission.Ticket]admission.Victim{}}
	g.Fixed(admission.Spare, spares+cfg.GoodByes)
	g.Fixed(admission.Discovery, 2)
	d.restock()
	if cfg.Snapshot != "" {
		s, err := clientstore.Load(cfg.Snapshot, time.Now(), cfg.SnapshotLives)
		if err != nil {
			log.Warn("known clients not restored, starting with none", "err", err)
		} else if len(s.Clients) > 0 {
			log.Info("known clients restored", "clients", g.Restore(now(), s.Seed, s.Clients), "of", len(s.Clients))
		}
	}
	return d, nil
}

// restock opens the spare descriptors that are missing.
func (d *door) restock() {
	for len(d.spare) < spares {
		f, err := os.Open(os.DevNull)
		if err != nil {
			return
		}
		d.spare = append(d.spare, f)
	}
}

// starved tells the gate that the process has no descriptor left, and gives up the spare ones for what can't wait.
func (d *door) starved(lend bool) {
	d.mu.Lock()
	d.gate.Exhausted(d.now())
	if lend {
		for _, f := range d.spare {
			_ = f.Close()
		}
		d.spare = d.spare[:0]
	}
	d.mu.Unlock()
	d.said.Say(time.Now(), slog.LevelWarn, "exhaustion", "the process has no descriptor left")
}

func noDescriptor(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}

// accept returns the next connection that is let in. The others get their answer here, at the price of some calls
// to the system. Between two of them others get their turn: with one core a flood would else have it for 10 ms
// at a time. That is not enough: as long as anybody can run, the runtime asks what came in from the network (the
// ends of dials, for one) each 10 ms only. So this goroutine rests after some refusals, and a flood is taken in
// turns: what has queued up meanwhile waits for the rest and no longer.
func (d *door) accept(raw syscall.RawConn) (net.Conn, error) {
	for {
		if d.refusedInTurn >= refusals {
			d.refusedInTurn = 0
			d.pause.rest(refusalRest)
		}
		fd, from, err := acceptRaw(raw, true, d.shared)
		switch {
		case errors.Is(err, net.ErrClosed):
			return nil, err
		case noDescriptor(err):
			d.turnAway(raw)
			continue
		case err != nil:
			time.Sleep(gateWait)
			continue
		}
		d.mu.Lock()
		if d.taken != 0 { // nbio could not take the one before in
			d.gate.Closed(d.now(), d.taken)
		}
		var v admission.Verdict
		d.taken, v = d.gate.Accept(d.now(), from)
		d.mu.Unlock()
		if v.OK() {
			c, err := asConn(fd)
			if err == nil {
				nc, err := nbio.NBConn(c)
				if err == nil {
					return nc, nil
				}
				_ = c.Close()
			}
			d.starved(false)
			d.mu.Lock()
			d.gate.Closed(d.now(), d.taken)
			d.taken, v = 0, d.gate.Refusal(d.now(), admission.Exhaustion)
			d.mu.Unlock()
			v.Curt = true // there is no descriptor to wait with
		}
		d.refusedInTurn++
		d.goodBye(fd, from, v)
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

// asConn makes the standard library's connection of a copy of fd, and closes fd if that worked.
func asConn(fd int) (net.Conn, error) {
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

// turnAway answers a connection that the process has no descriptor for: the spare ones make room for it.
func (d *door) turnAway(l syscall.RawConn) {
	d.starved(true)
	fd, from, err := acceptRaw(l, false, d.shared)
	if err == nil {
		d.mu.Lock()
		v := d.gate.Refusal(d.now(), admission.Exhaustion)
		d.mu.Unlock()
		v.Curt = true
		d.goodBye(fd, from, v)
	} else {
		time.Sleep(starvedWait)
	}
	d.mu.Lock()
	d.restock()
	d.mu.Unlock()
}

// goodBye answers, and waits a little for the other side to end, since what it sends to a closed socket would make
// a reset of the answer. No more than GoodByes wait so; the oldest of them gives up its place. Where the verdict is
// curt, what has come already is read away, and that is all.
func (d *door) goodBye(fd int, from netip.Addr, v admission.Verdict) {
	d.said.Say(time.Now(), slog.LevelInfo, v.Reason.String(), "refused", slog.Any("from", from), slog.Duration("after", v.After))
	var line [32]byte
	var junk [4096]byte
	for range goodByeMost / len(junk) {
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
	if v.Curt || d.cfg.GoodByes == 0 {
		_ = syscall.Close(fd)
		return
	}
	_ = syscall.Shutdown(fd, syscall.SHUT_WR)
	c, err := asConn(fd)
	if err != nil {
		_ = syscall.Close(fd)
		return
	}
	d.mu.Lock()
	if len(d.byes) >= d.cfg.GoodByes {
		_ = d.byes[0].Close()
		d.byes = append(d.byes[:0], d.byes[1:]...)
	}
	d.byes = append(d.byes, c)
	d.mu.Unlock()
	_ = c.SetReadDeadline(time.Now().Add(goodByeWait))
	go func() {
		_, _ = io.CopyN(io.Discard, c, goodByeMost)
		d.mu.Lock()
		for i, other := range d.byes {
			if other == c {
				d.byes = append(d.byes[:i], d.byes[i+1:]...)
				break
			}
		}
		_ = c.Close()
		d.mu.Unlock()
	}()
}

// bidding tells that a refused terminal may still have to read its answer.
func (d *door) bidding() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.byes) > 0
}

// close gives up all descriptors. Nobody is accepted any more.
func (d *door) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, f := range d.spare {
		_ = f.Close()
	}
	for _, c := range d.byes {
		_ = c.Close()
	}
	d.spare = nil
	d.pause.close()
}

// ticket is that of the connection which accept returned last; nbio opens it on the same goroutine.
func (d *door) ticket() admission.Ticket {
	d.mu.Lock()
	defer d.mu.Unlock()
	t := d.taken
	d.taken = 0
	return t
}

func (d *door) closed(t admission.Ticket) {
	d.mu.Lock()
	d.gate.Closed(d.now(), t)
	delete(d.doomed, t)
	d.mu.Unlock()
}

func (d *door) answered(t admission.Ticket) {
	d.mu.Lock()
	d.gate.Answered(d.now(), t)
	d.mu.Unlock()
}

func (d *door) stood(t admission.Ticket) {
	d.mu.Lock()
	d.gate.Stood(d.now(), t)
	d.mu.Unlock()
}

func (d *door) bytes(t admission.Ticket, n int) admission.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Bytes(d.now(), t, n)
}

func (d *door) request(t admission.Ticket, o platform.Open) admission.Verdict {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Request(d.now(), t, admission.Who{Key: o.Key, Tenant: o.Tenant})
}

// tick lets the gate's time pass and tells it what the process holds.
func (d *door) tick(probes int, memory int64) (pressed bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.restock()
	d.gate.Fixed(admission.Probe, probes)
	if memory > 0 {
		d.gate.Memory(memory)
	}
	before := d.gate.Level()
	d.gate.Tick(d.now())
	if l := d.gate.Level(); l != before {
		d.said.Say(time.Now(), slog.LevelInfo, "level", "level changed", slog.String("from", before.String()), slog.String("to", l.String()))
	}
	return d.gate.Pressed()
}

// victims are the silent terminals that are to be sent off now. Those that the reducer has not heard of yet are
// kept in mind for accepted.
func (d *door) victims(known func(admission.Ticket) bool, into []admission.Victim) []admission.Victim {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, v := range d.gate.Victims() {
		if known(v.Ticket) {
			into = append(into, v)
		} else {
			d.doomed[v.Ticket] = v
		}
	}
	return into
}

// isDoomed tells whether a terminal that the reducer hears of now was chosen before.
func (d *door) isDoomed(t admission.Ticket) (v admission.Victim, was bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	v, was = d.doomed[t]
	delete(d.doomed, t)
	return v, was
}

func (d *door) limit(descriptors, memoryMB int) {
	d.mu.Lock()
	d.gate.Limit(descriptors, int64(memoryMB)<<20)
	d.mu.Unlock()
}

func (d *door) report() admission.Report {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.gate.Report()
}

// reconfigure takes new settings, whole or not at all. What the tables hold, and where snapshots go, stays.
func (d *door) reconfigure(a Admission) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if a.Snapshot != d.cfg.Snapshot {
		return &CantChange{"admission.reserve.snapshot.path"}
	}
	if err := d.gate.Reconfigure(a.Config); err != nil {
		return err
	}
	d.cfg = a
	d.gate.Fixed(admission.Spare, spares+a.GoodByes)
	return nil
}

// keep writes the snapshot of known clients now and then, until stop is closed, and once more then.
func (d *door) keep(stop <-chan struct{}) {
	if d.cfg.Snapshot == "" {
		return
	}
	tick := time.NewTicker(max(time.Second, d.cfg.SnapshotEvery))
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
		if err := clientstore.Save(d.cfg.Snapshot, clientstore.Snapshot{CreatedAt: time.Now(), Seed: seed, Clients: clients}); err != nil {
			d.said.Say(time.Now(), slog.LevelWarn, "snapshot", "known clients not kept", slog.Any("err", err))
		}
	}
}
