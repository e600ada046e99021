package faultinjection

import (
	"fmt"
	"time"

	"oatloft/internal/rules"
)

// Newcomers is the invariant that each is routed by a revision at work: the regions that revisions leave out betray who routes
// by another one. What was decided may take a little until it has come to the region, and a link to regions that is
// disturbed longer: what came then isn't judged.
type RoutingRevision struct{ finalOnly }

const (
	maxTransit = 400 * time.Millisecond // a connection that is given up takes 250
	logDelay     = 20 * time.Millisecond  // a line of a log is written when the loop has taken the permit up
)

// Judge looks at all that came to regions.
func (RoutingRevision) Judge(w *Scenario) []string {
	w.record.mu.Lock()
	routed := w.record.routed
	w.record.mu.Unlock()
	h, _ := w.history(0) // Kept says so where there is none
	return checkRouting(routed, w.record.Works(), summarize(w.record.Ops(), h), w.serverLinksDisturbed, func(by string, from, to, over time.Duration) bool {
		for i := range w.Schedule.Balancers {
			if w.name(i) == by {
				return w.excusedByMachineUntil(i, from, to, over, "%s: a newcomer came to a region %v late", by, over.Round(time.Millisecond))
			}
		}
		return false
	})
}

func checkRouting(routed []rules.Event, works []Work, say map[uint64]revisionSummary, disturbed func(time.Duration) bool,
	excused func(by string, from, to, over time.Duration) bool) (broken []string) {
	by := map[string][]Work{}
	for _, k := range works {
		by[k.By] = append(by[k.By], k)
	}
	for _, e := range routed {
		if e.By == "" || disturbed(e.At) {
			continue
		}
		may, had, last, next := false, "", Work{}, unbounded
		for _, k := range by[e.By] {
			if k.To < e.At {
				last = k
			}
			if k.From > e.At {
				next = min(next, k.From)
			}
			if k.From-logDelay <= e.At && e.At-maxTransit <= k.To {
				had += fmt.Sprintf(" %d", k.Number)
				may = may || !isExcluded(say[k.Number].excluded, e.Region)
			}
		}
		if over := e.At - maxTransit - last.To; !may && last.By != "" && say[last.Number].excluded != e.Region && excused(e.By, last.To, e.At, over) {
			continue
		}
		switch {
		case may:
		case had == "":
			broken = append(broken, fmt.Sprintf("%s sent a newcomer to %s at %v while no revision was at work there: let go %v before, at work %v after", e.By, e.Region,
				e.At.Round(time.Millisecond), (e.At-last.To).Round(time.Millisecond), (next-e.At).Round(time.Millisecond)))
		default:
			broken = append(broken, fmt.Sprintf("%s sent a newcomer to %s at %v, which is left out by what was at work there:%s", e.By, e.Region,
				e.At.Round(time.Millisecond), had))
		}
	}
	return broken[:min(len(broken), 5)]
}

// disturbed tells whether links to regions are, or were a moment ago.
func (w *Scenario) serverLinksDisturbed(at time.Duration) bool {
	for _, f := range w.Schedule.Faults {
		switch f.Kind {
		case "region-late", "region-cut", "region-refuses", "region-resets":
			if from := w.faultsBegan() + time.Duration(f.At); at >= from && at <= from+time.Duration(f.For)+time.Second {
				return true
			}
		}
	}
	return false
}
