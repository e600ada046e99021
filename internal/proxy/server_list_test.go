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
	listWait = 30 * time.Second // what has to happen has happened by then, even on a busy machine
	// The platform's rule: a balancer has to know a change this long after discovery had it and was reachable.
	listTold = 6 * time.Second
	// A pause of this process that the balancer may take for silence of discovery.
	listStall = 700 * time.Millisecond
	listHead  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	listBusy  = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// listStood is the total time, in nanoseconds, for which this process did not run. On a busy machine that may be
// seconds, which do not count as the balancer's time.
var (
	listStood  atomic.Int64
	listStalls atomic.Int64 // pauses longer than listStall
	listGauge  sync.Once
)

func listClock() time.Time {
	listGauge.Do(func() {
		go func() {
			const step = 20 * time.Millisecond
			for last := time.Now(); ; last = time.Now() {
				time.Sleep(step)
				if late := time.Since(last) - step; late > step {
					listStood.Add(int64(late))
				}
				if time.Since(last) > listStall {
					listStalls.Add(1)
				}
			}
		}()
	})
	return time.Now().Add(-time.Duration(listStood.Load()))
}

// listCall is a call to discovery, as the test's discovery sees it.
type listCall struct {
	*peer
	from int64     // the list version in the call
	at   time.Time // when the call arrived
}

func (p *play) listNext(t *testing.T) *listCall {
	t.Helper()
	select {
	case peer := <-p.watches:
		c := &listCall{peer: peer}
		_ = peer.conn.SetReadDeadline(time.Now().Add(listWait))
		line, err := peer.in.ReadString('\n')
		c.at = listClock()
		_, text, _ := strings.Cut(line, "from=")
		text, _, _ = strings.Cut(text, " ")
		if line == "" && err != nil {
			return p.listNext(t) // canceled before it was sent
		}
		if c.from, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		for line != "\r\n" && err == nil {
			line, err = peer.in.ReadString('\n')
		}
		_ = peer.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := peer.in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return p.listNext(t) // canceled before this test got to it
		}
		return c
	case <-time.After(listWait):
		t.Fatal("no call to discovery")
	}
	return nil
}

func (c *listCall) says(t *testing.T, text string) {
	t.Helper()
	if _, err := io.WriteString(c.conn, text); err != nil {
		t.Fatal(err)
	}
}

// listAnswer answers a call and waits until the balancer has a server in the wanted state. If this test answers so
// late on a busy machine that the call was canceled, it answers the next one.
func (p *play) listAnswer(t *testing.T, c *listCall, text, id string, want policy.ServerState) *listCall {
	t.Helper()
	_, _ = io.WriteString(c.conn, text)
	for end := time.Now().Add(listWait); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if p.listHolds(id, want) {
			return c
		}
		if len(p.watches) > 0 {
			c = p.listNext(t)
			_, _ = io.WriteString(c.conn, text)
		}
	}
	t.Fatalf("%s is not in state %d", id, want)
	return nil
}

// beats sends a heartbeat, an empty line, on the call every 100 ms until stopped.
func (c *listCall) beats() (stop func()) {
	over, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for {
			select {
			case <-over:
				return
			case <-time.After(100 * time.Millisecond):
				_, _ = io.WriteString(c.conn, listChunk("\n"))
			}
		}
	}()
	return func() { close(over); <-ended }
}

// listEnds waits for the balancer to close the call.
func (c *listCall) listEnds(t *testing.T) {
	t.Helper()
	_ = c.conn.SetReadDeadline(time.Now().Add(listWait))
	if _, err := c.in.ReadByte(); err == nil || errors.Is(err, os.ErrDeadlineExceeded) {
		t.Fatal("the call is still open:", err)
	}
}

func listChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// listOf returns a list with the health of r1 and r2, if given, as one line.
func (p *play) listOf(seq int, whole bool, r1, r2 string) string {
	var hosts []string
	for name, health := range map[string]string{"r1": r1, "r2": r2} {
		if health != "" {
			hosts = append(
				hosts,
				fmt.Sprintf(`{"host":%q,"dial":%q,"site":"a","health":%q,"share":1}`, name, p.regions[name].Addr(), health),
			)
		}
	}
	return fmt.Sprintf(`{"seq":%d,"whole":%v,"hosts":[%s]}`+"\n", seq, whole, strings.Join(hosts, ","))
}

// listHas waits until the balancer has a server in a state.
func (p *play) listHas(t *testing.T, id string, want policy.ServerState) {
	t.Helper()
	for end := time.Now().Add(listWait); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if p.listHolds(id, want) {
			return
		}
	}
	t.Fatalf("%s is not in state %d", id, want)
}

func (p *play) listHolds(id string, want policy.ServerState) bool {
	held := make(chan policy.ServerState, 1)
	p.server.calls <- func() {
		state := policy.Gone
		for _, s := range p.server.core.ListedServers() {
			if s.ID == id {
				state = s.State
			}
		}
		held <- state
	}
	return <-held == want
}

// listRarely makes the balancer poll discovery at a long interval.
func (p *play) listRarely() {
	cfg := p.server.cfg
	cfg.Core.Policy.PollInterval = 2 * time.Minute
	p.reload <- cfg
}

// Whenever a call goes silent, the next one begins, from the version that the balancer has, before a missed change
// is overdue.
func TestSilentWatchIsReopened(t *testing.T) {
	for name, said := range map[string]func(p *play) []string{
		"accepted, never answered": func(*play) []string { return nil },
		"head, no line":            func(*play) []string { return []string{listHead} },
		"half a head":              func(*play) []string { return []string{listHead[:20]} },
		"first line in mid-chunk": func(p *play) []string {
			return []string{listHead, listChunk(p.listOf(8, true, "ready", "ready"))[:60]}
		},
		"after an empty line": func(*play) []string { return []string{listHead, listChunk("\n")} },
		"after a list": func(p *play) []string {
			return []string{listHead, listChunk(p.listOf(8, true, "ready", "ready"))}
		},
		"in mid-chunk, of a drain": func(p *play) []string {
			return []string{listHead, listChunk("\n"), listChunk(p.listOf(8, false, "draining", ""))[:60]}
		},
	} {
		p := start(t, "") // one after the other: nbio keeps its limits in global variables
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.listRarely()
			c := p.listNext(t)
			for _, text := range said(p) {
				c.says(t, text)
			}
			silent := listClock()
			next := p.listNext(t)
			if took := next.at.Sub(silent); took > listTold {
				t.Errorf("the next call arrived %v after the silence began", took)
			}
			c.listEnds(t)
			if next.from != c.from && name != "after a list" || next.from > 8 {
				t.Error("the next call is from version", next.from)
			}
			p.listAnswer(t, next, listHead+listChunk(p.listOf(9, false, "draining", "")), "r1", policy.Draining)
			p.listHas(t, "r2", policy.Live)
		})
	}
}

// However many calls have failed, and in whatever way, the second one after discovery's return arrives in time, even
// if the first one hangs. The configured poll interval is two minutes.
func TestWatchIsReopenedInTimeAfterFailures(t *testing.T) {
	fails := map[string]func(t *testing.T, c *listCall){
		"refused with 503": func(t *testing.T, c *listCall) { c.says(t, listBusy) },
		"reset":            func(_ *testing.T, c *listCall) { _ = c.conn.(*net.TCPConn).SetLinger(0); _ = c.conn.Close() },
		"ended unanswered": func(_ *testing.T, c *listCall) { _ = c.conn.Close() },
		"last chunk":       func(t *testing.T, c *listCall) { c.says(t, listHead+"0\r\n\r\n") },
		"invalid":          func(t *testing.T, c *listCall) { c.says(t, listHead+listChunk("{]\n")) },
		"canceled":         func(t *testing.T, c *listCall) { c.listEnds(t) },
	}
	for name, fail := range fails {
		p := start(t, "") // one after the other: nbio keeps its limits in global variables
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.listRarely()
			for range 4 {
				fail(t, p.listNext(t))
			}
			back := listClock()
			_ = p.listNext(t) // hangs
			second := p.listNext(t)
			if took := second.at.Sub(back); took > listTold {
				t.Errorf("the second call arrived %v after discovery's return", took)
			}
			p.listAnswer(t, second, listHead+listChunk(p.listOf(8, false, "draining", "draining")), "r1", policy.Draining)
			p.listHas(t, "r2", policy.Draining)
		})
	}
}

