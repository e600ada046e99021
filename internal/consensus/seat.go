package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"syscall"
	"time"
)

// How a candidate comes by its vote, keeps and loses it: this file owns the folder from its opening to its closing, and
// the order of the steps: open, listen, found or be taken in, run, begin anew where that is safe. It must never write
// to a folder that was refused.

const (
	lookAgain = 200 * time.Millisecond
	mendAgain = time.Second
)

// hold runs until the node is closed. st and listening are nil where Start couldn't have them yet.
func (n *Node) hold(st *store, listening <-chan struct{}) {
	defer n.all.Done()
	defer func() {
		if st != nil {
			st.close()
		}
		if listening != nil {
			<-listening
		}
	}()
	for n.ctx.Err() == nil {
		if st == nil {
			var err error
			if st, err = n.open(); err != nil {
				if !n.pause(err) {
					return
				}
				continue
			}
		}
		if listening == nil {
			var err error
			listening, err = n.w.listen(n.ctx, n.cfg.Listen)
			if n.listens.Store(err == nil); err != nil {
				listening = nil
				if errors.Is(err, syscall.EADDRINUSE) {
					n.say(Waiting, nil, "")
				} else {
					n.say(Broken, &Misconfigured{Field: "listen", Why: oneLine(err), Do: "name an address of this machine"}, "")
				}
				n.sleep(lookAgain)
				continue
			}
		}
		n.stand(st)
		err := n.serveSeat(st)
		switch {
		case err == nil:
			return
		case errors.Is(err, errReleased):
			n.log.Info("revisions: this member's vote has been given to another", "id", st.h.ID)
			if err = st.reset(); err == nil {
				continue
			}
		}
		st.close()
		st = nil
		if !n.pause(err) {
			return
		}
	}
}

// open opens the folder, and tries whether it can be written.
func (n *Node) open() (*store, error) {
	st, err := openStore(n.cfg.Folder, n.cfg.Cluster, n.cfg.Name, n.cfg.fault)
	if err != nil {
		return nil, err
	}
	if err := st.probe(); err != nil {
		st.close()
		return nil, err
	}
	return st, nil
}

// pause tells what is wrong, and waits a while; false if only a restart helps, and this member stays a reader till then.
func (n *Node) pause(err error) bool {
	var unwritable *Unwritable
	switch {
	case errors.Is(err, errLocked):
		n.say(Waiting, nil, "")
		n.sleep(lookAgain)
		return true
	case errors.As(err, &unwritable) && unwritable.later():
		n.say(Broken, err, "")
		n.sleep(mendAgain)
		return true
	}
	n.say(Broken, err, "")
	for n.ctx.Err() == nil {
		n.sleep(time.Minute)
	}
	return false
}

