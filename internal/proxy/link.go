// Package proxy owns the sockets: nbio's engine, its callbacks, and the links that they serve (this file);
// the loop that feeds the reducer (server.go) and carries its effects out (effects.go), with a file each for
// terminals, routed tasks, probes, watches and the listener; and what a balancer is told at its start (config.go). It must never decide anything, and must never let a callback touch what belongs
// to the reducer's goroutine: callbacks only post events.
package proxy

import (
	"errors"
	"net"
	"oatloft/internal/admission"
	"os"
	"reflect"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/lesismal/nbio"
)

type connectionRole uint8

const (
	clientRole connectionRole = iota
	serverRole
	probeRole
	watchRole
)

type connectionState uint8

const (
	dialing connectionState = iota
	live
	finishing // no more is written; what still comes is read and dropped until the other side has ended
	ended
)

// connection is one connection. Its first part belongs to the reducer's goroutine, the rest to whoever holds mu.
type connection struct {
	balancer      *Balancer
	role          connectionRole
	client        *client
	attempt       int
	server        string
	ticket        admission.Ticket // of a terminal, where admission is configured
	remoteAddr    net.Addr         // likewise
	forceCloseAt  time.Time        // finishing: closed by force then
	finishedAt    time.Time        // finishing: since when
	writtenAtLook int64            // finishing: of what was written, at the last look
	cancel        func()           // stops the dialing
	receiveBuffer int              // bytes that the system may keep of what isn't read; 0 for socketBuffer

	mu              sync.Mutex
	state           connectionState
	conn            *nbio.Conn
	tail            *tailWriter     // writes once the other side has closed its sending
	starved         bool            // reading waits for the reducer's goroutine to catch up
	paused          bool            // reading waits for room on the other side
	finPending      bool            // FIN follows what is buffered
	established     bool            // a terminal that is served; of others no more is read than a first line can hold
	discarded       int             // finishing: bytes read away
	descriptorFreed bool            // finishing, then ended: the descriptor is free again
	shutDown        bool            // finishing: neither side may say more; the poller closes it at its next event
	unwritten       []byte          // a copy of the backlog, for the hand-over
	queue           *bandwidthQueue // what is read passes a link between zones that is bounded; nil where it doesn't
	waitsIn         *bandwidthQueue // reading waits there for its turn
	bypass          bool            // it waits for none any more
	endedData       *endedData      // read when the other side ended, and not passed on yet

	accepted, written atomic.Int64 // bytes
	queuedEvents      atomic.Int32 // pieces that were read and wait in the queue
	hadWaited         atomic.Bool  // what was read last had waited for its turn
	notifyFlushed     atomic.Bool  // an evFlushed is wanted when all that was handed over is written
}

type eventKind uint8

const (
	eventAccepted eventKind = iota
	eventData
	eventEOF
	eventReset
	eventConnected
	eventDialFailed
	eventFlushed
)

type event struct {
	kind eventKind
	conn *connection
	data *[]byte
}

// eventQueue carries events from the callbacks to the reducer's goroutine. It never makes a callback wait;
// when it is long, callbacks leave what they could read in the socket.
type eventQueue struct {
	mu       sync.Mutex
	list     []event
	deferred []*connection
	wake     chan struct{}
}

const maxQueuedEvents = 2048

func (q *eventQueue) post(e event) {
	q.mu.Lock()
	q.list = append(q.list, e)
	q.mu.Unlock()
	q.signal()
}

// signal wakes the loop.
func (q *eventQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *eventQueue) isLong() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.list) >= maxQueuedEvents
}

func (q *eventQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.list) == 0
}

// deferRead has l read again when the queue has been worked off.
func (q *eventQueue) deferRead(l *connection) {
	l.starved = true
	q.mu.Lock()
	q.deferred = append(q.deferred, l)
	q.mu.Unlock()
}

func (q *eventQueue) take(into []event) ([]event, []*connection) {
	q.mu.Lock()
	defer q.mu.Unlock()
	list, starved := q.list, q.deferred
	q.list, q.deferred = into[:0], nil
	return list, starved
}

const (
	readSize     = 8 << 10
	maxReads     = 16
	maxDiscarded = 256 << 10 // read away from a link that ends, so that its last words aren't lost to a reset
)

var buffers = sync.Pool{New: func() any { b := make([]byte, readSize); return &b }}

func releaseBuffer(b *[]byte) {
	*b = (*b)[:cap(*b)]
	buffers.Put(b)
}

