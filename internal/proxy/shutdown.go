package proxy

import (
	"errors"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"oatloft/internal/core"
	"oatloft/internal/platform"
)

const (
	idleTimeout       = 500 * time.Millisecond // for answered clients to read their answers and close
	maxAcceptsPerTick = 256                    // connections taken from the listener's queue per tick
)

// closing holds the deadlines of the last phase of a balancer's shutdown.
type closing struct {
	idleDeadline time.Time // until then, clients that only have to close are waited for
	deadline     time.Time // the loop ends then unconditionally
}

// beginShutdown starts the shutdown. An inherited listener is closed immediately: connections in its queue and later
// ones are left to the successor process.
func (b *Balancer) beginShutdown() {
	b.serving = false
	if b.inherited != nil {
		_ = b.listener.Close()
	}
	b.step(core.ShutdownRequested{HandedOver: b.inherited != nil})
	b.writeForSuccessor()
	b.announceLeaving()
}

// beginClosing starts the last phase: no client waits for an answer, and no request is admitted any more. deadline is
// a time of the balancer's clock.
func (b *Balancer) beginClosing(deadline time.Duration) {
	b.exiting = true
	b.closing = closing{
		idleDeadline: time.Now().Add(idleTimeout + b.testSlack),
		deadline:     b.cfg.ClockOrigin.Add(deadline + b.testSlack),
	}
	b.closeListener()
}

// closeListener closes the listener once its queue is empty: the system would reset queued connections, whose requests
// may have been sent already. If connections are left, because there are too many or descriptors are exhausted, it
// tries again at the next tick.
func (b *Balancer) closeListener() {
	if b.acceptLoop.closed.Load() || b.inherited == nil && !b.acceptQueued() {
		return
	}
	_ = b.listener.Close()
}

// acceptQueued accepts the connections in the listener's queue, which are rejected like all new connections in this
// phase. It reports false if connections may be left.
func (b *Balancer) acceptQueued() bool {
	raw, ok := rawListener(b.listener)
	if !ok {
		return true
	}
	for range maxAcceptsPerTick {
		fd, err := acceptNow(raw)
		switch {
		case err == nil:
			b.addAccepted(fd)
		case errors.Is(err, syscall.ECONNABORTED):
		default:
			return !isDescriptorExhaustion(err)
		}
	}
	return false
}

func rawListener(listener net.Listener) (raw syscall.RawConn, ok bool) {
	l, ok := listener.(clientListener)
	if !ok {
		return nil, false
	}
	conn, ok := l.Listener.(syscall.Conn)
	if !ok {
		return nil, false
	}
	raw, err := conn.SyscallConn()
	return raw, err == nil
}

// acceptNow accepts a queued connection, if there is one, without blocking. The accept loop may be waiting on the same
// listener.
func acceptNow(listener syscall.RawConn) (fd int, err error) {
	closed := listener.Control(func(s uintptr) { fd, _, err = accept4(int(s)) })
	if closed != nil {
		return 0, net.ErrClosed
	}
	return fd, err
}

// addAccepted passes a connection to nbio as if nbio's accept loop had accepted it.
func (b *Balancer) addAccepted(fd int) {
	conn, err := newConn(fd)
	if err != nil {
		rejectRaw(fd)
		_ = syscall.Close(fd)
		return
	}
	polled, err := nbio.NBConn(conn)
	if err != nil {
		if tcp, ok := conn.(syscall.Conn); ok {
			if raw, err := tcp.SyscallConn(); err == nil {
				_ = raw.Control(func(fd uintptr) { rejectRaw(int(fd)) })
			}
		}
		_ = conn.Close()
		return
	}
	c := &connection{balancer: b, role: clientRole, conn: polled, state: live, remoteAddr: polled.RemoteAddr()}
	b.attachSession(polled, c)
	b.queue.post(event{kind: eventAccepted, conn: c})
	_, _ = b.engine.AddConn(polled) // on failure nbio closes it, and onClose posts the end
}

// rejectRaw answers a connection for which no second descriptor is available. Received bytes are discarded first, since
// closing a socket with unread bytes would reset the connection and could destroy the answer.
func rejectRaw(fd int) {
	var buffer [readSize]byte
	for range maxDiscarded / readSize {
		if n, err := syscall.Read(fd, buffer[:]); n <= 0 || err != nil {
			break
		}
	}
	_, _ = syscall.Write(fd, platform.AppendRejection(nil, 0))
}

// mayExit reports whether the loop may end: all accepted clients have received everything, or the deadline has passed.
func (b *Balancer) mayExit(now time.Time) bool {
	switch {
	case !b.exiting:
		return false
	case now.After(b.closing.deadline):
		return true
	case !b.acceptLoop.hasEnded(), !b.queue.empty(): // the loop may not know all accepted connections yet
		return false
	case len(b.migrating) > 0, b.admission != nil && b.admission.hasLingering():
		return false
	}
	for conn := range b.finishing {
		if now.Before(b.closing.idleDeadline) || conn.backlog() > 0 {
			return false
		}
	}
	return true
}

// Close releases the sockets and goroutines that Run leaves open for the end of the process. Programs that continue
// after Run must call it; data that clients have not received by then is lost.
func (b *Balancer) Close() {
	_ = b.listener.Close()
	for _, c := range b.clients {
		if c.server != nil {
			c.server.drop()
		}
		c.conn.reset()
	}
	for conn := range b.finishing {
		conn.reset()
	}
	for _, p := range b.probes {
		if p.conn != nil {
			p.conn.drop()
		}
	}
	b.stopWatch()
	dropWatch(&b.previousWatch)
	b.engine.Stop()
	if b.admission != nil {
		b.admission.close()
	}
}
