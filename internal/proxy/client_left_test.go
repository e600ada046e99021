package proxy

import (
	"bytes"
	"strings"
	"testing"
	"time"
)

// Guards against a request that is sent after its client has reset the connection, when the reset is still to be
// handled: its attempt's connection is established first.
func TestRequestOfClientThatLeftIsNotSent(t *testing.T) {
	for name, halfClosed := range map[string]bool{"open": false, "half-closed": true} {
		t.Run(name, func(t *testing.T) {
			h := newAttemptHarness(t, "unsafe")
			client := h.startRequest("1", time.Hour)
			if halfClosed {
				_ = client.conn.CloseWrite()
				h.runLoopWithoutAttempts("the hand-over", func() bool { return h.clientOf("1").conn.hasTail() })
			}
			conn := h.clientOf("1").conn
			server := h.acceptedAttempt()
			h.waitUntil("the attempt's connection", func() bool { return h.queuedEvents(eventConnected) == 1 })
			client.reset()
			h.waitUntil("the reset", conn.wasReset)
			h.balancer.handleEvents()
			h.runLoopUntil("the attempt's end", func() bool { server.read(); return server.endErr != nil })
			if len(server.received) > 0 {
				t.Errorf("the server got %q", server.received)
			}
		})
	}
}

// runLoopWithoutAttempts handles the events that are queued, except that attempts are connected.
func (h *attemptHarness) runLoopWithoutAttempts(what string, is func() bool) {
	h.t.Helper()
	h.waitUntil(what, func() bool {
		var connected []event
		for _, e := range h.balancer.queue.takeEvents(nil) {
			if e.kind == eventConnected {
				connected = append(connected, e)
				continue
			}
			h.balancer.handleEvent(e)
		}
		for _, e := range connected {
			h.balancer.queue.post(e)
		}
		return is()
	})
}

func (c *connection) hasTail() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tail != nil
}

// Guards against commands and a request that are handled after their client has reset the connection with much still
// unread.
func TestUnreadBytesOfClientThatLeftAreNotUsed(t *testing.T) {
	for name, text := range map[string]string{
		"request":              "OPEN 1 k c=chat,d=3600000\r\n",
		"commands and request": strings.Repeat("PING\r\n", 3000) + "OPEN 1 k c=chat,d=3600000\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			h := newAttemptHarness(t, "unsafe")
			client := h.connectClient(text)
			h.waitUntil("the first bytes", func() bool { return h.queuedEvents(eventData) > 0 })
			client.reset()
			h.waitUntil("the reset", func() bool { return h.queuedEvents(eventReset) > 0 })
			h.runLoopUntil("the client's end", func() bool {
				return h.balancer.counters.Accepted == 1 && len(h.balancer.clients) == 0
			})
			if n := h.balancer.core.Counters; n.Requests > 0 || h.balancer.counters.Pings > 0 {
				t.Errorf("%d requests and %d pings were handled", n.Requests, h.balancer.counters.Pings)
			}
		})
	}
}

// Guards against lines that reach the server after their client has reset an established connection.
func TestLinesOfClientThatLeftAreNotForwarded(t *testing.T) {
	h := newAttemptHarness(t, "unsafe")
	client := h.startRequest("1", time.Hour)
	server := h.awaitAttempt()
	h.answerAttempt(client, server, "1")
	server.received = nil
	client.send(t, strings.Repeat("line\r\n", 8000))
	h.waitUntil("the first lines", func() bool { return h.queuedEvents(eventData) > 0 })
	client.reset()
	h.waitUntil("the reset", func() bool { return h.queuedEvents(eventReset) > 0 })
	h.runLoopUntil("the server's end", func() bool { server.read(); return server.endErr != nil })
	if n := bytes.Count(server.received, []byte("\n")); n > 0 {
		t.Errorf("%d lines were forwarded", n)
	}
}

// Guards against the rest of what a client has sent, left in its socket when it closed its sending side, that is read
// and forwarded after it has reset the connection.
func TestRestOfClientThatLeftIsNotForwarded(t *testing.T) {
	h := newAttemptHarness(t, "unsafe")
	client := h.startRequest("1", time.Hour)
	server := h.awaitAttempt()
	h.answerAttempt(client, server, "1")
	server.received = nil
	conn := h.clientOf("1").conn
	client.send(t, strings.Repeat("line\r\n", 8<<10))
	_ = client.conn.CloseWrite()
	h.waitUntil("the hand-over", conn.hasTail)
	client.reset()
	h.waitUntil("the reset", conn.wasReset)
	h.runLoopUntil("the server's end", func() bool { server.read(); return server.endErr != nil })
	if n := len(server.received); n > maxReads*readSize { // what was queued before the reset was known
		t.Errorf("%d bytes were forwarded", n)
	}
}
