package proxy

import (
	"errors"
	"sync"
	"syscall"
)

const (
	readSize = 8 << 10
	// maxReads is how often a connection is read, and how many pieces of it may be in the loop's queue, at once.
	maxReads = 16
	// maxFirstReads is how often a connection is read before its request is taken: more than any first line needs.
	maxFirstReads = 1
	// maxDiscarded is how much is read and dropped of a connection that finishes, so that a reset does not take its
	// last bytes with it.
	maxDiscarded = 256 << 10
)

var buffers = sync.Pool{New: func() any { b := make([]byte, readSize); return &b }}

func releaseBuffer(b *[]byte) {
	*b = (*b)[:cap(*b)]
	buffers.Put(b)
}

// read reads what the socket holds. With mu held.
//
// Only the poller's goroutine (poller is true) may end the connection: nbio reuses a descriptor's number at once,
// and events that it has fetched and not handled would hit the new connection. A fast sender gets only so much at a
// time, since nobody can pause the connection while this holds the lock. Once the other side has ended, all is
// read, because nbio closes the socket next; that is no more than the system's buffer holds. Of a connection that
// finishes only so much is read: a sender at full speed would hold the poller, and with the lock the loop, for as
// long as it likes.
func (c *connection) read(poller bool) {
	if c.queue != nil && c.state == live {
		c.readShaped(poller, 0)
		return
	}
	limit := maxReads
	firstLine := c.role == clientRole && !c.established
	if firstLine {
		limit = maxFirstReads
	}
	for reads := 0; ; reads++ {
		if c.mustStop(reads, limit) {
			return
		}
		buf := buffers.Get().(*[]byte)
		n, err := c.conn.Read(*buf)
		if n > 0 {
			*buf = (*buf)[:n]
			if c.state != live || firstLine && reads > limit { // nobody will use it
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

// mustStop tells whether reading has to stop for now. Before the other side's end it reads on later; of a
// connection that finishes the rest stays in the socket until it is closed by force.
func (c *connection) mustStop(reads, limit int) bool {
	if c.state == live {
		if (reads >= limit || c.queuedEvents.Load() >= maxReads) && !peerHasClosed(c.conn) {
			c.balancer.queue.deferRead(c)
			return true
		}
		return false
	}
	return c.discarded > maxDiscarded && !c.shutDown && !peerHasClosed(c.conn)
}

func (c *connection) postData(buf *[]byte) {
	c.queuedEvents.Add(1)
	c.balancer.queue.post(event{kind: eventData, conn: c, data: buf})
}

// readEnd ends the connection on the poller's goroutine: err is nil for EOF. A client that has only closed its
// sending side may still get its answer by a tail writer.
func (c *connection) readEnd(err error) {
	switch {
	case c.state == finishing:
	case err != nil:
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

// resume reads on after a pause.
func (c *connection) resume() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.paused = false
	c.readOn()
}

// resumeDeferred reads on once the loop has handled its queue.
func (c *connection) resumeDeferred() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.starved = false
	c.readOn()
}

// readOn reads if nothing speaks against it. With mu held.
func (c *connection) readOn() {
	if c.endedData != nil && c.waitsIn == nil {
		c.passEndedData(0)
		return
	}
	if c.state == live && c.conn != nil && !c.paused && !c.starved && c.waitsIn == nil {
		c.read(false)
	}
}
