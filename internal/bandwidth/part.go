package bandwidth

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"oatloft/internal/failpoint"
	"oatloft/internal/revision"
)

// Part is one process's side of the exchange: it requests what the data path demands, passes on what was granted, and
// grants at the member that coordinates. It is safe for concurrent use and never blocks on another process.
type Part struct {
	settings    Settings
	measure     func() []Ask             // returns the demand since the last call; nil before Bind
	applyGrants func([]Grant, time.Time) // receives the grants and the time at which they expire
	reportError func(error)              // receives an *Undecodable
	mu          sync.Mutex
	allocator   *Allocator
	lastRequest uint64
	lastApplied uint64
	undecodable atomic.Int64
}

// NewPart returns a Part with these settings, or the error of their Check.
func NewPart(settings Settings) (*Part, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Part{settings: settings, allocator: NewAllocator(settings)}, nil
}

// Settings returns the settings that the Part was created with.
func (p *Part) Settings() Settings { return p.settings }

// Safe returns the bytes per second of a link that this process may use without a grant.
func (p *Part) Safe(linkRate float64) float64 { return p.settings.safeRate(linkRate) }

// Bind connects the data path: measure is called for each request, applyGrants with each response, and reportError with
// messages that cannot be decoded. They are called one at a time on the goroutine that calls Demand, Granted or Grant,
// and must not call back.
func (p *Part) Bind(measure func() []Ask, applyGrants func([]Grant, time.Time), reportError func(error)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.measure, p.applyGrants, p.reportError = measure, applyGrants, reportError
}

// SetTable applies the links of the revision in force, and the tenants' weights.
func (p *Part) SetTable(table []revision.Link, tenantWeights map[string]float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocator.SetTable(table, tenantWeights)
}

// Undecodable is a message between balancers that cannot be decoded.
type Undecodable struct {
	From  string // the sender; "" for the member that coordinates
	Cause error
}

// Error returns the sender and the cause.
func (e *Undecodable) Error() string {
	from := e.From
	if from == "" {
		from = "the coordinator"
	}
	return fmt.Sprintf("links: cannot decode a message from %s: %v", from, e.Cause)
}

// Unwrap returns the cause.
func (e *Undecodable) Unwrap() error { return e.Cause }

// Hint returns what an operator can do about it.
func (e *Undecodable) Hint() string {
	return "check whether it runs another version; its links use their safe parts until its messages can be decoded"
}

// Demand returns the next request, encoded.
func (p *Part) Demand() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRequest++
	request := Request{Number: p.lastRequest, Applied: p.lastApplied}
	if p.measure != nil {
		request.Links = p.measure()
	}
	return request.encode()
}

// Granted applies a response to the request made at requestedAt, by this process's clock. It ignores a response that is
// no newer than the last one applied, or that answers no request made so far.
func (p *Part) Granted(body []byte, requestedAt time.Time) {
	if len(body) == 0 {
		return
	}
	var response Response
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.decode("", body, &response) {
		return
	}
	if response.Number <= p.lastApplied && !failpoint.On("links-late-answer") || response.Number > p.lastRequest {
		return
	}
	p.lastApplied = response.Number
	if p.applyGrants != nil {
		p.applyGrants(response.Links, requestedAt.Add(p.settings.Lease))
	}
}

// Grant answers another process's request at the member that coordinates. now is when the request arrived, before the
// check that this member still coordinates. If again is above 0, the process should ask again after that time, since
// part of a link is changing hands.
func (p *Part) Grant(holder string, body []byte, now time.Duration) (answer []byte, again time.Duration) {
	var request Request
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.decode(holder, body, &request) {
		return nil, 0
	}
	response, again := p.allocator.Allocate(holder, request, now)
	return response.encode(), again
}

func (p *Part) decode(from string, body []byte, into interface{ decode([]byte) error }) bool {
	err := into.decode(body)
	if err == nil {
		return true
	}
	p.undecodable.Add(1)
	if p.reportError != nil {
		p.reportError(&Undecodable{from, err})
	}
	return false
}

// Elected notifies the Part that this member coordinates from now on.
func (p *Part) Elected(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocator.Elected(now)
}

// HolderLeft notifies the Part that a process has left or is considered expired.
func (p *Part) HolderLeft(holder string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocator.HolderLeft(holder)
}

// Unread returns the number of messages that could not be decoded.
func (p *Part) Unread() int64 { return p.undecodable.Load() }
