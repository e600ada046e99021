package revision

import "encoding/json"

// Revision is one entry of the history.
type Revision struct {
	Number     uint64          `json:"n"`
	ID         uint64          `json:"id,omitempty"` // of the proposal from which it was made
	Hash       string          `json:"hash"`
	Kind       Kind            `json:"kind"`
	Source     uint64          `json:"of,omitempty"` // for a rollback: the revision whose text it has
	Base       uint64          `json:"from"`         // the revision in force when it was proposed
	Key        string          `json:"key"`
	By         string          `json:"by"`
	Note       string          `json:"note,omitempty"`
	ProposedAt int64           `json:"at"`
	Text       json.RawMessage `json:"text"`
}

// Proposal is the pending proposal.
type Proposal struct {
	Revision
	GuardDuration int64 `json:"watch,omitempty"`   // ns; 0 for no guard
	Deadline      int64 `json:"within,omitempty"`  // ns; 0 for the leader's default
	Stopped       bool  `json:"stopped,omitempty"` // no leases are granted
}

// Outcome is the result of a proposal.
type Outcome struct {
	Key     string   `json:"key"`
	Number  uint64   `json:"n,omitempty"` // of the revision made from it; 0 if it was aborted
	Members []string `json:"who,omitempty"`
	Reason  string   `json:"why,omitempty"`
}

// GuardWindow is the period in which the revision in force is rolled back if the members' totals become worse.
type GuardWindow struct {
	Number          uint64 `json:"n"`
	RollbackTo      uint64 `json:"back"` // the previous revision
	Duration        int64  `json:"for"`  // ns
	Baseline        Totals `json:"before"`
	FailedRollbacks int    `json:"tries,omitempty"` // rollbacks that were aborted
	Ended           bool   `json:"kept,omitempty"`
}

// MaxFailedRollbacks is the number of failed rollbacks after which the guard of a revision stops trying.
const MaxFailedRollbacks = 5

// Limits of the state: counts of entries, except where a comment gives another unit.
const (
	maxOutcomes          = 1000
	maxEnded             = 1000
	defaultKeepRevisions = 1000    // revisions
	defaultKeepBytes     = 8 << 20 // bytes of the texts in the history
)

// HolderEntry is an entry of the list of holders.
type HolderEntry struct {
	Holder
	KeepLeaseOnPartition bool `json:"hold,omitempty"`
}
