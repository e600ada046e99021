package membership

import (
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/time/rate"

	"oatloft/internal/hint"
	"oatloft/internal/logs"
)

const (
	waiting    = 256 // datagrams that wait for their turn
	setWaiting = 64  // signals that wait
	perSecond  = 100 // datagrams taken from one address: three times what a member's probes, news and answers come to ...
	atOnce     = 300 // ... and of the answer to a Sync, which comes at once
	sources    = 4096
	openAgain  = 50 * time.Millisecond
)

// Host gives a Machine its socket, clock and goroutine.
type Host struct {
	// Dropped counts datagrams that came faster than one address may send (Flooding), or than they could be taken.
	Dropped struct{ Flooding, Full, Unsent, Signals atomic.Int64 }

	cfg   Config
	conn  atomic.Pointer[net.UDPConn]
	m     *Machine
	zero  time.Time
	view  atomic.Pointer[View]
	in    chan Received
	sets  chan SetSignal
	asks  chan func(*Machine)
	stop  chan struct{}
	wait  sync.WaitGroup
	once  sync.Once
	log   *slog.Logger
	said  *logs.Limited
	wrong atomic.Int64

	leaving atomic.Bool
}

// Start opens the socket and begins. Addr in cfg is where it listens, unless listen names another address. Where wait is
// set and another process has the address, that of the same balancer before an upgrade, it is opened once that has left;
// the view is old until then.
func Start(cfg Config, listen string, wait bool, log *slog.Logger) (*Host, error) {
	m, err := New(cfg)
	if err != nil {
		return nil, err
	}
	if listen == "" {
		listen = cfg.Addr
	}
	at, err := netip.ParseAddrPort(listen)
	if err != nil || !at.Addr().Is4() {
		return nil, &NoAddress{hint.Annotated{Where: "peers.listen", What: fmt.Sprintf("%q is no IPv4 address and port", listen), Do: "give an address of this machine and a port, such as 10.0.0.4:9200"}}
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at))
	taken := err != nil && wait && errors.Is(err, syscall.EADDRINUSE)
	if err != nil && !taken {
		return nil, &NoAddress{hint.Annotated{Where: "peers.listen", Cause: err, Do: "give an address of this machine and a free port"}}
	}
	h := &Host{cfg: cfg, m: m, zero: time.Now(), in: make(chan Received, waiting), sets: make(chan SetSignal, setWaiting),
		asks: make(chan func(*Machine)), stop: make(chan struct{}), log: log, said: logs.Limit(log, time.Second)}
	h.view.Store(&View{Self: m.self, Old: true})
	h.conn.Store(conn)
	h.wait.Add(2)
	go func() {
		defer h.wait.Done()
		if !taken || h.open(at) {
			h.read()
		}
	}()
	go h.run()
	return h, nil
}

// open tries until the address is free, and tells whether it is this process's now.
func (h *Host) open(at netip.AddrPort) bool {
	h.log.Info("peers wait for the process before to leave their address", "addr", at.String())
	for {
		select {
		case <-h.stop:
			return false
		case <-time.After(openAgain):
		}
		if conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(at)); err == nil {
			h.conn.Store(conn)
			select {
			case <-h.stop: // closed before it was there to be closed
				_ = conn.Close()
				return false
			default:
				return true
			}
		}
	}
}

func (h *Host) now() time.Duration { return time.Since(h.zero) }

// View is what is known. A view that was not renewed, since this process stood still, is old whatever it says: the
// goroutine that renews it may run later than the one that asks.
func (h *Host) View() View {
	v := *h.view.Load()
	if h.now()-v.At > h.cfg.gap() {
		v.Old = true
	}
	return v
}

// Set gives a signal of this member. It never waits: where too many do, this one is dropped and counted.
func (h *Host) Set(key string, value []byte, life time.Duration) {
	select {
	case h.sets <- SetSignal{Key: key, Value: value, Life: life}:
	default:
		h.Dropped.Signals.Add(1)
	}
}

// Leave tells the others that this member leaves, or stays after all. It never waits, and the last word counts.
func (h *Host) Leave(on bool) { h.leaving.Store(on) }

