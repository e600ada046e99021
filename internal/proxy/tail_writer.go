package proxy

import (
	"net"
	"sync"
	"time"
)

// tailWriter writes to a client that has closed its sending side, for which nbio has no use any more: the socket
// lives on under a second descriptor, served by the standard library, nbio's own fallback.
type tailWriter struct {
	owner          *connection
	conn           net.Conn
	mu             sync.Mutex
	cond           *sync.Cond
	pending        []byte
	closeRequested bool
	resetRequested bool // by RST: a FIN before it would end the connection in good order
}

// handOverToTail moves the socket from nbio to a tail writer, and with it what nbio has not written yet: nbio would
// drop that when it closes its descriptor. It is false if there is no descriptor. Where admission is configured,
// its spare descriptors are for this, since the client's answer depends on it. With mu held.
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

// duplicate returns the socket under a second descriptor, nil if there is none.
func (c *connection) duplicate() (duplicate net.Conn) {
	withDescriptor(c.conn, func(fd int) {
		if conn, err := dupConn(fd); err == nil {
			duplicate = conn
		}
	})
	return duplicate
}

func (t *tailWriter) push(data []byte) {
	t.mu.Lock()
	t.pending = append(t.pending, data...)
	t.mu.Unlock()
	t.cond.Signal()
}

// close ends the writing; the descriptor goes with it, since nothing more can be read either.
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

// run is the tail writer's goroutine. It ends with close, reset, or an error.
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
			_ = t.conn.Close() // nothing is unread: the other side had ended before the tail writer began
			return
		}
	}
}

// next waits for data or an end.
func (t *tailWriter) next() (data []byte, closed, reset bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.pending) == 0 && !t.closeRequested {
		t.cond.Wait()
	}
	data, t.pending = t.pending, nil
	return data, t.closeRequested, t.resetRequested
}

// finish reports the end of the connection.
func (t *tailWriter) finish() {
	t.owner.balancer.sockets.Add(-1)
	if t.owner.ticket != 0 {
		t.owner.balancer.admission.closed(t.owner.ticket)
	}
	t.owner.mu.Lock()
	t.owner.state, t.owner.descriptorFreed = ended, true
	t.owner.mu.Unlock()
}
