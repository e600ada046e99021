package proxy

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"os"
	"runtime/debug"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oatloft/internal/bandwidth"
	"oatloft/internal/revision"
)

// zoneHarness is two zones with a server each, and a balancer in the first. What a server does depends on the client's
// key: "sink" checks that numbered lines arrive in order, "echo" sends back what it receives, "source" sends
// numbered lines, and "raw" only reads.
type zoneHarness struct {
	t               testing.TB
	balancer        *Balancer
	mu              sync.Mutex
	receivedByClass map[string]int64 // received by the far server, by class
	receivedByKey   map[string]int64 // received by the far server, by client
	badLines        atomic.Int64     // lines lost, changed or out of order
	cleanEnds       atomic.Int64     // connections that ended with FIN
	wire            *simulatedWire   // to the far server; nil for none
	clientConns     []net.Conn
}

// simulatedWire simulates a wire with a rate and a one-way delay, which keeps the order of bytes. What a connection
// has in flight is bounded, as by TCP.
type simulatedWire struct {
	mu        sync.Mutex
	rate      float64       // bytes per second
	delay     time.Duration // one-way delay
	busyUntil time.Time     // until when it transmits what it has
}

// maxInFlightBytes bounds what one connection has in flight, in bytes.
const maxInFlightBytes = 64 << 10

// segment is data in flight, and when it arrives.
type segment struct {
	data      []byte
	arrivesAt time.Time
}

// reader returns what a connection sends, as it comes out of the wire.
func (w *simulatedWire) reader(c net.Conn) io.Reader {
	out, in := io.Pipe()
	inFlight := make(chan segment, maxInFlightBytes/1024)
	go func() {
		for p := range inFlight {
			time.Sleep(time.Until(p.arrivesAt))
			if _, err := in.Write(p.data); err != nil {
				break
			}
		}
		_ = in.Close()
	}()
	go func() {
		defer close(inFlight)
		for {
			b := make([]byte, 1024)
			n, err := c.Read(b)
			if err != nil {
				return
			}
			w.mu.Lock()
			if now := time.Now(); w.busyUntil.Before(now) {
				w.busyUntil = now
			}
			w.busyUntil = w.busyUntil.Add(time.Duration(float64(n) / w.rate * 1e9))
			p := segment{data: b[:n], arrivesAt: w.busyUntil.Add(w.delay)}
			w.mu.Unlock()
			inFlight <- p
		}
	}()
	return out
}

func newZoneHarness(t testing.TB) *zoneHarness { return startZoneHarness(t, true) }

