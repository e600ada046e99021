package core

import (
	"time"

	"oatloft/policy"
)

// Handle identifies a client's connection while it is open. The host assigns handles.
type Handle uint32

// Config holds the settings of the reducer and of the module.
type Config struct {
	Policy           policy.Config
	Seed             int64         // seeds the module's random choices
	ConnectTimeout   time.Duration // an attempt that is not connected by then has not run
	ProbeTimeout     time.Duration
	MaxClientTimeout time.Duration // the longest time that clients of any class wait for an answer
	PassThrough      bool          // established connections survive this balancer's shutdown on other balancers
}

// classTable holds the classes of the current settings.
type classTable struct {
	byName         map[string]policy.Class
	delayThreshold time.Duration // message delays above it are reported to the module; 0 for none
}

// delayThresholdDivisor divides the shortest message latency objective: longer message delays are reported to the
// module, as the platform's settings require.
const delayThresholdDivisor = 3

func newClassTable(classes []policy.Class) classTable {
	table := classTable{byName: make(map[string]policy.Class, len(classes))}
	for _, class := range classes {
		table.byName[class.Name] = class
		threshold := class.MessageLatencyObjective / delayThresholdDivisor
		if threshold > 0 && (table.delayThreshold == 0 || threshold < table.delayThreshold) {
			table.delayThreshold = threshold
		}
	}
	return table
}
