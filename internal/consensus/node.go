package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oatloft/internal/hint"
)

const (
	methodRaft     = "agree.raft"
	methodStanding = "agree.standing"
	methodEnlist   = "agree.enlist"
	methodReturn   = "agree.return"
	methodMember   = "agree.member"

	askWithin  = 700 * time.Millisecond
	leadWithin = 5 * time.Second // a reader looks so often whether the leader leads still, where no call has told
)

// Node is one member. Its methods may be called from any goroutine.
type Node struct {
	cfg  Config
	m    Machine
	h    Handler
	log  *slog.Logger
	w    *wire
	ctx  context.Context
	stop context.CancelFunc
	all  sync.WaitGroup

	reached uint64 // see core; belongs to the engine's goroutine

	lead    atomic.Pointer[Lead]
	changed chan struct{}
	suspect chan struct{}

	eng      atomic.Pointer[engine]
	standing atomic.Pointer[standing] // nil before the folder is open
	enlists  chan enlist
	dropped  atomic.Int64
	listens  atomic.Bool  // calls of this name come to this process
	answered atomic.Int64 // when the leader last answered a call, Unix nanoseconds

	mu       sync.Mutex
	role     Role
	fault    error
	awaiting string
}

type enlist struct {
	founding uint64
	reply    chan error
}

// toldStanding is a standing and what goes with it in an answer.
type toldStanding struct {
	standing
	Lead string
	Term uint64
}

func start(cfg Config, m Machine, h Handler, log *slog.Logger) (*Node, error) {
	n := &Node{cfg: cfg, m: m, h: h, log: log, changed: make(chan struct{}, 1), suspect: make(chan struct{}, 1), enlists: make(chan enlist), role: Reader}
	n.lead.Store(&Lead{})
	n.w = newWire(&n.cfg, log)
	n.w.serve = n.serve
	n.ctx, n.stop = context.WithCancel(context.Background())
	if cfg.Listen != "" {
		st, err := openStore(cfg.Folder, cfg.Cluster, cfg.Name, cfg.fault)
		var unwritable *Unwritable
		if err != nil && !errors.Is(err, errLocked) && !errors.As(err, &unwritable) {
			n.stop()
			return nil, err
		}
		var listening <-chan struct{}
		if st != nil {
			listening, err = n.w.listen(n.ctx, cfg.Listen)
			if n.listens.Store(err == nil); err != nil && !errors.Is(err, syscall.EADDRINUSE) {
				n.stop()
				st.close()
				return nil, &Misconfigured{Field: "listen", Why: oneLine(err), Do: "name an address of this machine"}
			}
		}
		n.all.Add(1)
		go n.hold(st, listening)
	}
	n.all.Add(1)
	go n.watchLead()
	return n, nil
}

// Close ends everything; it waits until the folder is closed.
func (n *Node) Close() {
	n.stop()
	n.w.close()
	n.all.Wait()
}

// Lead is who leads, as far as is known here.
func (n *Node) Lead() Lead { return *n.lead.Load() }

// Changed is rung when Lead has changed since it was last taken from; it holds one ring.
func (n *Node) Changed() <-chan struct{} { return n.changed }

func (n *Node) setLead(l Lead) {
	if old := n.lead.Swap(&l); *old != l {
		select {
		case n.changed <- struct{}{}:
		default:
		}
	}
}

// where is how to call a member: from the list, or else as its seat says.
func (n *Node) where(name, seat string) string {
	if at := n.cfg.reach(name); at != "" {
		return at
	}
	return seat
}

// Propose settles entry, and returns once it is applied here. Errors: *NotLeader, *Overloaded and *TooLong (it is not
// settled), *Unknown (it may or may not be), *Closed.
func (n *Node) Propose(ctx context.Context, entry []byte) error {
	if len(entry) > maxEntry {
		return &TooLong{Bytes: len(entry), Most: maxEntry}
	}
	_, err := n.ask(ctx, func(e *engine, w waiter) { e.c.propose(entry, w) })
	if err != nil && ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return &Unknown{Cause: err}
	}
	return err
}

