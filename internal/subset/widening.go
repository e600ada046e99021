package subset

import (
	"slices"
	"time"
)

// maxWidenings bounds the shift by which candidates grow.
const maxWidenings = 16

// Observation is what a balancer knows of a server that it looks at.
type Observation struct {
	ID          string
	HasCapacity bool // new requests could go there: it is warm, below the load at which it is full, and answers
	Failing     bool // it does not answer, or drains
}

// Widening decides how far beyond its subset a balancer looks. At step 0 it looks at the subset; each further step
// doubles the servers, in the order in which the balancer prefers them. It goes back the same way, a step at a
// time.
type Widening struct {
	WidenAfter  time.Duration // one step wider after nothing has had capacity for so long
	NarrowAfter time.Duration // one step back after the subset alone has had capacity for so long
	Step        int           // 0 for the subset alone

	fullSince   time.Duration // nothing has had capacity since then; 0 if something has
	enoughSince time.Duration // half of the subset has had capacity since then; 0 if it has not
	steppedAt   time.Duration // the last step
}

// Update takes the observations of the subset's servers and of all candidates, and whether this balancer has
// rejected a request since the last update, and returns the step. A rejection widens at once: it costs more than
// looking further.
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

// withCapacity counts the servers that could take new requests.
func withCapacity(list []Observation) (count int) {
	for _, s := range list {
		if s.HasCapacity && !s.Failing {
			count++
		}
	}
	return count
}

// Limit takes back steps that would reach beyond all servers, so that the way back is no longer than the way there.
func (w *Widening) Limit(subsetSize, servers int) {
	for w.Step > 0 && subsetSize<<(w.Step-1) >= servers {
		w.Step--
	}
}

// Candidates returns the servers that a balancer looks at in a step: the subset, and beyond it those that it prefers.
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
