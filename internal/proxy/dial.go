package proxy

import (
	"context"
	"log/slog"
	"net"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

const (
	// dialMargin is by how much a dial outlives the reducer's timeout.
	dialMargin = 50 * time.Millisecond
	// exhaustedRetry is the time between two tries to get a descriptor.
	exhaustedRetry = 3 * time.Millisecond
	// socketBuffer is the size of the system's buffers, in bytes.
	socketBuffer = 64 << 10
)

// dial opens a connection; an event tells what has come of it. The standard library dials and nbio takes the
// connection over: nbio's own DialAsync reads an address's first four bytes, which are zeros in the long form that
// ResolveTCPAddr returns, and so connects to 0.0.0.0.
//
// Where admission is configured, an attempt's descriptor was reserved when its request was taken. Calls to
// discovery are made however few descriptors there are.
func (b *Balancer) dial(conn *connection, addr string, timeout time.Duration) {
	if b.admission == nil && conn.role != watchRole && !b.basicLimits().MayOpen(int(b.sockets.Load())) {
		conn.state = ended // no other goroutine knows it yet
		b.queue.post(event{kind: eventDialFailed, conn: conn})
		return
	}
	b.sockets.Add(1)
	if b.zoneLinks != nil && conn.role == serverRole {
		b.zoneLinks.shapeFromStart(conn)
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	conn.cancel = cancel
	go func() {
		defer b.sockets.Add(-1)
		defer cancel()
		dialed, err := b.dialContext(ctx, conn, addr)
		b.finishDial(conn, dialed, err)
	}()
}

// dialContext dials, and tries again where the process has no descriptor: nothing has left for the server, so it is
// the same attempt still.
func (b *Balancer) dialContext(ctx context.Context, conn *connection, addr string) (net.Conn, error) {
	dialer := net.Dialer{Control: conn.dialControl()}
	dialed, err := dialer.DialContext(ctx, "tcp", addr)
	for err != nil && noDescriptor(err) && b.admission != nil && b.waitForDescriptor(ctx) {
		dialed, err = dialer.DialContext(ctx, "tcp", addr)
	}
	return dialed, err
}

// finishDial hands the dialed connection to nbio, unless the dial was given up meanwhile.
func (b *Balancer) finishDial(conn *connection, dialed net.Conn, err error) {
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if err == nil && conn.state != dialing {
		_ = dialed.Close()
		return
	}
	var polled *nbio.Conn
	if err == nil {
		polled, err = b.toPolled(dialed)
	}
	if err != nil {
		if conn.state == dialing {
			conn.state = ended
			b.queue.post(event{kind: eventDialFailed, conn: conn})
		}
		return
	}
	conn.conn, conn.state = polled, live
	b.attachSession(polled, conn)
	b.queue.post(event{kind: eventConnected, conn: conn})
	_, _ = b.engine.AddConn(polled) // a failure closes it, which onClose reports
}

// toPolled makes nbio's connection of one of the standard library's.
func (b *Balancer) toPolled(dialed net.Conn) (*nbio.Conn, error) {
	polled, err := nbio.NBConn(dialed)
	if err == nil {
		return polled, nil
	}
	_ = dialed.Close()
	if b.admission != nil && noDescriptor(err) {
		b.admission.descriptorsExhausted(true)
	}
	return nil, err
}

// waitForDescriptor tells admission that the process has no descriptor left, and waits for a time in which one may
// be freed. It is false when the dial's own time is over.
func (b *Balancer) waitForDescriptor(ctx context.Context) bool {
	b.admission.descriptorsExhausted(false)
	b.limitedLog.Say(time.Now(), slog.LevelWarn, "dial", "a dial waits for a descriptor")
	select {
	case <-ctx.Done():
		return false
	case <-time.After(exhaustedRetry):
		return true
	}
}

// dialControl returns what sets a small receive buffer, or nil if the connection has none. It has to be set before
// the connection is made: later the other side has been told of a larger one.
func (c *connection) dialControl() func(network, addr string, raw syscall.RawConn) error {
	if c.receiveBuffer == 0 {
		return nil
	}
	return func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, c.receiveBuffer)
		})
	}
}

// receiveBufferSize returns the size of the system's receive buffer, in bytes.
func (c *connection) receiveBufferSize() int {
	if c != nil && c.receiveBuffer > 0 {
		return c.receiveBuffer
	}
	return socketBuffer
}
