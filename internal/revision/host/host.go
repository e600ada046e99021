// Package host runs the state machines of internal/revision on a replicated log (internal/consensus). It owns the
// goroutines, the clocks and the calls between members, and it publishes the lease that determines by which revision
// this balancer may place new clients.
//
// The state machines decide which balancer may route by which revision; this package only transports their
// decisions. The goroutine that forwards clients' data never blocks on it: that goroutine reads Lease by an atomic
// load.
package host

import (
	"context"
	_ "crypto/sha256" // for revision.Hash
	"encoding/json"
	"log/slog"
	"sync"
	"sync/atomic"
	"time"

	"oatloft/internal/consensus"
	"oatloft/internal/revision"
	"oatloft/internal/revision/lease"
)

// The types that the proxy's loop uses are declared in package lease, which does not import the log, so that a
// program can be built without it.
type (
	// Phase is the state of a lease.
	Phase = lease.Phase
	// Lease determines by which revision new clients may be placed.
	Lease = lease.Lease
	// Bandwidth exchanges demand for and grants of link bandwidth.
	Bandwidth = lease.Bandwidth
	// Config holds the settings of a host.
	Config = lease.Config
)

// Phases of a lease.
const (
	Learning  = lease.Learning
	Active    = lease.Active
	Suspended = lease.Suspended
	Expired   = lease.Expired
)

func init() {
	lease.Start = func(cfg Config, log *slog.Logger) (lease.Host, error) {
		h, err := Start(cfg, log)
		if err != nil {
			return nil, err // not h: a nil *Host in a lease.Host compares unequal to nil
		}
		return h, nil
	}
}

// Node is the part of consensus.Node that the host uses.
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

// Limits of Config.Lease and Config.History.
const (
	MinLease   = 100 * time.Millisecond
	MaxLease   = 10 * time.Minute
	minHistory = 2
)

// acknowledgement records since when the proxy's loop has used a lease.
type acknowledgement struct {
	seq uint64
	at  int64 // microseconds of wall clock
}

// Host takes part in agreeing on revisions for one balancer. Its methods are safe for concurrent use, except that
// Acknowledge is for one goroutine.
type Host struct {
	cfg  Config
	log  *slog.Logger
	node Node
	base time.Time // origin of the host's durations, on the monotonic clock

	lease           atomic.Pointer[Lease]
	acknowledged    atomic.Uint64
	acksMu          sync.Mutex
	acks            []acknowledgement // not yet collected by the lease holder
	totals          [4]atomic.Int64
	wakeHolder      chan struct{}
	wakeCoordinator chan struct{}
	leave           chan chan struct{}
	processes       *processFiles
	released        atomic.Bool // the leader has confirmed that this process has left

	mu       sync.Mutex // guards the fields below
	state    *revision.State
	waiting  map[uint64]chan revision.Result // by the command's nonce
	leader   *revision.Leader                // nil while another member leads
	term     uint64                          // the log's term in which leader leads
	inFlight map[string]bool                 // the leader's commands that are being committed

	ctx        context.Context
	stop       context.CancelFunc
	goroutines sync.WaitGroup
}

// Start starts a host, which joins the other members in the background. It returns an error for invalid settings or
// an unusable folder, but not if no other member answers.
func Start(cfg Config, log *slog.Logger) (*Host, error) {
	return start(cfg, log, func(machine consensus.Machine, handler consensus.Handler) (Node, error) {
		node, err := consensus.Start(consensusConfig(cfg.Log), machine, handler, log)
		if err != nil {
			return nil, err
		}
		return node, nil
	})
}

// consensusConfig converts the settings of the log to those of package consensus.
func consensusConfig(log lease.Log) consensus.Config {
	cfg := consensus.Config{
		Cluster:          log.Cluster,
		Name:             log.Name,
		Listen:           log.Listen,
		Voters:           log.Voters,
		AddressOverrides: log.AddressOverrides,
		Folder:           log.Folder,
		Tick:             log.Tick,
		ReplaceAfter:     log.ReplaceAfter,
		Seed:             log.Seed,
	}
	for _, candidate := range log.Candidates {
		cfg.Candidates = append(cfg.Candidates, consensus.Candidate(candidate))
	}
	return cfg
}

