package faultinjection

import (
	"fmt"
	"time"
)

// LinkSum is the invariant that what all balancers send over a link never exceeds it: in no second does more come at its far end
// than the link bears and the bursts that all may have saved, by the largest size that was in force about then. What a disturbed
// way has held back comes at once later, and isn't judged.
type LinkSum struct{ finalOnly }

const (
	sumWindow = time.Second
	sumBurst  = 0.25 // of a second's bytes: bursts saved by the balancers, and what observers are late by
)

// Judge adds up.
func (LinkSum) Judge(w *Scenario) []string {
	h, _ := w.history(0)
	return checkLinkSum(w.ledger, w.record.Works(), summarize(w.record.Ops(), h), w.Now(), w.linksDelayed, func(from, to time.Duration) time.Duration { return w.lateFor(-1, from, to) })
}

func checkLinkSum(l *ledger, works []Work, say map[uint64]revisionSummary, end time.Duration, held func(from, to time.Duration) bool,
	late func(from, to time.Duration) time.Duration) (broken []string) {
	for _, link := range []string{east + ">" + west, west + ">" + east} {
		for from := time.Duration(0); from+sumWindow < end && len(broken) < 3; from += slotLength {
			to := from + sumWindow
			if held(from, to) {
				continue
			}
			most, bound := 0.0, true
			for _, k := range works {
				if k.From <= to && k.To >= from-sumWindow {
					if say[k.Number].linkBytes == 0 { // no table of links then: nothing is bounded
						bound = false
					}
					most = max(most, say[k.Number].linkBytes)
				}
			}
			n := l.sum(link, "", from, to)
			// What came late, for want of a processor, may come in one second with what was on time.
			if bound && most > 0 && float64(n) > most*(1+sumBurst) && float64(n) > most*(1+sumBurst+late(from, to).Seconds()) {
				broken = append(broken, fmt.Sprintf("%d bytes over %s from %v to %v, which bears %.0f a second", n, link, from.Round(time.Millisecond), to.Round(time.Millisecond), most))
			}
		}
	}
	return broken
}

// heldBack tells whether a disturbed way may have held bytes back that came in this time.
func (w *Scenario) linksDelayed(from, to time.Duration) bool {
	since := w.faultsBegan()
	for _, f := range w.Schedule.Faults {
		switch f.Kind {
		case "region-late", "region-cut", "region-resets", "terminals-cut", "terminals-slow", "region-thinks":
			if a := since + time.Duration(f.At); to >= a && from <= a+time.Duration(f.For)+2*time.Second {
				return true
			}
		}
	}
	return false
}
