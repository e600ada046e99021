package faultinjection

import (
	"fmt"
	"time"

	"oatloft/internal/rules"
)

// RoutingRevision is the invariant that each request is routed by an active revision: the server that a revision
// excludes shows which one a balancer routed by. A request may arrive at the server up to maxTransit after the
// decision. Requests that arrive while a link to servers is disturbed may be later, and aren't judged.
type RoutingRevision struct{ finalOnly }

const (
	maxTransit = 400 * time.Millisecond // a connection attempt is abandoned after 250 ms
	logDelay   = 20 * time.Millisecond  // a log line is written once the loop has applied the lease
)

// Judge checks all requests that reached servers.
func (RoutingRevision) Judge(w *Scenario) []string {
	w.record.mu.Lock()
	routed := w.record.routed
	w.record.mu.Unlock()
	h, _ := w.history(0) // Durability reports a missing history
	return checkRouting(routed, w.record.Works(), summarize(w.record.Ops(), h), w.serverLinksDisturbed,
		func(by string, from, to, over time.Duration) bool {
			for i := range w.Schedule.Balancers {
				if w.name(i) == by {
					return w.excusedByMachineUntil(i, from, to, over, "%s: a request reached a server %v late", by,
						over.Round(time.Millisecond))
				}
			}
			return false
		})
}

func checkRouting(routed []rules.Event, works []Work, summaries map[uint64]revisionSummary,
	disturbed func(time.Duration) bool,
	excused func(by string, from, to, over time.Duration) bool) (broken []string) {
	by := map[string][]Work{}
	for _, k := range works {
		by[k.By] = append(by[k.By], k)
	}
	for _, e := range routed {
		if e.By == "" || disturbed(e.At) {
			continue
		}
		valid, active, last, next := false, "", Work{}, unbounded
		for _, k := range by[e.By] {
			if k.To < e.At {
				last = k
			}
			if k.From > e.At {
				next = min(next, k.From)
			}
			if k.From-logDelay <= e.At && e.At-maxTransit <= k.To {
				active += fmt.Sprintf(" %d", k.Number)
				valid = valid || !isExcluded(summaries[k.Number].excluded, e.Server)
			}
		}
		if over := e.At - maxTransit - last.To; !valid && last.By != "" && summaries[last.Number].excluded != e.Server &&
			excused(e.By, last.To, e.At, over) {
			continue
		}
		switch {
		case valid:
		case active == "":
			broken = append(broken, fmt.Sprintf("%s routed a request to %s at %v while it had no active revision: "+
				"the last one ended %v before, the next one began %v after", e.By, e.Server,
				e.At.Round(time.Millisecond), (e.At-last.To).Round(time.Millisecond), (next-e.At).Round(time.Millisecond)))
		default:
			broken = append(broken, fmt.Sprintf("%s routed a request to %s at %v, which its active revisions exclude:%s",
				e.By, e.Server, e.At.Round(time.Millisecond), active))
		}
	}
	return broken[:min(len(broken), 5)]
}

// serverLinksDisturbed reports whether links to servers were disturbed at a time or within a second before.
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
