package fake

import (
	"strings"
	"testing"
	"time"

	"oatloft/internal/rules"
)

// A cold region that holds too much for long is found, and one that holds it for a moment is not.
func TestServerOverloadedDuringWarmUp(t *testing.T) {
	w, err := New(2)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	for _, r := range w.Regions {
		r.SetWeight(0.2)
		r.open.Store(8) // 1.6 of what it does warm, 4.7 of what it can do now
		r.Renew()
	}
	time.Sleep(300 * time.Millisecond)
	w.Regions[1].open.Store(2)
	w.Regions[0].open.Store(30)
	time.Sleep(overloadDuration + 300*time.Millisecond)
	if n := w.Checker.Count(rules.ServerOverloaded); n != 1 {
		t.Fatalf("%d regions pushed over", n)
	}
	if v := w.Violations(); !strings.Contains(v, "a cold region pushed over") || !strings.Contains(v, w.Regions[0].Name) {
		t.Error(v)
	}
	if p := w.Regions[1].Pushed(); p < 4 || p > 5 {
		t.Errorf("pushed to %.1f", p)
	}
}
