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

	"oatloft/internal/hint"
	"oatloft/internal/logs"
)

const (
	maxWaitingMessages = 256 // that were received and not handled yet
	maxWaitingSignals  = 64
	listenRetry        = 50 * time.Millisecond
	minTick            = 5 * time.Millisecond
	maxTick            = 50 * time.Millisecond
	ticksPerTimeout    = 60
)

// Host gives a Machine its socket, clock and goroutines: one reads the socket, the other one owns the machine.
type Host struct {
	// Dropped counts datagrams that came faster than one address may send (Flooding) or than they could be handled
	// (Full), messages that could not be sent, and signals that came too fast.
	Dropped struct{ Flooding, Full, Unsent, Signals atomic.Int64 }

	cfg         Config
	conn        atomic.Pointer[net.UDPConn] // nil until the address is free
	machine     *Machine
	startedAt   time.Time
	view        atomic.Pointer[View]
	publishedAt time.Duration // of the view; for the goroutine that owns the machine
	messages    chan Received
	signals     chan SetSignal
	calls       chan func(*Machine)
	leaving     atomic.Bool
	malformed   atomic.Int64 // datagrams
	log         *slog.Logger
	limitedLog  *logs.Limited

	stop       chan struct{}
	closeOnce  sync.Once
	goroutines sync.WaitGroup
}

// ListenFailed is the error that the address cannot be listened on for other balancers.
type ListenFailed struct{ hint.Annotated }

// Start opens the socket and starts a host. It listens on cfg.Addr, unless listen names another address. If wait is
// set and another process has the address, the one of the same balancer before an upgrade, the socket is opened
// once that has left, and the view is stale until then. The error is *ConfigError or *ListenFailed.
func Start(cfg Config, listen string, wait bool, log *slog.Logger) (*Host, error) {
	machine, err := New(cfg)
	if err != nil {
		return nil, err
	}
	if listen == "" {
		listen = cfg.Addr
	}
	addr, err := netip.ParseAddrPort(listen)
	if err != nil || !addr.Addr().Is4() {
		return nil, &ListenFailed{
			hint.Annotated{
				Where: "peers.listen",
				What:  fmt.Sprintf("%q is no IPv4 address and port", listen),
				Do:    "give an address of this machine and a port, such as 10.0.0.4:9200",
			},
		}
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	inUse := err != nil && wait && errors.Is(err, syscall.EADDRINUSE)
	if err != nil && !inUse {
		return nil, &ListenFailed{
			hint.Annotated{Where: "peers.listen", Cause: err, Do: "give an address of this machine and a free port"},
		}
	}
	h := &Host{
		cfg:        cfg,
		machine:    machine,
		startedAt:  time.Now(),
		messages:   make(chan Received, maxWaitingMessages),
		signals:    make(chan SetSignal, maxWaitingSignals),
		calls:      make(chan func(*Machine)),
		stop:       make(chan struct{}),
		log:        log,
		limitedLog: logs.Limit(log, time.Second),
	}
	h.view.Store(&View{Self: machine.self, Stale: true})
	h.conn.Store(conn)
	h.goroutines.Go(func() {
		if !inUse || h.listenLater(addr) {
			h.read()
		}
	})
	h.goroutines.Go(h.run)
	return h, nil
}

// listenLater tries until the address is free, and tells whether it is this process's then; false after Close.
func (h *Host) listenLater(addr netip.AddrPort) bool {
	h.log.Info("peers wait for the process before to leave their address", "addr", addr.String())
	for {
		select {
		case <-h.stop:
			return false
		case <-time.After(listenRetry):
		}
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			continue
		}
		h.conn.Store(conn)
		select {
		case <-h.stop: // Close has not seen the connection
			_ = conn.Close()
			return false
		default:
			return true
		}
	}
}

func (h *Host) now() time.Duration { return time.Since(h.startedAt) }

