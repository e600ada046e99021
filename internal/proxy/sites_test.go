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
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"oatloft/internal/bandwidth"
	"oatloft/internal/revision"
)

// sites is two zones with a server each, and a balancer in the first. What a server does depends on the client's
// key: "sink" checks that numbered lines arrive in order, "echo" sends back what it receives, "source" sends
// numbered lines, and "raw" only reads.
type sites struct {
	t      testing.TB
	server *Balancer
	mu     sync.Mutex
	bytes  map[string]int64 // received by the far server, by class
	byKey  map[string]int64 // received by the far server, by client
	wrong  atomic.Int64     // lines lost, changed or out of order
	ends   atomic.Int64     // connections that ended with FIN
	wire   *wire            // simulated wire to the far server; nil for none
	open   []net.Conn
}

// wire simulates a wire with a rate and a one-way delay, which keeps the order of bytes. What a connection has in
// flight is bounded, as by TCP.
type wire struct {
	mu   sync.Mutex
	rate float64       // bytes per second
	long time.Duration // one-way delay
	busy time.Time     // until when it transmits what it has
}

// onWire bounds what one connection has in flight, in bytes.
const onWire = 64 << 10

// piece is data in flight, and when it arrives.
type piece struct {
	b  []byte
	at time.Time
}

// reader returns what a connection sends, as it comes out of the wire.
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
	cfg, err := ParseConfig(w.config(w.listen()), Overrides{})
	if err != nil {
		t.Fatal(err)
	}
	if w.server, err = New(cfg, slog.New(slog.DiscardHandler)); err != nil {
		t.Fatal(err)
	}
	if on {
		settings := bandwidth.Settings{Lease: time.Second, SafePart: 0.04, Holders: 2}
		if w.server.zoneLinks, err = newZoneLinks(w.server, settings, 16<<10); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.server.Start(); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	goroutines.Go(func() { _ = w.server.Run(ctx, nil, nil, nil) })
	if on {
		goroutines.Go(func() { w.grant(ctx) })
	}
	t.Cleanup(func() {
		cancel()
		goroutines.Wait()
		for _, c := range w.open {
			_ = c.Close()
		}
	})
	return w
}

// listen opens the addresses of two servers and of discovery, and returns them as pairs of the configuration's
// placeholder and its value.
func (w *sites) listen() (vars []string) {
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
					go w.region(c, name == "$r2")
				}
			}
		}()
	}
	return vars
}

// config returns a configuration whose second server is in another zone, with a class bulk in addition to chat.
func (w *sites) config(vars []string) []byte {
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

// grant plays the allocator of a fleet with one member, which grants bandwidth to itself.
func (w *sites) grant(ctx context.Context) {
	part, began := w.server.zoneLinks.part, time.Now()
	part.Elected(-time.Hour)
	for ctx.Err() == nil {
		asked := time.Now()
		answer, _ := part.Grant("n0", part.Demand(), asked.Sub(began))
		part.Granted(answer, asked)
		time.Sleep(25 * time.Millisecond)
	}
}

func (w *sites) set(table ...revision.Link) {
	done := make(chan struct{})
	w.server.calls <- func() { w.server.setLinks(table); close(done) }
	<-done
}

func numbered(n int) string { return fmt.Sprintf("%08d %s\n", n, strings.Repeat("x", 490)) }

// region plays a server: it answers probes, and serves a request according to its key.
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
		if _, err := io.WriteString(c, numbered(i)); err != nil {
			return false
		}
	}
	return true
}

// receive counts what the far server receives, and echoes it, checks its lines, or (raw) only counts it.
func (w *sites) receive(c net.Conn, in *bufio.Reader, key, class string, far bool) {
	var next int
	var begun []byte
	buf := make([]byte, 1024)
	if strings.HasPrefix(key, "raw") {
		buf = make([]byte, 32<<10)
	}
	for {
		n, err := in.Read(buf)
		if far {
			w.mu.Lock()
			w.bytes[class] += int64(n)
			w.byKey[key] += int64(n)
			w.mu.Unlock()
		}
		switch {
		case strings.HasPrefix(key, "raw"):
		case strings.HasPrefix(key, "echo"):
			if _, err := c.Write(buf[:n]); err != nil {
				return
			}
		default:
			begun = w.checkNumbered(append(begun, buf[:n]...), &next)
		}
		if err != nil {
			if errors.Is(err, io.EOF) {
				w.ends.Add(1)
			}
			return
		}
	}
}

// checkNumbered checks the complete lines in data, and returns the rest.
func (w *sites) checkNumbered(data []byte, next *int) []byte {
	for i := bytes.IndexByte(data, '\n'); i >= 0; i = bytes.IndexByte(data, '\n') {
		if string(data[:i+1]) != numbered(*next) {
			w.wrong.Add(1)
		}
		*next++
		data = data[i+1:]
	}
	return data
}

var asked atomic.Int64

// terminal opens a client's connection, established at the far server or the near one.
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

// over measures the bytes that the far server receives during d, by class, and their total per second.
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

// echo sends a line and returns the time until it has come back.
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
