package proxy

import (
	"time"

	"oatloft/internal/coordination"
	"oatloft/internal/core"
	"oatloft/internal/hint"
)

// Config holds the settings that a balancer starts with.
type Config struct {
	Name        string
	Listen      string
	Discovery   DiscoveryAddresses
	StateDir    string // directory for state handed to the next process; empty for the system's temporary one
	Management  string // address for operators' calls; empty for none
	InheritedFD string // descriptor of a listening socket inherited from the platform; empty for none

	MemoryMB int // 0 for no limit
	Sockets  int // file descriptors; 0 for the system's limit
	Cores    float64

	Core           core.Config
	Admission      *Admission                     // nil: only descriptors and memory are limited
	Numbered       *coordination.NumberedBalancer // nil: no servers are assigned by this balancer's number
	Peers          *Peers                         // nil: no exchange with other balancers
	Revisions      *Revisions                     // nil: only the settings apply
	KnownEndpoints *core.EndpointsListed          // nil: no servers are known at the start
	ClockOrigin    time.Time                      // origin of the balancer's clock
	ReadAt         time.Time                      // when the file was read
	// ReloadFollowed is set if another process of this balancer has read the file again, and this one follows it.
	ReloadFollowed bool
}

// UnreadableConfig reports that the configuration file cannot be read.
type UnreadableConfig struct{ hint.Annotated }

// ConfigError reports that a field of the configuration is invalid.
type ConfigError struct{ hint.Annotated }

// ListenFailed reports that the clients' address, or a descriptor given in its place, cannot be listened on.
type ListenFailed struct{ hint.Annotated }
