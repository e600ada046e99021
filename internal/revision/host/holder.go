package host

import (
	"context"
	"encoding/json"
	"log/slog"
	"time"

	"oatloft/internal/consensus"
	"oatloft/internal/hint"
	"oatloft/internal/revision"
)

const (
	// callTimeout bounds a call to join or to leave, and one that reports an ended process.
	callTimeout = 2 * time.Second
	// minRenewTimeout is the least time a renewal's answer is waited for.
	minRenewTimeout = time.Second
	// maxCalls is how many calls to leaders may be under way.
	maxCalls = 3
	// minRetryAfter is the least time between a failed call and the next one.
	minRetryAfter = 10 * time.Millisecond
	// minIdle is the least time between two looks of the lease holder that have nothing to do.
	minIdle = 5 * time.Millisecond
	// minWait keeps the lease holder's timer from spinning.
	minWait = time.Millisecond
)

// Parts of a lease's length after which a lease holder acts.
const (
	renewParts = 8  // renews in the usual case
	retryParts = 16 // calls again after a failure
	idleParts  = 64 // looks again while no leader answers
)

// leaseHolder is the goroutine that holds this balancer's lease: it joins, renews and leaves, and publishes what
// the member says. It reports an acknowledgement to the leader only once the proxy's loop has given it.
type leaseHolder struct {
	*Host
	member *revision.Member
	log    *slog.Logger

	calls        int // under way
	lastCall     time.Duration
	nextCall     time.Duration
	calledLeader consensus.LeaderInfo // to which the calls under way were sent
	knownLeader  consensus.LeaderInfo // as last seen
	answers      chan answer
	joined       chan error
	joining      bool
	leaving      []chan struct{} // closed once this process has left
	left         bool
	callFailure  string // why the last call failed; empty after a success

	published published
}

// answer is the outcome of a call to the leader.
type answer struct {
	seq         uint64 // of a renewal; 0 for the call to leave
	requestedAt time.Duration
	reply       revision.RenewReply
	err         error
}

func newLeaseHolder(h *Host, member *revision.Member) *leaseHolder {
	return &leaseHolder{
		Host:      h,
		member:    member,
		log:       h.log,
		answers:   make(chan answer, maxCalls+1),
		joined:    make(chan error, 1),
		published: published{activeNumber: noNumber},
	}
}

func (h *leaseHolder) run() {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-h.ctx.Done():
			return
		case <-timer.C:
		case <-h.wakeHolder:
		case done := <-h.leave:
			h.leaving = append(h.leaving, done)
			h.member.Leave()
		case a := <-h.answers:
			h.handleAnswer(a)
		case err := <-h.joined:
			h.handleJoined(err)
		}
		h.step()
		timer.Reset(h.untilNextStep())
	}
}

// untilNextStep returns when to look again: at the next call, or when the lease expires.
func (h *leaseHolder) untilNextStep() time.Duration {
	wait := max(h.nextCall-h.now(), 0)
	if l := h.member.Lease(); l.Phase == revision.Active && l.Until != revision.NoExpiry {
		wait = min(wait, max(l.Until-h.now(), 0))
	}
	return max(wait, minWait)
}

func (h *leaseHolder) step() {
	h.collectAcks()
	h.member.Tick(h.now())
	h.publish()
	leader := h.node.Leader()
	now := h.now()
	if !sameLeader(leader, h.knownLeader) {
		h.knownLeader, h.nextCall = leader, now
	}
	switch {
	case h.left || leader.Name == "" || h.calls > maxCalls: // nobody to call, or nobody answers
	case h.member.HasLeft():
		if h.calls == 0 {
			h.callLeave(leader)
		}
	case h.member.Lease().Phase == revision.Released: // until the loop has acknowledged it
	case h.calls > 0 && sameLeader(leader, h.calledLeader) && now < h.lastCall+h.cfg.Lease/2: // an answer may still come
	case now >= h.nextCall:
		h.nextCall = now + h.cfg.Lease/renewParts
		h.callRenew(leader, now)
	}
	if h.nextCall <= now {
		h.nextCall = now + max(h.cfg.Lease/idleParts, minIdle)
	}
}

func sameLeader(a, b consensus.LeaderInfo) bool { return a.Term == b.Term && a.Name == b.Name }

// callRenew asks the leader for a renewal. A grant counts from requestedAt, which was read before anything was sent.
func (h *leaseHolder) callRenew(leader consensus.LeaderInfo, requestedAt time.Duration) {
	request := h.member.NextRequest()
	totals := &h.totals
	request.Totals = revision.Totals{
		Requests: totals[0].Load(),
		Rejected: totals[1].Load(),
		Failed:   totals[2].Load(),
		Late:     totals[3].Load(),
	}
	if h.cfg.Bandwidth != nil {
		request.Links = h.cfg.Bandwidth.Demand()
	}
	timeout := max(h.cfg.Lease, minRenewTimeout)
	h.startCall(leader, requestedAt, func() answer {
		a := answer{seq: request.Seq, requestedAt: requestedAt}
		a.err = h.callLeader(leader, methodRenew, request, &a.reply, timeout)
		return a
	})
}

