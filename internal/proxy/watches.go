// The watch on discovery. This file owns the calls that stay open, the latest and the one it follows.

package proxy

import (
	"log/slog"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/hint"
	"oatloft/internal/platform"
)

// watchDial is when a dial to discovery stops by itself. The reducer gives the call up before.
const watchDial = 2 * time.Second

// watch is a call to discovery that stays open.
type watch struct {
	l    *link
	in   platform.WatchReader
	seq  int64
	sent bool // bytes of its answer have come
}

func drop(w **watch) {
	if *w != nil {
		(*w).l.drop()
		*w = nil
	}
}

// callDiscovery begins the call for all changes after seq. The one before goes on until this one has answered, if it has
// brought anything.
func (s *Server) callDiscovery(seq int64) {
	if s.watch != nil && s.watch.sent {
		drop(&s.former)
		s.former, s.watch = s.watch, nil
	}
	drop(&s.watch)
	in := platform.WatchReader{Zero: s.cfg.Zero, Unread: s.unread}
	s.watch = &watch{l: &link{s: s, role: watchRole}, in: in, seq: seq}
	s.dial(s.watch.l, s.cfg.Discovery, watchDial)
}

func (s *Server) fromWatch(w *watch, e event) {
	switch e.kind {
	case evConnected:
		w.l.write(platform.AppendWatch(nil, s.cfg.Discovery, w.seq))
	case evRefused, evEnded, evBroken:
		s.watch = nil
		s.step(core.WatchClosed{})
	case evData:
		w.sent = true
		whole := false
		err := w.in.Read(*e.data, func(list *core.EndpointsListed) {
			whole = true
			drop(&s.former)
			if list == nil {
				s.step(core.WatchHeartbeat{})
			} else {
				s.step(*list)
			}
		})
		switch {
		case w != s.watch: // a list that it brought had the next call begin
		case err != nil:
			s.unread(err)
			drop(&s.watch)
			s.step(core.WatchClosed{})
		case !whole:
			s.step(core.WatchDataReceived{})
		}
	}
}

// fromFormer takes what still comes by the watch that is to be followed. Its end is no loss of news: the
// reducer minds the one that follows.
func (s *Server) fromFormer(e event) {
	var err error
	switch e.kind {
	case evEnded, evBroken:
		s.former = nil
	case evData:
		err = s.former.in.Read(*e.data, func(list *core.EndpointsListed) {
			if list != nil {
				list.FromPreviousWatch = true
				s.step(*list)
			}
		})
	}
	if err != nil {
		s.unread(err)
		drop(&s.former)
	}
}

// unread logs what can't be read of discovery's answer.
func (s *Server) unread(err error) {
	s.said.Say(time.Now(), slog.LevelWarn, "discovery", "discovery's answer can't be used",
		slog.String("discovery", s.cfg.Discovery), slog.String("err", hint.Line(err)))
}
