// Package wire implements the line protocol of the bench: it decodes batches of lines into events of package policy,
// and encodes its actions as lines.
package wire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
	"time"

	"oatloft/internal/hint"
	"oatloft/internal/settings"
	"oatloft/policy"
)

// Start starts an instance, without any earlier state.
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

// Batch holds the events of one point in time.
type Batch struct {
	Now    time.Duration
	Events []Event
}

// Reader reads batches.
type Reader struct {
	in   *bufio.Reader
	line int // number of the last line read
}

// NewReader returns a Reader on in.
func NewReader(in io.Reader) *Reader { return &Reader{in: bufio.NewReaderSize(in, 1<<20)} }

// Read returns the next batch, or io.EOF if the input ends between two batches. Any other error contains the line and
// the reason.
func (r *Reader) Read() (*Batch, error) {
	text, err := r.next()
	if err != nil {
		return nil, err
	}
	word, f := split(text)
	if word != "turn" {
		return nil, r.errorf("%q at the start of a batch", word)
	}
	f.Required("ts-ms")
	b := &Batch{Now: f.Millis("ts-ms")}
	if f.Err != nil {
		return nil, r.errorf("turn: %v", f.Err)
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

func (r *Reader) event(b *Batch, word string, f *settings.Fields) error {
	if word == "turn" || word == "item" {
		return r.errorf("unexpected %s", word)
	}
	decode, known := decoders[word]
	if !known {
		return nil
	}
	f.Required("balancer-id")
	e := Event{Instance: f.Integer("balancer-id")}
	e.What = decode(f)
	if f.Err != nil {
		return r.errorf("%s: %v", word, f.Err)
	}
	if list, ok := e.What.(policy.ServerList); ok {
		n := f.Integer("rows-in")
		if f.Err != nil || n < 0 {
			return r.errorf("members: rows-in %q is not a count", f.Text("rows-in"))
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
			return nil, r.errorf("%q in place of an item: %d announced, %d received", word, n, len(servers))
		}
		s := policy.Server{
			ID:        f.Required("server"),
			Zone:      f.Text("hall"),
			Cell:      f.Integer("group"),
			State:     settings.OneOf(f, "stage-state", states),
			Weight:    f.Number("rating"),
			StartedAt: f.Millis("since-ms"),
		}
		if f.Err != nil {
			return nil, r.errorf("item: %v", f.Err)
		}
		servers = append(servers, s)
	}
	return servers, nil
}

// inside returns the next line within a batch.
func (r *Reader) inside() (string, error) {
	text, err := r.next()
	if errors.Is(err, io.EOF) {
		return "", r.errorf("input ends inside a batch")
	}
	return text, err
}

// next returns the next line that is not blank. Blank lines may separate batches.
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

// Malformed is the error that a line of the bench can't be decoded.
type Malformed struct{ hint.Annotated }

func (r *Reader) errorf(format string, args ...any) error {
	return &Malformed{hint.Annotated{Where: fmt.Sprintf("line %d", r.line), What: fmt.Sprintf(format, args...),
		Do: "check that the bench and this program use the same version of the protocol"}}
}

func split(text string) (string, *settings.Fields) {
	word, rest, _ := strings.Cut(text, " ")
	return word, settings.Parse(rest)
}

var states = map[string]policy.ServerState{
	"live": policy.Live, "quiescing": policy.Draining, "dead": policy.Gone,
}

var listKinds = map[string]policy.ListKind{
	"patch": policy.ListDelta, "whole": policy.ListFull,
	"stale_copy": policy.ListCached, "broken": policy.ListFailed,
}

var results = map[string]policy.Result{
	"done": policy.ResultOK, "err": policy.ResultFailed, "busy": policy.ResultRejected, "etimedout": policy.ResultTimedOut,
	"econnrefused": policy.ResultUnreachable, "econnreset": policy.ResultReset, "ecanceled": policy.ResultCanceled,
	"skipped": policy.ResultSkipped,
}

// decoders holds one function per event; other events are ignored. Messages between balancers are omitted
// intentionally: instances share no state.
var decoders = map[string]func(*settings.Fields) any{
	"provision": func(f *settings.Fields) any {
		seed, err := strconv.ParseInt(f.Required("seed"), 10, 64)
		if err != nil {
			f.Fail("seed: %q is not a whole number", f.Text("seed"))
		}
		return &Start{Seed: seed, Config: settings.Config(f)}
	},
	"shutdown": func(*settings.Fields) any { return Stop{} },
	"members": func(f *settings.Fields) any {
		return policy.ServerList{Kind: settings.OneOf(f, "how", listKinds)}
	},
	"job_in": func(f *settings.Fields) any { f.Required("patience-left-ms"); return request(f) },
	"existing": func(f *settings.Fields) any {
		return policy.AdoptedConnection{Request: request(f), Server: f.Required("server")}
	},
	"started": func(f *settings.Fields) any {
		return policy.AttemptEstablished{ID: f.Required("id"), Attempt: f.Integer("shot"),
			Server: f.Required("server"), Latency: f.Millis("rtt-ms")}
	},
	"settled": func(f *settings.Fields) any {
		return policy.AttemptEnded{ID: f.Required("id"), Attempt: f.Integer("shot"), Server: f.Required("server"),
			Result: settings.OneOf(f, "state-code", results), Final: f.Flag("final")}
	},
	"hint_update": func(f *settings.Fields) any {
		f.Required("x")
		switch f.Integer("what") {
		case 1:
			return policy.ConnectionLoad{ID: f.Required("id"), Load: f.Number("x")}
		case 2:
			return policy.MessageDelay{ID: f.Required("id"), Server: f.Required("server"), Delay: f.Millis("x")}
		}
		return nil // a kind of hint that this version does not know
	},
	"echo": func(f *settings.Fields) any {
		return policy.ProbeResult{Server: f.Required("server"), Result: settings.OneOf(f, "state-code", results),
			Report: report(f)}
	},
	"timed_out_client": func(f *settings.Fields) any { return policy.ClientDisconnected{ID: f.Required("id")} },
	"reminder":         func(f *settings.Fields) any { return policy.TimerFired{Token: f.Required("token")} },
}

// request decodes the fields of a request.
func request(f *settings.Fields) policy.Request {
	return policy.Request{
		ID:      f.Required("id"),
		Key:     f.Text("name-key"),
		Group:   f.Text("room"),
		Class:   f.Required("category"),
		Tenant:  f.Text("tenant"),
		Timeout: f.Millis("patience-left-ms"),
		MidFlow: f.Flag("mid-flow"),
	}
}

// report decodes a load report; columns that the policy does not use are ignored.
func report(f *settings.Fields) *policy.LoadReport {
	text := f.Text("load")
	if text == "" || text == "-" || text == settings.Null {
		return nil
	}
	r := &policy.LoadReport{Load: -1, Utilization: -1, InFlight: -1, BacklogSeconds: -1}
	for _, pair := range strings.Split(text, ",") {
		name, value, ok := strings.Cut(pair, ":")
		if value == settings.Null {
			continue
		}
		x, err := settings.ParseNumber(value)
		if !ok || err != nil {
			f.Fail("load: %q is not name:number", pair)
			return nil
		}
		switch name {
		case "x0":
			r.Load = x
		case "x1":
			r.BacklogSeconds = x
		case "busy":
			r.Utilization = x
		case "rif":
			r.InFlight = x
		}
	}
	return r
}
