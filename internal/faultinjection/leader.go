package faultinjection

import (
	"math/rand/v2"
	"slices"
	"strings"
)

// This file holds the faults of the current leader and of members without a vote: the leader is killed, stopped, or cut
// off from all others in one or both directions, and a member without a vote is killed, while changes are in progress.

func init() {
	for name, as := range map[string]string{"leader-killed": "kill", "leader-stops": "stop", "leader-cut": "talk-cut",
		"leader-unheard": "talk-one-way"} {
		register(name, kind{needs: revisionsOn, generate: func(rng *rand.Rand, s *Schedule) Fault {
			return anyBalancer(rng, s)
		}, begin: func(w *Scenario, f Fault) func() {
			f.A = w.leader(f.A)
			return kinds[as].begin(w, f)
		}})
	}
	register("reader-killed", kind{needs: revisionsOn, manualOnly: true, generate: anyBalancer,
		begin: func(w *Scenario, f Fault) func() {
			f.A = w.nonVoter(f.A)
			return kinds["kill"].begin(w, f)
		}})
}

// nonVoter returns the first balancer from a on that has no vote, by the status of any undisturbed one; it returns a if
// all have a vote, or if no balancer reports the voters.
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

// leader returns the leader that most balancers report, or otherwise if none reports one.
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
