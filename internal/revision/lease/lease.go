// Package lease is what a balancer's loop sees of the revision in force: a permit that says by which one newcomers may be placed, and
// the host that publishes it. It owns these types alone. It must never know how the permit comes about, nor import what does: a
// program is built without it, and started in its place where the edge file says so (cmd/oatloft).
package lease

import (
	"context"
	"log/slog"
	"time"

	"oatloft/internal/revision"
)

// Host is one balancer's part in revisions, as internal/revision/host has it.
type Host interface {
	Lease() *Lease          // what holds now; never nil, no lock
	Acknowledge(seq uint64) // the data's goroutine goes by the permit with this Seq, and by none before
	SetTotals(asked, refused, failed, late int64)
	Operate(ctx context.Context, words string) (string, error)
	Leave(ctx context.Context)
	Close()
}

// Start begins a host. nil in a program that doesn't hold one.
var Start func(cfg Config, log *slog.Logger) (Host, error)

// Candidate is a member that may hold a vote.
type Candidate struct {
	Name string
	Zone string
	Addr string // IP and port that other members call
}

// Log is what the log of settled decisions is started with: internal/consensus's settings of the same names.
type Log struct {
	Cluster, Name, Listen string
	Candidates            []Candidate
	Voters                int
	Reach                 map[string]string
	Folder                string
	Tick, ReplaceAfter    time.Duration
	Seed                  uint64
}

// Phase is what a permit permits.
type Phase uint8

// The phases.
const (
	Learning  Phase = iota // what is in force isn't known here yet, or this balancer can't route by it
	Active                 // newcomers go by Number
	Suspended              // the next revision is about to be in force: newcomers wait
	Expired                // cut off from the others, or left: newcomers are refused
)

func (p Phase) String() string { return [...]string{"learning", "at-work", "between", "lapsed"}[p] }

// Lease says by which revision newcomers may be placed. It never changes.
type Lease struct {
	Number  uint64
	Hash    string
	Content *revision.Content // nil until something has been in force here
	Phase   Phase
	Until   time.Time // of AtWork, by the monotonic clock; zero for no end
	Seq     uint64    // grows with each change but of Until, for Took
	Reason  string    // where not AtWork, for operators
}

// Allows tells whether a newcomer may be placed now. Ask with a time read just before what can't be taken back.
func (p *Lease) Allows(now time.Time) bool {
	return p.Phase == Active && (p.Until.IsZero() || now.Before(p.Until))
}

// Bandwidth is internal/bandwidth: what this balancer asks of links and is lent, and the leader's keeping of all parts. All methods are
// safe for concurrent use and don't block.
type Bandwidth interface {
	Demand() []byte                                                                           // to be told with the next renewal; nil for none
	Granted(body []byte, asked time.Time)                                                     // what the leader answered to a demand sent at asked
	Grant(holder string, body []byte, now time.Duration) (answer []byte, again time.Duration) // at the leader: a holder's demand; it is to ask again after so long, 0 for as always
	Elected(now time.Duration)                                                                // this process leads from now on and knows of nothing that is lent
	HolderLeft(holder string)                                                                 // a holder is known to use nothing any more
}

// Config of a host.
type Config struct {
	Log              Log
	Name             string
	Generation       uint64 // of this process: later starts have higher ones
	PredecessorEnded bool   // the earlier process of this name is known to have ended; else its file in the folder tells
	HoldOnPartition  bool   // on_cut: hold
	Lease, Deadline  time.Duration
	History          int                           // revisions that are kept, at least 2
	HistoryBytes     int64                         // bytes of their texts, about
	Check            func(*revision.Content) error // against this balancer's settings and list; safe for concurrent use
	LeaseChanged     func()                        // rung after the permit changed; must not block
	Bandwidth        Bandwidth                     // nil for none
}
