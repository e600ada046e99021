package consensus

import (
	"fmt"
	"os"
	"slices"
)

func (r *rig) trouble() {
	b := r.boxes[r.r.IntN(len(r.boxes))]
	switch r.r.IntN(14) {
	case 0, 1:
		r.kill(b)
		b.names = nil // and stays away
	case 2, 3, 4:
		if b.st == nil && b.names == nil {
			b.full = false
			r.start(b)
		}
	case 5:
		if b.st != nil && r.intact() {
			r.kill(b)
			b.full = false
			if err := os.RemoveAll(b.cfg.Folder); err != nil {
				r.t.Fatal(err)
			}
			r.lost++
			r.start(b)
		}
	case 6:
		b.full = !b.full
	case 7:
		b.stopped = !b.stopped && b.st != nil
	case 8, 9:
		clear(r.cut)
	case 10:
		for range 3 {
			r.cut[[2]int{r.r.IntN(len(r.boxes)), r.r.IntN(len(r.boxes))}] = true
		}
	case 11:
		for i := range r.boxes {
			for j := range r.boxes {
				if i%2 != j%2 {
					r.cut[[2]int{i, j}] = true
				}
			}
		}
	case 12:
		r.loss = r.r.IntN(30)
	case 13:
		for _, b := range r.boxes {
			if r.r.IntN(2) == 0 {
				r.kill(b)
				b.full = false
				r.start(b)
			}
		}
	}
}

// heal ends all faults and waits until all hold the same, with what was told as settled.
func (r *rig) heal() {
	clear(r.cut)
	r.loss = 0
	for _, b := range r.boxes {
		b.full, b.stopped = false, false
		if b.st == nil && b.names == nil {
			r.start(b)
		}
	}
	r.line++
	last := fmt.Sprint("line ", r.line)
	for round := 0; ; round++ {
		r.pass()
		if !r.settled[last] && round%20 == 0 {
			r.proposeAtLeaders(last)
		}
		if r.settled[last] && r.allHave(last) {
			break
		}
		if round > 2500 {
			r.describe()
			r.t.Fatalf("no agreement long after the last fault; %v", r.settled[last])
		}
	}
	for _, b := range r.voters() {
		for line := range r.settled {
			if !b.m.has[line] {
				r.t.Fatalf("%s has lost %q, which was told as settled", b.cfg.Name, line)
			}
		}
	}
}

// voters are the running members that vote by what they have applied.
func (r *rig) voters() (list []*box) {
	for _, b := range r.boxes {
		if b.c != nil && slices.Contains(b.c.conf.GetVoters(), b.st.header.ID) {
			list = append(list, b)
		}
	}
	return list
}

func (r *rig) proposeAtLeaders(line string) {
	for _, b := range r.boxes {
		if b.c != nil && b.c.isLeader() {
			w := wait{w: make(waiter, 1), box: b, machine: b.m, line: line}
			b.c.propose([]byte(line), w.w)
			r.waits = append(r.waits, w)
			r.work(b)
		}
	}
}

// allHave tells that there are as many voters as wanted, and all have applied the line.
func (r *rig) allHave(line string) bool {
	voters := r.voters()
	return len(voters) == r.boxes[0].cfg.Voters &&
		!slices.ContainsFunc(voters, func(b *box) bool { return !b.m.has[line] })
}

func (r *rig) describe() {
	for _, b := range r.boxes {
		if b.c == nil {
			r.t.Logf("%s doesn't run: %+v", b.cfg.Name, b.st)
			continue
		}
		r.t.Logf("%s id %x of %x: applied %d, term %d, conf %v, requests %v, leader %x, members %v",
			b.cfg.Name, b.st.header.ID, b.st.header.Bootstrap.ID, b.c.applied, b.c.term, b.c.conf, b.c.requests,
			b.c.softState.Lead, b.c.members)
	}
}

// intact tells whether another folder may get lost: as many voters stand with theirs as have to.
func (r *rig) intact() bool {
	var top *box
	for _, b := range r.boxes {
		if b.c != nil && (top == nil || b.c.applied > top.c.applied) {
			top = b
		}
	}
	if top == nil || len(top.c.conf.GetVotersOutgoing()) > 0 || len(top.c.conf.GetVoters()) < top.cfg.Voters {
		return false
	}
	whole := 0
	for _, id := range top.c.conf.GetVoters() {
		for _, b := range r.boxes {
			if b.c != nil && b.st.header.ID == id && b.c.applied+2 >= top.c.applied {
				whole++
			}
		}
	}
	return whole >= 3 && whole == len(top.c.conf.GetVoters()) // one alone has nobody to learn from
}
