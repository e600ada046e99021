package proxy

import (
	"context"
	"log/slog"
	"net"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"oatloft/internal/admission"
	"oatloft/internal/coordination"
	"oatloft/internal/core"
	"oatloft/internal/hint"
	"oatloft/internal/hotrestart"
	"oatloft/internal/logs"
	"oatloft/internal/management"
	"oatloft/internal/membership"
	"oatloft/policy"
)

// Balancer is a running balancer. Its fields belong to the loop, except for those that are atomic or channels.
type Balancer struct {
	cfg        Config
	log        *slog.Logger
	limitedLog *logs.Limited
	tracing    bool
	counters   counters

	core       *core.Reducer
	effects    []core.Effect
	lineBuffer []byte
	queue      eventQueue
	batch      []event
	loop       loopState
	lastTurnAt time.Time // of the loop
	// backloggedUntil is when lines have been read that waited while this process stood still.
	backloggedUntil time.Time

	engine          *nbio.Engine
	listener        net.Listener
	acceptLoop      acceptLoop
	inherited       net.Listener // the platform's, shared with other processes; nil where this process listens by itself
	sockets         atomic.Int64 // connections, and dials under way
	publishedConns  atomic.Int64 // orders attachSession and connectionOf
	descriptorLimit atomic.Int64
	memoryScarce    bool

	clients    map[core.Handle]*client
	lastHandle core.Handle
	finishing  map[*connection]struct{}
	migrating  map[*client]struct{}
	probes     map[string]*probe // by server
	watch      *watch
	// previousWatch goes on until the one that follows it has answered.
	previousWatch *watch

	admission       *admissionController // nil where no admission is configured
	clientsByTicket map[admission.Ticket]*client
	victims         []admission.Victim

	operators       *management.Server // nil where operators have no address to call
	calls           chan func()        // operators' calls, run between two events
	maintenanceLock chan struct{}      // calls that change the file take turns
	stateDir        *hotrestart.Dir    // nil where neither operators nor other processes share state with this one
	presence        *hotrestart.Presence
	otherProcesses  hotrestart.Usage

	peers           *membership.Host // nil where this balancer knows of no other
	sentSignals     sentSignals
	coordinator     *coordination.Coordinator // nil where it acts alone
	numberedServers []policy.Server           // the list when its part by number was last taken
	revisions       *revisionState            // nil where it goes by its settings alone
	zoneLinks       *zoneLinks                // nil where no link between zones is bounded

	serving   bool // clients are accepted
	exiting   bool // the reducer has finished: whoever connects now is rejected
	closing   closing
	loopEnded chan struct{} // closed once the loop has ended
	// testSlack is more time for what ends this balancer, so that tests do not depend on the machine's speed.
	testSlack time.Duration
}

// New prepares a balancer and opens its addresses, except the clients'.
func New(cfg Config, log *slog.Logger) (*Balancer, error) {
	reducer, err := core.New(cfg.Core)
	if err != nil {
		return nil, err
	}
	b := &Balancer{
		cfg:             cfg,
		log:             log,
		limitedLog:      logs.Limit(log, time.Second),
		tracing:         tracing(log),
		core:            reducer,
		queue:           eventQueue{wake: make(chan struct{}, 1)},
		acceptLoop:      acceptLoop{done: make(chan struct{})},
		clients:         map[core.Handle]*client{},
		finishing:       map[*connection]struct{}{},
		migrating:       map[*client]struct{}{},
		probes:          map[string]*probe{},
		calls:           make(chan func()),
		maintenanceLock: make(chan struct{}, 1),
		loopEnded:       make(chan struct{}),
	}
	b.descriptorLimit.Store(b.availableDescriptors(cfg))
	if err := b.startAdmission(); err != nil {
		return nil, err
	}
	if err := b.openSockets(); err != nil {
		return nil, err
	}
	if b.admission != nil {
		b.admission.shared = b.inherited != nil
	}
	if err := b.startPeers(); err != nil {
		return nil, err
	}
	if cfg.Revisions != nil {
		if err := b.startRevisions(); err != nil {
			return nil, err
		}
	}
	b.engine = b.newEngine()
	return b, nil
}

// startAdmission prepares admission, if it is configured.
func (b *Balancer) startAdmission() (err error) {
	if b.cfg.Admission == nil {
		return nil
	}
	b.clientsByTicket = map[admission.Ticket]*client{}
	b.admission, err = newAdmissionController(*b.cfg.Admission, uint64(b.cfg.Core.Seed), b.now, b.log, b.limitedLog)
	if err != nil {
		return err
	}
	b.admission.setLimits(int(b.descriptorLimit.Load()), b.cfg.MemoryMB)
	return nil
}

// now returns the balancer's time, by which the reducer counts.
func (b *Balancer) now() time.Duration { return time.Since(b.cfg.StartOfClock) }

// Start tells the reducer what is known and accepts clients. Run has to follow. The error is *ListenFailed.
func (b *Balancer) Start() error {
	b.readOtherProcess() // before the first list: a server in maintenance gets nothing at all
	if b.cfg.KnownEndpoints != nil {
		b.step(*b.cfg.KnownEndpoints)
	}
	if err := b.engine.Start(); err != nil {
		return &ListenFailed{
			hint.Annotated{
				Where: "listen",
				Cause: err,
				Do:    "give an address of this machine and a free port (listen, PROXY_LISTEN)",
			},
		}
	}
	b.serving = true
	if b.operators != nil {
		b.operators.Serve()
	}
	return nil
}

// Addr returns the address that clients connect to.
func (b *Balancer) Addr() string { return b.engine.Addrs[0] }

// Run serves until the reducer has finished or ctx ends; in the second case it returns ctx's error. The operator's
// signals to shut down and to report the counters come by leave and report, and configurations that were read again
// by reload.
func (b *Balancer) Run(ctx context.Context, leave, report <-chan struct{}, reload <-chan Config) error {
	if b.admission != nil {
		stop := b.admission.startSnapshots()
		defer stop()
	}
	defer b.stopParts()
	defer close(b.loopEnded)
	if err := b.runLoop(ctx, leave, report, reload); err != nil {
		return err
	}
	b.Report()
	return nil
}

// stopParts ends the parts with goroutines of their own, once the loop has ended.
func (b *Balancer) stopParts() {
	b.closeRevisions()
	if b.zoneLinks != nil {
		b.zoneLinks.close()
	}
	if b.presence != nil {
		b.presence.Close()
	}
	if b.peers != nil {
		b.peers.Close()
	}
	if b.operators != nil {
		b.operators.Close()
	}
}
