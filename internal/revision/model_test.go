package revision

// The small world in which the machines are explored: three processes, one log, a leader, clocks of one rate, and
// whatever can come late, be lost, stop or end. explore_test.go goes through all of its states, or through random
// paths.

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

const (
	processCount = 3
	tickDuration = time.Second // of a tick
)

// small are the times of the world: a lease of 2 ticks is held lapsed after 3.
var testConfig = LeaderConfig{Lease: 2 * tickDuration, Deadline: 4 * tickDuration, StopTimeout: tickDuration}

// plan bounds a world: how many of each may happen.
type plan struct {
	holdOnPartition [processCount]bool
	ticks           int
	faults          int
	calls           []call
	guarded         bool
}

// op is an operator's call; it may be handed in again.
type call struct {
	key, note string
	base      uint64
	rollback  bool
	source    uint64
	repeats   int8
}

type process struct {
	member       *Member
	generation   uint64
	loopLease    Lease // what its loop goes by
	loopBlocked  bool  // its loop takes nothing up
	stopped      bool  // SIGSTOP
	dead         bool
	left         bool
	leader       *Leader
	appliedState *State // what it has applied, while it is deposed and doesn't know; nil where that is all
}

// late is something on its way: a renewal that its leader has confirmed, an answer, a command.
type delayedMessage struct {
	kind        byte // 'q', 'a', 'c', 'j'
	to          int
	from        int
	generation  uint64
	seq         uint64
	requestedAt time.Duration
	request     RenewRequest
	reply       RenewReply
	command     Command
}

type world struct {
	now              time.Duration
	state            *State
	committedHashes  []string // of the settled revisions, in the order in which they were settled
	procs            [processCount]process
	leaderIndex      int // -1: nobody
	delayed          []delayedMessage
	ticks            int
	faults           int
	callCounts       []int8
	delayNextCommand bool // the next command is settled late
	violation        string
	trace            *trace
}

type trace struct {
	event    string
	previous *trace
}

func (t *trace) String() string {
	var events []string
	for ; t != nil; t = t.previous {
		events = append(events, t.event)
	}
	slices.Reverse(events)
	return fmt.Sprint(len(events), " steps: ", events)
}

// fits: a text whose note is "bad1" doesn't fit the settings of process 1, and so on.
func checkFor(i int) func(json.RawMessage) error {
	rejectedText := fmt.Sprintf(`"bad%d"`, i)
	return func(text json.RawMessage) error {
		if string(text) == rejectedText {
			return &UnknownHolder{rejectedText}
		}
		return nil
	}
}

func newWorld(p *plan) *world {
	w := &world{state: NewState(), ticks: p.ticks, faults: p.faults, callCounts: make([]int8, len(p.calls))}
	w.state.History[0].Text = json.RawMessage(`"zero"`)
	w.committedHashes = []string{w.state.History[0].Hash}
	for i := range w.procs {
		w.procs[i] = process{generation: 1, member: NewMember(Holder{string(rune('a' + i)), 1}, p.holdOnPartition[i], checkFor(i))}
	}
	w.elect(0)
	for range 3 {
		for i := range w.procs {
			w.renew(i, 0)
		}
	}
	return w
}

func (w *world) clone(event string) *world {
	c := *w
	c.delayed = slices.Clone(w.delayed)
	c.callCounts = slices.Clone(w.callCounts)
	for i := range c.procs {
		m := *c.procs[i].member
		c.procs[i].member = &m
		if l := c.procs[i].leader; l != nil {
			n := *l
			n.holders = make(map[Holder]*holderState, len(l.holders))
			for k, v := range l.holders {
				x := *v
				n.holders[k] = &x
			}
			n.guard.samples = slices.Clone(l.guard.samples)
			c.procs[i].leader = &n
		}
	}
	c.trace = &trace{event, w.trace}
	return &c
}

func (w *world) isRunning(i int) bool { return !w.procs[i].dead && !w.procs[i].stopped }

