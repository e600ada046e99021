package faultinjection

import (
	"fmt"
	"time"
)

// LinkShare is the invariant that once all is calm the bulk class has its guaranteed part of a link wherever its terminals stand,
// and that no terminal is starved: none that sends all the time goes without a byte for long.
type LinkShare struct {
	finalOnly
	LinkUse     float64 // of the link, while it was measured
	from, to time.Duration
}

const (
	measureTime  = 3 * time.Second
	maxGap = 2500 * time.Millisecond
)

// Calm lets the terminals go on for a while after all is settled, which is what is judged.
func (s *LinkShare) Measure(w *Scenario) {
	time.Sleep(time.Second) // what was lent elsewhere comes back
	s.from = w.Now()
	pause(w.stop, measureTime)
	s.to = w.Now()
}

// Judge looks at the calm time.
func (s *LinkShare) Judge(w *Scenario) []string {
	inForce, _ := w.inForce(0)
	h, _ := w.history(0)
	broken := s.judge(w.ledger, summarize(w.record.Ops(), h)[inForce].linkBytes)
	if len(broken) > 0 && w.excusedByMachineUntil(-1, s.from, s.to, (s.to-s.from)/10, "%s", broken[0]) {
		return nil
	}
	return broken
}

func (s *LinkShare) judge(l *ledger, size float64) (broken []string) {
	stand, worst := 0, time.Duration(0)
	for _, p := range l.transfers {
		p.mu.Lock()
		if p.crosses && p.from <= s.from && p.to >= s.to {
			stand++
			worst = max(worst, p.longestGap(s.from, s.to))
		}
		p.mu.Unlock()
	}
	if size == 0 || stand == 0 {
		return nil
	}
	link := east + ">" + west
	took := s.to - s.from
	all, bulk := float64(l.sum(link, "", s.from, s.to))/took.Seconds(), float64(l.sum(link, "bulk", s.from, s.to))/took.Seconds()
	s.LinkUse = all / size
	if bulk < 0.8*bulkShare*size {
		broken = append(broken, fmt.Sprintf("bulk had %.0f bytes a second of %s, its guaranteed part is %.0f (%d terminals sent all the time)", bulk, link, bulkShare*size, stand))
	}
	if worst > maxGap {
		broken = append(broken, fmt.Sprintf("a terminal that sent all the time went without a byte for %v", worst.Round(time.Millisecond)))
	}
	return broken
}
