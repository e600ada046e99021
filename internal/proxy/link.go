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

type role uint8

const (
	terminalRole role = iota
	taskRole
	probeRole
	watchRole
)

type linkState uint8

const (
	dialing linkState = iota
	live
	finishing // no more is written; what still comes is read and dropped until the other side has ended
	ended
)

// link is one connection. Its first part belongs to the reducer's goroutine, the rest to whoever holds mu.
type link struct {
	s          *Server
	role       role
	term       *terminal
	attempt    int
	region     string
	ticket     admission.Ticket // of a terminal, where admission is configured
	from       net.Addr         // likewise
	endBy      time.Time        // finishing: closed by force then
	finishedAt time.Time        // finishing: since when
	seen       int64            // finishing: of what was written, at the last look
	cancel     func()           // stops the dialing
	narrow     int              // bytes that the system may keep of what isn't read; 0 for socketBuffer

	mu      sync.Mutex
	state   linkState
	c       *nbio.Conn
	tail    *tail  // writes once the other side has closed its sending
	starved bool   // reading waits for the reducer's goroutine to catch up
	paused  bool   // reading waits for room on the other side
	finWant bool   // FIN follows what is buffered
	known   bool   // a terminal that is served; of others no more is read than a first line can hold
	junk    int    // finishing: bytes read away
	gone    bool   // finishing, then ended: the descriptor is free again
	cut     bool   // finishing: neither side may say more; the poller closes it at its next event
	rest    []byte // a copy of the backlog, for the hand-over
	lane    *lane  // what is read passes a link between zones that is bounded; nil where it doesn't
	held    *lane  // reading waits there for its turn
	hurry   bool   // it waits for none any more
	ahead   *ahead // read when the other side ended, and not passed on yet

	handed, written atomic.Int64 // bytes
	waiting         atomic.Int32 // pieces that were read and wait in the queue
	turned          atomic.Bool  // what was read last had waited for its turn
	want            atomic.Bool  // an evFlushed is wanted when all that was handed over is written
}

type eventKind uint8

const (
	evOpened eventKind = iota
	evData
	evEnded
	evBroken
	evConnected
	evRefused
	evFlushed
)

type event struct {
	kind eventKind
	link *link
	data *[]byte
}

// queue carries events from the callbacks to the reducer's goroutine. It never makes a callback wait;
// when it is long, callbacks leave what they could read in the socket.
type queue struct {
	mu      sync.Mutex
	list    []event
	starved []*link
	bell    chan struct{}
}

const longQueue = 2048

func (q *queue) post(e event) {
	q.mu.Lock()
	q.list = append(q.list, e)
	q.mu.Unlock()
	q.ring()
}

// ring wakes the loop.
func (q *queue) ring() {
	select {
	case q.bell <- struct{}{}:
	default:
	}
}

func (q *queue) long() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.list) >= longQueue
}

func (q *queue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.list) == 0
}

// starve has l read again when the queue has been worked off.
func (q *queue) starve(l *link) {
	l.starved = true
	q.mu.Lock()
	q.starved = append(q.starved, l)
	q.mu.Unlock()
}

func (q *queue) take(into []event) ([]event, []*link) {
	q.mu.Lock()
	defer q.mu.Unlock()
	list, starved := q.list, q.starved
	q.list, q.starved = into[:0], nil
	return list, starved
}

const (
	readSize    = 8 << 10
	readsAtOnce = 16
	junkAtMost  = 256 << 10 // read away from a link that ends, so that its last words aren't lost to a reset
)

var buffers = sync.Pool{New: func() any { b := make([]byte, readSize); return &b }}

func release(b *[]byte) {
	*b = (*b)[:cap(*b)]
	buffers.Put(b)
}

