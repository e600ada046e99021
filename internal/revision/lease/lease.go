// Package lease declares what a balancer's loop sees of the revision in force: a lease that says by which revision
// new clients may be placed, and the host that publishes it. It does not import the host's implementation, so that
// a program can be built without it; cmd/oatloft links it in and sets Start.
package lease

import (
	"context"
	"log/slog"
	"time"

	"oatloft/internal/revision"
)

// Host is one balancer's part in revisions, as internal/revision/host implements it.
type Host interface {
	// Lease returns what holds now. It is never nil and takes no lock.
	Lease() *Lease
	// Acknowledge says that the calling goroutine goes by the lease with this Seq, and by no earlier one.
	Acknowledge(seq uint64)
	// SetTotals sets the running totals of new clients and routed requests: asked for, refused, failed, answered late.
	SetTotals(asked, refused, failed, late int64)
	// Operate carries out an operator's order, the words after "revision". The error has a hint.
	Operate(ctx context.Context, words string) (string, error)
	// Leave gives the lease back for good. It returns once the leader knows, or when ctx ends.
	Leave(ctx context.Context)
	// Close ends the host and its lease.
	Close()
}

// Start starts a host; nil in a program that has none linked in.
var Start func(cfg Config, log *slog.Logger) (Host, error)

// Candidate is a member that may hold a vote.
type Candidate struct {
	Name string
	Zone string
	Addr string // IP and port that other members call
}

// Log has the settings of the replicated log, as in consensus.Config.
type Log struct {
	Cluster      string
	Name         string
	Listen       string
	Candidates   []Candidate
	Voters       int
	Reach        map[string]string
	Folder       string
	Tick         time.Duration
	ReplaceAfter time.Duration
	Seed         uint64
}

// Phase says whether a lease allows placing new clients, and if not, why.
type Phase uint8

// The phases.
const (
	Learning  Phase = iota // the revision in force is not known here yet, or this balancer cannot route by it
	Active                 // new clients are placed by the revision with Number
	Suspended              // the next revision is about to be in force: new clients wait
	Expired                // cut off from the others, or left: new clients are refused
)

// String returns the name as it is logged and sent.
func (p Phase) String() string { return [...]string{"learning", "at-work", "between", "lapsed"}[p] }

// Lease says by which revision new clients may be placed. It is immutable.
type Lease struct {
	Number  uint64
	Hash    string
	Content *revision.Content // nil until a revision has been in force here
	Phase   Phase
	Until   time.Time // end of an Active lease, by the monotonic clock; zero for no end
	Seq     uint64    // grows with each change other than of Until; for Host.Acknowledge
	Reason  string    // for operators: why the phase is not Active
}

// Allows tells whether a new client may be placed now. Read now just before the step that cannot be undone.
func (l *Lease) Allows(now time.Time) bool {
	return l.Phase == Active && (l.Until.IsZero() || now.Before(l.Until))
}

// Bandwidth carries the shares of links that internal/bandwidth keeps: this balancer's demand, and at the leader
// the grants of all balancers. Its methods are safe for concurrent use and do not block.
type Bandwidth interface {
	// Demand returns the demand to be sent with the next renewal; nil for none.
	Demand() []byte
	// Granted takes the leader's answer to the demand sent at asked.
	Granted(body []byte, asked time.Time)
	// Grant answers a holder's demand at the leader. The holder is to ask again after renewAfter; 0 for as usual.
	Grant(holder string, body []byte, now time.Duration) (answer []byte, renewAfter time.Duration)
	// Elected says that this process leads from now on, and knows of no grants.
	Elected(now time.Duration)
	// HolderLeft says that a holder uses nothing any more.
	HolderLeft(holder string)
}

// Config has the settings of a host.
type Config struct {
	Log                  Log
	Name                 string
	Generation           uint64 // of this process: later starts have higher ones
	PredecessorEnded     bool   // the earlier process of this name is known to have ended; else see its file in Log.Folder
	KeepLeaseOnPartition bool   // on_cut = hold
	Lease                time.Duration
	Deadline             time.Duration                 // of a proposal
	History              int                           // revisions that are kept; at least 2
	HistoryBytes         int64                         // approximate bytes of their texts
	Check                func(*revision.Content) error // against this balancer's settings; safe for concurrent use
	LeaseChanged         func()                        // called after the lease has changed; must not block
	Bandwidth            Bandwidth                     // nil for none
}
