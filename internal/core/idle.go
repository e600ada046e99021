package core

import "time"

const (
	requestTimeout = 2 * time.Second       // a client that sends no request within it is answered as failed
	minIdleAge     = 10 * time.Millisecond // no client is closed sooner: its request may be in transit
)

// idleClients tracks the clients that have sent no request yet. Each holds a descriptor that another client may need.
type idleClients struct {
	waiting  map[Handle]struct{}
	arrivals []arrival // oldest first; includes clients that have sent a request or closed since
}

type arrival struct {
	client Handle
	at     time.Duration
}

func (c *idleClients) add(client Handle, now time.Duration) {
	c.waiting[client] = struct{}{}
	c.arrivals = append(c.arrivals, arrival{client, now})
}

// remove reports whether the client was idle.
func (c *idleClients) remove(client Handle) bool {
	_, idle := c.waiting[client]
	delete(c.waiting, client)
	return idle
}

// count returns an upper bound of the number of idle clients.
func (c *idleClients) count() int { return len(c.arrivals) }

// takeOldest removes and returns the clients that have been idle longest, at most limit, none younger than minAge.
func (c *idleClients) takeOldest(limit int, minAge, now time.Duration) []Handle {
	var taken []Handle
	for len(c.arrivals) > 0 && len(taken) < limit && now-c.arrivals[0].at >= minAge {
		client := c.arrivals[0].client
		c.arrivals = c.arrivals[1:]
		if c.remove(client) {
			taken = append(taken, client)
		}
	}
	return taken
}

// closeIdle rejects one idle client to free its resources.
func (r *Reducer) closeIdle(event CloseIdle) {
	if r.idle.remove(event.Client) {
		r.Counters.IdleClosed++
		r.emit(Answer{Client: event.Client, Rejected: true, RetryAfter: event.RetryAfter})
	}
}

// closeOldestIdle answers up to limit clients that have been idle longest, and returns their number.
func (r *Reducer) closeOldestIdle(limit int, minAge time.Duration, rejected bool) int64 {
	taken := r.idle.takeOldest(limit, minAge, r.now)
	for _, client := range taken {
		r.emit(Answer{Client: client, Rejected: rejected})
	}
	return int64(len(taken))
}
