package proxy

import (
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"

	"oatloft/internal/admission"
)

// connectionRole says what a connection is for.
type connectionRole uint8

const (
	clientRole connectionRole = iota
	serverRole
	probeRole
	watchRole
)

// connectionState is how far a connection is.
type connectionState uint8

const (
	dialing connectionState = iota
	live
	finishing // nothing more is written; what still comes is read and dropped until the other side has ended
	ended
)

// connection is one TCP connection. The fields of its first part belong to the loop, those of the second are
// guarded by mu.
type connection struct {
	balancer      *Balancer
	role          connectionRole
	client        *client
	attempt       int
	server        string // the server's id, except for clientRole and watchRole
	ticket        admission.Ticket
	remoteAddr    net.Addr // with a ticket
	cancel        func()   // stops the dial
	receiveBuffer int      // the system's, in bytes; 0 for socketBuffer

	// of a connection that finishes
	forceCloseAt  time.Time
	finishedAt    time.Time
	writtenAtLook int64 // bytes, at the last look

	mu              sync.Mutex
	state           connectionState
	conn            *nbio.Conn
	tail            *tailWriter // writes once the other side has closed its sending side
	starved         bool        // reading waits for the loop
	paused          bool        // reading waits for the other side's connection
	finPending      bool        // FIN follows what is buffered
	established     bool        // of a client that is served: of others no more is read than a first line can hold
	discarded       int         // bytes read while it finishes
	descriptorFreed bool
	shutDown        bool   // neither side may say more; the poller closes it at its next event
	unwritten       []byte // a copy of the backlog, for the tail writer

	queue     *bandwidthQueue // that what is read passes; nil where no bounded link is crossed
	waitsIn   *bandwidthQueue // reading waits there for its turn
	bypass    bool            // it waits for no turn any more
	endedData *endedData      // read when the other side ended, and not passed on yet

	accepted, written atomic.Int64 // bytes
	queuedEvents      atomic.Int32 // of kind eventData, in the loop's queue
	hadWaited         atomic.Bool  // what was read last had waited for its turn
	notifyFlushed     atomic.Bool  // eventFlushed is wanted once all that was accepted is written
}

// write accepts bytes. What the socket does not take at once is copied by nbio (or the tail writer). It is false if
// the connection had ended before the last byte was accepted: that byte never leaves.
func (c *connection) write(data []byte) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != live || c.finPending || len(data) == 0 {
		return false
	}
	if c.tail != nil {
		c.accepted.Add(int64(len(data)))
		c.tail.push(data)
		return true
	}
	if err := c.writeNow(data); err != nil {
		c.state = ended
		c.balancer.queue.post(event{kind: eventReset, conn: c})
		return false
	}
	return true
}

// writeNow writes what the socket takes, and gives the rest to nbio, with a copy in unwritten. With mu held.
func (c *connection) writeNow(data []byte) (err error) {
	if c.backlog() == 0 {
		data, err = c.send(data)
		if err != nil || len(data) == 0 {
			return err
		}
	}
	c.accepted.Add(int64(len(data)))
	if _, err = c.conn.Write(data); err != nil {
		return err
	}
	backlog := int(c.backlog())
	if backlog == 0 {
		c.unwritten = nil
		return nil
	}
	c.unwritten = append(c.unwritten, data...)
	c.unwritten = c.unwritten[len(c.unwritten)-backlog:]
	return nil
}

// send writes what the socket takes at once, and returns the rest. If a write fails, nbio would close the
// descriptor on the caller's goroutine; here the poller does, which learns of the break as well.
func (c *connection) send(data []byte) (rest []byte, err error) {
	err = syscall.EPIPE
	withDescriptor(c.conn, func(fd int) {
		var n int
		n, err = syscall.Write(fd, data)
		if n > 0 {
			data = data[n:]
		}
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			err = nil
		}
	})
	return data, err
}

// backlog returns how many bytes were accepted and not written yet.
func (c *connection) backlog() int64 { return c.accepted.Load() - c.written.Load() }

// flushed tells whether all that was accepted is written; if not, eventFlushed follows once it is.
func (c *connection) flushed() bool {
	if c.backlog() == 0 {
		return true
	}
	c.notifyFlushed.Store(true)
	return c.backlog() == 0 && c.notifyFlushed.Swap(false)
}

// wrote counts what has been written, as nbio and the tail writer report it.
func (c *connection) wrote(n int) {
	c.written.Add(int64(n))
	if c.backlog() == 0 && c.notifyFlushed.Swap(false) {
		c.balancer.queue.post(event{kind: eventFlushed, conn: c})
	}
}

// markEstablished tells that the client is served from now on.
func (c *connection) markEstablished() {
	c.mu.Lock()
	c.established = true
	c.mu.Unlock()
}