// apply settles a command.
func (w *world) apply(c Command) Result {
	before := w.state
	for i := range w.procs { // a leader that was deposed stays with what it has applied
		if p := &w.procs[i]; p.leader != nil && i != w.leaderIndex && p.appliedState == nil {
			p.appliedState = before
		}
	}
	w.state = before.Clone()
	r := w.state.Apply(c)
	if w.leaderIndex >= 0 && w.procs[w.leaderIndex].leader != nil {
		w.procs[w.leaderIndex].leader.Applied(c)
	}
	w.checkCommitted(before, c)
	return r
}

func (w *world) elect(i int) {
	w.leaderIndex = i
	p := &w.procs[i]
	p.leader, p.appliedState = NewLeader(p.member.Holder.Name, testConfig), nil
	r := w.apply(Command{Op: OpBeginTerm, By: p.member.Holder.Name})
	p.leader.BeginTerm(w.now, r.Number)
}

// exchange is one renewal of process i. how: 0 all at once, 'q' the leader stops before it answers, 'a' the answer
// comes late.
func (w *world) renew(i int, delay byte) {
	p := &w.procs[i]
	message := delayedMessage{kind: 'q', to: w.leaderIndex, from: i, generation: p.generation, requestedAt: w.now}
	message.request = p.member.NextRequest()
	message.seq = message.request.Seq
	if delay == 'q' {
		w.delayed = append(w.delayed, message)
		return
	}
	w.reply(message, delay)
}

// answer is what leader q.to says to a renewal that it has confirmed to lead for.
func (w *world) reply(message delayedMessage, delay byte) {
	leader := &w.procs[message.to]
	state := w.state
	if leader.appliedState != nil {
		state = leader.appliedState
	}
	if leader.leader == nil || leader.dead {
		return
	}
	reply, ok := leader.leader.Renew(w.now, state, message.request)
	if !ok {
		return
	}
	message.kind, message.reply = 'a', reply
	if delay == 'a' {
		w.delayed = append(w.delayed, message)
		return
	}
	w.deliver(message)
}

func (w *world) deliver(message delayedMessage) {
	p := &w.procs[message.from]
	if p.dead || p.generation != message.generation {
		return
	}
	p.member.HandleReply(w.now, message.requestedAt, message.seq, message.reply)
	w.runLoop(message.from)
	if !message.reply.Known && p.member.HasText() && p.member.Incompatibility() == "" && !p.left {
		w.apply(Command{Op: OpJoin, Holder: p.member.Holder, HoldOnPartition: p.member.HoldOnPartition, Ended: true})
	}
}

func (w *world) runLoop(i int) {
	if p := &w.procs[i]; !p.loopBlocked && !p.dead && !p.stopped {
		p.loopLease = p.member.Lease()
		p.member.Acknowledge(p.loopLease.Seq)
	}
}

// step is the leader's look at what is to be settled. It looks after every event, as long as it runs.
func (w *world) runLeader() {
	for repeat := true; repeat && w.leaderIndex >= 0 && w.isRunning(w.leaderIndex); {
		repeat = false
		for _, c := range w.procs[w.leaderIndex].leader.NextCommands(w.now, w.state) {
			if slices.ContainsFunc(w.delayed, func(x delayedMessage) bool {
				return x.kind == 'c' && x.command.Op == c.Op && x.command.Holder == c.Holder && x.command.Epoch == c.Epoch &&
					x.command.LeaderTerm == c.LeaderTerm
			}) {
				continue // on its way
			}
			if w.delayNextCommand {
				w.delayNextCommand = false
				w.delayed = append(w.delayed, delayedMessage{kind: 'c', command: c})
				continue
			}
			w.apply(c)
			repeat = true
		}
	}
}

func (o call) command(pl *plan) Command {
	c := Command{
		Op:            OpPropose,
		Kind:          KindProposed,
		Key:           o.key,
		Base:          o.base,
		Source:        o.source,
		Text:          json.RawMessage(`"` + o.note + `"`),
		Hash:          o.note,
		KeepRevisions: 100,
	}
	if o.rollback {
		c.Kind, c.Text, c.Hash = KindRollback, nil, ""
	}
	if pl.guarded {
		c.GuardFor = int64(tickDuration)
	}
	return c
}
