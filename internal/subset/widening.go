package subset

import (
	"slices"
	"time"
)

// maxWidenings limits the number of doublings in Candidates, and so the shift.
const maxWidenings = 16

// Observation is the state of a server as seen by a balancer.
type Observation struct {
	ID          string
	HasCapacity bool // it can take new requests: it has warmed up, answers, and its load is below the limit
	Failing     bool // it does not answer, or is draining
}

// Widening decides how many candidates beyond its subset a balancer uses. At step 0 the candidates are the subset. Each
// further step doubles their number, in the balancer's order of preference. They are reduced in the same way, by one
// step at a time.
type Widening struct {
	WidenAfter  time.Duration // adds a step after no candidate has had capacity for this long
	NarrowAfter time.Duration // removes a step after half of the subset has had capacity for this long
	Step        int           // 0 for the subset alone

	fullSince   time.Duration // no candidate has had capacity since then; 0 if one has
	enoughSince time.Duration // half of the subset has had capacity since then; 0 if less has
	steppedAt   time.Duration // time of the last step
}

// Update takes the observations of the subset's servers and of all candidates, and whether this balancer has rejected
// a request since the last update. It returns the step. A rejection adds a step at once, because it costs more than
// probing more servers.
func (w *Widening) Update(now time.Duration, subset, candidates []Observation, rejected bool) int {
	if withCapacity(candidates) > 0 {
		w.fullSince = 0
	} else if w.fullSince == 0 {
		w.fullSince = max(now, 1)
	}
	if len(subset) == 0 || 2*withCapacity(subset) < len(subset) {
		w.enoughSince = 0
	} else if w.enoughSince == 0 {
		w.enoughSince = max(now, 1)
	}
	switch {
	case rejected || w.fullSince > 0 && now-max(w.fullSince, w.steppedAt) >= w.WidenAfter:
		w.Step, w.steppedAt = w.Step+1, now
	case w.Step > 0 && w.enoughSince > 0 && now-max(w.enoughSince, w.steppedAt) >= w.NarrowAfter:
		w.Step, w.steppedAt = w.Step-1, now
	}
	return w.Step
}

// withCapacity returns the number of servers that can take new requests.
func withCapacity(list []Observation) (count int) {
	for _, s := range list {
		if s.HasCapacity && !s.Failing {
			count++
		}
	}
	return count
}

// Limit removes steps beyond the one that includes all servers, so that narrowing doesn't take longer than widening.
func (w *Widening) Limit(subsetSize, servers int) {
	for w.Step > 0 && subsetSize<<(w.Step-1) >= servers {
		w.Step--
	}
}

// Candidates returns the servers that a balancer uses at a step: the subset, and of the others those it prefers most.
func Candidates(m Member, subset []string, servers []Server, step int) []string {
	if step <= 0 {
		return subset
	}
	outside := slices.DeleteFunc(slices.Clone(servers), func(s Server) bool { return slices.Contains(subset, s.ID) })
	slices.SortFunc(outside, func(a, b Server) int { return comparePreference(m, a, b) })
	more := max(1, len(subset))*(1<<min(step, maxWidenings)) - len(subset)
	candidates := slices.Clone(subset)
	for _, s := range outside[:min(more, len(outside))] {
		candidates = append(candidates, s.ID)
	}
	return candidates
}
