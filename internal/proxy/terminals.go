// Terminals, from the connection to the final answer. This file owns what a terminal has said and what it is
// still owed; it must never decide what it gets.

package proxy

import (
	"log/slog"
	"slices"
	"time"

	"golang.org/x/sys/unix"

	"oatloft/internal/admission"
	"oatloft/internal/core"
	"oatloft/internal/platform"
)

// client is one client connection, on the reducer's goroutine.
type client struct {
	handle            core.Handle
	conn, server      *connection
	partialLine       []byte // of a line that came in parts
	request           platform.Open
	requestRead       bool // the first line is taken
	established       bool
	finished          bool                // nothing more is owed nor passed
	answerReader      platform.LineReader // of the attempt that is out
	fromServer        platform.Scan
	toServer          platform.Scan
	lastServerWord    platform.Word // closing line of the region
	migrateBy         time.Time     // to be moved at the next end of a line; by then at the latest
	restOfLineBytes   int           // bytes of that line that have passed since
	passingRestOfLine bool          // to be moved, and the region waits for the end of a line that a link has held back
	backpressure      [2]bool       // the way to the terminal, to the region
}

func (s *Balancer) handleAccepted(l *connection) {
	s.counters.Accepted++
	s.lastHandle++
	t := &client{handle: s.lastHandle, conn: l}
	l.client = t
	s.clients[t.handle] = t
	s.step(core.ConnectionAccepted{Client: t.handle})
	if l.ticket != 0 {
		s.clientsByTicket[l.ticket] = t
		if v, ok := s.admission.takePendingVictim(l.ticket); ok {
			s.step(core.CloseIdle{Client: t.handle, RetryAfter: v.After})
		}
	}
	if s.exiting && !t.finished { // taken in as the listener was closed
		s.reject(t, admission.Verdict{Reason: admission.NoDescriptor})
	}
}

func (s *Balancer) handleClientEvent(t *client, e event) {
	switch e.kind {
	case eventData:
		switch {
		case t.finished:
		case !t.established && !t.requestRead && s.limitFirstBytes(t, len(*e.data)):
		case t.passingRestOfLine:
			s.passRestOfRequest(t, *e.data)
		case t.established:
			seen := t.toServer.Read(*e.data)
			s.counters.LinesIn += int64(seen.Lines)
			s.step(core.DataReceived{Client: t.handle, Payload: core.Payload{Data: *e.data, Lines: seen.Lines}})
		default:
			s.readRequest(t, *e.data)
		}
	case eventEOF, eventReset:
		if s.isMigrating(t) {
			s.clientEndedMigrating(t, e.kind)
			return
		}
		how := core.CloseEOF
		if e.kind == eventReset {
			how = core.CloseReset
		}
		switch {
		case t.finished:
		case t.requestRead:
			s.step(core.ClientClosed{Client: t.handle, Reason: how})
		case how == core.CloseEOF && len(t.partialLine) > 0:
			s.rejectMalformed(t) // half a line, and no more will come
		default:
			s.step(core.ClientClosed{Client: t.handle, Reason: how})
			s.closeClient(t, core.CloseEOF)
		}
		if how == core.CloseReset {
			t.finished = true
			s.removeClient(t)
		}
	}
}

func (s *Balancer) readRequest(t *client, data []byte) {
	if t.requestRead { // it had to wait for its answer
		s.rejectMalformed(t)
		return
	}
	if len(t.partialLine) > 0 {
		t.partialLine = append(t.partialLine, data...)
		data = t.partialLine
	}
	for len(data) > 0 {
		line, tooLong := platform.Cut(data)
		switch {
		case tooLong:
			s.rejectMalformed(t)
			return
		case line == nil:
			t.partialLine = append([]byte(nil), data...)
			return
		case platform.IsPing(line):
			s.counters.Pings++
			if s.core.DrainRequested() || !s.mayPlaceClients() {
				t.conn.write(platform.No)
			} else {
				t.conn.write(platform.Pong)
			}
			if t.conn.backlog() > backpressureBytes { // it asks without end, and reads none of the answers
				s.rejectMalformed(t)
				return
			}
			data = data[len(line):]
			continue
		}
		open, err := platform.ParseOpen(line)
		if err != nil || len(data) > len(line) {
			s.rejectMalformed(t)
			return
		}
		s.counters.LinesIn++
		t.partialLine, t.requestRead = nil, true
		open.Keep()
		if s.backloggedUntil.After(s.lastTurnAt) { // the terminal counts from when it asked
			open.Timeout = max(0, open.Timeout-t.conn.sinceLastData())
		}
		t.request = open
		if s.exiting { // the reducer has closed its books: whoever came in since is told to come again
			s.reject(t, admission.Verdict{Reason: admission.NoDescriptor})
			return
		}
		if !s.mayPlaceClients() && open.At == "" {
			s.reject(t, admission.Verdict{Reason: admission.NoPermit, After: s.retryAfterNoLease()})
			return
		}
		if v := s.admit(t); !v.OK() {
			s.reject(t, v)
			return
		}
		s.step(core.RequestReceived{Client: t.handle, Request: open.Request, EstablishedAt: open.At})
		return
	}
	t.partialLine = nil
}