// validate checks the host's own settings; consensus.Start checks those of the log.
func validate(cfg Config) error {
	switch {
	case cfg.Name == "":
		return &ConfigError{"name", "is empty"}
	case cfg.Lease < MinLease || cfg.Lease > MaxLease:
		return &ConfigError{"lease", cfg.Lease.String() + " is outside " + MinLease.String() + " to " + MaxLease.String()}
	case cfg.Deadline < cfg.Lease/2:
		return &ConfigError{"deadline", cfg.Deadline.String() + " is under half the lease"}
	case cfg.History < minHistory:
		return &ConfigError{"history", "is under 2: a rollback needs an earlier revision"}
	}
	return nil
}

func start(
	cfg Config, log *slog.Logger, startNode func(consensus.Machine, consensus.Handler) (Node, error),
) (*Host, error) {
	if err := validate(cfg); err != nil {
		return nil, err
	}
	h := &Host{
		cfg:             cfg,
		log:             log,
		base:            time.Now(),
		wakeHolder:      make(chan struct{}, 1),
		wakeCoordinator: make(chan struct{}, 1),
		leave:           make(chan chan struct{}),
		processes:       newProcessFiles(cfg.Log.Folder),
		state:           revision.NewState(),
		waiting:         map[uint64]chan revision.Result{},
		inFlight:        map[string]bool{},
	}
	h.ctx, h.stop = context.WithCancel(context.Background())
	holder := revision.Holder{Name: cfg.Name, Generation: max(cfg.Generation, 1)}
	member := revision.NewMember(holder, cfg.KeepLeaseOnPartition, h.check)
	h.lease.Store(&Lease{Seq: member.Lease().Seq, Reason: member.Lease().Reason})
	ready := make(chan struct{})
	node, err := startNode((*machine)(h), func(ctx context.Context, from, method string, body []byte) ([]byte, error) {
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
	h.node = node
	close(ready)
	h.goroutines.Go(newLeaseHolder(h, member).run)
	h.goroutines.Go(h.coordinate)
	h.goroutines.Go(h.watchEnded)
	return h, nil
}

// check returns an error if this balancer cannot route by a revision's text.
func (h *Host) check(text json.RawMessage) error {
	content, err := revision.Decode(text)
	if err != nil {
		return err
	}
	return h.cfg.Check(content)
}

// now returns the time since the host's start, on the monotonic clock.
func (h *Host) now() time.Duration { return time.Since(h.base) }

// signal wakes the goroutine that receives from c; it does not block.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// Lease returns the current lease, which is never nil. It takes no lock.
func (h *Host) Lease() *Lease { return h.lease.Load() }

// Acknowledge reports that the calling goroutine uses the lease with this Seq, and no earlier one.
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

// SetTotals sets the running totals of this process, over new clients and routed requests: all of them, and those
// rejected, failed, and answered late.
func (h *Host) SetTotals(requests, rejected, failed, late int64) {
	for i, n := range [...]int64{requests, rejected, failed, late} {
		h.totals[i].Store(n)
	}
}

// Leave gives up the lease for good: no new clients are placed from now on. It returns once the leader has confirmed,
// or when ctx ends. In the second case the lease expires after its duration; if on_cut is hold, the lease persists
// until a later process or an operator ends it.
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

// Close stops the host's goroutines, waits for them, and ends the lease.
func (h *Host) Close() {
	h.stop()
	h.goroutines.Wait()
	h.node.Close()
	old := h.lease.Load()
	h.lease.Store(&Lease{
		Number:  old.Number,
		Hash:    old.Hash,
		Content: old.Content,
		Phase:   Expired,
		Seq:     old.Seq + 1,
		Reason:  "the host has been closed",
	})
	h.processes.close(h.released.Load()) // last: from here on other processes consider this one ended
}
