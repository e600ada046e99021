package proxy

import (
	"bytes"
	"fmt"
	"log/slog"
	"testing"

	"oatloft/internal/core"
	"oatloft/internal/golden"
	"oatloft/policy"
)

// traceOf returns what the given call traces, without the attributes that hold the time of day.
func traceOf(call func(b *Balancer)) []byte {
	var out bytes.Buffer
	handler := slog.NewJSONHandler(&out, &slog.HandlerOptions{
		Level: slog.LevelDebug,
		ReplaceAttr: func(_ []string, attr slog.Attr) slog.Attr {
			switch attr.Key {
			case slog.TimeKey:
				return slog.Attr{}
			case "us", "warm":
				return slog.Bool(attr.Key, attr.Value.Int64() > 0)
			}
			return attr
		},
	})
	call(&Balancer{log: slog.New(handler), probes: nil})
	return out.Bytes()
}

func traceOfEvent[E core.Event]() []byte {
	var event E
	golden.Fill(&event)
	return traceOf(func(b *Balancer) { b.traceEvent(event) })
}

func traceOfEffect[E core.Effect]() []byte {
	var effect E
	golden.Fill(&effect)
	return traceOf(func(b *Balancer) { b.traceEffect(effect) })
}

// TestFormOfTrace pins the kinds and attributes of the trace, and the numbers that it prints, since tools read the
// traces of other versions.
func TestFormOfTrace(t *testing.T) {
	var out bytes.Buffer
	for _, line := range [][]byte{
		traceOfEvent[core.RequestReceived](), traceOfEvent[core.ClientClosed](), traceOfEvent[core.AttemptConnected](),
		traceOfEvent[core.AttemptAccepted](), traceOfEvent[core.AttemptClosed](), traceOfEvent[core.EndpointsListed](),
		traceOfEvent[core.WatchClosed](), traceOfEvent[core.ProbeFinished](), traceOfEffect[core.Dial](),
		traceOfEffect[core.CloseAttempt](), traceOfEffect[core.Answer](), traceOfEffect[core.CloseClient](),
		traceOfEffect[core.CloseServer](), traceOfEffect[core.MigrateClient](), traceOfEffect[core.Probe](),
		traceOfEffect[core.Watch](),
	} {
		out.Write(line)
	}
	out.Write(traceOf(func(b *Balancer) { b.traceEvent(core.ProbeFinished{Server: "without-report"}) }))
	fmt.Fprintln(&out, "close reasons: eof, reset, refused, rejected, failed, migrated, finished:",
		int(core.CloseEOF), int(core.CloseReset), int(core.CloseRefused), int(core.CloseRejected),
		int(core.CloseFailed), int(core.CloseMigrated), int(core.CloseFinished))
	fmt.Fprintln(&out, "states: live, draining, gone:", int(policy.Live), int(policy.Draining), int(policy.Gone))
	fmt.Fprintln(&out, "lists: delta, full, cached, failed:",
		int(policy.ListDelta), int(policy.ListFull), int(policy.ListCached), int(policy.ListFailed))
	fmt.Fprintln(&out, "results: ok, failed, rejected, timed out, unreachable, reset, canceled, skipped:",
		int(policy.ResultOK), int(policy.ResultFailed), int(policy.ResultRejected), int(policy.ResultTimedOut),
		int(policy.ResultUnreachable), int(policy.ResultReset), int(policy.ResultCanceled), int(policy.ResultSkipped))
	golden.Check(t, "trace.txt", out.Bytes())
}