func startZoneHarness(t testing.TB, shaped bool) *zoneHarness {
	debug.FreeOSMemory() // what earlier tests left counts towards the balancer's memory
	w := &zoneHarness{t: t, receivedByClass: map[string]int64{}, receivedByKey: map[string]int64{}}
	cfg, err := ParseConfig(w.config(w.listen()), Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	if w.balancer, err = New(cfg, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	if shaped {
		settings := bandwidth.Settings{Lease: time.Second, SafePart: 0.04, Holders: 2}
		if w.balancer.zoneLinks, err = newZoneLinks(w.balancer, settings, 16<<10); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.balancer.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { _ = w.balancer.Run(ctx, nil, nil, nil) })
	if shaped {
		goroutines.Go(func() { w.runAllocator(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		goroutines.Wait()
		for _, c := range w.clientConns {
			_ = c.Close()
		}
	})
	return w
}

// listen opens the addresses of two servers and of discovery, and returns them as pairs of the configuration's
// placeholder and its value.
func (w *zoneHarness) listen() (vars []string) {
	for i, name := range []string{"$r1", "$r2", "$discovery"} {
		l, err := net.Listen("tcp", fmt.Sprintf("127.124.1.%d:0", i+1))
		if err != nil {
			w.t.Fatal(err)
		}
		w.t.Cleanup(func() { _ = l.Close() })
		vars = append(vars, name, l.Addr().String())
		go func() {
			for {
				c, err := l.Accept()
				if err != nil {
					return
				}
				if name != "$discovery" {
					go w.serve(c, name == "$r2")
				}
			}
		}()
	}
	return vars
}

// config returns a configuration whose second server is in another zone, with a class bulk in addition to chat.
func (w *zoneHarness) config(vars []string) []byte {
	body, err := os.ReadFile("testdata/config.json")
	if err != nil {
		w.t.Fatal(err)
	}
	text := strings.NewReplacer(vars...).Replace(string(body))
	text = strings.Replace(text, `"dial":"`+vars[3]+`","site":"a"`, `"dial":"`+vars[3]+`","site":"b"`, 1)
	from := strings.Index(text, `{"name":"chat"`)
	chat := text[from : strings.Index(text[from:], "}")+from+1]
	return []byte(strings.Replace(text, chat, chat+","+strings.Replace(chat, "chat", "bulk", 1), 1))
}

// runAllocator plays the allocator of a fleet with one member, which grants bandwidth to itself.
func (w *zoneHarness) runAllocator(ctx context.Context) {
	part, began := w.balancer.zoneLinks.part, time.Now()
	part.Elected(-time.Hour)
	for ctx.Err() == nil {
		asked := time.Now()
		answer, _ := part.HandleRequest("n0", part.NextRequest(), asked.Sub(began))
		part.ApplyResponse(answer, asked)
		time.Sleep(25 * time.Millisecond)
	}
}

func (w *zoneHarness) setLinks(table ...revision.Link) {
	done := make(chan struct{})
	w.balancer.calls <- func() { w.balancer.setLinks(table); close(done) }
	<-done
}

func numberedLine(n int) string { return fmt.Sprintf("%08d %s\n", n, strings.Repeat("x", 490)) }

// serve plays a server: it answers probes, and serves a request according to its key.
func (w *zoneHarness) serve(c net.Conn, far bool) {
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
		if strings.HasPrefix(words[2], "source") && !sendNumbered(c, words[2]) {
			return
		}
		w.receive(c, in, words[2], class, far)
		return
	}
}

// sendNumbered sends numbered lines; a short source ends after 120. It returns false at the end.
func sendNumbered(c net.Conn, key string) bool {
	for i := range 1 << 20 {
		if strings.HasPrefix(key, "source-short") && i == 120 {
			return false
		}
		if _, err := io.WriteString(c, numberedLine(i)); err != nil {
			return false
		}
	}
	return true
}

// receive counts what the far server receives, and echoes it, checks its lines, or (raw) only counts it.
func (w *zoneHarness) receive(c net.Conn, in *bufio.Reader, key, class string, far bool) {
	var next int
	var partial []byte
	buf := make([]byte, 1024)
	if strings.HasPrefix(key, "raw") {
		buf = make([]byte, 32<<10)
	}
	for {
		n, err := in.Read(buf)
		if far {
			w.mu.Lock()
			w.receivedByClass[class] += int64(n)
			w.receivedByKey[key] += int64(n)
			w.mu.Unlock()
		}
		switch {
		case strings.HasPrefix(key, "raw"):
		case strings.HasPrefix(key, "echo"):
			if _, err := c.Write(buf[:n]); err != nil {
				return
			}
		default:
			partial = w.checkNumbered(append(partial, buf[:n]...), &next)
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				w.cleanEnds.Add(1)
			}
			return
		}
	}
}

// checkNumbered checks the complete lines in data, and returns the rest.
func (w *zoneHarness) checkNumbered(data []byte, next *int) []byte {
	for i := bytes.IndexByte(data, '\n'); i >= 0; i = bytes.IndexByte(data, '\n') {
		if string(data[:i+1]) != numberedLine(*next) {
			w.badLines.Add(1)
		}
		*next++
		data = data[i+1:]
	}
	return data
}

// lastRequestID is the id of the last request, shared by all harnesses.
var lastRequestID atomic.Int64

// connectClient opens a client's connection, established at the far server or the near one.
func (w *zoneHarness) connectClient(key, class string, far bool) (*net.TCPConn, *bufio.Reader) {
	w.t.Helper()
	at := "r1"
	if far {
		at = "r2"
	}
	c, err := net.Dial("tcp", w.balancer.Addr())
	if err != nil {
		w.t.Fatal(err)
	}
	w.clientConns = append(w.clientConns, c)
	_ = c.(*net.TCPConn).SetReadBuffer(16 << 10)
	_ = c.(*net.TCPConn).SetWriteBuffer(16 << 10)
	fmt.Fprintf(
		c,
		"OPEN %d %s-%d c=%s,t=acme,d=2000,at=%s\r\n",
		lastRequestID.Add(1),
		key,
		lastRequestID.Load(),
		class,
		at,
	)
	in := bufio.NewReader(c)
	if line, err := in.ReadString('\n'); err != nil || !strings.HasPrefix(line, "UP") {
		w.t.Fatalf("%q, %v", line, err)
	}
	return c.(*net.TCPConn), in
}

func sendForever(c net.Conn) {
	for i := 0; ; i++ {
		if _, err := io.WriteString(c, numberedLine(i)); err != nil {
			return
		}
	}
}

// measureBytes measures the bytes that the far server receives during d, by class, and their total per second.
func (w *zoneHarness) measureBytes(d time.Duration) (map[string]int64, float64) {
	w.mu.Lock()
	clear(w.receivedByClass)
	w.mu.Unlock()
	began := time.Now()
	time.Sleep(d)
	w.mu.Lock()
	defer w.mu.Unlock()
	sum, got := 0.0, map[string]int64{}
	for class, n := range w.receivedByClass {
		got[class] = n
		sum += float64(n)
	}
	return got, sum / time.Since(began).Seconds()
}

// roundTrip sends a line and returns the time until it has come back.
func roundTrip(c net.Conn, in *bufio.Reader, bytes int) (time.Duration, error) {
	began := time.Now()
	if _, err := io.WriteString(c, strings.Repeat("e", bytes-1)+"\n"); err != nil {
		return 0, err
	}
	_, err := in.ReadString('\n')
	return time.Since(began), err
}

func testLink(from, to string, bytes float64) revision.Link {
	return revision.Link{From: from, To: to, Bytes: bytes, Classes: []revision.LinkClass{
		{Name: "chat", Priority: 1, MinShare: 0.3}, {Name: "bulk", Priority: 2, MinShare: 0.2}}}
}
