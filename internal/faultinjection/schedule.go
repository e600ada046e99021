package faultinjection

import (
	"bytes"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"oatloft/internal/hint"
)

// Span is a duration in a schedule, written as "1.5s".
type Span time.Duration

// MarshalText formats the duration.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText parses a duration.
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil || d < 0 {
		return &NotRun{hint.Annotated{What: fmt.Sprintf("%q is not a duration such as \"1.5s\"", b),
			Do: "write a number with its unit"}}
	}
	*s = Span(d)
	return nil
}

// Fault is one fault of a schedule, that starts at a time after all processes have started and lasts for a duration. A
// and B are balancers, or B a server for some kinds, counted from 1; 0 stands for all.
type Fault struct {
	At    Span    `json:"at"`
	For   Span    `json:"for"`
	Kind  string  `json:"kind"`
	A     int     `json:"a,omitempty"`
	B     int     `json:"b,omitempty"`
	Value float64 `json:"value,omitempty"`
}

// String returns the times, the kind and the arguments of the fault.
func (f Fault) String() string {
	return fmt.Sprintf("%v for %v: %s a=%d b=%d value=%g", time.Duration(f.At), time.Duration(f.For), f.Kind, f.A, f.B,
		f.Value)
}

// Schedule describes one fault run.
type Schedule struct {
	Name      string  `json:"name"`
	Balancers int     `json:"balancers"`
	Servers   int     `json:"regions"`
	Clients   int     `json:"terminals"`
	Seconds   float64 `json:"seconds"` // duration of the faults, before the time to settle
	Faults    []Fault `json:"faults"`
	Calls     []Call  `json:"calls,omitempty"`  // of operators, with revisions
	OnCut     string  `json:"on_cut,omitempty"` // "" stands for refuse
}

// The size of a fault run is bounded since each balancer is a process and each link a relay.
const (
	maxBalancers = 50
	maxServers   = 60
	maxClients   = 500
	maxSeconds   = 600
)

// kind is the behaviour of a kind of faults. Each is registered by the file that implements it.
type kind struct {
	// generate generates A, B and Value; the times are generated in the same way for all kinds.
	generate   func(rng *rand.Rand, s *Schedule) Fault
	begin      func(w *Scenario, f Fault) (end func())
	targetB    string // meaning of B: "balancer", "region" (a server) or "" for none
	needs      string // revisionsOn if it has no effect without revisions; "" for any run
	manualOnly bool   // it is used only in handwritten schedules, and never generated
}

const revisionsOn = "revisions"

var kinds = map[string]kind{}

func register(name string, k kind) { kinds[name] = k }

// Kinds returns the names of all kinds of faults.
func Kinds() []string { return slices.Sorted(maps.Keys(kinds)) }

// NotRun is the error that a fault run could not begin, or was interrupted.
type NotRun struct{ hint.Annotated }

// InvalidSchedule is the error that a schedule can't be played, with the first invalid field and the reason.
type InvalidSchedule struct{ Field, Why string }

// Error returns the field and the reason.
func (e *InvalidSchedule) Error() string { return e.Field + ": " + e.Why }

// Hint returns what an operator can do.
func (e *InvalidSchedule) Hint() string {
	return "set " + e.Field + " in the schedule to a valid value; oatlab faults --print shows valid schedules"
}

