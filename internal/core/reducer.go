// The reducer's steps. This file owns the states of transactions, routed tasks and regions, and must
// never leave a transaction with more than one final answer or more than one routed task out.

package core

import (
	"cmp"
	"slices"
	"time"

	"oatloft/policy"
)

type state uint8

const (
	waiting state = iota // no routed task is out
	dialing              // its connection is coming up
	sending              // the first line is on its way
	asked                // the line has left; the region may have run it
	open                 // up: bytes pass both ways
)

// transaction is a terminal's request, from its first line to the end of its connection.
type transaction struct {
	policy.Request
	from     Handle
	at       string // the region that held it before the run
	state    state
	attempt  int // number of the latest routed task; -1 before the first
	region   string
	sentAt   time.Duration
	deadline time.Duration
	until    time.Duration // the routed task is given up then
	lineAt   time.Duration // when the routed task's line began to leave ...
	ranAt    time.Duration // ... and that of the first that may have run; 0 if there is none
	askedAt  time.Duration // open: when the oldest line without a reply passed; 0 if none
	heardAt  time.Duration // open: when the region returned its last line
	ended    time.Duration // when the terminal closed its sending, or heard something since; 0 if it has not
}

// region is a listed server, with what this balancer has learnt of its message delay. Its state is what the module is
// told: draining also where discovery says ready, but operators leave it out.
type region struct {
	Endpoint
	listed   policy.ServerState // by discovery
	toldLong bool
	toldAt   time.Duration
	answered time.Duration // when the latest line passed that has come back
	heardAt  time.Duration // when it returned the latest line on an open task ...
	probedAt time.Duration // ... and when it was probed last
}

type arrival struct {
	from Handle
	at   time.Duration
}

// Counters count what the balancer has done since its start. Operators read them by the keys of their JSON form.
type Counters struct {
	Requests          int64 `json:"Taken"`          // requests received
	Established             int64 `json:"Up"`             // requests whose connection was established
	Rejected          int64 `json:"Short"`          // requests rejected for lack of capacity
	Failed         int64 `json:"Failed"`         // requests answered as failed
	ClientsGone int64 `json:"GoneUnanswered"` // requests whose client left before its answer
	Migrated          int64 `json:"Moved"`          // connections migrated
	MigratedOffSilent         int64 `json:"Silent"`         // of these, off servers that returned nothing
	Attempts          int64 `json:"Tasks"`          // attempts begun
	AttemptsAccepted        int64 `json:"TasksUp"`        // attempts accepted by their server
	AttemptsUnreachable    int64 `json:"Unreachable"`    // attempts that never ran
	AttemptsReset          int64 `json:"Reset"`          // attempts whose connection broke
	AttemptsRejected     int64 `json:"TurnedAway"`     // attempts rejected by their server
	AttemptsFailed          int64 `json:"Erred"`          // attempts that failed at their server
	AttemptsTimedOut       int64 `json:"TimedOut"`       // attempts that timed out
	AttemptsNotSent        int64 `json:"NotSent"`        // attempts given up before their request was sent
	Probes         int64 `json:"Probes"`         // probes sent
	ProbesFailed   int64 `json:"ProbesFailed"`   // probes without a load report
	Lists          int64 `json:"Lists"`          // endpoint lists received
	Watches        int64 `json:"Watches"`        // watches begun
	WatchesBroken  int64 `json:"WatchesBroken"`  // watches that ended or fell silent
	LoadsReported          int64 `json:"Loads"`          // loads that connections told
	DelaysReported         int64 `json:"Delays"`         // message delays that were worth telling
	ClosedByServer  int64 `json:"EndedByRegion"`  // established connections closed by their server
	ClosedByClient  int64 `json:"EndedTerminal"`  // established connections closed by their client
	Adopted        int64 `json:"Adopted"`        // connections established before this process started
	MidFlow        int64 `json:"MidFlow"`        // connections whose packets came here in mid-flow
	InvalidRequests     int64 `json:"Unreadable"`     // requests of an unknown class, or with an id that is in use
	IdleTimedOut    int64 `json:"SaidNothing"`    // clients closed since they sent no request in time
	IdleClosed        int64 `json:"SentOff"`        // clients without a request closed for lack of descriptors
	FlowsTakenOver         int64 `json:"Handed"`         // flows taken over from the predecessor
	MigratedForDrain        int64 `json:"Cleared"`        // connections migrated for maintenance or a drain
	EstablishedLate           int64 `json:"Late"`           // connections established after their latency objective
}

