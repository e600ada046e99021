package proxy

import "sync"

// eventKind says what has happened to a connection.
type eventKind uint8

const (
	eventAccepted eventKind = iota
	eventData
	eventEOF
	eventReset
	eventConnected
	eventDialFailed
	eventFlushed
)

// event is what a callback reports to the loop. data is for eventData, and returned by releaseBuffer.
type event struct {
	kind eventKind
	conn *connection
	data *[]byte
}

// maxQueuedEvents is the length from which on callbacks leave what they could read in the sockets.
const maxQueuedEvents = 2048

// eventQueue carries events from the callbacks to the loop. It never makes a callback wait. Safe for concurrent use.
type eventQueue struct {
	mu       sync.Mutex
	list     []event
	deferred []*connection
	wake     chan struct{}
}

func (q *eventQueue) post(e event) {
	q.mu.Lock()
	q.list = append(q.list, e)
	q.mu.Unlock()
	q.signal()
}

// signal wakes the loop.
func (q *eventQueue) signal() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *eventQueue) isLong() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.list) >= maxQueuedEvents
}

func (q *eventQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.list) == 0
}

// deferRead has a connection read again once the loop has handled the queue. With the connection's mu held.
func (q *eventQueue) deferRead(conn *connection) {
	conn.starved = true
	q.mu.Lock()
	q.deferred = append(q.deferred, conn)
	q.mu.Unlock()
}

// take returns all events and deferred connections. The next events go into the memory of into.
func (q *eventQueue) take(into []event) ([]event, []*connection) {
	q.mu.Lock()
	defer q.mu.Unlock()
	list, deferred := q.list, q.deferred
	q.list, q.deferred = into[:0], nil
	return list, deferred
}
