package proxy

import (
	"log/slog"
	"slices"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/hotrestart"
)

const (
	// stateDirPollInterval is the interval at which files written by other processes are checked. An operator's call to
	// one of them takes effect here within this interval and a tick.
	stateDirPollInterval = 50 * time.Millisecond
	// idleDescriptors is the number of descriptors that a process without clients has open.
	idleDescriptors = 16
	// maxPredecessorAge bounds the age of the predecessor's state: older state does not describe the current
	// connections.
	maxPredecessorAge = time.Minute
)

// readOtherProcess reads what another process of this balancer has written since the last check.
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
	if b.inherited != nil && b.stateDir.ReloadAnnounced(b.cfg.ReadAt) {
		b.requestReload()
	}
}

// requestReload asks for the configuration file to be read again. A request that is pending already serves as well.
func (b *Balancer) requestReload() {
	select {
	case b.reloadRequests <- struct{}{}:
	default:
	}
}

// announceReload makes the other processes of this balancer read the configuration file too. One that had read it
// before the change, and did not get the signal, would keep the old configuration. Each decides for itself whether it
// can apply the new one.
func (b *Balancer) announceReload() {
	if b.inherited == nil {
		return
	}
	if err := b.stateDir.AnnounceReload(); err != nil {
		b.log.Error("cannot make other processes of this balancer reload", "err", err)
	}
}

func (b *Balancer) readMaintenance() {
	m, err := b.stateDir.ReadMaintenance()
	if err != nil {
		b.log.Error("cannot read the maintenance file, servers in maintenance stay as they are", "err", err)
		return
	}
	b.step(core.PredecessorState{Servers: m.KnownServers})
	for _, server := range b.core.ServersInMaintenance() {
		if !slices.Contains(m.Servers, server) {
			b.step(core.MaintenanceSet{Server: server})
		}
	}
	for _, server := range m.Servers {
		b.step(core.MaintenanceSet{Server: server, On: true})
	}
}

func (b *Balancer) readPredecessor() {
	state, ok, err := b.stateDir.ReadPredecessor(maxPredecessorAge)
	if err != nil {
		b.log.Error("cannot read the predecessor's state, returning clients are placed again", "err", err)
		return
	}
	if ok {
		b.log.Info("read the predecessor's state", "standing", len(state.FlowServers))
		b.step(core.PredecessorState{Servers: state.KnownServers, Flows: state.FlowServers})
	}
}

// exchangeUsage publishes this process's resource usage to the balancer's other processes, and reads theirs.
// Descriptors, memory and what may be sent to a server that is warming up are limited for all of them together.
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
			"cannot publish resource usage to other processes of this balancer",
			slog.Any("err", err),
		)
	}
	previous := b.otherProcesses
	b.otherProcesses = hotrestart.Usage{}
	placing := 0
	for _, usage := range b.presence.Others() {
		b.otherProcesses.Sockets += usage.Sockets
		b.otherProcesses.Memory += usage.Memory
		if usage.ShuttingDown == 0 {
			placing++
		}
	}
	b.descriptorLimit.Add(previous.Sockets - b.otherProcesses.Sockets)
	if b.admission != nil && previous.Sockets != b.otherProcesses.Sockets {
		b.admission.setLimits(int(b.descriptorLimit.Load()), b.cfg.MemoryMB)
	}
	b.step(core.OverlappingProcesses{Count: placing})
}

// sentByOtherProcess reports whether another process of this balancer has sent a request with the client's id, or is
// about to. It records that this process is about to.
func (b *Balancer) sentByOtherProcess(c *client) bool {
	if b.sentRequests == nil || c.request.MidFlow || c.request.EstablishedAt != "" {
		return false
	}
	hash := max(1, core.HashRequestID(c.request.ID))
	if !c.idShared {
		if err := b.sentRequests.Add(hash); err != nil {
			b.limitedLog.Say(time.Now(), slog.LevelError, "sent",
				"cannot share the ids of requests with other processes of this balancer", slog.Any("err", err))
		}
		c.idShared = true
	}
	return b.sentRequests.SentByOther(hash)
}

// writeForSuccessor writes the state that the next process takes over.
func (b *Balancer) writeForSuccessor() {
	if b.inherited == nil {
		return
	}
	state := hotrestart.PredecessorState{KnownServers: b.core.KnownServers(), FlowServers: b.core.EstablishedFlows()}
	if err := b.stateDir.WriteForSuccessor(state); err != nil {
		b.log.Error("cannot write state for the successor", "err", err)
	}
}
