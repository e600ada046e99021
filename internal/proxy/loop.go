package proxy

import (
	"context"
	"time"

	"oatloft/internal/admission"
	"oatloft/internal/core"
	"oatloft/policy"
)

const (
	memoryCheckInterval = 250 * time.Millisecond
	// stallThreshold is the interval between two loop iterations above which the process is considered to have stalled.
	stallThreshold = 50 * time.Millisecond
	// backlogTime is the time after a stall within which what arrived meanwhile is expected to have been read.
	backlogTime = time.Second
	// maxBusyTime is how long the loop handles bulk events before it lets other goroutines run for pauseTime, which the
	// runtime may round up to a millisecond.
	maxBusyTime = 4 * time.Millisecond
	pauseTime   = 100 * time.Microsecond
)

// loopState holds the loop's timers.
type loopState struct {
	nextOtherProcessReadAt time.Time
	nextMemoryCheckAt      time.Time
	ticks                  <-chan time.Time // nil unless the loop is running
	lastPauseAt            time.Time
	pacedReads             pacedReads
}

// runLoop runs the event loop until the balancer may exit or ctx ends.
func (b *Balancer) runLoop(ctx context.Context, leave, report <-chan struct{}, reload <-chan Config) error {
	ticker := time.NewTicker(core.TickInterval)
	defer ticker.Stop()
	b.loop.ticks = ticker.C
	for !b.mayExit(time.Now()) {
		select {
		case <-b.queue.wake:
		case <-b.loop.ticks:
			b.tick()
		case call := <-b.calls:
			call()
		case <-leave:
			leave = nil
			b.beginShutdown()
		case <-report:
			b.Report()
		case cfg := <-reload:
			b.reload(cfg)
		case <-ctx.Done():
			return ctx.Err()
		}
		b.detectStall(time.Now())
		b.handleEvents()
		b.pauseIfBusy(time.Now())
	}
	return nil
}

// pauseIfBusy lets the other goroutines run while bulk events are left, and wakes the loop for these. With one
// processor, the runtime polls the network only when all goroutines wait: without the pause, dials would take until the
// runtime preempts the loop.
func (b *Balancer) pauseIfBusy(now time.Time) {
	if !b.queue.hasBulk() {
		b.loop.lastPauseAt = now
		return
	}
	b.queue.signal()
	if now.Sub(b.loop.lastPauseAt) >= maxBusyTime {
		time.Sleep(pauseTime)
		b.loop.lastPauseAt = time.Now()
	}
}

func (b *Balancer) tick() {
	b.step(core.Tick{})
	b.handleTick(time.Now())
}

// detectStall detects that the process was stalled, for example because it got no processor time.
func (b *Balancer) detectStall(now time.Time) {
	if !b.lastIterationAt.IsZero() && now.Sub(b.lastIterationAt) > stallThreshold {
		b.backloggedUntil = now.Add(backlogTime)
	}
	b.lastIterationAt = now
}

// handleEvents handles one turn's events, and reads the connections whose reading was deferred. Ticks and management
// calls are run between events, so that they do not queue behind data.
func (b *Balancer) handleEvents() {
	b.batch = b.queue.takeEvents(b.batch[:0])
	for i, e := range b.batch {
		select {
		case call := <-b.calls:
			call()
		case <-b.loop.ticks:
			b.tick()
		default:
		}
		b.handleEvent(e)
		b.batch[i] = event{}
	}
	b.resumeReading(time.Now())
	b.closeVictims()
}

// resumeReading reads the connections that wait for it, each at most once, since one that still has to wait is added
// again.
func (b *Balancer) resumeReading(now time.Time) {
	deferred, paced := b.queue.countWaiting()
	for range deferred {
		conn := b.queue.nextDeferred()
		if conn == nil {
			break
		}
		conn.resumeDeferred()
	}
	b.loop.pacedReads.resume(&b.queue, paced, now)
}

func (b *Balancer) handleEvent(e event) {
	conn := e.conn
	switch e.kind {
	case eventFlushed:
		conn.onFlushed()
		b.handleFlushed(conn)
		return
	case eventAccepted:
		b.handleAccepted(conn)
		return
	case eventData:
		conn.queuedEvents.Add(-1)
		defer releaseBuffer(e.data)
	}
	switch conn.role {
	case clientRole:
		b.handleClientEvent(conn.client, e)
	case serverRole:
		b.handleServerEvent(conn.client, conn, e)
	case probeRole:
		b.handleProbeEvent(b.probes[conn.server], conn, e)
	case watchRole:
		b.handleDiscoveryEvent(conn, e)
	}
}

// handleTick performs periodic work.
func (b *Balancer) handleTick(now time.Time) {
	if b.exiting {
		b.closeListener()
	}
	if now.After(b.loop.nextOtherProcessReadAt) {
		b.loop.nextOtherProcessReadAt = now.Add(stateDirPollInterval)
		b.readOtherProcess()
	}
	b.callSecondAddress(now)
	if b.peers != nil {
		b.sendSignals(now)
	}
	if b.revisions != nil {
		b.updateHost(now)
	}
	if b.zoneLinks != nil {
		b.zoneLinks.handleTick(now)
	}
	if b.cfg.Numbered != nil {
		b.updateNumbered()
	}
	b.expireProbes(now)
	used := b.checkMemory(now)
	b.collectClosed(now)
	b.closeFinishing(now, b.checkDescriptors(used))
}

// checkMemory measures memory usage every memoryCheckInterval and returns it in bytes, or 0 if it was not measured.
func (b *Balancer) checkMemory(now time.Time) (used int64) {
	if !now.After(b.loop.nextMemoryCheckAt) {
		return 0
	}
	b.loop.nextMemoryCheckAt = now.Add(memoryCheckInterval)
	used = int64(heapBytes())
	b.exchangeUsage(used)
	b.memoryScarce = b.basicLimits().MemoryScarce(used+b.otherProcesses.Memory, int64(b.cfg.MemoryMB)<<20)
	b.limitedLog.Flush(now)
	return used
}

// checkDescriptors frees descriptors if they are scarce. It returns by how much the time-outs of finishing connections
// are shortened.
func (b *Balancer) checkDescriptors(usedMemory int64) (reduction time.Duration) {
	if b.admission != nil {
		if b.admission.tick(len(b.probes), usedMemory) {
			return finishTimeoutReduction
		}
		return 0
	}
	missing := b.basicLimits().ExcessClients(int(b.sockets.Load()) - len(b.finishing))
	if missing <= 0 {
		return 0
	}
	b.step(core.DescriptorsScarce{Missing: missing})
	return finishTimeoutReduction
}

// expireProbes ends probes whose deadline has passed without an answer.
func (b *Balancer) expireProbes(now time.Time) {
	for server, p := range b.probes {
		if p.pending && now.After(p.deadline) {
			b.finishProbe(server, p, policy.ResultTimedOut, nil)
		}
	}
}

// closeVictims closes the idle clients that admission has selected.
func (b *Balancer) closeVictims() {
	if b.admission == nil {
		return
	}
	known := func(ticket admission.Ticket) bool { return b.clientsByTicket[ticket] != nil }
	b.victims = b.admission.victims(known, b.victims[:0])
	for _, victim := range b.victims {
		if c := b.clientsByTicket[victim.Ticket]; c != nil {
			b.step(core.CloseIdle{Client: c.handle, RetryAfter: victim.RetryAfter})
		}
	}
}