// onRead is nbio's callback for bytes, ends and errors. nbio itself closes a connection as soon as the
// other side has closed its sending (poller_epoll.go, epollEventsError holds EPOLLRDHUP), and would drop
// what is still to be written to it; so the read that meets the end must hand such a socket on before
// it returns.
func (s *Balancer) onRead(c *nbio.Conn) {
	l := s.connectionOf(c)
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn != c || l.state == ended {
		return
	}
	if !peerHasClosed(c) {
		switch {
		case l.state == finishing:
			if l.discarded > maxDiscarded && !l.shutDown {
				return
			}
		case l.paused || l.starved || l.waitsIn != nil:
			return
		case s.queue.isLong():
			s.queue.deferRead(l)
			return
		}
	}
	l.read(true)
}

// read takes in what the socket holds. Only the poller's goroutine may end the link: nbio reuses a
// descriptor's number at once, and events that it has fetched but not yet handled would hit the newcomer.
// A fast sender gets only so much at a time: nobody could pause the link while this holds its lock. Once
// the other side has ended, all is read, since nbio closes the socket next; that is no more than the
// system's buffer holds. A link that is finishing is read away up to a bound: one that sends at full
// speed would hold the poller, and with the lock the reducer's goroutine, for as long as it likes.
func (l *connection) read(poller bool) {
	if l.queue != nil && l.state == live {
		l.readShaped(poller, 0)
		return
	}
	most, unknown := maxReads, l.role == clientRole && !l.established
	if unknown {
		most = 1 // longer than any first line
	}
	for reads := 0; ; reads++ {
		if l.state == live && (reads >= most || l.queuedEvents.Load() >= maxReads) && !peerHasClosed(l.conn) {
			l.balancer.queue.deferRead(l)
			return
		}
		if l.state != live && l.discarded > maxDiscarded && !l.shutDown && !peerHasClosed(l.conn) {
			return // the rest stays in the socket until the link is closed by force
		}
		buf := buffers.Get().(*[]byte)
		n, err := l.conn.Read(*buf)
		if n > 0 {
			*buf = (*buf)[:n]
			if l.state != live || unknown && reads > most { // nobody will use it
				l.discarded += n
				releaseBuffer(buf)
				continue
			}
			l.queuedEvents.Add(1)
			l.balancer.queue.post(event{kind: eventData, conn: l, data: buf})
			continue
		}
		releaseBuffer(buf)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN) || !poller:
			return
		case l.state == finishing:
			l.state = ended
		case err != nil:
			l.state = ended
			l.balancer.queue.post(event{kind: eventReset, conn: l})
		default:
			l.balancer.queue.post(event{kind: eventEOF, conn: l})
			if l.role == clientRole {
				if l.handOverToTail() {
					return
				}
				l.balancer.queue.post(event{kind: eventReset, conn: l}) // no answer can reach it
			}
			l.state = ended
		}
		_ = l.conn.Close()
		return
	}
}

// markEstablished tells that the terminal is served from now on.
func (l *connection) markEstablished() {
	l.mu.Lock()
	l.established = true
	l.mu.Unlock()
}

// resume reads on after a pause.
func (l *connection) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = false
	l.readOn()
}

// resumeDeferred reads on after the queue was worked off.
func (l *connection) resumeDeferred() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starved = false
	l.readOn()
}

func (l *connection) readOn() {
	if l.endedData != nil && l.waitsIn == nil {
		l.passEndedData(0)
		return
	}
	if l.state == live && l.conn != nil && !l.paused && !l.starved && l.waitsIn == nil {
		l.read(false)
	}
}

func (l *connection) pause() {
	l.mu.Lock()
	l.paused = true
	l.mu.Unlock()
}

// write hands bytes over. What the socket doesn't take at once is copied by nbio (or the tail). It is false where the link
// had ended before the last byte was handed over: then that byte never leaves.
func (l *connection) write(b []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != live || l.finPending || len(b) == 0 {
		return false
	}
	if l.tail != nil {
		l.accepted.Add(int64(len(b)))
		l.tail.push(b)
		return true
	}
	var err error
	if l.backlog() == 0 {
		if b, err = l.send(b); err == nil && len(b) == 0 {
			return true
		}
	}
	if err == nil {
		l.accepted.Add(int64(len(b)))
		_, err = l.conn.Write(b)
	}
	if err != nil {
		l.state = ended
		l.balancer.queue.post(event{kind: eventReset, conn: l})
		return false
	}
	if n := int(l.backlog()); n > 0 {
		l.unwritten = append(l.unwritten, b...)
		l.unwritten = l.unwritten[len(l.unwritten)-n:]
	} else {
		l.unwritten = nil
	}
	return true
}

