// The trace: one line an event of the reducer and an effect of it, at log level debug, for counting over a whole
// fleet afterwards (oatlab fleet reads it). It must never hold a terminal's bytes, and costs nothing while it is off.

package proxy

import (
	"context"
	"log/slog"
	"time"

	"oatloft/internal/core"
	"oatloft/policy"
)

// tracing tells whether the trace is on, once for the whole run.
func tracing(log *slog.Logger) bool { return log.Enabled(context.Background(), slog.LevelDebug) }

func (s *Balancer) trace(kind string, attrs ...slog.Attr) {
	attrs = append(attrs, slog.Int64("us", time.Now().UnixMicro()))
	s.log.LogAttrs(context.Background(), slog.LevelDebug, kind, attrs...)
}

func attemptAttrs(h core.Handle, attempt int) []slog.Attr {
	return []slog.Attr{slog.Uint64("of", uint64(h)), slog.Int("attempt", attempt)}
}

func (s *Balancer) traceEvent(ev core.Event) {
	switch ev := ev.(type) {
	case core.RequestReceived:
		s.trace("opened", slog.Uint64("of", uint64(ev.Client)), slog.String("id", ev.ID), slog.String("key", ev.Key),
			slog.String("class", ev.Class), slog.Bool("mid", ev.MidFlow), slog.Bool("at", ev.EstablishedAt != ""))
	case core.ClientClosed:
		s.trace("terminal-ended", slog.Uint64("of", uint64(ev.Client)), slog.Int("how", int(ev.Reason)))
	case core.AttemptConnected:
		s.trace("connected", attemptAttrs(ev.Client, ev.Attempt)...)
	case core.AttemptAccepted:
		s.trace("up", attemptAttrs(ev.Client, ev.Attempt)...)
	case core.AttemptClosed:
		s.trace("task-ended", append(attemptAttrs(ev.Client, ev.Attempt), slog.Int("how", int(ev.Reason)))...)
	case core.EndpointsListed:
		n, drained, gone := len(ev.Endpoints), 0, 0
		for _, g := range ev.Endpoints {
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
			s.trace("region", slog.String("region", g.ID), slog.Int("state", int(g.State)), slog.Int64("warm", warm))
		}
		s.trace("listed", slog.Int("kind", int(ev.Kind)), slog.Int("n", n), slog.Int("draining", drained), slog.Int("gone", gone))
	case core.WatchClosed:
		s.trace("watch-ended")
	case core.ProbeFinished:
		x, held := -1.0, -1.0
		if ev.Report != nil {
			x, held = ev.Report.Load, ev.Report.InFlight
		}
		s.trace("probed", slog.String("region", ev.Server), slog.Int("result", int(ev.Result)), slog.Float64("x", x),
			slog.Float64("held", held))
	}
}

func (s *Balancer) traceEffect(e core.Effect) {
	switch e := e.(type) {
	case core.Dial:
		s.trace("dial", append(attemptAttrs(e.Client, e.Attempt), slog.String("region", e.Server))...)
	case core.CloseAttempt:
		s.trace("drop", append(attemptAttrs(e.Client, e.Attempt), slog.String("why", e.Reason))...)
	case core.Answer:
		s.trace("answer", slog.Uint64("of", uint64(e.Client)), slog.Bool("short", e.Rejected), slog.String("why", e.Reason))
	case core.CloseClient:
		s.trace("end-terminal", slog.Uint64("of", uint64(e.Client)), slog.Int("how", int(e.Reason)))
	case core.CloseServer:
		s.trace("end-region", slog.Uint64("of", uint64(e.Client)), slog.Int("how", int(e.Reason)))
	case core.MigrateClient:
		s.trace("move", slog.Uint64("of", uint64(e.Client)), slog.String("why", e.Reason))
	case core.Probe:
		s.trace("probe", slog.String("region", e.Server), slog.Bool("dials", s.probes[e.Server] == nil || s.probes[e.Server].conn == nil))
	case core.Watch:
		s.trace("watch", slog.Int64("seq", e.Version))
	}
}
