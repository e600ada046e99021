package proxy

import (
	"slices"
	"time"
)

const (
	// peerReadTimeout is how long a connection that finishes waits for the other side to read on.
	peerReadTimeout = 5 * time.Second
	// finishSooner is by how much sooner a connection that finishes is closed where descriptors are scarce. What was
	// on its way when it began to finish has come by then.
	finishSooner = 950 * time.Millisecond
)

// collectClosed forgets the connections whose descriptors are free again, and gives those more time that still move
// bytes.
func (b *Balancer) collectClosed(now time.Time) {
	for conn := range b.finishing {
		if conn.isDescriptorFreed() {
			delete(b.finishing, conn)
			continue
		}
		if written := conn.written.Load(); written != conn.writtenAtLook {
			conn.writtenAtLook, conn.forceCloseAt = written, now.Add(peerReadTimeout)
		}
	}
}

// closeFinishing closes the connections whose time is over. Where no admission is configured and the descriptors
// for new requests are nearly used up, those that have waited longest for the other side's end are closed at once.
func (b *Balancer) closeFinishing(now time.Time, sooner time.Duration) {
	closing := 0
	waiting := make([]*connection, 0, len(b.finishing))
	for conn := range b.finishing {
		switch {
		case conn.hasEnded():
			closing++
		case now.After(conn.forceCloseAt.Add(-sooner)):
			conn.forceClose()
			closing++
		case conn.backlog() == 0:
			waiting = append(waiting, conn)
		}
	}
	if b.admission != nil {
		return
	}
	lacking := min(b.basicLimits().Lacking(int(b.sockets.Load())-closing), len(waiting))
	if lacking == 0 {
		return
	}
	slices.SortFunc(waiting, func(x, y *connection) int { return x.finishedAt.Compare(y.finishedAt) })
	for _, conn := range waiting[:lacking] {
		conn.forceClose()
	}
}
