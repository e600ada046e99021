// Package host runs the machines of internal/revision over the log of settled decisions: the permit that says by which revision
// this balancer may place newcomers, and operators' calls. It owns the goroutines, clocks and calls between members; it must never
// decide who may route by what (the machines do), and never stand on the data's goroutine: that one reads Permit by an atomic load.
package host

import (
	"context"
	_ "crypto/sha256" // revision.Hash
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"oatloft/internal/consensus"
	"oatloft/internal/revision"
	"oatloft/internal/revision/lease"
)

// What the data's loop sees is named in a package of its own, which knows nothing of the log: a program that doesn't hold it can be built.
type (
	Phase     = lease.Phase
	Lease     = lease.Lease
	Bandwidth = lease.Bandwidth
	Config    = lease.Config
)

// The phases.
const (
	Learning  = lease.Learning
	Active    = lease.Active
	Suspended = lease.Suspended
	Expired   = lease.Expired
)

func init() {
	lease.Start = func(cfg Config, log *slog.Logger) (lease.Host, error) {
		h, err := Start(cfg, log)
		if err != nil { // and not a Host that is nil
			return nil, err
		}
		return h, nil
	}
}

// Node is internal/consensus as the host uses it.
type Node interface {
	Propose(ctx context.Context, entry []byte) error
	Confirm(ctx context.Context) (term uint64, err error)
	Leader() consensus.LeaderInfo
	LeaderChanged() <-chan struct{}
	Call(ctx context.Context, name, method string, body []byte) ([]byte, error)
	Replace(ctx context.Context, old, new string) error
	Status() consensus.Status
	Close()
}

// Bounds of the settings.
const (
	MinLease = 100 * time.Millisecond
	MaxLease = 10 * time.Minute
)

// acknowledgement tells that the loop goes by a permit since at, in µs of wall clock.
type acknowledgement struct {
	seq uint64
	at  int64
}

