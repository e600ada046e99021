// The watch on discovery. This file owns the calls that stay open, the latest and the one it follows.

package net

import (
	"oatloft/internal/core"
	"oatloft/internal/platform"
)

// watch is a call to discovery that stays open.
type watch struct {
	l        *link
	in       platform.WatchReader
	seq      int64
	answered bool
}

func drop(w **watch) {
	if *w != nil {
		(*w).l.drop()
		*w = nil
	}
}

func (s *Server) fromWatch(w *watch, e event) {
	switch e.kind {
	case evConnected:
		w.l.write(platform.AppendWatch(nil, s.cfg.Discovery, w.seq))
	case evRefused, evEnded, evBroken:
		s.watch = nil
		s.step(core.WatchEnded{})
	case evData:
		err := w.in.Read(*e.data, func(list *core.Listed) {
			w.answered = true
			drop(&s.former)
			if list == nil {
				s.step(core.WatchAlive{})
			} else {
				s.step(*list)
			}
		})
		if err != nil && w == s.watch {
			drop(&s.watch)
			s.step(core.WatchEnded{})
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
		err = s.former.in.Read(*e.data, func(list *core.Listed) {
			if list != nil {
				list.Former = true
				s.step(*list)
			}
		})
	}
	if err != nil {
		drop(&s.former)
	}
}
