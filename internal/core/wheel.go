// The wheel keeps the balancer's timers as coarse ticks. It owns the order in which they come due and
// must never call a clock, nor be asked to take a timer back: whoever set one checks on it when it is due.

package core

import "time"

const (
	// TickInterval is how often the host should let the time pass.
	TickInterval  = 5 * time.Millisecond
	wheelSlots = 1024
)

type timerKind uint8

const (
	wakeTimer timerKind = iota
	connectTimer
	untilTimer
	deadlineTimer
	sweepTimer
	watchTimer
	leaveTimer
	clearTimer
)

type timer struct {
	due     int64 // in ticks
	kind    timerKind
	of      Handle
	attempt int
	token   string
}

type wheel struct {
	slots [wheelSlots][]timer
	at    int64 // the last tick that was fired
}

func ticks(t time.Duration) int64 { return int64((t + TickInterval - 1) / TickInterval) }

// set adds a timer; it fires at the first tick at or after due, and never in the tick being fired.
func (w *wheel) set(due time.Duration, t timer) {
	t.due = max(ticks(due), w.at+1)
	slot := &w.slots[t.due%wheelSlots]
	*slot = append(*slot, t)
}

// advance hands over all timers that are due.
func (w *wheel) advance(now time.Duration, fire func(timer)) {
	to := int64(now / TickInterval)
	if to-w.at > wheelSlots { // a long sleep: one round meets every slot
		w.at = to - wheelSlots
	}
	for w.at < to {
		w.at++
		slot := &w.slots[w.at%wheelSlots]
		list := *slot
		*slot = nil
		var later []timer
		for _, t := range list {
			if t.due > w.at {
				later = append(later, t)
				continue
			}
			fire(t)
		}
		*slot = append(later, *slot...)
	}
}