// Host is one balancer's part in revisions.
type Host struct {
	cfg  Config
	log  *slog.Logger
	node Node
	base time.Time // all durations count from here, on the monotonic clock

	lease           atomic.Pointer[Lease]
	acknowledged    atomic.Uint64
	acksMu          sync.Mutex
	acks            []acknowledgement // by the loop, that the member's goroutine has not seen yet
	totals          [4]atomic.Int64
	wakeHolder      chan struct{} // the member's goroutine has something to do
	wakeCoordinator chan struct{} // the coordinator's
	leave           chan chan struct{}
	processes       *processFiles
	released        atomic.Bool // all know that this process has left

	mu       sync.Mutex // what is settled, and the coordinator
	state    *revision.State
	waiting  map[uint64]chan revision.Result // by nonce of the command
	leader   *revision.Leader                // nil while another leads
	term     uint64
	inFlight map[string]bool // commands being settled

	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// Start joins the others in the background. The error is of settings or the folder; that nobody answers is none.
func Start(cfg Config, log *slog.Logger) (*Host, error) {
	return start(cfg, log, func(m consensus.Machine, h consensus.Handler) (Node, error) {
		n, err := consensus.Start(consensusConfig(cfg.Log), m, h, log)
		if err != nil {
			return nil, err
		}
		return n, nil
	})
}

// consensusConfig is what the log is started with.
func consensusConfig(l lease.Log) consensus.Config {
	c := consensus.Config{Cluster: l.Cluster, Name: l.Name, Listen: l.Listen, Voters: l.Voters, Reach: l.Reach, Folder: l.Folder, Tick: l.Tick,
		ReplaceAfter: l.ReplaceAfter, Seed: l.Seed}
	for _, m := range l.Candidates {
		c.Candidates = append(c.Candidates, consensus.Candidate(m))
	}
	return c
}

func start(cfg Config, log *slog.Logger, node func(consensus.Machine, consensus.Handler) (Node, error)) (*Host, error) {
	switch {
	case cfg.Name == "":
		return nil, &ConfigError{"name", "is empty"}
	case cfg.Lease < MinLease || cfg.Lease > MaxLease:
		return nil, &ConfigError{"lease", cfg.Lease.String() + " is not in " + MinLease.String() + " to " + MaxLease.String()}
	case cfg.Deadline < cfg.Lease/2:
		return nil, &ConfigError{"deadline", cfg.Deadline.String() + " is under half the lease"}
	case cfg.History < 2:
		return nil, &ConfigError{"history", "under 2: there must be something to go back to"}
	}
	h := &Host{cfg: cfg, log: log, base: time.Now(), wakeHolder: make(chan struct{}, 1), wakeCoordinator: make(chan struct{}, 1), leave: make(chan chan struct{}), processes: newProcessFiles(cfg.Log.Folder),
		state: revision.NewState(), waiting: map[uint64]chan revision.Result{}, inFlight: map[string]bool{}}
	h.ctx, h.stop = context.WithCancel(context.Background())
	m := revision.NewMember(revision.Holder{Name: cfg.Name, Generation: max(cfg.Generation, 1)}, cfg.HoldOnPartition, h.check)
	h.lease.Store(&Lease{Seq: m.Lease().Seq, Reason: m.Lease().Reason})
	ready := make(chan struct{})
	n, err := node((*machine)(h), func(ctx context.Context, from, method string, body []byte) ([]byte, error) {
		select {
		case <-ready:
			return h.serve(ctx, from, method, body)
		case <-ctx.Done():
			return nil, &NotLeader{cfg.Name}
		}
	})
	if err != nil {
		h.stop()
		return nil, err
	}
	h.node = n
	close(ready)
	h.goroutines.Go(func() { (&leaseHolder{Host: h, member: m, log: log}).run() })
	h.goroutines.Go(h.coordinate)
	h.goroutines.Go(h.watchEnded)
	return h, nil
}

func (h *Host) check(text json.RawMessage) error {
	c, err := revision.Decode(text)
	if err != nil {
		return err
	}
	return h.cfg.Check(c)
}

// now is the time by which this process counts.
func (h *Host) now() time.Duration { return time.Since(h.base) }

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Lease is what holds now. Never nil, no lock.
func (h *Host) Lease() *Lease { return h.lease.Load() }

// Acknowledge tells that the data's goroutine goes by the permit with this Seq, and by none before. Called by one goroutine.
func (h *Host) Acknowledge(seq uint64) {
	if h.acknowledged.Load() == seq {
		return
	}
	h.acksMu.Lock()
	h.acks = append(h.acks, acknowledgement{seq, time.Now().UnixMicro()})
	h.acksMu.Unlock()
	h.acknowledged.Store(seq)
	signal(h.wakeHolder)
}

// SetTotals are the running totals of this process: newcomers and routed tasks asked for, refused, failed, answered late.
func (h *Host) SetTotals(asked, refused, failed, late int64) {
	for i, n := range [...]int64{asked, refused, failed, late} {
		h.totals[i].Store(n)
	}
}

// Leave gives the permission back for good: no newcomers are placed by it from now on. It returns once the others know, or ctx is over:
// then the permission lapses by itself, or, where on_cut is hold, stands in the roster until a later process or an operator ends it.
func (h *Host) Leave(ctx context.Context) {
	done := make(chan struct{})
	select {
	case h.leave <- done:
	case <-ctx.Done():
		return
	case <-h.ctx.Done():
		return
	}
	select {
	case <-done:
	case <-ctx.Done():
	case <-h.ctx.Done():
	}
}

// Close ends everything. The permit ends with it.
func (h *Host) Close() {
	h.stop()
	h.goroutines.Wait()
	h.node.Close()
	old := h.lease.Load()
	h.lease.Store(&Lease{Number: old.Number, Hash: old.Hash, Content: old.Content, Phase: Expired, Seq: old.Seq + 1, Reason: "it has been closed"})
	h.processes.close(h.released.Load()) // last: from here on others take this process for ended
}
