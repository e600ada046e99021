package faultinjection

import "fmt"

// Convergence is the invariant that after the last fault, within the settling time of the run, all balancers route by
// the same revision and no change is pending.
type Convergence struct{}

// During checks nothing.
func (Convergence) During(*Scenario) {}

// Settled compares the status of all balancers.
func (Convergence) Settled(w *Scenario) string {
	var all []Status
	for i := range w.Schedule.Balancers {
		s, ok := w.status(i)
		if !ok {
			return fmt.Sprintf("%s does not answer the call revision status: %s", w.name(i), s.Text)
		}
		all = append(all, s)
	}
	return checkConvergence(all, w.name)
}

func checkConvergence(all []Status, name func(int) string) string {
	for i, s := range all {
		switch {
		case s.Leader == "":
			return fmt.Sprintf("%s knows no leader: %s", name(i), s.Text)
		case s.Phase != "at-work" || s.Number != s.InForce:
			return fmt.Sprintf("%s does not route by the revision in force: %s", name(i), s.Text)
		case s.Pending != "":
			return fmt.Sprintf("%s reports a pending change: %s", name(i), s.Text)
		case s.Number != all[0].Number || s.Hash != all[0].Hash:
			return fmt.Sprintf("%s routes by revision %d (%s), %s by %d (%s)", name(0), all[0].Number, all[0].Hash, name(i),
				s.Number, s.Hash)
		}
	}
	return ""
}
