// Package rules checks what a balancer did against the rules that it is held to, from what was seen at its
// terminals, its regions and discovery. It owns the rules' wording and their limits; it must never look into the
// program that it judges, and never take part in a run.
//
//   - One final answer for every transaction that was picked up, never two, and none that no region gave.
//   - Never two routed tasks of one transaction out at once.
//   - Nothing new to a region later than Grace after discovery told that it drains or is gone.
//   - No cold region is pushed over, whoever sent how much.
//   - Bytes pass unchanged: what a terminal gets back is what it sent, in order, once.
package rules

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"
)

// Kind says what was seen.
type Kind uint8

// The kinds. ID names the transaction, Region the region, Text what else there is.
const (
	Asked       Kind = iota // a terminal's first line has left, its last byte included
	Answered                // a terminal got its answer: Text is the line
	Unanswered              // the balancer ended a terminal's connection without an answer
	Left                    // a terminal went by itself, or quit waiting
	Routed                  // a first line came to a region
	Receipt                 // a region answered UP; Text is the receipt
	RoutedEnded             // a region saw the end of the connection, or ended it
	Told                    // discovery told the balancer of a region's state: Text is ready, draining or gone
	Sent                    // a terminal sent a numbered line: Text
	Returned                // a line came back to it: Text
	Lost                    // a terminal's standing connection was cut without MOVE while its region lived
	PushedOver              // a cold region was sent more than it bears, for as long as it takes to fall over
	Started                 // a balancer's process began: what an earlier one was told, nobody has told this one
)

func (k Kind) String() string {
	return [...]string{"asked", "answered", "unanswered", "left", "routed", "receipt", "routed task ended", "told", "sent",
		"returned", "lost", "pushed over", "started"}[k]
}

// Event is one thing seen, at a time that all observers share.
type Event struct {
	At               time.Duration
	Kind             Kind
	ID, Region, Text string
	By               string // the balancer, where several are judged: what one was told binds that one only
}

func (e Event) String() string {
	return strings.TrimSpace(
		fmt.Sprintf("%10.3f ms  %-18v %s %s %s %s", float64(e.At)/1e6, e.Kind, e.ID, e.Region, e.Text, e.By),
	)
}

// Violation is one broken rule: the event that broke it, and what had happened to the same transaction or region.
type Violation struct {
	Rule    string
	Event   Event
	History []Event
	Over    time.Duration // by which a bound of time was missed; 0 where it is no matter of time
}

func (v Violation) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n", v.Rule)
	for _, e := range v.History {
		fmt.Fprintf(&b, "    %v\n", e)
	}
	fmt.Fprintf(&b, " => %v\n", v.Event)
	return b.String()
}

// Limits are the rules' figures.
type Limits struct {
	Grace time.Duration // after a region was told draining or gone
	Slack time.Duration // by which observers on sockets may be late
}

// Checker follows a run. It is safe for concurrent use; events that come out of order by less than Slack do no harm.
type Checker struct {
	limits  Limits
	mu      sync.Mutex
	list    []Violation
	byID    map[string]*transaction
	told    map[[2]string]Event // the latest state of a region that takes nothing new, by balancer and region
	counts  map[Kind]int
	history map[string][]Event // of regions
}

type transaction struct {
	history  []Event
	asked    bool
	left     bool
	answers  int
	out      map[string]Event // routed tasks by region, from when
	receipts map[string]bool
	sent     []string
	returned int
}

const (
	keptEvents = 64 // of a transaction's history
	keptFaults = 100
)

// New returns a checker.
func New(l Limits) *Checker {
	return &Checker{
		limits:  l,
		byID:    map[string]*transaction{},
		told:    map[[2]string]Event{},
		counts:  map[Kind]int{},
		history: map[string][]Event{},
	}
}

