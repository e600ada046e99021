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

// Span is a time in a schedule, "1.5s".
type Span time.Duration

// MarshalText writes it.
func (s Span) MarshalText() ([]byte, error) { return []byte(time.Duration(s).String()), nil }

// UnmarshalText reads it.
func (s *Span) UnmarshalText(b []byte) error {
	d, err := time.ParseDuration(string(b))
	if err != nil || d < 0 {
		return &NotRun{hint.Annotated{What: fmt.Sprintf("%q is no time such as \"1.5s\"", b), Do: "write a figure with its unit"}}
	}
	*s = Span(d)
	return nil
}

// Fault is one thing that goes wrong: at a time after all have started, for a while. A and B are balancers (or B a
// region, where the kind says so), counted from 1; 0 is all.
type Fault struct {
	At    Span    `json:"at"`
	For   Span    `json:"for"`
	Kind  string  `json:"kind"`
	A     int     `json:"a,omitempty"`
	B     int     `json:"b,omitempty"`
	Value float64 `json:"value,omitempty"`
}

func (f Fault) String() string {
	return fmt.Sprintf("%v for %v: %s a=%d b=%d value=%g", time.Duration(f.At), time.Duration(f.For), f.Kind, f.A, f.B, f.Value)
}

// Schedule is one fault run.
type Schedule struct {
	Name      string  `json:"name"`
	Balancers int     `json:"balancers"`
	Regions   int     `json:"regions"`
	Terminals int     `json:"terminals"`
	Seconds   float64 `json:"seconds"` // of faults; the settling follows
	Faults    []Fault `json:"faults"`
	Calls     []Call  `json:"calls,omitempty"`  // of operators, where revisions are on
	OnCut     string  `json:"on_cut,omitempty"` // refuse if ""
}

// A fault run's size has bounds: each balancer is a process, each link a relay.
const (
	maxBalancers = 50
	maxServers   = 60
	maxClients = 500
	maxSeconds   = 600
)

// kind is what a fault does. Each is registered by the file that holds it: later work adds its own in a file of its own.
type kind struct {
	generate  func(rng *rand.Rand, s *Schedule) Fault // A, B and Value; times are drawn for all
	begin func(w *Scenario, f Fault) (end func())
	targetB   string // what B counts: "balancer", "region" or "" for nothing
	needs string // revisionsOn where it does nothing without; "" for a fault of any fault run
	manualOnly  bool   // it stands in schedules made by hand only, and is never drawn
}

const revisionsOn = "revisions"

var kinds = map[string]kind{}

func register(name string, k kind) { kinds[name] = k }

// Kinds are the names of all faults.
func Kinds() []string { return slices.Sorted(maps.Keys(kinds)) }

// NotRun is a fault run that can't begin, or was ended.
type NotRun struct{ hint.Annotated }

// InvalidSchedule is the error that a schedule can't be played: the first field that is at fault, and why.
type InvalidSchedule struct{ Field, Why string }

func (e *InvalidSchedule) Error() string { return e.Field + ": " + e.Why }

// Hint is what an operator can do.
func (e *InvalidSchedule) Hint() string {
	return "set " + e.Field + " in the schedule as it says; oatlab faults --print shows sound ones"
}

