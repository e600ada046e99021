package coordination

import (
	"slices"
	"strconv"
	"strings"

	"oatloft/internal/hint"
	"oatloft/internal/subset"
	"oatloft/policy"
)

// Numbered is the part of a balancer that talks to no other, by its own number and the settings' count of
// balancers. It looks at all servers of its zone and at its subset of the others, and takes its turn where all do
// something once. It does not know which zones the others are in.
type Numbered struct {
	Number     int
	Count      int
	Zone       string
	SubsetSize int // servers of other zones that it looks at; 0 for all
}

// maxNumber bounds a balancer's number.
const maxNumber = 1 << 16

// MissingNumber is the error that a balancer has no number of its own.
type MissingNumber struct{ hint.Annotated }

// ParseNumber reads a balancer's number from the end of its name, such as n17. The error is *MissingNumber.
func ParseNumber(name string) (int, error) {
	digits := name[len(strings.TrimRight(name, "0123456789")):]
	number, err := strconv.Atoi(digits)
	if err != nil || number > maxNumber {
		return 0, &MissingNumber{hint.Annotated{
			Where: "numbered.number",
			What:  "the balancer's name " + strconv.Quote(name) + " ends in no number, so it has to be given",
			Do:    "set numbered.number, from 0 on, another one at each balancer",
		}}
	}
	return number, nil
}

// Events returns the decision module's events for a list of servers.
func (n Numbered) Events(servers []policy.Server) []policy.Event {
	near, far := n.split(servers)
	count := max(1, n.Count)
	number := n.Number % count
	events := []policy.Event{policy.FleetState{StaggerOffset: (float64(number) + 0.5) / float64(count)}}
	if n.SubsetSize == 0 {
		return events
	}
	if len(far) <= n.SubsetSize {
		return append(events, policy.CandidateSubset{})
	}
	unknownZone := func(int) string { return "" }
	cfg := subset.Config{Size: n.SubsetSize, MinBalancers: minBalancers}
	list := append(near, subset.ForNumber(number, count, unknownZone, far, cfg)...)
	slices.Sort(list)
	return append(events, policy.CandidateSubset{Servers: list})
}

// split returns the live servers of this balancer's zone, and those of others. Nothing is known of the zones of other
// balancers, so far servers go without theirs.
func (n Numbered) split(servers []policy.Server) (near []string, far []subset.Server) {
	for _, s := range servers {
		switch {
		case s.State != policy.Live:
		case s.Zone == n.Zone:
			near = append(near, s.ID)
		default:
			far = append(far, subset.Server{ID: s.ID})
		}
	}
	return near, far
}