// Confirm tells that this member led after the call began, in that term, and that all that was settled until then is
// applied here. Calls at the same time share one round. Errors: *NotLeader, *Overloaded, *Closed, or ctx's.
func (n *Node) Confirm(ctx context.Context) (term uint64, err error) {
	return n.ask(ctx, func(e *engine, w waiter) { e.c.confirm(w) })
}

func (n *Node) ask(ctx context.Context, f func(*engine, waiter)) (uint64, error) {
	e := n.eng.Load()
	if e == nil || !n.Lead().Mine {
		if n.ctx.Err() != nil {
			return 0, &Closed{}
		}
		return 0, &NotLeader{Lead: n.Lead()}
	}
	w := make(waiter, 1)
	if !e.post(func() { f(e, w) }) {
		return 0, &Overloaded{What: "questions to the leader", Most: doQueue}
	}
	select {
	case o := <-w:
		var no *NotLeader
		var unknown *Unknown
		switch { // the error is shared by all who waited: who leads is told in one of its own
		case !errors.As(o.err, &no):
			return o.term, o.err
		case errors.As(o.err, &unknown):
			return o.term, &Unknown{Cause: &NotLeader{Lead: n.Lead()}}
		}
		return o.term, &NotLeader{Lead: n.Lead()}
	case <-ctx.Done():
		return 0, ctx.Err()
	case <-e.over:
	}
	select {
	case o := <-w:
		return o.term, o.err
	default:
		return 0, &Unknown{Cause: &Closed{}}
	}
}

// Call calls a candidate's Handler by its name; also this member's own, be it in this process or, while that one holds
// the vote, in an earlier one of the same name. Errors: *Stranger, *Overloaded, *Unreachable,
// *NotLeader, *Answered.
func (n *Node) Call(ctx context.Context, name, method string, body []byte) ([]byte, error) {
	if name == n.cfg.Name && !n.elsewhere() {
		return n.h(ctx, name, method, body)
	}
	l := n.Lead()
	at := n.cfg.reach(name)
	if at == "" && l.Leader == name {
		at = l.Addr
	}
	if at == "" {
		return nil, &Stranger{Name: name}
	}
	out, err := n.w.call(ctx, name, at, method, body)
	var far *Unreachable
	var no *NotLeader
	if err == nil && l.Leader == name {
		n.answered.Store(time.Now().UnixNano())
	}
	if l.Leader == name && (errors.As(err, &far) || errors.As(err, &no)) {
		select {
		case n.suspect <- struct{}{}:
		default:
		}
	}
	return out, err
}