// Reducer holds the state of one balancer. It is not safe for concurrent use.
type Reducer struct {
	Counters Counters

	cfg        Config
	module     *policy.Balancer
	delayAim   time.Duration // message delays from here on are told to the module
	now        time.Duration
	out        []Effect
	actions    []policy.Action
	queue      []policy.Event // for the module, in order
	running    bool
	wheel      wheel
	open       map[Handle]*transaction
	byID       map[string]*transaction
	quiet      map[Handle]struct{} // terminals whose first line has not come ...
	arrivals   []arrival           // ... in the order in which they came, with some that have spoken since
	classes    map[string]policy.Class
	regions    map[string]*region
	listed     bool
	maint      map[string]bool // regions that operators leave out
	returning  map[string]bool // taken back, and not listed since
	known      known
	standby    bool
	clearing   bool                 // the timer for it is set
	clears     map[string]clearance // of a region, or with "" of all
	permit     policy.LeaseState
	stood      map[string]string // region by flow's key, as the process before has left it ...
	stoodTill  time.Duration     // ... until then
	seq        int64
	watching   bool          // a call to discovery is under way or answered
	watchUp    bool          // it is answered: a whole list or line has come by it
	watchHeard time.Duration // when the latest whole list or line came, or the call began ...
	watchPiece time.Duration // ... and the latest bytes of one that isn't whole yet
	watchFrom  int64         // the version that the call named: it answers with what came after it
	watchCalls int
	owed       int // transactions without their final answer
	shutdown   shutdown
}

// New returns a reducer, or an error that names the setting that cannot work.
func New(cfg Config) (*Reducer, error) {
	module, err := policy.New(cfg.Policy, cfg.Seed)
	if err != nil {
		return nil, err
	}
	r := &Reducer{module: module, open: map[Handle]*transaction{}, quiet: map[Handle]struct{}{},
		byID: map[string]*transaction{}, regions: map[string]*region{},
		maint: map[string]bool{}, returning: map[string]bool{}, clears: map[string]clearance{}}
	r.configure(cfg)
	return r, nil
}

func (r *Reducer) configure(cfg Config) {
	r.cfg, r.delayAim, r.classes = cfg, 0, map[string]policy.Class{}
	for _, k := range cfg.Policy.Classes {
		r.classes[k.Name] = k
		if aim := k.MessageLatencyObjective / 3; aim > 0 && (r.delayAim == 0 || aim < r.delayAim) {
			r.delayAim = aim
		}
	}
}

// Unanswered is the number of transactions without their final answer, Open that of all.
func (r *Reducer) Unanswered() int { return r.owed }

// OpenRequests is the number of transactions that are not over.
func (r *Reducer) OpenRequests() int { return len(r.open) }

// HasEndpoints tells that a list of regions has come, be it an old one.
func (r *Reducer) HasEndpoints() bool { return r.listed }

