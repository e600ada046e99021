package proxy

import (
	"cmp"
	"errors"
	"os"
	"slices"
	"syscall"

	"oatloft/internal/core"
	"oatloft/internal/hint"
	"oatloft/internal/hotrestart"
	"oatloft/internal/management"
)

// openSockets opens the operators' address and takes over the platform's listener, if they are configured. The
// listener comes first: a wrong descriptor number could match a descriptor that is opened here.
func (b *Balancer) openSockets() (err error) {
	if b.cfg.Management != "" || b.cfg.InheritedFD != "" {
		b.stateDir = hotrestart.Open(cmp.Or(b.cfg.StateDir, os.TempDir()), b.cfg.Name)
	}
	if b.cfg.InheritedFD != "" {
		b.inherited, err = takeInherited(b.cfg.InheritedFD, b.cfg.Listen)
		if err != nil {
			return err
		}
		b.presence, err = b.stateDir.Register()
		if err != nil {
			b.log.Error("cannot register with other processes of this balancer", "err", err)
		} else if b.sentRequests, err = b.presence.SentRequests(); err != nil {
			b.log.Error("cannot share the ids of requests with other processes of this balancer", "err", err)
		}
		b.exchangeUsage(int64(heapBytes()))
	}
	if b.cfg.Management != "" {
		b.managementServer, err = management.Listen(b.cfg.Management, b.handleCall)
		return err
	}
	return nil
}

// CheckAddresses checks that the operators' address can be listened on.
func (c Config) CheckAddresses() error {
	if c.Management == "" {
		return nil
	}
	inUse := func(err error) bool { return errors.Is(err, syscall.EADDRINUSE) }
	return management.CheckAddress(c.Management, inUse)
}

// availableDescriptors returns the number of descriptors available for all but operators' calls.
func (b *Balancer) availableDescriptors(cfg Config) int64 {
	limit := systemDescriptorLimit(cfg.Sockets)
	if cfg.Management != "" {
		limit -= management.Descriptors
	}
	return limit
}

// CallRefused reports that an operator's call was refused and nothing has changed.
type CallRefused struct{ hint.Annotated }

func refuse(what, do string) management.Answer {
	return management.No("%s", hint.Line(&CallRefused{hint.Annotated{What: what, Do: do}}))
}

// callOnLoop runs f on the loop, between two events, unless expired is closed before it starts.
func (b *Balancer) callOnLoop(expired <-chan struct{}, f func() management.Answer) management.Answer {
	done := make(chan management.Answer, 1)
	select {
	case b.calls <- func() { done <- f() }:
		return <-done
	case <-expired:
		return refuse(
			"busy: not taken up in time, nothing changed",
			"call again; if it persists, check the balancer's CPU usage",
		)
	case <-b.loopEnded:
		return refuse("leaving: this process has ended its work, nothing changed", "call the successor process")
	}
}

// handleCall answers an operator's call, on the caller's goroutine.
func (b *Balancer) handleCall(call management.Request, expired <-chan struct{}) management.Answer {
	switch call.Verb {
	case management.StartMaintenance, management.EndMaintenance:
		return b.setMaintenance(call, expired)
	case management.Peers:
		return b.describePeers(call.Argument)
	case management.Revision:
		return b.handleRevisionCall(call.Argument)
	case management.Status:
		return b.callOnLoop(expired, b.status)
	}
	return b.callOnLoop(expired, func() management.Answer { return b.setDrain(call.Verb) })
}

// setDrain begins or ends draining on an operator's call. It must run on the loop.
func (b *Balancer) setDrain(verb management.Verb) management.Answer {
	on := verb == management.Drain
	if b.core.ShuttingDown() {
		return refuse("leaving: nothing changed", "call the successor process")
	}
	if b.core.DrainRequested() == on {
		return management.Yes("%v already", verb)
	}
	b.step(core.DrainSet{On: on})
	b.log.Info("operators' call", "call", verb.String(), "standing", b.establishedFlows())
	return management.Yes("%v, %d standing", verb, b.establishedFlows())
}

// establishedFlows returns the number of flows that are on a server.
func (b *Balancer) establishedFlows() int { return b.core.OpenRequests() - b.core.Unanswered() }

// setMaintenance puts a server into maintenance or takes it out. The file is written on the caller's goroutine,
// before the answer and before the loop is notified: if it cannot be written, the call has changed nothing. Once it
// is written, the next process reads it, even if this loop ends first.
func (b *Balancer) setMaintenance(call management.Request, expired <-chan struct{}) management.Answer {
	on, server := call.Verb == management.StartMaintenance, call.Argument
	select {
	case b.maintenanceLock <- struct{}{}:
		defer func() { <-b.maintenanceLock }()
	case <-expired:
		return refuse("busy: another call is being written, nothing changed", "call again")
	}
	var current hotrestart.Maintenance
	known := false
	answer := b.callOnLoop(expired, func() management.Answer {
		known = b.core.IsKnownServer(server)
		current.Servers = b.core.ServersInMaintenance()
		current.KnownServers = slices.Clone(b.core.KnownServers())
		return management.Yes("")
	})
	if !answer.OK {
		return answer
	}
	if !known {
		return refuse(server+" was never listed, nothing changed", "check the id: it is host in discovery's list")
	}
	if err := b.stateDir.SetMaintenance(server, on, current); err != nil {
		return management.No(
			"%s",
			hint.Line(&CallRefused{hint.Annotated{What: "nothing changed", Cause: err, Do: "call again"}}),
		)
	}
	b.callOnLoop(nil, func() management.Answer {
		b.step(core.MaintenanceSet{Server: server, On: on})
		return management.Answer{}
	})
	b.log.Info("operators' call", "call", call.Verb.String(), "server", server)
	switch {
	case on:
		return management.Yes("%s is left out", server)
	case slices.Contains(current.Servers, server):
		return management.Yes("%s is used again", server)
	}
	return management.Yes("%s was not left out", server)
}

// status returns a positive answer while this process accepts clients. It must run on the loop.
func (b *Balancer) status() management.Answer {
	switch {
	case b.core.ShuttingDown():
		return management.No(
			"leaving: takes no more clients, %d still owed an answer, %d standing",
			b.core.Unanswered(),
			b.establishedFlows(),
		)
	case !b.serving:
		return management.No("starting")
	case !b.core.HasEndpoints():
		return management.No("starting: no list of servers yet")
	case !b.mayPlaceClients():
		return management.No("without a revision: %s, %d standing", b.revisions.host.Lease().Reason, b.establishedFlows())
	case b.core.DrainRequested():
		return management.No("standby: %d standing", b.establishedFlows())
	}
	return management.Yes("taking clients, %d standing", b.establishedFlows())
}
