package faultinjection

import (
	"fmt"
	"time"
)

// LinkShare is the invariant that after the last fault the bulk class gets its guaranteed share of a link at whichever
// balancers its clients are connected, and that no client that sends throughout goes without a byte for longer than
// maxGap.
type LinkShare struct {
	finalOnly
	LinkUse  float64 // share of the link's capacity that was used during the measurement
	from, to time.Duration
}

const (
	measureTime = 3 * time.Second
	maxGap      = 2500 * time.Millisecond
)

// Measure lets the clients go on for measureTime after all has settled; Judge judges this period.
func (s *LinkShare) Measure(w *Scenario) {
	time.Sleep(time.Second) // bandwidth granted to other balancers is returned
	s.from = w.Now()
	pause(w.stop, measureTime)
	s.to = w.Now()
}

// Judge checks the period of the measurement.
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
	throughout, longest := 0, time.Duration(0)
	for _, p := range l.transfers {
		p.mu.Lock()
		if p.crosses && p.from <= s.from && p.to >= s.to {
			throughout++
			longest = max(longest, p.longestGap(s.from, s.to))
		}
		p.mu.Unlock()
	}
	if size == 0 || throughout == 0 {
		return nil
	}
	link := east + ">" + west
	length := s.to - s.from
	all, bulk := float64(l.sum(link, "", s.from, s.to))/length.Seconds(),
		float64(l.sum(link, "bulk", s.from, s.to))/length.Seconds()
	s.LinkUse = all / size
	if bulk < 0.8*bulkShare*size {
		broken = append(broken, fmt.Sprintf("bulk got %.0f bytes/s of %s, its guaranteed share is %.0f "+
			"(%d clients sent throughout)", bulk, link, bulkShare*size, throughout))
	}
	if longest > maxGap {
		broken = append(broken, fmt.Sprintf("a client that sent throughout got no byte through for %v",
			longest.Round(time.Millisecond)))
	}
	return broken
}