// A list that arrives slowly, over longer than a call may be silent, is read even though the next call has begun
// meanwhile. An endless list does not block updates: the next call is answered, and closes it.
func TestSlowListAndEndlessList(t *testing.T) {
	for _, endless := range []bool{false, true} {
		t.Run(fmt.Sprint("endless ", endless), func(t *testing.T) {
			for !listIsSlow(t, endless) {
				t.Log("this process paused so long that the balancer may have received no data: repeating")
			}
		})
	}
}

// listIsSlow plays one slow list. It returns false if this process paused meanwhile, which the balancer takes for
// silence.
func listIsSlow(t *testing.T, endless bool) bool {
	t.Helper()
	p := start(t, "")
	first := p.listNext(t)
	stalls := listStalls.Load()
	list := listChunk(p.listOf(9, true, "draining", "ready"))
	first.says(t, listHead+list[:50])
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
	next := p.listNext(t)
	if listStalls.Load() > stalls {
		close(stop)
		<-stopped
		return false
	}
	if took := next.at.Sub(first.at); took > listTold {
		t.Errorf("the next call arrived %v after the slow one", took)
	}
	if endless {
		next.says(t, listHead+listChunk(p.listOf(8, false, "", "draining")))
		p.listHas(t, "r2", policy.Draining)
		first.listEnds(t)
		close(stop)
		<-stopped
		return true
	}
	close(stop)
	<-stopped
	p.listHas(t, "r1", policy.Draining)
	next.says(t, listHead+listChunk("\n"))
	first.listEnds(t)
	next.says(t, listChunk(p.listOf(10, false, "ready", "")))
	p.listHas(t, "r1", policy.Live)
	return true
}

// An invalid entry does not prevent the balancer from applying the drain in the same list, nor end its watch.
func TestInvalidEntryInList(t *testing.T) {
	p := start(t, "")
	line := strings.Replace(p.listOf(8, true, "draining", "ready"), `"health":"ready"`, `"health":"well"`, 1)
	c := p.listAnswer(t, p.listNext(t), listHead+listChunk(line), "r1", policy.Draining)
	p.listHas(t, "r2", policy.Live)
	c.says(t, listChunk(p.listOf(9, false, "", "gone")))
	p.listHas(t, "r2", policy.Gone)
}

// A watch is reset, or closed after a list's last brace, after a last chunk or between two chunks, right before a
// drain: the next call arrives in time.
func TestWatchEndsRightBeforeADrain(t *testing.T) {
	for name, end := range map[string]func(t *testing.T, p *play, c *listCall){
		"reset": func(t *testing.T, p *play, c *listCall) {
			_ = c.conn.(*net.TCPConn).SetLinger(0)
			_ = c.conn.Close()
		},
		"between two chunks": func(t *testing.T, p *play, c *listCall) { _ = c.conn.Close() },
		"last chunk":         func(t *testing.T, p *play, c *listCall) { c.says(t, "0\r\n\r\n") },
		"last brace": func(t *testing.T, p *play, c *listCall) {
			c.says(t, listChunk(strings.TrimSpace(p.listOf(8, false, "", "draining"))))
			_ = c.conn.Close()
			p.listHas(t, "r2", policy.Draining)
		},
	} {
		p := start(t, "") // one after the other: nbio keeps its limits in global variables
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.listRarely()
			c := p.listNext(t)
			c.says(t, listHead+listChunk("\n"))
			end(t, p, c)
			ended := listClock()
			next := p.listNext(t)
			if took := next.at.Sub(ended); took > listTold/2 {
				t.Errorf("the next call arrived %v after the end", took)
			}
			p.listAnswer(t, next, listHead+listChunk(p.listOf(9, false, "draining", "")), "r1", policy.Draining)
		})
	}
}