// sinceLastData is how long the latest bytes have waited here to be read, by the system's own account; 0 where it doesn't tell.
func (l *connection) sinceLastData() (d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.conn == nil || l.state == ended {
		return 0
	}
	raw, err := l.conn.SyscallConn()
	if err != nil {
		return 0
	}
	_ = raw.Control(func(fd uintptr) {
		if info, err := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO); err == nil {
			d = time.Duration(info.Last_data_recv) * time.Millisecond
		}
	})
	return d
}

func (s *Balancer) rejectMalformed(t *client) {
	s.counters.Malformed++
	t.requestRead = true
	s.step(core.InvalidRequest{Client: t.handle})
}

// admit asks whether a transaction may be picked up.
func (s *Balancer) admit(t *client) admission.Verdict {
	switch {
	case s.admission != nil:
		return s.admission.request(t.conn.ticket, t.request)
	case !s.basicLimits().MayTake(int(s.sockets.Load()), s.memoryShort):
		return admission.Verdict{Reason: admission.NoDescriptor}
	}
	return admission.Verdict{}
}

// limitFirstBytes follows the bytes that come before a first line, and turns away whose address sends too many.
func (s *Balancer) limitFirstBytes(t *client, n int) bool {
	if s.admission == nil {
		return false
	}
	v := s.admission.countBytes(t.conn.ticket, n)
	if v.OK() {
		return false
	}
	t.requestRead = true
	s.reject(t, v)
	return true
}

// reject gives the short-on-capacity reply to a terminal whose transaction is not picked up.
func (s *Balancer) reject(t *client, v admission.Verdict) {
	s.counters.Rejected++
	t.finished = true
	if s.admission != nil {
		s.limitedLog.Say(time.Now(), slog.LevelInfo, v.Reason.String(), "refused", slog.Any("from", t.conn.remoteAddr), slog.Duration("after", v.After))
	}
	s.step(core.ClientClosed{Client: t.handle})
	s.finalAnswer(t, platform.AppendShort(nil, v.After))
}

// removeClient lets go of a terminal that gets nothing more.
func (s *Balancer) removeClient(t *client) {
	delete(s.clients, t.handle)
	if t.conn.ticket != 0 {
		delete(s.clientsByTicket, t.conn.ticket)
		s.admission.answered(t.conn.ticket)
	}
}

// finalAnswer is all that a terminal gets. What it sends from then on, or was sending in this instant, is read away
// until it ends as well: a close over unread bytes would reset the connection, and the answer could be lost with it.
func (s *Balancer) finalAnswer(t *client, line []byte) {
	t.conn.write(line)
	s.closeClient(t, core.CloseEOF)
	if s.admission != nil && !t.requestRead && !s.exiting { // open: admission counts on the descriptor of whoever it sends off at once
		t.conn.forceClose()
	}
}

// collectClosed forgets the finishing links whose descriptors are free again, and notes which still move bytes.
func (s *Balancer) collectClosed(now time.Time) {
	for l := range s.finishing {
		if l.isDescriptorFreed() {
			delete(s.finishing, l)
		} else if w := l.written.Load(); w != l.writtenAtLook { // somebody still reads what is buffered
			l.writtenAtLook, l.forceCloseAt = w, now.Add(peerReadTimeout)
		}
	}
}

// closeFinishing ends the finishing links whose time is over, sooner by grace where descriptors run short. Where no
// admission is configured and the descriptors for new requests are nearly used up, the links that have waited longest
// for the other side's end give theirs up at once.
func (s *Balancer) closeFinishing(now time.Time, grace time.Duration) {
	closing, waiting := 0, make([]*connection, 0, len(s.finishing))
	for l := range s.finishing {
		switch {
		case l.hasEnded():
			closing++
		case now.After(l.forceCloseAt.Add(-grace)):
			l.forceClose()
			closing++
		case l.backlog() == 0:
			waiting = append(waiting, l)
		}
	}
	if s.admission != nil {
		return
	}
	lacking := min(s.basicLimits().Lacking(int(s.sockets.Load())-closing), len(waiting))
	if lacking == 0 {
		return
	}
	slices.SortFunc(waiting, func(a, b *connection) int { return a.finishedAt.Compare(b.finishedAt) })
	for _, l := range waiting[:lacking] {
		l.forceClose()
	}
}

func (s *Balancer) closeClient(t *client, how core.CloseReason) {
	t.finished = true
	s.removeClient(t)
	delete(s.migrating, t)
	if how == core.CloseReset {
		t.conn.reset()
	} else {
		t.conn.fin(true)
	}
}

func (s *Balancer) sendMove(t *client) {
	t.conn.write(platform.Move)
	s.closeClient(t, core.CloseEOF)
	if t.server != nil {
		t.server.drop()
		t.server = nil
	}
}
