package logs

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A flood of lines of one class is limited to one line per second, which carries the number of suppressed lines.
func TestLimited(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "json", "info")
	if err != nil {
		t.Fatal(err)
	}
	l, now := Limit(log, time.Second), time.Unix(1, 0)
	for i := range 3000 {
		l.Say(now.Add(time.Duration(i)*time.Millisecond), slog.LevelInfo, "refused", "refused", slog.Int("n", i))
		l.Say(now, slog.LevelDebug, "quiet", "below the level")
	}
	l.Say(now, slog.LevelWarn, "other", "another class")
	l.Flush(now.Add(time.Hour))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 5 || !strings.Contains(lines[1], `"more":999`) || !strings.Contains(lines[4], `"more":999`) {
		t.Fatal(out.String())
	}
}

func TestNewRejectsUnknownValues(t *testing.T) {
	for _, x := range [][2]string{{"xml", "info"}, {"text", "loud"}} {
		if _, err := New(&bytes.Buffer{}, x[0], x[1]); err == nil {
			t.Error(x)
		}
	}
}

// An error attribute is logged with its hint in both formats, also if it is wrapped; other attributes are unchanged.
func TestErrorsCarryHints(t *testing.T) {
	for format, want := range map[string]string{
		"text": `err="at x: log format: \"y\" is neither text nor json; do: set one of the two formats" n=3`,
		"json": `"err":"at x: log format: \"y\" is neither text nor json; do: set one of the two formats","n":3`,
	} {
		var b strings.Builder
		log, err := New(&b, format, "info")
		if err != nil {
			t.Fatal(err)
		}
		_, formatErr := New(&b, "y", "info")
		log.With("a", 1).Error("no", "err", fmt.Errorf("at x: %w", formatErr), "n", 3)
		if !strings.Contains(b.String(), want) {
			t.Errorf("%s: %s", format, b.String())
		}
	}
}
