package consensus

// One voter's raft, stepped: events in, messages out, the folder written in between. core has no goroutine, no clock and
// no socket, so that tests step many of them over a network of their own. It must never let a message out before what
// the message rests on is in the folder, and never act any more after a write that failed.

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"log/slog"
	"slices"

	"go.etcd.io/raft/v3"
	pb "go.etcd.io/raft/v3/raftpb"
	"go.etcd.io/raft/v3/tracker"
	"google.golang.org/protobuf/proto"

	"oatloft/internal/failpoint"
)

// outcome is how a proposal or a question to the leader ended.
type outcome struct {
	term uint64
	err  error
}

// waiter takes one outcome, without waiting itself.
type waiter chan outcome

type core struct {
	st      *store
	m       Machine
	reached *uint64 // the last entry that the machine has applied; outlives a core that is begun anew
	raw     *raft.RawNode
	cfg     *Config

	id       uint64 // of the folder
	founding uint64

	conf        *pb.ConfState
	seats       map[uint64]seat
	applied     uint64
	appliedTerm uint64         // of the last entry applied
	ticks       int            // since this core began
	heard       map[uint64]int // by number, the tick at which a message came
	soft        raft.SoftState
	term        uint64

	nextKey uint64
	pending map[uint64]waiter // by the key in front of the entry
	reading []waiter          // asked for leadership, and wait for the next round
	asked   []waiter          // of the round under way
	round   uint64
	ready   []readWait // confirmed, and wait till applied so far
	changed bool       // who leads, or who votes, has changed since the last look

	orders   []timedOrder // seats asked for, while this one leads
	cutAt    uint64       // the last snapshot, made or on its way to the folder
	cutting  bool         // one is on its way
	cutOff   bool         // somebody was taken in, who can do only with a snapshot that names him
	changeAt int          // tick of the last change of voters proposed, 0 once it is done
}

type readWait struct {
	index, term uint64
	who         []waiter
}

type timedOrder struct {
	seatOrder
	at int
}

const (
	maxPending     = 256
	maxReading     = 4096
	maxOrders      = 64
	maxUncommitted = 8 << 20
	maxMessage     = 256 << 10
	maxKept        = 8 << 20
)

// newCore begins from what st holds.
func newCore(cfg *Config, st *store, m Machine, reached *uint64, log *slog.Logger) (c *core, err error) {
	c = &core{st: st, m: m, cfg: cfg, reached: reached, conf: st.h.Conf.pb(), seats: map[uint64]seat{}, heard: map[uint64]int{}, pending: map[uint64]waiter{}, nextKey: drawID()}
	if st.h.SnapIndex > 0 {
		snap, err := st.readSnapshot()
		if err != nil {
			return nil, err
		}
		if err := c.restore(st.h.SnapIndex, snap.GetData()); err != nil {
			return nil, err
		}
	}
	defer func() {
		if x := recover(); x != nil {
			c, err = nil, &Failed{Why: oneLine(x)}
		}
	}()
	c.id, c.founding, c.applied, c.cutAt = st.h.ID, st.h.Founded.Number, st.h.SnapIndex, st.h.SnapIndex
	c.raw, err = raft.NewRawNode(&raft.Config{ID: st.h.ID, ElectionTick: electionTicks, HeartbeatTick: heartbeatTicks, Storage: st, Applied: st.h.SnapIndex,
		MaxSizePerMsg: maxMessage, MaxCommittedSizePerReady: 4 << 20, MaxUncommittedEntriesSize: maxUncommitted, MaxInflightMsgs: 64, MaxInflightBytes: 4 << 20,
		AsyncStorageWrites: true, CheckQuorum: true, PreVote: true, DisableProposalForwarding: true, StepDownOnRemoval: true, Logger: raftLog{log}})
	if err != nil {
		return nil, &Failed{Why: oneLine(err)}
	}
	c.term = st.h.Term
	return c, nil
}

func (c *core) restore(index uint64, data []byte) error {
	seats, machine, err := unpackSnapshot(data)
	if err != nil {
		return err
	}
	clear(c.seats)
	for _, s := range seats {
		c.seats[s.ID] = s
	}
	if index <= *c.reached || index <= 1 {
		return nil // the machine is further already, or it is the founding, of which it knows nothing
	}
	if err := c.m.Restore(index, machine); err != nil {
		return &Failed{Why: "a snapshot can't be taken over: " + oneLine(err)}
	}
	*c.reached = index
	return nil
}

func (c *core) tick() {
	c.ticks++
	c.raw.Tick()
}

// step takes another voter's message in. What raft can't use is no error.
func (c *core) step(m *pb.Message) {
	if m.GetTo() != c.id {
		return
	}
	c.heard[m.GetFrom()] = c.ticks
	_ = c.raw.Step(m)
}

