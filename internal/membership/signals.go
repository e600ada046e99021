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

// The signals that a balancer gives. A region's key is RegionKey and its id; the others have keys of their own.
const (
	RegionKey = "r/"
	ClockKey  = "t"    // explore slots so far
	LoadKey   = "load" // terminals that stand, transactions without their answer
	DrainKey  = "drain"
)

// Reading is what a balancer last knew of a region.
type Reading struct {
	X     float64       // load over what it can do
	Age   time.Duration // of the reading, when the signal was given
	Fails int           // probes without an answer, in a row
}

// Value is the reading as a signal's value.
func (r Reading) Value() []byte {
	return fmt.Appendf(nil, "%.3f %d %d", r.X, r.Age.Milliseconds(), r.Fails)
}

var errReading error = &Malformed{hint.Annotated{What: "a reading is not three figures", Do: strangers}}

// ParseReading reads it back. What no balancer would write is an error.
func ParseReading(value []byte) (r Reading, err error) {
	f := strings.Fields(string(value))
	if len(f) != 3 {
		return r, errReading
	}
	r.X, err = strconv.ParseFloat(f[0], 64)
	age, err2 := strconv.ParseInt(f[1], 10, 32)
	fails, err3 := strconv.ParseInt(f[2], 10, 32)
	if r.Age, r.Fails = time.Duration(age)*time.Millisecond, int(fails); errors.Join(err, err2, err3) != nil || math.IsNaN(r.X) || r.X < 0 || r.X > 1e6 || age < 0 || fails < 0 {
		return r, errReading
	}
	return r, nil
}
