package revision

import "encoding/json"

// Revision is one entry of the history.
type Revision struct {
	Number     uint64          `json:"n"`
	ID         uint64          `json:"id,omitempty"` // of the proposal that it was
	Hash       string          `json:"hash"`
	Kind       Kind            `json:"kind"`
	Source     uint64          `json:"of,omitempty"` // whose text it has, if it is a rollback
	Base       uint64          `json:"from"`         // in force when it was proposed
	Key        string          `json:"key"`
	By         string          `json:"by"`
	Note       string          `json:"note,omitempty"`
	ProposedAt int64           `json:"at"`
	Text       json.RawMessage `json:"text"`
}

// Proposal is the proposal under way.
type Proposal struct {
	Revision
	GuardFor int64 `json:"watch,omitempty"`   // ns; 0 for no guard
	Deadline int64 `json:"within,omitempty"`  // ns; 0 for the leader's own
	Stopped  bool  `json:"stopped,omitempty"` // nobody is granted a lease
}

// Outcome is what became of a proposal.
type Outcome struct {
	Key     string   `json:"key"`
	Number  uint64   `json:"n,omitempty"` // of the revision that it became; 0 if it was given up
	Members []string `json:"who,omitempty"`
	Reason  string   `json:"why,omitempty"`
}

// GuardWindow is the time in which the revision in force is rolled back if the members' totals become worse.
type GuardWindow struct {
	Number          uint64 `json:"n"`
	RollbackTo      uint64 `json:"back"` // the revision before
	Duration        int64  `json:"for"`  // ns
	Baseline        Totals `json:"before"`
	FailedRollbacks int    `json:"tries,omitempty"` // that were given up
	Kept            bool   `json:"kept,omitempty"`
}

// MaxFailedRollbacks is how often the guard of one revision tries to roll it back.
const MaxFailedRollbacks = 5

// Limits of the state.
const (
	maxOutcomes          = 1000
	maxEnded             = 1000
	defaultKeepRevisions = 1000
	defaultKeepBytes     = 8 << 20
)

// HolderEntry is a listed holder.
type HolderEntry struct {
	Holder
	HoldOnPartition bool `json:"hold,omitempty"`
}
