package proxy

import (
	"errors"
	"syscall"
)

// exemptBytes is how many bytes are read at a time from a connection that is exempt from turns. They are counted
// against the link afterwards.
const exemptBytes = 512

// waitsForTurn reports whether the connection's bytes wait for their turn.
func (c *connection) waitsForTurn() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.waitingQueue != nil
}

// setQueue makes reads of the connection wait for turns in a queue from now on; nil for no limit. A pending turn in
// the previous queue is void.
func (c *connection) setQueue(queue *bandwidthQueue) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue == queue {
		return
	}
	c.queue, c.waitingQueue = queue, nil
	c.continueReading()
}

// readScheduled reads up to n bytes, or returns them to the queue if the connection cannot use them.
func (c *connection) readScheduled(queue *bandwidthQueue, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.waitingQueue == nil || c.waitingQueue.flow != queue.flow {
		queue.returnUnused(n)
		return
	}
	c.waitingQueue = nil
	c.wasQueued.Store(true)
	switch {
	case c.endedData != nil:
		c.passEndedData(n)
	case c.state != live || c.conn == nil || c.paused || c.readDeferred:
		queue.returnUnused(n)
	case c.balancer.queue.isLongFor(c):
		queue.returnUnused(n)
		c.balancer.queue.deferRead(c)
	default:
		c.readShaped(false, n)
	}
}

// readShaped reads what the link has capacity for; granted bytes of it already belong to the connection. The
// caller holds mu.
func (c *connection) readShaped(poller bool, granted int) {
	if poller && peerHasClosed(c.conn) {
		c.readToEnd()
		return
	}
	for reads := 0; reads < maxReads; reads++ {
		size := granted
		granted = 0
		switch {
		case c.exempt():
			if reads > 0 {
				c.balancer.queue.deferRead(c)
				return
			}
			size = exemptBytes
		case size == 0:
			size = c.queue.take(c, readSize)
			if size == 0 {
				c.waitingQueue = c.queue
				return
			}
		}
		if !c.readSome(size) {
			return
		}
	}
	c.balancer.queue.deferRead(c)
}

// readSome reads up to size bytes and returns what it does not use to the queue. It returns false if no data is
// available, or at an end, which the poller will find.
func (c *connection) readSome(size int) bool {
	buf := buffers.Get().(*[]byte)
	n, err := c.conn.Read((*buf)[:size])
	if !c.exempt() {
		c.queue.returnUnused(size - max(n, 0))
	}
	if n > 0 {
		*buf = (*buf)[:n]
		c.postData(buf)
		return true
	}
	releaseBuffer(buf)
	return errors.Is(err, syscall.EINTR)
}

// exempt reports whether the connection is read without turns: that of an attempt before its answer, and that of a
// client whose current line has to be completed.
func (c *connection) exempt() bool {
	return c.role == serverRole && !c.established || c.exemptFromQueue
}

// beginExemption makes a connection exempt from turns; it is then read in small pieces. It returns false if the
// connection crosses no bounded link.
func (c *connection) beginExemption() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queue == nil {
		return false
	}
	c.exemptFromQueue, c.waitingQueue, c.paused = true, nil, false
	c.continueReading()
	return true
}

// endExemption makes an exempt connection wait for turns again.
func (c *connection) endExemption() {
	c.mu.Lock()
	c.exemptFromQueue = false
	c.mu.Unlock()
}

// endedData is what was read from a peer that has closed: nbio closes the socket then, so nothing can be left in it.
// It is at most what the system's buffer held, and is forwarded by the queue's turns, followed by the end.
type endedData struct {
	pieces []*[]byte
	end    eventKind
}

// readToEnd reads a socket to its end, on the poller's goroutine. What a client has sent before a reset is dropped:
// no one would receive the answer. The caller holds mu.
func (c *connection) readToEnd() {
	data := &endedData{end: eventEOF}
	for data.readPiece(c) {
	}
	if data.end == eventReset && c.role == clientRole {
		data.pieces = nil
	}
	c.endedData, c.waitingQueue = data, nil
	polled := c.conn
	if data.end == eventReset || c.role != clientRole || !c.handOverToTail() {
		c.state = ended
		_ = polled.Close()
	}
	c.passEndedData(0)
}

// readPiece reads a piece. It returns false at the end.
func (d *endedData) readPiece(c *connection) bool {
	buf := buffers.Get().(*[]byte)
	n, err := c.conn.Read(*buf)
	if n > 0 {
		*buf = (*buf)[:n]
		d.pieces = append(d.pieces, buf)
		return true
	}
	releaseBuffer(buf)
	switch {
	case errors.Is(err, syscall.EINTR):
		return true
	case err != nil && !errors.Is(err, syscall.EAGAIN):
		d.end = eventReset
	}
	return false
}

// passEndedData forwards what was read to the end as far as the link has capacity; granted bytes of it already
// belong to the connection. The end follows the last byte. The caller holds mu.
func (c *connection) passEndedData(granted int) {
	queue, data := c.queue, c.endedData
	for len(data.pieces) > 0 {
		if c.paused || c.readDeferred || c.balancer.queue.isLongFor(c) {
			if !c.paused && !c.readDeferred {
				c.balancer.queue.deferRead(c)
			}
			break
		}
		size := granted
		granted = 0
		unlimited := queue == nil || c.exempt()
		switch {
		case queue == nil:
			size = len(*data.pieces[0])
		case unlimited:
			size = exemptBytes
		case size == 0:
			size = queue.take(c, len(*data.pieces[0]))
			if size == 0 {
				c.waitingQueue = queue
				return
			}
		}
		buf := data.takeBytes(size)
		if !unlimited {
			queue.returnUnused(size - len(*buf))
		}
		c.postData(buf)
		if unlimited && queue != nil && len(data.pieces) > 0 {
			c.balancer.queue.deferRead(c)
			break
		}
	}
	if granted > 0 && queue != nil {
		queue.returnUnused(granted)
	}
	if len(data.pieces) == 0 {
		c.endedData = nil
		c.balancer.queue.post(event{kind: data.end, conn: c})
	}
}

// takeBytes removes up to size bytes from the first piece and returns them.
func (d *endedData) takeBytes(size int) *[]byte {
	first := d.pieces[0]
	if size >= len(*first) {
		d.pieces[0] = nil
		d.pieces = d.pieces[1:]
		return first
	}
	part := buffers.Get().(*[]byte)
	*part = (*part)[:copy(*part, (*first)[:size])]
	*first = (*first)[:copy(*first, (*first)[size:])]
	return part
}
