package fake

import (
	"strings"
	"testing"
	"time"

	"oatloft/internal/rules"
)

// An overloaded server that is warming up is reported if the overload lasts, and not if it is brief.
func TestServerOverloadedDuringWarmUp(t *testing.T) {
	w, err := New(2)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	for _, r := range w.Servers {
		r.SetWeight(0.2)
		r.open.Store(8) // load of 1.6 times its full capacity, 4.7 times its current one
		r.Renew()
	}
	time.Sleep(300 * time.Millisecond)
	w.Servers[1].open.Store(2)
	w.Servers[0].open.Store(30)
	time.Sleep(overloadDuration + 300*time.Millisecond)
	if n := w.Checker.Count(rules.ServerOverloaded); n != 1 {
		t.Fatalf("%d servers overloaded, want 1", n)
	}
	if v := w.Violations(); !strings.Contains(v, "a cold region pushed over") || !strings.Contains(v, w.Servers[0].Name) {
		t.Error(v)
	}
	if p := w.Servers[1].Pushed(); p < 4 || p > 5 {
		t.Errorf("peak load factor %.1f, want 4 to 5", p)
	}
}
