package coordination

import (
	"slices"
	"strconv"
	"strings"

	"oatloft/internal/hint"
	"oatloft/internal/subset"
	"oatloft/policy"
)

// NumberedBalancer coordinates balancers that don't communicate with each other: each only knows its own number and the
// configured number of balancers. Its candidates are all servers of its zone and a subset of the others, and its number
// determines its stagger offset. It does not know the zones of the other balancers.
type NumberedBalancer struct {
	Number     int // of this balancer, from 0
	Count      int // number of balancers
	Zone       string
	SubsetSize int // candidates among the servers of other zones; 0 for all
}

// maxNumber limits the number of a balancer.
const maxNumber = 1 << 16

// MissingNumber is returned if a balancer's number is not in its name.
type MissingNumber struct{ hint.Annotated }

// ParseNumber parses a balancer's number from the end of its name, such as n17. The error is *MissingNumber.
func ParseNumber(name string) (int, error) {
	digits := name[len(strings.TrimRight(name, "0123456789")):]
	number, err := strconv.Atoi(digits)
	if err != nil || number > maxNumber {
		return 0, &MissingNumber{hint.Annotated{
			Where: "numbered.number",
			What:  "the balancer's name " + strconv.Quote(name) + " does not end in a number up to 65536",
			Do:    "set numbered.number, counting from 0, to a different number on each balancer",
		}}
	}
	return number, nil
}

// Events returns the decision module's events for a list of servers.
func (n NumberedBalancer) Events(servers []policy.Server) []policy.Event {
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

// split returns the live servers in this balancer's zone (near) and those in other zones (far). The zones of the other
// balancers are unknown, so the zones of far servers are left out.
func (n NumberedBalancer) split(servers []policy.Server) (near []string, far []subset.Server) {
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