// Counts are the counters so far; it waits for the goroutine's next turn.
func (h *Host) Counts() (c Counters) {
	h.ask(func(m *Machine) { c = m.Counters })
	c.Malformed += h.wrong.Load()
	return c
}

func (h *Host) ask(f func(*Machine)) {
	done := make(chan struct{})
	select {
	case h.asks <- func(m *Machine) { f(m); close(done) }:
		<-done
	case <-h.stop:
	}
}

// Close ends it.
func (h *Host) Close() {
	h.once.Do(func() { close(h.stop) })
	if conn := h.conn.Load(); conn != nil {
		_ = conn.Close()
	}
	h.wait.Wait()
}

// read takes datagrams as fast as they come, and passes on no more than may be: whoever floods harms itself only.
func (h *Host) read() {
	conn := h.conn.Load()
	buf := make([]byte, MaxPacket+1) // a longer one is cut by the system, and seen to be too long
	limits := map[netip.AddrPort]*rate.Limiter{}
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buf)
		if err != nil {
			select {
			case <-h.stop:
				return
			default: // an ICMP error of something sent before: the socket goes on
				time.Sleep(time.Millisecond)
				continue
			}
		}
		l := limits[from]
		if l == nil {
			if len(limits) >= sources { // forged ones, most likely: begin anew
				clear(limits)
			}
			l = rate.NewLimiter(perSecond, atOnce)
			limits[from] = l
		}
		if !l.Allow() {
			h.Dropped.Flooding.Add(1)
			continue
		}
		g, err := Decode(buf[:n])
		if err != nil {
			h.wrong.Add(1)
			h.said.Say(time.Now(), slog.LevelWarn, "peers-malformed", "a datagram that is no message", slog.String("from", from.String()), slog.Any("err", err))
			continue
		}
		select {
		case h.in <- Received{Message: g, Size: n}:
		default:
			h.Dropped.Full.Add(1)
		}
	}
}

func (h *Host) run() {
	defer h.wait.Done()
	tick := time.NewTicker(min(max(h.cfg.SilentAfter/60, 5*time.Millisecond), 50*time.Millisecond))
	defer tick.Stop()
	published := time.Duration(-1)
	for {
		select {
		case <-h.stop:
			return
		case r := <-h.in:
			h.step(r)
		case s := <-h.sets:
			h.step(s)
		case f := <-h.asks:
			f(h.m)
		case <-tick.C:
			h.step(Leave{On: h.leaving.Load()}) // nothing where it is said already
			h.step(Tick{})
		}
		if h.conn.Load() == nil {
			continue // nobody can hear it: the view stays old
		}
		if now := h.now(); published < 0 || now-published >= h.cfg.gossipEvery()/2 || h.m.old != h.view.Load().Old {
			v := h.m.View()
			h.view.Store(&v)
			published = now
			h.said.Flush(time.Now())
		}
	}
}

func (h *Host) step(ev Event) {
	for _, e := range h.m.Step(h.now(), ev, nil) {
		switch e := e.(type) {
		case Send:
			h.send(e)
		case Changed:
			h.log.Info("peer", "name", e.Name, "state", e.State.String(), "was", e.Was.String(), "generation", e.Generation, "why", e.Reason)
		case Aged:
			h.log.Warn("the view of other balancers is old", "on", e.On)
		}
	}
}

func (h *Host) send(e Send) {
	to, err := netip.ParseAddrPort(e.To)
	if err != nil || !to.Addr().Is4() {
		h.Dropped.Unsent.Add(1)
		return
	}
	b, err := Encode(e.Message)
	if err != nil {
		h.Dropped.Unsent.Add(1)
		h.said.Say(time.Now(), slog.LevelError, "peers-encode", "a message that can't be sent", slog.Any("err", err))
		return
	}
	h.m.Counters.BytesOut += int64(len(b))
	conn := h.conn.Load()
	if conn == nil {
		h.Dropped.Unsent.Add(1)
		return
	}
	if _, err := conn.WriteToUDPAddrPort(b, to); err != nil {
		h.Dropped.Unsent.Add(1)
	}
}

// NoAddress is an address on which other balancers can't be listened for.
type NoAddress struct{ hint.Annotated }
