package faultinjection

import (
	"encoding/hex"
	"fmt"
	"strings"

	"oatloft/internal/coordination"
)

// Coverage is the invariant of subsets: after the last fault, the numbers of balancers that probe each ready server
// differ by at most one. It reads the subset that each balancer reports from another balancer, as received there.
// During faults the views differ, and nothing is judged.
type Coverage struct{}

// During checks nothing.
func (Coverage) During(*Scenario) {}

// Settled adds up the subset of each balancer, as received by the next one.
func (Coverage) Settled(w *Scenario) string {
	n := w.Schedule.Balancers
	if n < 2 {
		return ""
	}
	at := map[uint32]int{}
	for i := range n {
		h, ok := w.queryMembers((i + 1) % n)
		if !ok {
			return w.name((i+1)%n) + " does not answer the call peers"
		}
		value, _, _ := strings.Cut(h.members[w.name(i)][coordination.SubsetKey], "/")
		marks, err := hex.DecodeString(value)
		if err != nil || len(marks) == 0 || len(marks)%4 != 0 {
			return fmt.Sprintf("%s has not received which servers %s probes", w.name((i+1)%n), w.name(i))
		}
		for ; len(marks) > 0; marks = marks[4:] {
			at[uint32(marks[0])<<24|uint32(marks[1])<<16|uint32(marks[2])<<8|uint32(marks[3])]++
		}
	}
	least, most := n, 0
	for _, r := range w.Servers {
		c := at[coordination.ServerHash(r.Name)]
		least, most = min(least, c), max(most, c)
	}
	if most-least > 1 || least == 0 {
		return fmt.Sprintf("servers are probed by %d to %d balancers", least, most)
	}
	return ""
}
