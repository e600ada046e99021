package revision

import (
	"cmp"
	"encoding/json"
	"strconv"
)

// Holder identifies a process that may hold a lease to place new requests, by member name and process generation.
type Holder struct {
	Name       string `json:"n"`
	Generation uint64 `json:"g"`
}

// String returns NAME/GENERATION.
func (h Holder) String() string { return h.Name + "/" + strconv.FormatUint(h.Generation, 10) }

func (h Holder) compare(o Holder) int {
	return cmp.Or(cmp.Compare(h.Name, o.Name), cmp.Compare(h.Generation, o.Generation))
}

// Op is the operation of a command.
type Op string

// The operations. Their texts are part of the log format that members of all versions share. Commands marked
// "term-bound" carry a LeaderTerm and are ignored once that term is over.
const (
	OpBeginTerm Op = "reign"   // By becomes the leader; ends every earlier term
	OpJoin      Op = "join"    // lists Holder; Ended: all earlier processes of its name have ended
	OpLeave     Op = "leave"   // Holder has released its lease for good; Ended: its process has ended and cannot return
	OpExpire    Op = "lapse"   // term-bound: Holder's lease has certainly expired
	OpForget    Op = "forget"  // term-bound: an operator reports that the member Name is switched off
	OpPropose   Op = "propose" // proposes Text, or the text of revision Source, as the revision that follows Base
	OpAbort     Op = "end"     // term-bound: aborts the proposal
	OpStop      Op = "stop"    // term-bound: all holders have accepted; grants nothing until commit, resume or abort
	OpResume    Op = "resume"  // term-bound: not all holders stopped in time; the revision in force continues
	OpCommit    Op = "settle"  // term-bound: all holders have stopped; the proposal comes into force
	OpEndGuard  Op = "keep"    // term-bound: the guard of revision Source ends and the revision is kept
)

// Totals are running counts for one holder or a sum over holders: requests, and how many of them were rejected,
// failed or were answered late.
type Totals struct {
	Requests int64 `json:"a,omitempty"`
	Rejected int64 `json:"r,omitempty"`
	Failed   int64 `json:"f,omitempty"`
	Late     int64 `json:"l,omitempty"`
}

func (t Totals) plus(o Totals) Totals {
	return Totals{t.Requests + o.Requests, t.Rejected + o.Rejected, t.Failed + o.Failed, t.Late + o.Late}
}

func (t Totals) minus(o Totals) Totals {
	return Totals{t.Requests - o.Requests, t.Rejected - o.Rejected, t.Failed - o.Failed, t.Late - o.Late}
}

// Command is one entry of the log.
type Command struct {
	Op                   Op              `json:"op"`
	LeaderTerm           uint64          `json:"reign,omitempty"`
	By                   string          `json:"by,omitempty"` // the leader that begins a term, or a proposal's operator
	Holder               Holder          `json:"holder,omitzero"`
	KeepLeaseOnPartition bool            `json:"hold,omitempty"`
	Ended                bool            `json:"ended,omitempty"` // for OpJoin and OpLeave
	Name                 string          `json:"name,omitempty"`
	Key                  string          `json:"key,omitempty"` // idempotency key of a proposal
	Base                 uint64          `json:"from,omitempty"`
	Source               uint64          `json:"of,omitempty"`
	Kind                 Kind            `json:"kind,omitempty"`
	Text                 json.RawMessage `json:"text,omitempty"` // as returned by Encode
	Hash                 string          `json:"hash,omitempty"`
	Note                 string          `json:"note,omitempty"`
	GuardDuration        int64           `json:"watch,omitempty"`  // ns; 0 for no guard
	Deadline             int64           `json:"within,omitempty"` // ns; 0 for the leader's default
	ProposedAt           int64           `json:"at,omitempty"`     // wall clock in ms; only shown to operators
	MaxRevisions         int             `json:"keep,omitempty"`   // maximum number of revisions in the history
	MaxHistoryBytes      int64           `json:"keep_b,omitempty"` // maximum bytes of the texts in the history
	ProposalID           uint64          `json:"id,omitempty"`     // the proposal that the command applies to
	Epoch                uint64          `json:"epoch,omitempty"`  // State.Epoch when the leader decided
	HoldersVersion       uint64          `json:"roster,omitempty"` // State.HoldersVersion when the leader decided
	Members              []string        `json:"who,omitempty"`    // members that caused an abort
	Reason               string          `json:"why,omitempty"`
	Baseline             Totals          `json:"before,omitzero"`
	Nonce                uint64          `json:"nonce,omitempty"` // lets the proposing process recognize its own command
}

// Kind is the origin of a revision.
type Kind string

// The kinds of revisions.
const (
	KindProposed Kind = "propose"
	KindRollback Kind = "rollback"
	KindGuard    Kind = "guard"
)

// DecodeCommand decodes a log entry. An entry that cannot be decoded gives a *Corrupt error at all members alike and
// has no effect.
func DecodeCommand(entry []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(entry, &c); err != nil {
		return c, &Corrupt{err.Error()}
	}
	return c, nil
}

// Encode returns the command encoded as a log entry.
func (c Command) Encode() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // possible only if Text was not written by Encode
	}
	return b
}
