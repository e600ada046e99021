package proxy

import (
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/logging"
)

const (
	// extraConnections is the spare size of nbio's connection table, since the descriptor limit may be raised later.
	extraConnections = 4096
	// engineReadBuffer is the size in bytes of nbio's own buffer, which this package does not read into.
	engineReadBuffer = 1024
)

// newEngine creates nbio's engine: one goroutine polls all connections. The callbacks only post events.
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
	_ = polled.SetReadBuffer(b.connectionOf(polled).receiveBufferSize()) // on error the system's default stays
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

// onRead is nbio's callback for data, ends and errors. nbio itself closes a connection as soon as the peer has closed
// its sending side (in poller_epoll.go, epollEventsError includes EPOLLRDHUP) and would discard bytes that are still
// to be written. The read that encounters the end therefore hands the socket over to a tail writer before it returns.
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

// mayRead reports whether more may be read now. It defers reading if the loop's queue is long. The caller holds mu.
func (c *connection) mayRead() bool {
	switch {
	case c.state == finishing:
		return c.discarded <= maxDiscarded || c.shutDown
	case c.paused || c.readDeferred || c.waitingQueue != nil:
		return false
	case c.balancer.queue.isLongFor(c):
		c.balancer.queue.deferRead(c)
		return false
	}
	return true
}

// onClose is nbio's last callback for a connection. It posts ends that no read has encountered. A connection with a
// tail writer has a second descriptor, and the tail writer reports its end.
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

// attachSession associates a connection with nbio's. nbio's goroutines synchronize through epoll only, which
// establishes no order in Go's memory model; the atomic counter, which connectionOf reads, does.
func (b *Balancer) attachSession(polled *nbio.Conn, conn *connection) {
	polled.SetSession(conn)
	b.publishedConns.Add(1)
}

// connectionOf returns the connection associated with nbio's, or nil if there is none.
func (b *Balancer) connectionOf(polled *nbio.Conn) *connection {
	conn, _ := polled.Session().(*connection)
	b.publishedConns.Load()
	return conn
}
