// The trace: one line an event of the reducer and an effect of it, at log level debug, for counting over a whole
// fleet afterwards (oatlab fleet reads it). It must never hold a terminal's bytes, and costs nothing while it is off.

package net

import (
	"context"
	"log/slog"
	"time"

	"oatloft/internal/core"
	"oatloft/policy"
)

// tracing tells whether the trace is on, once for the whole run.
func tracing(log *slog.Logger) bool { return log.Enabled(context.Background(), slog.LevelDebug) }

func (s *Server) say(kind string, attrs ...slog.Attr) {
	attrs = append(attrs, slog.Int64("us", time.Now().UnixMicro()))
	s.log.LogAttrs(context.Background(), slog.LevelDebug, kind, attrs...)
}

func of(h core.Handle, attempt int) []slog.Attr {
	return []slog.Attr{slog.Uint64("of", uint64(h)), slog.Int("attempt", attempt)}
}

func (s *Server) traceEvent(ev core.Event) {
	switch ev := ev.(type) {
	case core.Opened:
		s.say("opened", slog.Uint64("of", uint64(ev.From)), slog.String("id", ev.ID), slog.String("key", ev.Key),
			slog.String("class", ev.Class), slog.Bool("mid", ev.MidFlow), slog.Bool("at", ev.At != ""))
	case core.TerminalEnded:
		s.say("terminal-ended", slog.Uint64("of", uint64(ev.From)), slog.Int("how", int(ev.How)))
	case core.Connected:
		s.say("connected", of(ev.Of, ev.Attempt)...)
	case core.Up:
		s.say("up", of(ev.Of, ev.Attempt)...)
	case core.TaskEnded:
		s.say("task-ended", append(of(ev.Of, ev.Attempt), slog.Int("how", int(ev.How)))...)
	case core.Listed:
		n, drained, gone := len(ev.Regions), 0, 0
		for _, g := range ev.Regions {
			switch g.State {
			case policy.Draining:
				drained++
			case policy.Gone:
				gone++
			}
			warm := int64(0) // when it is warm at the latest; 0 for one that started long ago
			if g.StartedAt > 0 {
				warm = time.Now().Add(g.StartedAt + s.cfg.Core.Policy.WarmUpDuration - s.now()).UnixMicro()
			}
			s.say("region", slog.String("region", g.ID), slog.Int("state", int(g.State)), slog.Int64("warm", warm))
		}
		s.say("listed", slog.Int("kind", int(ev.Kind)), slog.Int("n", n), slog.Int("draining", drained), slog.Int("gone", gone))
	case core.WatchEnded:
		s.say("watch-ended")
	case core.Probed:
		x, held := -1.0, -1.0
		if ev.Report != nil {
			x, held = ev.Report.Load, ev.Report.InFlight
		}
		s.say("probed", slog.String("region", ev.Region), slog.Int("result", int(ev.Result)), slog.Float64("x", x),
			slog.Float64("held", held))
	}
}

func (s *Server) traceEffect(e core.Effect) {
	switch e := e.(type) {
	case core.Dial:
		s.say("dial", append(of(e.Of, e.Attempt), slog.String("region", e.Region))...)
	case core.DropTask:
		s.say("drop", append(of(e.Of, e.Attempt), slog.String("why", e.Why))...)
	case core.Answer:
		s.say("answer", slog.Uint64("of", uint64(e.To)), slog.Bool("short", e.Short), slog.String("why", e.Why))
	case core.EndTerminal:
		s.say("end-terminal", slog.Uint64("of", uint64(e.Of)), slog.Int("how", int(e.How)))
	case core.EndRegion:
		s.say("end-region", slog.Uint64("of", uint64(e.Of)), slog.Int("how", int(e.How)))
	case core.MoveTerminal:
		s.say("move", slog.Uint64("of", uint64(e.Of)), slog.String("why", e.Why))
	case core.Probe:
		s.say("probe", slog.String("region", e.Region), slog.Bool("dials", s.probes[e.Region] == nil || s.probes[e.Region].l == nil))
	case core.Watch:
		s.say("watch", slog.Int64("seq", e.Seq))
	}
}
