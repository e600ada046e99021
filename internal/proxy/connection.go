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

// connectionRole is the purpose of a connection.
type connectionRole uint8

const (
	clientRole connectionRole = iota
	serverRole
	probeRole
	watchRole
)

// connectionState is the phase of a connection's life cycle.
type connectionState uint8

const (
	dialing connectionState = iota
	live
	finishing // nothing more is written; received bytes are discarded until the peer closes
	ended
)

// connection is one TCP connection. The fields above mu belong to the loop; those from state to endedData are guarded
// by mu.
type connection struct {
	balancer      *Balancer
	role          connectionRole
	client        *client
	attempt       int
	server        string // the server's id, except for clientRole and watchRole
	ticket        admission.Ticket
	remoteAddr    net.Addr // of a client, for log lines
	cancel        func()   // cancels the dial
	receiveBuffer int      // of the socket, in bytes; 0 for socketBuffer

	// set while finishing
	forceCloseAt       time.Time
	finishedAt         time.Time
	writtenAtLastCheck int64 // bytes, at the latest check

	mu              sync.Mutex
	state           connectionState
	conn            *nbio.Conn
	tail            *tailWriter // writes the rest once the peer has closed its sending side
	readDeferred    bool        // reading waits until the loop has handled its queue
	paused          bool        // reading waits because of backpressure
	finPending      bool        // FIN is sent after the buffered bytes
	established     bool        // the client's flow is established; until then reads are limited to a first line
	discarded       int         // bytes discarded while finishing
	descriptorFreed bool
	shutDown        bool   // shut down in both directions; the poller closes the descriptor at its next event
	unwritten       []byte // copy of a client's backlog, for the tail writer

	queue           *bandwidthQueue // shapes the bytes that are read; nil if no bounded link is crossed
	waitingQueue    *bandwidthQueue // the queue that reading waits in; nil if it does not wait
	exemptFromQueue bool            // it no longer waits in a queue
	endedData       *endedData      // read when the peer closed, and not yet forwarded

	accepted, written atomic.Int64 // bytes
	bulk              atomic.Bool  // what it sends and its end are bulk events; never reset
	clientLeft        atomic.Bool  // a client's connection broke; what it has sent is not used any more
	queuedEvents      atomic.Int32 // events of kind eventData in the loop's queue
	wasQueued         atomic.Bool  // the bytes read last had waited in a queue
	notifyFlushed     atomic.Bool  // post eventFlushed once all accepted bytes are written
}

// write accepts bytes for sending. Bytes that the socket does not take immediately are copied by nbio (or the tail
// writer). It reports false if the connection ended before the last byte was accepted: that byte is never sent.
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

// writeNow writes what the socket takes and passes the rest to nbio, with a copy in unwritten if a tail writer may need
// it. The caller holds mu.
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
	if backlog == 0 || c.role != clientRole {
		c.unwritten = nil
		return nil
	}
	c.unwritten = append(c.unwritten, data...)
	c.unwritten = c.unwritten[len(c.unwritten)-backlog:]
	return nil
}

// send writes what the socket takes immediately and returns the rest. It bypasses nbio, which would close the
// descriptor on the caller's goroutine if the write failed. Here the poller closes it, since it gets an event for the
// error too.
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

// backlog returns the number of bytes accepted but not yet written.
func (c *connection) backlog() int64 { return c.accepted.Load() - c.written.Load() }

// flushed reports whether all accepted bytes are written; if not, eventFlushed is posted once they are.
func (c *connection) flushed() bool {
	if c.backlog() == 0 {
		return true
	}
	c.notifyFlushed.Store(true)
	return c.backlog() == 0 && c.notifyFlushed.Swap(false)
}

// wrote counts bytes that nbio or the tail writer has written.
func (c *connection) wrote(n int) {
	c.written.Add(int64(n))
	if c.backlog() == 0 && c.notifyFlushed.Swap(false) {
		c.balancer.queue.post(event{kind: eventFlushed, conn: c})
	}
}

// markEstablished records that the client's flow is established.
func (c *connection) markEstablished() {
	c.mu.Lock()
	c.established = true
	c.mu.Unlock()
}

// markBulk makes bulk events of what the connection sends from now on, and of its end.
func (c *connection) markBulk() {
	c.mu.Lock()
	c.bulk.Store(true)
	c.mu.Unlock()
}

// readsFirstLine reports whether the connection is a client's without an established flow. The caller holds mu.
func (c *connection) readsFirstLine() bool { return c.role == clientRole && !c.established }
