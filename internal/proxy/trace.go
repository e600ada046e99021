package proxy

import (
	"context"
	"log/slog"
	"time"

	"oatloft/internal/core"
	"oatloft/policy"
)

// The trace is one log line for each event of the reducer and each effect, at level debug, from which a whole fleet
// is evaluated afterwards (by oatlab fleet). It contains no payload and costs nothing while it is off. Programs
// parse its words, so they must not change.

// tracing reports whether the trace is on; it does not change while the balancer runs.
func tracing(log *slog.Logger) bool { return log.Enabled(context.Background(), slog.LevelDebug) }

func (b *Balancer) trace(kind string, attrs ...slog.Attr) {
	attrs = append(attrs, slog.Int64("us", time.Now().UnixMicro()))
	b.log.LogAttrs(context.Background(), slog.LevelDebug, kind, attrs...)
}

func clientAttr(handle core.Handle) slog.Attr { return slog.Uint64("of", uint64(handle)) }

func attemptAttrs(handle core.Handle, attempt int, more ...slog.Attr) []slog.Attr {
	return append([]slog.Attr{clientAttr(handle), slog.Int("attempt", attempt)}, more...)
}

func (b *Balancer) traceEvent(ev core.Event) {
	switch ev := ev.(type) {
	case core.RequestReceived:
		b.trace("opened", clientAttr(ev.Client), slog.String("id", ev.ID), slog.String("key", ev.Key),
			slog.String("class", ev.Class), slog.Bool("mid", ev.MidFlow), slog.Bool("at", ev.EstablishedServer != ""))
	case core.ClientClosed:
		b.trace("terminal-ended", clientAttr(ev.Client), slog.Int("how", int(ev.Reason)))
	case core.AttemptConnected:
		b.trace("connected", attemptAttrs(ev.Client, ev.Attempt)...)
	case core.AttemptAccepted:
		b.trace("up", attemptAttrs(ev.Client, ev.Attempt)...)
	case core.AttemptClosed:
		b.trace("task-ended", attemptAttrs(ev.Client, ev.Attempt, slog.Int("how", int(ev.Reason)))...)
	case core.EndpointsListed:
		b.traceList(ev)
	case core.WatchClosed:
		b.trace("watch-ended")
	case core.ProbeFinished:
		b.traceProbe(ev)
	}
}

// traceList traces a list and its servers. warm is the latest time at which a server has warmed up; 0 for one that
// started long ago.
func (b *Balancer) traceList(list core.EndpointsListed) {
	draining, gone := 0, 0
	for _, endpoint := range list.Endpoints {
		switch endpoint.State {
		case policy.Draining:
			draining++
		case policy.Gone:
			gone++
		}
		warm := int64(0)
		if endpoint.StartedAt > 0 {
			warm = time.Now().Add(endpoint.StartedAt + b.cfg.Core.Policy.WarmUpDuration - b.now()).UnixMicro()
		}
		b.trace(
			"region",
			slog.String("region", endpoint.ID),
			slog.Int("state", int(endpoint.State)),
			slog.Int64("warm", warm),
		)
	}
	b.trace("listed", slog.Int("kind", int(list.Kind)), slog.Int("n", len(list.Endpoints)),
		slog.Int("draining", draining), slog.Int("gone", gone))
}

// traceProbe traces a probe's result. The load and the requests in flight are -1 without a load report.
func (b *Balancer) traceProbe(probe core.ProbeFinished) {
	load, inFlight := -1.0, -1.0
	if probe.Report != nil {
		load, inFlight = probe.Report.Load, probe.Report.InFlight
	}
	b.trace("probed", slog.String("region", probe.Server), slog.Int("result", int(probe.Result)),
		slog.Float64("x", load), slog.Float64("held", inFlight))
}

func (b *Balancer) traceEffect(effect core.Effect) {
	switch e := effect.(type) {
	case core.Dial:
		b.trace("dial", attemptAttrs(e.Client, e.Attempt, slog.String("region", e.Server))...)
	case core.CloseAttempt:
		b.trace("drop", attemptAttrs(e.Client, e.Attempt, slog.String("why", e.Reason))...)
	case core.Answer:
		b.trace("answer", clientAttr(e.Client), slog.Bool("short", e.Rejected), slog.String("why", e.Reason))
	case core.CloseClient:
		b.trace("end-terminal", clientAttr(e.Client), slog.Int("how", int(e.Reason)))
	case core.CloseServer:
		b.trace("end-region", clientAttr(e.Client), slog.Int("how", int(e.Reason)))
	case core.MigrateClient:
		b.trace("move", clientAttr(e.Client), slog.String("why", e.Reason))
	case core.Probe:
		dials := b.probes[e.Server] == nil || b.probes[e.Server].conn == nil
		b.trace("probe", slog.String("region", e.Server), slog.Bool("dials", dials))
	case core.Watch:
		b.trace("watch", slog.Int64("seq", e.Version))
	}
}
