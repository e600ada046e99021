package admission

import "time"

// Ticket identifies one accepted connection from Accept to Closed. It is invalid afterwards, even if its index is used
// again for another connection. The zero Ticket means none.
type Ticket uint64

func (t Ticket) index() int32 { return int32(uint32(t)) }

// Use is the purpose that a descriptor is used for.
type Use uint8

// The uses. An attempt's descriptor is reserved together with its client's: Unanswered and Established count two each.
const (
	Free        Use = iota
	Silent          // a client that has not sent its first line
	Unanswered      // its request was admitted and not answered yet; a descriptor is reserved for its attempt
	Established     // client and server are connected
	Closing         // answered or ended; the descriptor is not closed yet
	Probe           // this and the following uses are the caller's own, set by SetReserved
	Discovery
	Spare // for answering when the process has none left, and for closing refused connections gracefully
	useCount
)

// String returns the name of the use in reports.
func (u Use) String() string {
	return [...]string{"free", "silent", "owed", "standing", "leaving", "probe", "discovery", "spare"}[u]
}

// descriptorsPerUse is the number of descriptors that a client takes in each use.
var descriptorsPerUse = [useCount]int{Silent: 1, Unanswered: 2, Established: 2, Closing: 1}

// Rank is how well a client is known.
type Rank uint8

// The ranks.
const (
	Unknown  Rank = iota
	Claimant      // presents a known client's key from another network than that client's
	Known
)

// String returns the name of the rank.
func (r Rank) String() string { return [...]string{"stranger", "claimant", "known"}[r] }

// Level is how scarce the balancer's descriptors and memory are.
type Level uint8

// The levels.
const (
	Normal Level = iota
	Tight
	Short
	Full
)

// String returns the name of the level in logs and reports.
func (l Level) String() string { return [...]string{"calm", "tight", "short", "full"}[l] }

// Reason is why a client was refused or closed.
type Reason uint8

// The reasons.
const (
	Admitted Reason = iota
	AddressConnections
	AddressSilent
	AddressRate
	AddressBytes
	NetworkRate
	NetworkShare
	ReservedForKnown
	TenantShare
	LevelFull
	NoDescriptor
	NoMemory
	Exhaustion       // the process had no descriptor left although the budget was not used up
	Reclaimed        // closed while silent, to free its descriptor
	FirstLineTimeout // closed after Address.FirstLineTimeout because it was silent at level Short or above
	NoLease          // the balancer has no lease for a revision
	reasonCount
)

var reasonNames = [reasonCount]string{"admitted", "address_connections", "address_silent", "address_rate",
	"address_bytes", "network_rate", "network_share", "reserve_kept", "tenant_share", "level_full", "no_descriptor",
	"no_memory", "exhaustion", "made_room", "impatience", "no_permit"}

// String returns the name of the reason in logs and reports.
func (r Reason) String() string { return reasonNames[r] }

// Verdict is a decision. RetryAfter is the time after which a refused client should retry, or 0 for no retry time.
type Verdict struct {
	Reason     Reason
	RetryAfter time.Duration
	// the address connects too often: close right after the answer, without waiting for the client to close
	CloseAtOnce bool
}

// OK reports whether the client is admitted.
func (v Verdict) OK() bool { return v.Reason == Admitted }

// ClaimedIdentity is the identity that a client presents in its first line. It is not authenticated.
type ClaimedIdentity struct{ Key, Tenant string }
