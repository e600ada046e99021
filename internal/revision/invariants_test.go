package revision

import (
	"fmt"
	"slices"
)

// checkInvariants checks that the active processes use the revision in force, and that it is compatible with them.
func (w *world) checkInvariants() {
	inForce := w.state.InForce()
	for i := range w.processes {
		p := &w.processes[i]
		if p.dead || !p.loopLease.Allows(w.now) {
			continue
		}
		if p.loopLease.Number != inForce.Number || p.loopLease.Hash != inForce.Hash {
			w.fail("%s is active by revision %d, but %d is in force", p.member.Holder, p.loopLease.Number, inForce.Number)
		}
		if err := checkFor(i)(p.loopLease.Text); err != nil {
			w.fail("%s is active by revision %d, which is incompatible with it", p.member.Holder, p.loopLease.Number)
		}
		if p.left && !p.loopBlocked {
			w.fail("%s has left but is active", p.member.Holder)
		}
	}
}

// checkCommitted checks the committed state after command c.
func (w *world) checkCommitted(before *State, c Command) {
	if w.state.InForce().Number > before.InForce().Number {
		w.committedHashes = append(slices.Clone(w.committedHashes), w.state.InForce().Hash)
		for _, r := range before.Holders {
			if checkFor(int(r.Name[0]-'a'))(w.state.InForce().Text) != nil {
				w.fail("%s is listed and has not accepted revision %d, which is in force", r.Holder, w.state.InForce().Number)
			}
		}
	}
	keys := map[string]bool{}
	for i := range w.state.History {
		r := &w.state.History[i]
		if r.Number >= uint64(len(w.committedHashes)) || w.committedHashes[r.Number] != r.Hash {
			w.fail("revision %d was lost or changed by %s", r.Number, c.Op)
		}
		if r.Number > 0 && r.Base != r.Number-1 {
			w.fail("revision %d is based on %d", r.Number, r.Base)
		}
		if r.Number > 0 && keys[r.Key] {
			w.fail("key %s made two revisions", r.Key)
		}
		keys[r.Key] = true
	}
	for _, o := range w.state.Outcomes {
		if o.Number == 0 && keys[o.Key] {
			w.fail("the proposal with key %s was aborted, but is in force", o.Key)
		}
	}
}

func (w *world) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// converge continues a copy without further faults and reports what is still wrong at the end, or "" if all processes
// are active.
func (w *world) converge() string {
	c := w.withoutFaults()
	for round := range 60 {
		for range 2 {
			for i := range c.processes {
				if !c.processes[i].left {
					c.renew(i, 0)
				}
			}
			c.runLeader()
			c.checkInvariants()
		}
		if c.violation != "" {
			return "without faults: " + c.violation
		}
		done := c.state.Pending == nil
		for i := range c.processes {
			p := &c.processes[i]
			// A process whose lease had expired was not asked, so that the revision may be incompatible with it.
			done = done && (p.left || p.loopLease.Allows(c.now) || checkFor(i)(c.state.InForce().Text) != nil)
		}
		if done {
			return ""
		}
		if round%2 == 1 {
			c.now += tickDuration
			for i := range c.processes {
				c.processes[i].member.Tick(c.now)
				c.runLoop(i)
			}
		}
	}
	return fmt.Sprintf("not all processes are active after a time without faults: pending %v, %v %v %v",
		c.state.Pending, c.processes[0].member.lease, c.processes[1].member.lease, c.processes[2].member.lease)
}

// withoutFaults returns a copy in which nothing is delayed, all processes run and one of them leads.
func (w *world) withoutFaults() *world {
	c := w.clone("calm")
	c.delayed, c.faults, c.delayNextCommand = nil, 0, false
	for i := range c.processes {
		p := &c.processes[i]
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
