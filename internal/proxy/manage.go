// The operators' calls, as the balancer answers them. This file owns the way from a caller's goroutine to the loop and
// back; it must never let a call wait for the data's queue, nor change anything for a caller who was told no.

package proxy

import (
	"errors"
	"log/slog"
	"os"
	"slices"
	"syscall"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/hint"
	"oatloft/internal/hotrestart"
	"oatloft/internal/management"
)

const (
	followInterval    = 50 * time.Millisecond // a call to the other process holds here within this and a tick
	idleDescriptors   = 16                    // of a process that serves nobody
	maxPredecessorAge = time.Minute           // what was left longer ago tells nothing of today's connections
)

// openSockets opens the operators' address and takes over the platform's listener, where there are such.
func (s *Balancer) openSockets() (err error) {
	if s.cfg.Management != "" || s.cfg.InheritedFD != "" {
		s.stateDir = hotrestart.Open(firstNonEmpty(s.cfg.StateDir, os.TempDir()), s.cfg.Name)
	}
	if s.cfg.InheritedFD != "" { // first: a wrong number could be that of what is opened next
		if s.inherited, err = takeInherited(s.cfg.InheritedFD, s.cfg.Listen); err != nil {
			return err
		}
		if s.presence, err = s.stateDir.Register(); err != nil {
			s.log.Error("other processes of this balancer are not seen", "err", err)
		}
		s.exchangeUsage(int64(heapBytes()))
	}
	if s.cfg.Management != "" {
		if s.operators, err = management.Listen(s.cfg.Management, s.handleCall); err != nil {
			return err
		}
	}
	return nil
}

// CheckAddresses tells whether the operators' address can be listened on.
func (c Config) CheckAddresses() error {
	if c.Management == "" {
		return nil
	}
	return management.CheckAddress(c.Management, func(err error) bool { return errors.Is(err, syscall.EADDRINUSE) })
}

// availableDescriptors is how many may be used for all but the operators' calls.
func (s *Balancer) availableDescriptors(cfg Config) int64 {
	n := systemDescriptorLimit(cfg.Sockets)
	if cfg.Management != "" {
		n -= management.Descriptors
	}
	return n
}

// CallRefused is a call that wasn't done. Nothing has changed.
type CallRefused struct{ hint.Annotated }

func refuse(what, do string) management.Answer {
	return management.No("%s", hint.Line(&CallRefused{hint.Annotated{What: what, Do: do}}))
}

// callOnLoop runs f on the loop, between two events. Once the caller's time is over it is not run any more.
func (s *Balancer) callOnLoop(over <-chan struct{}, f func() management.Answer) management.Answer {
	done := make(chan management.Answer, 1)
	select {
	case s.calls <- func() { done <- f() }:
		return <-done
	case <-over:
		return refuse("busy: not taken up in time, nothing changed", "call again; if it stays, look at the balancer's processor time")
	case <-s.loopEnded:
		return refuse("leaving: this process has ended its work, nothing changed", "call the process that follows")
	}
}

// handleCall answers one call, on the caller's goroutine.
func (s *Balancer) handleCall(c management.Request, over <-chan struct{}) management.Answer {
	switch c.Verb {
	case management.StartMaintenance, management.EndMaintenance:
		return s.setMaintenance(c, over)
	case management.Peers:
		return s.describePeers(c.Argument)
	case management.Revision:
		return s.handleRevisionCall(c.Argument)
	}
	return s.callOnLoop(over, func() management.Answer {
		if c.Verb == management.Status {
			return s.status()
		}
		on := c.Verb == management.Drain
		if s.core.ShuttingDown() {
			return refuse("leaving: nothing changed", "call the process that follows")
		}
		if s.core.DrainRequested() == on {
			return management.Yes("%v already", c.Verb)
		}
		s.step(core.DrainSet{On: on})
		s.log.Info("operators' call", "call", c.Verb.String(), "standing", s.core.OpenRequests()-s.core.Unanswered())
		return management.Yes("%v, %d standing", c.Verb, s.core.OpenRequests()-s.core.Unanswered())
	})
}

