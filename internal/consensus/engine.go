package consensus

// The goroutine around a core: messages, proposals and ticks in, batches of messages out. It owns the core and the open
// folder while it runs, and the queues to the other voters. Queues are bounded; what doesn't fit is dropped and counted,
// which raft bears.

import (
	"context"
	"encoding/binary"
	"errors"
	"sync/atomic"
	"time"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"google.golang.org/protobuf/proto"

	"oatloft/internal/hint"
)

const (
	inQueue    = 256 // batches from other voters
	doQueue    = 1024
	outQueue   = 256 // messages to one voter
	batchMost  = 64
	batchBytes = 512 << 10
	orphaned   = 20 * electionTicks // ticks without a leader after which others are asked whether this voter still is one
)

type batch struct {
	from string
	msgs []*pb.Message
}

type engine struct {
	n  *Node
	st *store
	c  *core

	writes   chan []job
	wrote    chan written
	jobs     []job // to be written once the writer is free
	busy     bool  // it is writing
	in       chan batch
	do       chan func()
	out      map[uint64]*outbox
	names    map[uint64]string // by number, as messages told; for those that have no seat here yet
	alone    int               // ticks without a leader
	gone     int               // ticks since this voter's seat was taken away
	asking   atomic.Bool
	released bool
	over     chan struct{} // closed once it has ended

	state atomic.Pointer[engineState]
}

type written struct {
	jobs []job
	err  error
}

// engineState is what others may know of an engine, as of its last turn.
type engineState struct {
	lead     uint64
	term     uint64
	mine     bool
	learner  bool
	seats    map[uint64]seat
	view     []seen // a leader's
	conf     *pb.ConfState
	applied  uint64
	settled  uint64
	first    uint64
	bytes    int64
	id       uint64
	founding uint64
}

// outbox is the queue to one voter.
type outbox struct {
	q       chan *pb.Message
	snap    atomic.Bool // one is under way
	bytes   atomic.Int64
	cancel  context.CancelFunc
	name    string
	address string
}

func (n *Node) newEngine(st *store) (*engine, error) {
	c, err := newCore(&n.cfg, st, n.m, &n.reached, n.log)
	if err != nil {
		return nil, err
	}
	e := &engine{n: n, st: st, c: c, in: make(chan batch, inQueue), do: make(chan func(), doQueue), over: make(chan struct{}), writes: make(chan []job, 1), wrote: make(chan written, 1), out: map[uint64]*outbox{}, names: map[uint64]string{}}
	e.publish()
	return e, nil
}

// run steps until ctx ends (nil), the folder fails, or this voter has no seat any more (errReleased).
func (e *engine) run(ctx context.Context) (err error) {
	tick := time.NewTicker(e.n.cfg.Tick)
	writing := make(chan struct{})
	go e.write(writing)
	defer func() {
		if x := recover(); x != nil { // raft stops so where what it is told can't be
			err = &Failed{Why: oneLine(x)}
		}
		tick.Stop()
		for _, o := range e.out {
			o.cancel()
		}
		why := error(&Closed{})
		if err != nil && !errors.Is(err, errReleased) {
			why = err
		}
		e.c.stop(&Unknown{Cause: why}, &NotLeader{})
		close(e.over)
		<-writing // who closes the folder next relies on it
	}()
	for {
		if err := e.turn(ctx); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
			e.tick(ctx)
		case b := <-e.in:
			e.take(b)
		case f := <-e.do:
			f()
		case w := <-e.wrote:
			if err := e.written(ctx, w); err != nil {
				return err
			}
		}
		for more := batchMost; more > 0; more-- { // what else is there goes into the same write
			select {
			case b := <-e.in:
				e.take(b)
				continue
			case f := <-e.do:
				f()
				continue
			default:
			}
			break
		}
	}
}

var errReleased error = &Released{hint.Annotated{What: "no seat any more", Do: "nothing: another member has the vote now, see oatctl revision status"}}

// write is the goroutine that writes to the folder, so that a slow disk holds up no tick and no heartbeat. It ends when
// the engine has; what is under way then is finished.
func (e *engine) write(end chan<- struct{}) {
	defer close(end)
	for {
		select {
		case <-e.over:
			return
		case jobs := <-e.writes:
			w := written{jobs: jobs}
			for _, j := range jobs {
				if w.err = e.job(j); w.err != nil {
					break
				}
			}
			select {
			case e.wrote <- w:
			case <-e.over:
				return
			}
		}
	}
}

