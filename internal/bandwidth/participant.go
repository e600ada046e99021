package bandwidth

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"oatloft/internal/failpoint"
	"oatloft/internal/revision"
)

// Participant is one process's side of the exchange: it requests what the data path demands, passes on what was
// granted, and grants at the member that coordinates. It is safe for concurrent use and never blocks on another
// process.
type Participant struct {
	settings    Settings
	measure     func() []LinkRequest     // returns the demand since the last call; nil before Bind
	applyGrants func([]Grant, time.Time) // receives the grants and the time at which they expire
	reportError func(error)              // receives an *Undecodable
	mu          sync.Mutex
	allocator   *Allocator
	lastRequest uint64
	lastApplied uint64
	undecodable atomic.Int64
}

// NewParticipant returns a Participant with these settings, or the error of their Check.
func NewParticipant(settings Settings) (*Participant, error) {
	if err := settings.Check(); err != nil {
		return nil, err
	}
	return &Participant{settings: settings, allocator: NewAllocator(settings)}, nil
}

// Settings returns the settings that the Participant was created with.
func (p *Participant) Settings() Settings { return p.settings }

// SafeRate returns the bytes per second of a link that this process may use without a grant.
func (p *Participant) SafeRate(linkRate float64) float64 { return p.settings.safeRate(linkRate) }

// Bind connects the data path: measure is called for each request, applyGrants with each response, and reportError with
// messages that cannot be decoded. They are called one at a time on the goroutine that calls NextRequest, ApplyResponse
// or HandleRequest, and must not call back.
func (p *Participant) Bind(
	measure func() []LinkRequest, applyGrants func([]Grant, time.Time), reportError func(error),
) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.measure, p.applyGrants, p.reportError = measure, applyGrants, reportError
}

// SetTable applies the links of the revision in force, and the tenants' weights.
func (p *Participant) SetTable(table []revision.Link, tenantWeights map[string]float64) {
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

// NextRequest returns the next request, encoded.
func (p *Participant) NextRequest() []byte {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastRequest++
	request := Request{Number: p.lastRequest, Applied: p.lastApplied}
	if p.measure != nil {
		request.Links = p.measure()
	}
	return request.encode()
}

// ApplyResponse applies a response to the request made at requestedAt, by this process's clock. It ignores a response
// that is no newer than the last one applied, or that answers no request made so far.
func (p *Participant) ApplyResponse(body []byte, requestedAt time.Time) {
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

// HandleRequest answers another process's request at the member that coordinates. now is when the request arrived,
// before the check that this member still coordinates. If again is above 0, the process should ask again after that
// time, since part of a link is changing hands.
func (p *Participant) HandleRequest(
	holder string, body []byte, now time.Duration,
) (answer []byte, again time.Duration) {
	var request Request
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.decode(holder, body, &request) {
		return nil, 0
	}
	response, again := p.allocator.Allocate(holder, request, now)
	return response.encode(), again
}

func (p *Participant) decode(from string, body []byte, into interface{ decode([]byte) error }) bool {
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

// Elected notifies the Participant that this member coordinates from now on.
func (p *Participant) Elected(now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocator.Elected(now)
}

// HolderLeft notifies the Participant that a process has left or is considered expired.
func (p *Participant) HolderLeft(holder string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.allocator.HolderLeft(holder)
}

// UndecodableMessages returns the number of messages that could not be decoded.
func (p *Participant) UndecodableMessages() int64 { return p.undecodable.Load() }
