package revision

import (
	"slices"

	"oatloft/internal/failpoint"
)

// events enumerates the events that can happen in a world.
type events struct {
	*world
	plan   *plan
	choose func(event string, fault bool) bool
	visit  func(*world)
}

// visitNext visits all worlds that are one event away. If choose is not nil, it selects at most one event, which is
// applied to this world itself.
func (w *world) visitNext(plan *plan, choose func(event string, fault bool) bool, visit func(*world)) {
	e := &events{w, plan, choose, visit}
	leaderRuns := w.leaderIndex >= 0 && w.isRunning(w.leaderIndex)
	for i := range w.processes {
		e.renewals(i, leaderRuns)
		e.runState(i)
		e.leaveCompleted(i)
	}
	if leaderRuns && !w.delayNextCommand {
		e.tryEvent("the log is slow", true, func(c *world) { c.delayNextCommand = true })
	}
	e.delayedArrivals()
	e.operatorCalls()
	if w.ticks > 0 {
		e.tryEvent("tick", false, (*world).tick)
	}
}

// tryEvent applies an event to a copy of the world, or, if choose selects it, to this world. The names of faults are
// hashed by randomWalk, so that changing one changes the paths of all seeds.
func (e *events) tryEvent(name string, fault bool, event func(c *world)) {
	if fault && e.faults == 0 || e.choose != nil && !e.choose(name, fault) {
		return
	}
	c := e.world
	if e.choose == nil {
		c = e.clone(name)
	} else {
		c.trace = &trace{name, c.trace}
	}
	if fault {
		c.faults--
	}
	event(c)
	c.runLeader()
	c.checkInvariants()
	e.visit(c)
}

// renewals tries the ways in which process i may renew its lease.
func (e *events) renewals(i int, leaderRuns bool) {
	p := &e.processes[i]
	name := p.member.Holder.Name
	if !e.isRunning(i) || p.left {
		return
	}
	if leaderRuns {
		e.tryEvent("renew "+name, false, func(c *world) { c.renew(i, 0) })
		e.tryEvent("renew, not answered yet "+name, true, func(c *world) { c.renew(i, 'q') })
		e.tryEvent("renew, answer late "+name, true, func(c *world) { c.renew(i, 'a') })
	}
	if !failpoint.On("unconfirmed") {
		return
	}
	for j := range e.processes {
		if e.processes[j].leader == nil || !e.isRunning(j) || j == e.leaderIndex {
			continue
		}
		e.tryEvent("renew at a former leader "+name, false, func(c *world) {
			message := delayedMessage{
				to:          j,
				from:        i,
				generation:  p.generation,
				requestedAt: c.now,
				request:     c.processes[i].member.NextRequest(),
			}
			message.seq = message.request.Seq
			c.reply(message, 0)
		})
	}
}

// runState tries the ways in which process i may stop, end, start, become leader or leave.
func (e *events) runState(i int) {
	p := &e.processes[i]
	name := p.member.Holder.Name
	switch {
	case p.dead:
		e.tryEvent("restart "+name, false, func(c *world) { c.restart(i) })
		return
	case p.stopped:
		e.tryEvent("wake "+name, false, func(c *world) {
			c.processes[i].stopped = false
			c.processes[i].member.Tick(c.now)
			c.runLoop(i)
		})
		return
	}
	e.tryEvent("stop "+name, true, func(c *world) { c.processes[i].stopped = true })
	e.tryEvent("kill "+name, true, func(c *world) { c.kill(i) })
	if p.loopBlocked {
		e.tryEvent("loop resumes "+name, false, func(c *world) { c.processes[i].loopBlocked = false; c.runLoop(i) })
	} else {
		e.tryEvent("loop waits "+name, true, func(c *world) { c.processes[i].loopBlocked = true })
	}
	if i != e.leaderIndex {
		e.tryEvent("elect "+name, e.leaderIndex >= 0, func(c *world) { c.elect(i) })
	}
	if !p.left && e.leaderIndex != i {
		e.tryEvent("leave "+name, true, func(c *world) {
			c.processes[i].member.Leave()
			c.processes[i].left = true
			c.runLoop(i)
		})
	}
}

// leaveCompleted tries the removal of process i from the list once it has left.
func (e *events) leaveCompleted(i int) {
	p := &e.processes[i]
	if p.left && p.member.HasLeft() && e.state.HasHolder(p.member.Holder) {
		e.tryEvent("left "+p.member.Holder.Name, false, func(c *world) {
			c.apply(Command{Op: OpLeave, Holder: p.member.Holder})
		})
	}
}

// delayedArrivals tries the arrival of each delayed message.
func (e *events) delayedArrivals() {
	for k, x := range e.delayed {
		if x.kind == 'q' && !e.isRunning(x.to) || x.kind == 'a' && !e.isRunning(x.from) {
			continue
		}
		e.tryEvent("late "+string(x.kind)+" "+string(x.command.Op)+string(rune('a'+x.from)), false, func(c *world) {
			c.delayed = slices.Delete(c.delayed, k, k+1)
			switch x.kind {
			case 'q':
				c.reply(x, 0)
			case 'a':
				c.deliver(x)
			case 'c':
				c.apply(x.command)
			}
		})
	}
}

// operatorCalls tries the calls of the plan. The first occurrences of the calls keep the order of the plan.
func (e *events) operatorCalls() {
	for k, call := range e.plan.calls {
		if e.callCounts[k] < 1+call.repeats && (k == 0 || e.callCounts[k-1] > 0) {
			e.tryEvent("call "+call.key, false, func(c *world) { c.callCounts[k]++; c.apply(call.command(e.plan)) })
		}
	}
}

func (w *world) restart(i int) {
	p := &w.processes[i]
	next := Holder{p.member.Holder.Name, p.generation + 1}
	*p = process{generation: next.Generation, member: NewMember(next, p.member.KeepLeaseOnPartition, checkFor(i))}
}

func (w *world) kill(i int) {
	p := &w.processes[i]
	p.dead, p.leader, p.loopLease = true, nil, Lease{}
	if w.leaderIndex == i {
		w.leaderIndex = -1
	}
}

func (w *world) tick() {
	w.ticks--
	w.now += tickDuration
	for i := range w.processes {
		if w.isRunning(i) {
			w.processes[i].member.Tick(w.now)
			w.runLoop(i)
		}
	}
}