// callLeave tells the leader that this process has given its lease back.
func (h *leaseHolder) callLeave(leader consensus.LeaderInfo) {
	holder := h.member.Holder
	h.startCall(leader, h.now(), func() answer {
		return answer{err: h.callLeader(leader, methodLeave, holder, nil, callTimeout)}
	})
}

// startCall runs a call to the leader in a goroutine of its own, which ends with the call's timeout.
func (h *leaseHolder) startCall(leader consensus.LeaderInfo, now time.Duration, call func() answer) {
	h.calls++
	h.lastCall, h.calledLeader = now, leader
	go func() {
		a := call()
		select {
		case h.answers <- a:
		case <-h.ctx.Done():
		}
	}()
}

// callLeader calls a method of the leader with a JSON request; reply is nil where the answer carries nothing.
func (h *Host) callLeader(
	leader consensus.LeaderInfo, method string, request, reply any, timeout time.Duration,
) error {
	body, err := json.Marshal(request)
	if err != nil {
		return err
	}
	answer, err := h.callLeaderRaw(leader, method, body, timeout)
	if err != nil || reply == nil {
		return err
	}
	return json.Unmarshal(answer, reply)
}

// callLeaderRaw calls a method of the leader, which may be this process.
func (h *Host) callLeaderRaw(
	leader consensus.LeaderInfo, method string, body []byte, timeout time.Duration,
) ([]byte, error) {
	ctx, cancel := context.WithTimeout(h.ctx, timeout)
	defer cancel()
	if leader.IsSelf {
		return h.serve(ctx, h.cfg.Name, method, body)
	}
	return h.node.Call(ctx, leader.Name, method, body)
}

func (h *leaseHolder) handleAnswer(a answer) {
	h.calls--
	now := h.now()
	if a.err != nil {
		h.logAnswer(a.err)
		h.nextCall = now + max(h.cfg.Lease/retryParts, minRetryAfter)
		return
	}
	if a.seq == 0 {
		h.handleLeft()
		return
	}
	h.member.HandleReply(now, a.requestedAt, a.seq, a.reply)
	h.logAnswer(nil)
	h.nextCall = now + a.reply.RenewAfter
	if h.cfg.Bandwidth != nil && a.reply.Links != nil {
		h.cfg.Bandwidth.Granted(a.reply.Links, h.base.Add(a.requestedAt))
	}
	if a.reply.Known || h.joining {
		return
	}
	h.nextCall = now + minRetryAfter
	if !h.member.HasText() {
		return
	}
	if h.member.Incompatibility() == "" {
		h.join()
		return
	}
	h.nextCall = now + h.cfg.Lease/renewParts // until the settings fit
}

func (h *leaseHolder) handleLeft() {
	h.left = true
	h.released.Store(true)
	for _, done := range h.leaving {
		close(done)
	}
}

// join has this process listed among the holders, once other processes of this balancer can see when it ends.
func (h *leaseHolder) join() {
	h.joining = true
	leader, generation := h.node.Leader(), h.member.Holder.Generation
	request := revision.Command{
		Op:                   revision.OpJoin,
		Holder:               h.member.Holder,
		KeepLeaseOnPartition: h.cfg.KeepLeaseOnPartition,
		Ended:                h.cfg.PredecessorEnded,
	}
	go func() {
		if err := h.processes.create(generation); err != nil { // not fatal: the next process or an operator ends the lease
			h.log.Warn("revisions: nobody will see this process end", "err", hint.Line(err))
		}
		err := h.callLeader(leader, methodJoin, request, nil, callTimeout)
		select {
		case h.joined <- err:
		case <-h.ctx.Done():
		}
	}()
}

func (h *leaseHolder) handleJoined(err error) {
	h.joining = false
	h.logAnswer(err)
	h.nextCall = 0
	if err != nil {
		h.nextCall = h.now() + h.cfg.Lease/retryParts
	}
}

// logAnswer logs when calls begin to fail, and when they succeed again.
func (h *leaseHolder) logAnswer(err error) {
	failure := ""
	if err != nil {
		failure = err.Error()
	}
	switch {
	case failure != "" && h.callFailure == "":
		h.log.Debug("revisions: the leader does not answer", "err", failure)
	case failure == "" && h.callFailure != "":
		h.log.Debug("revisions: the leader answers")
	}
	h.callFailure = failure
}
