package revision

import (
	"slices"

	"oatloft/internal/failpoint"
)

// events enumerates the events that can happen in a world.
type events struct {
	*world
	plan   *plan
	choose func(what string, fault bool) bool
	visit  func(*world)
}

// next visits all worlds one event from here. With pick there is one at most, for the event that it takes, and this
// world becomes it.
func (w *world) visitNext(pl *plan, choose func(what string, fault bool) bool, visit func(*world)) {
	e := &events{w, pl, choose, visit}
	leaderRuns := w.leaderIndex >= 0 && w.isRunning(w.leaderIndex)
	for i := range w.procs {
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

// do lets an event happen: in a copy of the world, or with pick in this one.
func (e *events) tryEvent(what string, fault bool, event func(c *world)) {
	if fault && e.faults == 0 || e.choose != nil && !e.choose(what, fault) {
		return
	}
	c := e.world
	if e.choose == nil {
		c = e.clone(what)
	} else {
		c.trace = &trace{what, c.trace}
	}
	if fault {
		c.faults--
	}
	event(c)
	c.runLeader()
	c.checkInvariants()
	e.visit(c)
}

// renewals are the ways in which process i may renew its lease.
func (e *events) renewals(i int, leaderRuns bool) {
	p := &e.procs[i]
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
	for j := range e.procs {
		if e.procs[j].leader == nil || !e.isRunning(j) || j == e.leaderIndex {
			continue
		}
		e.tryEvent("renew at who led before "+name, false, func(c *world) {
			q := delayedMessage{to: j, from: i, generation: p.generation, requestedAt: c.now, request: c.procs[i].member.NextRequest()}
			q.seq = q.request.Seq
			c.reply(q, 0)
		})
	}
}

// runState are the ways in which process i may stop, end, start, lead or leave.
func (e *events) runState(i int) {
	p := &e.procs[i]
	name := p.member.Holder.Name
	switch {
	case p.dead:
		e.tryEvent("restart "+name, false, func(c *world) { c.restart(i) })
		return
	case p.stopped:
		e.tryEvent("wake "+name, false, func(c *world) {
			c.procs[i].stopped = false
			c.procs[i].member.Tick(c.now)
			c.runLoop(i)
		})
		return
	}
	e.tryEvent("stop "+name, true, func(c *world) { c.procs[i].stopped = true })
	e.tryEvent("kill "+name, true, func(c *world) { c.kill(i) })
	if p.loopBlocked {
		e.tryEvent("loop takes up "+name, false, func(c *world) { c.procs[i].loopBlocked = false; c.runLoop(i) })
	} else {
		e.tryEvent("loop waits "+name, true, func(c *world) { c.procs[i].loopBlocked = true })
	}
	if i != e.leaderIndex {
		e.tryEvent("elect "+name, e.leaderIndex >= 0, func(c *world) { c.elect(i) })
	}
	if !p.left && e.leaderIndex != i {
		e.tryEvent("leave "+name, true, func(c *world) { c.procs[i].member.Leave(); c.procs[i].left = true; c.runLoop(i) })
	}
}

func (e *events) leaveCompleted(i int) {
	p := &e.procs[i]
	if p.left && p.member.HasLeft() && e.state.HasHolder(p.member.Holder) {
		e.tryEvent("left "+p.member.Holder.Name, false, func(c *world) { c.apply(Command{Op: OpLeave, Holder: p.member.Holder}) })
	}
}

// lateArrivals are the messages under way, each of which may arrive next.
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

// calls are the operator's calls of the plan, in its order.
func (e *events) operatorCalls() {
	for k, o := range e.plan.calls {
		if e.callCounts[k] < 1+o.repeats && (k == 0 || e.callCounts[k-1] > 0) {
			e.tryEvent("call "+o.key, false, func(c *world) { c.callCounts[k]++; c.apply(o.command(e.plan)) })
		}
	}
}

func (w *world) restart(i int) {
	p := &w.procs[i]
	next := Holder{p.member.Holder.Name, p.generation + 1}
	*p = process{generation: next.Generation, member: NewMember(next, p.member.HoldOnPartition, checkFor(i))}
}

func (w *world) kill(i int) {
	p := &w.procs[i]
	p.dead, p.leader, p.loopLease = true, nil, Lease{}
	if w.leaderIndex == i {
		w.leaderIndex = -1
	}
}

func (w *world) tick() {
	w.ticks--
	w.now += tickDuration
	for i := range w.procs {
		if w.isRunning(i) {
			w.procs[i].member.Tick(w.now)
			w.runLoop(i)
		}
	}
}
