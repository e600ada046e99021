package faultinjection

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"

	"oatloft/internal/management"
	"oatloft/internal/revision"
)

// This file plays the operators of a fault run: calls from a script, each made as an operator's tool makes it. Each
// request has its own key, is submitted again after a lost answer, at another balancer if one does not answer, and is
// followed until it is settled or has ended.

// Call is one operator's call in a schedule.
type Call struct {
	At    Span    `json:"at"`
	Kind  string  `json:"kind"`            // propose, rollback, replace
	To    int     `json:"to"`              // the balancer that is called, from 1
	Also  int     `json:"also,omitempty"`  // a balancer that gets the same request at the same time
	Only  int     `json:"only,omitempty"`  // propose: all servers are excluded except this one and the next
	Out   int     `json:"out,omitempty"`   // propose: the excluded server; replace: the voter
	Back  int     `json:"back,omitempty"`  // rollback: number of revisions before the one in force; replace: the new voter
	From  bool    `json:"from,omitempty"`  // only if the revision in force has not changed
	Lost  bool    `json:"lost,omitempty"`  // the operator does not wait for the first answer
	Again bool    `json:"again,omitempty"` // the same request is submitted again once its outcome is known
	Watch Span    `json:"watch,omitempty"` // how long the guard watches the change
	Bytes float64 `json:"bytes,omitempty"` // capacity of the links in the revision, bytes per second
}

// Result is the outcome of a request, as its operator knows it in the end.
type Result uint8

// The results of requests.
const (
	Unknown  Result = iota // it may be settled or not
	Settled                // it became a revision
	Refused                // another revision is in force
	Ended                  // it failed for a reason, and is in force nowhere
	Rejected               // it was never accepted: another one was pending, or it was invalid
	Observed               // a revision in the history that no operator requested
)

// String returns the name of the result.
func (r Result) String() string {
	return [...]string{"unknown", "settled", "refused", "ended", "untaken", "observed"}[r]
}

// Op is one request of an operator, under one key.
type Op struct {
	Key              string
	Kind             string
	From             int64  // -1 for whatever is in force
	Out              string // excluded servers, separated by commas
	Bytes            float64
	Called, Returned time.Duration
	Result           Result
	Settled          uint64            // the revision's number
	InForce          uint64            // if refused: the revision reported as in force
	Text             string            // the last answer
	Again            management.Answer // the answer when submitted again, without a text if it wasn't
}

// Ops returns the operators' requests so far.
func (r *Record) Ops() (list []Op) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, o := range r.ops {
		list = append(list, *o)
	}
	return list
}

const (
	callWait     = 1500 * time.Millisecond
	operatorWait = 12 * time.Second // an operator queries the outcome of its request for this long
)

// playCall plays one call, and returns its result.
func (w *Scenario) playCall(n int, c Call) Result {
	o := &Op{Key: fmt.Sprintf("op%d-%d", n, w.options.Net), Kind: c.Kind, From: -1, Called: w.Now(), Returned: unbounded}
	defer func() {
		w.record.mu.Lock()
		w.record.ops = append(w.record.ops, o)
		w.record.mu.Unlock()
	}()
	to := []int{c.To - 1}
	if c.Also > 0 {
		to = append(to, c.Also-1)
	}
	from := "-"
	inForce, known := w.inForce(to[0])
	if c.From {
		if !known {
			o.Result, o.Returned = Rejected, w.Now()
			return o.Result
		}
		o.From, from = int64(inForce), strconv.FormatUint(inForce, 10)
	}
	watch := "-"
	if c.Watch > 0 {
		watch = time.Duration(c.Watch).String()
	}
	line := ""
	switch c.Kind {
	case "replace":
		a, _ := callLine(w.managementAddr(to[0]), fmt.Sprintf("revision replace %s %s", w.name(c.Out-1), w.name(c.Back-1)),
			8*time.Second)
		o.Result, o.Returned, o.Text = Rejected, w.Now(), a.Text
		return o.Result
	case "rollback":
		if !known || inForce == 0 {
			o.Result, o.Returned = Rejected, w.Now()
			return o.Result
		}
		of := max(1, int64(inForce)-int64(c.Back))
		line = fmt.Sprintf("revision rollback %s %s %s - op%d %d", o.Key, from, watch, n, of)
		o.Kind = "rollback of " + strconv.FormatInt(of, 10)
	default:
		content := w.content(o.Key, c)
		body := revision.Encode(content)
		var out []string
		for _, r := range content.Servers {
			out = append(out, r.ID)
		}
		o.Out = strings.Join(out, ",")
		o.Bytes = c.Bytes
		line = fmt.Sprintf("revision propose %s %s %s - op%d %s", o.Key, from, watch, n, body)
	}
	w.submit(o, line, to, c.Lost)
	if c.Again && (o.Result == Settled || o.Result == Ended) {
		if a, err := callLine(w.managementAddr(to[0]), line, callWait); err == nil {
			o.Again = a
		}
	}
	return o.Result
}

