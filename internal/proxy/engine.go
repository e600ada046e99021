package proxy

import (
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

const (
	// extraConnections is by how much nbio's table of connections is larger than the limit at the start, which may grow.
	extraConnections = 4096
	// engineReadBuffer is nbio's own buffer, which this package does not use for reading.
	engineReadBuffer = 1024
)

// newEngine prepares nbio's engine: one goroutine that polls all connections. Its callbacks only post events.
func (b *Balancer) newEngine() *nbio.Engine {
	logging.SetLevel(logging.LevelNone)
	nbio.MaxOpenFiles = int(b.descriptorLimit.Load()) + extraConnections
	engine := nbio.NewEngine(nbio.Config{
		Network:        "tcp",
		Addrs:          []string{b.cfg.Listen},
		NPoller:        1,
		EpollMod:       nbio.EPOLLET,
		ReadBufferSize: engineReadBuffer,
		Listen:         b.listen,
	})
	engine.OnOpen(b.onOpen)
	engine.OnRead(b.onRead)
	engine.OnWrittenSize(func(polled *nbio.Conn, _ []byte, n int) {
		if conn := b.connectionOf(polled); conn != nil {
			conn.wrote(n)
		}
	})
	engine.OnClose(func(polled *nbio.Conn, _ error) { b.onClose(polled) })
	return engine
}

// onOpen is nbio's callback for a new connection, accepted or dialed.
func (b *Balancer) onOpen(polled *nbio.Conn) {
	b.sockets.Add(1)
	_ = polled.SetReadBuffer(b.connectionOf(polled).receiveBufferSize()) // the system's own size does as well
	_ = polled.SetWriteBuffer(socketBuffer)
	if polled.Session() != nil { // dialed
		return
	}
	conn := &connection{balancer: b, role: clientRole, conn: polled, state: live}
	if b.admission != nil {
		conn.ticket, conn.remoteAddr = b.admission.takeTicket(), polled.RemoteAddr()
	}
	b.attachSession(polled, conn)
	b.queue.post(event{kind: eventAccepted, conn: conn})
}

// onRead is nbio's callback for bytes, ends and errors. nbio itself closes a connection as soon as the other side
// has closed its sending side (poller_epoll.go, epollEventsError holds EPOLLRDHUP), and would drop what is still to
// be written to it. So the read that meets the end has to hand such a socket on before it returns.
func (b *Balancer) onRead(polled *nbio.Conn) {
	conn := b.connectionOf(polled)
	if conn == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.conn != polled || conn.state == ended {
		return
	}
	if !peerHasClosed(polled) && !conn.mayRead() {
		return
	}
	conn.read(true)
}

// mayRead tells whether more may be read now; where the loop's queue is long, reading is deferred. With mu held.
func (c *connection) mayRead() bool {
	switch {
	case c.state == finishing:
		return c.discarded <= maxDiscarded || c.shutDown
	case c.paused || c.starved || c.waitsIn != nil:
		return false
	case c.balancer.queue.isLong():
		c.balancer.queue.deferRead(c)
		return false
	}
	return true
}

// onClose is nbio's last callback for a connection. It reports ends that no read has met. A connection with a tail
// writer has another descriptor, and the tail writer reports its end.
func (b *Balancer) onClose(polled *nbio.Conn) {
	b.sockets.Add(-1)
	conn := b.connectionOf(polled)
	if conn == nil {
		return
	}
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.tail == nil {
		if conn.ticket != 0 {
			b.admission.closed(conn.ticket)
		}
		conn.descriptorFreed = true
	}
	if conn.conn == polled && conn.state == live {
		conn.state = ended
		b.queue.post(event{kind: eventReset, conn: conn})
	}
}

// attachSession ties a connection to nbio's. nbio's goroutines meet in epoll, which orders nothing in Go's memory
// model; the counter does, which connectionOf reads.
func (b *Balancer) attachSession(polled *nbio.Conn, conn *connection) {
	polled.SetSession(conn)
	b.publishedConns.Add(1)
}

// connectionOf returns the connection of nbio's, or nil if it has none.
func (b *Balancer) connectionOf(polled *nbio.Conn) *connection {
	conn, _ := polled.Session().(*connection)
	b.publishedConns.Load()
	return conn
}
