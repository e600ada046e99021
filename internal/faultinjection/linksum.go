package faultinjection

import (
	"fmt"
	"time"
)

// LinkSum is the invariant that all balancers together never exceed the capacity of a link: in no second do more bytes
// arrive than its capacity, by the largest table in force around that time, plus the bursts that the balancers may have
// saved. Bytes that a disturbed connection delayed arrive later at once, and aren't judged.
type LinkSum struct{ finalOnly }

const (
	sumWindow = time.Second
	sumBurst  = 0.25 // share of a second's bytes: bursts saved by the balancers, and the delay of the observers
)

// Judge adds up the bytes of each second.
func (LinkSum) Judge(w *Scenario) []string {
	h, _ := w.history(0)
	return checkLinkSum(w.ledger, w.record.Works(), summarize(w.record.Ops(), h), w.Now(), w.linksDelayed,
		func(from, to time.Duration) time.Duration { return w.lateFor(-1, from, to) })
}

func checkLinkSum(l *ledger, works []Work, summaries map[uint64]revisionSummary, end time.Duration,
	delayed func(from, to time.Duration) bool,
	late func(from, to time.Duration) time.Duration) (broken []string) {
	for _, link := range []string{east + ">" + west, west + ">" + east} {
		for from := time.Duration(0); from+sumWindow < end && len(broken) < 3; from += slotLength {
			to := from + sumWindow
			if delayed(from, to) {
				continue
			}
			capacity, bounded := 0.0, true
			for _, k := range works {
				if k.From <= to && k.To >= from-sumWindow {
					if summaries[k.Number].linkBytes == 0 { // without a table of links nothing is bounded
						bounded = false
					}
					capacity = max(capacity, summaries[k.Number].linkBytes)
				}
			}
			n := l.sum(link, "", from, to)
			// Bytes that were late for lack of a processor may arrive in the same second as bytes that were on time.
			if bounded && capacity > 0 && float64(n) > capacity*(1+sumBurst) &&
				float64(n) > capacity*(1+sumBurst+late(from, to).Seconds()) {
				broken = append(broken, fmt.Sprintf("%d bytes over %s from %v to %v, whose capacity is %.0f bytes/s", n, link,
					from.Round(time.Millisecond), to.Round(time.Millisecond), capacity))
			}
		}
	}
	return broken
}

// linksDelayed reports whether a disturbed connection may have delayed bytes that arrived in this period.
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