// send writes what the socket takes at once, and returns the rest. Where a write fails nbio closes the
// descriptor on the caller's goroutine; here the poller does, which is told of the break as well.
func (l *connection) send(b []byte) (rest []byte, err error) {
	err = syscall.EPIPE
	withDescriptor(l.conn, func(fd int) {
		var n int
		if n, err = syscall.Write(fd, b); n > 0 {
			b = b[n:]
		}
		if errors.Is(err, syscall.EAGAIN) || errors.Is(err, syscall.EINTR) {
			err = nil
		}
	})
	return b, err
}

// backlog is how much was handed over and has not left yet.
func (l *connection) backlog() int64 { return l.accepted.Load() - l.written.Load() }

// flushed tells whether all has left; if not, an event follows when it has.
func (l *connection) flushed() bool {
	if l.backlog() == 0 {
		return true
	}
	l.notifyFlushed.Store(true)
	return l.backlog() == 0 && l.notifyFlushed.Swap(false)
}

// wrote is told by nbio what has really left, and by the tail.
func (l *connection) wrote(n int) {
	if l.written.Add(int64(n)); l.backlog() == 0 && l.notifyFlushed.Swap(false) {
		l.balancer.queue.post(event{kind: eventFlushed, conn: l})
	}
}

// fin sends FIN after what is buffered. With last, nothing more is taken from the other side either.
func (l *connection) fin(last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != live {
		if l.state == dialing {
			l.state = ended
			l.cancel()
		}
		return
	}
	l.finPending = true
	if last {
		l.endedData = nil
		l.state = finishing
		l.finishedAt = time.Now()
		l.forceCloseAt, l.writtenAtLook = l.finishedAt.Add(time.Second+l.balancer.testSlack), l.written.Load()
		l.balancer.finishing[l] = struct{}{}
	}
	if l.flushed() {
		l.sendFin()
	} else if last {
		l.forceCloseAt = time.Now().Add(peerReadTimeout)
	}
	if last && l.conn != nil && (l.paused || l.starved || l.waitsIn != nil) { // what the pause kept in the socket has to be read away
		l.read(false)
	}
}

func (l *connection) sendFin() {
	if l.tail != nil {
		l.tail.close(l.state == finishing)
		return
	}
	withDescriptor(l.conn, func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) })
}

// onFlushed sends the FIN that waited for the last byte.
func (l *connection) onFlushed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.finPending && (l.state == live || l.state == finishing) {
		l.sendFin()
	}
}

// drop ends the link at once, and what is buffered with it. The poller closes the descriptor when it
// meets the end that this makes.
func (l *connection) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endedData = nil
	switch {
	case l.state == dialing:
		l.state = ended
		l.cancel()
	case l.state == ended:
	case l.tail != nil:
		l.state = ended
		l.tail.close(true)
	default:
		l.state, l.shutDown = finishing, true
		l.shutBoth()
	}
}

// shutBoth lets neither side say more. That is an event for the poller, which closes the descriptor; nobody
// else may touch it from here on, since its number can be a newcomer's at any time.
func (l *connection) shutBoth() {
	withDescriptor(l.conn, func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_RDWR) })
}

// reset ends the link with RST: the poller closes the descriptor, and nothing lingers. What wakes it is the end of
// the reading, which sends nothing by itself. Connecting to no address would send the RST at once, but not every
// network knows that call (EAFNOSUPPORT), and then the other side would never learn of the end.
func (l *connection) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.endedData = nil
	switch {
	case l.state == dialing:
		l.cancel()
	case l.state == ended:
	case l.tail != nil:
		l.tail.reset()
	default:
		withDescriptor(l.conn, func(fd int) {
			_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
			_ = syscall.Shutdown(fd, syscall.SHUT_RD)
		})
	}
	l.state = ended
}

// forceClose ends a finishing link whose other side doesn't end. What it has sent is not read any more, so that
// the closing resets it: it may wait for room that nobody will make.
func (l *connection) forceClose() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != finishing || l.shutDown {
		return
	}
	l.state = ended
	if l.tail != nil {
		l.tail.reset()
	} else {
		l.shutBoth()
	}
}

func (l *connection) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == ended
}

// isDescriptorFreed tells that the descriptor of a link that finished is free again.
func (l *connection) isDescriptorFreed() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.descriptorFreed
}

// withDescriptor does something to the socket, unless nbio has closed it, which nothing but a write tells: the
// descriptor's number may be another connection's by now.
func withDescriptor(c *nbio.Conn, do func(fd int)) {
	if _, err := c.Write(nil); err != nil {
		return
	}
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { do(int(fd)) })
	}
}