// Add takes one event.
func (c *Checker) Add(e Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[e.Kind]++
	if e.Kind == Told {
		c.history[e.Region] = append(c.history[e.Region], e)
		if _, was := c.told[[2]string{e.By, e.Region}]; e.Text == "ready" {
			delete(c.told, [2]string{e.By, e.Region})
		} else if !was {
			c.told[[2]string{e.By, e.Region}] = e
		}
		return
	}
	if e.Kind == Started {
		for of := range c.told {
			if of[0] == e.By {
				delete(c.told, of)
			}
		}
		return
	}
	t := c.byID[e.ID]
	if t == nil {
		t = &transaction{out: map[string]Event{}, receipts: map[string]bool{}}
		c.byID[e.ID] = t
	}
	c.check(t, e)
	if len(t.history) < keptEvents {
		t.history = append(t.history, e)
	}
}

func (c *Checker) check(t *transaction, e Event) {
	switch e.Kind {
	case Asked:
		t.asked = true
	case Answered:
		if t.answers++; t.answers > 1 {
			c.broken("two final answers", t, e)
		}
		if receipt, up := strings.CutPrefix(e.Text, "UP "); up && !t.receipts[receipt] {
			c.broken("an answer that no region gave", t, e)
		}
	case Unanswered:
		if t.asked && t.answers == 0 {
			c.broken("no final answer", t, e)
		}
		t.left = true
	case Left:
		t.left = true
	case Receipt:
		t.receipts[e.Text] = true
	case Routed:
		if told, ok := c.told[[2]string{e.By, e.Region}]; ok && e.At-told.At > c.limits.Grace+c.limits.Slack {
			c.broken(
				fmt.Sprintf("something new %v after the region was told %s", (e.At-told.At).Round(time.Millisecond), told.Text),
				t,
				e,
				told,
			)
			c.over(e.At - told.At - c.limits.Grace - c.limits.Slack)
		}
		if _, again := t.out[e.Region]; again {
			c.broken("a second routed task out at once", t, e)
		}
		t.out[e.Region] = e
	case RoutedEnded:
		began, ok := t.out[e.Region]
		delete(t.out, e.Region)
		if !ok {
			return
		}
		for _, other := range t.out {
			if other.At > began.At && e.At-other.At > c.limits.Slack {
				c.broken("a second routed task out at once", t, e)
				c.over(e.At - other.At - c.limits.Slack)
			}
		}
	case Sent:
		t.sent = append(t.sent, e.Text)
	case Returned:
		switch {
		case t.returned >= len(t.sent):
			c.broken("a line that was never sent", t, e)
		case t.sent[t.returned] != e.Text:
			c.broken(fmt.Sprintf("a line lost, repeated or changed: %q was to come", t.sent[t.returned]), t, e)
		}
		t.returned++
	case PushedOver:
		c.broken("a cold region pushed over", t, e)
	case Lost:
		c.broken("a standing connection cut without MOVE", t, e)
	}
}

func (c *Checker) broken(rule string, t *transaction, e Event, more ...Event) {
	if len(c.list) >= keptFaults {
		return
	}
	history := append(slices.Clone(more), t.history...)
	slices.SortStableFunc(history, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	c.list = append(c.list, Violation{Rule: rule, Event: e, History: history})
}

// over notes by how much the violation that was just found missed its time.
func (c *Checker) over(d time.Duration) { c.list[len(c.list)-1].Over = d }

// End closes the run at a time: what is owed then was never given. It returns all violations, the first first.
func (c *Checker) End(at time.Duration) []Violation {
	c.mu.Lock()
	defer c.mu.Unlock()
	ids := make([]string, 0, len(c.byID))
	for id := range c.byID {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		t := c.byID[id]
		if t.asked && !t.left && t.answers == 0 {
			c.broken("no final answer", t, Event{At: at, Kind: Unanswered, ID: id})
			t.left = true
		}
		if len(t.out) > 1 {
			c.broken("a second routed task out at once", t, Event{At: at, Kind: RoutedEnded, ID: id})
			t.out = nil
		}
	}
	slices.SortStableFunc(c.list, func(a, b Violation) int { return cmp.Compare(a.Event.At, b.Event.At) })
	return c.list
}

// Count is how many events of a kind came: a check that saw none proves nothing.
func (c *Checker) Count(k Kind) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[k]
}