// View returns what is known. A view that has not been renewed because this process stood still is stale, whatever
// it says: the goroutine that renews it may run later than the one that asks.
func (h *Host) View() View {
	v := *h.view.Load()
	if h.now()-v.At > h.cfg.stallTime() {
		v.Stale = true
	}
	return v
}

// Set sets a signal of this member. It does not wait: where too many signals do, this one is dropped and counted.
func (h *Host) Set(key string, value []byte, lifetime time.Duration) {
	select {
	case h.signals <- SetSignal{Key: key, Value: value, Lifetime: lifetime}:
	default:
		h.Dropped.Signals.Add(1)
	}
}

// Leave tells the others that this member leaves, or stays after all. It does not wait, and the last call counts.
func (h *Host) Leave(on bool) { h.leaving.Store(on) }

// Counts returns the counters. It waits for the goroutine that owns the machine.
func (h *Host) Counts() (c Counters) {
	h.call(func(m *Machine) { c = m.Counters })
	c.Malformed += h.malformed.Load()
	return c
}

// call runs f on the goroutine that owns the machine, and waits for it; after Close it does nothing.
func (h *Host) call(f func(*Machine)) {
	done := make(chan struct{})
	select {
	case h.calls <- func(m *Machine) { f(m); close(done) }:
		<-done
	case <-h.stop:
	}
}

// Close ends the host and waits for its goroutines.
func (h *Host) Close() {
	h.closeOnce.Do(func() { close(h.stop) })
	if conn := h.conn.Load(); conn != nil {
		_ = conn.Close()
	}
	h.goroutines.Wait()
}

// run owns the machine.
func (h *Host) run() {
	tick := time.NewTicker(min(max(h.cfg.PeerTimeout/ticksPerTimeout, minTick), maxTick))
	defer tick.Stop()
	for {
		select {
		case <-h.stop:
			return
		case r := <-h.messages:
			h.step(r)
		case s := <-h.signals:
			h.step(s)
		case f := <-h.calls:
			f(h.machine)
		case <-tick.C:
			h.step(Leave{On: h.leaving.Load()}) // does nothing if it is the machine's state already
			h.step(Tick{})
		}
		h.publish()
	}
}

// publish renews the view now and then, and at once when it becomes stale or good. Without a socket the first view
// stands, which is stale.
func (h *Host) publish() {
	if h.conn.Load() == nil {
		return
	}
	now := h.now()
	recent := h.publishedAt > 0 && now-h.publishedAt < h.cfg.gossipInterval()/2
	if recent && h.machine.stall.stale == h.view.Load().Stale {
		return
	}
	v := h.machine.View()
	h.view.Store(&v)
	h.publishedAt = now
	h.limitedLog.Flush(time.Now())
}

// step lets the machine take an event, and carries out what it calls for.
func (h *Host) step(event Event) {
	for _, effect := range h.machine.Step(h.now(), event, nil) {
		switch effect := effect.(type) {
		case Send:
			h.send(effect)
		case Changed:
			h.log.Info("peer", "name", effect.Name, "state", effect.State.String(), "was", effect.Before.String(),
				"generation", effect.Generation, "why", effect.Reason)
		case ViewStale:
			h.log.Warn("the view of other balancers is old", "on", effect.On)
		}
	}
}

// send sends a message. One that cannot be sent is counted; the machine's protocol makes up for loss.
func (h *Host) send(e Send) {
	to, err := netip.ParseAddrPort(e.To)
	if err != nil || !to.Addr().Is4() {
		h.Dropped.Unsent.Add(1)
		return
	}
	packet, err := Encode(e.Message)
	if err != nil {
		h.Dropped.Unsent.Add(1)
		h.limitedLog.Say(time.Now(), slog.LevelError, "peers-encode", "a message that can't be sent", slog.Any("err", err))
		return
	}
	h.machine.Counters.BytesOut += int64(len(packet))
	conn := h.conn.Load()
	if conn == nil {
		h.Dropped.Unsent.Add(1)
		return
	}
	if _, err := conn.WriteToUDPAddrPort(packet, to); err != nil {
		h.Dropped.Unsent.Add(1)
	}
}
