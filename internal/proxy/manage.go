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
	followEvery    = 50 * time.Millisecond // a call to the other process holds here within this and a tick
	ownDescriptors = 16                    // of a process that serves nobody
	leftAge        = time.Minute           // what was left longer ago tells nothing of today's connections
)

// open opens the operators' address and takes over the platform's listener, where there are such.
func (s *Server) open() (err error) {
	if s.cfg.Management != "" || s.cfg.Inherited != "" {
		s.dir = hotrestart.Open(either(s.cfg.State, os.TempDir()), s.cfg.Name)
	}
	if s.cfg.Inherited != "" { // first: a wrong number could be that of what is opened next
		if s.inherit, err = inherited(s.cfg.Inherited, s.cfg.Listen); err != nil {
			return err
		}
		if s.beside, err = s.dir.Register(); err != nil {
			s.log.Error("other processes of this balancer are not seen", "err", err)
		}
		s.meet(int64(heap()))
	}
	if s.cfg.Management != "" {
		if s.manage, err = management.Listen(s.cfg.Management, s.operate); err != nil {
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

// descriptors is how many may be used for all but the operators' calls.
func (s *Server) descriptors(cfg Config) int64 {
	n := openFiles(cfg.Sockets)
	if cfg.Management != "" {
		n -= management.Descriptors
	}
	return n
}

// Refusal is a call that wasn't done. Nothing has changed.
type Refusal struct{ hint.Annotated }

func refuse(what, do string) management.Answer {
	return management.No("%s", hint.Line(&Refusal{hint.Annotated{What: what, Do: do}}))
}

// onLoop runs f on the loop, between two events. Once the caller's time is over it is not run any more.
func (s *Server) onLoop(over <-chan struct{}, f func() management.Answer) management.Answer {
	done := make(chan management.Answer, 1)
	select {
	case s.asks <- func() { done <- f() }:
		return <-done
	case <-over:
		return refuse("busy: not taken up in time, nothing changed", "call again; if it stays, look at the balancer's processor time")
	case <-s.over:
		return refuse("leaving: this process has ended its work, nothing changed", "call the process that follows")
	}
}

// operate answers one call, on the caller's goroutine.
func (s *Server) operate(c management.Request, over <-chan struct{}) management.Answer {
	switch c.Verb {
	case management.StartMaintenance, management.EndMaintenance:
		return s.maintain(c, over)
	case management.Peers:
		return s.whoIsThere(c.Argument)
	case management.Revision:
		return s.revise(c.Argument)
	}
	return s.onLoop(over, func() management.Answer {
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

// maintain leaves a region out or takes it back. The file is written on the caller's goroutine, before the yes and before
// the loop knows: a call whose file can't be written has changed nothing.
func (s *Server) maintain(c management.Request, over <-chan struct{}) management.Answer {
	on := c.Verb == management.StartMaintenance
	select {
	case s.keeping <- struct{}{}:
		defer func() { <-s.keeping }()
	case <-over:
		return refuse("busy: another call is being written, nothing changed", "call again")
	}
	var now hotrestart.Maintenance
	known := false
	if a := s.onLoop(over, func() management.Answer {
		known = s.core.IsKnownServer(c.Argument)
		now = hotrestart.Maintenance{Excluded: s.core.ServersInMaintenance(), KnownServers: slices.Clone(s.core.KnownServers())}
		return management.Yes("")
	}); !a.OK {
		return a
	}
	if !known {
		return refuse(c.Argument+" was never listed, nothing changed", "check the id: it is host in discovery's list")
	}
	if err := s.dir.SetMaintenance(c.Argument, on, now); err != nil {
		return management.No("%s", hint.Line(&Refusal{hint.Annotated{What: "nothing changed", Cause: err, Do: "call again"}}))
	}
	// It is on disk: even if this loop takes it up no more, the next process finds the file.
	s.onLoop(nil, func() management.Answer {
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

// follow reads what the other process of this balancer has written since the last look.
func (s *Server) follow() {
	if s.dir == nil {
		return
	}
	if s.dir.MaintenanceChanged() {
		if m, err := s.dir.ReadMaintenance(); err != nil {
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
	if s.inherit != nil && !s.core.ShuttingDown() && s.dir.PredecessorChanged() {
		l, ok, err := s.dir.ReadPredecessor(leftAge)
		if err != nil {
			s.log.Error("not read, who comes back is placed anew", "err", err)
		} else if ok {
			s.log.Info("the process before has left", "standing", len(l.FlowServers))
			s.step(core.PredecessorState{Servers: l.KnownServers, Flows: l.FlowServers})
		}
	}
}

// meet tells the other processes of this balancer what this one takes, and learns what they do: descriptors, memory and
// what may be sent to a cold region are had once for all of them. One that leaves places nobody any more.
func (s *Server) meet(used int64) {
	if s.beside == nil {
		return
	}
	mine := hotrestart.Usage{Sockets: s.sockets.Load() + ownDescriptors, Memory: used}
	if s.core.ShuttingDown() {
		mine.ShuttingDown = 1
	}
	if err := s.beside.Write(mine); err != nil {
		s.said.Say(time.Now(), slog.LevelError, "use", "other processes don't see what this one takes", slog.Any("err", err))
	}
	before := s.others
	s.others = hotrestart.Usage{}
	placing := 0
	for _, u := range s.beside.Others() {
		s.others.Sockets += u.Sockets
		s.others.Memory += u.Memory
		if u.ShuttingDown == 0 {
			placing++
		}
	}
	s.limit.Add(before.Sockets - s.others.Sockets)
	if s.door != nil && before.Sockets != s.others.Sockets {
		s.door.limit(int(s.limit.Load()), s.cfg.MemoryMB)
	}
	s.step(core.OverlappingProcesses{Count: placing})
}

// handOver writes what the next process has to know of this one.
func (s *Server) handOver() {
	if s.inherit == nil {
		return
	}
	if err := s.dir.WriteForSuccessor(hotrestart.PredecessorState{KnownServers: s.core.KnownServers(), FlowServers: s.core.EstablishedFlows()}); err != nil {
		s.log.Error("what stands is not handed over", "err", err)
	}
}

// status is yes while this process takes terminals.
func (s *Server) status() management.Answer {
	switch {
	case s.core.ShuttingDown():
		return management.No("leaving: takes no more clients, %d still owed an answer, %d standing", s.core.Unanswered(), s.core.OpenRequests()-s.core.Unanswered())
	case !s.accepts:
		return management.No("starting")
	case !s.core.HasEndpoints():
		return management.No("starting: no list of servers yet")
	}
	if !s.mayPlace() {
		return management.No("without a revision: %s, %d standing", s.revisions.host.Lease().Reason, s.core.OpenRequests()-s.core.Unanswered())
	}
	if s.core.DrainRequested() {
		return management.No("standby: %d standing", s.core.OpenRequests()-s.core.Unanswered())
	}
	return management.Yes("taking clients, %d standing", s.core.OpenRequests()-s.core.Unanswered())
}