// Step takes one event and appends the effects it calls for.
func (r *Reducer) Step(now time.Duration, ev Event, out []Effect) []Effect {
	first := r.now == 0
	if first {
		r.wheel.at = int64(now / TickInterval)
		r.wheel.set(now+sweepEvery, timer{kind: sweepTimer})
	}
	r.now, r.out = max(r.now, now), out
	if first { // the module begins with the balancer: its first call for the list must not wait for a terminal
		r.feed(policy.PredecessorFlow{})
	}
	switch ev := ev.(type) {
	case ConnectionAccepted:
		r.quiet[ev.Client] = struct{}{}
		r.arrivals = append(r.arrivals, arrival{ev.Client, r.now})
	case DescriptorsShort:
		r.Counters.IdleClosed += r.sendOff(ev.Missing, youngest, true)
	case CloseIdle:
		if _, ok := r.quiet[ev.Client]; ok {
			delete(r.quiet, ev.Client)
			r.Counters.IdleClosed++
			r.do(Answer{Client: ev.Client, Rejected: true, RetryAfter: ev.RetryAfter})
		}
	case RequestReceived:
		delete(r.quiet, ev.Client)
		r.opened(ev)
	case ClientClosed:
		delete(r.quiet, ev.Client)
		r.terminalEnded(ev)
	case InvalidRequest:
		delete(r.quiet, ev.Client)
		if t := r.open[ev.Client]; t != nil {
			r.abandon(t)
		} else {
			r.Counters.Requests++
		}
		r.Counters.Failed++
		r.do(Answer{Client: ev.Client})
	case AttemptConnected:
		r.connected(ev)
	case RequestSent:
		if t := r.task(ev.Client, ev.Attempt); t != nil && t.state == sending {
			t.state = asked
		}
	case AttemptAccepted:
		r.up(ev)
	case AttemptClosed:
		r.taskEnded(ev)
	case DataReceived:
		r.passed(ev)
	case ServerDataQueued:
		if t := r.open[ev.Client]; t != nil && t.state == open {
			if t.heardAt = r.now; t.askedAt > 0 {
				t.askedAt = r.now
			}
		}
	case BackpressureChanged:
		if t := r.open[ev.Client]; t != nil && t.state == open {
			r.do(PauseReading{Client: t.from, OfServer: !ev.ToServer, On: ev.Full})
		}
	case EndpointsListed:
		r.list(ev)
	case WatchDataReceived:
		r.watchPiece = r.now
	case WatchHeartbeat:
		r.watchAlive()
	case WatchClosed:
		r.watchEnded()
	case ProbeFinished:
		if ev.Result != policy.ResultOK {
			r.Counters.ProbesFailed++
		}
		g := r.regions[ev.Server]
		heard := g != nil && g.heardAt > g.probedAt
		r.feed(policy.ProbeResult{Server: ev.Server, Result: ev.Result, Report: ev.Report, ServerActive: heard})
	case FleetEvents:
		for _, told := range ev.Events {
			r.feed(told)
		}
	case LeaseChanged:
		r.permit = ev.Lease
		r.feed(ev.Lease)
	case OverlappingProcesses:
		if r.cfg.Policy.OverlappingProcesses != ev.Count { // what is shared with other balancers is shared once more
			r.cfg.Policy.OverlappingProcesses = ev.Count
			r.feed(policy.ConfigUpdate{Config: r.cfg.Policy})
		}
	case ConfigChanged:
		ev.Policy.OverlappingProcesses = r.cfg.Policy.OverlappingProcesses
		r.configure(ev.Config)
		r.feed(policy.ConfigUpdate{Config: ev.Policy})
		if ev.DiscoveryMoved {
			r.watch()
		}
	case ShutdownRequested:
		r.leave(ev)
	case MaintenanceSet:
		r.maintain(ev)
	case DrainSet:
		r.drain(ev.On)
	case PredecessorState:
		r.known.add(ev.Servers...)
		if len(ev.Flows) > 0 {
			r.stood, r.stoodTill = ev.Flows, r.now+stoodFor
		}
	case Tick:
		r.wheel.advance(r.now, r.due)
	}
	out = r.out
	r.out = nil
	return out
}

func (r *Reducer) do(e Effect) { r.out = append(r.out, e) }

// feed gives the module one event and carries out what it decides. Events that come of that wait for
// their turn: the module is never entered twice.
func (r *Reducer) feed(ev policy.Event) {
	r.queue = append(r.queue, ev)
	if r.running {
		return
	}
	r.running = true
	for len(r.queue) > 0 {
		next := r.queue[0]
		r.queue = r.queue[1:]
		r.actions = r.module.Step(r.now, next, r.actions[:0])
		for _, a := range r.actions {
			r.action(a)
		}
	}
	r.queue, r.running = r.queue[:0], false
}

func (r *Reducer) action(a policy.Action) {
	switch a := a.(type) {
	case policy.Send:
		if t := r.byID[a.ID]; t != nil {
			r.send(t, a)
		}
	case policy.Reject:
		if t := r.byID[a.ID]; t != nil && t.state != open {
			r.Counters.Rejected++
			r.answer(t, true, a.RetryAfter, a.Reason)
		}
	case policy.Fail:
		if t := r.byID[a.ID]; t != nil && t.state != open {
			r.Counters.Failed++
			r.answer(t, false, 0, a.Reason)
		}
	case policy.Migrate:
		if t := r.byID[a.ID]; t != nil && t.state == open {
			r.sendAway(t, a.Reason)
		}
	case policy.Probe:
		r.Counters.Probes++
		if g := r.regions[a.Server]; g != nil {
			g.probedAt = r.now
			r.do(Probe{Server: a.Server, Address: g.Address, Timeout: r.cfg.ProbeTimeout})
		} else {
			r.feed(policy.ProbeResult{Server: a.Server, Result: policy.ResultUnreachable})
		}
	case policy.Subscribe:
		if !r.watching || r.watchUp { // else a call is under way, and its answer is the module's as well
			r.watch()
		}
	case policy.SetTimer:
		r.wheel.set(r.now+a.After, timer{kind: wakeTimer, token: a.Token})
	}
}