func (c *core) leads() bool { return c.soft.RaftState == raft.StateLeader }

// propose begins to settle entry; w hears once it is applied here.
func (c *core) propose(entry []byte, w waiter) {
	switch {
	case !c.leads():
		w <- outcome{err: &NotLeader{}}
	case len(c.pending) >= maxPending:
		w <- outcome{err: &Overloaded{What: "proposals", Most: maxPending}}
	default:
		c.nextKey++
		data := append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(entry)), c.nextKey), entry...)
		if err := c.raw.Propose(data); err != nil {
			w <- outcome{err: &Overloaded{What: "bytes to settle", Most: maxUncommitted}}
			return
		}
		c.pending[c.nextKey] = w
	}
}

// confirm asks whether this member leads still; w hears once most voters have said so after this call, and all that was
// settled before it is applied here.
func (c *core) confirm(w waiter) {
	switch {
	case !c.leads():
		w <- outcome{err: &NotLeader{}}
	case len(c.reading) >= maxReading:
		w <- outcome{err: &Overloaded{What: "questions to the leader", Most: maxReading}}
	default:
		c.reading = append(c.reading, w)
	}
}

// change proposes another set of voters. Only one such change is under way at a time; what comes too early is dropped.
func (c *core) change(step seatStep) {
	cc := &pb.ConfChangeV2{}
	add := func(t pb.ConfChangeType, id uint64) {
		cc.Changes = append(cc.Changes, &pb.ConfChangeSingle{Type: t.Enum(), NodeId: new(id)})
	}
	switch step.Do {
	case takeIn:
		add(pb.ConfChangeAddLearnerNode, step.Seat.ID)
	case promote:
		if step.Seat.For != 0 {
			add(pb.ConfChangeRemoveNode, step.Seat.For)
		}
		add(pb.ConfChangeAddNode, step.Seat.ID)
	case drop:
		add(pb.ConfChangeRemoveNode, step.Seat.ID)
	}
	cc.Context, _ = json.Marshal(step.Seat)
	c.changeAt = c.ticks
	_ = c.raw.ProposeConfChange(cc)
}

// job is something to write to the folder. Jobs are done in their order, one at a time, by whoever runs the core; and when
// one is done, done is called.
type job struct {
	m   *pb.Message // of raft to its storage
	cut *shorten
}

// do writes; it may run on another goroutine than the core's other methods.
func (j job) do(st *store) error {
	if j.cut != nil {
		return st.shorten(*j.cut)
	}
	return st.write(j.m)
}

// done takes up that a job has been written. What raft wants to say that rests on it may be said now.
func (c *core) done(j job) (out []*pb.Message, err error) {
	if j.cut != nil {
		c.cutting = false
		return nil, nil
	}
	if snap := j.m.GetSnapshot(); !raft.IsEmptySnap(snap) {
		if err := c.restore(snap.GetMetadata().GetIndex(), snap.GetData()); err != nil {
			return nil, err
		}
		c.conf, c.applied, c.changed = snap.GetMetadata().GetConfState(), snap.GetMetadata().GetIndex(), true
		c.cutAt = max(c.cutAt, c.applied)
	}
	return c.release(j.m.GetResponses()), nil
}

// release lets messages out, and gives those to itself back to raft.
func (c *core) release(list []*pb.Message) (out []*pb.Message) {
	for _, m := range list {
		if m.GetTo() == c.id {
			_ = c.raw.Step(m)
		} else {
			out = append(out, m)
		}
	}
	return out
}

