package core

import (
	"cmp"
	"slices"
	"time"

	"oatloft/policy"
)

// finalAnswerMargin is how long before the client's timeout its final answer is sent.
const finalAnswerMargin = 15 * time.Millisecond

// requestState is the progress of a request.
type requestState uint8

const (
	waiting     requestState = iota // no attempt is pending
	dialing                         // an attempt's connection is being established
	sending                         // the request is being sent to the server
	sent                            // the request was sent completely; the server may have run it
	established                     // bytes are forwarded in both directions
)

// request is a client's request, from its arrival until its connection is closed.
type request struct {
	policy.Request
	client             Handle
	establishedServer  string // server of a connection from before this process; "" for a new request
	state              requestState
	deadline           time.Duration
	clientHalfClosedAt time.Duration // or time of the last data sent to the client after it; 0 if open
	attempt            attempt
	mayHaveRunAt       time.Duration // when the first attempt that may have run was sent; 0 for none
	traffic            traffic
	migration          pendingMigration
}

// isNew reports whether the module selects the server: the request's connection was not established before this
// process started.
func (q *request) isNew() bool { return q.establishedServer == "" }

// requestTable holds all open requests.
type requestTable struct {
	byClient   map[Handle]*request
	byID       map[string]*request
	unanswered int // number of requests without a final answer
}

func (t *requestTable) add(q *request) {
	t.byClient[q.client] = q
	t.byID[q.ID] = q
	t.unanswered++
}

func (t *requestTable) remove(q *request) {
	delete(t.byClient, q.client)
	delete(t.byID, q.ID)
}

func (t *requestTable) has(q *request) bool { return t.byClient[q.client] == q }

// sorted returns the requests ordered by handle, so that the same events always have the same effects.
func (t *requestTable) sorted() []*request {
	list := make([]*request, 0, len(t.byClient))
	for _, q := range t.byClient {
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.client, b.client) })
	return list
}

// established returns the client's request if its connection is established, else nil.
func (t *requestTable) established(client Handle) *request {
	q := t.byClient[client]
	if q == nil || q.state != established {
		return nil
	}
	return q
}

// Unanswered returns the number of requests without a final answer.
func (r *Reducer) Unanswered() int { return r.requests.unanswered }

// OpenRequests returns the number of open requests, including those with an established connection.
func (r *Reducer) OpenRequests() int { return len(r.requests.byClient) }

// mayHaveRun reports whether a server may have run the request.
func (q *request) mayHaveRun() bool { return q.mayHaveRunAt > 0 || q.state >= sending }

// continuesConnection reports whether the request continues a connection that a server holds already: the server does
// not run it again.
func (q *request) continuesConnection() bool { return q.MidFlow || !q.isNew() }

// requestReceived handles a new request. A request that is invalid for any server is answered as failed: one with a
// class that is not configured, a second one of the same client, or one whose id is in use here or has been.
func (r *Reducer) requestReceived(event RequestReceived) {
	r.idle.remove(event.Client)
	r.Counters.Requests++
	q := &request{
		Request:           event.Request,
		client:            event.Client,
		establishedServer: event.EstablishedServer,
		attempt:           attempt{number: -1},
	}
	if !r.isValid(q) {
		r.Counters.InvalidRequests++
		r.Counters.Failed++
		r.emit(Answer{Client: event.Client})
		return
	}
	q.Timeout = r.limitTimeout(max(0, q.Timeout-finalAnswerMargin))
	q.deadline = r.now + q.Timeout
	r.requests.add(q)
	r.timers.set(q.deadline, timer{kind: deadlineTimer, client: q.client})
	if q.MidFlow {
		r.Counters.MidFlow++
	}
	r.takeOverFlow(q)
	if !q.isNew() {
		r.reestablish(q)
		return
	}
	r.decide(q.Request)
}

func (r *Reducer) isValid(q *request) bool {
	_, classKnown := r.classes.byName[q.Class]
	isOpen := r.requests.byClient[q.client] != nil || r.requests.byID[q.ID] != nil
	hasRun := r.recent.has(q.ID) && !q.continuesConnection()
	return classKnown && !isOpen && !hasRun
}

// sentByOtherProcess answers a request as failed, since another process of this balancer has sent one with its id.
func (r *Reducer) sentByOtherProcess(event SentByOtherProcess) {
	q := r.requests.byClient[event.Client]
	if q == nil || q.state == established || q.continuesConnection() {
		return
	}
	r.Counters.InvalidRequests++
	r.Counters.Failed++
	r.emit(Answer{Client: q.client, Reason: reasonSentByOther})
	r.abandonRequest(q)
}

