package core

import "time"

const (
	// TickInterval is how often the host should send Tick.
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
	lineEndTimer
)

// timer fires once. Its handler checks whether it still applies.
type timer struct {
	tick   int64 // fires at this tick
	kind   timerKind
	client Handle // for connectTimer, attemptTimer, deadlineTimer, lineEndTimer
	number int    // attempt number, or of the watch for watchTimer
	token  string // set by the module, for policyTimer
}

// timerWheel is a hashed timing wheel with a resolution of TickInterval. A timer cannot be canceled.
type timerWheel struct {
	slots    [wheelSlots][]timer
	lastTick int64 // whose timers have been fired
}

// ceilTicks converts a time to ticks, rounded up.
func ceilTicks(t time.Duration) int64 { return int64((t + TickInterval - 1) / TickInterval) }

func (w *timerWheel) start(now time.Duration) { w.lastTick = int64(now / TickInterval) }

// set adds a timer that fires at the first tick at or after the given time, but never in the tick being fired.
func (w *timerWheel) set(at time.Duration, t timer) {
	t.tick = max(ceilTicks(at), w.lastTick+1)
	slot := &w.slots[t.tick%wheelSlots]
	*slot = append(*slot, t)
}

// advance fires all timers that are due. After a pause longer than one rotation, a single rotation visits every slot.
// Each rotation drops the timers that are obsolete.
func (w *timerWheel) advance(now time.Duration, fire func(timer), isObsolete func(timer) bool) {
	tick := int64(now / TickInterval)
	w.lastTick = max(w.lastTick, tick-wheelSlots)
	for w.lastTick < tick {
		w.lastTick++
		slot := &w.slots[w.lastTick%wheelSlots]
		list := *slot
		*slot = nil
		var later []timer
		for _, t := range list {
			switch {
			case t.tick <= w.lastTick:
				fire(t)
			case !isObsolete(t):
				later = append(later, t)
			}
		}
		*slot = append(later, *slot...)
	}
}
