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

// The keys of the signals that a balancer sets.
const (
	ServerKey           = "r/"    // prefix of a server's id, for a Reading of the server
	ExplorationSlotsKey = "t"     // number of exploration slots so far
	LoadKey             = "load"  // open connections and unanswered requests
	DrainKey            = "drain" // this balancer is draining
)

const (
	readingFieldCount = 3   // of an encoded reading
	maxReadingLoad    = 1e6 // relative to the server's capacity
)

// Reading is a balancer's latest reading of a server.
type Reading struct {
	Load         float64       // relative to the server's capacity
	Age          time.Duration // at the time the signal was set
	FailedProbes int           // consecutive
}

// Encode returns the reading as a signal's value.
func (r Reading) Encode() []byte {
	return fmt.Appendf(nil, "%.3f %d %d", r.Load, r.Age.Milliseconds(), r.FailedProbes)
}

var errMalformedReading error = &MalformedMessage{
	hint.Annotated{What: "a reading is not three numbers in range", Do: malformedMessageHint},
}

// ParseReading parses the value of a signal. The error is *MalformedMessage.
func ParseReading(value []byte) (Reading, error) {
	fields := strings.Fields(string(value))
	if len(fields) != readingFieldCount {
		return Reading{}, errMalformedReading
	}
	load, loadErr := strconv.ParseFloat(fields[0], 64)
	ageMS, ageErr := strconv.ParseInt(fields[1], 10, 32)
	failed, failedErr := strconv.ParseInt(fields[2], 10, 32)
	switch {
	case errors.Join(loadErr, ageErr, failedErr) != nil,
		math.IsNaN(load) || load < 0 || load > maxReadingLoad,
		ageMS < 0 || failed < 0:
		return Reading{}, errMalformedReading
	}
	return Reading{Load: load, Age: time.Duration(ageMS) * time.Millisecond, FailedProbes: int(failed)}, nil
}