// submit submits a line until a balancer accepts or answers it, then waits for the outcome.
func (w *Scenario) submit(o *Op, line string, to []int, lost bool) {
	end := w.Now() + operatorWait
	for _, i := range to[1:] {
		go func() { _, _ = callLine(w.managementAddr(i), line, callWait) }()
	}
	for n := 0; w.Now() < end; n++ {
		at := (to[0] + n) % w.Schedule.Balancers
		wait := callWait
		if lost && n == 0 {
			wait = time.Millisecond
		}
		a, err := callLine(w.managementAddr(at), line, wait)
		if o.Text = a.Text; err == nil {
			if o.recordAnswer(a); o.Result != Unknown {
				o.Returned = w.Now()
				return
			}
			if !a.OK && !isRetryable(a.Text) {
				o.Returned, o.Result = w.Now(), Rejected
				return
			}
		}
		if err == nil && a.OK && w.awaitOutcome(o, at, end) {
			return
		}
		if !pause(w.over, 50*time.Millisecond) {
			return
		}
	}
}

// awaitOutcome queries the outcome of an accepted request.
func (w *Scenario) awaitOutcome(o *Op, at int, end time.Duration) bool {
	for n := 0; w.Now() < end; n++ {
		if a, err := callLine(w.managementAddr((at+n/3)%w.Schedule.Balancers), "revision outcome "+o.Key,
			callWait); err == nil {
			if o.recordAnswer(a); o.Result != Unknown {
				o.Text, o.Returned = a.Text, w.Now()
				return true
			}
		}
		if !pause(w.over, 60*time.Millisecond) {
			return true
		}
	}
	return true
}

func (w *Scenario) managementAddr(i int) string { return w.launch(i).Management }

// callLine makes one call; err is set if no complete answer came.
func callLine(addr, line string, wait time.Duration) (management.Answer, error) {
	c, err := net.DialTimeout("tcp", addr, wait)
	if err != nil {
		return management.Answer{}, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c, line+"\r\n"); err != nil {
		return management.Answer{}, err
	}
	data, err := io.ReadAll(io.LimitReader(c, 256<<10))
	text, whole := strings.CutSuffix(string(data), "\r\n")
	if !whole {
		return management.Answer{}, &NoAnswer{addr, string(data), err}
	}
	sign, text, _ := strings.Cut(text, " ")
	return management.Answer{OK: sign == "+OK", Text: text}, nil
}

// GenerateCalls generates the operators' calls of a fault run: a change about every half second, at several balancers.
func GenerateCalls(seed uint64, s *Schedule, links bool) (list []Call) {
	rng := rand.New(rand.NewPCG(seed, 29))
	for at := 0.1 + 0.3*rng.Float64(); at < s.Seconds; at += 0.1 + 0.8*rng.Float64() {
		c := Call{At: Span(time.Duration(at * float64(time.Second)).Truncate(10 * time.Millisecond)), Kind: "propose",
			To:  1 + rng.IntN(s.Balancers),
			Out: 1 + rng.IntN(s.Servers), From: rng.IntN(2) == 0, Lost: rng.IntN(4) == 0, Again: rng.IntN(4) == 0}
		if rng.IntN(4) == 0 {
			c.Also = 1 + rng.IntN(s.Balancers)
		}
		if links {
			c.Bytes = linkBytes * (0.5 + rng.Float64())
		}
		switch rng.IntN(6) {
		case 0:
			c.Kind, c.Out, c.Back, c.Bytes = "rollback", 0, 1+rng.IntN(3), 0
		case 1:
			c.Watch = Span(500 * time.Millisecond)
		case 2:
			if s.Balancers > voters(s.Balancers) && rng.IntN(2) == 0 {
				c = Call{At: c.At, Kind: "replace", To: c.To, Out: c.To, Back: 1 + rng.IntN(s.Balancers)}
			}
		}
		list = append(list, c)
	}
	return list
}

// callKinds are the kinds of calls in a schedule.
var callKinds = []string{"propose", "rollback", "replace"}

// startCalls starts all calls of the schedule, each at its time.
func (w *Scenario) startCalls(began time.Duration, all *sync.WaitGroup) {
	for n, c := range w.Schedule.Calls {
		all.Add(1)
		go func() {
			defer all.Done()
			if pause(w.over, max(0, began+time.Duration(c.At)-w.Now())) {
				w.playCall(n+1, c)
			}
		}()
	}
}

// revisionsSettle returns the additional time to settle with revisions: a leader is elected, waits until the leases of
// its predecessor have expired, and a pending change ends by its deadline.
func (w *Scenario) revisionsSettle() time.Duration {
	if !w.options.Revisions {
		return 0
	}
	return 8 * w.options.Lease
}

func (w *Scenario) longestWatch() (d time.Duration) {
	for _, c := range w.Schedule.Calls {
		d = max(d, time.Duration(c.Watch))
	}
	return d
}
