package proxy

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// tailWriter writes to a client that has closed its sending side, whose connection nbio closes. The socket stays open
// under a second descriptor, served by the standard library, which is also nbio's own fallback.
type tailWriter struct {
	owner          *connection
	conn           net.Conn
	unread         bool // the socket has bytes that are still to be forwarded, or the end; guarded by the owner's mu
	mu             sync.Mutex
	cond           *sync.Cond
	pending        []byte
	closeRequested bool
	resetRequested bool // close with RST; a FIN before it would end the connection gracefully
}

// handOverToTail moves the socket from nbio to a tail writer, including the bytes that nbio has not written yet: nbio
// discards them when it closes its descriptor. It reports false if no descriptor is available. If admission is
// configured, its spare descriptors are used, since the client's answer depends on this. The caller holds mu.
func (c *connection) handOverToTail() bool {
	duplicate := c.duplicate()
	if duplicate == nil && c.balancer.admission != nil {
		c.balancer.admission.descriptorsExhausted(true)
		duplicate = c.duplicate()
	}
	if duplicate == nil {
		return false
	}
	c.tail = &tailWriter{owner: c, conn: duplicate}
	c.tail.cond = sync.NewCond(&c.tail.mu)
	c.tail.pending = c.unwritten[len(c.unwritten)-min(len(c.unwritten), int(c.backlog())):]
	c.unwritten = nil
	c.balancer.sockets.Add(1)
	go c.tail.run()
	polled := c.conn
	c.conn = nil
	removeFromEpoll(polled)
	_ = polled.Close()
	return true
}

// duplicate returns a connection on a second descriptor of the socket, or nil if no descriptor is available.
func (c *connection) duplicate() (duplicate net.Conn) {
	withDescriptor(c.conn, func(fd int) {
		if conn, err := dupConn(fd); err == nil {
			duplicate = conn
		}
	})
	return duplicate
}

// withDescriptor calls do with the socket's descriptor. The error means that the socket is closed.
func (t *tailWriter) withDescriptor(do func(fd int)) error {
	socket, ok := t.conn.(syscall.Conn)
	if !ok {
		return net.ErrClosed
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { do(int(fd)) })
}

// wasReset reports whether the client has reset the connection.
func (t *tailWriter) wasReset() (reset bool) {
	err := t.withDescriptor(func(fd int) { reset = tcpStateOf(fd) == tcpClose })
	return reset || err != nil
}

// readNow reads bytes that the socket holds. Since the client had closed its sending side before the hand-over, all
// that it sent is there, and 0 bytes without an error are its end.
func (t *tailWriter) readNow(buf []byte) (n int, err error) {
	closed := t.withDescriptor(func(fd int) {
		for {
			n, err = syscall.Read(fd, buf)
			if !errors.Is(err, syscall.EINTR) {
				return
			}
		}
	})
	return n, errors.Join(err, closed)
}

// discardUnread reads what is left in the socket: closing it with unread bytes would reset the connection, and the last
// bytes sent to the client could be lost.
func (t *tailWriter) discardUnread() {
	buf := buffers.Get().(*[]byte)
	defer releaseBuffer(buf)
	for {
		if n, err := t.readNow(*buf); n <= 0 || err != nil {
			return
		}
	}
}

func (t *tailWriter) push(data []byte) {
	t.mu.Lock()
	t.pending = append(t.pending, data...)
	t.mu.Unlock()
	t.cond.Signal()
}

// close ends writing after the pending bytes and closes the descriptor, since nothing more can be read either.
func (t *tailWriter) close() {
	t.mu.Lock()
	t.closeRequested = true
	t.mu.Unlock()
	t.cond.Signal()
}

func (t *tailWriter) reset() {
	if tcp, ok := t.conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = t.conn.SetWriteDeadline(time.Now())
	t.mu.Lock()
	t.resetRequested = true
	t.mu.Unlock()
	t.close()
}

// run is the tail writer's goroutine. It ends after close, reset or a write error.
func (t *tailWriter) run() {
	defer t.finish()
	for {
		data, closed, reset := t.next()
		if len(data) > 0 && !reset {
			n, err := t.conn.Write(data)
			t.owner.wrote(n)
			if err != nil {
				t.owner.balancer.queue.post(event{kind: eventReset, conn: t.owner})
				_ = t.conn.Close()
				return
			}
			continue
		}
		if closed {
			if tcp, ok := t.conn.(*net.TCPConn); ok && !reset {
				_ = tcp.CloseWrite()
			}
			if !reset {
				t.discardUnread()
			}
			_ = t.conn.Close()
			return
		}
	}
}

// next waits for pending data or a request to close.
func (t *tailWriter) next() (data []byte, closed, reset bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.pending) == 0 && !t.closeRequested {
		t.cond.Wait()
	}
	data, t.pending = t.pending, nil
	return data, t.closeRequested, t.resetRequested
}

// finish records the end of the connection and releases its descriptor.
func (t *tailWriter) finish() {
	t.owner.balancer.sockets.Add(-1)
	if t.owner.ticket != 0 {
		t.owner.balancer.admission.closed(t.owner.ticket)
	}
	t.owner.mu.Lock()
	t.owner.state, t.owner.descriptorFreed = ended, true
	t.owner.mu.Unlock()
}
