package membership

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"
	"time"

	"oatloft/internal/hint"
)

// The keys of the signals that a balancer sets. A server's key is ServerKey and its id.
const (
	ServerKey = "r/"
	ClockKey  = "t"    // exploration slots so far
	LoadKey   = "load" // open connections, requests without an answer
	DrainKey  = "drain"
)

const (
	readingFields = 3
	maxLoad       = 1e6
)

// Reading is what a balancer last knew of a server's load.
type Reading struct {
	Load         float64       // relative to the server's capacity
	Age          time.Duration // when the signal was set
	FailedProbes int           // in a row
}

// Encode returns the reading as a signal's value.
func (r Reading) Encode() []byte {
	return fmt.Appendf(nil, "%.3f %d %d", r.Load, r.Age.Milliseconds(), r.FailedProbes)
}

var errReading error = &MalformedMessage{hint.Annotated{What: "a reading is not three figures", Do: unknownSenderHint}}

// ParseReading reads a reading from a signal's value. What no balancer would send is a *MalformedMessage.
func ParseReading(value []byte) (Reading, error) {
	words := strings.Fields(string(value))
	if len(words) != readingFields {
		return Reading{}, errReading
	}
	load, loadErr := strconv.ParseFloat(words[0], 64)
	ageMS, ageErr := strconv.ParseInt(words[1], 10, 32)
	failed, failedErr := strconv.ParseInt(words[2], 10, 32)
	switch {
	case errors.Join(loadErr, ageErr, failedErr) != nil,
		math.IsNaN(load) || load < 0 || load > maxLoad,
		ageMS < 0 || failed < 0:
		return Reading{}, errReading
	}
	return Reading{Load: load, Age: time.Duration(ageMS) * time.Millisecond, FailedProbes: int(failed)}, nil
}
