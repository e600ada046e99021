package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"maps"
	"net"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oatloft/internal/bandwidth"
	"oatloft/internal/core"
	"oatloft/internal/revision"
)

// sites are two zones with a region each, and a balancer in the first. What the regions do hangs on the terminals'
// keys: "sink" reads numbered lines and has each be the next, "echo" sends back what comes, "source" sends numbered
// lines.
type sites struct {
	t      testing.TB
	server *Balancer
	mu     sync.Mutex
	bytes  map[string]int64 // that came to the far region, by class
	byKey  map[string]int64 // and by terminal
	wrong  atomic.Int64     // lines that weren't the next
	ends   atomic.Int64     // connections that ended in order
	wire   *wire            // what bytes to the far region pass, nil for nothing
	open   []net.Conn
}

// wire passes bytes at its rate, in the order of their coming, and takes a while for its length. What a connection
// has on it at one time is bounded, as by TCP.
type wire struct {
	mu   sync.Mutex
	rate float64
	long time.Duration
	busy time.Time
}

const onWire = 64 << 10

type piece struct {
	b  []byte
	at time.Time
}

// reader is what comes out of the wire of what a connection sends.
func (w *wire) reader(c net.Conn) io.Reader {
	out, in := io.Pipe()
	way := make(chan piece, onWire/1024)
	go func() {
		for p := range way {
			time.Sleep(time.Until(p.at))
			if _, err := in.Write(p.b); err != nil {
				break
			}
		}
		_ = in.Close()
	}()
	go func() {
		defer close(way)
		for {
			b := make([]byte, 1024)
			n, err := c.Read(b)
			if err != nil {
				return
			}
			w.mu.Lock()
			if now := time.Now(); w.busy.Before(now) {
				w.busy = now
			}
			w.busy = w.busy.Add(time.Duration(float64(n) / w.rate * 1e9))
			p := piece{b: b[:n], at: w.busy.Add(w.long)}
			w.mu.Unlock()
			way <- p
		}
	}()
	return out
}

func newSites(t testing.TB) *sites { return sitesWith(t, true) }

