package membership

import "cmp"

// State is what is held of a member. At one generation and incarnation, the greater state wins.
type State uint8

// The states. A member says itself that it is Leaving. Suspect and Gone are said by others, and it can refute them.
const (
	Alive State = iota
	Leaving
	Suspect
	Gone
)

// String returns the name as it is logged and sent.
func (s State) String() string {
	return [...]string{"alive", "leaving", "suspect", "gone"}[min(s, Gone)]
}

// Record is what members tell each other of a member.
type Record struct {
	Name        string
	Addr        string
	Generation  uint64 // new at each start of the member
	Incarnation uint32 // grows as the member refutes what others say of it
	State       State
}

// newer tells whether r replaces other, a record of the same member. Records of one generation, incarnation and
// state differ only if a name is used twice; then the address decides, so that all members hold the same.
func (r Record) newer(other Record) bool {
	return cmp.Or(
		cmp.Compare(r.Generation, other.Generation),
		cmp.Compare(r.Incarnation, other.Incarnation),
		cmp.Compare(r.State, other.State),
		cmp.Compare(r.Addr, other.Addr),
	) > 0
}

// wellFormed tells whether a member can be listed by this record.
func (r Record) wellFormed() bool {
	return r.Name != "" && r.Addr != "" && len(r.Name) <= MaxName && len(r.Addr) <= MaxName
}