// setMaintenance leaves a region out or takes it back. The file is written on the caller's goroutine, before the yes and before
// the loop knows: a call whose file can't be written has changed nothing.
func (s *Balancer) setMaintenance(c management.Request, over <-chan struct{}) management.Answer {
	on := c.Verb == management.StartMaintenance
	select {
	case s.maintenanceLock <- struct{}{}:
		defer func() { <-s.maintenanceLock }()
	case <-over:
		return refuse("busy: another call is being written, nothing changed", "call again")
	}
	var now hotrestart.Maintenance
	known := false
	if a := s.callOnLoop(over, func() management.Answer {
		known = s.core.IsKnownServer(c.Argument)
		now = hotrestart.Maintenance{Excluded: s.core.ServersInMaintenance(), KnownServers: slices.Clone(s.core.KnownServers())}
		return management.Yes("")
	}); !a.OK {
		return a
	}
	if !known {
		return refuse(c.Argument+" was never listed, nothing changed", "check the id: it is host in discovery's list")
	}
	if err := s.stateDir.SetMaintenance(c.Argument, on, now); err != nil {
		return management.No("%s", hint.Line(&CallRefused{hint.Annotated{What: "nothing changed", Cause: err, Do: "call again"}}))
	}
	// It is on disk: even if this loop takes it up no more, the next process finds the file.
	s.callOnLoop(nil, func() management.Answer {
		s.step(core.MaintenanceSet{Server: c.Argument, On: on})
		return management.Answer{}
	})
	s.log.Info("operators' call", "call", c.Verb.String(), "server", c.Argument)
	switch {
	case on:
		return management.Yes("%s is left out", c.Argument)
	case slices.Contains(now.Excluded, c.Argument):
		return management.Yes("%s is used again", c.Argument)
	}
	return management.Yes("%s was not left out", c.Argument)
}

// readOtherProcess reads what the other process of this balancer has written since the last look.
func (s *Balancer) readOtherProcess() {
	if s.stateDir == nil {
		return
	}
	if s.stateDir.MaintenanceChanged() {
		if m, err := s.stateDir.ReadMaintenance(); err != nil {
			s.log.Error("not read, what is left out stays", "err", err)
		} else {
			s.step(core.PredecessorState{Servers: m.KnownServers})
			for _, id := range s.core.ServersInMaintenance() {
				if !slices.Contains(m.Excluded, id) {
					s.step(core.MaintenanceSet{Server: id})
				}
			}
			for _, id := range m.Excluded {
				s.step(core.MaintenanceSet{Server: id, On: true})
			}
		}
	}
	if s.inherited != nil && !s.core.ShuttingDown() && s.stateDir.PredecessorChanged() {
		l, ok, err := s.stateDir.ReadPredecessor(maxPredecessorAge)
		if err != nil {
			s.log.Error("not read, who comes back is placed anew", "err", err)
		} else if ok {
			s.log.Info("the process before has left", "standing", len(l.FlowServers))
			s.step(core.PredecessorState{Servers: l.KnownServers, Flows: l.FlowServers})
		}
	}
}

// exchangeUsage tells the other processes of this balancer what this one takes, and learns what they do: descriptors, memory and
// what may be sent to a cold region are had once for all of them. One that leaves places nobody any more.
func (s *Balancer) exchangeUsage(used int64) {
	if s.presence == nil {
		return
	}
	mine := hotrestart.Usage{Sockets: s.sockets.Load() + idleDescriptors, Memory: used}
	if s.core.ShuttingDown() {
		mine.ShuttingDown = 1
	}
	if err := s.presence.Write(mine); err != nil {
		s.limitedLog.Say(time.Now(), slog.LevelError, "use", "other processes don't see what this one takes", slog.Any("err", err))
	}
	before := s.otherProcesses
	s.otherProcesses = hotrestart.Usage{}
	placing := 0
	for _, u := range s.presence.Others() {
		s.otherProcesses.Sockets += u.Sockets
		s.otherProcesses.Memory += u.Memory
		if u.ShuttingDown == 0 {
			placing++
		}
	}
	s.descriptorLimit.Add(before.Sockets - s.otherProcesses.Sockets)
	if s.admission != nil && before.Sockets != s.otherProcesses.Sockets {
		s.admission.setLimits(int(s.descriptorLimit.Load()), s.cfg.MemoryMB)
	}
	s.step(core.OverlappingProcesses{Count: placing})
}

// writeForSuccessor writes what the next process has to know of this one.
func (s *Balancer) writeForSuccessor() {
	if s.inherited == nil {
		return
	}
	if err := s.stateDir.WriteForSuccessor(hotrestart.PredecessorState{KnownServers: s.core.KnownServers(), FlowServers: s.core.EstablishedFlows()}); err != nil {
		s.log.Error("what stands is not handed over", "err", err)
	}
}

// status is yes while this process takes terminals.
func (s *Balancer) status() management.Answer {
	switch {
	case s.core.ShuttingDown():
		return management.No("leaving: takes no more clients, %d still owed an answer, %d standing", s.core.Unanswered(), s.core.OpenRequests()-s.core.Unanswered())
	case !s.serving:
		return management.No("starting")
	case !s.core.HasEndpoints():
		return management.No("starting: no list of servers yet")
	}
	if !s.mayPlaceClients() {
		return management.No("without a revision: %s, %d standing", s.revisions.host.Lease().Reason, s.core.OpenRequests()-s.core.Unanswered())
	}
	if s.core.DrainRequested() {
		return management.No("standby: %d standing", s.core.OpenRequests()-s.core.Unanswered())
	}
	return management.Yes("taking clients, %d standing", s.core.OpenRequests()-s.core.Unanswered())
}
