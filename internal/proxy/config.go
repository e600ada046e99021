package proxy

import (
	"time"

	"oatloft/internal/coordination"
	"oatloft/internal/core"
	"oatloft/internal/hint"
)

// Config has what a balancer needs to start.
type Config struct {
	Name        string
	Listen      string
	Discovery   string
	StateDir    string // directory for what one process leaves to the next; empty for the system's
	Management  string // address for operators' calls; empty for none
	InheritedFD string // descriptor of a listening socket that the platform holds; empty for none

	MemoryMB int // 0 for no limit
	Sockets  int // descriptors; 0 for the system's limit
	Cores    float64

	Core           core.Config
	Admission      *Admission             // nil: only descriptors and memory are counted
	Numbered       *coordination.Numbered // nil: this balancer has no part by its number
	Peers          *Peers                 // nil: this balancer knows of no other
	Revisions      *Revisions             // nil: this balancer goes by its settings alone
	KnownEndpoints *core.EndpointsListed  // nil: none are known at the start
	StartOfClock   time.Time              // the balancer's clock counts from here
}

// UnreadableConfig is the error that the configuration file cannot be read.
type UnreadableConfig struct{ hint.Annotated }

// ConfigError is the error that a field of the configuration cannot work.
type ConfigError struct{ hint.Annotated }

// ListenFailed is the error that the clients' address, or a descriptor given in its place, cannot be listened on.
type ListenFailed struct{ hint.Annotated }