func sitesWith(t testing.TB, on bool) *sites {
	w := &sites{t: t, bytes: map[string]int64{}, byKey: map[string]int64{}}
	var vars []string
	for i, name := range []string{"$r1", "$r2", "$discovery"} {
		l, err := net.Listen("tcp", fmt.Sprintf("127.124.1.%d:0", i+1))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { _ = l.Close() })
		vars = append(vars, name, l.Addr().String())
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if name != "$discovery" {
					go w.region(c, name == "$r2")
				}
			}
		}()
	}
	body, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	text := strings.NewReplacer(vars...).Replace(string(body))
	text = strings.Replace(text, `"dial":"`+vars[3]+`","site":"a"`, `"dial":"`+vars[3]+`","site":"b"`, 1)
	from := strings.Index(text, `{"name":"chat"`)
	chat := text[from : strings.Index(text[from:], "}")+from+1]
	text = strings.Replace(text, chat, chat+","+strings.Replace(chat, "chat", "bulk", 1), 1)
	cfg, err := ParseConfig([]byte(text), Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	if w.server, err = New(cfg, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	if on {
		if w.server.zoneLinks, err = newZoneLinks(w.server, bandwidth.Settings{Lease: time.Second, SafePart: 0.04, Holders: 2}, 16<<10); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.server.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	over := make(chan struct{}, 2)
	go func() { _ = w.server.Run(ctx, nil, nil, nil); over <- struct{}{} }()
	go func() { // the only member, which lends to itself
		defer func() { over <- struct{}{} }()
		if !on {
			return
		}
		part, began := w.server.zoneLinks.part, time.Now()
		part.Elected(-time.Hour)
		for ctx.Err() == nil {
			asked := time.Now()
			answer, _ := part.Grant("n0", part.Demand(), asked.Sub(began))
			part.Granted(answer, asked)
			time.Sleep(25 * time.Millisecond)
		}
	}()
	t.Cleanup(func() {
		cancel()
		<-over
		<-over
		for _, c := range w.open {
			_ = c.Close()
		}
	})
	return w
}

func (w *sites) set(table ...revision.Link) {
	done := make(chan struct{})
	w.server.calls <- func() { w.server.setLinks(table); close(done) }
	<-done
}

func numbered(n int) string { return fmt.Sprintf("%08d %s\n", n, strings.Repeat("x", 490)) }

func (w *sites) region(c net.Conn, far bool) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	if w.wire != nil && far {
		in = bufio.NewReader(w.wire.reader(c))
	}
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if !strings.HasPrefix(line, "OPEN ") {
			fmt.Fprint(c, "PONG latency_ms=3.5,inflight=10,x0=0.2\r\n")
			continue
		}
		words := strings.Fields(line)
		class, _, _ := strings.Cut(strings.TrimPrefix(words[3], "c="), ",")
		fmt.Fprint(c, "UP 1\r\n")
		if strings.HasPrefix(words[2], "source") {
			for i := range 1 << 20 {
				if strings.HasPrefix(words[2], "source-short") && i == 120 {
					return
				}
				if _, err := io.WriteString(c, numbered(i)); err != nil {
					return
				}
			}
		}
		var next int
		var begun []byte
		buf := make([]byte, 1024)
		if strings.HasPrefix(words[2], "raw") {
			buf = make([]byte, 32<<10)
		}
		for {
			n, err := in.Read(buf)
			if far {
				w.mu.Lock()
				w.bytes[class] += int64(n)
				w.byKey[words[2]] += int64(n)
				w.mu.Unlock()
			}
			if strings.HasPrefix(words[2], "raw") {
			} else if strings.HasPrefix(words[2], "echo") {
				if _, err := c.Write(buf[:n]); err != nil {
					return
				}
			} else {
				begun = append(begun, buf[:n]...)
				for i := bytes.IndexByte(begun, '\n'); i >= 0; i = bytes.IndexByte(begun, '\n') {
					if string(begun[:i+1]) != numbered(next) {
						w.wrong.Add(1)
					}
					next++
					begun = begun[i+1:]
				}
			}
			if err != nil {
				if errors.Is(err, io.EOF) {
					w.ends.Add(1)
				}
				return
			}
		}
	}
}

var asked atomic.Int64

// terminal opens a connection that stands at the far region, or the near one.
func (w *sites) terminal(key, class string, far bool) (*net.TCPConn, *bufio.Reader) {
	w.t.Helper()
	at := "r1"
	if far {
		at = "r2"
	}
	c, err := net.Dial("tcp", w.server.Addr())
	if err != nil {
		w.t.Fatal(err)
	}
	w.open = append(w.open, c)
	_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
	_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
	fmt.Fprintf(c, "OPEN %d %s-%d c=%s,t=acme,d=2000,at=%s\r\n", asked.Add(1), key, asked.Load(), class, at)
	in := bufio.NewReader(c)
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "UP") {
		w.t.Fatalf("%q, %v", line, err)
	}
	return c.(*net.TCPConn), in
}

func pump(c net.Conn) {
	for i := 0; ; i++ {
		if _, err := io.WriteString(c, numbered(i)); err != nil {
			return
		}
	}
}

