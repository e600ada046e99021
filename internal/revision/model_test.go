package revision

// A small model of a cluster for checking Member, Leader and State: three processes, one log, a leader, clocks of equal
// rate, and messages and commands that may be delayed or lost, and processes that may stop or end. explore_test.go
// visits all states of the model, or follows random paths through it.

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

const (
	processCount = 3
	tickDuration = time.Second
)

// testConfig has the durations of the model. A leader considers a lease of 2 ticks expired after 3.
var testConfig = LeaderConfig{Lease: 2 * tickDuration, Deadline: 4 * tickDuration, StopTimeout: tickDuration}

// plan bounds the number of events of each sort in a world.
type plan struct {
	holdOnPartition [processCount]bool
	ticks           int
	faults          int
	calls           []call
	guarded         bool
}

// call is a call by an operator, which may be repeated.
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
	loopLease    Lease // the lease that its event loop uses
	loopBlocked  bool  // its event loop does not take new leases
	stopped      bool  // SIGSTOP
	dead         bool
	left         bool
	leader       *Leader
	appliedState *State // the state it has applied while deposed without knowing it; nil if that is the current state
}

// delayedMessage is a message in flight: a renewal request for which its leader has confirmed to lead, a reply, or a
// command.
type delayedMessage struct {
	kind        byte // 'q' for a request, 'a' for a reply, 'c' for a command
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
	committedHashes  []string // of the committed revisions, in the order of their numbers
	processes        [processCount]process
	leaderIndex      int // -1 if there is no leader
	delayed          []delayedMessage
	ticks            int
	faults           int
	callCounts       []int8
	delayNextCommand bool // the next command is committed late
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

// checkFor returns the check of process i. The text "bad1" is incompatible with process 1, and so on.
func checkFor(i int) func(json.RawMessage) error {
	rejectedText := fmt.Sprintf(`"bad%d"`, i)
	return func(text json.RawMessage) error {
		if string(text) == rejectedText {
			return &UnknownHolder{rejectedText}
		}
		return nil
	}
}

func newWorld(plan *plan) *world {
	w := &world{state: NewState(), ticks: plan.ticks, faults: plan.faults, callCounts: make([]int8, len(plan.calls))}
	w.state.History[0].Text = json.RawMessage(`"zero"`)
	w.committedHashes = []string{w.state.History[0].Hash}
	for i := range w.processes {
		w.processes[i] = process{
			generation: 1,
			member:     NewMember(Holder{string(rune('a' + i)), 1}, plan.holdOnPartition[i], checkFor(i)),
		}
	}
	w.elect(0)
	for range 3 {
		for i := range w.processes {
			w.renew(i, 0)
		}
	}
	return w
}

func (w *world) clone(event string) *world {
	c := *w
	c.delayed = slices.Clone(w.delayed)
	c.callCounts = slices.Clone(w.callCounts)
	for i := range c.processes {
		member := *c.processes[i].member
		c.processes[i].member = &member
		if l := c.processes[i].leader; l != nil {
			leader := *l
			leader.holders = make(map[Holder]*holderState, len(l.holders))
			for k, v := range l.holders {
				x := *v
				leader.holders[k] = &x
			}
			leader.guard.samples = slices.Clone(l.guard.samples)
			c.processes[i].leader = &leader
		}
	}
	c.trace = &trace{event, w.trace}
	return &c
}

func (w *world) isRunning(i int) bool { return !w.processes[i].dead && !w.processes[i].stopped }

// apply commits and applies a command.
func (w *world) apply(c Command) Result {
	before := w.state
	for i := range w.processes { // a deposed leader keeps the state that it has applied
		if p := &w.processes[i]; p.leader != nil && i != w.leaderIndex && p.appliedState == nil {
			p.appliedState = before
		}
	}
	w.state = before.Clone()
	r := w.state.Apply(c)
	if w.leaderIndex >= 0 && w.processes[w.leaderIndex].leader != nil {
		w.processes[w.leaderIndex].leader.CommandApplied(c)
	}
	w.checkCommitted(before, c)
	return r
}

func (w *world) elect(i int) {
	w.leaderIndex = i
	p := &w.processes[i]
	p.leader, p.appliedState = NewLeader(p.member.Holder.Name, testConfig), nil
	r := w.apply(Command{Op: OpBeginTerm, By: p.member.Holder.Name})
	p.leader.BeginTerm(w.now, r.Number)
}

// renew is one renewal of process i. delay is 0 for none, 'q' if the leader stops before it replies, or 'a' if the
// reply is delayed.
func (w *world) renew(i int, delay byte) {
	p := &w.processes[i]
	message := delayedMessage{kind: 'q', to: w.leaderIndex, from: i, generation: p.generation, requestedAt: w.now}
	message.request = p.member.NextRequest()
	message.seq = message.request.Seq
	if delay == 'q' {
		w.delayed = append(w.delayed, message)
		return
	}
	w.reply(message, delay)
}

// reply lets the leader at index message.to reply to a renewal request for which it has confirmed to lead.
func (w *world) reply(message delayedMessage, delay byte) {
	leader := &w.processes[message.to]
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
	p := &w.processes[message.from]
	if p.dead || p.generation != message.generation {
		return
	}
	p.member.HandleReply(w.now, message.requestedAt, message.seq, message.reply)
	w.runLoop(message.from)
	if !message.reply.Known && p.member.HasText() && p.member.Incompatibility() == "" && !p.left {
		w.apply(Command{Op: OpJoin, Holder: p.member.Holder, KeepLeaseOnPartition: p.member.KeepLeaseOnPartition,
			Ended: true})
	}
}

func (w *world) runLoop(i int) {
	if p := &w.processes[i]; !p.loopBlocked && !p.dead && !p.stopped {
		p.loopLease = p.member.Lease()
		p.member.Acknowledge(p.loopLease.Seq)
	}
}

// runLeader applies the commands that the leader returns, if it is running. It is called after every event.
func (w *world) runLeader() {
	for repeat := true; repeat && w.leaderIndex >= 0 && w.isRunning(w.leaderIndex); {
		repeat = false
		for _, c := range w.processes[w.leaderIndex].leader.NextCommands(w.now, w.state) {
			if slices.ContainsFunc(w.delayed, func(x delayedMessage) bool {
				return x.kind == 'c' && x.command.Op == c.Op && x.command.Holder == c.Holder && x.command.Epoch == c.Epoch &&
					x.command.LeaderTerm == c.LeaderTerm
			}) {
				continue // in flight
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

func (o call) command(plan *plan) Command {
	c := Command{
		Op:           OpPropose,
		Kind:         KindProposed,
		Key:          o.key,
		Base:         o.base,
		Source:       o.source,
		Text:         json.RawMessage(`"` + o.note + `"`),
		Hash:         o.note,
		MaxRevisions: 100,
	}
	if o.rollback {
		c.Kind, c.Text, c.Hash = KindRollback, nil, ""
	}
	if plan.guarded {
		c.GuardDuration = int64(tickDuration)
	}
	return c
}
