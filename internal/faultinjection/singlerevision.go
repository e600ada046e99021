package faultinjection

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// SingleRevision is the invariant that no two revisions are active for new decisions at the same time, over all
// processes, and that the number of the active revision never decreases.
type SingleRevision struct{ finalOnly }

// Judge compares the periods in which revisions were active.
func (SingleRevision) Judge(w *Scenario) []string {
	return checkSingleRevision(w.record.Works(), w.began)
}

func checkSingleRevision(list []Work, since time.Duration) (broken []string) {
	slices.SortStableFunc(list, func(a, b Work) int { return cmp.Compare(a.From, b.From) })
	at := func(d time.Duration) string {
		if d == unbounded {
			return "the end"
		}
		return fmt.Sprint((d - since).Round(time.Millisecond / 10))
	}
	for i, b := range list {
		for _, a := range list[:i] {
			switch {
			case a.Number != b.Number && b.From < a.To:
				broken = append(broken, fmt.Sprintf("two revisions active at once: %s used %d from %s to %s (%s), "+
					"%s used %d from %s to %s", a.By, a.Number, at(a.From),
					at(a.To), a.Why, b.By, b.Number, at(b.From), at(b.To)))
			case a.Number > b.Number:
				broken = append(broken, fmt.Sprintf("%s activated revision %d at %s, after %s had activated %d at %s", b.By,
					b.Number, at(b.From), a.By, a.Number, at(a.From)))
			default:
				continue
			}
			break
		}
	}
	return broken
}
