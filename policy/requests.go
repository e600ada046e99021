package policy

import (
	"slices"
	"time"
)

// request is a client's request, from its arrival to the end of its connection.
type request struct {
	Request
	migration  // that caused this request
	class      *Class
	tenant     *tenantState // nil if its tenant has no quota
	receivedAt time.Duration
	deadline   time.Duration // for its final answer

	// Latest attempt.
	attempts       int
	attemptPending bool // not established yet
	attemptSentAt  time.Duration
	server         *server // of the latest attempt, or of the connection

	// Results of earlier attempts.
	mayHaveRunAt time.Duration // when the first attempt that may have run was sent; -1 if there is none
	mayHaveRunOn *server
	failedSetups int

	// State while waiting for a server.
	samples         int       // taken so far
	sampled         []*server // latest sample, waiting for readings
	nextPlacementAt time.Duration

	// State once established.
	established       bool
	migrating         bool // the host was instructed to close the connection, so that the client reconnects
	explorationTarget *server
}

// requestSet holds all requests that are not closed.
type requestSet struct {
	byID        map[string]*request
	waiting     []*request // requests without a pending attempt, in the order of arrival
	established []*request // in the order of establishment
}

func removeRequest(list []*request, r *request) []*request {
	return slices.DeleteFunc(list, func(other *request) bool { return other == r })
}

func (s *requestSet) enqueue(r *request) {
	if !slices.Contains(s.waiting, r) {
		s.waiting = append(s.waiting, r)
	}
}

func (s *requestSet) dequeue(r *request) { s.waiting = removeRequest(s.waiting, r) }

func (b *Balancer) newRequest(q Request, class *Class) *request {
	r := &request{
		Request:      q,
		class:        class,
		tenant:       b.tenants[q.Tenant],
		receivedAt:   b.now,
		deadline:     b.now + q.Timeout,
		mayHaveRunAt: -1,
	}
	b.requests.byID[q.ID] = r
	b.retries.refill(b.config.RetryRatio)
	return r
}

// adopt registers a connection that was established before this balancer started.
func (b *Balancer) adopt(a AdoptedConnection) {
	class, s := b.classes.byName[a.Class], b.servers.byID[a.Server]
	if class == nil || s == nil || b.requests.byID[a.ID] != nil {
		return
	}
	r := b.newRequest(a.Request, class)
	r.server, r.attempts = s, 1
	b.establish(r)
}

// establish marks a request as established and counts its connection.
func (b *Balancer) establish(r *request) {
	r.established = true
	b.requests.established = append(b.requests.established, r)
	r.server.openConnections++
	if r.Group != "" {
		r.server.groupConnections[r.Group]++
		b.groupConnections[r.Group]++
	}
	if r.tenant != nil {
		r.tenant.openConnections++
	}
}

// forget removes a closed request, together with its attempt or connection.
func (b *Balancer) forget(r *request) {
	delete(b.requests.byID, r.ID)
	b.requests.dequeue(r)
	if r.attemptPending {
		b.setups.pending--
	}
	if r.established {
		b.forgetConnection(r)
	}
	r.attemptPending, r.established = false, false
}

func (b *Balancer) forgetConnection(r *request) {
	b.requests.established = removeRequest(b.requests.established, r)
	r.server.openConnections--
	for _, groups := range []map[string]int{r.server.groupConnections, b.groupConnections} {
		groups[r.Group]--
		if groups[r.Group] <= 0 { // this also deletes the entry of connections that belong to no group
			delete(groups, r.Group)
		}
	}
	if r.tenant != nil {
		r.tenant.openConnections--
	}
}

// clientDisconnected closes the request of a client that has disconnected. If the client has closed only its sending
// side, no attempt starts after DisconnectGrace.
func (b *Balancer) clientDisconnected(event ClientDisconnected) {
	r := b.requests.byID[event.ID]
	switch {
	case r == nil:
	case !event.HalfClosed:
		b.forget(r)
	case !r.established:
		r.deadline = min(r.deadline, b.now+DisconnectGrace)
	}
}