// peerHasClosed tells whether the other side has ended, though bytes from before may still wait to be read.
func peerHasClosed(c *nbio.Conn) bool {
	fin := true
	withDescriptor(c, func(fd int) {
		state, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		const established, synRecv, finWait1, finWait2 = 1, 3, 4, 5 // the last two: only this side has
		switch state & 0xff {
		case established, synRecv, finWait1, finWait2:
			fin = err != nil
		}
	})
	return fin
}

// tailWriter writes to a terminal that has closed its sending, for which nbio has no use any more: the socket
// lives on under a second descriptor, served by the standard library, nbio's own fallback.
type tailWriter struct {
	owner          *connection
	conn           net.Conn
	mu             sync.Mutex
	cond           *sync.Cond
	pending        []byte
	closeRequested bool
	resetRequested bool // ended by RST: a FIN before it would end the connection in good order
}

// handOverToTail moves the socket from nbio to a tail, and with it what nbio has not written yet: it would
// drop that when it closes its descriptor.
func (l *connection) handOverToTail() bool {
	conn := l.duplicate()
	if conn == nil && l.balancer.admission != nil { // the spare descriptors are for this: the terminal's answer hangs on it
		l.balancer.admission.descriptorsExhausted(true)
		conn = l.duplicate()
	}
	if conn == nil {
		return false
	}
	l.tail = &tailWriter{owner: l, conn: conn}
	l.tail.cond = sync.NewCond(&l.tail.mu)
	l.tail.pending = l.unwritten[len(l.unwritten)-min(len(l.unwritten), int(l.backlog())):]
	l.unwritten = nil
	l.balancer.sockets.Add(1)
	go l.tail.run()
	c := l.conn
	l.conn = nil
	removeFromEpoll(c)
	_ = c.Close()
	return true
}

// duplicate is the same socket under a second descriptor, nil if there is none to be had.
func (l *connection) duplicate() (conn net.Conn) {
	withDescriptor(l.conn, func(fd int) {
		twin, err := syscall.Dup(fd)
		if err != nil {
			return
		}
		syscall.CloseOnExec(twin)
		f := os.NewFile(uintptr(twin), "terminal")
		defer func() { _ = f.Close() }()
		if c, err := net.FileConn(f); err == nil {
			conn = c
		}
	})
	return conn
}

// removeFromEpoll takes a connection out of nbio's epoll. nbio leaves that to close(2), which does it only for
// the last descriptor of a socket; while the tail has another, events would go on coming under the
// old number, and nbio would close whoever has got it since. The poller's descriptor is not exported.
func removeFromEpoll(c *nbio.Conn) {
	poller := reflect.ValueOf(c).Elem().FieldByName("p")
	if !poller.IsValid() || poller.Kind() != reflect.Pointer {
		return
	}
	if epoll := poller.Elem().FieldByName("epfd"); epoll.IsValid() && epoll.CanInt() {
		withDescriptor(c, func(fd int) { _ = syscall.EpollCtl(int(epoll.Int()), syscall.EPOLL_CTL_DEL, fd, nil) })
	}
}

func (t *tailWriter) push(b []byte) {
	t.mu.Lock()
	t.pending = append(t.pending, b...)
	t.mu.Unlock()
	t.cond.Signal()
}

// close ends the writing; the descriptor goes with it, since nothing more can be read either.
func (t *tailWriter) close(bool) {
	t.mu.Lock()
	t.closeRequested = true
	t.mu.Unlock()
	t.cond.Signal()
}

func (t *tailWriter) reset() {
	if c, ok := t.conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = t.conn.SetWriteDeadline(time.Now())
	t.mu.Lock()
	t.resetRequested = true
	t.mu.Unlock()
	t.close(true)
}

func (t *tailWriter) run() {
	defer func() {
		t.owner.balancer.sockets.Add(-1)
		if t.owner.ticket != 0 {
			t.owner.balancer.admission.closed(t.owner.ticket)
		}
		t.owner.mu.Lock()
		t.owner.state, t.owner.descriptorFreed = ended, true
		t.owner.mu.Unlock()
	}()
	for {
		t.mu.Lock()
		for len(t.pending) == 0 && !t.closeRequested {
			t.cond.Wait()
		}
		todo, done, broken := t.pending, t.closeRequested, t.resetRequested
		t.pending = nil
		t.mu.Unlock()
		if len(todo) > 0 && !broken {
			n, err := t.conn.Write(todo)
			t.owner.wrote(n)
			if err != nil {
				t.owner.balancer.queue.post(event{kind: eventReset, conn: t.owner})
				_ = t.conn.Close()
				return
			}
			continue
		}
		if done {
			if c, ok := t.conn.(*net.TCPConn); ok && !broken {
				_ = c.CloseWrite()
			}
			_ = t.conn.Close() // nothing is unread: the other side had ended before the tail began
			return
		}
	}
}
