package revision

import (
	"fmt"
	"slices"
)

// judge checks what must hold of what the processes do.
func (w *world) checkInvariants() {
	inForce := w.state.InForce()
	for i := range w.procs {
		p := &w.procs[i]
		if p.dead || !p.loopLease.Allows(w.now) {
			continue
		}
		if p.loopLease.Number != inForce.Number || p.loopLease.Hash != inForce.Hash {
			w.fail("%s is at work by %d, and %d is in force", p.member.Holder, p.loopLease.Number, inForce.Number)
		}
		if err := checkFor(i)(p.loopLease.Text); err != nil {
			w.fail("%s is at work by %d, which doesn't fit it", p.member.Holder, p.loopLease.Number)
		}
		if p.left && !p.loopBlocked {
			w.fail("%s has left and is at work", p.member.Holder)
		}
	}
}

// judgeSettled checks what must hold of a step of the committed state.
func (w *world) checkCommitted(before *State, c Command) {
	if w.state.InForce().Number > before.InForce().Number {
		w.committedHashes = append(slices.Clone(w.committedHashes), w.state.InForce().Hash)
		for _, r := range before.Holders {
			if checkFor(int(r.Name[0]-'a'))(w.state.InForce().Text) != nil {
				w.fail("%s may route and was not asked, or said no, and %d is in force", r.Holder, w.state.InForce().Number)
			}
		}
	}
	keys := map[string]bool{}
	for i := range w.state.History {
		r := &w.state.History[i]
		if r.Number >= uint64(len(w.committedHashes)) || w.committedHashes[r.Number] != r.Hash {
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
	for _, o := range w.state.Outcomes {
		if o.Number == 0 && keys[o.Key] {
			w.fail("key %s ended nowhere, and is in force", o.Key)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// settles goes on from here with no further fault, and tells what is still wrong in the end.
func (w *world) converge() string {
	c := w.withoutFaults()
	for round := range 60 {
		for range 2 {
			for i := range c.procs {
				if !c.procs[i].left {
					c.renew(i, 0)
				}
			}
			c.runLeader()
			c.checkInvariants()
		}
		if c.violation != "" {
			return "when calm: " + c.violation
		}
		done := c.state.Pending == nil
		for i := range c.procs {
			p := &c.procs[i]
			done = done && (p.left || p.loopLease.Allows(c.now) || checkFor(i)(c.state.InForce().Text) != nil) // who was lapsed had no say
		}
		if done {
			return ""
		}
		if round%2 == 1 {
			c.now += tickDuration
			for i := range c.procs {
				c.procs[i].member.Tick(c.now)
				c.runLoop(i)
			}
		}
	}
	return fmt.Sprintf("not all are at work after a calm time: pending %v, %v %v %v",
		c.state.Pending, c.procs[0].member.lease, c.procs[1].member.lease, c.procs[2].member.lease)
}

// calmed is a copy in which nothing is late, all processes run, and one of them leads.
func (w *world) withoutFaults() *world {
	c := w.clone("calm")
	c.delayed, c.faults, c.delayNextCommand = nil, 0, false
	for i := range c.procs {
		p := &c.procs[i]
		p.stopped, p.loopBlocked = false, false
		if p.dead {
			c.restart(i)
		}
		if i != c.leaderIndex {
			p.leader = nil
		}
		p.member.Tick(c.now)
		c.runLoop(i)
		if p.left && c.state.HasHolder(p.member.Holder) {
			c.apply(Command{Op: OpLeave, Holder: p.member.Holder})
		}
	}
	if c.leaderIndex < 0 {
		c.elect(0)
	}
	return c
}
