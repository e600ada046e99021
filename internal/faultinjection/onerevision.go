package faultinjection

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// SingleRevision is the invariant that no two revisions are at work for new decisions at the same time, over all processes, and
// that the numbers at work never go back.
type SingleRevision struct{ finalOnly }

// Judge reads the times at work.
func (SingleRevision) Judge(w *Scenario) []string { return checkSingleRevision(w.record.Works(), w.began) }

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
				broken = append(broken, fmt.Sprintf("two revisions at work: %s by %d from %s to %s (%s), %s by %d from %s to %s", a.By, a.Number, at(a.From),
					at(a.To), a.Why, b.By, b.Number, at(b.From), at(b.To)))
			case a.Number > b.Number:
				broken = append(broken, fmt.Sprintf("%s went to work by revision %d at %s, after %s by %d at %s", b.By, b.Number, at(b.From), a.By, a.Number, at(a.From)))
			default:
				continue
			}
			break
		}
	}
	return broken
}
