// Package logs makes the program's loggers on log/slog. It owns the choice of form and level and the limit on
// repeated lines; it must never decide what is worth a line, nor keep one back without counting it.
package logs

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"sync"
	"time"

	"oatloft/internal/hint"
)

// InvalidFlag is a flag of the log that can't work.
type InvalidFlag struct{ hint.Annotated }

// hintHandler writes errors in their one form, with what an operator can do. A line without an error goes through as it
// is.
type hintHandler struct{ slog.Handler }

func (h hintHandler) Handle(ctx context.Context, r slog.Record) error {
	any := false
	r.Attrs(func(a slog.Attr) bool { _, any = errorValue(a); return !any })
	if any {
		said := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
		r.Attrs(func(a slog.Attr) bool {
			if err, ok := errorValue(a); ok {
				a.Value = slog.StringValue(hint.Line(err))
			}
			said.AddAttrs(a)
			return true
		})
		r = said
	}
	return h.Handler.Handle(ctx, r)
}

func (h hintHandler) WithAttrs(list []slog.Attr) slog.Handler { return hintHandler{h.Handler.WithAttrs(list)} }
func (h hintHandler) WithGroup(name string) slog.Handler      { return hintHandler{h.Handler.WithGroup(name)} }

func errorValue(a slog.Attr) (error, bool) {
	if a.Value.Kind() != slog.KindAny {
		return nil, false
	}
	err, ok := a.Value.Any().(error)
	return err, ok
}

// New returns a logger that writes to w as "text" or "json", from level ("debug", "info", "warn", "error") on.
func New(w io.Writer, format, level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, &InvalidFlag{
			hint.Annotated{
				Where: "log level",
				What:  fmt.Sprintf("%q is none of debug, info, warn, error", level),
				Do:    "set one of these",
			},
		}
	}
	opts := &slog.HandlerOptions{Level: l}
	switch format {
	case "text":
		return slog.New(hintHandler{slog.NewTextHandler(w, opts)}), nil
	case "json":
		return slog.New(hintHandler{slog.NewJSONHandler(w, opts)}), nil
	}
	return nil, &InvalidFlag{
		hint.Annotated{
			Where: "log format",
			What:  fmt.Sprintf("%q is neither text nor json", format),
			Do:    "set one of the two",
		},
	}
}

// Limited writes one line a class and interval at most, with the number of those that it stands for, so that a
// flood of events is no flood of lines. Classes are few: the code's own words, never a client's. It is safe for
// concurrent use.
type Limited struct {
	log   *slog.Logger
	interval time.Duration
	mu    sync.Mutex
	classes    map[string]*classState
}

type classState struct {
	next    time.Time
	skipped int64
}

// Limit returns a limiter for log's lines.
func Limit(log *slog.Logger, every time.Duration) *Limited {
	return &Limited{log: log, interval: every, classes: map[string]*classState{}}
}

// Say writes a line of a class, or counts it for the class's next.
func (l *Limited) Say(now time.Time, level slog.Level, kind, msg string, attrs ...slog.Attr) {
	if !l.log.Enabled(context.Background(), level) {
		return
	}
	l.mu.Lock()
	c := l.classes[kind]
	if c == nil {
		c = &classState{}
		l.classes[kind] = c
	}
	if now.Before(c.next) {
		c.skipped++
		l.mu.Unlock()
		return
	}
	skipped := c.skipped
	c.next, c.skipped = now.Add(l.interval), 0
	l.mu.Unlock()
	l.log.LogAttrs(
		context.Background(),
		level,
		msg,
		append(attrs, slog.String("class", kind), slog.Int64("more", skipped))...)
}

// Flush writes a line for every class that still stands for some.
func (l *Limited) Flush(now time.Time) {
	l.mu.Lock()
	left := map[string]int64{}
	for kind, c := range l.classes {
		if c.skipped > 0 && !now.Before(c.next) {
			left[kind], c.skipped = c.skipped, 0
		}
	}
	l.mu.Unlock()
	for kind, n := range left {
		l.log.LogAttrs(
			context.Background(),
			slog.LevelInfo,
			"not logged one by one",
			slog.String("class", kind),
			slog.Int64("more", n),
		)
	}
}
