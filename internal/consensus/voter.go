package consensus

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"syscall"
	"time"
)

const (
	retryInterval    = 200 * time.Millisecond
	recoveryInterval = time.Second // after a fault of the folder that may pass by itself
)

// recruitment asks this member to get ready for a vote.
type recruitment struct {
	bootstrapID uint64
	reply       chan error
}

// voter is a candidate's way to its vote: open the folder, listen, bootstrap or rejoin, run, and begin again where
// that is safe. It belongs to one goroutine, which owns the folder from its opening to its closing.
type voter struct {
	*Node
	store     *store          // nil while it is not open
	listening <-chan struct{} // closed once the listener has ended; nil while it is not open
}

// runVoter runs until the node is closed. store and listening are nil where they could not be had yet.
func (n *Node) runVoter(store *store, listening <-chan struct{}) {
	defer n.goroutines.Done()
	v := &voter{n, store, listening}
	defer v.close()
	for n.ctx.Err() == nil {
		if !v.ready() {
			continue
		}
		n.publishStatus(v.store)
		err := v.vote()
		if err == nil {
			return
		}
		if errors.Is(err, errReleased) {
			n.log.Info("revisions: this member's vote has been given to another", "id", v.store.header.ID)
			if err = v.store.reset(); err == nil {
				continue
			}
		}
		v.store.close()
		v.store = nil
		n.waitAfter(err)
	}
}

func (v *voter) close() {
	if v.store != nil {
		v.store.close()
	}
	if v.listening != nil {
		<-v.listening
	}
}

// ready opens the folder and the listener. After a fault it waits a while and returns false.
func (v *voter) ready() bool {
	if v.store == nil {
		store, err := v.openFolder()
		if err != nil {
			v.waitAfter(err)
			return false
		}
		v.store = store
	}
	if v.listening != nil {
		return true
	}
	listening, err := v.transport.listen(v.ctx, v.cfg.Listen)
	v.listens.Store(err == nil)
	if err == nil {
		v.listening = listening
		return true
	}
	if errors.Is(err, syscall.EADDRINUSE) {
		v.setRole(Waiting, nil, "")
	} else {
		v.setRole(Faulty, errListen(err), "")
	}
	v.sleep(retryInterval)
	return false
}

// openFolder opens the folder, and tries whether it can be written.
func (n *Node) openFolder() (*store, error) {
	store, err := openStore(n.cfg.Folder, n.cfg.Cluster, n.cfg.Name, n.cfg.writeFault)
	if err != nil {
		return nil, err
	}
	if err := store.checkWritable(); err != nil {
		store.close()
		return nil, err
	}
	return store, nil
}

// waitAfter reports a fault and waits a while. If only a restart helps, it waits until the node is closed: this
// member stays a reader.
func (n *Node) waitAfter(err error) {
	var unwritable *UnwritableFolder
	switch {
	case errors.Is(err, errLocked):
		n.setRole(Waiting, nil, "")
		n.sleep(retryInterval)
	case errors.As(err, &unwritable) && unwritable.mayRecover():
		n.setRole(Faulty, err, "")
		n.sleep(recoveryInterval)
	default:
		n.setRole(Faulty, err, "")
		<-n.ctx.Done()
	}
}

func (n *Node) sleep(d time.Duration) {
	select {
	case <-n.ctx.Done():
	case <-time.After(d):
	}
}

// publishStatus lets other members ask for what the folder says.
func (n *Node) publishStatus(store *store) {
	n.status.Store(&memberStatus{Name: n.cfg.Name, ID: store.header.ID, Bootstrap: store.header.Bootstrap})
}

// vote goes from a folder, fresh or not, to a running replica, and returns why that ended; nil when the node is
// closed.
func (v *voter) vote() error {
	if v.store.header.Bootstrap.ID == 0 {
		if begun, err := v.begin(); err != nil || !begun {
			return err
		}
	}
	r, err := v.newRunner(v.store)
	if err != nil {
		return err
	}
	v.setRole(Follower, nil, "")
	header := v.store.header
	v.log.Info("revisions: this member votes, or is about to",
		"id", header.ID, "founding", header.Bootstrap.ID, "entries", header.Last)
	v.runner.Store(r)
	ctx, cancel := context.WithCancel(v.ctx)
	recruitsAnswered := make(chan struct{})
	go func() {
		defer close(recruitsAnswered)
		v.answerRecruits(ctx, r)
	}()
	err = r.run(ctx)
	cancel()
	<-recruitsAnswered
	v.runner.Store(nil)
	v.setLeader(LeaderInfo{Term: v.Leader().Term})
	signal(v.suspect)
	return err
}

