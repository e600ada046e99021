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
	recoveryInterval = time.Second // retry interval after a folder fault that can clear without a restart
)

// prepareRequest asks this member to prepare for a vote.
type prepareRequest struct {
	bootstrapID uint64
	reply       chan error
}

// voterLifecycle takes a candidate to its vote: it opens the folder, listens, bootstraps or rejoins, runs a replica,
// and starts over where that is safe. It belongs to one goroutine, which owns the folder while it is open.
type voterLifecycle struct {
	*Node
	store     *store          // nil while the folder is not open
	listening <-chan struct{} // closed once the listener has ended; nil while there is none
}

// runVoter runs until the node is closed. store and listening are nil if they could not be opened yet.
func (n *Node) runVoter(store *store, listening <-chan struct{}) {
	defer n.goroutines.Done()
	v := &voterLifecycle{n, store, listening}
	defer v.close()
	for n.ctx.Err() == nil {
		if !v.acquire() {
			continue
		}
		n.publishStatus(v.store)
		err := v.vote()
		if err == nil {
			return
		}
		if errors.Is(err, errVoteReleased) {
			n.log.Info("revisions: this member's vote was given to another member", "id", v.store.header.ID)
			if err = v.store.reset(); err == nil {
				continue
			}
		}
		v.store.close()
		v.store = nil
		n.waitAfter(err)
	}
}

func (v *voterLifecycle) close() {
	if v.store != nil {
		v.store.close()
	}
	if v.listening != nil {
		<-v.listening
	}
}

// acquire opens the folder and the listener. After a fault it waits before it returns false.
func (v *voterLifecycle) acquire() bool {
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
	v.ownsAddress.Store(err == nil)
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

// openFolder opens the folder and checks that it can be written.
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

// waitAfter reports a fault and waits for the retry interval. After a fault that needs a restart it waits until the
// node is closed: this member stays a reader.
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

// publishStatus makes the status of the folder available to calls of other members.
func (n *Node) publishStatus(store *store) {
	n.status.Store(&memberStatus{Name: n.cfg.Name, ID: store.header.ID, Bootstrap: store.header.Bootstrap})
}

// vote runs a replica on the open folder, after its bootstrap if the folder is fresh. It returns the error that ended
// the replica, nil if the node is closed.
func (v *voterLifecycle) vote() error {
	if v.store.header.Bootstrap.ID == 0 {
		if begun, err := v.initBootstrap(); err != nil || !begun {
			return err
		}
	}
	r, err := v.newRunner(v.store)
	if err != nil {
		return err
	}
	v.setRole(Follower, nil, "")
	header := v.store.header
	v.log.Info("revisions: replica started",
		"id", header.ID, "founding", header.Bootstrap.ID, "entries", header.Last)
	v.runner.Store(r)
	ctx, cancel := context.WithCancel(v.ctx)
	prepareDone := make(chan struct{})
	go func() {
		defer close(prepareDone)
		v.answerPrepareRequests(ctx, r)
	}()
	err = r.run(ctx)
	cancel()
	<-prepareDone
	v.runner.Store(nil)
	v.setLeader(LeaderInfo{Term: v.Leader().Term})
	signal(v.leaderSuspect)
	return err
}

// initBootstrap records the bootstrap of a fresh folder: the one this member finds among the first voters, or that of
// a leader that asks it to prepare for a vote. It returns false if the node is closed before.
func (v *voterLifecycle) initBootstrap() (bool, error) {
	ctx, cancel := context.WithCancel(v.ctx)
	defer cancel()
	found := make(chan bootstrap)
	firstVoters := SelectVoters(v.cfg.Candidates, v.cfg.Voters)
	if slices.ContainsFunc(firstVoters, func(c Candidate) bool { return c.Name == v.cfg.Name }) {
		go v.awaitBootstrap(ctx, firstVoters, v.store.header.ID, found)
	} else {
		v.setRole(Reader, nil, "")
	}
	var b bootstrap
	var reply chan error
	select {
	case <-v.ctx.Done():
		return false, nil
	case r := <-v.prepareRequests:
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

// answerPrepareRequests answers repeated requests of a leader while the replica runs: a member of the leader's
// bootstrap is prepared already.
func (n *Node) answerPrepareRequests(ctx context.Context, r *runner) {
	for {
		select {
		case <-ctx.Done():
			return
		case request := <-n.prepareRequests:
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
		Text:   name + " belongs to another bootstrap",
		Do:     "empty its folder and restart it",
	}
}

// awaitBootstrap finds the bootstrap of one of the first voters, whose fresh folder has the given ID. It runs on a
// goroutine of its own because calls to other members are slow, and a leader's request is answered meanwhile.
func (n *Node) awaitBootstrap(ctx context.Context, firstVoters []Candidate, id uint64, found chan<- bootstrap) {
	for ; ctx.Err() == nil; n.sleep(retryInterval) {
		reported := map[string]memberStatus{}
		for name, status := range n.queryStatuses() {
			reported[name] = status.memberStatus
		}
		step := decideBootstrap(n.cfg.Cluster, firstVoters, n.cfg.Name, id, reported)
		role, begin := Bootstrapping, step.Begin
		if step.Rejoin {
			role = Rejoining
			begin = n.requestRejoin(id)
			if begin != nil && begin.ID == 0 { // no voter has this name: another member has the vote, or there were fewer voters
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

// requestRejoin asks the leader for the vote of this member's earlier folder; nil if there is no answer.
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
