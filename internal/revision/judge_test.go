package revision

import (
	"fmt"
	"slices"
)

// judge checks what must hold of what the processes do.
func (w *world) judge() {
	inForce := w.s.InForce()
	for i := range w.procs {
		p := &w.procs[i]
		if p.dead || !p.loop.Allows(w.now) {
			continue
		}
		if p.loop.Number != inForce.Number || p.loop.Hash != inForce.Hash {
			w.fail("%s is at work by %d, and %d is in force", p.m.Holder, p.loop.Number, inForce.Number)
		}
		if err := fits(i)(p.loop.Text); err != nil {
			w.fail("%s is at work by %d, which doesn't fit it", p.m.Holder, p.loop.Number)
		}
		if p.left && !p.slow {
			w.fail("%s has left and is at work", p.m.Holder)
		}
	}
}

// judgeSettled checks what must hold of a step of the committed state.
func (w *world) judgeSettled(before *State, c Command) {
	if w.s.InForce().Number > before.InForce().Number {
		w.hashes = append(slices.Clone(w.hashes), w.s.InForce().Hash)
		for _, r := range before.Holders {
			if fits(int(r.Name[0]-'a'))(w.s.InForce().Text) != nil {
				w.fail("%s may route and was not asked, or said no, and %d is in force", r.Holder, w.s.InForce().Number)
			}
		}
	}
	keys := map[string]bool{}
	for i := range w.s.History {
		r := &w.s.History[i]
		if r.Number >= uint64(len(w.hashes)) || w.hashes[r.Number] != r.Hash {
			w.fail("revision %d was lost or altered by %s", r.Number, c.Op)
		}
		if r.Number > 0 && r.Base != r.Number-1 {
			w.fail("revision %d was made from %d", r.Number, r.Base)
		}
		if r.Number > 0 && keys[r.Key] {
			w.fail("key %s made two revisions", r.Key)
		}
		keys[r.Key] = true
	}
	for _, o := range w.s.Outcomes {
		if o.Number == 0 && keys[o.Key] {
			w.fail("key %s ended nowhere, and is in force", o.Key)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

// settles goes on from here with no further fault, and tells what is still wrong in the end.
func (w *world) settles() string {
	c := w.calmed()
	for round := range 60 {
		for range 2 {
			for i := range c.procs {
				if !c.procs[i].left {
					c.exchange(i, 0)
				}
			}
			c.step()
			c.judge()
		}
		if c.broken != "" {
			return "when calm: " + c.broken
		}
		done := c.s.Pending == nil
		for i := range c.procs {
			p := &c.procs[i]
			done = done && (p.left || p.loop.Allows(c.now) || fits(i)(c.s.InForce().Text) != nil) // who was lapsed had no say
		}
		if done {
			return ""
		}
		if round%2 == 1 {
			c.now += unit
			for i := range c.procs {
				c.procs[i].m.Tick(c.now)
				c.loop(i)
			}
		}
	}
	return fmt.Sprintf("not all are at work after a calm time: pending %v, %v %v %v",
		c.s.Pending, c.procs[0].m.lease, c.procs[1].m.lease, c.procs[2].m.lease)
}

// calmed is a copy in which nothing is late, all processes run, and one of them leads.
func (w *world) calmed() *world {
	c := w.clone("calm")
	c.late, c.faults, c.slowLog = nil, 0, false
	for i := range c.procs {
		p := &c.procs[i]
		p.stopped, p.slow = false, false
		if p.dead {
			c.restart(i)
		}
		if i != c.lead {
			p.leader = nil
		}
		p.m.Tick(c.now)
		c.loop(i)
		if p.left && c.s.HasHolder(p.m.Holder) {
			c.apply(Command{Op: OpLeave, Holder: p.m.Holder})
		}
	}
	if c.lead < 0 {
		c.elect(0)
	}
	return c
}
