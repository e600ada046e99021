package proxy

import (
	"fmt"
	"testing"
	"time"
)

// Guards against memory that grows with the number of clients that stop reading: all backlogs together stay within
// their share of the memory, but for the least that each connection needs and what is read before a pause takes effect.
// A migration that waits for the end of a server's line may add as much again.
func TestBacklogsOfManyFlowsShareMemory(t *testing.T) {
	h := newAttemptHarness(t, "unsafe")
	const memoryMB = 4
	h.balancer.cfg.MemoryMB = memoryMB
	data := make([]byte, 1<<20)
	const flows = 30
	var conns []*connection
	for i := range flows {
		id := fmt.Sprint(i)
		client := h.startRequest(id, time.Hour)
		server := h.awaitAttempt()
		h.answerAttempt(client, server, id)
		_ = client.conn.SetReadBuffer(4 << 10)
		conns = append(conns, h.clientOf(id).conn)
		go func() { _, _ = server.conn.Write(data) }()
	}
	const limit = memoryMB<<20/backlogMemoryFraction + flows*(minBackpressureBytes+maxReads*readSize+readSize)
	total := func() (sum int64) {
		for _, conn := range conns {
			sum += conn.backlog()
		}
		return sum
	}
	h.runLoopUntil("backlogs", func() bool {
		paused := 0
		for _, x := range h.balancer.clients {
			if x.backpressure[0] {
				paused++
			}
		}
		return paused == flows
	})
	expectBuffered := func(limit int64) {
		t.Helper()
		for range 500 {
			if h.balancer.handleEvents(); total() > limit {
				t.Fatalf("%d bytes are buffered, want at most %d", total(), limit)
			}
		}
	}
	expectBuffered(limit)
	for _, x := range h.balancer.clients {
		h.balancer.finishServerLine(x)
	}
	time.Sleep(50 * time.Millisecond)
	expectBuffered(2 * limit)
}

// Guards against a flow that stands still: a pause ends also if more data is written between the end of the backlog and
// the event that reports it.
func TestPauseEndsAfterMoreData(t *testing.T) {
	h := newAttemptHarness(t, "unsafe")
	client := h.startRequest("1", time.Hour)
	server := h.awaitAttempt()
	h.answerAttempt(client, server, "1")
	x := h.clientOf("1")
	client.received = nil
	data := make([]byte, 4<<20)
	go func() { _, _ = server.conn.Write(data) }()
	h.runLoopUntil("the pause", func() bool { return x.backpressure[0] })
	h.waitUntil("the end of the backlog", func() bool { client.read(); return h.queuedEvents(eventFlushed) > 0 })
	h.balancer.forwardFromServer(x, data)
	h.runLoopUntil("all bytes", func() bool { client.read(); return len(client.received) == 2*len(data) })
}
