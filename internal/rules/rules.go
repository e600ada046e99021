// Package rules checks the behaviour of balancers against invariants, from events observed at clients, servers and
// discovery. It depends neither on the balancer's code nor on its state, and does not take part in a run.
//
//   - Every request that was sent gets exactly one final answer, and an UP carries a receipt that a server gave.
//   - A request never has two attempts in flight at once.
//   - A server gets no new request later than Grace after discovery reported it as draining or gone.
//   - A server that is warming up is not overloaded, whichever balancers send the requests.
//   - Bytes pass unchanged: a client gets back exactly what it sent, in order and once.
package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind is the kind of an observed event.
type Kind uint8

// The kinds of events. In an Event, ID is the request's, Server the server's, and Text holds further details.
const (
	RequestSent      Kind = iota // a client has sent the whole first line of a request
	Answered                     // a client received its answer: Text is the line
	Unanswered                   // the balancer closed a client's connection without an answer
	ClientClosed                 // a client closed its connection, or stopped waiting
	Routed                       // a server received the first line of a request
	Receipt                      // a server answered UP; Text is the receipt
	RoutedEnded                  // a server closed the connection of an attempt, or saw it closed
	StateReported                // discovery reported a server's state to a balancer: Text is ready, draining or gone
	LineSent                     // a client sent a numbered line: Text
	Returned                     // a client received a line: Text
	Lost                         // an established connection was closed without MOVE while its server was running
	ServerOverloaded             // a server that is warming up was overloaded for long enough to fail
	Started                      // a balancer's process started: states reported to an earlier process do not apply to it
)

// String returns the name of the kind in histories.
func (k Kind) String() string {
	return [...]string{"asked", "answered", "unanswered", "left", "routed", "receipt", "attempt ended", "told", "sent",
		"returned", "lost", "overloaded", "started"}[k]
}

// Event is one observation. All observers use the same clock.
type Event struct {
	At               time.Duration
	Kind             Kind
	ID, Server, Text string
	By               string // the balancer, if there are several: a state reported to one applies only to that one
}

// String returns the event as a line of a history.
func (e Event) String() string {
	return strings.TrimSpace(
		fmt.Sprintf("%10.3f ms  %-18v %s %s %s %s", float64(e.At)/1e6, e.Kind, e.ID, e.Server, e.Text, e.By),
	)
}

// Violation is a broken rule: the event that broke it, and the earlier events of the same request or server.
type Violation struct {
	Rule    string
	Event   Event
	History []Event
	Over    time.Duration // time by which a limit was exceeded; 0 for rules without a time limit
}

// String returns the rule, the earlier events and the event that broke the rule, a line each.
func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", v.Rule)
	for _, e := range v.History {
		fmt.Fprintf(&b, "    %v\n", e)
	}
	fmt.Fprintf(&b, " => %v\n", v.Event)
	return b.String()
}

// Limits are the time limits of the rules.
type Limits struct {
	Grace time.Duration // for new requests after a server was reported draining or gone
	Slack time.Duration // delay with which observers on sockets may see an event
}

// Checker checks the events of a run. It is safe for concurrent use and tolerates events that are out of order by less
// than Slack.
type Checker struct {
	limits        Limits
	mu            sync.Mutex
	violations    []Violation
	requests      map[string]*request
	notReady      map[[2]string]Event // report of a draining or gone server, by balancer and server
	counts        map[Kind]int
	serverHistory map[string][]Event // state reports, by server
}

type request struct {
	history       []Event
	sent          bool
	closed        bool
	answers       int
	attempts      map[string]Event // in flight, by server: the Routed event
	receipts      map[string]bool
	linesSent     []string
	linesReturned int
}

const (
	maxHistoryEvents = 64 // per request
	maxViolations    = 100
)

// New returns a checker with these limits.
func New(l Limits) *Checker {
	return &Checker{
		limits:        l,
		requests:      map[string]*request{},
		notReady:      map[[2]string]Event{},
		counts:        map[Kind]int{},
		serverHistory: map[string][]Event{},
	}
}