// work does all that is due. It returns the messages that may leave now, and what to write to the folder. After an error
// this core must not be used any more.
func (c *core) work() (out []*pb.Message, jobs []job, err error) {
	for {
		c.ask()
		if !c.raw.HasReady() {
			break
		}
		rd := c.raw.Ready()
		if rd.SoftState != nil || rd.HardState.GetTerm() != 0 && rd.HardState.GetTerm() != c.term {
			c.turn(rd)
		}
		for _, m := range rd.Messages {
			switch m.GetTo() {
			case raft.LocalAppendThread:
				if failpoint.On("ack-before-write") {
					m.Responses = slices.DeleteFunc(m.GetResponses(), func(r *pb.Message) bool {
						early := r.GetTo() != c.id
						if early {
							out = append(out, r)
						}
						return early
					})
				}
				jobs = append(jobs, job{m: m})
			case raft.LocalApplyThread:
				for _, e := range m.GetEntries() {
					if err := c.apply(e); err != nil {
						return nil, nil, err
					}
				}
				out = append(out, c.release(m.GetResponses())...)
			default:
				out = append(out, m)
			}
		}
		for _, r := range rd.ReadStates {
			if len(r.RequestCtx) == 8 && binary.BigEndian.Uint64(r.RequestCtx) == c.round && c.asked != nil {
				c.ready = append(c.ready, readWait{index: r.Index, term: c.term, who: c.asked})
				c.asked = nil
			}
		}
		c.answer()
	}
	long := c.st.look().bytes > c.cfg.kept && !c.cutting
	if c.applied > c.cutAt && (c.applied-c.cutAt >= c.cfg.SnapshotEvery || c.cutOff || long) {
		term, err := c.st.Term(c.applied)
		if err != nil {
			return nil, nil, &Failed{Why: fmt.Sprintf("entry %d is applied and not in the folder", c.applied)}
		}
		c.cutOff, c.cutAt, c.cutting = false, c.applied, true
		jobs = append(jobs, job{cut: &shorten{index: c.applied, term: term, conf: c.conf, data: packSnapshot(c.list(), c.m.Snapshot()), keep: c.keep()}})
	}
	return out, jobs, nil
}

// keep is how many entries before a snapshot are kept for those that lag.
func (c *core) keep() (n uint64) {
	d, size := c.st.look(), int64(0)
	for i := int(c.applied-d.h.Base) - 1; i >= 0 && n < c.cfg.KeepEntries; i-- {
		if size += entryBytes(d.entries[i]); size > c.cfg.kept/4 {
			break
		}
		n++
	}
	return n
}

// ask begins the next round of questions, if none is under way.
func (c *core) ask() {
	if len(c.reading) == 0 || c.asked != nil {
		return
	}
	if !c.leads() {
		c.fail(&c.reading, &NotLeader{})
		return
	}
	if c.appliedTerm != c.term {
		return // what was settled before this one led may not be known as such yet; raft takes no care of that for a single voter
	}
	if failpoint.On("confirm-unasked") {
		c.ready, c.reading = append(c.ready, readWait{index: c.applied, term: c.term, who: c.reading}), nil
		c.answer()
		return
	}
	c.asked, c.reading = c.reading, nil
	c.round++
	c.raw.ReadIndex(binary.BigEndian.AppendUint64(nil, c.round))
}

// answer tells those whose question has been confirmed, and that far applied.
func (c *core) answer() {
	c.ready = slices.DeleteFunc(c.ready, func(r readWait) bool {
		if r.index > c.applied {
			return false
		}
		for _, w := range r.who {
			if r.term != c.term || !c.leads() {
				w <- outcome{err: &NotLeader{}}
			} else {
				w <- outcome{term: c.term}
			}
		}
		return true
	})
}

func (c *core) fail(who *[]waiter, err error) {
	for _, w := range *who {
		w <- outcome{err: err}
	}
	*who = nil
}

// turn takes up a change of who leads, or of the term. What has been asked of a leader that is none any more ends here.
func (c *core) turn(rd raft.Ready) {
	was, term := c.leads(), c.term
	if rd.SoftState != nil {
		c.soft = *rd.SoftState
	}
	if t := rd.HardState.GetTerm(); t != 0 {
		c.term = t
	}
	c.changed = true
	if c.leads() && (!was || term != c.term) {
		for id := range c.seats {
			c.heard[id] = c.ticks // nobody is held silent for the time before
		}
	}
	if was && (!c.leads() || term != c.term) {
		c.stop(&Unknown{Cause: &NotLeader{}}, &NotLeader{})
	}
}

// stop ends all that waits.
func (c *core) stop(proposals, questions error) {
	for k, w := range c.pending {
		w <- outcome{err: proposals}
		delete(c.pending, k)
	}
	c.fail(&c.reading, questions)
	c.fail(&c.asked, questions)
	for _, r := range c.ready {
		c.fail(&r.who, questions)
	}
	c.ready = nil
}

func (c *core) apply(e *pb.Entry) error {
	index := e.GetIndex()
	c.appliedTerm = e.GetTerm()
	defer func() { c.applied = index }()
	if e.GetType() != pb.EntryNormal {
		var cc pb.ConfChangeI
		var err error
		if v1, v2 := new(pb.ConfChange), new(pb.ConfChangeV2); e.GetType() == pb.EntryConfChange {
			cc, err = v1, proto.Unmarshal(e.GetData(), v1)
		} else {
			cc, err = v2, proto.Unmarshal(e.GetData(), v2)
		}
		if err != nil {
			return &Failed{Why: fmt.Sprintf("entry %d can't be read", index)}
		}
		c.reseat(cc)
		return nil
	}
	data := e.GetData()
	if len(data) < 8 {
		return nil // a leader's first entry says nothing
	}
	if index > *c.reached {
		c.m.Apply(index, data[8:])
		*c.reached = index
	}
	if k := binary.BigEndian.Uint64(data); c.pending[k] != nil {
		c.pending[k] <- outcome{term: c.term}
		delete(c.pending, k)
	}
	return nil
}

