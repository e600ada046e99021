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

// The list over sockets: a stand-in for discovery holds each call at the named point, and the next call, or what the
// balancer holds of a server, is what tells.

const (
	listWait  = 30 * time.Second // whatever has to come at all has come by then, also on a busy machine
	listTold  = 6 * time.Second  // the rule: a change counts as told so long after discovery had it and could be reached
	listStall = 700 * time.Millisecond
	listHead  = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	listBusy  = "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n"
)

// listStood adds up how long this process has stood still, which a busy machine may have it do for seconds: that
// isn't the balancer's time.
var (
	listStood  atomic.Int64
	listStalls atomic.Int64 // how often for so long that the balancer could take a stand-in for silent
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

// listCall is a call to discovery as the stand-in sees it.
type listCall struct {
	*peer
	from int64     // the version that it names
	at   time.Time // when it had come
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
			return p.listNext(t) // given up before it was sent
		}
		if c.from, err = strconv.ParseInt(text, 10, 64); err != nil {
			t.Fatalf("%q: %v", line, err)
		}
		for line != "\r\n" && err == nil {
			line, err = peer.in.ReadString('\n')
		}
		_ = peer.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
		if _, err := peer.in.Peek(1); !errors.Is(err, os.ErrDeadlineExceeded) {
			return p.listNext(t) // given up before this test came to it
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

// listAnswer answers a call and waits for what it tells to be held. Where the machine had this test answer so late
// that the call was given up, the next one is answered.
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
	t.Fatalf("%s isn't held as %d", id, want)
	return nil
}

// beats has an empty line come by the call every so often, as long as nobody says anything else.
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
		t.Fatal("the call stands:", err)
	}
}

func listChunk(text string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(text), text) }

// listOf is a line that tells the health of r1 and r2, where given.
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

// listHas waits until the balancer holds a server in a state.
func (p *play) listHas(t *testing.T, id string, want policy.ServerState) {
	t.Helper()
	for end := time.Now().Add(listWait); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if p.listHolds(id, want) {
			return
		}
	}
	t.Fatalf("%s isn't held as %d", id, want)
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

// listRarely has the balancer ask no sooner than long settings let it.
func (p *play) listRarely() {
	cfg := p.server.cfg
	cfg.Core.Policy.PollInterval = 2 * time.Minute
	p.reload <- cfg
}

// Wherever a call falls silent, the next one begins, from the version held, before what is missed counts as told.
func TestSilentCallIsBegunAnew(t *testing.T) {
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
		p := start(t, "") // one after the other: nbio keeps its limits in variables of its own
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
				t.Errorf("the next call came %v after the silence began", took)
			}
			c.listEnds(t)
			if next.from != c.from && name != "after a list" || next.from > 8 {
				t.Error("asked from", next.from)
			}
			p.listAnswer(t, next, listHead+listChunk(p.listOf(9, false, "draining", "")), "r1", policy.Draining)
			p.listHas(t, "r2", policy.Live)
		})
	}
}

// However many calls have failed, and in whatever way, the second one after discovery's return comes within the
// rule's time, though the first one hangs. The settings would let the balancer ask once in two minutes.
func TestCallsFollowWithinTheRuleAfterFailures(t *testing.T) {
	fails := map[string]func(t *testing.T, c *listCall){
		"refused with 503": func(t *testing.T, c *listCall) { c.says(t, listBusy) },
		"reset":            func(_ *testing.T, c *listCall) { _ = c.conn.(*net.TCPConn).SetLinger(0); _ = c.conn.Close() },
		"ended unanswered": func(_ *testing.T, c *listCall) { _ = c.conn.Close() },
		"last chunk":       func(t *testing.T, c *listCall) { c.says(t, listHead+"0\r\n\r\n") },
		"spoilt":           func(t *testing.T, c *listCall) { c.says(t, listHead+listChunk("{]\n")) },
		"given up":         func(t *testing.T, c *listCall) { c.listEnds(t) },
	}
	for name, fail := range fails {
		p := start(t, "") // one after the other: nbio keeps its limits in variables of its own
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
				t.Errorf("the second call came %v after discovery's return", took)
			}
			p.listAnswer(t, second, listHead+listChunk(p.listOf(8, false, "draining", "draining")), "r1", policy.Draining)
			p.listHas(t, "r2", policy.Draining)
		})
	}
}

// A list that comes slowly is waited for, over longer than a call may be silent, and is read though the next call
// has begun meanwhile. One without end keeps nobody deaf: that next call is answered, and ends it.
func TestSlowListAndEndlessList(t *testing.T) {
	for _, endless := range []bool{false, true} {
		t.Run(fmt.Sprint("endless ", endless), func(t *testing.T) {
			for !listIsSlow(t, endless) {
				t.Log("this process stood still for so long that the balancer could hear no piece: played again")
			}
		})
	}
}

// listIsSlow plays one such list. It is false where this process stood still meanwhile: that is silence to the
// balancer.
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
		t.Errorf("the next call came %v after the one that is slow", took)
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

// One entry that can't be read keeps the balancer neither from the drain beside it nor from its watch.
func TestBadEntryOnTheWatch(t *testing.T) {
	p := start(t, "")
	line := strings.Replace(p.listOf(8, true, "draining", "ready"), `"health":"ready"`, `"health":"well"`, 1)
	c := p.listAnswer(t, p.listNext(t), listHead+listChunk(line), "r1", policy.Draining)
	p.listHas(t, "r2", policy.Live)
	c.says(t, listChunk(p.listOf(9, false, "", "gone")))
	p.listHas(t, "r2", policy.Gone)
}

// A watch that is reset, or ended behind a list's last brace, a last chunk, or between two chunks, right before a
// drain.
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
		p := start(t, "") // one after the other: nbio keeps its limits in variables of its own
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p.listRarely()
			c := p.listNext(t)
			c.says(t, listHead+listChunk("\n"))
			end(t, p, c)
			ended := listClock()
			next := p.listNext(t)
			if took := next.at.Sub(ended); took > listTold/2 {
				t.Errorf("the next call came %v after the end", took)
			}
			p.listAnswer(t, next, listHead+listChunk(p.listOf(9, false, "draining", "")), "r1", policy.Draining)
		})
	}
}

// SIGHUP names another discovery. Until that one has answered, the old one's news count; what the new one says that
// is older than those doesn't; and once it has answered, the old call is ended.
func TestAnotherDiscovery(t *testing.T) {
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
		"spoilt answer by the old one": func(t *testing.T, _ *play, old, first *listCall) *listCall {
			old.says(t, "zz\r\n")
			old.listEnds(t)
			return first
		},
	} {
		p := start(t, "") // one after the other: nbio keeps its limits in variables of its own
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
			if next.from == 8 { // asked before the old one's news came: its answer begins with what is known
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

// Idle clients fill the descriptors while discovery is silent. The call is made all the same, and its news are
// heard; who is turned away is answered, or not taken in at all, but never reset.
func TestCallIsMadeInACrowd(t *testing.T) {
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
		t.Errorf("the third call came %v after the first", took)
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
			t.Fatalf("%q behind the answer, %v", rest, err)
		}
	}
	if answered != len(clients) {
		t.Fatal(answered, "of", len(clients), "were answered")
	}
}