// begin gives a fresh folder the bootstrap that it belongs to: its own, or that of a leader which asks this member
// to get ready. It returns false when the node is closed before.
func (v *voter) begin() (bool, error) {
	ctx, cancel := context.WithCancel(v.ctx)
	defer cancel()
	found := make(chan bootstrap)
	first := SelectVoters(v.cfg.Candidates, v.cfg.Voters)
	if slices.ContainsFunc(first, func(c Candidate) bool { return c.Name == v.cfg.Name }) {
		go v.awaitBootstrap(ctx, first, v.store.header.ID, found)
	} else {
		v.setRole(Reader, nil, "")
	}
	var b bootstrap
	var reply chan error
	select {
	case <-v.ctx.Done():
		return false, nil
	case r := <-v.recruits:
		b, reply = bootstrap{ID: r.bootstrapID}, r.reply
	case b = <-found:
	}
	err := v.store.recordBootstrap(b)
	cancel()
	if err == nil {
		v.publishStatus(v.store)
	}
	if reply != nil {
		reply <- err
	}
	return err == nil, err
}

// answerRecruits answers a leader that asks once more: a member of its bootstrap is ready already.
func (n *Node) answerRecruits(ctx context.Context, r *runner) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-n.recruits:
			if request.bootstrapID == r.state.Load().bootstrapID {
				request.reply <- nil
			} else {
				request.reply <- errOtherBootstrap(n.cfg.Name, "")
			}
		}
	}
}

func errOtherBootstrap(name, method string) error {
	return &RemoteError{
		Name:   name,
		Method: method,
		Text:   name + " belongs to another founding",
		Do:     "empty its folder and restart it",
	}
}

// awaitBootstrap finds what one of the first voters, with a fresh folder of number id, begins with. Calls to others
// may take a while; a leader that asks this member to get ready is answered meanwhile.
func (n *Node) awaitBootstrap(ctx context.Context, first []Candidate, id uint64, found chan<- bootstrap) {
	for ; ctx.Err() == nil; n.sleep(retryInterval) {
		reported := map[string]memberStatus{}
		for name, status := range n.reportedStatuses() {
			reported[name] = status.memberStatus
		}
		step := decideBootstrap(n.cfg.Cluster, first, n.cfg.Name, id, reported)
		role, begin := Bootstrapping, step.Begin
		if step.Rejoin {
			role = Rejoining
			begin = n.requestRejoin(id)
			if begin != nil && begin.ID == 0 { // no voter has this name: another has got the vote, or there were fewer
				role, begin = Reader, nil
			}
		}
		if ctx.Err() == nil {
			n.setRole(role, nil, step.Await)
		}
		if begin != nil {
			select {
			case found <- *begin:
			case <-ctx.Done():
			}
			return
		}
	}
}

// requestRejoin asks the leader for the vote of this name's earlier folder; nil while nobody has answered.
func (n *Node) requestRejoin(id uint64) *bootstrap {
	leader := n.Leader()
	if leader.Name == "" || leader.Name == n.cfg.Name {
		return nil
	}
	ctx, cancel := context.WithTimeout(n.ctx, 2*callTimeout)
	defer cancel()
	own := n.cfg.candidate(n.cfg.Name)
	body, err := json.Marshal(member{ID: id, Name: own.Name, Zone: own.Zone, Addr: own.Addr})
	if err != nil {
		return nil
	}
	answer, err := n.transport.call(ctx, leader.Name, leader.Address, methodRejoin, body)
	var bootstrapID uint64
	if err != nil || json.Unmarshal(answer, &bootstrapID) != nil {
		return nil
	}
	return &bootstrap{ID: bootstrapID}
}
