package revision

import (
	"cmp"
	"encoding/json"
	"strconv"
)

// Holder is a process that may hold a lease to place new requests: a member by name, and which of its processes.
type Holder struct {
	Name       string `json:"n"`
	Generation uint64 `json:"g"`
}

// String returns NAME/GENERATION.
func (h Holder) String() string { return h.Name + "/" + strconv.FormatUint(h.Generation, 10) }

func (h Holder) compare(o Holder) int {
	return cmp.Or(cmp.Compare(h.Name, o.Name), cmp.Compare(h.Generation, o.Generation))
}

// Op is what a command does.
type Op string

// The commands. Members of all versions know them by these texts. Those that bear a LeaderTerm count only while it
// lasts.
const (
	OpBeginTerm Op = "reign"   // By leads from now on; ends every earlier term
	OpJoin      Op = "join"    // Holder is listed; Ended: no earlier process of its name is there any more
	OpLeave     Op = "leave"   // Holder has given up its lease for good; Ended: its process is over, and never comes again
	OpExpire    Op = "lapse"   // of a term: Holder's lease is over for sure
	OpForget    Op = "forget"  // of a term: an operator says that the member Name is off
	OpPropose   Op = "propose" // Text, or the text of revision Source, is to be the next revision after Base
	OpAbort     Op = "end"     // of a term: the proposal is given up
	OpStop      Op = "stop"    // of a term: all have accepted; nobody is granted a lease until commit, resume or abort
	OpResume    Op = "resume"  // of a term: not all have stopped in time; the revision in force goes on
	OpCommit    Op = "settle"  // of a term: all have stopped; the proposal is in force
	OpEndGuard  Op = "keep"    // of a term: the guard of revision Source is over
)

// Totals are running counts of a holder, or sums of them: requests, and of these rejected, failed and answered late.
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
	Op              Op              `json:"op"`
	LeaderTerm      uint64          `json:"reign,omitempty"`
	By              string          `json:"by,omitempty"` // the leader of a term, the operator of a proposal
	Holder          Holder          `json:"holder,omitzero"`
	HoldOnPartition bool            `json:"hold,omitempty"`
	Ended           bool            `json:"ended,omitempty"` // see OpJoin and OpLeave
	Name            string          `json:"name,omitempty"`
	Key             string          `json:"key,omitempty"` // idempotency key of a proposal
	Base            uint64          `json:"from,omitempty"`
	Source          uint64          `json:"of,omitempty"`
	Kind            Kind            `json:"kind,omitempty"`
	Text            json.RawMessage `json:"text,omitempty"` // as Encode gives it
	Hash            string          `json:"hash,omitempty"`
	Note            string          `json:"note,omitempty"`
	GuardFor        int64           `json:"watch,omitempty"`  // ns; 0 for none
	Deadline        int64           `json:"within,omitempty"` // ns; 0 for the leader's own
	ProposedAt      int64           `json:"at,omitempty"`     // ms of wall clock, for operators to read only
	KeepRevisions   int             `json:"keep,omitempty"`   // revisions of history
	KeepBytes       int64           `json:"keep_b,omitempty"` // bytes of history
	ProposalID      uint64          `json:"id,omitempty"`     // of the proposal meant
	Epoch           uint64          `json:"epoch,omitempty"`  // at which the coordinator decided
	HoldersVersion  uint64          `json:"roster,omitempty"` // State.HoldersVersion at which it did
	Members         []string        `json:"who,omitempty"`    // members because of which a proposal is given up
	Reason          string          `json:"why,omitempty"`
	Baseline        Totals          `json:"before,omitzero"`
	Nonce           uint64          `json:"nonce,omitempty"` // by which the proposing process knows its own command again
}

// Kind is how a revision came to be.
type Kind string

// The kinds.
const (
	KindProposed Kind = "propose"
	KindRollback Kind = "rollback"
	KindGuard    Kind = "guard"
)

// ReadCommand returns the command of a log entry. One that cannot be read is an error at all members alike
// (*Corrupt), and does nothing.
func ReadCommand(entry []byte) (Command, error) {
	var c Command
	if err := json.Unmarshal(entry, &c); err != nil {
		return c, &Corrupt{err.Error()}
	}
	return c, nil
}

// Entry returns the command as it stands in the log.
func (c Command) Entry() []byte {
	b, err := json.Marshal(c)
	if err != nil {
		panic(err) // only a Text that Encode did not write
	}
	return b
}
