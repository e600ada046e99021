// Package logs creates the program's loggers on log/slog. It selects the output format and level, formats errors with
// their hints, and limits the rate of repeated lines. It does not decide which events are logged, and counts every
// line that it suppresses.
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

// InvalidFlag reports an invalid value of a logging flag.
type InvalidFlag struct{ hint.Annotated }

// hintHandler formats error attributes with their hints. Records without an error pass unchanged.
type hintHandler struct{ slog.Handler }

func (h hintHandler) Handle(ctx context.Context, r slog.Record) error {
	found := false
	r.Attrs(func(a slog.Attr) bool { _, found = errorValue(a); return !found })
	if found {
		formatted := slog.NewRecord(r.Time, r.Level, r.Message, r.PC)
		r.Attrs(func(a slog.Attr) bool {
			if err, ok := errorValue(a); ok {
				a.Value = slog.StringValue(hint.Line(err))
			}
			formatted.AddAttrs(a)
			return true
		})
		r = formatted
	}
	return h.Handler.Handle(ctx, r)
}

func (h hintHandler) WithAttrs(attrs []slog.Attr) slog.Handler {
	return hintHandler{h.Handler.WithAttrs(attrs)}
}
func (h hintHandler) WithGroup(name string) slog.Handler {
	return hintHandler{h.Handler.WithGroup(name)}
}

func errorValue(a slog.Attr) (error, bool) {
	if a.Value.Kind() != slog.KindAny {
		return nil, false
	}
	err, ok := a.Value.Any().(error)
	return err, ok
}

// New returns a logger that writes to w in the given format ("text" or "json") lines of the given level ("debug",
// "info", "warn" or "error") and above.
func New(w io.Writer, format, level string) (*slog.Logger, error) {
	var l slog.Level
	if err := l.UnmarshalText([]byte(level)); err != nil {
		return nil, &InvalidFlag{
			hint.Annotated{
				Where: "log level",
				What:  fmt.Sprintf("%q is none of debug, info, warn, error", level),
				Do:    "set one of these levels",
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
			Do:    "set one of the two formats",
		},
	}
}

// Limited writes at most one line per class and interval, with the number of lines suppressed since the class's last
// one, so that a flood of events does not flood the log. Classes are a small set of names from the code, never values
// sent by a client. It is safe for concurrent use.
type Limited struct {
	log      *slog.Logger
	interval time.Duration
	mu       sync.Mutex
	classes  map[string]*classState
}

type classState struct {
	next    time.Time
	skipped int64
}

// Limit returns a Limited that writes to log, at most one line of each class per interval.
func Limit(log *slog.Logger, interval time.Duration) *Limited {
	return &Limited{log: log, interval: interval, classes: map[string]*classState{}}
}

// Say writes a line of a class, or counts it as suppressed until the class's next line.
func (l *Limited) Say(now time.Time, level slog.Level, class, msg string, attrs ...slog.Attr) {
	if !l.log.Enabled(context.Background(), level) {
		return
	}
	l.mu.Lock()
	c := l.classes[class]
	if c == nil {
		c = &classState{}
		l.classes[class] = c
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
		append(attrs, slog.String("class", class), slog.Int64("more", skipped))...)
}

// Flush writes a line for every class that has suppressed lines and whose interval has passed.
func (l *Limited) Flush(now time.Time) {
	l.mu.Lock()
	suppressed := map[string]int64{}
	for class, c := range l.classes {
		if c.skipped > 0 && !now.Before(c.next) {
			suppressed[class], c.skipped = c.skipped, 0
		}
	}
	l.mu.Unlock()
	for class, n := range suppressed {
		l.log.LogAttrs(
			context.Background(),
			slog.LevelInfo,
			"repeated log lines suppressed",
			slog.String("class", class),
			slog.Int64("more", n),
		)
	}
}