// reseat takes up another set of voters.
func (c *core) reseat(cc pb.ConfChangeI) {
	v2 := cc.AsV2()
	var s seat
	_ = json.Unmarshal(v2.GetContext(), &s)
	for _, x := range v2.GetChanges() {
		switch id := x.GetNodeId(); x.GetType() {
		case pb.ConfChangeRemoveNode:
			delete(c.seats, id)
			delete(c.heard, id)
		case pb.ConfChangeAddLearnerNode, pb.ConfChangeAddNode:
			if s.ID == id {
				if x.GetType() == pb.ConfChangeAddNode {
					s.For = 0
				}
				c.seats[id] = s
				c.heard[id] = c.ticks
				c.cutOff = true
			}
		}
	}
	c.conf = c.raw.ApplyConfChange(cc)
	c.changed, c.changeAt = true, 0
}

// list is who has a seat, by number.
func (c *core) list() []seat {
	out := make([]seat, 0, len(c.seats))
	for _, s := range c.seats {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b seat) int { return cmpID(a.ID, b.ID) })
	return out
}

// order notes a seat asked for.
func (c *core) order(o seatOrder) {
	c.orders = slices.DeleteFunc(c.orders, func(x timedOrder) bool { return x.Seat.Name == o.Seat.Name || x.Seat.For == o.Seat.For && o.Force })
	if len(c.orders) < maxOrders {
		c.orders = append(c.orders, timedOrder{o, c.ticks})
	}
}

// due is the next step towards the voters wanted. Nothing where this one doesn't lead, or a change is under way.
func (c *core) due() seatStep {
	if !c.leads() {
		c.orders, c.changeAt = nil, 0
		return seatStep{}
	}
	c.orders = slices.DeleteFunc(c.orders, func(o timedOrder) bool {
		_, has := c.seats[o.Seat.ID]
		return has || c.ticks-o.at >= learnerPatience
	})
	if c.changeAt != 0 && c.ticks-c.changeAt < 4*electionTicks {
		return seatStep{}
	}
	v := c.view()
	for _, o := range c.orders {
		v.Orders = append(v.Orders, o.seatOrder)
	}
	return decide(v)
}

// view is what decide goes by; only a leader has one.
func (c *core) view() seatView {
	v := seatView{Self: c.id, Want: c.cfg.Voters, Joint: len(c.conf.GetVotersOutgoing()) > 0}
	if c.cfg.ReplaceAfter > 0 {
		v.ReplaceAfter = max(c.cfg.ticks(c.cfg.ReplaceAfter), 2*electionTicks)
	}
	c.raw.WithProgress(func(id uint64, typ raft.ProgressType, pr tracker.Progress) {
		s := seen{seat: c.seats[id], Match: pr.Match, Voter: typ == raft.ProgressTypePeer, Quiet: c.ticks - c.heard[id]}
		s.ID = id
		if id == c.id {
			s.Quiet = 0
		}
		s.Even = pr.Match >= c.applied && pr.Match > 0
		v.Seats = append(v.Seats, s)
	})
	slices.SortFunc(v.Seats, func(a, b seen) int { return cmpID(a.ID, b.ID) })
	return v
}

// raftLog puts raft's own words into the log, below what operators look at.
type raftLog struct{ log *slog.Logger }

func (l raftLog) Debug(...any)                {}
func (l raftLog) Debugf(string, ...any)       {}
func (l raftLog) Info(...any)                 {}
func (l raftLog) Infof(string, ...any)        {}
func (l raftLog) Warning(v ...any)            { l.log.Debug("raft", "says", fmt.Sprint(v...)) }
func (l raftLog) Warningf(s string, v ...any) { l.log.Debug("raft", "says", fmt.Sprintf(s, v...)) }
func (l raftLog) Error(v ...any)              { l.log.Debug("raft", "says", fmt.Sprint(v...)) }
func (l raftLog) Errorf(s string, v ...any)   { l.log.Debug("raft", "says", fmt.Sprintf(s, v...)) }
func (l raftLog) Fatal(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLog) Fatalf(s string, v ...any)   { panic(fmt.Sprintf(s, v...)) }
func (l raftLog) Panic(v ...any)              { panic(fmt.Sprint(v...)) }
func (l raftLog) Panicf(s string, v ...any)   { panic(fmt.Sprintf(s, v...)) }
