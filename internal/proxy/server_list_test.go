package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oatloft/policy"
)

// These tests play discovery over sockets. Each stops a call at the named point, and checks the next call or the
// state that the balancer has of a server.

const (
	discoveryWait = 30 * time.Second // what has to happen has happened by then, even on a busy machine
	// The platform's rule: a balancer has to know a change this long after discovery had it and was reachable.
	maxUpdateDelay = 6 * time.Second
	// A pause of this process that the balancer may take for silence of discovery.
	longPause         = 700 * time.Millisecond
	okHead            = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	unavailableAnswer = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// pausedNanos is the total time, in nanoseconds, for which this process did not run. On a busy machine that may be
// seconds, which do not count as the balancer's time.
var (
	pausedNanos  atomic.Int64
	longPauses   atomic.Int64 // pauses longer than longPause
	pauseMonitor sync.Once
)

// unpausedNow returns the current time less this process's pauses.
func unpausedNow() time.Time {
	pauseMonitor.Do(func() {
		go func() {
			const interval = 20 * time.Millisecond
			for last := time.Now(); ; last = time.Now() {
				time.Sleep(interval)
				if excess := time.Since(last) - interval; excess > interval {
					pausedNanos.Add(int64(excess))
				}
				if time.Since(last) > longPause {
					longPauses.Add(1)
				}
			}
		}()
	})
	return time.Now().Add(-time.Duration(pausedNanos.Load()))
}

// discoveryCall is a call to discovery, as the test's discovery sees it.
type discoveryCall struct {
	*testPeer
	from int64     // the list version in the call
	at   time.Time // when the call arrived
}

func (p *exchange) nextCall(t *testing.T) *discoveryCall {
	t.Helper()
	select {
	case peer := <-p.watchCalls:
		c := &discoveryCall{testPeer: peer}
		_ = peer.conn.SetReadDeadline(time.Now().Add(discoveryWait))
		line, err := peer.in.ReadString('\n')
		c.at = unpausedNow()
		_, text, _ := strings.Cut(line, "from=")
		text, _, _ = strings.Cut(text, " ")
		if line == "" && err != nil {
			return p.nextCall(t) // canceled before it was sent
		}
		if c.from, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		for line != "\r\n" && err == nil {
			line, err = peer.in.ReadString('\n')
		}
		_ = peer.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := peer.in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return p.nextCall(t) // canceled before this test got to it
		}
		return c
	case <-time.After(discoveryWait):
		t.Fatal("no call to discovery")
	}
	return nil
}

func (c *discoveryCall) send(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		t.Fatal(err)
	}
}

// answerCall answers a call and waits until the balancer has a server in the wanted state. If this test answers so
// late on a busy machine that the call was canceled, it answers the next one.
func (p *exchange) answerCall(t *testing.T, c *discoveryCall, text, id string, want policy.ServerState) *discoveryCall {
	t.Helper()
	_, _ = io.WriteString(c.conn, text)
	for end := time.Now().Add(discoveryWait); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if p.hasState(id, want) {
			return c
		}
		if len(p.watchCalls) > 0 {
			c = p.nextCall(t)
			_, _ = io.WriteString(c.conn, text)
		}
	}
	t.Fatalf("%s is not in state %d", id, want)
	return nil
}

// sendHeartbeats sends a heartbeat, an empty line, on the call every 100 ms until stopped.
func (c *discoveryCall) sendHeartbeats() (stop func()) {
	done, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-done:
				return
			case <-time.After(100 * time.Millisecond):
				_, _ = io.WriteString(c.conn, httpChunk("\n"))
			}
		}
	}()
	return func() { close(done); <-ended }
}

// awaitClose waits for the balancer to close the call.
func (c *discoveryCall) awaitClose(t *testing.T) {
	t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(discoveryWait))
	if _, err := c.in.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("the call is still open:", err)
	}
}

func httpChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// listLine returns a list with the health of r1 and r2, if given, as one line.
func (p *exchange) listLine(seq int, full bool, r1, r2 string) string {
	var hosts []string
	for name, health := range map[string]string{"r1": r1, "r2": r2} {
		if health != "" {
			hosts = append(
				hosts,
				fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","health":%q,"share":1}`, name, p.servers[name].Addr(), health),
			)
		}
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`+"\n", seq, full, strings.Join(hosts, ","))
}

// awaitState waits until the balancer has a server in a state.
func (p *exchange) awaitState(t *testing.T, id string, want policy.ServerState) {
	t.Helper()
	for end := time.Now().Add(discoveryWait); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if p.hasState(id, want) {
			return
		}
	}
	t.Fatalf("%s is not in state %d", id, want)
}

func (p *exchange) hasState(id string, want policy.ServerState) bool {
	states := make(chan policy.ServerState, 1)
	p.balancer.calls <- func() {
		state := policy.Gone
		for _, s := range p.balancer.core.ListedServers() {
			if s.ID == id {
				state = s.State
			}
		}
		states <- state
	}
	return <-states == want
}

// pollRarely makes the balancer poll discovery at a long interval.
func (p *exchange) pollRarely() {
	cfg := p.balancer.cfg
	cfg.Core.Policy.PollInterval = 2 * time.Minute
	p.reload <- cfg
}

// Whenever a call goes silent, the next one begins, from the version that the balancer has, before a missed change
// is overdue.
func TestSilentWatchIsReopened(t *testing.T) {
	for name, sent := range map[string]func(p *exchange) []string{
		"accepted, never answered": func(*exchange) []string { return nil },
		"head, no line":            func(*exchange) []string { return []string{okHead} },
		"half a head":              func(*exchange) []string { return []string{okHead[:20]} },
		"first line in mid-chunk": func(p *exchange) []string {
			return []string{okHead, httpChunk(p.listLine(8, true, "ready", "ready"))[:60]}
		},
		"after an empty line": func(*exchange) []string { return []string{okHead, httpChunk("\n")} },
		"after a list": func(p *exchange) []string {
			return []string{okHead, httpChunk(p.listLine(8, true, "ready", "ready"))}
		},
		"in mid-chunk, of a drain": func(p *exchange) []string {
			return []string{okHead, httpChunk("\n"), httpChunk(p.listLine(8, false, "draining", ""))[:60]}
		},
	} {
		p := startExchange(t, "") // one after the other: nbio keeps its limits in global variables
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.pollRarely()
			c := p.nextCall(t)
			for _, text := range sent(p) {
				c.send(t, text)
			}
			silentSince := unpausedNow()
			next := p.nextCall(t)
			if took := next.at.Sub(silentSince); took > maxUpdateDelay {
				t.Errorf("the next call arrived %v after the silence began", took)
			}
			c.awaitClose(t)
			if next.from != c.from && name != "after a list" || next.from > 8 {
				t.Error("the next call is from version", next.from)
			}
			p.answerCall(t, next, okHead+httpChunk(p.listLine(9, false, "draining", "")), "r1", policy.Draining)
			p.awaitState(t, "r2", policy.Live)
		})
	}
}

// However many calls have failed, and in whatever way, the second one after discovery's return arrives in time, even
// if the first one hangs. The configured poll interval is two minutes.
func TestWatchIsReopenedInTimeAfterFailures(t *testing.T) {
	failures := map[string]func(t *testing.T, c *discoveryCall){
		"refused with 503": func(t *testing.T, c *discoveryCall) { c.send(t, unavailableAnswer) },
		"reset": func(_ *testing.T, c *discoveryCall) {
			_ = c.conn.(*net.TCPConn).SetLinger(0)
			_ = c.conn.Close()
		},
		"ended unanswered": func(_ *testing.T, c *discoveryCall) { _ = c.conn.Close() },
		"last chunk":       func(t *testing.T, c *discoveryCall) { c.send(t, okHead+"0\r\n\r\n") },
		"invalid":          func(t *testing.T, c *discoveryCall) { c.send(t, okHead+httpChunk("{]\n")) },
		"canceled":         func(t *testing.T, c *discoveryCall) { c.awaitClose(t) },
	}
	for name, fail := range failures {
		p := startExchange(t, "") // one after the other: nbio keeps its limits in global variables
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.pollRarely()
			for range 4 {
				fail(t, p.nextCall(t))
			}
			returned := unpausedNow()
			_ = p.nextCall(t) // hangs
			second := p.nextCall(t)
			if took := second.at.Sub(returned); took > maxUpdateDelay {
				t.Errorf("the second call arrived %v after discovery's return", took)
			}
			p.answerCall(t, second, okHead+httpChunk(p.listLine(8, false, "draining", "draining")), "r1", policy.Draining)
			p.awaitState(t, "r2", policy.Draining)
		})
	}
}

// A list that arrives slowly, over longer than a call may be silent, is read even though the next call has begun
// meanwhile. An endless list does not block updates: the next call is answered, and closes it.
func TestSlowListAndEndlessList(t *testing.T) {
	for _, endless := range []bool{false, true} {
		t.Run(fmt.Sprint("endless ", endless), func(t *testing.T) {
			for !runSlowList(t, endless) {
				t.Log("this process paused so long that the balancer may have received no data: repeating")
			}
		})
	}
}

// runSlowList plays one slow list. It returns false if this process paused meanwhile, which the balancer takes for
// silence.
func runSlowList(t *testing.T, endless bool) bool {
	t.Helper()
	p := startExchange(t, "")
	first := p.nextCall(t)
	pausesBefore := longPauses.Load()
	list := httpChunk(p.listLine(9, true, "draining", "ready"))
	first.send(t, okHead+list[:50])
	stop, stopped := make(chan struct{}), make(chan struct{})
	go func() { // blanks between the parts of an object
		defer close(stopped)
		tick := time.NewTicker(100 * time.Millisecond)
		defer tick.Stop()
		for rest := list[50 : len(list)-20]; ; {
			select {
			case <-stop:
				_, _ = io.WriteString(first.conn, rest+list[len(list)-20:])
				return
			case <-tick.C:
				if len(rest) > 1 {
					_, _ = io.WriteString(first.conn, rest[:1])
					rest = rest[1:]
				}
			}
		}
	}()
	next := p.nextCall(t)
	if longPauses.Load() > pausesBefore {
		close(stop)
		<-stopped
		return false
	}
	if took := next.at.Sub(first.at); took > maxUpdateDelay {
		t.Errorf("the next call arrived %v after the slow one", took)
	}
	if endless {
		next.send(t, okHead+httpChunk(p.listLine(8, false, "", "draining")))
		p.awaitState(t, "r2", policy.Draining)
		first.awaitClose(t)
		close(stop)
		<-stopped
		return true
	}
	close(stop)
	<-stopped
	p.awaitState(t, "r1", policy.Draining)
	next.send(t, okHead+httpChunk("\n"))
	first.awaitClose(t)
	next.send(t, httpChunk(p.listLine(10, false, "ready", "")))
	p.awaitState(t, "r1", policy.Live)
	return true
}

// An invalid entry does not prevent the balancer from applying the drain in the same list, nor end its watch.
func TestInvalidEntryInList(t *testing.T) {
	p := startExchange(t, "")
	line := strings.Replace(p.listLine(8, true, "draining", "ready"), `"health":"ready"`, `"health":"well"`, 1)
	c := p.answerCall(t, p.nextCall(t), okHead+httpChunk(line), "r1", policy.Draining)
	p.awaitState(t, "r2", policy.Live)
	c.send(t, httpChunk(p.listLine(9, false, "", "gone")))
	p.awaitState(t, "r2", policy.Gone)
}

// A watch is reset, or closed after a list's last brace, after a last chunk or between two chunks, right before a
// drain: the next call arrives in time.
func TestWatchEndsRightBeforeADrain(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, p *exchange, c *discoveryCall){
		"reset": func(t *testing.T, p *exchange, c *discoveryCall) {
			_ = c.conn.(*net.TCPConn).SetLinger(0)
			_ = c.conn.Close()
		},
		"between two chunks": func(t *testing.T, p *exchange, c *discoveryCall) { _ = c.conn.Close() },
		"last chunk":         func(t *testing.T, p *exchange, c *discoveryCall) { c.send(t, "0\r\n\r\n") },
		"last brace": func(t *testing.T, p *exchange, c *discoveryCall) {
			c.send(t, httpChunk(strings.TrimSpace(p.listLine(8, false, "", "draining"))))
			_ = c.conn.Close()
			p.awaitState(t, "r2", policy.Draining)
		},
	} {
		p := startExchange(t, "") // one after the other: nbio keeps its limits in global variables
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.pollRarely()
			c := p.nextCall(t)
			c.send(t, okHead+httpChunk("\n"))
			end(t, p, c)
			ended := unpausedNow()
			next := p.nextCall(t)
			if took := next.at.Sub(ended); took > maxUpdateDelay/2 {
				t.Errorf("the next call arrived %v after the end", took)
			}
			p.answerCall(t, next, okHead+httpChunk(p.listLine(9, false, "draining", "")), "r1", policy.Draining)
		})
	}
}

// A reload names another address of discovery. Until that one has answered, updates from the old one count; older
// data from the new one does not; and once the new one has answered, the old call is closed.
func TestReloadWithAnotherDiscovery(t *testing.T) {
	for name, x := range map[string]func(t *testing.T, p *exchange, old, first *discoveryCall) *discoveryCall{
		"answers at once": func(_ *testing.T, _ *exchange, _, first *discoveryCall) *discoveryCall { return first },
		"503 first": func(t *testing.T, p *exchange, _, first *discoveryCall) *discoveryCall {
			first.send(t, unavailableAnswer)
			return p.nextCall(t)
		},
		"never answers the first call": func(t *testing.T, p *exchange, _, first *discoveryCall) *discoveryCall {
			next := p.nextCall(t)
			first.awaitClose(t)
			return next
		},
		"the old one ends before": func(t *testing.T, _ *exchange, old, first *discoveryCall) *discoveryCall {
			_ = old.conn.Close()
			return first
		},
		"invalid answer by the old one": func(t *testing.T, _ *exchange, old, first *discoveryCall) *discoveryCall {
			old.send(t, "zz\r\n")
			old.awaitClose(t)
			return first
		},
	} {
		p := startExchange(t, "") // one after the other: nbio keeps its limits in global variables
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			old := p.answerCall(
				t,
				p.nextCall(t),
				okHead+httpChunk(p.listLine(8, true, "ready", "draining")),
				"r2",
				policy.Draining,
			)
			stopHeartbeats := old.sendHeartbeats()
			cfg := p.balancer.cfg
			cfg.Discovery.File = p.servers["moved"].Addr().String()
			p.reload <- cfg
			first := p.nextCall(t)
			stopHeartbeats()
			old.send(t, httpChunk(p.listLine(9, false, "ready", ""))+httpChunk(p.listLine(10, false, "draining", "")))
			p.awaitState(t, "r1", policy.Draining)
			next := x(t, p, old, first)
			if next.from == 8 { // opened before the old one's update arrived: its answer begins with what is known
				next.send(t, okHead+httpChunk(p.listLine(9, false, "ready", "")))
				old.awaitClose(t)
				p.awaitState(t, "r1", policy.Draining)
			} else {
				next.send(t, okHead+httpChunk("\n"))
				old.awaitClose(t)
			}
			next.send(t, httpChunk(p.listLine(11, false, "", "ready")))
			p.awaitState(t, "r2", policy.Live)
			p.awaitState(t, "r1", policy.Draining)
		})
	}
}

// Idle clients use up the descriptors while discovery is silent. The call is made nevertheless, and its updates are
// applied; clients that are rejected get an answer or are not accepted at all, but are never reset.
func TestWatchUnderOverload(t *testing.T) {
	p := startExchange(t, "sockets 60")
	first := p.nextCall(t) // silent
	clients := make([]*testPeer, 0, 80)
	for range cap(clients) {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		clients = append(clients, newTestPeer(c))
	}
	second := p.nextCall(t) // silent as well
	first.awaitClose(t)
	third := p.nextCall(t)
	if took := third.at.Sub(first.at); took > maxUpdateDelay {
		t.Errorf("the third call arrived %v after the first", took)
	}
	second.awaitClose(t)
	p.answerCall(t, third, okHead+httpChunk(p.listLine(8, false, "draining", "draining")), "r1", policy.Draining)
	p.awaitState(t, "r2", policy.Draining)
	answered := 0
	for _, c := range clients {
		_ = c.conn.SetReadDeadline(time.Now().Add(discoveryWait))
		line, err := c.in.ReadString('\n')
		if err != nil {
			t.Fatalf("%q, %v", line, err)
		}
		if word := strings.TrimSpace(line); word != "ERR" && !strings.HasPrefix(word, "BUSY") {
			t.Fatalf("%q", line)
		}
		answered++
		if rest, err := io.ReadAll(c.in); err != nil || len(rest) > 0 {
			t.Fatalf("%q after the answer, %v", rest, err)
		}
	}
	if answered != len(clients) {
		t.Fatal(answered, "of", len(clients), "were answered")
	}
}
