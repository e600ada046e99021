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

const (
	// maxUrgentEvents is the number of urgent events from which on callbacks leave received bytes in the sockets.
	maxUrgentEvents = 2048
	// maxBulkEvents is that number for bulk events, each of which holds a buffer of readSize.
	maxBulkEvents = 512
	// bulkEventsPerTurn is the number of bulk events that are handled before the loop looks for urgent ones again.
	bulkEventsPerTurn = 8
)

// eventQueue carries events from the callbacks to the loop without blocking the callbacks. It is safe for concurrent
// use.
//
// Events are urgent or bulk. What a connection with the mark bulk sends, and its end, is bulk; everything else is
// urgent: new connections, a client's first bytes, a server's answer. Each turn of the loop handles all urgent events
// and then a few bulk events, in the order of their arrival, so that connections that send much delay neither each
// other's data nor new requests. A connection never loses the mark, and a turn handles its urgent events before its
// bulk events, so its events stay in order.
type eventQueue struct {
	mu       sync.Mutex
	urgent   []event
	bulk     []event
	deferred []*connection // read after a turn's events, while there is room; longest-waiting first
	paced    []*connection // clients without a request, read at a limited rate; longest-waiting first
	wake     chan struct{}
}

// isBulk reports whether an event is bulk.
func (e event) isBulk() bool {
	switch e.kind {
	case eventData, eventEOF, eventReset:
		return e.conn.bulk.Load()
	}
	return false
}

func (q *eventQueue) post(e event) {
	q.mu.Lock()
	if e.isBulk() {
		q.bulk = append(q.bulk, e)
	} else {
		q.urgent = append(q.urgent, e)
	}
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

// isLongFor reports whether a connection's bytes should stay in its socket for now.
func (q *eventQueue) isLongFor(conn *connection) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if conn.bulk.Load() {
		return len(q.bulk) >= maxBulkEvents
	}
	return len(q.urgent) >= maxUrgentEvents
}

// hasCapacityForClients reports whether clients may be accepted. Each brings events, also if it has left again before
// the loop has handled them: without this limit, clients that come and go faster than that would fill the memory.
func (q *eventQueue) hasCapacityForClients() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.urgent) < maxUrgentEvents && len(q.bulk) < 2*maxBulkEvents
}

func (q *eventQueue) empty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.urgent) == 0 && len(q.bulk) == 0
}

// deferRead schedules a connection to be read in one of the loop's next turns. The caller holds the connection's mu.
func (q *eventQueue) deferRead(conn *connection) {
	conn.readDeferred = true
	q.mu.Lock()
	defer q.mu.Unlock()
	if conn.readsFirstLine() {
		q.paced = append(q.paced, conn)
	} else {
		q.deferred = append(q.deferred, conn)
	}
}

// takeEvents removes all urgent events and the first bulk events, and appends them to into.
func (q *eventQueue) takeEvents(into []event) []event {
	q.mu.Lock()
	defer q.mu.Unlock()
	into = append(into, q.urgent...)
	clear(q.urgent)
	q.urgent = q.urgent[:0]
	n := min(len(q.bulk), bulkEventsPerTurn)
	into = append(into, q.bulk[:n]...)
	rest := copy(q.bulk, q.bulk[n:])
	clear(q.bulk[rest:])
	q.bulk = q.bulk[:rest]
	return into
}

// countWaiting returns the numbers of connections in deferred and paced.
func (q *eventQueue) countWaiting() (deferred, paced int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.deferred), len(q.paced)
}

// nextDeferred removes and returns the deferred connection that has waited longest, or nil if there is none or no room
// for what it sends.
func (q *eventQueue) nextDeferred() *connection {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.bulk) >= maxBulkEvents {
		return nil
	}
	return takeFirst(&q.deferred)
}

// nextPaced removes and returns the paced connection that has waited longest, or nil if there is none.
func (q *eventQueue) nextPaced() *connection {
	q.mu.Lock()
	defer q.mu.Unlock()
	return takeFirst(&q.paced)
}

func takeFirst(list *[]*connection) *connection {
	if len(*list) == 0 {
		return nil
	}
	first := (*list)[0]
	(*list)[0] = nil
	*list = (*list)[1:]
	return first
}

// hasBulk reports whether bulk events, or connections to be read, are left for the next turn.
func (q *eventQueue) hasBulk() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.bulk) > 0 || len(q.deferred) > 0
}
