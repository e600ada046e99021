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

	core            *core.Reducer
	effects         []core.Effect
	lineBuffer      []byte
	queue           eventQueue
	batch           []event
	loop            loopState
	startedAt       time.Time
	lastIterationAt time.Time // start of the loop's latest iteration
	// backloggedUntil is the time by which lines that arrived while this process was stalled are expected to have been
	// read.
	backloggedUntil time.Time

	engine          *nbio.Engine
	listener        net.Listener
	acceptLoop      acceptLoop
	inherited       net.Listener // passed by the platform, shared with other processes; nil if this process listens itself
	sockets         atomic.Int64 // connections and pending dials
	publishedConns  atomic.Int64 // orders attachSession before connectionOf
	descriptorLimit atomic.Int64
	memoryScarce    bool

	clients    map[core.Handle]*client
	lastHandle core.Handle
	finishing  map[*connection]struct{}
	migrating  map[*client]struct{}
	probes     map[string]*probe // by server
	discovery  discoveryChoice
	watch      *watch
	// secondWatch is the call to discovery's second address while the first one has not answered.
	secondWatch  *watch
	secondCallAt time.Time // when the second address is called; zero if it is not
	// previousWatch stays open until its successor has answered.
	previousWatch *watch

	admission       *admissionController // nil if admission is not configured
	clientsByTicket map[admission.Ticket]*client
	victims         []admission.Victim

	managementServer *management.Server // nil if no management address is configured
	calls            chan func()        // management calls, run between two events
	maintenanceLock  chan struct{}      // serializes calls that change the maintenance file
	stateDir         *hotrestart.Dir    // nil if no state is shared with operators or other processes
	presence         *hotrestart.Presence
	otherProcesses   hotrestart.Usage
	sentRequests     *hotrestart.SentRequests // nil if no socket is shared with other processes
	reloadRequests   chan struct{}            // another process has read the configuration file again

	peers           *membership.Host // nil if no peers are configured
	sentSignals     sentSignals
	coordinator     *coordination.Coordinator // nil if peers do not coordinate
	numberedServers []policy.Server           // the endpoint list when the numbered subset was last chosen
	revisions       *revisionState            // nil if revisions are not configured
	zoneLinks       *zoneLinks                // nil if no link between zones is bounded

	serving   bool // clients are accepted
	exiting   bool // the reducer has finished: new connections are rejected
	closing   closing
	loopEnded chan struct{} // closed once the loop has ended
	// testSlack extends shutdown and close time-outs, so that tests do not depend on the machine's speed.
	testSlack time.Duration
}

// New prepares a balancer and opens its listeners, except the one for clients.
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
		reloadRequests:  make(chan struct{}, 1),
		startedAt:       time.Now(),
		loopEnded:       make(chan struct{}),
	}
	b.descriptorLimit.Store(b.availableDescriptors(cfg))
	if err := b.startAdmission(); err != nil {
		return nil, err
	}
	if err := b.openSockets(); err != nil {
		return nil, err
	}
	b.chooseDiscoveryAtStart()
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

// startAdmission creates the admission controller if admission is configured.
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

// now returns the time since the start of the balancer's clock, which the reducer uses.
func (b *Balancer) now() time.Duration { return time.Since(b.cfg.ClockOrigin) }

// Start passes the known endpoints to the reducer and begins to accept clients. Run must follow. The error is
// *ListenFailed.
func (b *Balancer) Start() error {
	b.readOtherProcess() // before the first list, so that a server in maintenance gets no request
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
	if b.managementServer != nil {
		b.managementServer.Serve()
	}
	return nil
}

// ReloadRequests returns a channel that receives a value when the configuration file has to be read again because
// another process of this balancer has read it.
func (b *Balancer) ReloadRequests() <-chan struct{} { return b.reloadRequests }

// Addr returns the address that clients connect to.
func (b *Balancer) Addr() string { return b.engine.Addrs[0] }

// Run serves until the reducer has finished or ctx ends; in the second case it returns ctx's error. The channels leave
// and report carry the operator's signals to shut down and to report the counters; reload carries reloaded
// configurations.
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

// stopParts stops the components that have their own goroutines, once the loop has ended.
func (b *Balancer) stopParts() {
	b.closeRevisions()
	if b.zoneLinks != nil {
		b.zoneLinks.close()
	}
	if b.presence != nil {
		b.presence.Close()
	}
	if b.sentRequests != nil {
		b.sentRequests.Close()
	}
	if b.peers != nil {
		b.peers.Close()
	}
	if b.managementServer != nil {
		b.managementServer.Close()
	}
}
