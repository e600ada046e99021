package proxy

import "sync"

// eventKind is the kind of event on a connection.
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

// event is posted by a callback to the loop. data is set for eventData only and is freed by releaseBuffer.
type event struct {
	kind eventKind
	conn *connection
	data *[]byte
}

// maxQueuedEvents is the queue length, in events, from which on callbacks leave received bytes in the sockets.
const maxQueuedEvents = 2048

// eventQueue carries events from the callbacks to the loop without blocking the callbacks. It is safe for concurrent
// use.
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

// deferRead schedules a connection to be read once the loop has handled the queue. The caller holds the connection's
// mu.
func (q *eventQueue) deferRead(conn *connection) {
	conn.readDeferred = true
	q.mu.Lock()
	q.deferred = append(q.deferred, conn)
	q.mu.Unlock()
}

// take returns and removes all events and deferred connections. The memory of into is reused for later events.
func (q *eventQueue) take(into []event) ([]event, []*connection) {
	q.mu.Lock()
	defer q.mu.Unlock()
	list, deferred := q.list, q.deferred
	q.list, q.deferred = into[:0], nil
	return list, deferred
}
