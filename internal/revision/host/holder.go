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
	// minRenewTimeout is the shortest timeout of a renewal call.
	minRenewTimeout = time.Second
	// maxCalls is the number of calls in flight above which no further call is started.
	maxCalls = 3
	// minRetryDelay is the shortest delay between a failed call and the next one.
	minRetryDelay = 10 * time.Millisecond
	// minIdleInterval is the shortest interval between steps of the lease holder while it has nothing to do.
	minIdleInterval = 5 * time.Millisecond
	// minTimerWait is the shortest timer of the lease holder, which keeps its loop from spinning.
	minTimerWait = time.Millisecond
)

// Intervals of the lease holder, as divisors of the lease duration.
const (
	renewalsPerLease  = 8  // between renewals
	retriesPerLease   = 16 // before a retry after a failed call
	idleStepsPerLease = 64 // between steps while no leader answers
)

// leaseHolder holds this balancer's lease in a goroutine of its own: it joins, renews and leaves, and publishes the
// member's lease. It passes an acknowledgement on to the leader only after the proxy's loop has given it.
type leaseHolder struct {
	*Host
	member *revision.Member
	log    *slog.Logger

	calls        int // in flight
	lastCall     time.Duration
	nextCall     time.Duration
	calledLeader consensus.LeaderInfo // the leader that the last call was sent to
	knownLeader  consensus.LeaderInfo // the leader at the last step
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
	seq         uint64 // of a renewal; 0 for a call to leave
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

// untilNextStep returns the time until the next call or the expiry of the lease, whichever is earlier.
func (h *leaseHolder) untilNextStep() time.Duration {
	wait := max(h.nextCall-h.now(), 0)
	if l := h.member.Lease(); l.Phase == revision.Active && l.Until != revision.NoExpiry {
		wait = min(wait, max(l.Until-h.now(), 0))
	}
	return max(wait, minTimerWait)
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
	case h.left || leader.Name == "" || h.calls > maxCalls: // no call to make, no leader, or calls remain unanswered
	case h.member.HasLeft():
		if h.calls == 0 {
			h.callLeave(leader)
		}
	case h.member.Lease().Phase == revision.Released: // wait for the loop's acknowledgement
	case h.calls > 0 && sameLeader(leader, h.calledLeader) && now < h.lastCall+h.cfg.Lease/2: // await the answer
	case now >= h.nextCall:
		h.nextCall = now + h.cfg.Lease/renewalsPerLease
		h.callRenew(leader, now)
	}
	if h.nextCall <= now {
		h.nextCall = now + max(h.cfg.Lease/idleStepsPerLease, minIdleInterval)
	}
}

func sameLeader(a, b consensus.LeaderInfo) bool { return a.Term == b.Term && a.Name == b.Name }

// callRenew asks the leader for a renewal. A grant counts from requestedAt, which is read before the request is sent.
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
		request.Links = h.cfg.Bandwidth.NextRequest()
	}
	timeout := max(h.cfg.Lease, minRenewTimeout)
	h.startCall(leader, requestedAt, func() answer {
		a := answer{seq: request.Seq, requestedAt: requestedAt}
		a.err = h.callLeader(leader, methodRenew, request, &a.reply, timeout)
		return a
	})
}

// callLeave notifies the leader that this process has given up its lease.
func (h *leaseHolder) callLeave(leader consensus.LeaderInfo) {
	holder := h.member.Holder
	h.startCall(leader, h.now(), func() answer {
		return answer{err: h.callLeader(leader, methodLeave, holder, nil, callTimeout)}
	})
}

// startCall runs a call to the leader in a goroutine of its own. The call's timeout bounds the goroutine's life.
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

// callLeader calls a method of the leader with a JSON request; reply is nil for methods whose answer has no body.
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
		h.nextCall = now + max(h.cfg.Lease/retriesPerLease, minRetryDelay)
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
		h.cfg.Bandwidth.ApplyResponse(a.reply.Links, h.base.Add(a.requestedAt))
	}
	if a.reply.Known || h.joining {
		return
	}
	h.nextCall = now + minRetryDelay
	if !h.member.HasText() {
		return
	}
	if h.member.Incompatibility() == "" {
		h.join()
		return
	}
	h.nextCall = now + h.cfg.Lease/renewalsPerLease // retry until the settings are compatible
}

func (h *leaseHolder) handleLeft() {
	h.left = true
	h.released.Store(true)
	for _, done := range h.leaving {
		close(done)
	}
}

// join adds this process to the lease holders, after its process file lets other processes of this balancer detect
// its end.
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
			h.log.Warn("revisions: other processes will not detect the end of this process", "err", hint.Line(err))
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
		h.nextCall = h.now() + h.cfg.Lease/retriesPerLease
	}
}

// logAnswer logs the first failure of calls to the leader, and the first success after failures.
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