// A reload names another address of discovery. Until that one has answered, updates from the old one count; older
// data from the new one does not; and once the new one has answered, the old call is closed.
func TestReloadWithAnotherDiscovery(t *testing.T) {
	for name, x := range map[string]func(t *testing.T, p *play, old, first *listCall) *listCall{
		"answers at once": func(_ *testing.T, _ *play, _, first *listCall) *listCall { return first },
		"503 first": func(t *testing.T, p *play, _, first *listCall) *listCall {
			first.says(t, listBusy)
			return p.listNext(t)
		},
		"never answers the first call": func(t *testing.T, p *play, _, first *listCall) *listCall {
			next := p.listNext(t)
			first.listEnds(t)
			return next
		},
		"the old one ends before": func(t *testing.T, _ *play, old, first *listCall) *listCall {
			_ = old.conn.Close()
			return first
		},
		"invalid answer by the old one": func(t *testing.T, _ *play, old, first *listCall) *listCall {
			old.says(t, "zz\r\n")
			old.listEnds(t)
			return first
		},
	} {
		p := start(t, "") // one after the other: nbio keeps its limits in global variables
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			old := p.listAnswer(
				t,
				p.listNext(t),
				listHead+listChunk(p.listOf(8, true, "ready", "draining")),
				"r2",
				policy.Draining,
			)
			quiet := old.beats()
			cfg := p.server.cfg
			cfg.Discovery = p.regions["moved"].Addr().String()
			p.reload <- cfg
			first := p.listNext(t)
			quiet()
			old.says(t, listChunk(p.listOf(9, false, "ready", ""))+listChunk(p.listOf(10, false, "draining", "")))
			p.listHas(t, "r1", policy.Draining)
			next := x(t, p, old, first)
			if next.from == 8 { // opened before the old one's update arrived: its answer begins with what is known
				next.says(t, listHead+listChunk(p.listOf(9, false, "ready", "")))
				old.listEnds(t)
				p.listHas(t, "r1", policy.Draining)
			} else {
				next.says(t, listHead+listChunk("\n"))
				old.listEnds(t)
			}
			next.says(t, listChunk(p.listOf(11, false, "", "ready")))
			p.listHas(t, "r2", policy.Live)
			p.listHas(t, "r1", policy.Draining)
		})
	}
}

// Idle clients use up the descriptors while discovery is silent. The call is made nevertheless, and its updates are
// applied; clients that are rejected get an answer or are not accepted at all, but are never reset.
func TestWatchUnderOverload(t *testing.T) {
	p := start(t, "sockets 60")
	first := p.listNext(t) // silent
	clients := make([]*peer, 0, 80)
	for range cap(clients) {
		c, err := net.Dial("tcp", p.addr)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = c.Close() })
		clients = append(clients, newPeer(c))
	}
	second := p.listNext(t) // silent as well
	first.listEnds(t)
	third := p.listNext(t)
	if took := third.at.Sub(first.at); took > listTold {
		t.Errorf("the third call arrived %v after the first", took)
	}
	second.listEnds(t)
	p.listAnswer(t, third, listHead+listChunk(p.listOf(8, false, "draining", "draining")), "r1", policy.Draining)
	p.listHas(t, "r2", policy.Draining)
	answered := 0
	for _, c := range clients {
		_ = c.conn.SetReadDeadline(time.Now().Add(listWait))
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
