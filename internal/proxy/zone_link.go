package proxy

import (
	"sync"

	"oatloft/internal/bandwidth"
	"oatloft/internal/revision"
)

// zoneLink is a bounded link in one direction. Its lock is held only briefly, and no other lock is taken meanwhile.
type zoneLink struct {
	links  *zoneLinks
	queues map[trafficKey]*bandwidthQueue // used by the loop only

	mu     sync.Mutex
	link   revision.Link
	shaper *bandwidth.Shaper[*connection]
}

// trafficKey identifies the traffic that shares a queue.
type trafficKey struct{ class, tenant string }

// bandwidthQueue is where the bytes of one class and tenant wait for a link.
type bandwidthQueue struct {
	link *zoneLink
	flow *bandwidth.Flow[*connection]
}

// queueFor returns the queue of a client's class and tenant. Tenants that the settings do not name share one.
func (l *zoneLink) queueFor(c *client) *bandwidthQueue {
	key := trafficKey{c.request.Class, c.request.Tenant}
	if _, ok := l.links.shares[key.tenant]; !ok {
		key.tenant = ""
	}
	queue := l.queues[key]
	if queue == nil {
		l.mu.Lock()
		queue = &bandwidthQueue{l, l.shaper.Flow(key.class, key.tenant)}
		l.mu.Unlock()
		l.queues[key] = queue
	}
	return queue
}

// take requests a turn for a connection to read up to limit bytes, and returns how many it may read. If that is 0, the
// connection waits for its turn.
func (q *bandwidthQueue) take(conn *connection, limit int) int {
	now := conn.balancer.now()
	first := false
	q.link.mu.Lock()
	n := q.link.shaper.Take(now, q.flow, limit)
	if n == 0 {
		q.link.shaper.Wait(now, q.flow, conn)
		first = q.link.shaper.Waiting() == 1
	}
	q.link.mu.Unlock()
	if first {
		q.link.links.signal()
	}
	return n
}

// returnUnused returns unused bytes of a turn.
func (q *bandwidthQueue) returnUnused(n int) {
	if n > 0 {
		q.link.mu.Lock()
		q.link.shaper.Return(q.flow, n)
		q.link.mu.Unlock()
	}
}