// Check returns an error for the first invalid field.
func (s *Schedule) Check() error {
	switch {
	case s.Balancers < 1 || s.Balancers > maxBalancers:
		return &InvalidSchedule{"balancers", fmt.Sprintf("%d is outside 1 to %d", s.Balancers, maxBalancers)}
	case s.Servers < 1 || s.Servers > maxServers:
		return &InvalidSchedule{"regions", fmt.Sprintf("%d is outside 1 to %d", s.Servers, maxServers)}
	case s.Clients < 0 || s.Clients > maxClients:
		return &InvalidSchedule{"terminals", fmt.Sprintf("%d is outside 0 to %d", s.Clients, maxClients)}
	case !(s.Seconds > 0 && s.Seconds <= maxSeconds):
		return &InvalidSchedule{"seconds", fmt.Sprintf("%v is outside 0 to %d", s.Seconds, maxSeconds)}
	}
	for i, f := range s.Faults {
		k, ok := kinds[f.Kind]
		maxB := map[string]int{"balancer": s.Balancers, "region": s.Servers}[k.targetB]
		switch {
		case !ok:
			return &InvalidSchedule{fmt.Sprintf("faults[%d].kind", i),
				fmt.Sprintf("%q is not one of %s", f.Kind, strings.Join(Kinds(), ", "))}
		case f.A < 0 || f.A > s.Balancers:
			return &InvalidSchedule{fmt.Sprintf("faults[%d].a", i), fmt.Sprintf("there is no balancer %d", f.A)}
		case f.B < 0 || f.B > maxB:
			return &InvalidSchedule{fmt.Sprintf("faults[%d].b", i), fmt.Sprintf("there is no %s %d", k.targetB, f.B)}
		case time.Duration(f.At+f.For).Seconds() > s.Seconds:
			return &InvalidSchedule{fmt.Sprintf("faults[%d]", i),
				fmt.Sprintf("ends %v after the start, the run after %vs", time.Duration(f.At+f.For), s.Seconds)}
		case !(f.Value >= 0 && f.Value <= 1e9):
			return &InvalidSchedule{fmt.Sprintf("faults[%d].value", i), fmt.Sprintf("%v", f.Value)}
		}
	}
	return s.checkCalls()
}

// Load reads a schedule from a file. Its errors are one line with the file, the line if known, and the field.
func Load(path string) (*Schedule, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Schedule{}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err = d.Decode(s); err != nil {
		return nil, &NotRun{hint.Annotated{Where: fmt.Sprintf("%s:%d", path,
			1+bytes.Count(body[:min(int(d.InputOffset()), len(body))], []byte("\n"))), Cause: err,
			Do: "correct the JSON there; oatlab faults --print shows valid schedules"}}
	}
	if err = s.Check(); err != nil {
		return nil, &NotRun{hint.Annotated{Where: path, Cause: err, Do: "correct the schedule"}}
	}
	return s, nil
}

// Generate generates a schedule from a seed: one to eight faults, which may overlap. The kind of the first fault cycles
// through all kinds from seed to seed, and it lasts longer; the kinds of the others are random.
func Generate(seed uint64, balancers int, seconds float64) *Schedule {
	return generate(seed, balancers, seconds, slices.DeleteFunc(Kinds(),
		func(name string) bool { return kinds[name].needs != "" }))
}

// GenerateRevisions generates a schedule with operators' calls, and with the faults that need revisions among the
// others.
func GenerateRevisions(seed uint64, balancers int, seconds float64, links bool) *Schedule {
	names := slices.DeleteFunc(Kinds(), func(name string) bool { return kinds[name].manualOnly })
	if voters(balancers) < 3 { // the only voter must not lose its folder
		names = slices.DeleteFunc(names, func(name string) bool { return strings.HasPrefix(name, "folder-") })
	}
	s := generate(seed, balancers, seconds, names)
	s.Calls = GenerateCalls(seed, s, links)
	if seed%3 == 0 {
		s.OnCut = "hold"
	}
	return s
}

func generate(seed uint64, balancers int, seconds float64, names []string) *Schedule {
	rng := rand.New(rand.NewPCG(seed, 23))
	s := &Schedule{Name: fmt.Sprintf("seed-%d", seed), Balancers: balancers, Servers: 4 + rng.IntN(5),
		Clients: 4 * balancers, Seconds: seconds}
	for n := range 1 + rng.IntN(8) {
		name := names[rng.IntN(len(names))]
		if n == 0 {
			name = names[seed%uint64(len(names))]
		}
		f := kinds[name].generate(rng, s)
		f.Kind = name
		at := rng.Float64() * seconds * 0.8
		length := (0.05 + 0.5*rng.Float64()) * seconds
		if n == 0 {
			at, length = 0.3*at, length+0.3*seconds
		}
		f.At = Span(time.Duration(at * float64(time.Second)).Round(10 * time.Millisecond))
		f.For = Span(time.Duration(min(length, seconds-at) * float64(time.Second)).Truncate(10 * time.Millisecond))
		if f.At+f.For > Span(seconds*float64(time.Second)) {
			f.For = Span(seconds*float64(time.Second)) - f.At
		}
		s.Faults = append(s.Faults, f)
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}
