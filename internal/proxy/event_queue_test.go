package proxy

import (
	"fmt"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// Guards against data that overtakes earlier data, or an end that overtakes data, when a connection's events become
// bulk: the events of a connection are taken in the order in which they were posted.
func TestEventsOfAConnectionStayInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		queue := eventQueue{wake: make(chan struct{}, 1)}
		conns := make([]connection, 4)
		posted, taken := map[*connection][]*[]byte{}, map[*connection][]*[]byte{}
		take := func(*rapid.T) {
			for _, e := range queue.takeEvents(nil) {
				taken[e.conn] = append(taken[e.conn], e.data)
			}
		}
		conn := func(t *rapid.T) *connection { return &conns[rapid.IntRange(0, len(conns)-1).Draw(t, "connection")] }
		t.Repeat(map[string]func(*rapid.T){
			"post": func(t *rapid.T) {
				kind := rapid.SampledFrom([]eventKind{eventData, eventEOF, eventReset}).Draw(t, "kind")
				e := event{kind: kind, conn: conn(t), data: new([]byte)}
				posted[e.conn] = append(posted[e.conn], e.data)
				queue.post(e)
			},
			"mark": func(t *rapid.T) { conn(t).markBulk() },
			"take": take,
		})
		for !queue.empty() {
			take(t)
		}
		for c, want := range posted {
			if !slices.Equal(taken[c], want) {
				t.Fatalf("posted %v, taken %v", want, taken[c])
			}
		}
	})
}

// Guards against requests that wait behind the data of clients that send much, before or after UP: a turn of the loop
// handles the request, and only a few of the others' events.
func TestRequestIsHandledBeforeBulkData(t *testing.T) {
	for name, established := range map[string]bool{"before UP": false, "after UP": true} {
		t.Run(name, func(t *testing.T) {
			h := newAttemptHarness(t, "unsafe")
			const senders = 20
			var clients []*attemptPeer
			for i := range senders {
				if !established {
					clients = append(clients, h.connectClient("PING\r\n"))
					continue
				}
				id := fmt.Sprint("s", i)
				client := h.startRequest(id, time.Hour)
				h.answerAttempt(client, h.awaitAttempt(), id)
				clients = append(clients, client)
			}
			h.runLoopUntil("the first bytes of all", func() bool {
				return established || h.balancer.counters.Pings == senders
			})
			for _, client := range clients {
				client.send(t, strings.Repeat("PING\r\n", 1000))
			}
			h.waitUntil("the senders' data", func() bool { return h.queuedEvents(eventData) >= senders })
			requests := h.balancer.core.Counters.Requests
			h.connectClient("OPEN 1 k c=chat,d=3600000\r\n")
			h.waitUntil("the request", h.balancer.queue.hasUrgentData)
			h.balancer.handleEvents()
			if got := h.balancer.core.Counters.Requests; got != requests+1 {
				t.Error("the request was not handled in the first turn")
			}
			if left := h.queuedEvents(eventData); left < senders-bulkEventsPerTurn {
				t.Errorf("%d of %d senders' events left after one turn", left, senders)
			}
		})
	}
}

func (q *eventQueue) hasUrgentData() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(q.urgent, func(e event) bool { return e.kind == eventData })
}

// Guards against memory that grows with the number of connections that send at once: what the queue holds is bounded
// while the loop handles nothing.
func TestQueuedBytesOfManyConnectionsAreBounded(t *testing.T) {
	h := newAttemptHarness(t, "unsafe")
	const flows = 70
	var conns []net.Conn
	for i := range flows {
		id := fmt.Sprint(i)
		client := h.startRequest(id, time.Hour)
		server := h.awaitAttempt()
		h.answerAttempt(client, server, id)
		conns = append(conns, client.conn, server.conn)
	}
	data := make([]byte, 1<<20) // shared: a process that uses much memory rejects requests
	for _, conn := range conns {
		go func() { _, _ = conn.Write(data) }()
	}
	h.waitUntil("their data", func() bool { return h.queuedEvents(eventData) >= len(conns) })
	time.Sleep(200 * time.Millisecond) // what is sent meanwhile must stay in the sockets
	const limit = 4 << 20              // bytes
	if n := h.queuedEvents(eventData); n > limit/readSize+1 {
		t.Errorf("%d pieces of up to %d bytes are queued", n, readSize)
	}
}

// Guards against memory that grows without end while clients connect, send and reset their connections faster than the
// loop handles them.
func TestClientsThatComeAndGoAreBounded(t *testing.T) {
	b := startWithoutLoop(t)
	for range 2 * maxUrgentEvents {
		c, err := net.DialTimeout("tcp", b.Addr(), 50*time.Millisecond)
		if err != nil { // the system's queue is full
			break
		}
		_, _ = io.WriteString(c, "PING\r\n")
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
	time.Sleep(10 * acceptRetry)
	b.queue.mu.Lock()
	defer b.queue.mu.Unlock()
	if n := len(b.queue.urgent) + len(b.queue.bulk); n > 2*maxUrgentEvents {
		t.Fatal(n, "events are queued")
	}
}

// Guards against memory that grows with the number of clients that close their connections with much still unread: what
// the queue holds is bounded then too.
func TestQueuedBytesOfClosedConnectionsAreBounded(t *testing.T) {
	h := newAttemptHarness(t, "unsafe")
	const flows = 110
	var clients, servers []*attemptPeer
	var conns []*connection
	for i := range flows {
		id := fmt.Sprint(i)
		client, server := h.startRequest(id, time.Hour), h.awaitAttempt()
		h.answerAttempt(client, server, id)
		server.received = nil
		clients, servers = append(clients, client), append(servers, server)
		conns = append(conns, h.clientOf(id).conn)
	}
	text := strings.Repeat("line\r\n", 8<<10) // 48 KiB, which the system's buffer of a connection has room for
	for _, client := range clients {
		client.send(t, text)
		_ = client.conn.CloseWrite()
	}
	for _, conn := range conns {
		h.waitUntil("the hand-over", conn.hasTail)
	}
	const limit = 4 << 20 // bytes
	if n := h.queuedEvents(eventData); n > limit/readSize+1 {
		t.Errorf("%d pieces of up to %d bytes are queued", n, readSize)
	}
	for _, server := range servers { // nothing is lost, and the end comes last
		h.expectEnd("a server", server, text)
	}
}
