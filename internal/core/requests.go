package core

import (
	"cmp"
	"slices"
	"time"

	"oatloft/policy"
)

// finalAnswerMargin is how long before the client gives up its final answer leaves.
const finalAnswerMargin = 15 * time.Millisecond

// requestState is how far a request has come.
type requestState uint8

const (
	waiting     requestState = iota // no attempt is pending
	dialing                         // an attempt's connection is coming up
	sending                         // the request is on its way to the server
	sent                            // the request has left; the server may have run it
	established                     // bytes pass both ways
)

// request is a client's request, from its arrival to the end of its connection.
type request struct {
	policy.Request
	client        Handle
	establishedAt string // the server that held its connection before the day began; "" for a new request
	state         requestState
	deadline      time.Duration
	clientEndedAt time.Duration // when the client closed its sending, or got something since; 0 if it has not
	attempt       attempt
	mayHaveRunAt  time.Duration // when the first attempt that may have run was sent; 0 if there is none
	traffic       traffic
}

// isNew tells that the module places the request: it was not established before the day began.
func (q *request) isNew() bool { return q.establishedAt == "" }

// requestTable holds all requests that are not over.
type requestTable struct {
	byClient   map[Handle]*request
	byID       map[string]*request
	unanswered int // without their final answer
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

// sorted lists the requests by their handles: the same events must lead to the same effects.
func (t *requestTable) sorted() []*request {
	list := make([]*request, 0, len(t.byClient))
	for _, q := range t.byClient {
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b *request) int { return cmp.Compare(a.client, b.client) })
	return list
}

// established returns the client's connection, nil if it has none.
func (t *requestTable) established(client Handle) *request {
	q := t.byClient[client]
	if q == nil || q.state != established {
		return nil
	}
	return q
}

// Unanswered is the number of requests without their final answer.
func (r *Reducer) Unanswered() int { return r.requests.unanswered }

// OpenRequests is the number of requests that are not over, established ones among them.
func (r *Reducer) OpenRequests() int { return len(r.requests.byClient) }

// requestReceived takes a new request. What no server could use is answered as failed: a class that is not
// configured, a second request of one client, an id that is in use here.
func (r *Reducer) requestReceived(event RequestReceived) {
	r.idle.remove(event.Client)
	r.Counters.Requests++
	_, classKnown := r.classes.byName[event.Class]
	if !classKnown || r.requests.byClient[event.Client] != nil || r.requests.byID[event.ID] != nil {
		r.Counters.InvalidRequests++
		r.Counters.Failed++
		r.emit(Answer{Client: event.Client})
		return
	}
	q := &request{
		Request:       event.Request,
		client:        event.Client,
		establishedAt: event.EstablishedAt,
		attempt:       attempt{number: -1},
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
		r.returnToServer(q)
		return
	}
	r.decide(q.Request)
}

// returnToServer sends a connection to the server that held it before the day began, once that server is listed.
// This is no decision: the platform names the server.
func (r *Reducer) returnToServer(q *request) {
	if e := r.endpoints.byID[q.establishedAt]; e != nil && q.state == waiting {
		r.dial(q, e, q.deadline)
	}
}

// invalidRequest answers a client that sent what it must not.
func (r *Reducer) invalidRequest(event InvalidRequest) {
	r.idle.remove(event.Client)
	if q := r.requests.byClient[event.Client]; q != nil {
		r.abandon(q)
	} else {
		r.Counters.Requests++
	}
	r.Counters.Failed++
	r.emit(Answer{Client: event.Client})
}

// clientClosed follows a client's end. One that only closed its sending still waits for its answer.
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
		q.clientEndedAt = r.now
	case event.Reason == CloseEOF:
		q.clientEndedAt = r.now
		if q.isNew() {
			r.decide(policy.ClientDisconnected{ID: q.ID, HalfClosed: true})
		}
	case q.state == established:
		r.Counters.ClosedByClient++
		r.emit(CloseServer{Client: q.client, Reason: CloseReset})
		r.connectionClosed(q, policy.ResultCanceled)
	default:
		r.Counters.ClientsGone++
		r.abandon(q)
	}
}

// abandon ends a request whose client no longer wants an answer, or gets it from elsewhere.
func (r *Reducer) abandon(q *request) {
	if q.state == established {
		r.emit(CloseServer{Client: q.client, Reason: CloseEOF})
		r.connectionClosed(q, policy.ResultCanceled)
		return
	}
	r.closePendingAttempt(q)
	r.requests.unanswered--
	r.finish(q, policy.ClientDisconnected{ID: q.ID})
}

// rejectRequest carries out the module's Reject.
func (r *Reducer) rejectRequest(action policy.Reject) {
	if q := r.requests.byID[action.ID]; q != nil && q.state != established {
		r.Counters.Rejected++
		r.answer(q, Answer{Rejected: true, RetryAfter: action.RetryAfter, Reason: action.Reason})
	}
}

// failRequest carries out the module's Fail.
func (r *Reducer) failRequest(action policy.Fail) {
	if q := r.requests.byID[action.ID]; q != nil && q.state != established {
		r.Counters.Failed++
		r.answer(q, Answer{Reason: action.Reason})
	}
}

// answer gives the final answer of a request that the module has closed.
func (r *Reducer) answer(q *request, answer Answer) {
	r.closePendingAttempt(q)
	r.requests.unanswered--
	answer.Client = q.client
	r.emit(answer)
	r.finish(q, nil)
}

// deadlinePassed makes sure of the final answer: the module is told of the time-out first, and if it still holds
// the request then, the answer is that it failed.
func (r *Reducer) deadlinePassed(q *request) {
	if q == nil || q.state == established || r.now < q.deadline {
		return
	}
	if q.state != waiting {
		r.giveUpAttempt(q, q.timeoutResult(), reasonDeadline)
	}
	if r.requests.has(q) && q.state != established {
		r.Counters.Failed++
		r.emit(Answer{Client: q.client, Reason: reasonDeadline})
		r.abandon(q)
	}
}

// connectionClosed ends a request that was established.
func (r *Reducer) connectionClosed(q *request, result policy.Result) {
	r.finish(q, policy.AttemptEnded{
		ID:      q.ID,
		Attempt: q.attempt.number,
		Server:  q.attempt.server,
		Result:  result,
		Final:   true,
	})
}

// finish forgets a request and passes the event to the module if it is not nil and the module knows the request.
func (r *Reducer) finish(q *request, event policy.Event) {
	r.requests.remove(q)
	if event != nil && (q.isNew() || q.state == established) {
		r.decide(event)
	}
}
