package core

import (
	"time"

	"oatloft/policy"
)

// Handle names a client's connection for as long as it lives. The host assigns them.
type Handle uint32

// Config is what the reducer needs to know beside the module's own settings.
type Config struct {
	Policy           policy.Config
	Seed             int64         // of the module's random choices
	ConnectTimeout   time.Duration // an attempt whose connection is not up by then never ran
	ProbeTimeout     time.Duration
	MaxClientTimeout time.Duration // the longest time that a class of clients waits for its answer
	PassThrough      bool          // established connections go on elsewhere when this balancer leaves
}

// classTable holds the classes of the settings in force.
type classTable struct {
	byName         map[string]policy.Class
	delayThreshold time.Duration // message delays from here on are reported to the module; 0 for none
}

// delayShare is the share of the tightest message objective from which a delay is reported, as the platform's
// settings ask.
const delayShare = 3

func newClassTable(classes []policy.Class) classTable {
	table := classTable{byName: make(map[string]policy.Class, len(classes))}
	for _, class := range classes {
		table.byName[class.Name] = class
		threshold := class.MessageLatencyObjective / delayShare
		if threshold > 0 && (table.delayThreshold == 0 || threshold < table.delayThreshold) {
			table.delayThreshold = threshold
		}
	}
	return table
}
