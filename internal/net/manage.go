// The operators' calls, as the balancer answers them. This file owns the way from a caller's goroutine to the loop and
// back; it must never let a call wait for the data's queue, nor change anything for a caller who was told no.

package net

import (
	"errors"
	"fmt"
	"syscall"

	"oatloft/internal/management"
)

// open opens the operators' address and takes over the platform's listener, where there are such.
func (s *Server) open() (err error) {
	if s.cfg.Inherited != "" { // first: a wrong number could be that of what is opened next
		if s.inherit, err = inherited(s.cfg.Inherited, s.cfg.Listen); err != nil {
			return err
		}
	}
	if s.cfg.Management != "" {
		if s.manage, err = management.Listen(s.cfg.Management, s.operate); err != nil {
			return fmt.Errorf("management: %w", err)
		}
	}
	return nil
}

// CheckAddresses tells whether the operators' address can be listened on.
func (c Config) CheckAddresses() error {
	if c.Management == "" {
		return nil
	}
	return management.Check(c.Management, func(err error) bool { return errors.Is(err, syscall.EADDRINUSE) })
}

// descriptors is how many may be used for all but the operators' calls.
func (s *Server) descriptors(cfg Config) int64 {
	n := openFiles(cfg.Sockets)
	if cfg.Management != "" {
		n -= management.Descriptors
	}
	return n
}

// onLoop runs f on the loop, between two events. Once the caller's time is over it is not run any more.
func (s *Server) onLoop(over <-chan struct{}, f func() management.Answer) management.Answer {
	done := make(chan management.Answer, 1)
	select {
	case s.asks <- func() { done <- f() }:
		return <-done
	case <-over:
		return management.No("busy: not taken up in time, nothing changed")
	case <-s.over:
		return management.No("leaving: this process has ended its work, nothing changed")
	}
}

// operate answers one call, on the caller's goroutine.
func (s *Server) operate(c management.Call, over <-chan struct{}) management.Answer {
	return s.onLoop(over, func() management.Answer {
		switch c.Word {
		case management.Status:
			return s.status()
		}
		return management.No("%v: not known to this version", c.Word)
	})
}

// status is yes while this process takes terminals.
func (s *Server) status() management.Answer {
	switch {
	case s.core.Leaving():
		return management.No("leaving: takes no more clients, %d still owed an answer, %d standing", s.core.Owed(), s.core.Open()-s.core.Owed())
	case !s.accepts:
		return management.No("starting")
	case !s.core.Listed():
		return management.No("starting: no list of servers yet")
	}
	return management.Yes("taking clients, %d standing", s.core.Open()-s.core.Owed())
}
