package proxy

import (
	"bytes"
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/platform"
)

// sendInPieces sends a text in pieces of size bytes, each handled before the next one is sent.
func (h *attemptHarness) sendInPieces(p *attemptPeer, text string, size int) {
	h.t.Helper()
	for rest := text; len(rest) > 0; rest = rest[min(size, len(rest)):] {
		if _, err := p.conn.Write([]byte(rest[:min(size, len(rest))])); err != nil {
			return // the balancer has closed the connection
		}
		h.balancer.handleEvents()
	}
}

// An answer that violates the protocol fails a request that may have been executed, and nothing of it reaches the
// client, in whatever pieces it arrives.
func TestInvalidAnswers(t *testing.T) {
	longLine := strings.Repeat("x", platform.MaxLine)
	for name, answer := range map[string]string{
		"binary":            "\x00\xff\x01\r\n",
		"empty line":        "\r\n",
		"lower case":        "up 1\r\n",
		"no return":         "UP 1\n",
		"no receipt":        "UP\r\n",
		"blank receipt":     "UP \r\n",
		"invalid receipt":   "UP \x01\x02\r\n",
		"longer word":       "UPPER 1\r\n",
		"syntax":            "SYNTAX\r\n",
		"4097 bytes":        "UP " + longLine[:platform.MaxLine-4] + "\r\n",
		"without end":       longLine + longLine,
		"refusal too long":  "BUSY " + longLine + "\r\n",
		"refusal no return": "BUSY\n",
		"error, then up":    "ERR\r\nUP 1\r\n",
		"end, then up":      "BYE\r\nUP 1\r\n",
	} {
		for _, size := range []int{1 << 20, 4096, 1} {
			t.Run(fmt.Sprintf("%s, pieces of %d", name, size), func(t *testing.T) {
				h := newAttemptHarness(t, "unsafe")
				client := h.startRequest("1", time.Hour)
				server := h.awaitAttempt()
				h.sendInPieces(server, answer, size)
				h.expectEnd("the client", client, "ERR\r\n")
				h.runLoopUntil("the server's end", func() bool { server.read(); return server.endErr != nil })
				if n := h.balancer.core.Counters; n.Attempts != 1 || n.AttemptsFailed+n.AttemptsReset != 1 {
					t.Fatalf("%d attempts, %d failed", n.Attempts, n.AttemptsFailed)
				}
			})
		}
	}
}

// The longest valid answer reaches the client unchanged, and so do bytes that follow an answer directly.
func TestAnswersForwardedUnchanged(t *testing.T) {
	for name, answer := range map[string]string{
		"4096 bytes":    "UP " + strings.Repeat("x", platform.MaxLine-5) + "\r\n",
		"up, then more": "UP 1\r\nERR\r\nUP 2\r\nhalf a li",
		"load note":     "UP 1\r\nLOAD 5\r\n",
	} {
		for _, size := range []int{1 << 20, 4095, 1} {
			h := newAttemptHarness(t, "unsafe")
			client := h.startRequest("1", time.Hour)
			server := h.awaitAttempt()
			h.sendInPieces(server, answer, size)
			h.expectReceived("the client, "+name, client, answer)
		}
	}
}

// A server rejects the request and then sends UP, in the same segment or after the next attempt has begun: the
// client receives only the next attempt's UP.
func TestSecondAnswerIsDropped(t *testing.T) {
	for name, late := range map[string]bool{"in one segment": false, "later": true} {
		h := newAttemptHarness(t, "unsafe")
		client := h.startRequest("1", time.Hour)
		first := h.awaitAttempt()
		if !late {
			first.send(t, "BUSY\r\nUP old\r\n")
		} else {
			first.send(t, "BUSY\r\n")
		}
		next := h.awaitAttempt()
		if late {
			_, _ = first.conn.Write([]byte("UP old\r\n")) // fails if the balancer's end has arrived before
		}
		h.runLoopUntil("the first server's end", func() bool { first.read(); return first.endErr != nil })
		if len(client.received) > 0 {
			t.Fatalf("%s: the client got %q", name, client.received)
		}
		h.answerAttempt(client, next, "new")
	}
}

// A rejection, an error or half a line is followed directly by FIN or RST: a complete answer counts, and half an
// answer is no answer.
func TestAnswersFollowedByEnd(t *testing.T) {
	for _, x := range []struct {
		answer  string
		retried bool // for a request that may not be repeated once it may have been executed
	}{
		{"BUSY\r\n", true},
		{"BUSY 5 \r\n", true},
		{"BUSY\r", false},
		{"ERR\r\n", false},
		{"UP 1\r", false},
		{"U", false},
		{"", false},
	} {
		for _, reset := range []bool{false, true} {
			h := newAttemptHarness(t, "unsafe")
			client := h.startRequest("1", time.Hour)
			first, server := h.attemptConn("1"), h.awaitAttempt()
			if len(x.answer) > 0 {
				server.send(t, x.answer)
				h.waitUntil("the answer in the queue", func() bool { return h.queuedEvents(eventData) > 0 })
			}
			if reset {
				server.reset()
			} else {
				_ = server.conn.Close()
			}
			h.awaitConnState(first, ended)
			h.balancer.handleEvents() // both in one turn
			if x.retried {
				h.answerAttempt(client, h.awaitAttempt(), "2")
			} else {
				h.expectEnd(fmt.Sprintf("the client after %q, reset %v,", x.answer, reset), client, "ERR\r\n")
			}
		}
	}
}

