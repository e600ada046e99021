package proxy

import (
	"syscall"
	"time"
)

// finishTimeout is how long a connection waits for the other side's end once everything has been written.
const finishTimeout = time.Second

// fin sends FIN after what is buffered. With last, nothing more is taken from the other side either.
func (c *connection) fin(last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != live {
		if c.state == dialing {
			c.state = ended
			c.cancel()
		}
		return
	}
	c.finPending = true
	if last {
		c.startFinishing()
	}
	if c.flushed() {
		c.sendFin()
	} else if last {
		c.forceCloseAt = time.Now().Add(peerReadTimeout)
	}
	if last && c.conn != nil && (c.paused || c.starved || c.waitsIn != nil) { // what was left in the socket has to be read
		c.read(false)
	}
}

// startFinishing begins to read and drop what still comes. With mu held.
func (c *connection) startFinishing() {
	c.endedData = nil
	c.state = finishing
	c.finishedAt = time.Now()
	c.forceCloseAt = c.finishedAt.Add(finishTimeout + c.balancer.testSlack)
	c.writtenAtLook = c.written.Load()
	c.balancer.finishing[c] = struct{}{}
}

func (c *connection) sendFin() {
	if c.tail != nil {
		c.tail.close()
		return
	}
	withDescriptor(c.conn, func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) })
}

// onFlushed sends the FIN that has waited for the last byte.
func (c *connection) onFlushed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finPending && (c.state == live || c.state == finishing) {
		c.sendFin()
	}
}

// drop ends the connection at once, and what is buffered with it. The poller closes the descriptor when it meets
// the end that this makes.
func (c *connection) drop() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedData = nil
	switch {
	case c.state == dialing:
		c.state = ended
		c.cancel()
	case c.state == ended:
	case c.tail != nil:
		c.state = ended
		c.tail.close()
	default:
		c.state, c.shutDown = finishing, true
		c.shutBoth()
	}
}

// shutBoth lets neither side say more. That is an event for the poller, which closes the descriptor; nobody else
// may touch the descriptor from here on, since its number can be a new connection's at any time.
func (c *connection) shutBoth() {
	withDescriptor(c.conn, func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_RDWR) })
}

// reset ends the connection with RST: the poller closes the descriptor, and nothing lingers. What wakes the poller
// is the end of reading, which sends nothing by itself. Connecting to no address would send RST at once, but not
// every network knows that call (EAFNOSUPPORT), and then the other side would never learn of the end.
func (c *connection) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.endedData = nil
	switch {
	case c.state == dialing:
		c.cancel()
	case c.state == ended:
	case c.tail != nil:
		c.tail.reset()
	default:
		withDescriptor(c.conn, func(fd int) {
			linger := &syscall.Linger{Onoff: 1}
			_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, linger)
			_ = syscall.Shutdown(fd, syscall.SHUT_RD)
		})
	}
	c.state = ended
}

// forceClose ends a connection that finishes and whose other side does not end. What that has sent is no longer
// read, so that closing resets the connection: the other side may wait for room that nobody will make.
func (c *connection) forceClose() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != finishing || c.shutDown {
		return
	}
	c.state = ended
	if c.tail != nil {
		c.tail.reset()
	} else {
		c.shutBoth()
	}
}

func (c *connection) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == ended
}

// isDescriptorFreed tells whether the descriptor of a connection that has finished is free again.
func (c *connection) isDescriptorFreed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.descriptorFreed
}
