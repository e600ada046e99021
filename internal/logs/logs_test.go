package logs

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"time"
)

// A flood of one class is one line a second, and the next one tells how many it stands for.
func TestLimited(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, "json", "info")
	if err != nil {
		t.Fatal(err)
	}
	l, now := Limit(log, time.Second), time.Unix(1, 0)
	for i := range 3000 {
		l.Say(now.Add(time.Duration(i)*time.Millisecond), slog.LevelInfo, "refused", "refused", slog.Int("n", i))
		l.Say(now, slog.LevelDebug, "quiet", "never")
	}
	l.Say(now, slog.LevelWarn, "other", "another class")
	l.Flush(now.Add(time.Hour))
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	if len(lines) != 5 || !strings.Contains(lines[1], `"more":999`) || !strings.Contains(lines[4], `"more":999`) {
		t.Fatal(out.String())
	}
}

func TestNewNamesWhatIsWrong(t *testing.T) {
	for _, x := range [][2]string{{"xml", "info"}, {"text", "loud"}} {
		if _, err := New(&bytes.Buffer{}, x[0], x[1]); err == nil {
			t.Error(x)
		}
	}
}