func (r *Reducer) opened(ev RequestReceived) {
	r.Counters.Requests++
	if _, known := r.classes[ev.Class]; !known || r.open[ev.Client] != nil || r.byID[ev.ID] != nil {
		r.Counters.InvalidRequests++
		r.Counters.Failed++
		r.do(Answer{Client: ev.Client})
		return
	}
	t := &transaction{Request: ev.Request, from: ev.Client, at: ev.EstablishedAt, attempt: -1}
	t.Timeout = max(0, t.Timeout-endEarly)
	t.Timeout = r.patience(t.Timeout)
	t.deadline = r.now + t.Timeout
	r.open[t.from], r.byID[t.ID] = t, t
	r.owed++
	r.wheel.set(t.deadline, timer{kind: deadlineTimer, of: t.from})
	if t.MidFlow {
		r.Counters.MidFlow++
	}
	if g, ok := r.stood[t.Key]; ok { // it left the process before, or comes in mid-flow: nothing is added where it stood
		delete(r.stood, t.Key)
		r.Counters.FlowsTakenOver++
		r.feed(policy.PredecessorFlow{Key: t.Key, Server: g})
	}
	if t.at != "" {
		r.goBack(t)
		return
	}
	r.feed(t.Request)
}

// goBack sends a connection to the region that held it before the run, once that region is known. This
// is no decision: the platform names the region.
func (r *Reducer) goBack(t *transaction) {
	if g := r.regions[t.at]; g != nil && t.state == waiting {
		r.dial(t, g, t.deadline)
	}
}

func (r *Reducer) notes(t *transaction, b Payload) {
	if b.HasLoad {
		r.Counters.LoadsReported++
		r.feed(policy.ConnectionLoad{ID: t.ID, Load: b.Load})
	}
}

// delay tells the module of a message's delay as the settings' note 2 does: once a second for a region
// while it is over a third of the tightest aim, and once more when it is back under.
func (r *Reducer) delay(t *transaction, took time.Duration) {
	g := r.regions[t.region]
	if g == nil || r.delayAim == 0 {
		return
	}
	long := took > r.delayAim
	if long && g.toldLong && r.now < g.toldAt+delayEvery || !long && !g.toldLong {
		return
	}
	g.toldLong, g.toldAt = long, r.now
	r.Counters.DelaysReported++
	r.feed(policy.MessageDelay{ID: t.ID, Server: g.ID, Delay: took})
}

// terminalEnded follows a terminal's end. One that only closed its sending still waits for its answer.
func (r *Reducer) terminalEnded(ev ClientClosed) {
	t := r.open[ev.Client]
	if t == nil {
		return
	}
	switch {
	case ev.Reason == CloseEOF && t.state == open:
		r.Counters.ClosedByClient++
		r.do(CloseServer{Client: t.from, Reason: CloseEOF})
		t.ended = r.now
	case ev.Reason == CloseEOF:
		t.ended = r.now
		if t.at == "" {
			r.feed(policy.ClientDisconnected{ID: t.ID, HalfClosed: true})
		}
	case t.state == open:
		r.Counters.ClosedByClient++
		r.do(CloseServer{Client: t.from, Reason: CloseReset})
		r.closed(t, policy.ResultCanceled)
	default:
		r.Counters.ClientsGone++
		r.abandon(t)
	}
}

// abandon ends a transaction that no longer wants its answer, or gets it from elsewhere.
func (r *Reducer) abandon(t *transaction) {
	if t.state == open {
		r.do(CloseServer{Client: t.from, Reason: CloseEOF})
		r.closed(t, policy.ResultCanceled)
		return
	}
	if t.state != waiting {
		r.do(CloseAttempt{Client: t.from, Attempt: t.attempt})
	}
	r.owed--
	r.over(t, policy.ClientDisconnected{ID: t.ID})
}

