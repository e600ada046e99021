package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"strconv"
	"strings"
	"time"

	"oatloft/policy"
)

// Start begins an instance: everything it knew before is void.
type Start struct {
	Seed   int64
	Config policy.Config
}

// Stop ends an instance.
type Stop struct{}

// Event is one line of a batch: a *Start, a Stop or a policy.Event, for one instance.
type Event struct {
	Instance int
	What     any
}

// Batch holds the events of one moment.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int // number of the line read last
}

// NewReader returns a Reader on in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 1<<20)} }

// Read returns the next batch, or io.EOF where the input ends between two batches. Any other error
// names the line and the reason.
func (r *Reader) Read() (*Batch, error) {
	text, err := r.next()
	if err != nil {
		return nil, err
	}
	word, f := split(text)
	if word != "turn" {
		return nil, r.errorf("%q where a batch should begin", word)
	}
	f.required("ts-ms")
	b := &Batch{Now: f.millis("ts-ms")}
	if f.err != nil {
		return nil, r.errorf("turn: %v", f.err)
	}
	for {
		text, err := r.inside()
		if err != nil {
			return nil, err
		}
		word, f := split(text)
		if word == "flush" {
			return b, nil
		}
		if err := r.event(b, word, f); err != nil {
			return nil, err
		}
	}
}

func (r *Reader) event(b *Batch, word string, f *fields) error {
	if word == "turn" || word == "item" {
		return r.errorf("unexpected %s", word)
	}
	decode, known := decoders[word]
	if !known {
		return nil
	}
	f.required("balancer-id")
	e := Event{Instance: f.integer("balancer-id")}
	e.What = decode(f)
	if f.err != nil {
		return r.errorf("%s: %v", word, f.err)
	}
	if list, ok := e.What.(policy.ServerList); ok {
		n := f.integer("rows-in")
		if f.err != nil || n < 0 {
			return r.errorf("members: rows-in %q is no count", f.text("rows-in"))
		}
		servers, err := r.items(n)
		if err != nil {
			return err
		}
		list.Servers = servers
		e.What = list
	}
	b.Events = append(b.Events, e)
	return nil
}

func (r *Reader) items(n int) ([]policy.Server, error) {
	var servers []policy.Server
	for range n {
		text, err := r.inside()
		if err != nil {
			return nil, err
		}
		word, f := split(text)
		if word != "item" {
			return nil, r.errorf("%q where %d entries were announced and %d came", word, n, len(servers))
		}
		s := policy.Server{
			ID:      f.required("server"),
			Zone:    f.text("hall"),
			Cell:    f.integer("group"),
			State:   oneOf(f, "stage-state", states),
			Weight:  f.number("rating"),
			Started: f.millis("since-ms"),
		}
		if f.err != nil {
			return nil, r.errorf("item: %v", f.err)
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// inside returns the next line of a batch that has begun.
func (r *Reader) inside() (string, error) {
	text, err := r.next()
	if errors.Is(err, io.EOF) {
		return "", r.errorf("input ends inside a batch")
	}
	return text, err
}

// next returns the next line that is not blank; one may stand between two batches.
func (r *Reader) next() (string, error) {
	for {
		text, err := r.in.ReadString('\n')
		if err != nil && (text == "" || !errors.Is(err, io.EOF)) {
			return "", err
		}
		r.line++
		if text = strings.TrimRight(text, "\r\n"); text != "" {
			return text, nil
		}
	}
}

func (r *Reader) errorf(format string, args ...any) error {
	return fmt.Errorf("line %d: %s", r.line, fmt.Sprintf(format, args...))
}

func split(text string) (string, *fields) {
	word, rest, _ := strings.Cut(text, " ")
	return word, parseFields(rest)
}

var states = map[string]policy.ServerState{
	"live": policy.Live, "quiescing": policy.Draining, "dead": policy.Gone,
}

var listKinds = map[string]policy.ListKind{
	"patch": policy.ListDelta, "whole": policy.ListFull,
	"stale_copy": policy.ListCached, "broken": policy.ListFailed,
}

var results = map[string]policy.Result{
	"done": policy.OK, "err": policy.Failed, "busy": policy.Full, "etimedout": policy.TimedOut,
	"econnrefused": policy.Unreachable, "econnreset": policy.Reset, "ecanceled": policy.Canceled,
	"skipped": policy.Skipped,
}

// decoders hold one function an event; what is not listed here is ignored. Messages between balancers
// are left out on purpose: instances share nothing.
var decoders = map[string]func(*fields) any{
	"provision": func(f *fields) any {
		seed, err := strconv.ParseInt(f.required("seed"), 10, 64)
		if err != nil {
			f.fail("seed: %q is not a whole number", f.text("seed"))
		}
		return &Start{Seed: seed, Config: config(f)}
	},
	"shutdown": func(*fields) any { return Stop{} },
	"members": func(f *fields) any {
		return policy.ServerList{Kind: oneOf(f, "how", listKinds)}
	},
	"job_in": func(f *fields) any { f.required("patience-left-ms"); return request(f) },
	"existing": func(f *fields) any {
		return policy.Adopted{Request: request(f), Server: f.required("server")}
	},
	"started": func(f *fields) any {
		return policy.Established{ID: f.required("id"), Attempt: f.integer("shot"),
			Server: f.required("server"), Latency: f.millis("rtt-ms")}
	},
	"settled": func(f *fields) any {
		return policy.Outcome{ID: f.required("id"), Attempt: f.integer("shot"), Server: f.required("server"),
			Result: oneOf(f, "state-code", results), Final: f.flag("final")}
	},
	"hint_update": func(f *fields) any {
		f.required("x")
		switch f.integer("what") {
		case 1:
			return policy.LoadChange{ID: f.required("id")}
		case 2:
			return policy.Delay{ID: f.required("id"), Server: f.required("server"), Delay: f.millis("x")}
		}
		return nil // a kind of note that this version does not know
	},
	"echo": func(f *fields) any {
		return policy.ProbeResult{Server: f.required("server"), Result: oneOf(f, "state-code", results),
			Report: report(f)}
	},
	"timed_out_client": func(f *fields) any { return policy.ClientGone{ID: f.required("id")} },
	"reminder":         func(f *fields) any { return policy.Wake{Token: f.required("token")} },
}

func request(f *fields) policy.Request {
	return policy.Request{
		ID:       f.required("id"),
		Key:      f.text("name-key"),
		Group:    f.text("room"),
		Class:    f.required("category"),
		Tenant:   f.text("tenant"),
		Patience: f.millis("patience-left-ms"),
		MidFlow:  f.flag("mid-flow"),
	}
}

// report reads a load report; columns that mean nothing to the policy are ignored.
func report(f *fields) *policy.Report {
	text := f.text("load")
	if text == "" || text == "-" || text == null {
		return nil
	}
	r := &policy.Report{Load: -1, Busy: -1, InFlight: -1, Backlog: -1}
	for _, pair := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(pair, ":")
		if value == null {
			continue
		}
		x, err := parseNumber(value)
		if !ok || err != nil {
			f.fail("load: %q is not name:number", pair)
			return nil
		}
		switch name {
		case "x0":
			r.Load = x
		case "x1":
			r.Backlog = x
		case "busy":
			r.Busy = x
		case "rif":
			r.InFlight = x
		}
	}
	return r
}

// millis turns a figure in milliseconds into a duration.
func millis(x float64) time.Duration {
	return time.Duration(math.Round(x*1000)) * time.Microsecond
}