func (e *engine) job(j job) (err error) {
	defer func() {
		if x := recover(); x != nil {
			err = &Failed{Why: oneLine(x)}
		}
	}()
	return j.do(e.st)
}

// written takes up what the folder holds now.
func (e *engine) written(ctx context.Context, w written) error {
	if w.err != nil {
		return w.err
	}
	for _, j := range w.jobs {
		msgs, err := e.c.done(j)
		if err != nil {
			return err
		}
		for _, m := range msgs {
			e.send(ctx, m)
		}
	}
	e.busy = false
	return nil
}

func (e *engine) take(b batch) {
	for _, m := range b.msgs {
		e.names[m.GetFrom()] = b.from
		e.c.step(m)
	}
}

// turn works off what is due.
func (e *engine) turn(ctx context.Context) error {
	before := e.c.applied
	msgs, jobs, err := e.c.work()
	if err != nil {
		return err
	}
	for _, m := range msgs {
		e.send(ctx, m)
	}
	if e.jobs = append(e.jobs, jobs...); len(e.jobs) > 0 && !e.busy {
		e.busy = true
		e.writes <- e.jobs
		e.jobs = nil
	}
	if e.released {
		return errReleased
	}
	if e.c.changed || e.c.applied != before {
		e.c.changed = false
		e.publish()
	}
	return nil
}

func (e *engine) tick(ctx context.Context) {
	e.c.tick()
	if e.c.soft.Lead == raft.None {
		if e.alone++; e.alone%orphaned == 0 {
			e.n.askSeat(e)
		}
	} else {
		e.alone = 0
	}
	if _, ok := e.c.seats[e.c.id]; !ok && e.c.applied > 0 && !e.c.leads() {
		if e.gone++; e.gone == 4*electionTicks {
			e.n.askSeat(e)
			e.gone = 0
		}
	} else {
		e.gone = 0
	}
	if e.c.ticks%(electionTicks/2) != 0 {
		return
	}
	switch step := e.c.due(); step.Do {
	case nothing:
	case look:
		if e.asking.CompareAndSwap(false, true) {
			seats := e.c.list()
			go e.n.look(ctx, e, seats, step.Seat.For)
		}
	default:
		e.n.log.Info("revisions: voters change", "what", step.Do.String(), "name", step.Seat.Name, "id", step.Seat.ID, "for", step.Seat.For)
		e.c.change(step)
	}
	e.publish()
}

func (d seatDo) String() string {
	return [...]string{"none", "take in without a vote", "give a vote", "take the vote away", "look"}[d]
}

// publish lets others see how it stands.
func (e *engine) publish() {
	c, kept := e.c, e.st.look()
	s := &engineState{lead: c.soft.Lead, term: c.term, mine: c.leads(), conf: c.conf, applied: c.applied, settled: kept.h.Commit, first: kept.h.Base + 1,
		bytes: kept.bytes, id: c.id, founding: c.founding, seats: make(map[uint64]seat, len(c.seats))}
	for id, x := range c.seats {
		s.seats[id] = x
	}
	s.learner = true
	for _, v := range c.conf.GetVoters() {
		s.learner = s.learner && v != s.id
	}
	if s.mine {
		s.view = c.view().Seats
	}
	e.state.Store(s)
	l := Lead{Term: s.term, Mine: s.mine}
	if s.lead != raft.None {
		if l.Leader = c.seats[s.lead].Name; l.Leader == "" {
			l.Leader = e.names[s.lead]
		}
		l.Addr = e.n.where(l.Leader, c.seats[s.lead].Addr)
	} else if s.learner && !e.n.Lead().Mine { // it waits to be taken in; who leads is asked for
		return
	}
	e.n.setLead(l)
}

// post runs f on the engine's goroutine; false if its queue is full or it has ended.
func (e *engine) post(f func()) bool {
	select {
	case e.do <- f:
		return true
	default:
		return false
	}
}

