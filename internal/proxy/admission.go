package proxy

import (
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"oatloft/internal/admission"
	"oatloft/internal/logs"
	"oatloft/internal/platform"
)

const (
	// maxSpares is the number of descriptors reserved for when the process has run out of them: one to answer a
	// connection, one to hand a connection over to a tail writer.
	maxSpares = 2
	// discoveryDescriptors is the number of descriptors for discovery: the calls to two addresses and the previous watch.
	discoveryDescriptors = 3
)

// Admission holds the admission settings, including those of package admission.
type Admission struct {
	admission.Config
	MaxLingering     int    // maximum number of rejected connections in lingering close
	SnapshotPath     string // empty to write no snapshots
	SnapshotInterval time.Duration
	SnapshotMaxAge   time.Duration
}

// admissionController connects the balancer to package admission, which decides what is admitted. It owns the lock that
// guards the controller, the spare descriptors, and the lingering connections of clients that were rejected before nbio
// opened them. The accepting goroutine, nbio's goroutines and the loop use it concurrently.
type admissionController struct {
	shared     bool // the listener is shared with other processes
	now        func() time.Duration
	log        *slog.Logger
	limitedLog *logs.Limited
	cfg        Admission

	// used by the accepting goroutine only
	rejectedInBurst int
	timer           *systemTimer

	mu               sync.Mutex
	controller       *admission.Controller
	spareDescriptors []*os.File
	lingering        []net.Conn                            // oldest first
	lastTicket       admission.Ticket                      // of a connection not yet opened by nbio; 0 if none
	pendingVictims   map[admission.Ticket]admission.Victim // to close once the reducer knows them
}

func newAdmissionController(
	cfg Admission, seed uint64, now func() time.Duration, log *slog.Logger, limitedLog *logs.Limited,
) (*admissionController, error) {
	controller, err := admission.New(cfg.Config, seed)
	if err != nil {
		return nil, err
	}
	a := &admissionController{
		now:            now,
		log:            log,
		limitedLog:     limitedLog,
		cfg:            cfg,
		controller:     controller,
		timer:          newSystemTimer(),
		pendingVictims: map[admission.Ticket]admission.Victim{},
	}
	controller.SetReserved(admission.Spare, maxSpares+cfg.MaxLingering)
	controller.SetReserved(admission.Discovery, discoveryDescriptors)
	a.refillSpares()
	a.loadSnapshot()
	return a, nil
}

// refillSpares reopens missing spare descriptors. The caller holds mu, unless the controller is not shared yet.
func (a *admissionController) refillSpares() {
	for len(a.spareDescriptors) < maxSpares {
		f, err := os.Open(os.DevNull)
		if err != nil {
			return
		}
		a.spareDescriptors = append(a.spareDescriptors, f)
	}
}

// descriptorsExhausted notifies admission that the process has run out of descriptors. With releaseSpares, it also
// closes the spare descriptors, so that an urgent operation can use them.
func (a *admissionController) descriptorsExhausted(releaseSpares bool) {
	a.mu.Lock()
	a.controller.Exhausted(a.now())
	if releaseSpares {
		for _, f := range a.spareDescriptors {
			_ = f.Close()
		}
		a.spareDescriptors = a.spareDescriptors[:0]
	}
	a.mu.Unlock()
	a.limitedLog.Say(time.Now(), slog.LevelWarn, "exhaustion", "process has no descriptor left")
}

// close releases all descriptors. No connection may be accepted afterwards.
func (a *admissionController) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, f := range a.spareDescriptors {
		_ = f.Close()
	}
	for _, conn := range a.lingering {
		_ = conn.Close()
	}
	a.spareDescriptors = nil
	a.timer.close()
}

// takeTicket returns the ticket of the connection that accept returned last, and clears it. nbio opens a connection on
// the goroutine that accepted it.
func (a *admissionController) takeTicket() admission.Ticket {
	a.mu.Lock()
	defer a.mu.Unlock()
	ticket := a.lastTicket
	a.lastTicket = 0
	return ticket
}

// closed notifies admission that a connection's descriptor has been released.
func (a *admissionController) closed(ticket admission.Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Closed(a.now(), ticket)
	delete(a.pendingVictims, ticket)
}

// answered notifies admission that nothing more will be sent to a client.
func (a *admissionController) answered(ticket admission.Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Finished(a.now(), ticket)
}

// established notifies admission that a client's flow is established on a server.
func (a *admissionController) established(ticket admission.Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.Established(a.now(), ticket)
}

// countBytes counts bytes received before a client's first line is complete.
func (a *admissionController) countBytes(ticket admission.Ticket, n int) admission.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.AddBytes(a.now(), ticket, n)
}

// request returns admission's verdict on a client's request.
func (a *admissionController) request(ticket admission.Ticket, request platform.Open) admission.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Request(a.now(), ticket, admission.ClaimedIdentity{Key: request.Key, Tenant: request.Tenant})
}

// tick advances admission's clock and reports the process's resource usage to it; memory is in bytes, or 0 if it was
// not measured. It reports whether descriptors are scarce.
func (a *admissionController) tick(probes int, memory int64) (scarce bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refillSpares()
	a.controller.SetReserved(admission.Probe, probes)
	if memory > 0 {
		a.controller.SetMemoryUsed(memory)
	}
	before := a.controller.Level()
	a.controller.Tick(a.now())
	if level := a.controller.Level(); level != before {
		a.limitedLog.Say(time.Now(), slog.LevelInfo, "level", "admission level changed",
			slog.String("from", before.String()), slog.String("to", level.String()))
	}
	return a.controller.UnderPressure()
}

// victims appends the idle clients that are to be closed now. Those that the reducer does not know yet are stored for
// takePendingVictim.
func (a *admissionController) victims(
	known func(admission.Ticket) bool, victims []admission.Victim,
) []admission.Victim {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, victim := range a.controller.Victims() {
		if known(victim.Ticket) {
			victims = append(victims, victim)
		} else {
			a.pendingVictims[victim.Ticket] = victim
		}
	}
	return victims
}

// takePendingVictim reports whether a client was chosen to be closed before the reducer knew of it.
func (a *admissionController) takePendingVictim(ticket admission.Ticket) (victim admission.Victim, chosen bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	victim, chosen = a.pendingVictims[ticket]
	delete(a.pendingVictims, ticket)
	return victim, chosen
}

// setLimits sets the limits on descriptors and memory.
func (a *admissionController) setLimits(descriptors, memoryMB int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.controller.SetLimits(descriptors, int64(memoryMB)<<20)
}

func (a *admissionController) report() admission.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.controller.Report()
}

// reconfigure applies new settings completely or, on error, not at all. Admission's learned state is kept. The snapshot
// path cannot change. The error is *ImmutableSetting or an error of package admission.
func (a *admissionController) reconfigure(cfg Admission) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cfg.SnapshotPath != a.cfg.SnapshotPath {
		return &ImmutableSetting{"admission.reserve.snapshot.path"}
	}
	if err := a.controller.Reconfigure(cfg.Config); err != nil {
		return err
	}
	a.cfg = cfg
	a.controller.SetReserved(admission.Spare, maxSpares+cfg.MaxLingering)
	return nil
}