// onRead is nbio's callback for bytes, ends and errors. nbio itself closes a connection as soon as the
// other side has closed its sending (poller_epoll.go, epollEventsError holds EPOLLRDHUP), and would drop
// what is still to be written to it; so the read that meets the end must hand such a socket on before
// it returns.
func (s *Server) onRead(c *nbio.Conn) {
	l := s.linkOf(c)
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c != c || l.state == ended {
		return
	}
	if !hasFin(c) {
		switch {
		case l.state == finishing:
			if l.junk > junkAtMost && !l.cut {
				return
			}
		case l.paused || l.starved || l.held != nil:
			return
		case s.queue.long():
			s.queue.starve(l)
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
func (l *link) read(poller bool) {
	if l.lane != nil && l.state == live {
		l.readShaped(poller, 0)
		return
	}
	most, unknown := readsAtOnce, l.role == terminalRole && !l.known
	if unknown {
		most = 1 // longer than any first line
	}
	for reads := 0; ; reads++ {
		if l.state == live && (reads >= most || l.waiting.Load() >= readsAtOnce) && !hasFin(l.c) {
			l.s.queue.starve(l)
			return
		}
		if l.state != live && l.junk > junkAtMost && !l.cut && !hasFin(l.c) {
			return // the rest stays in the socket until the link is closed by force
		}
		buf := buffers.Get().(*[]byte)
		n, err := l.c.Read(*buf)
		if n > 0 {
			*buf = (*buf)[:n]
			if l.state != live || unknown && reads > most { // nobody will use it
				l.junk += n
				release(buf)
				continue
			}
			l.waiting.Add(1)
			l.s.queue.post(event{kind: evData, link: l, data: buf})
			continue
		}
		release(buf)
		switch {
		case errors.Is(err, syscall.EINTR):
			continue
		case errors.Is(err, syscall.EAGAIN) || !poller:
			return
		case l.state == finishing:
			l.state = ended
		case err != nil:
			l.state = ended
			l.s.queue.post(event{kind: evBroken, link: l})
		default:
			l.s.queue.post(event{kind: evEnded, link: l})
			if l.role == terminalRole {
				if l.handOver() {
					return
				}
				l.s.queue.post(event{kind: evBroken, link: l}) // no answer can reach it
			}
			l.state = ended
		}
		_ = l.c.Close()
		return
	}
}

// knows tells that the terminal is served from now on.
func (l *link) knows() {
	l.mu.Lock()
	l.known = true
	l.mu.Unlock()
}

// resume reads on after a pause.
func (l *link) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.paused = false
	l.readOn()
}

// feed reads on after the queue was worked off.
func (l *link) feed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starved = false
	l.readOn()
}

func (l *link) readOn() {
	if l.ahead != nil && l.held == nil {
		l.passAhead(0)
		return
	}
	if l.state == live && l.c != nil && !l.paused && !l.starved && l.held == nil {
		l.read(false)
	}
}

func (l *link) pause() {
	l.mu.Lock()
	l.paused = true
	l.mu.Unlock()
}

// write hands bytes over. What the socket doesn't take at once is copied by nbio (or the tail). It is false where the link
// had ended before the last byte was handed over: then that byte never leaves.
func (l *link) write(b []byte) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != live || l.finWant || len(b) == 0 {
		return false
	}
	if l.tail != nil {
		l.handed.Add(int64(len(b)))
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
		l.handed.Add(int64(len(b)))
		_, err = l.c.Write(b)
	}
	if err != nil {
		l.state = ended
		l.s.queue.post(event{kind: evBroken, link: l})
		return false
	}
	if n := int(l.backlog()); n > 0 {
		l.rest = append(l.rest, b...)
		l.rest = l.rest[len(l.rest)-n:]
	} else {
		l.rest = nil
	}
	return true
}

