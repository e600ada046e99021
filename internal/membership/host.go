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
	maxWaitingMessages  = 256 // received messages that wait for the machine
	maxWaitingSignals   = 64  // set signals that wait for the machine
	listenRetryInterval = 50 * time.Millisecond
	minTick             = 5 * time.Millisecond
	maxTick             = 50 * time.Millisecond
	ticksPerTimeout     = 60 // ticks per PeerTimeout, within minTick and maxTick
)

// Host runs a Machine on a UDP socket. One goroutine reads the socket, the other one owns the machine.
type Host struct {
	// Dropped counts datagrams beyond the rate limit of their source address (Flooding), datagrams that found the queue
	// full (Full), messages that could not be sent (Unsent), and own signals that found the queue full (Signals).
	Dropped struct{ Flooding, Full, Unsent, Signals atomic.Int64 }

	cfg         Config
	conn        atomic.Pointer[net.UDPConn] // nil until the address is available
	machine     *Machine
	startedAt   time.Time
	view        atomic.Pointer[View]
	publishedAt time.Duration // of the view; used only by the goroutine that owns the machine
	messages    chan Received
	signals     chan SetSignal
	calls       chan func(*Machine)
	leaving     atomic.Bool
	malformed   atomic.Int64 // datagrams that could not be decoded
	log         *slog.Logger
	limitedLog  *logs.Limited

	stop       chan struct{}
	closeOnce  sync.Once
	goroutines sync.WaitGroup
}

// ListenFailed is returned when the address for messages of other balancers cannot be listened on.
type ListenFailed struct{ hint.Annotated }

// Start opens the socket and starts a host. It listens on listen, or on cfg.Addr if listen is empty. If wait is set and
// the address is in use, as by the predecessor during an upgrade, the socket is opened once the address is available,
// and the view is stale until then. The error is *ConfigError or *ListenFailed.
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
				What:  fmt.Sprintf("%q is not an IPv4 address and port", listen),
				Do:    "set an address of this machine and a port, such as 10.0.0.4:9200",
			},
		}
	}
	conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
	inUse := err != nil && wait && errors.Is(err, syscall.EADDRINUSE)
	if err != nil && !inUse {
		return nil, &ListenFailed{
			hint.Annotated{Where: "peers.listen", Cause: err, Do: "set an address of this machine and a free port"},
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
		if !inUse || h.listenWhenFree(addr) {
			h.read()
		}
	})
	h.goroutines.Go(h.run)
	return h, nil
}

// listenWhenFree retries until it can listen on the address. It returns false if the host is closed first.
func (h *Host) listenWhenFree(addr netip.AddrPort) bool {
	h.log.Info("waiting for the predecessor to release the peers address", "addr", addr.String())
	for {
		select {
		case <-h.stop:
			return false
		case <-time.After(listenRetryInterval):
		}
		conn, err := net.ListenUDP("udp4", net.UDPAddrFromAddrPort(addr))
		if err != nil {
			continue
		}
		h.conn.Store(conn)
		select {
		case <-h.stop: // Close may have run before the connection was stored
			_ = conn.Close()
			return false
		default:
			return true
		}
	}
}

func (h *Host) now() time.Duration { return time.Since(h.startedAt) }

// View returns the latest published view. One older than the stall time is marked stale: after this process has not run
// for a while, the caller may run before the goroutine that publishes views.
func (h *Host) View() View {
	v := *h.view.Load()
	if h.now()-v.At > h.cfg.stallTime() {
		v.Stale = true
	}
	return v
}

// Set sets a signal of this member. It does not block: if the queue is full, the signal is dropped and counted.
func (h *Host) Set(key string, value []byte, lifetime time.Duration) {
	select {
	case h.signals <- SetSignal{Key: key, Value: value, Lifetime: lifetime}:
	default:
		h.Dropped.Signals.Add(1)
	}
}

// Leave announces that this member is leaving, or that it stays after all. It does not block, and the last call wins.
func (h *Host) Leave(on bool) { h.leaving.Store(on) }

// Counts returns the counters. It blocks until the goroutine that owns the machine answers.
func (h *Host) Counts() (c Counters) {
	h.call(func(m *Machine) { c = m.Counters })
	c.Malformed += h.malformed.Load()
	return c
}

// call runs f on the goroutine that owns the machine and waits for it to return. After Close it does nothing.
func (h *Host) call(f func(*Machine)) {
	done := make(chan struct{})
	select {
	case h.calls <- func(m *Machine) { f(m); close(done) }:
		<-done
	case <-h.stop:
	}
}

// Close stops the host and waits for its goroutines.
func (h *Host) Close() {
	h.closeOnce.Do(func() { close(h.stop) })
	if conn := h.conn.Load(); conn != nil {
		_ = conn.Close()
	}
	h.goroutines.Wait()
}

// run passes events to the machine, which it owns, until Close.
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
			h.step(Leave{On: h.leaving.Load()}) // no effect if the state is unchanged
			h.step(Tick{})
		}
		h.publish()
	}
}

// publish replaces the view at most every half gossip interval, and at once when its staleness changes. Until there is
// a socket, the initial stale view remains.
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

// step passes an event to the machine and carries out the effects.
func (h *Host) step(event Event) {
	for _, effect := range h.machine.Step(h.now(), event, nil) {
		switch effect := effect.(type) {
		case Send:
			h.send(effect)
		case MemberChanged:
			h.log.Info("peer", "name", effect.Name, "state", effect.State.String(), "was", effect.Before.String(),
				"generation", effect.Generation, "why", effect.Reason)
		case ViewStale:
			h.log.Warn("staleness of the view of other balancers has changed", "on", effect.On)
		}
	}
}

// send sends a message. A failure is only counted, because the protocol tolerates loss.
func (h *Host) send(e Send) {
	to, err := netip.ParseAddrPort(e.To)
	if err != nil || !to.Addr().Is4() {
		h.Dropped.Unsent.Add(1)
		return
	}
	packet, err := Encode(e.Message)
	if err != nil {
		h.Dropped.Unsent.Add(1)
		h.limitedLog.Say(time.Now(), slog.LevelError, "peers-encode", "cannot encode a message", slog.Any("err", err))
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
