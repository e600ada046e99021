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
	// dialMargin is how much longer a dial may run than the reducer's timeout.
	dialMargin = 50 * time.Millisecond
	// descriptorRetryInterval is the interval between two tries while no descriptor is free.
	descriptorRetryInterval = 3 * time.Millisecond
	// socketBuffer is the size of the system's socket buffers, in bytes.
	socketBuffer = 64 << 10
)

// dial opens a connection; an event reports the result. The standard library dials and nbio takes over the
// connection, since nbio's own DialAsync reads the first four bytes of an address, which are zeros in the long form
// that ResolveTCPAddr returns, and would connect to 0.0.0.0.
//
// Where admission is configured, an attempt's descriptor was reserved when its request was accepted. Calls to
// discovery are exempt from the limit of descriptors.
func (b *Balancer) dial(conn *connection, addr string, timeout time.Duration) {
	if b.admission == nil && conn.role != watchRole && !b.basicLimits().MayOpen(int(b.sockets.Load())) {
		conn.state = ended // not shared with another goroutine yet
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

// dialContext dials, and retries while the process has no free descriptor. Nothing has been sent to the server by
// then, so it is still the same attempt.
func (b *Balancer) dialContext(ctx context.Context, conn *connection, addr string) (net.Conn, error) {
	dialer := net.Dialer{Control: conn.dialControl()}
	dialed, err := dialer.DialContext(ctx, "tcp", addr)
	for err != nil && isDescriptorExhaustion(err) && b.admission != nil && b.waitForDescriptor(ctx) {
		dialed, err = dialer.DialContext(ctx, "tcp", addr)
	}
	return dialed, err
}

// finishDial hands the dialed connection to nbio, unless the dial was canceled meanwhile.
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
	_, _ = b.engine.AddConn(polled) // on failure nbio closes it, which onClose reports
}

// toPolled converts a connection of the standard library to one of nbio.
func (b *Balancer) toPolled(dialed net.Conn) (*nbio.Conn, error) {
	polled, err := nbio.NBConn(dialed)
	if err == nil {
		return polled, nil
	}
	_ = dialed.Close()
	if b.admission != nil && isDescriptorExhaustion(err) {
		b.admission.descriptorsExhausted(true)
	}
	return nil, err
}

// waitForDescriptor reports to admission that the process has no descriptor left, and pauses before the next try. It
// returns false when the dial's timeout has expired.
func (b *Balancer) waitForDescriptor(ctx context.Context) bool {
	b.admission.descriptorsExhausted(false)
	b.limitedLog.Say(time.Now(), slog.LevelWarn, "dial", "no free file descriptor, dial will be retried")
	select {
	case <-ctx.Done():
		return false
	case <-time.After(descriptorRetryInterval):
		return true
	}
}

// dialControl returns a function that sets a small receive buffer, or nil if the connection has the default one. It
// must be set before connecting: afterwards a larger window has already been advertised to the peer.
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

// receiveBufferSize returns the size of the connection's receive buffer in the system, in bytes.
func (c *connection) receiveBufferSize() int {
	if c != nil && c.receiveBuffer > 0 {
		return c.receiveBuffer
	}
	return socketBuffer
}