// answer gives the final answer; the module has closed the transaction.
func (r *Reducer) answer(t *transaction, short bool, after time.Duration, why string) {
	if t.state != waiting {
		r.do(CloseAttempt{Client: t.from, Attempt: t.attempt})
	}
	r.owed--
	r.do(Answer{Client: t.from, Rejected: short, RetryAfter: after, Reason: why})
	r.over(t, nil)
}

// closed forgets a transaction that was open.
func (r *Reducer) closed(t *transaction, how policy.Result) {
	r.over(t, policy.AttemptEnded{ID: t.ID, Attempt: t.attempt, Server: t.region, Result: how, Final: true})
}

// inOrder lists the transactions by their handles: the same events must lead to the same effects.
func (r *Reducer) inOrder() []*transaction {
	list := make([]*transaction, 0, len(r.open))
	for _, t := range r.open {
		list = append(list, t)
	}
	slices.SortFunc(list, func(a, b *transaction) int { return cmp.Compare(a.from, b.from) })
	return list
}

// over forgets a transaction and tells the module why, if it does not know.
func (r *Reducer) over(t *transaction, ev policy.Event) {
	delete(r.open, t.from)
	delete(r.byID, t.ID)
	if ev != nil && (t.at == "" || t.state == open) {
		r.feed(ev)
	}
}

func (r *Reducer) sendAway(t *transaction, why string) {
	r.Counters.Migrated++
	r.do(MigrateClient{Client: t.from, Reason: why})
	r.closed(t, policy.ResultCanceled)
}

// due fires one timer.
func (r *Reducer) due(t timer) {
	switch t.kind {
	case wakeTimer:
		r.feed(policy.TimerFired{Token: t.token})
	case connectTimer:
		if x := r.task(t.of, t.attempt); x != nil && x.state == dialing {
			r.giveUp(x, policy.ResultUnreachable, "connect")
		}
	case untilTimer:
		if x := r.task(t.of, t.attempt); x != nil && x.state != open {
			r.giveUp(x, r.lateResult(x), "until")
		}
	case deadlineTimer:
		r.deadline(r.open[t.of])
	case sweepTimer:
		r.wheel.set(r.now+sweepEvery, timer{kind: sweepTimer})
		r.sweep()
	case watchTimer:
		if t.attempt == r.watchCalls {
			r.checkWatch()
		}
	case clearTimer:
		r.clear()
	case leaveTimer:
		r.leaveNow()
	}
}

// sendOff answers the terminals that have waited longest without a word, most of them at a time and none
// younger than least. Nothing else bounds that wait, and each holds a descriptor that another needs.
func (r *Reducer) sendOff(most int, least time.Duration, short bool) (n int64) {
	for len(r.arrivals) > 0 && int(n) < most && r.now-r.arrivals[0].at >= least {
		from := r.arrivals[0].from
		r.arrivals = r.arrivals[1:]
		if _, ok := r.quiet[from]; ok {
			delete(r.quiet, from)
			r.do(Answer{Client: from, Rejected: short})
			n++
		}
	}
	return n
}

// sweep ends what has gone silent: a region's machine that vanished keeps its connections open and says
// nothing, and so does discovery's.
func (r *Reducer) sweep() {
	r.Counters.IdleTimedOut += r.sendOff(len(r.arrivals), firstLineIn, false)
	for _, t := range r.inOrder() {
		if t.state == open && t.ended > 0 && r.now-t.ended > silentAfter {
			r.do(CloseClient{Client: t.from, Reason: CloseEOF})
			r.abandon(t)
			continue
		}
		if t.state != open || t.askedAt == 0 {
			continue
		}
		if waits := r.now - t.askedAt; waits > unanswered && r.now-t.heardAt > silentAfter {
			r.Counters.MigratedOffSilent++
			r.sendAway(t, "unanswered")
		} else if g := r.regions[t.region]; waits > r.delayAim && g != nil && g.answered <= t.askedAt {
			r.delay(t, waits) // nobody who asked the region later was answered: it is not this connection alone
		}
	}
	if r.now > r.stoodTill {
		r.stood = nil
	}
	r.checkWatch()
}
