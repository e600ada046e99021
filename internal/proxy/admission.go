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
	// maxSpares is how many descriptors are kept for when the process has no other left: one to answer, one to hand a
	// connection over to a tail writer.
	maxSpares = 2
	// discoveryDescriptors are those of the watch and of the one that it follows.
	discoveryDescriptors = 2
)

// Admission has the settings of admission, beside those of package admission itself.
type Admission struct {
	admission.Config
	MaxGoodbyes      int    // refused clients that may be waited for
	SnapshotPath     string // empty for none
	SnapshotInterval time.Duration
	SnapshotMaxAge   time.Duration
}

// admissionController is the way to package admission, which decides who is let in. It owns the lock around it, the
// spare descriptors, and the goodbyes to clients that were refused before nbio saw them. It is used by the
// goroutine that accepts, by nbio's and by the loop.
type admissionController struct {
	shared     bool // other processes hold the listener as well
	now        func() time.Duration
	log        *slog.Logger
	limitedLog *logs.Limited
	cfg        Admission

	// for the goroutine that accepts
	rejectedInTurn int
	timer          *systemTimer

	mu               sync.Mutex
	gate             *admission.Gate
	spareDescriptors []*os.File
	goodbyes         []net.Conn                            // the oldest first
	lastTicket       admission.Ticket                      // of a connection that nbio has not opened yet; 0 for none
	pendingVictims   map[admission.Ticket]admission.Victim // to be closed before the reducer has learned of them
}

func newAdmissionController(
	cfg Admission, seed uint64, now func() time.Duration, log *slog.Logger, limitedLog *logs.Limited,
) (*admissionController, error) {
	gate, err := admission.New(cfg.Config, seed)
	if err != nil {
		return nil, err
	}
	a := &admissionController{
		now:            now,
		log:            log,
		limitedLog:     limitedLog,
		cfg:            cfg,
		gate:           gate,
		timer:          newSystemTimer(),
		pendingVictims: map[admission.Ticket]admission.Victim{},
	}
	gate.Fixed(admission.Spare, maxSpares+cfg.MaxGoodbyes)
	gate.Fixed(admission.Discovery, discoveryDescriptors)
	a.refillSpares()
	a.loadSnapshot()
	return a, nil
}

// refillSpares opens the spare descriptors that are missing. With mu held, or before others know the controller.
func (a *admissionController) refillSpares() {
	for len(a.spareDescriptors) < maxSpares {
		f, err := os.Open(os.DevNull)
		if err != nil {
			return
		}
		a.spareDescriptors = append(a.spareDescriptors, f)
	}
}

// descriptorsExhausted tells admission that the process has no descriptor left. With lend, the spare ones are given
// up for what cannot wait.
func (a *admissionController) descriptorsExhausted(lend bool) {
	a.mu.Lock()
	a.gate.Exhausted(a.now())
	if lend {
		for _, f := range a.spareDescriptors {
			_ = f.Close()
		}
		a.spareDescriptors = a.spareDescriptors[:0]
	}
	a.mu.Unlock()
	a.limitedLog.Say(time.Now(), slog.LevelWarn, "exhaustion", "the process has no descriptor left")
}

// close gives up all descriptors. No connection is accepted any more.
func (a *admissionController) close() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, f := range a.spareDescriptors {
		_ = f.Close()
	}
	for _, conn := range a.goodbyes {
		_ = conn.Close()
	}
	a.spareDescriptors = nil
	a.timer.close()
}

// takeTicket returns the ticket of the connection that accept returned last; nbio opens it on the same goroutine.
func (a *admissionController) takeTicket() admission.Ticket {
	a.mu.Lock()
	defer a.mu.Unlock()
	ticket := a.lastTicket
	a.lastTicket = 0
	return ticket
}

// closed reports that a connection's descriptor is free again.
func (a *admissionController) closed(ticket admission.Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Closed(a.now(), ticket)
	delete(a.pendingVictims, ticket)
}

// answered reports that a client gets nothing more.
func (a *admissionController) answered(ticket admission.Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Answered(a.now(), ticket)
}

// established reports that a client's flow is on a server.
func (a *admissionController) established(ticket admission.Ticket) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Stood(a.now(), ticket)
}

// countBytes counts bytes before a client's first line.
func (a *admissionController) countBytes(ticket admission.Ticket, n int) admission.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Bytes(a.now(), ticket, n)
}

// request tells whether a client's request may be taken.
func (a *admissionController) request(ticket admission.Ticket, request platform.Open) admission.Verdict {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Request(a.now(), ticket, admission.Who{Key: request.Key, Tenant: request.Tenant})
}

// tick lets admission's time pass, and tells it what the process uses; memory is 0 where it was not measured.
// pressed says whether descriptors are scarce.
func (a *admissionController) tick(probes int, memory int64) (pressed bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refillSpares()
	a.gate.Fixed(admission.Probe, probes)
	if memory > 0 {
		a.gate.Memory(memory)
	}
	before := a.gate.Level()
	a.gate.Tick(a.now())
	if level := a.gate.Level(); level != before {
		a.limitedLog.Say(time.Now(), slog.LevelInfo, "level", "level changed",
			slog.String("from", before.String()), slog.String("to", level.String()))
	}
	return a.gate.Pressed()
}

// victims appends the idle clients that are to be closed now. Those that the reducer has not learned of yet are
// kept for takePendingVictim.
func (a *admissionController) victims(
	known func(admission.Ticket) bool, victims []admission.Victim,
) []admission.Victim {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, victim := range a.gate.Victims() {
		if known(victim.Ticket) {
			victims = append(victims, victim)
		} else {
			a.pendingVictims[victim.Ticket] = victim
		}
	}
	return victims
}

// takePendingVictim tells whether a client that the reducer learns of now has been chosen to be closed.
func (a *admissionController) takePendingVictim(ticket admission.Ticket) (victim admission.Victim, chosen bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	victim, chosen = a.pendingVictims[ticket]
	delete(a.pendingVictims, ticket)
	return victim, chosen
}

// setLimits sets the limits of descriptors and of memory.
func (a *admissionController) setLimits(descriptors, memoryMB int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.gate.Limit(descriptors, int64(memoryMB)<<20)
}

func (a *admissionController) report() admission.Report {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.gate.Report()
}

// reconfigure takes new settings, whole or not at all. What admission has learned stays, and so does the snapshots'
// path. The error is *ImmutableSetting, or package admission's.
func (a *admissionController) reconfigure(cfg Admission) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if cfg.SnapshotPath != a.cfg.SnapshotPath {
		return &ImmutableSetting{"admission.reserve.snapshot.path"}
	}
	if err := a.gate.Reconfigure(cfg.Config); err != nil {
		return err
	}
	a.cfg = cfg
	a.gate.Fixed(admission.Spare, maxSpares+cfg.MaxGoodbyes)
	return nil
}