// send queues a message for another voter.
func (e *engine) send(ctx context.Context, m *pb.Message) {
	to := m.GetTo()
	o := e.out[to]
	name := e.c.seats[to].Name
	if name == "" {
		name = e.names[to]
	}
	if o == nil || o.name != name {
		if o != nil {
			o.cancel()
		}
		if name == "" {
			e.n.dropped.Add(1)
			return
		}
		octx, cancel := context.WithCancel(ctx)
		o = &outbox{q: make(chan *pb.Message, outQueue), cancel: cancel, name: name, address: e.n.where(name, e.c.seats[to].Addr)}
		e.out[to] = o
		go e.deliver(octx, to, o)
	}
	if m.GetType() == pb.MsgSnap {
		if o.snap.CompareAndSwap(false, true) {
			go e.deliverSnapshot(ctx, to, o, m)
		} else {
			e.c.raw.ReportSnapshot(to, raft.SnapshotFailure)
		}
		return
	}
	size := int64(proto.Size(m))
	if o.bytes.Add(size) > 4*maxUncommitted {
		o.bytes.Add(-size)
		e.n.dropped.Add(1)
		return
	}
	select {
	case o.q <- m:
	default:
		o.bytes.Add(-size)
		e.n.dropped.Add(1)
	}
}

func (e *engine) packBatch(msgs []*pb.Message) []byte {
	b := binary.BigEndian.AppendUint64(nil, e.c.founding)
	for _, m := range msgs {
		b = binary.AppendUvarint(b, uint64(proto.Size(m)))
		b, _ = proto.MarshalOptions{UseCachedSize: true}.MarshalAppend(b, m)
	}
	return b
}

func unpackBatch(b []byte) (founding uint64, msgs []*pb.Message, err error) {
	bad := &Answered{Text: "messages between voters have an unknown form", Do: "run the same version at all balancers"}
	if len(b) < 8 {
		return 0, nil, bad
	}
	founding, b = binary.BigEndian.Uint64(b), b[8:]
	for len(b) > 0 {
		n, k := binary.Uvarint(b)
		if k <= 0 || n > uint64(len(b)-k) {
			return 0, nil, bad
		}
		m := new(pb.Message)
		if err := proto.Unmarshal(b[k:k+int(n)], m); err != nil {
			return 0, nil, bad
		}
		msgs, b = append(msgs, m), b[k+int(n):]
	}
	return founding, msgs, nil
}

// deliver calls one voter with what has gathered for it, one call after the other.
func (e *engine) deliver(ctx context.Context, to uint64, o *outbox) {
	for {
		var msgs []*pb.Message
		size := int64(0)
		add := func(m *pb.Message) {
			x := int64(proto.Size(m))
			msgs, size = append(msgs, m), size+x
			o.bytes.Add(-x)
		}
		select {
		case <-ctx.Done():
			return
		case m := <-o.q:
			add(m)
		}
		for more := true; more && len(msgs) < batchMost && size < batchBytes; {
			select {
			case m := <-o.q:
				add(m)
			default:
				more = false
			}
		}
		within, cancel := context.WithTimeout(ctx, max(e.n.cfg.Tick*2*electionTicks, time.Second))
		_, err := e.n.w.call(within, o.name, o.address, methodRaft, e.packBatch(msgs))
		cancel()
		if err == nil || ctx.Err() != nil {
			continue
		}
		e.n.dropped.Add(int64(len(msgs)))
		for more := true; more; { // what waited meanwhile is old
			select {
			case m := <-o.q:
				o.bytes.Add(-int64(proto.Size(m)))
				e.n.dropped.Add(1)
			default:
				more = false
			}
		}
		e.post(func() { e.c.raw.ReportUnreachable(to) })
	}
}

func (e *engine) deliverSnapshot(ctx context.Context, to uint64, o *outbox, m *pb.Message) {
	within, cancel := context.WithTimeout(ctx, 20*time.Second+time.Duration(len(m.GetSnapshot().GetData())/20_000)*time.Second)
	defer cancel()
	_, err := e.n.w.call(within, o.name, o.address, methodRaft, e.packBatch([]*pb.Message{m}))
	how := raft.SnapshotFinish
	if err != nil {
		how = raft.SnapshotFailure
		e.n.dropped.Add(1)
	}
	select { // raft sends nothing else till it knows
	case e.do <- func() { o.snap.Store(false); e.c.raw.ReportSnapshot(to, how) }:
	case <-e.over:
	}
}
