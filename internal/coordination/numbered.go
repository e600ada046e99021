package coordination

import (
	"slices"
	"strconv"
	"strings"

	"oatloft/internal/hint"
	"oatloft/internal/subset"
	"oatloft/policy"
)

// Numbered is what a balancer does that talks to no other, by its own number and the count of the settings: it looks at all
// regions of its zone, at its part of the others, and takes its turn where all do something once. Which zones the others
// are in it doesn't know.
type Numbered struct {
	Number, Count int
	Zone          string
	Subset        int // far regions that it looks at; 0 for all
}

// NoNumber is that a balancer has no number of its own.
type NoNumber struct{ hint.Annotated }

// NumberOf reads a balancer's number from the end of its name, as in n17.
func NumberOf(name string) (int, error) {
	digits := name[len(strings.TrimRight(name, "0123456789")):]
	n, err := strconv.Atoi(digits)
	if err != nil || n > 1<<16 {
		return 0, &NoNumber{hint.Annotated{Where: "numbered.number", What: "the balancer's name " + strconv.Quote(name) + " ends in no number, so it has to be given",
			Do: "set numbered.number, from 0 on, another one at each balancer"}}
	}
	return n, nil
}

// Look returns the module's events for a list of regions.
func (n Numbered) Look(regions []policy.Server) []policy.Event {
	var near []string
	var far []subset.Region
	for _, r := range regions {
		switch {
		case r.State != policy.Live:
		case r.Zone == n.Zone:
			near = append(near, r.ID)
		default:
			far = append(far, subset.Region{ID: r.ID})
		}
	}
	number, count := n.Number%max(1, n.Count), max(1, n.Count)
	events := []policy.Event{policy.FleetState{StaggerOffset: (float64(number) + 0.5) / float64(count)}}
	if n.Subset == 0 {
		return events
	}
	if len(far) == 0 || len(far) <= n.Subset {
		return append(events, policy.CandidateSubset{})
	}
	part := subset.Numbered(number, count, func(int) string { return "" }, far, subset.Settings{Size: n.Subset, Least: least})
	list := append(near, part...)
	slices.Sort(list)
	return append(events, policy.CandidateSubset{Servers: list})
}