// Add checks one event.
func (c *Checker) Add(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[e.Kind]++
	if e.Kind == StateReported {
		c.serverHistory[e.Server] = append(c.serverHistory[e.Server], e)
		if _, listed := c.notReady[[2]string{e.By, e.Server}]; e.Text == "ready" {
			delete(c.notReady, [2]string{e.By, e.Server})
		} else if !listed {
			c.notReady[[2]string{e.By, e.Server}] = e
		}
		return
	}
	if e.Kind == Started {
		for key := range c.notReady {
			if key[0] == e.By {
				delete(c.notReady, key)
			}
		}
		return
	}
	r := c.requests[e.ID]
	if r == nil {
		r = &request{attempts: map[string]Event{}, receipts: map[string]bool{}}
		c.requests[e.ID] = r
	}
	c.check(r, e)
	if len(r.history) < maxHistoryEvents {
		r.history = append(r.history, e)
	}
}

func (c *Checker) check(r *request, e Event) {
	switch e.Kind {
	case RequestSent:
		r.sent = true
	case Answered:
		if r.answers++; r.answers > 1 {
			c.report("two final answers", r, e)
		}
		if receipt, up := strings.CutPrefix(e.Text, "UP "); up && !r.receipts[receipt] {
			c.report("an answer that no region gave", r, e)
		}
	case Unanswered:
		if r.sent && r.answers == 0 {
			c.report("no final answer", r, e)
		}
		r.closed = true
	case ClientClosed:
		r.closed = true
	case Receipt:
		r.receipts[e.Text] = true
	case Routed:
		if reported, ok := c.notReady[[2]string{e.By, e.Server}]; ok &&
			e.At-reported.At > c.limits.Grace+c.limits.Slack {
			c.report(
				fmt.Sprintf("something new %v after the region was told %s",
					(e.At-reported.At).Round(time.Millisecond), reported.Text),
				r,
				e,
				reported,
			)
			c.setExcess(e.At - reported.At - c.limits.Grace - c.limits.Slack)
		}
		if _, running := r.attempts[e.Server]; running {
			c.report("a second routed task out at once", r, e)
		}
		r.attempts[e.Server] = e
	case RoutedEnded:
		start, ok := r.attempts[e.Server]
		delete(r.attempts, e.Server)
		if !ok {
			return
		}
		for _, other := range r.attempts {
			if other.At > start.At && e.At-other.At > c.limits.Slack {
				c.report("a second routed task out at once", r, e)
				c.setExcess(e.At - other.At - c.limits.Slack)
			}
		}
	case LineSent:
		r.linesSent = append(r.linesSent, e.Text)
	case Returned:
		switch {
		case r.linesReturned >= len(r.linesSent):
			c.report("a line that was never sent", r, e)
		case r.linesSent[r.linesReturned] != e.Text:
			c.report(fmt.Sprintf("a line lost, repeated or changed: %q was to come", r.linesSent[r.linesReturned]), r, e)
		}
		r.linesReturned++
	case ServerOverloaded:
		c.report("a cold region pushed over", r, e)
	case Lost:
		c.report("a standing connection cut without MOVE", r, e)
	}
}

func (c *Checker) report(rule string, r *request, e Event, related ...Event) {
	if len(c.violations) >= maxViolations {
		return
	}
	history := append(slices.Clone(related), r.history...)
	slices.SortStableFunc(history, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	c.violations = append(c.violations, Violation{Rule: rule, Event: e, History: history})
}

// setExcess records by how much the latest violation exceeded its time limit.
func (c *Checker) setExcess(d time.Duration) { c.violations[len(c.violations)-1].Over = d }

// End closes the run at the given time: a request without an answer by then counts as unanswered. It returns all
// violations in the order of their times.
func (c *Checker) End(at time.Duration) []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.requests))
	for id := range c.requests {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		r := c.requests[id]
		if r.sent && !r.closed && r.answers == 0 {
			c.report("no final answer", r, Event{At: at, Kind: Unanswered, ID: id})
			r.closed = true
		}
		if len(r.attempts) > 1 {
			c.report("a second routed task out at once", r, Event{At: at, Kind: RoutedEnded, ID: id})
			r.attempts = nil
		}
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(a.Event.At, b.Event.At) })
	return c.violations
}

// Count returns the number of events of a kind. A check that observed none of them proves nothing.
func (c *Checker) Count(k Kind) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[k]
}