// send writes what the socket takes at once, and returns the rest. Where a write fails nbio closes the
// descriptor on the caller's goroutine; here the poller does, which is told of the break as well.
func (l *link) send(b []byte) (rest []byte, err error) {
	err = syscall.EPIPE
	control(l.c, func(fd int) {
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
func (l *link) backlog() int64 { return l.handed.Load() - l.written.Load() }

// flushed tells whether all has left; if not, an event follows when it has.
func (l *link) flushed() bool {
	if l.backlog() == 0 {
		return true
	}
	l.want.Store(true)
	return l.backlog() == 0 && l.want.Swap(false)
}

// wrote is told by nbio what has really left, and by the tail.
func (l *link) wrote(n int) {
	if l.written.Add(int64(n)); l.backlog() == 0 && l.want.Swap(false) {
		l.s.queue.post(event{kind: evFlushed, link: l})
	}
}

// fin sends FIN after what is buffered. With last, nothing more is taken from the other side either.
func (l *link) fin(last bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != live {
		if l.state == dialing {
			l.state = ended
			l.cancel()
		}
		return
	}
	l.finWant = true
	if last {
		l.ahead = nil
		l.state = finishing
		l.finishedAt = time.Now()
		l.endBy, l.seen = l.finishedAt.Add(time.Second+l.s.slack), l.written.Load()
		l.s.finishing[l] = struct{}{}
	}
	if l.flushed() {
		l.sendFin()
	} else if last {
		l.endBy = time.Now().Add(readWait)
	}
	if last && l.c != nil && (l.paused || l.starved || l.held != nil) { // what the pause kept in the socket has to be read away
		l.read(false)
	}
}

func (l *link) sendFin() {
	if l.tail != nil {
		l.tail.close(l.state == finishing)
		return
	}
	control(l.c, func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_WR) })
}

// onFlushed sends the FIN that waited for the last byte.
func (l *link) onFlushed() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.finWant && (l.state == live || l.state == finishing) {
		l.sendFin()
	}
}

// drop ends the link at once, and what is buffered with it. The poller closes the descriptor when it
// meets the end that this makes.
func (l *link) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ahead = nil
	switch {
	case l.state == dialing:
		l.state = ended
		l.cancel()
	case l.state == ended:
	case l.tail != nil:
		l.state = ended
		l.tail.close(true)
	default:
		l.state, l.cut = finishing, true
		l.shut()
	}
}

// shut lets neither side say more. That is an event for the poller, which closes the descriptor; nobody
// else may touch it from here on, since its number can be a newcomer's at any time.
func (l *link) shut() {
	control(l.c, func(fd int) { _ = syscall.Shutdown(fd, syscall.SHUT_RDWR) })
}

// reset ends the link with RST: the poller closes the descriptor, and nothing lingers. What wakes it is the end of
// the reading, which sends nothing by itself. Connecting to no address would send the RST at once, but not every
// network knows that call (EAFNOSUPPORT), and then the other side would never learn of the end.
func (l *link) reset() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ahead = nil
	switch {
	case l.state == dialing:
		l.cancel()
	case l.state == ended:
	case l.tail != nil:
		l.tail.reset()
	default:
		control(l.c, func(fd int) {
			_ = syscall.SetsockoptLinger(fd, syscall.SOL_SOCKET, syscall.SO_LINGER, &syscall.Linger{Onoff: 1})
			_ = syscall.Shutdown(fd, syscall.SHUT_RD)
		})
	}
	l.state = ended
}

// force ends a finishing link whose other side doesn't end. What it has sent is not read any more, so that
// the closing resets it: it may wait for room that nobody will make.
func (l *link) force() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state != finishing || l.cut {
		return
	}
	l.state = ended
	if l.tail != nil {
		l.tail.reset()
	} else {
		l.shut()
	}
}

func (l *link) hasEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state == ended
}

// isGone tells that the descriptor of a link that finished is free again.
func (l *link) isGone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.gone
}

// control does something to the socket, unless nbio has closed it, which nothing but a write tells: the
// descriptor's number may be another connection's by now.
func control(c *nbio.Conn, do func(fd int)) {
	if _, err := c.Write(nil); err != nil {
		return
	}
	if raw, err := c.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { do(int(fd)) })
	}
}