// A connection ends after half a line: the half line reaches the client, followed by the same kind of end.
func TestPartialLineBeforeEnd(t *testing.T) {
	for _, reset := range []bool{false, true} {
		h := newAttemptHarness(t, "unsafe")
		client := h.startRequest("1", time.Hour)
		server := h.awaitAttempt()
		h.answerAttempt(client, server, "1")
		server.send(t, "half a li")
		h.expectReceived("the client", client, "UP 1\r\nhalf a li")
		if reset {
			server.reset()
		} else {
			_ = server.conn.CloseWrite()
		}
		h.expectEnd("the client", client, "UP 1\r\nhalf a li")
		if closedByFIN := client.endErr == syscall.ENODATA; closedByFIN == reset {
			t.Fatalf("reset %v, but the client's connection ended with %v", reset, client.endErr)
		}
	}
}

// Many lines in one segment reach the server in order after UP, and so do the server's reach the client.
func TestManyLinesInOneSegment(t *testing.T) {
	h := newAttemptHarness(t, "unsafe")
	client := h.startRequest("1", time.Hour)
	server := h.awaitAttempt()
	h.answerAttempt(client, server, "1")
	var lines strings.Builder
	for i := range 2000 {
		fmt.Fprintf(&lines, "line %d\r\n", i)
	}
	server.received, client.received = nil, nil
	client.send(t, lines.String())
	h.expectReceived("the server", server, lines.String())
	server.send(t, lines.String())
	h.expectReceived("the client", client, lines.String())
}

// What the balancer buffers for a peer that does not read is bounded, and all of it arrives in order once it reads.
func TestBacklogOfSlowReadersIsBounded(t *testing.T) {
	// What may be read before the pause takes effect, and at an end.
	const limit = backpressureBytes + 2*(maxReads*readSize+2*socketBuffer)
	text := bytes.Repeat([]byte("0123456789abcde\n"), 1<<18) // 4 MiB
	for _, slowClient := range []bool{true, false} {
		h := newAttemptHarness(t, "unsafe")
		client := h.startRequest("1", time.Hour)
		server := h.awaitAttempt()
		h.answerAttempt(client, server, "1")
		server.received, client.received = nil, nil
		from, to, backlog := client, server, h.attemptConn("1")
		if slowClient {
			from, to, backlog = server, client, h.clientOf("1").conn
		}
		go func() { _, _ = from.conn.Write(text) }()
		h.runLoopUntil("the pause", func() bool { return backlog.backlog() > backpressureBytes })
		for range 500 {
			if h.balancer.handleEvents(); backlog.backlog() > limit {
				t.Fatal(backlog.backlog(), "bytes are buffered")
			}
		}
		h.runLoopUntil("all", func() bool {
			if backlog.backlog() > limit {
				t.Fatal(backlog.backlog(), "bytes are buffered")
			}
			to.read()
			return len(to.received) >= len(text)
		})
		if !bytes.Equal(to.received, text) {
			t.Fatal("the bytes were changed")
		}
	}
}

// An endless answer is cut off at its 4096th byte, and what the balancer reads of it meanwhile is bounded, even while
// its loop is blocked.
func TestEndlessAnswerIsBounded(t *testing.T) {
	h := newAttemptHarness(t, "unsafe")
	client := h.startRequest("1", time.Hour)
	first, server := h.attemptConn("1"), h.awaitAttempt()
	go func() { _, _ = server.conn.Write(make([]byte, 8<<20)) }()
	starved := func() bool {
		first.mu.Lock()
		defer first.mu.Unlock()
		return first.readDeferred
	}
	h.waitUntil("the pause", starved)
	if n := h.queuedEvents(eventData); n > maxReads+1 {
		t.Fatal(n, "pieces are queued")
	}
	h.expectEnd("the client", client, "ERR\r\n")
	if n := h.balancer.core.Counters; n.AttemptsFailed != 1 || n.Attempts != 1 {
		t.Fatalf("%d attempts, %d failed", n.Attempts, n.AttemptsFailed)
	}
}

// probeServer makes the balancer probe a server, and returns the server's side once the probe has arrived.
func (h *attemptHarness) probeServer(previous *attemptPeer) *attemptPeer {
	h.t.Helper()
	h.balancer.startProbe(core.Probe{Server: "r1", Address: h.listeners[0].Addr().String(), Timeout: testTimeout})
	return h.awaitProbe(previous)
}

// awaitProbe waits for a probe on the known connection or on a new one.
func (h *attemptHarness) awaitProbe(previous *attemptPeer) (p *attemptPeer) {
	h.t.Helper()
	p = previous
	h.waitUntil("a probe", func() bool {
		h.balancer.handleEvents()
		select {
		case p = <-h.acceptedConns:
		default:
		}
		if p != nil {
			p.read()
		}
		return p != nil && string(p.received) == string(platform.Stats)
	})
	p.received = nil
	return p
}

