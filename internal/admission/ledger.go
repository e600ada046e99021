package admission

import "time"

// ledger accounts for the descriptors and memory in use. Its budget is the number of descriptors that clients and their
// attempts may use together: the process's limit minus the overhead, the caller's fixed uses, victimSlack, and the cut
// made after descriptors ran out.
type ledger struct {
	cfg           Descriptors
	memory        Memory
	knownShare    float64
	limit         int
	memoryLimit   int64 // bytes; 0 for no limit
	memoryUsed    int64 // bytes, as measured
	inUse         [useCount]int
	knownRequests int // requests that count against the reserve
	budget        int
	silentBudget  int // of the budget, for silent clients
	requestBudget int // of the budget, for requests
	cut           int // descriptors taken off the budget
	cutAt         time.Duration
	level         Level
}

// recompute recomputes the budget and its parts.
func (l *ledger) recompute() {
	l.budget = max(0, l.limit-l.cfg.Overhead-l.inUse[Probe]-l.inUse[Discovery]-l.inUse[Spare]-victimSlack-l.cut)
	l.silentBudget = max(min(8, l.budget/2), int(float64(l.budget)*l.cfg.SilentShare))
	l.requestBudget = l.budget - l.silentBudget
}

func (l *ledger) move(from, to Use) {
	if from != Free {
		l.inUse[from]--
	}
	if to != Free {
		l.inUse[to]++
	}
}

// used returns how many descriptors clients and their attempts use or have reserved.
func (l *ledger) used() int {
	n := 0
	for u := Silent; u <= Closing; u++ {
		n += l.inUse[u] * descriptorsPerUse[u]
	}
	return n
}

// exceeds reports whether n more descriptors would exceed the budget.
func (l *ledger) exceeds(n int) bool { return l.used()+n > l.budget }

// mayAccept reports whether another silent client may be accepted. Silent clients may use free descriptors of the
// requests' part, but not its last ones. The last quarter of their own part is for networks of known clients.
func (l *ledger) mayAccept(known bool) bool {
	if l.exceeds(1) {
		return false
	}
	if known || l.inUse[Silent] < l.silentBudget-l.silentBudget/4 {
		return true
	}
	return l.budget-l.used() > l.silentBudget/2
}

// mayAdmit reports whether two descriptors are left for a request of that rank. One of them is in use by its client.
func (l *ledger) mayAdmit(r Rank) bool {
	available := l.requestBudget - 2*(l.inUse[Unanswered]+l.inUse[Established])
	reserved := max(0, int(l.knownShare*float64(l.requestBudget))-2*l.knownRequests)
	switch r {
	case Known:
		reserved = 0
	case Claimant:
		reserved /= 2
	}
	return available >= 2+reserved
}

// plannedMemory returns the memory that all current uses may need, in bytes.
func (l *ledger) plannedMemory() int64 {
	return l.memory.Base + int64(
		l.inUse[Silent]+l.inUse[Closing],
	)*l.memory.Silent + int64(
		l.inUse[Unanswered]+l.inUse[Established],
	)*l.memory.Request
}

// memoryScarce reports whether the memory for another request can't be reserved.
func (l *ledger) memoryScarce() bool {
	return l.memoryLimit > 0 && float64(l.plannedMemory()+l.memory.Request) > l.memory.MaxShare*float64(l.memoryLimit)
}

// outOfMemory reports whether the measured memory use exceeds its limit.
func (l *ledger) outOfMemory() bool {
	return l.memoryLimit > 0 && float64(l.memoryUsed) > l.memory.MaxShare*float64(l.memoryLimit)
}

// cutBudget lowers the budget to two descriptors less than are in use, because the process got no more. It does so at
// most once per minCutInterval.
func (l *ledger) cutBudget(now time.Duration) {
	if l.cutAt != 0 && now-l.cutAt < minCutInterval {
		return
	}
	l.cutAt = now
	l.cut += max(0, l.budget-l.used()) + 2
	l.recompute()
}

// restoreBudget returns 1/16 of the cut to the budget, and at least one descriptor. Tick calls it.
func (l *ledger) restoreBudget() {
	if l.cut > 0 {
		l.cut -= max(1, l.cut/16)
		l.recompute()
	}
}

// utilization returns the share of the budget that is in use, 1 for all of it. It is the maximum of the shares of all
// descriptors, of the descriptors for requests, and of the memory.
func (l *ledger) utilization() float64 {
	if l.budget <= 0 {
		return 1
	}
	share := float64(l.used()) / float64(l.budget)
	if l.requestBudget > 0 {
		share = max(share, float64(2*(l.inUse[Unanswered]+l.inUse[Established]))/float64(l.requestBudget))
	}
	if l.memoryLimit > 0 {
		share = max(share, float64(max(l.memoryUsed, l.plannedMemory()))/(l.memory.MaxShare*float64(l.memoryLimit)))
	}
	return share
}

// updateLevel raises the level at once, and lowers it with hysteresis by one step per call.
func (l *ledger) updateLevel(g *Controller) {
	share := l.utilization()
	up, down := Normal, l.level
	for i, threshold := range [...]float64{l.cfg.Tight, l.cfg.Short, l.cfg.Full} {
		if share >= threshold {
			up = Level(i + 1)
		}
		if l.level == Level(i+1) && share < threshold-l.cfg.Hysteresis {
			down = Level(i)
		}
	}
	if next := max(up, down); next != l.level {
		l.level = next
		g.Counters.LevelChanges++
	}
}