// reestablish re-establishes a connection from before this process on the same server, once that is listed. The
// module is not consulted: the platform assigns the server.
func (r *Reducer) reestablish(q *request) {
	if e := r.endpoints.byID[q.establishedServer]; e != nil && q.state == waiting {
		r.dial(q, e, q.deadline)
	}
}

// invalidRequest answers a client that violated the protocol.
func (r *Reducer) invalidRequest(event InvalidRequest) {
	r.idle.remove(event.Client)
	if q := r.requests.byClient[event.Client]; q != nil {
		r.abandonRequest(q)
	} else {
		r.Counters.Requests++
	}
	r.Counters.Failed++
	r.emit(Answer{Client: event.Client})
}

// clientClosed handles the end of a client's connection. A client that closed only its sending direction still awaits
// its answer.
func (r *Reducer) clientClosed(event ClientClosed) {
	r.idle.remove(event.Client)
	q := r.requests.byClient[event.Client]
	if q == nil {
		return
	}
	switch {
	case event.Reason == CloseEOF && q.state == established:
		r.Counters.ClosedByClient++
		r.emit(CloseServer{Client: q.client, Reason: CloseEOF})
		q.clientHalfClosedAt = r.now
	case event.Reason == CloseEOF:
		q.clientHalfClosedAt = r.now
		if q.isNew() {
			r.decide(policy.ClientDisconnected{ID: q.ID, HalfClosed: true})
		}
	case q.state == established:
		r.Counters.ClosedByClient++
		r.emit(CloseServer{Client: q.client, Reason: CloseReset})
		r.connectionClosed(q, policy.ResultCanceled)
	default:
		r.Counters.ClientsDisconnected++
		r.abandonRequest(q)
	}
}

// abandonRequest closes a request whose client no longer awaits an answer, or is answered by the caller.
func (r *Reducer) abandonRequest(q *request) {
	if q.state == established {
		r.emit(CloseServer{Client: q.client, Reason: CloseEOF})
		r.connectionClosed(q, policy.ResultCanceled)
		return
	}
	r.closePendingAttempt(q)
	r.requests.unanswered--
	r.finish(q, policy.ClientDisconnected{ID: q.ID})
}

// rejectRequest performs the module's Reject.
func (r *Reducer) rejectRequest(action policy.Reject) {
	if q := r.requests.byID[action.ID]; q != nil && q.state != established {
		r.Counters.Rejected++
		r.answer(q, Answer{Rejected: true, RetryAfter: action.RetryAfter, Reason: action.Reason})
	}
}

// failRequest performs the module's Fail.
func (r *Reducer) failRequest(action policy.Fail) {
	if q := r.requests.byID[action.ID]; q != nil && q.state != established {
		r.Counters.Failed++
		r.answer(q, Answer{Reason: action.Reason})
	}
}

// answer sends the final answer of a request that is finished for the module.
func (r *Reducer) answer(q *request, answer Answer) {
	r.closePendingAttempt(q)
	r.requests.unanswered--
	answer.Client = q.client
	r.emit(answer)
	r.finish(q, nil)
}

// deadlinePassed guarantees a final answer: it first reports the timeout of a pending attempt to the module, and if
// the module does not answer the request, answers it as failed.
func (r *Reducer) deadlinePassed(q *request) {
	if q == nil || q.state == established || r.now < q.deadline {
		return
	}
	if q.state != waiting {
		r.abandonAttempt(q, q.timeoutResult(), reasonDeadline)
	}
	if r.requests.has(q) && q.state != established {
		r.Counters.Failed++
		r.emit(Answer{Client: q.client, Reason: reasonDeadline})
		r.abandonRequest(q)
	}
}

// connectionClosed finishes a request whose connection was established.
func (r *Reducer) connectionClosed(q *request, result policy.Result) {
	r.finish(q, policy.AttemptEnded{
		ID:      q.ID,
		Attempt: q.attempt.number,
		Server:  q.attempt.server,
		Result:  result,
		Final:   true,
	})
}

// finish removes a request. It passes the event, if not nil, to the module if the module knows the request.
func (r *Reducer) finish(q *request, event policy.Event) {
	r.requests.remove(q)
	if q.mayHaveRun() {
		r.recent.add(q.ID, r.now)
	}
	if event != nil && (q.isNew() || q.state == established) {
		r.decide(event)
	}
}