// answerProbe sends an answer and waits until the probe has finished.
func (h *attemptHarness) answerProbe(p *attemptPeer, answer string) *probe {
	h.t.Helper()
	p.send(h.t, answer)
	probed := h.balancer.probes["r1"]
	h.waitUntil("the probe's end", func() bool { h.balancer.handleEvents(); return !probed.pending })
	return probed
}

// Probes share a connection as long as each gets one answer.
func TestProbesShareConnection(t *testing.T) {
	h := newAttemptHarness(t, "safe")
	first := h.probeServer(nil)
	h.answerProbe(first, "PONG x0=0.5\r\n")
	if second := h.probeServer(first); second != first {
		t.Fatal("the next probe used another connection")
	}
	if probed := h.answerProbe(first, "PONG x0=0.6\r\n"); probed.conn == nil ||
		h.balancer.core.Counters.ProbesFailed != 0 {
		t.Fatal("the connection was not kept")
	}
}

// A probe's answer that arrives twice, at once or later, or with trailing bytes, is not taken for the next probe's
// answer: the next probe uses another connection.
func TestProbeAnsweredTwice(t *testing.T) {
	for _, late := range []bool{false, true} {
		for _, more := range []string{"PONG x0=0.9\r\n", "PO", "\r\n"} {
			h := newAttemptHarness(t, "safe")
			first := h.probeServer(nil)
			if late {
				h.answerProbe(first, "PONG x0=0.5\r\n")
				first.send(t, more)
			} else {
				h.answerProbe(first, "PONG x0=0.5\r\n"+more)
			}
			h.waitUntil("the end of the connection", func() bool {
				h.balancer.handleEvents()
				first.read()
				return first.endErr != nil
			})
			if h.balancer.core.Counters.ProbesFailed != 0 {
				t.Fatal("the probe that was answered failed")
			}
			if second := h.probeServer(nil); second == first {
				t.Fatal("the next probe used the same connection")
			}
		}
	}
}

// A probe's answer that arrives after its deadline is dropped.
func TestProbeAnsweredAfterDeadline(t *testing.T) {
	h := newAttemptHarness(t, "safe")
	first := h.probeServer(nil)
	first.send(t, "PONG x0=0.9\r\n")
	h.waitUntil("the answer in the queue", func() bool { return h.queuedEvents(eventData) > 0 })
	probed := h.balancer.probes["r1"]
	h.balancer.handleTick(probed.deadline.Add(time.Millisecond))
	if probed.pending || probed.conn != nil || h.balancer.core.Counters.ProbesFailed != 1 {
		t.Fatalf("%+v", probed)
	}
	h.balancer.startProbe(core.Probe{Server: "r1", Address: probed.addr, Timeout: testTimeout})
	h.balancer.handleEvents()
	if !probed.pending {
		t.Fatal("the late answer was taken for the next probe's")
	}
	if second := h.awaitProbe(nil); second == first {
		t.Fatal("the next probe used the same connection")
	}
}

// An invalid or endless answer fails the probe and closes the connection.
func TestInvalidProbeAnswers(t *testing.T) {
	for _, answer := range []string{
		strings.Repeat("P", platform.MaxLine),
		"PONG x0=0.5\n",
		"PONG \x01\r\n",
		"NO\r\n",
		"ERR\r\n",
		"\r\n",
	} {
		h := newAttemptHarness(t, "safe")
		probed := h.answerProbe(h.probeServer(nil), answer)
		if probed.conn != nil || h.balancer.core.Counters.ProbesFailed != 1 {
			t.Fatalf("%.20q: %+v", answer, h.balancer.core.Counters)
		}
	}
}

// The server closes the idle connection as the next probe starts, before or after the probe is written: the probe
// fails at once, its server is not taken for a silent one, and the next probe uses another connection.
func TestProbeOnClosedConnection(t *testing.T) {
	for _, closedFirst := range []bool{true, false} {
		h := newAttemptHarness(t, "safe")
		first := h.probeServer(nil)
		probed := h.answerProbe(first, "PONG x0=0.5\r\n")
		conn := probed.conn
		if closedFirst {
			_ = first.conn.Close()
			h.awaitConnState(conn, ended) // its end waits in the queue
			h.balancer.startProbe(core.Probe{Server: "r1", Address: probed.addr, Timeout: testTimeout})
		} else {
			h.balancer.startProbe(core.Probe{Server: "r1", Address: probed.addr, Timeout: testTimeout})
			_ = first.conn.Close()
		}
		h.waitUntil("the probe's end", func() bool { h.balancer.handleEvents(); return !probed.pending })
		if probed.conn != nil || h.balancer.core.Counters.ProbesFailed != 1 {
			t.Fatalf("%+v, %+v", probed, h.balancer.core.Counters)
		}
		if second := h.probeServer(nil); second == first {
			t.Fatal("the next probe used the same connection")
		}
		probed.conn.drop()
	}
}