func (n *Node) sleep(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

// stand tells others what the folder says.
func (n *Node) stand(st *store) {
	n.standing.Store(&standing{Name: n.cfg.Name, ID: st.h.ID, Founded: st.h.Founded})
}

// serveSeat goes from a folder, fresh or not, to a running engine, and returns why that ended; nil when closed.
func (n *Node) serveSeat(st *store) error {
	drawn := Draw(n.cfg.Candidates, n.cfg.Voters)
	mine := slices.ContainsFunc(drawn, func(c Candidate) bool { return c.Name == n.cfg.Name })
	if st.h.Founded.Number == 0 {
		ctx, cancel := context.WithCancel(n.ctx)
		defer cancel()
		begins := make(chan founding)
		if mine {
			go n.seek(ctx, drawn, st.h.ID, begins)
		} else {
			n.say(Reader, nil, "")
		}
		var f founding
		var reply chan error
		select {
		case <-n.ctx.Done():
			return nil
		case x := <-n.enlists:
			f, reply = founding{Number: x.founding}, x.reply
		case f = <-begins:
		}
		err := st.begin(f)
		if cancel(); err == nil {
			n.stand(st)
		}
		if reply != nil {
			reply <- err
		}
		if err != nil {
			return err
		}
	}
	e, err := n.newEngine(st)
	if err != nil {
		return err
	}
	n.say(Follower, nil, "")
	n.log.Info("revisions: this member votes, or is about to", "id", st.h.ID, "founding", st.h.Founded.Number, "entries", st.h.Last)
	n.eng.Store(e)
	ctx, cancel := context.WithCancel(n.ctx)
	over := make(chan struct{})
	go func() { // who is asked twice is told the same
		defer close(over)
		for {
			select {
			case <-ctx.Done():
				return
			case x := <-n.enlists:
				if x.founding == e.state.Load().founding {
					x.reply <- nil
				} else {
					x.reply <- &Answered{Name: n.cfg.Name, Text: n.cfg.Name + " belongs to another founding", Do: "empty its folder and restart it"}
				}
			}
		}
	}()
	err = e.run(ctx)
	cancel()
	<-over
	n.eng.Store(nil)
	n.setLead(Lead{Term: n.Lead().Term})
	select {
	case n.suspect <- struct{}{}:
	default:
	}
	return err
}

// seek looks, for a drawn voter with a fresh folder of that number, for what to begin with. It asks others, which may take a
// while: a leader that asks this member to get ready is answered meanwhile.
func (n *Node) seek(ctx context.Context, drawn []Candidate, id uint64, begins chan<- founding) {
	for ; ctx.Err() == nil; n.sleep(lookAgain) {
		said := map[string]standing{}
		for name, t := range n.standings() {
			said[name] = t.standing
		}
		step := foundDecision(n.cfg.Cluster, drawn, n.cfg.Name, id, said)
		role, begin := Founding, step.Found
		if step.Return {
			role = Returning
			if begin = n.comeBack(id); begin != nil && begin.Number == 0 {
				role, begin = Reader, nil // no voter has this name: another has got the vote, or there were fewer
			}
		}
		if ctx.Err() == nil {
			n.say(role, nil, step.Await)
		}
		if begin != nil {
			select {
			case begins <- *begin:
			case <-ctx.Done():
			}
			return
		}
	}
}

// comeBack asks the leader for the vote of this name's earlier folder; nil while nobody has answered.
func (n *Node) comeBack(id uint64) *founding {
	l := n.Lead()
	if l.Leader == "" || l.Leader == n.cfg.Name {
		return nil
	}
	ctx, cancel := context.WithTimeout(n.ctx, 2*askWithin)
	defer cancel()
	c := n.cfg.candidate(n.cfg.Name)
	body, _ := json.Marshal(seat{ID: id, Name: c.Name, Zone: c.Zone, Addr: c.Addr})
	out, err := n.w.call(ctx, l.Leader, l.Addr, methodReturn, body)
	var f uint64
	if err != nil || json.Unmarshal(out, &f) != nil {
		return nil
	}
	return &founding{Number: f}
}

// Status tells how this member stands.
func (n *Node) Status() Status {
	n.mu.Lock()
	s := Status{Role: n.role, Fault: n.fault, Awaiting: n.awaiting}
	n.mu.Unlock()
	s.Lead, s.In, s.Out, s.Dropped, s.Refused = n.Lead(), n.w.in.Load(), n.w.out.Load(), n.dropped.Load(), n.w.refused.Load()
	if x := n.standing.Load(); x != nil {
		s.ID, s.Founded = x.ID, x.Founded.Number
	}
	e := n.eng.Load()
	if e == nil {
		return s
	}
	x := e.state.Load()
	switch s.Role = Follower; {
	case x.mine:
		s.Role = Leading
	case x.learner:
		s.Role = Learner
	}
	s.Applied, s.Settled, s.First, s.Bytes = x.applied, x.settled, x.first, x.bytes
	for id, m := range x.seats {
		v := Voter{ID: id, Name: m.Name, Zone: m.Zone, Learner: !slices.Contains(x.conf.GetVoters(), id)}
		if m.For != 0 {
			v.For = x.seats[m.For].Name
		}
		if i := slices.IndexFunc(x.view, func(s seen) bool { return s.ID == id }); i >= 0 {
			v.Match, v.Quiet = x.view[i].Match, time.Duration(x.view[i].Quiet)*n.cfg.Tick
		}
		s.Voters = append(s.Voters, v)
	}
	slices.SortFunc(s.Voters, func(a, b Voter) int {
		if a.Name != b.Name {
			if a.Name < b.Name {
				return -1
			}
			return 1
		}
		return cmpID(a.ID, b.ID)
	})
	return s
}
