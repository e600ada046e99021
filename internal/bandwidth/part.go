package bandwidth

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"oatloft/internal/failpoint"
	"oatloft/internal/revision"
)

// Part is one process's side towards the others: it asks by what the data path measures, keeps what was lent, and lends where this member
// coordinates. It is safe for concurrent use, and nothing in it waits for anybody.
type Part struct {
	set      Settings
	measure  func() []Ask             // what the data path saw since it was last asked; nil before SetMeasure
	lent     func([]Grant, time.Time) // told of what was lent, and until when
	complain func(error)              // told of an *Unreadable
	mu       sync.Mutex
	keeper   *Keeper
	number   uint64
	took     uint64
	unread   atomic.Int64
}

// NewPart is one for settings that Check has found to work.
func NewPart(set Settings) (*Part, error) {
	if err := set.Check(); err != nil {
		return nil, err
	}
	return &Part{set: set, keeper: NewKeeper(set)}, nil
}

// Settings are those it was made with.
func (p *Part) Settings() Settings { return p.set }

// Safe is this process's part of a link of so many bytes a second that it has without asking.
func (p *Part) Safe(bytes float64) float64 { return p.set.safe(bytes) }

// Bind ties the data path to it: measure is asked at each renewal, lent is told what came of it,
// and complain of messages that can't be read. All are called on the caller's goroutine
// of Demand and Granted, one at a time, and must not call back.
func (p *Part) Bind(measure func() []Ask, lent func([]Grant, time.Time), complain func(error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.measure, p.lent, p.complain = measure, lent, complain
}

// SetTable takes the links of the revision that is in force, and the tenants' shares.
func (p *Part) SetTable(table []revision.Link, shares map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keeper.SetTable(table, shares)
}

// Unreadable is a message between balancers that can't be read.
type Unreadable struct {
	From  string // who sent it; "" for the member that coordinates
	Cause error
}

// Error says whose it is and why.
func (e *Unreadable) Error() string {
	from := e.From
	if from == "" {
		from = "the coordinator"
	}
	return fmt.Sprintf("links: a message of %s can't be read: %v", from, e.Cause)
}

// Unwrap is the cause.
func (e *Unreadable) Unwrap() error { return e.Cause }

// Hint is what an operator can do about it.
func (e *Unreadable) Hint() string {
	return "see whether it runs another version; until it can be read its links fall back to their safe parts"
}

// Demand is what to ask with now.
func (p *Part) Demand() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	a := Asks{Number: p.number, Took: p.took}
	if p.measure != nil {
		a.Links = p.measure()
	}
	return a.wire()
}

// Granted takes an answer to what was asked at a time of this process's clock. Answers to earlier questions are passed over.
func (p *Part) Granted(body []byte, asked time.Time) {
	if len(body) == 0 {
		return
	}
	var g Grants
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.read("", body, &g) {
		return
	}
	if g.Number <= p.took && !failpoint.On("links-late-answer") || g.Number > p.number {
		return
	}
	p.took = g.Number
	if p.lent != nil {
		p.lent(g.Links, asked.Add(p.set.Lease))
	}
}

// Grant answers another process's question, at the member that coordinates: now is when the question came, before it was made sure that this
// member still does. Where again is above 0 the asker should do so after that, since a part of a link changes hands.
func (p *Part) Grant(holder string, body []byte, now time.Duration) (answer []byte, again time.Duration) {
	var a Asks
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.read(holder, body, &a) {
		return nil, 0
	}
	g, again := p.keeper.Ask(holder, a, now)
	return g.wire(), again
}

func (p *Part) read(from string, body []byte, into interface{ read([]byte) error }) bool {
	err := into.read(body)
	if err == nil {
		return true
	}
	p.unread.Add(1)
	if p.complain != nil {
		p.complain(&Unreadable{from, err})
	}
	return false
}

// Elected tells that this member coordinates from now on.
func (p *Part) Elected(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keeper.Elected(now)
}

// HolderLeft tells that a process has left, or is held to have lapsed.
func (p *Part) HolderLeft(holder string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.keeper.Left(holder)
}

// Unread is how many messages couldn't be read.
func (p *Part) Unread() int64 { return p.unread.Load() }
