package core

import "time"

const (
	// TickInterval is how often the host should let the time pass.
	TickInterval = 5 * time.Millisecond
	wheelSlots   = 1024
)

type timerKind uint8

const (
	policyTimer timerKind = iota
	connectTimer
	attemptTimer
	deadlineTimer
	checkTimer
	watchTimer
	shutdownTimer
	migrationTimer
)

// timer is what fires once. Whoever set one checks whether it still matters.
type timer struct {
	tick   int64 // at which it fires
	kind   timerKind
	client Handle // of connectTimer, attemptTimer, deadlineTimer
	number int    // of the attempt, or of the call to discovery
	token  string // of policyTimer
}

// timerWheel keeps the timers as coarse ticks. A timer cannot be stopped.
type timerWheel struct {
	slots    [wheelSlots][]timer
	lastTick int64 // that was fired
}

// ticksUp is a time in ticks, rounded up.
func ticksUp(t time.Duration) int64 { return int64((t + TickInterval - 1) / TickInterval) }

func (w *timerWheel) start(now time.Duration) { w.lastTick = int64(now / TickInterval) }

// set adds a timer; it fires at the first tick at or after the time, and never in the tick being fired.
func (w *timerWheel) set(at time.Duration, t timer) {
	t.tick = max(ticksUp(at), w.lastTick+1)
	slot := &w.slots[t.tick%wheelSlots]
	*slot = append(*slot, t)
}

// advance fires all timers that are due. After a long sleep one round meets every slot.
func (w *timerWheel) advance(now time.Duration, fire func(timer)) {
	tick := int64(now / TickInterval)
	w.lastTick = max(w.lastTick, tick-wheelSlots)
	for w.lastTick < tick {
		w.lastTick++
		slot := &w.slots[w.lastTick%wheelSlots]
		list := *slot
		*slot = nil
		var later []timer
		for _, t := range list {
			if t.tick > w.lastTick {
				later = append(later, t)
				continue
			}
			fire(t)
		}
		*slot = append(later, *slot...)
	}
}