// hasFin tells whether the other side has ended, though bytes from before may still wait to be read.
func hasFin(c *nbio.Conn) bool {
	fin := true
	control(c, func(fd int) {
		state, err := syscall.GetsockoptInt(fd, syscall.IPPROTO_TCP, syscall.TCP_INFO)
		const established, synRecv, finWait1, finWait2 = 1, 3, 4, 5 // the last two: only this side has
		switch state & 0xff {
		case established, synRecv, finWait1, finWait2:
			fin = err != nil
		}
	})
	return fin
}

// tail writes to a terminal that has closed its sending, for which nbio has no use any more: the socket
// lives on under a second descriptor, served by the standard library, nbio's own fallback.
type tail struct {
	l      *link
	conn   net.Conn
	mu     sync.Mutex
	cond   *sync.Cond
	todo   []byte
	done   bool
	broken bool // ended by RST: a FIN before it would end the connection in good order
}

// handOver moves the socket from nbio to a tail, and with it what nbio has not written yet: it would
// drop that when it closes its descriptor.
func (l *link) handOver() bool {
	conn := l.twin()
	if conn == nil && l.s.door != nil { // the spare descriptors are for this: the terminal's answer hangs on it
		l.s.door.starved(true)
		conn = l.twin()
	}
	if conn == nil {
		return false
	}
	l.tail = &tail{l: l, conn: conn}
	l.tail.cond = sync.NewCond(&l.tail.mu)
	l.tail.todo = l.rest[len(l.rest)-min(len(l.rest), int(l.backlog())):]
	l.rest = nil
	l.s.sockets.Add(1)
	go l.tail.run()
	c := l.c
	l.c = nil
	unwatch(c)
	_ = c.Close()
	return true
}

// twin is the same socket under a second descriptor, nil if there is none to be had.
func (l *link) twin() (conn net.Conn) {
	control(l.c, func(fd int) {
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

// unwatch takes a connection out of nbio's epoll. nbio leaves that to close(2), which does it only for
// the last descriptor of a socket; while the tail has another, events would go on coming under the
// old number, and nbio would close whoever has got it since. The poller's descriptor is not exported.
func unwatch(c *nbio.Conn) {
	poller := reflect.ValueOf(c).Elem().FieldByName("p")
	if !poller.IsValid() || poller.Kind() != reflect.Pointer {
		return
	}
	if epoll := poller.Elem().FieldByName("epfd"); epoll.IsValid() && epoll.CanInt() {
		control(c, func(fd int) { _ = syscall.EpollCtl(int(epoll.Int()), syscall.EPOLL_CTL_DEL, fd, nil) })
	}
}

func (t *tail) push(b []byte) {
	t.mu.Lock()
	t.todo = append(t.todo, b...)
	t.mu.Unlock()
	t.cond.Signal()
}

// close ends the writing; the descriptor goes with it, since nothing more can be read either.
func (t *tail) close(bool) {
	t.mu.Lock()
	t.done = true
	t.mu.Unlock()
	t.cond.Signal()
}

func (t *tail) reset() {
	if c, ok := t.conn.(*net.TCPConn); ok {
		_ = c.SetLinger(0)
	}
	_ = t.conn.SetWriteDeadline(time.Now())
	t.mu.Lock()
	t.broken = true
	t.mu.Unlock()
	t.close(true)
}

func (t *tail) run() {
	defer func() {
		t.l.s.sockets.Add(-1)
		if t.l.ticket != 0 {
			t.l.s.door.closed(t.l.ticket)
		}
		t.l.mu.Lock()
		t.l.state, t.l.gone = ended, true
		t.l.mu.Unlock()
	}()
	for {
		t.mu.Lock()
		for len(t.todo) == 0 && !t.done {
			t.cond.Wait()
		}
		todo, done, broken := t.todo, t.done, t.broken
		t.todo = nil
		t.mu.Unlock()
		if len(todo) > 0 && !broken {
			n, err := t.conn.Write(todo)
			t.l.wrote(n)
			if err != nil {
				t.l.s.queue.post(event{kind: evBroken, link: t.l})
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
