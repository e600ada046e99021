package core

import (
	"strings"
	"testing"
	"time"
)

// The wheel fires each due timer once, also after a pause longer than a rotation and over several rotations.
func TestTimerWheel(t *testing.T) {
	var w timerWheel
	var fired []string
	fire := func(t timer) { fired = append(fired, t.token) }
	w.set(12*time.Millisecond, timer{token: "b"})
	w.set(0, timer{token: "a"})
	w.set(20*time.Second, timer{token: "d"})
	w.set(TickInterval*wheelSlots+12*time.Millisecond, timer{token: "c"})
	for _, x := range []struct {
		now  time.Duration
		want string
	}{{10 * time.Millisecond, "a"}, {15 * time.Millisecond, "a b"}, {6 * time.Second, "a b c"}, {time.Minute, "a b c d"}} {
		if w.advance(x.now, fire, func(timer) bool { return false }); strings.Join(fired, " ") != x.want {
			t.Fatal(x.now, fired)
		}
	}
}
