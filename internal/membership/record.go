package membership

import "cmp"

// State is the state of a member. Within one generation and incarnation, the greater state wins.
type State uint8

// The states of a member. Leaving is announced by the member itself. Suspect and Gone are reported by other members,
// and the member can refute them.
const (
	Alive State = iota
	Leaving
	Suspect
	Gone
)

// String returns the name used in logs and in answers to management calls.
func (s State) String() string {
	return [...]string{"alive", "leaving", "suspect", "gone"}[min(s, Gone)]
}

// Record is the description of a member that members exchange.
type Record struct {
	Name        string
	Addr        string
	Generation  uint64 // new at each start of the member
	Incarnation uint32 // increased by the member to refute others' records of it
	State       State
}

// newer reports whether r replaces other, a record of the same member. Records of one generation, incarnation and state
// differ only if two processes use the same name; the address breaks the tie, so that all members agree.
func (r Record) newer(other Record) bool {
	return cmp.Or(
		cmp.Compare(r.Generation, other.Generation),
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.State, other.State),
		cmp.Compare(r.Addr, other.Addr),
	) > 0
}

// wellFormed reports whether the name and address are present and within MaxName.
func (r Record) wellFormed() bool {
	return r.Name != "" && r.Addr != "" && len(r.Name) <= MaxName && len(r.Addr) <= MaxName
}
