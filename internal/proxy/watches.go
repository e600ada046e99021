// The watch on discovery. This file owns the calls that stay open, the latest and the one it follows.

package proxy

import (
	"log/slog"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/hint"
	"oatloft/internal/platform"
)

// watchDialTimeout is when a dial to discovery stops by itself. The reducer gives the call up before.
const watchDialTimeout = 2 * time.Second

// watch is a call to discovery that stays open.
type watch struct {
	conn         *connection
	reader       platform.WatchReader
	version      int64
	receivedData bool // bytes of its answer have come
}

func dropWatch(w **watch) {
	if *w != nil {
		(*w).conn.drop()
		*w = nil
	}
}

// openWatch begins the call for all changes after seq. The one before goes on until this one has answered, if it has
// brought anything.
func (s *Balancer) openWatch(seq int64) {
	if s.watch != nil && s.watch.receivedData {
		dropWatch(&s.previousWatch)
		s.previousWatch, s.watch = s.watch, nil
	}
	dropWatch(&s.watch)
	in := platform.WatchReader{Zero: s.cfg.StartOfClock, Unread: s.logUnreadable}
	s.watch = &watch{conn: &connection{balancer: s, role: watchRole}, reader: in, version: seq}
	s.dial(s.watch.conn, s.cfg.Discovery, watchDialTimeout)
}

func (s *Balancer) handleWatchEvent(w *watch, e event) {
	switch e.kind {
	case eventConnected:
		w.conn.write(platform.AppendWatch(nil, s.cfg.Discovery, w.version))
	case eventDialFailed, eventEOF, eventReset:
		s.watch = nil
		s.step(core.WatchClosed{})
	case eventData:
		w.receivedData = true
		whole := false
		err := w.reader.Read(*e.data, func(list *core.EndpointsListed) {
			whole = true
			dropWatch(&s.previousWatch)
			if list == nil {
				s.step(core.WatchHeartbeat{})
			} else {
				s.step(*list)
			}
		})
		switch {
		case w != s.watch: // a list that it brought had the next call begin
		case err != nil:
			s.logUnreadable(err)
			dropWatch(&s.watch)
			s.step(core.WatchClosed{})
		case !whole:
			s.step(core.WatchDataReceived{})
		}
	}
}

// handlePreviousWatchEvent takes what still comes by the watch that is to be followed. Its end is no loss of news: the
// reducer minds the one that follows.
func (s *Balancer) handlePreviousWatchEvent(e event) {
	var err error
	switch e.kind {
	case eventEOF, eventReset:
		s.previousWatch = nil
	case eventData:
		err = s.previousWatch.reader.Read(*e.data, func(list *core.EndpointsListed) {
			if list != nil {
				list.FromPreviousWatch = true
				s.step(*list)
			}
		})
	}
	if err != nil {
		s.logUnreadable(err)
		dropWatch(&s.previousWatch)
	}
}

// logUnreadable logs what can't be read of discovery's answer.
func (s *Balancer) logUnreadable(err error) {
	s.limitedLog.Say(time.Now(), slog.LevelWarn, "discovery", "discovery's answer can't be used",
		slog.String("discovery", s.cfg.Discovery), slog.String("err", hint.Line(err)))
}
