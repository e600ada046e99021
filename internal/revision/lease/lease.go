// Package lease declares the interface between a balancer's loop and the revision in force: a lease, which determines
// by which revision new clients may be placed, and the host that publishes it. It does not import the host's
// implementation, so that a program can be built without it. A program that links package internal/revision/host in
// has Start set by it.
package lease

import (
	"context"
	"log/slog"
	"time"

	"oatloft/internal/revision"
)

// Host takes part in agreeing on revisions for one balancer. Package internal/revision/host implements it.
type Host interface {
	// Lease returns the current lease, which is never nil. It takes no lock.
	Lease() *Lease
	// Acknowledge reports that the calling goroutine uses the lease with this Seq, and no earlier one.
	Acknowledge(seq uint64)
	// SetTotals sets the running totals over new clients and routed requests: all of them, and those rejected, failed,
	// and answered late.
	SetTotals(requests, rejected, failed, late int64)
	// Operate carries out an operator's call, the words after "revision". The error has a hint.
	Operate(ctx context.Context, words string) (string, error)
	// Leave gives up the lease for good. It returns once the leader has confirmed, or when ctx ends.
	Leave(ctx context.Context)
	// Close stops the host and ends its lease.
	Close()
}

// Start starts a host. It is nil in a program that links no implementation in.
var Start func(cfg Config, log *slog.Logger) (Host, error)

// Candidate is a member that may hold a vote.
type Candidate struct {
	Name string
	Zone string
	Addr string // IP address and port that other members call
}

// Log holds the settings of the replicated log, as in consensus.Config.
type Log struct {
	Cluster          string
	Name             string
	Listen           string
	Candidates       []Candidate
	Voters           int
	AddressOverrides map[string]string
	Folder           string
	Tick             time.Duration
	ReplaceAfter     time.Duration
	Seed             uint64
}

// Phase is the state of a lease: whether it allows placing new clients, and if not, why.
type Phase uint8

// Phases of a lease.
const (
	Learning  Phase = iota // the balancer does not know the revision in force yet, or cannot route by it
	Active                 // new clients are placed by the revision with Number
	Suspended              // the next revision is about to come into force: new clients wait
	Expired                // the balancer is partitioned from the others, or has left: new clients are rejected
)

// String returns the name used in logs and on the wire.
func (p Phase) String() string { return [...]string{"learning", "at-work", "between", "lapsed"}[p] }

// Lease determines by which revision new clients may be placed. It is immutable.
type Lease struct {
	Number  uint64
	Hash    string
	Content *revision.Content // nil until a revision has been in force here
	Phase   Phase
	Until   time.Time // end of an Active lease, on the monotonic clock; zero for no end
	Seq     uint64    // grows with each change except one of Until alone; for Host.Acknowledge
	Reason  string    // for operators: why the phase is not Active
}

// Allows reports whether a new client may be placed at now. The caller reads now immediately before the step that
// cannot be undone.
func (l *Lease) Allows(now time.Time) bool {
	return l.Phase == Active && (l.Until.IsZero() || now.Before(l.Until))
}

// Bandwidth exchanges the link bandwidth that internal/bandwidth manages: this balancer's demand, and at the leader
// the grants of all balancers. Its methods are safe for concurrent use and do not block.
type Bandwidth interface {
	// NextRequest returns the demand to send with the next renewal, or nil for none.
	NextRequest() []byte
	// ApplyResponse processes the leader's answer to the demand sent at requestedAt.
	ApplyResponse(body []byte, requestedAt time.Time)
	// HandleRequest answers a holder's demand at the leader. The holder renews after renewAfter, or after the usual
	// interval if it is 0.
	HandleRequest(holder string, body []byte, now time.Duration) (answer []byte, renewAfter time.Duration)
	// Elected reports that this process leads from now on and has no record of earlier grants.
	Elected(now time.Duration)
	// HolderLeft reports that a holder no longer uses any bandwidth.
	HolderLeft(holder string)
}

// Config holds the settings of a host.
type Config struct {
	Log        Log
	Name       string
	Generation uint64 // of this process; higher for later starts
	// the name's earlier process is known to have ended; if not, its file in Log.Folder is checked
	PredecessorEnded     bool
	KeepLeaseOnPartition bool // on_cut = hold: the lease does not expire during a partition
	Lease                time.Duration
	Deadline             time.Duration                 // of a proposal
	History              int                           // revisions to keep; at least 2
	HistoryBytes         int64                         // approximate bound of their texts, in bytes
	Check                func(*revision.Content) error // against this balancer's settings; safe for concurrent use
	LeaseChanged         func()                        // called after the lease has changed; must not block
	Bandwidth            Bandwidth                     // nil for none
}