// Check names the first field that can't work.
func (s *Schedule) Check() error {
	switch {
	case s.Balancers < 1 || s.Balancers > maxBalancers:
		return &InvalidSchedule{"balancers", fmt.Sprintf("%d is outside 1 to %d", s.Balancers, maxBalancers)}
	case s.Regions < 1 || s.Regions > maxServers:
		return &InvalidSchedule{"regions", fmt.Sprintf("%d is outside 1 to %d", s.Regions, maxServers)}
	case s.Terminals < 0 || s.Terminals > maxClients:
		return &InvalidSchedule{"terminals", fmt.Sprintf("%d is outside 0 to %d", s.Terminals, maxClients)}
	case !(s.Seconds > 0 && s.Seconds <= maxSeconds):
		return &InvalidSchedule{"seconds", fmt.Sprintf("%v is outside 0 to %d", s.Seconds, maxSeconds)}
	}
	for i, f := range s.Faults {
		k, ok := kinds[f.Kind]
		most := map[string]int{"balancer": s.Balancers, "region": s.Regions}[k.targetB]
		switch {
		case !ok:
			return &InvalidSchedule{fmt.Sprintf("faults[%d].kind", i), fmt.Sprintf("%q is none of %s", f.Kind, strings.Join(Kinds(), ", "))}
		case f.A < 0 || f.A > s.Balancers:
			return &InvalidSchedule{fmt.Sprintf("faults[%d].a", i), fmt.Sprintf("there is no balancer %d", f.A)}
		case f.B < 0 || f.B > most:
			return &InvalidSchedule{fmt.Sprintf("faults[%d].b", i), fmt.Sprintf("there is no %s %d", k.targetB, f.B)}
		case time.Duration(f.At+f.For).Seconds() > s.Seconds:
			return &InvalidSchedule{fmt.Sprintf("faults[%d]", i), fmt.Sprintf("ends %v after the start, the run after %vs", time.Duration(f.At+f.For), s.Seconds)}
		case !(f.Value >= 0 && f.Value <= 1e9):
			return &InvalidSchedule{fmt.Sprintf("faults[%d].value", i), fmt.Sprintf("%v", f.Value)}
		}
	}
	return s.checkCalls()
}

// Load reads a schedule's file. An error is one line with the file, the line where there is one, and the field.
func Load(path string) (*Schedule, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	s := &Schedule{}
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err = d.Decode(s); err != nil {
		return nil, &NotRun{hint.Annotated{Where: fmt.Sprintf("%s:%d", path, 1+bytes.Count(body[:min(int(d.InputOffset()), len(body))], []byte("\n"))), Cause: err, Do: "mend the JSON there; oatlab faults --print shows sound ones"}}
	}
	if err = s.Check(); err != nil {
		return nil, &NotRun{hint.Annotated{Where: path, Cause: err, Do: "mend the schedule"}}
	}
	return s, nil
}

// Draw makes a schedule from a seed: one to eight faults, some at once, some after each other. The first is of each kind
// in turn from seed to seed, and lasts; the others are of any.
func Draw(seed uint64, balancers int, seconds float64) *Schedule {
	return generate(seed, balancers, seconds, slices.DeleteFunc(Kinds(), func(name string) bool { return kinds[name].needs != "" }))
}

// DrawRevisions makes a schedule with operators' calls and, among the others, the faults that concern revisions.
func DrawRevisions(seed uint64, balancers int, seconds float64, links bool) *Schedule {
	names := slices.DeleteFunc(Kinds(), func(name string) bool { return kinds[name].manualOnly })
	if voters(balancers) < 3 { // whoever has the only vote must not lose its folder
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
	s := &Schedule{Name: fmt.Sprintf("seed-%d", seed), Balancers: balancers, Regions: 4 + rng.IntN(5), Terminals: 4 * balancers, Seconds: seconds}
	for n := range 1 + rng.IntN(8) {
		name := names[rng.IntN(len(names))]
		if n == 0 {
			name = names[seed%uint64(len(names))]
		}
		f := kinds[name].generate(rng, s)
		f.Kind = name
		at := rng.Float64() * seconds * 0.8
		long := (0.05 + 0.5*rng.Float64()) * seconds
		if n == 0 {
			at, long = 0.3*at, long+0.3*seconds
		}
		f.At = Span(time.Duration(at * float64(time.Second)).Round(10 * time.Millisecond))
		f.For = Span(time.Duration(min(long, seconds-at) * float64(time.Second)).Truncate(10 * time.Millisecond))
		if f.At+f.For > Span(seconds*float64(time.Second)) {
			f.For = Span(seconds*float64(time.Second)) - f.At
		}
		s.Faults = append(s.Faults, f)
	}
	slices.SortStableFunc(s.Faults, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}
