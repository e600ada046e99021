package proxy

import (
	"log/slog"
	"slices"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/hotrestart"
)

const (
	// followInterval is the time between two looks at what other processes have written. A call to one of them holds
	// here within this and a tick.
	followInterval = 50 * time.Millisecond
	// idleDescriptors is how many descriptors a process has that serves nobody.
	idleDescriptors = 16
	// maxPredecessorAge bounds how old the predecessor's state may be: what is older says nothing of today's
	// connections.
	maxPredecessorAge = time.Minute
)

// readOtherProcess reads what another process of this balancer has written since the last look.
func (b *Balancer) readOtherProcess() {
	if b.stateDir == nil {
		return
	}
	if b.stateDir.MaintenanceChanged() {
		b.readMaintenance()
	}
	if b.inherited != nil && !b.core.ShuttingDown() && b.stateDir.PredecessorChanged() {
		b.readPredecessor()
	}
}

func (b *Balancer) readMaintenance() {
	m, err := b.stateDir.ReadMaintenance()
	if err != nil {
		b.log.Error("not read, what is left out stays", "err", err)
		return
	}
	b.step(core.PredecessorState{Servers: m.KnownServers})
	for _, server := range b.core.ServersInMaintenance() {
		if !slices.Contains(m.Excluded, server) {
			b.step(core.MaintenanceSet{Server: server})
		}
	}
	for _, server := range m.Excluded {
		b.step(core.MaintenanceSet{Server: server, On: true})
	}
}

func (b *Balancer) readPredecessor() {
	state, ok, err := b.stateDir.ReadPredecessor(maxPredecessorAge)
	if err != nil {
		b.log.Error("not read, who comes back is placed anew", "err", err)
		return
	}
	if ok {
		b.log.Info("the process before has left", "standing", len(state.FlowServers))
		b.step(core.PredecessorState{Servers: state.KnownServers, Flows: state.FlowServers})
	}
}

// exchangeUsage tells the other processes of this balancer what this one uses, and learns what they do.
// Descriptors, memory and what may be sent to a server that warms up are bounded for all of them together.
// usedMemory is in bytes.
func (b *Balancer) exchangeUsage(usedMemory int64) {
	if b.presence == nil {
		return
	}
	own := hotrestart.Usage{Sockets: b.sockets.Load() + idleDescriptors, Memory: usedMemory}
	if b.core.ShuttingDown() {
		own.ShuttingDown = 1
	}
	if err := b.presence.Write(own); err != nil {
		b.limitedLog.Say(
			time.Now(),
			slog.LevelError,
			"use",
			"other processes don't see what this one takes",
			slog.Any("err", err),
		)
	}
	before := b.otherProcesses
	b.otherProcesses = hotrestart.Usage{}
	placing := 0
	for _, usage := range b.presence.Others() {
		b.otherProcesses.Sockets += usage.Sockets
		b.otherProcesses.Memory += usage.Memory
		if usage.ShuttingDown == 0 {
			placing++
		}
	}
	b.descriptorLimit.Add(before.Sockets - b.otherProcesses.Sockets)
	if b.admission != nil && before.Sockets != b.otherProcesses.Sockets {
		b.admission.setLimits(int(b.descriptorLimit.Load()), b.cfg.MemoryMB)
	}
	b.step(core.OverlappingProcesses{Count: placing})
}

// writeForSuccessor writes what the next process has to know of this one.
func (b *Balancer) writeForSuccessor() {
	if b.inherited == nil {
		return
	}
	state := hotrestart.PredecessorState{KnownServers: b.core.KnownServers(), FlowServers: b.core.EstablishedFlows()}
	if err := b.stateDir.WriteForSuccessor(state); err != nil {
		b.log.Error("what stands is not handed over", "err", err)
	}
}
