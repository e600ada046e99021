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
	idleTimeout  = 500 * time.Millisecond // for clients that have got everything: they have to read it, and to end
	maxAdoptions = 256                    // connections of the listener's queue at a time, before other events
)

// closing bounds the last phase of a balancer.
type closing struct {
	idleDeadline time.Time // clients that only have to end are waited for until then
	deadline     time.Time // the loop ends then, whatever is left
}

// beginShutdown begins the shutdown. A listener that is the platform's is closed at once: what waits in its queue,
// or comes, is for the process that follows.
func (b *Balancer) beginShutdown() {
	b.serving = false
	if b.inherited != nil {
		_ = b.listener.Close()
	}
	b.step(core.ShutdownRequested{HandedOver: b.inherited != nil})
	b.writeForSuccessor()
	b.announceLeaving()
}

// beginClosing begins the last phase: no client waits for an answer, and no request is taken any more. deadline is
// by the balancer's clock.
func (b *Balancer) beginClosing(deadline time.Duration) {
	b.exiting = true
	b.closing = closing{
		idleDeadline: time.Now().Add(idleTimeout + b.testSlack),
		deadline:     b.cfg.StartOfClock.Add(deadline + b.testSlack),
	}
	b.closeListener()
}

// closeListener closes the listener once its queue is empty: the system would reset the connections in it, and with
// them requests that were sent. If they are too many, or descriptors too few, the rest follows at the next tick.
func (b *Balancer) closeListener() {
	if b.acceptLoop.closed.Load() || b.inherited == nil && !b.acceptQueued() {
		return
	}
	_ = b.listener.Close()
}

// acceptQueued accepts the connections in the listener's queue, to be rejected as all that come now. It is false if
// some are left.
func (b *Balancer) acceptQueued() bool {
	raw, ok := rawListener(b.listener)
	if !ok {
		return true
	}
	for range maxAdoptions {
		fd, err := acceptNow(raw)
		switch {
		case err == nil:
			b.adopt(fd)
		case errors.Is(err, syscall.ECONNABORTED):
		default:
			return !noDescriptor(err)
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

// acceptNow accepts a connection that waits, if there is one. The accept loop may wait for one meanwhile.
func acceptNow(listener syscall.RawConn) (fd int, err error) {
	closed := listener.Control(func(s uintptr) { fd, _, err = accept4(int(s)) })
	if closed != nil {
		return 0, net.ErrClosed
	}
	return fd, err
}

// adopt has a connection served like one that nbio's accept loop has accepted.
func (b *Balancer) adopt(fd int) {
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
	_, _ = b.engine.AddConn(polled) // a failure closes it, which onClose reports
}

// rejectRaw answers a connection for which there is no second descriptor. What has come is read first, so that
// closing does not turn the answer into a reset.
func rejectRaw(fd int) {
	var buffer [readSize]byte
	for range maxDiscarded / readSize {
		if n, err := syscall.Read(fd, buffer[:]); n <= 0 || err != nil {
			break
		}
	}
	_, _ = syscall.Write(fd, platform.AppendShort(nil, 0))
}

// mayExit tells whether the loop may end: all clients that were accepted have got everything, or the time is over.
func (b *Balancer) mayExit(now time.Time) bool {
	switch {
	case !b.exiting:
		return false
	case now.After(b.closing.deadline):
		return true
	case !b.acceptLoop.hasEnded(), !b.queue.empty(): // a connection may have been accepted that the loop does not know
		return false
	case len(b.migrating) > 0, b.admission != nil && b.admission.hasGoodbyes():
		return false
	}
	for conn := range b.finishing {
		if now.Before(b.closing.idleDeadline) || conn.backlog() > 0 {
			return false
		}
	}
	return true
}

// Close releases what Run leaves to the end of the process: sockets, and the goroutines that serve them. A program
// that goes on after Run calls it; what clients have not received then is lost.
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
	dropWatch(&b.watch)
	dropWatch(&b.previousWatch)
	b.engine.Stop()
	if b.admission != nil {
		b.admission.close()
	}
}
