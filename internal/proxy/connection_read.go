package proxy

import (
	"errors"
	"sync"
	"syscall"
)

const (
	readSize = 8 << 10 // bytes
	// maxReads is the maximum number of consecutive reads of a connection, and of its data events in the loop's queue.
	maxReads = 2
	// maxFirstReads is that number of reads before the flow is established. It exceeds what any first line needs.
	maxFirstReads = 1
	// maxDiscarded is the number of bytes that are discarded while a connection finishes, so that a reset does not
	// destroy the last bytes sent to the peer.
	maxDiscarded = 256 << 10
)

var buffers = sync.Pool{New: func() any { b := make([]byte, readSize); return &b }}

func releaseBuffer(b *[]byte) {
	*b = (*b)[:cap(*b)]
	buffers.Put(b)
}

// read reads the bytes that the socket holds. The caller holds mu.
//
// Only the poller's goroutine (poller is true) may end the connection: a closed descriptor's number is reused
// immediately, and events that nbio has fetched but not handled would be applied to the new connection. The number of
// consecutive reads is limited for a fast sender, since the connection cannot be paused while read holds the lock.
// Once the peer has closed, everything is read, because nbio closes the socket next, unless the rest can be left to a
// tail writer; that is at most what the system's buffer holds. While finishing, the number of discarded bytes is
// limited: a fast sender would otherwise occupy the poller, and through the lock the loop, without bound.
func (c *connection) read(poller bool) {
	if c.queue != nil && c.state == live {
		c.readShaped(poller, 0)
		return
	}
	if c.role == clientRole && c.state == live && stateOf(c.conn) == tcpClose {
		if poller {
			c.readEnd(syscall.ECONNRESET) // what the client sent before is not used
		}
		return
	}
	limit := maxReads
	firstLine := c.readsFirstLine()
	if firstLine {
		limit = maxFirstReads
	}
	for reads := 0; ; reads++ {
		if c.mustStopReading(poller, reads, limit) {
			return
		}
		buf := buffers.Get().(*[]byte)
		n, err := c.conn.Read(*buf)
		if n > 0 {
			*buf = (*buf)[:n]
			if c.state != live || firstLine && reads > limit { // the bytes will not be used
				c.discarded += n
				releaseBuffer(buf)
				continue
			}
			c.postData(buf)
			continue
		}
		releaseBuffer(buf)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if poller && !errors.Is(err, syscall.EAGAIN) {
			c.readEnd(err)
		}
		return
	}
}

// mustStopReading reports whether reading must stop for now. A live connection is read again later, unless its peer has
// closed and the rest cannot be left to a tail; what a finishing connection has not discarded stays in the socket until
// it is closed by force.
func (c *connection) mustStopReading(poller bool, reads, limit int) bool {
	if c.state == live {
		mustWait := reads >= limit || c.queuedEvents.Load() >= maxReads || c.balancer.queue.isLongFor(c) || c.paused
		if !mustWait || peerHasClosed(c.conn) && !c.leaveRestToTail(poller) {
			return false
		}
		if !c.readDeferred {
			c.balancer.queue.deferRead(c)
		}
		return true
	}
	return c.discarded > maxDiscarded && !c.shutDown && !peerHasClosed(c.conn)
}

// leaveRestToTail hands a client that has closed its sending side over to a tail writer, from whose socket the rest of
// what it has sent is read later. Only the poller's goroutine may hand over; on another one the rest is left to it. It
// reports false if the rest has to be read now, because nbio closes the socket next, also if the client has reset the
// connection meanwhile.
func (c *connection) leaveRestToTail(poller bool) bool {
	switch {
	case c.role != clientRole || !c.established || stateOf(c.conn) == tcpClose:
		return false
	case !poller:
		return true
	case !c.handOverToTail():
		return false
	}
	c.tail.unread = true
	return true
}

// readTail reads what a client had sent before its hand-over, and posts its end behind it. The caller holds mu.
func (c *connection) readTail() {
	if c.tail.wasReset() { // what the client sent before is not used
		c.endTail(eventReset)
		return
	}
	for c.queuedEvents.Load() < maxReads && !c.balancer.queue.isLongFor(c) {
		buf := buffers.Get().(*[]byte)
		n, err := c.tail.readNow(*buf)
		if n > 0 {
			*buf = (*buf)[:n]
			c.postData(buf)
			continue
		}
		releaseBuffer(buf)
		if err != nil {
			c.endTail(eventReset)
		} else {
			c.endTail(eventEOF)
		}
		return
	}
	c.balancer.queue.deferRead(c)
}

// endTail posts the end of a client whose last bytes have been read or are not used. The caller holds mu.
func (c *connection) endTail(end eventKind) {
	c.tail.unread = false
	c.clientLeft.Store(end == eventReset)
	c.balancer.queue.post(event{kind: end, conn: c})
}

// postData posts received bytes. What a client sends beyond its first bytes is bulk. The caller holds mu.
func (c *connection) postData(buf *[]byte) {
	c.queuedEvents.Add(1)
	c.balancer.queue.post(event{kind: eventData, conn: c, data: buf})
	if c.role == clientRole {
		c.bulk.Store(true)
	}
}

// readEnd ends the connection on the poller's goroutine; err is nil for EOF. A client that has only closed its sending
// side can still get its answer through a tail writer.
func (c *connection) readEnd(err error) {
	switch {
	case c.state == finishing:
	case err != nil:
		c.clientLeft.Store(c.role == clientRole)
		c.balancer.queue.post(event{kind: eventReset, conn: c})
	default:
		c.balancer.queue.post(event{kind: eventEOF, conn: c})
		if c.role == clientRole {
			if c.handOverToTail() {
				return
			}
			c.balancer.queue.post(event{kind: eventReset, conn: c}) // no answer can reach it
		}
	}
	c.state = ended
	_ = c.conn.Close()
}

func (c *connection) pause() {
	c.mu.Lock()
	c.paused = true
	c.mu.Unlock()
}

// resume continues reading after a pause.
func (c *connection) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = false
	c.continueReading()
}

// resumeDeferred continues reading after the loop has handled its queue. It reports whether bytes were read.
func (c *connection) resumeDeferred() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readDeferred = false
	before := c.queuedEvents.Load()
	c.continueReading()
	return c.queuedEvents.Load() > before
}

// continueReading continues reading unless the connection is paused, deferred or queued. The caller holds mu.
func (c *connection) continueReading() {
	if c.endedData != nil && c.waitingQueue == nil {
		c.passEndedData(0)
		return
	}
	if c.state != live || c.paused || c.readDeferred || c.waitingQueue != nil {
		return
	}
	switch {
	case c.conn != nil:
		c.read(false)
	case c.tail != nil && c.tail.unread:
		c.readTail()
	}
}
