package admission

import "time"

// ledger keeps what is held, by use. Its budget is what the terminals and their routed tasks may hold
// together: the process's limit less its own overhead, the host's fixed uses, the slack, and what exhaustion cut off.
type ledger struct {
	cfg          Descriptors
	memory       Memory
	reserve      float64
	limit        int
	memLimit     int64
	memUsed      int64
	held         [uses]int
	known        int // transactions that count against the reserve
	budget       int
	silentPart   int // of the budget, for those who have not said what they want
	transactions int // of the budget, for the rest
	cut          int
	cutAt        time.Duration
	level        Level
}

// settle divides the budget anew.
func (l *ledger) settle() {
	l.budget = max(0, l.limit-l.cfg.Overhead-l.held[Probe]-l.held[Discovery]-l.held[Spare]-slack-l.cut)
	l.silentPart = max(min(8, l.budget/2), int(float64(l.budget)*l.cfg.SilentShare))
	l.transactions = l.budget - l.silentPart
}

func (l *ledger) move(from, to Use) {
	if from != Free {
		l.held[from]--
	}
	if to != Free {
		l.held[to]++
	}
}

// used is what the terminals and their routed tasks hold or have set aside.
func (l *ledger) used() int {
	n := 0
	for u := Silent; u <= Leaving; u++ {
		n += l.held[u] * weight[u]
	}
	return n
}

// over tells that n more don't fit.
func (l *ledger) over(n int) bool { return l.used()+n > l.budget }

// mayBeSilent tells whether another terminal may come in. Those who have said nothing may use what nobody else
// needs, but no transaction's last descriptors; the last of their own part is for networks of known clients.
func (l *ledger) mayBeSilent(known bool) bool {
	if l.over(1) {
		return false
	}
	if known || l.held[Silent] < l.silentPart-l.silentPart/4 {
		return true
	}
	return l.budget-l.used() > l.silentPart/2
}

// mayTake tells whether a transaction of that rank has its two descriptors, one of which it holds already.
func (l *ledger) mayTake(r Rank) bool {
	left := l.transactions - 2*(l.held[Owed]+l.held[Standing])
	kept := max(0, int(l.reserve*float64(l.transactions))-2*l.known)
	switch r {
	case Known:
		kept = 0
	case Claimant:
		kept /= 2
	}
	return left >= 2+kept
}

// planned is the memory that all uses may come to need, in bytes.
func (l *ledger) planned() int64 {
	return l.memory.Base + int64(
		l.held[Silent]+l.held[Leaving],
	)*l.memory.Silent + int64(
		l.held[Owed]+l.held[Standing],
	)*l.memory.Transaction
}

// memoryShort tells that another transaction's memory can't be set aside.
func (l *ledger) memoryShort() bool {
	return l.memLimit > 0 && float64(l.planned()+l.memory.Transaction) > l.memory.MaxShare*float64(l.memLimit)
}

// outOfMemory tells that the process really holds more than it should.
func (l *ledger) outOfMemory() bool {
	return l.memLimit > 0 && float64(l.memUsed) > l.memory.MaxShare*float64(l.memLimit)
}

// cutBack lowers the budget to what is held, since the process has no more.
func (l *ledger) cutBack(now time.Duration) {
	if l.cutAt != 0 && now-l.cutAt < cutFor {
		return
	}
	l.cutAt = now
	l.cut += max(0, l.budget-l.used()) + 2
	l.settle()
}

// growBack gives a part of what was cut off back, at each sweep.
func (l *ledger) growBack() {
	if l.cut > 0 {
		l.cut -= max(1, l.cut/16)
		l.settle()
	}
}

// fill is how much of the budget is held, 1 for all of it.
func (l *ledger) fill() float64 {
	if l.budget <= 0 {
		return 1
	}
	f := float64(l.used()) / float64(l.budget)
	if l.transactions > 0 {
		f = max(f, float64(2*(l.held[Owed]+l.held[Standing]))/float64(l.transactions))
	}
	if l.memLimit > 0 {
		f = max(f, float64(max(l.memUsed, l.planned()))/(l.memory.MaxShare*float64(l.memLimit)))
	}
	return f
}

// relevel lets the level rise at once and fall with hysteresis, one step a call.
func (l *ledger) relevel(g *Gate) {
	f := l.fill()
	up, down := Calm, l.level
	for i, at := range [...]float64{l.cfg.Tight, l.cfg.Short, l.cfg.Full} {
		if f >= at {
			up = Level(i + 1)
		}
		if l.level == Level(i+1) && f < at-l.cfg.Hysteresis {
			down = Level(i)
		}
	}
	if next := max(up, down); next != l.level {
		l.level = next
		g.Counters.LevelChanges++
	}
}
