package revision

import (
	"slices"

	"oatloft/internal/failpoint"
)

// events enumerates the events that can happen in a world.
type events struct {
	*world
	plan  *plan
	pick  func(what string, fault bool) bool
	visit func(*world)
}

// next visits all worlds one event from here. With pick there is one at most, for the event that it takes, and this
// world becomes it.
func (w *world) next(pl *plan, pick func(what string, fault bool) bool, visit func(*world)) {
	e := &events{w, pl, pick, visit}
	leaderRuns := w.lead >= 0 && w.runs(w.lead)
	for i := range w.procs {
		e.renewals(i, leaderRuns)
		e.runState(i)
		e.left(i)
	}
	if leaderRuns && !w.slowLog {
		e.do("the log is slow", true, func(c *world) { c.slowLog = true })
	}
	e.lateArrivals()
	e.calls()
	if w.ticks > 0 {
		e.do("tick", false, (*world).tick)
	}
}

// do lets an event happen: in a copy of the world, or with pick in this one.
func (e *events) do(what string, fault bool, event func(c *world)) {
	if fault && e.faults == 0 || e.pick != nil && !e.pick(what, fault) {
		return
	}
	c := e.world
	if e.pick == nil {
		c = e.clone(what)
	} else {
		c.trace = &trace{what, c.trace}
	}
	if fault {
		c.faults--
	}
	event(c)
	c.step()
	c.judge()
	e.visit(c)
}

// renewals are the ways in which process i may renew its lease.
func (e *events) renewals(i int, leaderRuns bool) {
	p := &e.procs[i]
	name := p.m.Holder.Name
	if !e.runs(i) || p.left {
		return
	}
	if leaderRuns {
		e.do("renew "+name, false, func(c *world) { c.exchange(i, 0) })
		e.do("renew, not answered yet "+name, true, func(c *world) { c.exchange(i, 'q') })
		e.do("renew, answer late "+name, true, func(c *world) { c.exchange(i, 'a') })
	}
	if !failpoint.On("unconfirmed") {
		return
	}
	for j := range e.procs {
		if e.procs[j].leader == nil || !e.runs(j) || j == e.lead {
			continue
		}
		e.do("renew at who led before "+name, false, func(c *world) {
			q := late{to: j, from: i, gen: p.gen, asked: c.now, renew: c.procs[i].m.NextRequest()}
			q.seq = q.renew.Seq
			c.answer(q, 0)
		})
	}
}

// runState are the ways in which process i may stop, end, start, lead or leave.
func (e *events) runState(i int) {
	p := &e.procs[i]
	name := p.m.Holder.Name
	switch {
	case p.dead:
		e.do("restart "+name, false, func(c *world) { c.restart(i) })
		return
	case p.stopped:
		e.do("wake "+name, false, func(c *world) {
			c.procs[i].stopped = false
			c.procs[i].m.Tick(c.now)
			c.loop(i)
		})
		return
	}
	e.do("stop "+name, true, func(c *world) { c.procs[i].stopped = true })
	e.do("kill "+name, true, func(c *world) { c.kill(i) })
	if p.slow {
		e.do("loop takes up "+name, false, func(c *world) { c.procs[i].slow = false; c.loop(i) })
	} else {
		e.do("loop waits "+name, true, func(c *world) { c.procs[i].slow = true })
	}
	if i != e.lead {
		e.do("elect "+name, e.lead >= 0, func(c *world) { c.elect(i) })
	}
	if !p.left && e.lead != i {
		e.do("leave "+name, true, func(c *world) { c.procs[i].m.Leave(); c.procs[i].left = true; c.loop(i) })
	}
}

func (e *events) left(i int) {
	p := &e.procs[i]
	if p.left && p.m.HasLeft() && e.s.HasHolder(p.m.Holder) {
		e.do("left "+p.m.Holder.Name, false, func(c *world) { c.apply(Command{Op: OpLeave, Holder: p.m.Holder}) })
	}
}

// lateArrivals are the messages under way, each of which may arrive next.
func (e *events) lateArrivals() {
	for k, x := range e.late {
		if x.kind == 'q' && !e.runs(x.to) || x.kind == 'a' && !e.runs(x.from) {
			continue
		}
		e.do("late "+string(x.kind)+" "+string(x.cmd.Op)+string(rune('a'+x.from)), false, func(c *world) {
			c.late = slices.Delete(c.late, k, k+1)
			switch x.kind {
			case 'q':
				c.answer(x, 0)
			case 'a':
				c.take(x)
			case 'c':
				c.apply(x.cmd)
			}
		})
	}
}

// calls are the operator's calls of the plan, in its order.
func (e *events) calls() {
	for k, o := range e.plan.ops {
		if e.handed[k] < 1+o.again && (k == 0 || e.handed[k-1] > 0) {
			e.do("call "+o.key, false, func(c *world) { c.handed[k]++; c.apply(o.command(e.plan)) })
		}
	}
}

func (w *world) restart(i int) {
	p := &w.procs[i]
	next := Holder{p.m.Holder.Name, p.gen + 1}
	*p = proc{gen: next.Generation, m: NewMember(next, p.m.HoldOnPartition, fits(i))}
}

func (w *world) kill(i int) {
	p := &w.procs[i]
	p.dead, p.leader, p.loop = true, nil, Lease{}
	if w.lead == i {
		w.lead = -1
	}
}

func (w *world) tick() {
	w.ticks--
	w.now += unit
	for i := range w.procs {
		if w.runs(i) {
			w.procs[i].m.Tick(w.now)
			w.loop(i)
		}
	}
}