// over measures the bytes that come to the far region, by class, and their sum a second.
func (w *sites) over(d time.Duration) (map[string]int64, float64) {
	w.mu.Lock()
	clear(w.bytes)
	w.mu.Unlock()
	began := time.Now()
	time.Sleep(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	sum, got := 0.0, map[string]int64{}
	for class, n := range w.bytes {
		got[class] = n
		sum += float64(n)
	}
	return got, sum / time.Since(began).Seconds()
}

// echo sends a line and waits for it.
func echo(c net.Conn, in *bufio.Reader, bytes int) (time.Duration, error) {
	began := time.Now()
	if _, err := io.WriteString(c, strings.Repeat("e", bytes-1)+"\n"); err != nil {
		return 0, err
	}
	_, err := in.ReadString('\n')
	return time.Since(began), err
}

func linkOf(from, to string, bytes float64) revision.Link {
	return revision.Link{From: from, To: to, Bytes: bytes, Classes: []revision.LinkClass{
		{Name: "chat", Priority: 1, MinShare: 0.3}, {Name: "bulk", Priority: 2, MinShare: 0.2}}}
}

// Bytes of terminals at full tilt pass a link at its rate and no faster, whole and in order; those of the first
// class and those that cross no link aren't held up; and without the table they pass freely again.
func TestLinkHoldsBackTerminals(t *testing.T) {
	w := newSites(t)
	const rate = 300e3
	w.set(linkOf("a", "b", rate))
	for range 4 {
		c, _ := w.terminal("sink", "bulk", true)
		go pump(c)
	}
	chat, chatIn := w.terminal("echo", "chat", true)
	near, nearIn := w.terminal("echo", "bulk", false)
	time.Sleep(200 * time.Millisecond)
	var longest [2]time.Duration
	done := make(chan error, 1)
	go func() {
		for range 60 {
			for i, x := range []struct {
				c  net.Conn
				in *bufio.Reader
			}{{chat, chatIn}, {near, nearIn}} {
				took, err := echo(x.c, x.in, 400)
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
	got, sum := w.over(1500 * time.Millisecond)
	if err := <-done; err != nil {
		t.Fatal(err)
	}
	t.Logf(
		"%.0f bytes a second of %.0f, %v; a first class's message took %v at most, one that crosses no link %v",
		sum,
		rate,
		got,
		longest[0],
		longest[1],
	)
	if sum > 1.05*rate || sum < 0.5*rate {
		t.Errorf("%.0f bytes a second over a link of %.0f: %v", sum, rate, got)
	}
	if longest[0] > 400*time.Millisecond ||
		longest[1] > 400*time.Millisecond { // bulk waits seconds for what its buffers hold
		t.Errorf("messages took %v", longest)
	}
	w.set()
	if _, sum := w.over(300 * time.Millisecond); sum < 3*rate {
		t.Errorf("%.0f bytes a second without a table", sum)
	}
	if n := w.wrong.Load(); n > 0 {
		t.Errorf("%d lines weren't the next", n)
	}
}

// Bytes of regions are held back as well; a terminal that doesn't read costs the others nothing.
func TestLinkHoldsBackRegions(t *testing.T) {
	w := newSites(t)
	const rate = 1e6
	w.set(linkOf("b", "a", rate))
	w.terminal("source", "bulk", true) // reads nothing
	var read, wrong atomic.Int64
	for range 3 {
		_, in := w.terminal("source", "bulk", true)
		go func() {
			for i := 0; ; i++ {
				line, err := in.ReadString('\n')
				if err != nil {
					return
				}
				if line != numbered(i) {
					wrong.Add(1)
				}
				read.Add(int64(len(line)))
			}
		}()
	}
	time.Sleep(1200 * time.Millisecond) // until the buffers of the one that doesn't read are full
	was, began := read.Load(), time.Now()
	time.Sleep(1500 * time.Millisecond)
	if sum := float64(read.Load()-was) / time.Since(began).Seconds(); sum > 1.1*rate || sum < 0.5*rate ||
		wrong.Load() > 0 {
		t.Errorf("%.0f bytes a second of %.0f, %d lines weren't the next", sum, rate, wrong.Load())
	}
}

// A side that ends with bytes still held back loses none of them, and its end comes behind them.
func TestEndsWaitForWhatIsHeldBack(t *testing.T) {
	w := newSites(t)
	const rate = 100e3
	both := []revision.Link{linkOf("a", "b", rate), linkOf("b", "a", rate)}
	w.set(both...)
	began := time.Now()
	up, _ := w.terminal("sink", "bulk", true)
	_, downIn := w.terminal("source-short", "bulk", true)
	var lines bytes.Buffer
	for i := range 120 {
		lines.WriteString(numbered(i))
	}
	if _, err := up.Write(lines.Bytes()); err != nil {
		t.Fatal(err)
	}
	_ = up.CloseWrite()
	for i := range 120 {
		if line, err := downIn.ReadString('\n'); err != nil || line != numbered(i) {
			t.Fatalf("line %d from the region: %.20q, %v", i, line, err)
		}
	}
	if line, err := downIn.ReadString('\n'); err == nil {
		t.Errorf("%q after the region's end", line)
	}
	down := time.Since(began)
	for w.ends.Load() == 0 && time.Since(began) < 5*time.Second {
		time.Sleep(5 * time.Millisecond)
	}
	took, least := time.Since(began), time.Duration(float64(lines.Len())/rate*0.85*1e9)
	w.mu.Lock()
	defer w.mu.Unlock()
	if n := w.bytes["bulk"]; n != int64(lines.Len()) || w.wrong.Load() > 0 {
		t.Errorf("%d of %d bytes came, %d lines weren't the next", n, lines.Len(), w.wrong.Load())
	}
	if took < least || down < least || took > 4*time.Second {
		t.Errorf("%v to the region and %v from it for what takes %v", took, down, least)
	}
}

// A region whose answers wait here for their turn isn't taken for a slow one.
func TestHeldBackIsNotSlow(t *testing.T) {
	w := newSites(t)
	w.set(linkOf("b", "a", 1500))
	c, in := w.terminal("echo", "bulk", true)
	took, err := echo(c, in, 700)
	if err != nil || took < 300*time.Millisecond {
		t.Fatal(took, err)
	}
	done := make(chan int64)
	w.server.calls <- func() { done <- w.server.core.Counters.DelaysReported }
	if n := <-done; n > 0 {
		t.Errorf("told for slow %d times", n)
	}
}

// A region that has had a part of a terminal's line, and answers it piece by piece, has the rest when the terminal
// is to be moved: its line ends, and MOVE comes behind it. At its turns the line would take 4 s.
func TestMovedInsideALineThatIsHeldBack(t *testing.T) {
	w := newSites(t)
	w.set(linkOf("a", "b", 2000), linkOf("b", "a", 2000))
	c, in := w.terminal("echo", "bulk", true)
	text := strings.Repeat("e", 7999) + "\n"
	go func() { _, _ = io.WriteString(c, text+text) }()
	time.Sleep(300 * time.Millisecond)
	w.server.calls <- func() { w.server.step(core.ShutdownRequested{HandedOver: true}) }
	_ = c.SetReadDeadline(time.Now().Add(3 * time.Second))
	if line, err := in.ReadString('\n'); err != nil || line != text {
		t.Fatalf("%d bytes of a line, %v", len(line), err)
	}
	if line, err := in.ReadString('\n'); err != nil || line != "MOVE\r\n" {
		t.Errorf("%.20q in place of MOVE, %v", line, err)
	}
}

// BenchmarkTopClassDelay tells how long messages of 400 bytes of the first class take there and back over a wire of
// 1 MB/s, alone and with eight terminals of a bulk class at full tilt, with the link bounded and as it was before;
// the two sites 0 and 10 ms apart.
func BenchmarkTopClassDelay(b *testing.B) {
	const rate = 1e6
	for _, long := range []time.Duration{0, 10 * time.Millisecond} {
		for _, x := range []struct {
			name  string
			bulk  int
			bound bool
		}{{"idle", 0, false}, {"idle-bounded", 0, true}, {"bulk", 8, false}, {"bulk-bounded", 8, true}} {
			b.Run(fmt.Sprint(long, "/", x.name), func(b *testing.B) {
				w := newSites(b)
				w.wire = &wire{rate: rate, long: long}
				if x.bound {
					w.set(linkOf("a", "b", rate))
				}
				c, in := w.terminal("echo", "chat", true)
				var bulk []net.Conn
				for range x.bulk {
					c, _ := w.terminal("sink", "bulk", true)
					bulk = append(bulk, c)
				}
				for _, c := range bulk {
					go pump(c)
				}
				time.Sleep(time.Second)
				var list []time.Duration
				done := make(chan float64, 1)
				go func() { _, sum := w.over(2 * time.Second); done <- sum }()
				for began := time.Now(); time.Since(began) < 2*time.Second; time.Sleep(5 * time.Millisecond) {
					took, err := echo(c, in, 400)
					if err != nil { // moved for its messages' delay
						break
					}
					list = append(list, took)
				}
				if len(list) == 0 {
					b.Fatal("no message came back")
				}
				slices.Sort(list)
				b.ReportMetric(float64(list[len(list)/2].Microseconds()), "p50-us")
				b.ReportMetric(float64(list[len(list)*99/100].Microseconds()), "p99-us")
				b.ReportMetric(100*<-done/rate, "%used")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// used is the processor's time of this process, which other processes on a busy machine don't add to.
func used() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// BenchmarkLinkCost tells what bounded links cost set-ups and bulk that they don't bound, in turns: off, on without
// a link in the table, and with one of 100 GB/s each way. Regions and terminals are in the same process.
func BenchmarkLinkCost(b *testing.B) {
	const turns, setups = 9, 200
	names := []string{"off", "on, no link", "on, a wide link"}
	var got [3][5][]float64 // by name
	for range turns {
		for i, name := range names {
			b.Run(name, func(b *testing.B) {
				w := sitesWith(b, i > 0)
				if i == 2 {
					w.set(linkOf("a", "b", 100e9), linkOf("b", "a", 100e9))
				}
				var took []float64
				before := used()
				for range setups {
					began := time.Now()
					c, in := w.terminal("echo", "bulk", true)
					took = append(took, float64(time.Since(began).Microseconds()))
					_ = c.CloseWrite()
					_, _ = io.Copy(io.Discard, in) // a tenant's connections are counted until they have ended
					_ = c.Close()
				}
				setUp := float64((used() - before).Microseconds()) / setups
				slices.Sort(took)
				for range 4 {
					c, _ := w.terminal("raw", "bulk", true)
					go func() {
						for piece := make([]byte, 32<<10); ; {
							if _, err := c.Write(piece); err != nil {
								return
							}
						}
					}()
				}
				time.Sleep(200 * time.Millisecond)
				before = used()
				_, sum := w.over(time.Second)
				for k, x := range []float64{took[setups/2], took[setups*99/100], setUp, sum / 1e6, float64((used() - before).Microseconds()) / sum * 1e6} {
					got[i][k] = append(got[i][k], x)
				}
			})
		}
	}
	for i, name := range names {
		line := fmt.Sprintf("%-16s", name)
		for k, x := range []string{"set-up p50 us", "p99 us", "processor us", "bulk MB/s", "processor us a MB"} {
			if list := got[i][k]; len(list) > 0 {
				slices.Sort(list)
				line += fmt.Sprintf("  %s %.0f (%.0f to %.0f)", x, list[len(list)/2], list[0], list[len(list)-1])
			}
		}
		b.Log(line)
	}
}

// BenchmarkThinLink has 200 terminals at full tilt on a link of 20 kB/s: the part of it that is used, and how
// evenly the terminals had it.
func BenchmarkThinLink(b *testing.B) {
	const rate, seconds = 20e3, 20
	w := newSites(b)
	w.set(linkOf("a", "b", rate))
	var all []net.Conn
	for range 200 {
		c, in := w.terminal("echo", "bulk", true)
		all = append(all, c)
		go func() { _, _ = io.Copy(io.Discard, in) }()
	}
	for _, c := range all {
		go pump(c)
	}
	time.Sleep(3 * time.Second)
	before := w.lines()
	_, sum := w.over(seconds * time.Second)
	after := w.lines()
	var list []int64
	for key, n := range after {
		list = append(list, n-before[key])
	}
	slices.Sort(list)
	b.ReportMetric(100*sum/rate, "%used")
	b.ReportMetric(float64(list[len(list)/5]), "p20-bytes") // some were moved by then, as always
	b.ReportMetric(float64(list[len(list)/2]), "p50-bytes")
	b.ReportMetric(float64(list[len(list)-1]), "most-bytes")
	b.ReportMetric(0, "ns/op")
}

// lines are the bytes that came to the far region, by terminal.
func (w *sites) lines() map[string]int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.byKey)
}