// serve answers other members' calls.
func (n *Node) serve(ctx context.Context, from, method string, body []byte) ([]byte, error) {
	switch method {
	case methodRaft:
		founding, msgs, err := unpackBatch(body)
		if err != nil {
			return nil, err
		}
		e := n.eng.Load()
		if e == nil || e.state.Load().founding != founding {
			return nil, &Answered{Name: n.cfg.Name, Text: n.cfg.Name + " isn't a voter of that founding"}
		}
		select {
		case e.in <- batch{from: from, msgs: msgs}:
			return nil, nil
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-time.After(askWithin):
			return nil, &Overloaded{What: "messages between voters", Most: inQueue}
		}
	case methodStanding:
		t := toldStanding{standing: standing{Name: n.cfg.Name}}
		if s := n.standing.Load(); s != nil && len(body) > 0 {
			t.standing = *s
		}
		l := n.Lead()
		t.Lead, t.Term = l.Leader, l.Term
		return json.Marshal(t)
	case methodEnlist:
		var founding uint64
		if err := json.Unmarshal(body, &founding); err != nil || founding == 0 {
			return nil, &Answered{Name: n.cfg.Name, Text: "a call has an unknown form"}
		}
		x := enlist{founding: founding, reply: make(chan error, 1)}
		select {
		case n.enlists <- x:
		case <-ctx.Done():
			return nil, ctx.Err()
		case <-n.ctx.Done():
			return nil, &Closed{}
		case <-time.After(askWithin):
			if s := n.standing.Load(); s == nil || s.Founded.Number != founding {
				return nil, &Answered{Name: n.cfg.Name, Text: n.cfg.Name + " can hold no vote at present", Do: "see what its log says of revisions"}
			}
			return json.Marshal(n.standing.Load())
		}
		select {
		case err := <-x.reply:
			if err != nil {
				return nil, err
			}
			return json.Marshal(n.standing.Load())
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	case methodReturn:
		var s seat
		if err := json.Unmarshal(body, &s); err != nil || s.ID == 0 || s.Name != from {
			return nil, &Answered{Name: n.cfg.Name, Text: "a call has an unknown form"}
		}
		return n.takeBack(ctx, s)
	case methodMember:
		var id uint64
		if err := json.Unmarshal(body, &id); err != nil {
			return nil, &Answered{Name: n.cfg.Name, Text: "a call has an unknown form"}
		}
		if _, err := n.Confirm(ctx); err != nil {
			return nil, err
		}
		e := n.eng.Load()
		if e == nil {
			return nil, &NotLeader{Lead: n.Lead()}
		}
		has := make(chan memberAnswer, 1)
		if !e.post(func() {
			_, ok := e.c.seats[id]
			ordered := slices.ContainsFunc(e.c.orders, func(o timedOrder) bool { return o.Seat.ID == id })
			has <- memberAnswer{Has: ok || ordered, Founding: e.c.founding}
		}) {
			return nil, &Overloaded{What: "questions to the leader", Most: doQueue}
		}
		select {
		case a := <-has:
			return json.Marshal(a)
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return n.h(ctx, from, method, body)
}

type memberAnswer struct {
	Has      bool
	Founding uint64
}

// takeBack notes at the leader that a member has come back with a new folder. The answer is the founding that it belongs
// to, or 0 if no voter has its name.
func (n *Node) takeBack(ctx context.Context, s seat) ([]byte, error) {
	if _, err := n.Confirm(ctx); err != nil {
		return nil, err
	}
	e := n.eng.Load()
	if e == nil {
		return nil, &NotLeader{Lead: n.Lead()}
	}
	reply := make(chan uint64, 1)
	if !e.post(func() {
		for id, x := range e.c.seats {
			switch {
			case x.Name != s.Name || id == s.ID:
			case x.For != 0: // it had come back before, and not got its vote yet
				s.For = x.For
			case s.For == 0:
				s.For = id
			}
		}
		if s.For == 0 {
			reply <- 0
			return
		}
		e.c.order(seatOrder{Seat: s})
		reply <- e.c.founding
	}) {
		return nil, &Overloaded{What: "questions to the leader", Most: doQueue}
	}
	select {
	case f := <-reply:
		return json.Marshal(f)
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Replace gives new's vote the place of old's. It returns once that is settled. Only the leader can: *NotLeader otherwise.
// *Stranger, *NotReplaced, *Unreachable.
func (n *Node) Replace(ctx context.Context, old, new string) error {
	e := n.eng.Load()
	if _, err := n.Confirm(ctx); err != nil || e == nil {
		if err == nil {
			err = &NotLeader{Lead: n.Lead()}
		}
		return err
	}
	s := e.state.Load()
	from, ok := bySeat(s.seats, old)
	if !ok {
		if _, has := bySeat(s.seats, new); has {
			return nil // done before
		}
		return &NotReplaced{Old: old, New: new, Why: old + " holds none", Do: "choose one of the voters that the status lists"}
	}
	if _, has := bySeat(s.seats, new); has && new != old {
		return &NotReplaced{Old: old, New: new, Why: new + " has one already, or is about to", Do: "choose a member without a vote"}
	}
	c := n.cfg.candidate(new)
	if c == nil {
		return &Stranger{Name: new}
	}
	if new == old {
		return &NotReplaced{Old: old, New: new, Why: "they are the same", Do: "to have it come back as a new voter, stop it, empty its folder and start it"}
	}
	to, err := n.enlist(ctx, *c, s.founding)
	if err != nil {
		return err
	}
	to.For = from.ID
	if !e.post(func() { e.c.order(seatOrder{Seat: to, Force: true}) }) {
		return &Overloaded{What: "questions to the leader", Most: doQueue}
	}
	taken := false
	for {
		select {
		case <-ctx.Done():
			return &Unknown{Cause: ctx.Err()}
		case <-n.ctx.Done():
			return &Unknown{Cause: &Closed{}}
		case <-time.After(n.cfg.Tick):
		}
		now := e.state.Load()
		_, has := now.seats[to.ID]
		_, still := now.seats[from.ID]
		switch taken = taken || has; {
		case has && !still && len(now.conf.GetVotersOutgoing()) == 0:
			return nil
		case taken && !has, !taken && !still:
			return &NotReplaced{Old: old, New: new, Why: new + " couldn't keep up", Do: "see that " + new + " runs and can be reached from all voters, then try again"}
		case !n.Lead().Mine && still:
			return &Unknown{Cause: &NotLeader{Lead: n.Lead()}}
		}
	}
}

func bySeat(seats map[uint64]seat, name string) (seat, bool) {
	for _, s := range seats {
		if s.Name == name {
			return s, true
		}
	}
	return seat{}, false
}

// enlist asks a candidate to get ready for a vote, and for its number.
func (n *Node) enlist(ctx context.Context, c Candidate, founding uint64) (seat, error) {
	within, cancel := context.WithTimeout(ctx, 3*askWithin)
	defer cancel()
	body, _ := json.Marshal(founding)
	out, err := n.w.call(within, c.Name, n.where(c.Name, c.Addr), methodEnlist, body)
	if err != nil {
		return seat{}, err
	}
	var s standing
	if err := json.Unmarshal(out, &s); err != nil || s.ID == 0 || s.Founded.Number != founding {
		return seat{}, &Answered{Name: c.Name, Method: methodEnlist, Text: c.Name + " belongs to another founding", Do: "empty its folder and restart it"}
	}
	return seat{ID: s.ID, Name: c.Name, Zone: c.Zone, Addr: c.Addr}, nil
}

// look finds a candidate without a seat that could stand in for one; the zone of the one it stands in for first.
func (n *Node) look(ctx context.Context, e *engine, seats []seat, instead uint64) {
	defer e.asking.Store(false)
	zone := ""
	for _, s := range seats {
		if s.ID == instead {
			zone = s.Zone
		}
	}
	list := Draw(n.cfg.Candidates, len(n.cfg.Candidates))
	slices.SortStableFunc(list, func(a, b Candidate) int {
		switch {
		case a.Zone == zone && b.Zone != zone:
			return -1
		case a.Zone != zone && b.Zone == zone:
			return 1
		}
		return 0
	})
	for _, c := range list {
		if slices.ContainsFunc(seats, func(s seat) bool { return s.Name == c.Name }) {
			continue
		}
		s, err := n.enlist(ctx, c, e.state.Load().founding)
		if err != nil {
			n.log.Debug("no stand-in for a voter", "name", c.Name, "err", err)
			continue
		}
		s.For = instead
		e.post(func() { e.c.order(seatOrder{Seat: s}) })
		return
	}
}

// askSeat asks who leads whether this voter still has a seat, without holding up the engine.
func (n *Node) askSeat(e *engine) {
	if !e.asking.CompareAndSwap(false, true) {
		return
	}
	id, founding, fresh := e.c.id, e.c.founding, e.st.look().h.Last <= 1
	go func() {
		defer e.asking.Store(false)
		said := n.standings()
		for _, s := range said {
			if s.Lead == "" || s.Lead == n.cfg.Name {
				continue
			}
			ctx, cancel := context.WithTimeout(n.ctx, 2*askWithin)
			body, _ := json.Marshal(id)
			out, err := n.w.call(ctx, s.Lead, n.where(s.Lead, ""), methodMember, body)
			cancel()
			var a memberAnswer
			if err != nil || json.Unmarshal(out, &a) != nil {
				continue
			}
			// what another founding's leader says counts only where nothing has ever been settled in this one
			if !a.Has && (a.Founding == founding || fresh) {
				e.post(func() { e.released = true })
			}
			return
		}
	}()
}

// elsewhere tells that another process of this member, in an upgrade, has its folder and its address.
func (n *Node) elsewhere() bool { return n.cfg.Listen != "" && n.standing.Load() == nil }

// standings asks all other candidates how they stand, at the same time.
func (n *Node) standings() map[string]toldStanding {
	out := map[string]toldStanding{}
	var mu sync.Mutex
	var all sync.WaitGroup
	for _, c := range n.cfg.Candidates {
		if c.Name == n.cfg.Name {
			continue
		}
		all.Go(func() {
			if t, ok := n.standingOf(c.Name, true); ok {
				mu.Lock()
				out[c.Name] = t
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return out
}

// standingOf asks one candidate who leads; and, whole, for its folder's number and founding.
func (n *Node) standingOf(name string, whole bool) (t toldStanding, ok bool) {
	ctx, cancel := context.WithTimeout(n.ctx, askWithin)
	defer cancel()
	var body []byte
	if whole {
		body = []byte{1}
	}
	b, err := n.w.call(ctx, name, n.where(name, ""), methodStanding, body)
	return t, err == nil && json.Unmarshal(b, &t) == nil && t.Name == name
}

// watchLead keeps Lead up to date at a member without an engine: the leader itself is asked now and then, and the
// candidates in a drawn order while none is known, or a call to it failed.
func (n *Node) watchLead() {
	defer n.all.Done()
	r := rand.New(rand.NewPCG(n.cfg.Seed, drawID()))
	next := time.NewTimer(0)
	defer next.Stop()
	for fails := 0; ; {
		suspect := false
		select {
		case <-n.ctx.Done():
			return
		case <-n.suspect:
			suspect = true
		case <-next.C:
		}
		if !n.seeks() {
			next.Reset(time.Second)
			continue
		}
		if n.findLead(r, suspect) {
			fails = 0
			next.Reset(leadWithin)
			continue
		}
		fails = min(fails+1, 5)
		next.Reset(time.Duration(fails)*100*time.Millisecond + time.Duration(r.IntN(50))*time.Millisecond)
	}
}

// seeks tells whether this member has to ask others who leads: it has no engine, or one that waits to be taken in and hears of
// nobody.
func (n *Node) seeks() bool {
	e := n.eng.Load()
	if e == nil {
		return true
	}
	s := e.state.Load()
	return s.learner && s.lead == 0
}

func (n *Node) findLead(r *rand.Rand, suspect bool) bool {
	known := n.Lead()
	if !suspect && known.Leader != "" && time.Since(time.Unix(0, n.answered.Load())) < leadWithin {
		return true
	}
	order := r.Perm(len(n.cfg.Candidates))
	best := Lead{}
	for _, i := range order {
		c := n.cfg.Candidates[i]
		if !suspect && known.Leader != "" {
			c.Name = known.Leader
		}
		if c.Name == n.cfg.Name && !n.elsewhere() || suspect && c.Name == known.Leader {
			continue
		}
		t, ok := n.standingOf(c.Name, false)
		if n.ctx.Err() != nil || !n.seeks() {
			return true
		}
		if ok && t.Lead != "" && t.Term >= known.Term && t.Term >= best.Term {
			best = Lead{Leader: t.Lead, Addr: n.where(t.Lead, ""), Term: t.Term}
			if !suspect || best.Term > known.Term {
				break
			}
		}
		if !suspect && known.Leader != "" {
			suspect, known.Leader = true, "" // it doesn't lead any more, or isn't there
		}
	}
	if best.Leader == "" {
		best.Term = known.Term
	}
	if n.seeks() {
		n.setLead(best)
	}
	return best.Leader != ""
}

// say notes what this member does, and logs what is new of it.
func (n *Node) say(role Role, fault error, awaiting string) {
	n.mu.Lock()
	was, old, before := n.role, n.fault, n.awaiting
	n.role, n.fault, n.awaiting = role, fault, awaiting
	n.mu.Unlock()
	switch {
	case fault != nil && (old == nil || old.Error() != fault.Error()):
		n.log.Error("revisions: this member holds no vote", "err", hint.Line(fault))
	case fault != nil || was == role && before == awaiting:
	case role == Founding && awaiting != "":
		n.log.Info("revisions: all voters are needed once, for the founding", "awaiting", awaiting)
	case role == Returning:
		n.log.Warn("revisions: the folder is new, and the cluster isn't: coming back as a new voter")
	case role == Waiting:
		n.log.Info("revisions: another process of this balancer holds the vote", "folder", n.cfg.Folder)
	}
}
