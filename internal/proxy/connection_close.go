package proxy

import (
	"syscall"
	"time"
)

// finishTimeout is how long a connection waits for the peer to close once everything has been written.
const finishTimeout = time.Second

// fin sends FIN after the buffered bytes. With last, bytes received from then on are discarded.
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
	// drain what was left in the socket
	if last && c.conn != nil && (c.paused || c.readDeferred || c.waitingQueue != nil) {
		c.read(false)
	}
}

// startFinishing begins to discard received bytes. The caller holds mu.
func (c *connection) startFinishing() {
	c.endedData = nil
	c.state = finishing
	c.finishedAt = time.Now()
	c.forceCloseAt = c.finishedAt.Add(finishTimeout + c.balancer.testSlack)
	c.writtenAtLastCheck = c.written.Load()
	c.balancer.finishing[c] = struct{}{}
}

func (c *connection) sendFin() {
	if c.tail != nil {
		c.tail.close()
		return
	}
	withDescriptor(c.conn, func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) })
}

// onFlushed sends a FIN that was pending until the last byte was written.
func (c *connection) onFlushed() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.finPending && (c.state == live || c.state == finishing) {
		c.sendFin()
	}
}

// drop ends the connection immediately and discards buffered bytes. The poller closes the descriptor when it gets the
// event that the shutdown causes.
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
		c.shutdownBoth()
	}
}

// shutdownBoth shuts the socket down in both directions. That causes an event for the poller, which closes the
// descriptor. No other goroutine may use the descriptor afterwards, since its number can be reused for a new
// connection at any time.
func (c *connection) shutdownBoth() {
	withDescriptor(c.conn, func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_RDWR) })
}

// reset ends the connection with RST: SO_LINGER is set to 0, and the poller closes the descriptor. Shutting down the
// reading side wakes the poller and sends nothing by itself. Connecting the socket to AF_UNSPEC would send RST
// immediately, but not every network supports that call (EAFNOSUPPORT), and then the peer would never learn of the
// end.
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

// forceClose closes a finishing connection whose peer does not close. The peer's remaining bytes are left unread, so
// that closing resets the connection: the peer may be blocked on a full receive window that nothing will drain.
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
		c.shutdownBoth()
	}
}

func (c *connection) hasEnded() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.state == ended
}

// isDescriptorFreed reports whether the descriptor of a finished connection has been released.
func (c *connection) isDescriptorFreed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.descriptorFreed
}
