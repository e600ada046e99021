package faultinjection

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// Faults of whoever leads at the time, or has no vote: it is killed, made to stand still, or cut off from all others, one way or both, while
// changes are under way.

func init() {
	for name, as := range map[string]string{"leader-killed": "kill", "leader-stops": "stop", "leader-cut": "talk-cut", "leader-unheard": "talk-one-way"} {
		register(name, kind{needs: revisionsOn, generate: func(rng *rand.Rand, s *Schedule) Fault { return anyBalancer(rng, s) }, begin: func(w *Scenario, f Fault) func() {
			f.A = w.leader(f.A)
			return kinds[as].begin(w, f)
		}})
	}
	register("reader-killed", kind{needs: revisionsOn, manualOnly: true, generate: anyBalancer, begin: func(w *Scenario, f Fault) func() {
		f.A = w.nonVoter(f.A)
		return kinds["kill"].begin(w, f)
	}})
}

// reader is the first balancer from a on that has no vote, as any living one has it; a where all have one, or nobody knows.
func (w *Scenario) nonVoter(a int) int {
	for _, i := range w.undisturbed() {
		s, ok := w.status(i)
		if !ok || s.Leader == "" {
			continue
		}
		votes := strings.Split(fields(s.Text)["voters"], ",")
		for n := range w.Schedule.Balancers {
			if k := (a - 1 + n) % w.Schedule.Balancers; !slices.Contains(votes, w.name(k)) {
				return k + 1
			}
		}
		return a
	}
	return a
}

// leader is who leads now, as most balancers have it; otherwise it is a where nobody knows.
func (w *Scenario) leader(otherwise int) int {
	votes := make([]int, w.Schedule.Balancers)
	best := -1
	for _, i := range w.undisturbed() {
		s, _ := w.status(i)
		for j := range votes {
			if s.Leader == w.name(j) {
				if votes[j]++; best < 0 || votes[j] > votes[best] {
					best = j
				}
			}
		}
	}
	if best < 0 {
		return otherwise
	}
	return best + 1
}
