package proxy

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/revision"
)

// Clients that send at full speed are limited to a link's rate, and their bytes arrive complete and in order. Traffic
// of the first class and traffic that crosses no link are not delayed. Without a table there is no limit any more.
func TestLinkLimitsClients(t *testing.T) {
	w := newZoneHarness(t)
	const rate = 300e3
	w.setLinks(testLink("a", "b", rate))
	for range 4 {
		c, _ := w.connectClient("sink", "bulk", true)
		go sendForever(c)
	}
	chat, chatIn := w.connectClient("echo", "chat", true)
	near, nearIn := w.connectClient("echo", "bulk", false)
	time.Sleep(200 * time.Millisecond)
	var longest [2]time.Duration
	done := make(chan error, 1)
	go func() {
		for range 60 {
			for i, x := range []struct {
				c  net.Conn
				in *bufio.Reader
			}{{chat, chatIn}, {near, nearIn}} {
				took, err := roundTrip(x.c, x.in, 400)
				if err != nil {
					done <- err
					return
				}
				longest[i] = max(longest[i], took)
			}
			time.Sleep(20 * time.Millisecond)
		}
		done <- nil
	}()
	got, sum := w.measureBytes(1500 * time.Millisecond)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	t.Logf(
		"%.0f bytes/s of %.0f, %v; a message of the first class took %v at most, one that crosses no link %v",
		sum,
		rate,
		got,
		longest[0],
		longest[1],
	)
	if sum > 1.05*rate || sum < 0.5*rate {
		t.Errorf("%.0f bytes/s over a link of %.0f: %v", sum, rate, got)
	}
	if longest[0] > 400*time.Millisecond ||
		longest[1] > 400*time.Millisecond { // bulk messages take seconds, behind what is buffered
		t.Errorf("messages took %v", longest)
	}
	w.setLinks()
	if _, sum := w.measureBytes(300 * time.Millisecond); sum < 3*rate {
		t.Errorf("%.0f bytes/s without a table", sum)
	}
	if n := w.badLines.Load(); n > 0 {
		t.Errorf("%d lines lost, changed or out of order", n)
	}
}

// Bytes from servers are limited as well, and a client that does not read takes no bandwidth from the others.
func TestLinkLimitsServers(t *testing.T) {
	w := newZoneHarness(t)
	const rate = 1e6
	w.setLinks(testLink("b", "a", rate))
	w.connectClient("source", "bulk", true) // reads nothing
	var read, wrong atomic.Int64
	for range 3 {
		_, in := w.connectClient("source", "bulk", true)
		go func() {
			for i := 0; ; i++ {
				line, err := in.ReadString('\n')
				if err != nil {
					return
				}
				if line != numberedLine(i) {
					wrong.Add(1)
				}
				read.Add(int64(len(line)))
			}
		}()
	}
	time.Sleep(1200 * time.Millisecond) // until the buffers of the client that does not read are full
	before, began := read.Load(), time.Now()
	time.Sleep(1500 * time.Millisecond)
	if sum := float64(read.Load()-before) / time.Since(began).Seconds(); sum > 1.1*rate || sum < 0.5*rate ||
		wrong.Load() > 0 {
		t.Errorf("%.0f bytes/s of %.0f, %d lines lost, changed or out of order", sum, rate, wrong.Load())
	}
}

// A peer that closes while its bytes still wait for a link loses none of them, and its end follows them.
func TestEndsFollowQueuedBytes(t *testing.T) {
	w := newZoneHarness(t)
	const rate = 100e3
	both := []revision.Link{testLink("a", "b", rate), testLink("b", "a", rate)}
	w.setLinks(both...)
	began := time.Now()
	up, _ := w.connectClient("sink", "bulk", true)
	_, downIn := w.connectClient("source-short", "bulk", true)
	var lines bytes.Buffer
	for i := range 120 {
		lines.WriteString(numberedLine(i))
	}
	if _, err := up.Write(lines.Bytes()); err != nil {
		t.Fatal(err)
	}
	_ = up.CloseWrite()
	for i := range 120 {
		if line, err := downIn.ReadString('\n'); err != nil || line != numberedLine(i) {
			t.Fatalf("line %d from the server: %.20q, %v", i, line, err)
		}
	}
	if line, err := downIn.ReadString('\n'); err == nil {
		t.Errorf("%q after the server's end", line)
	}
	down := time.Since(began)
	for w.cleanEnds.Load() == 0 && time.Since(began) < 5*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	took, shortest := time.Since(began), time.Duration(float64(lines.Len())/rate*0.85*1e9)
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := w.receivedByClass["bulk"]; n != int64(lines.Len()) || w.badLines.Load() > 0 {
		t.Errorf("%d of %d bytes arrived, %d lines lost, changed or out of order", n, lines.Len(), w.badLines.Load())
	}
	if took < shortest || down < shortest || took > 4*time.Second {
		t.Errorf("%v to the server and %v from it, want at least %v", took, down, shortest)
	}
}

// A server whose answers wait at the balancer for their turn is not counted as slow.
func TestQueuedAnswersAreNotSlow(t *testing.T) {
	w := newZoneHarness(t)
	w.setLinks(testLink("b", "a", 1500))
	c, in := w.connectClient("echo", "bulk", true)
	took, err := roundTrip(c, in, 700)
	if err != nil || took < 300*time.Millisecond {
		t.Fatal(took, err)
	}
	done := make(chan int64)
	w.balancer.calls <- func() { done <- w.balancer.core.Counters.DelaysReported }
	if n := <-done; n > 0 {
		t.Errorf("%d delays reported", n)
	}
}

// A client is migrated while its line is partly sent to a server that echoes it piece by piece. The server receives
// the rest of the line without waiting for turns, which would take 4 s; the echoed line is completed and MOVE follows.
func TestMigrationCompletesQueuedLine(t *testing.T) {
	w := newZoneHarness(t)
	w.setLinks(testLink("a", "b", 2000), testLink("b", "a", 2000))
	c, in := w.connectClient("echo", "bulk", true)
	text := strings.Repeat("e", 7999) + "\n"
	go func() { _, _ = io.WriteString(c, text+text) }()
	time.Sleep(300 * time.Millisecond)
	w.balancer.calls <- func() { w.balancer.step(core.ShutdownRequested{HandedOver: true}) }
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	if line, err := in.ReadString('\n'); err != nil || line != text {
		t.Fatalf("%d bytes of a line, %v", len(line), err)
	}
	if line, err := in.ReadString('\n'); err != nil || line != "MOVE\r\n" {
		t.Errorf("got %.20q instead of MOVE, %v", line, err)
	}
}
