package fake

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"oatloft/internal/rules"
)

// Fault is what a region does wrong, or at all unlike an idle one.
type Fault int32

// The faults. They hold for connections that come while they are set; probes are answered in all but Vanished,
// Stalled and Reset.
const (
	None          Fault = iota
	Busy                // turns every request away
	ErrorAnswer         // answers ERR
	Reset               // resets after the first line
	Stalled             // takes the line and says nothing
	PartialAnswer       // answers half a line and ends
	Lying               // reports no load, whatever it holds
	RefusedProbes       // answers NO to probes
)

// Region is one server.
type Region struct {
	Name, Addr string
	Zone       string // "here" if ""

	w         *World
	listener  net.Listener
	fault     atomic.Int32
	load      atomic.Int64 // what x0 is reported as, in thousandths, for each connection it holds weight more
	weight    atomic.Int64
	startedAt atomic.Int64 // when it came up cold, by the world's clock; 0 for warm
	peakLoad  atomic.Int64 // most of what it can do that it was sent while cold, in thousandths
	delay     atomic.Int64 // before UP
	open      atomic.Int64
	requests  atomic.Int64
	probes    atomic.Int64
	mu        sync.Mutex
	conns     map[net.Conn]bool
	closed    bool
	receipts  int
}

// Set has the region do something wrong from now on.
func (r *Region) Set(f Fault) { r.fault.Store(int32(f)) }

// SetLoad sets x0, the load asked over what it can do, without any connection.
func (r *Region) SetLoad(x0 float64) { r.load.Store(int64(x0 * 1000)) }

// SetWeight sets how much of what it can do a connection takes, warm.
func (r *Region) SetWeight(x0 float64) { r.weight.Store(int64(x0 * 1000)) }

// A region that came up can do coldFrom of what it does warm, and all of it after coldFor; it falls over when sent more than
// tipAt times what it can do for tipAfter. Config tells the balancers so.
const (
	warmUpInitialShare = 0.34
	warmUpDuration     = 8600 * time.Millisecond
	overloadFactor     = 4.0
	overloadDuration   = 3 * time.Second
)

func (r *Region) loadFactor(connections int64) float64 {
	x := float64(r.load.Load()+r.weight.Load()*connections) / 1000
	if born := r.startedAt.Load(); born > 0 {
		if age := r.w.Now() - time.Duration(born); age < warmUpDuration {
			x /= warmUpInitialShare + (1-warmUpInitialShare)*float64(age)/float64(warmUpDuration)
		}
	}
	return x
}

// Renew has the region be one that came up just now. Who sends it too much for too long is found.
func (r *Region) Renew() {
	r.startedAt.Store(int64(r.w.Now()))
	r.w.Go(func() {
		overloaded := time.Duration(0)
		for previous := r.w.Now(); previous-time.Duration(r.startedAt.Load()) < warmUpDuration; {
			time.Sleep(20 * time.Millisecond)
			now := r.w.Now()
			x := r.loadFactor(r.open.Load())
			r.peakLoad.Store(max(r.peakLoad.Load(), int64(1000*x)))
			if x <= overloadFactor {
				overloaded = 0
			} else if overloaded += now - previous; overloaded >= overloadDuration {
				r.w.Saw(rules.ServerOverloaded, "", r.Name, fmt.Sprintf("%.1f times what it can do", x))
				return
			}
			previous = now
			r.mu.Lock()
			gone := r.closed
			r.mu.Unlock()
			if gone {
				return
			}
		}
	})
}

// Pushed is the most that it was sent while cold, over what it could do.
func (r *Region) Pushed() float64 { return float64(r.peakLoad.Load()) / 1000 }

// SetDelay sets how long it takes until UP.
func (r *Region) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Open is how many connections it holds, Took how many requests came, Probes how many probes.
func (r *Region) Open() int64 { return r.open.Load() }

// Took is how many requests came.
func (r *Region) Took() int64 { return r.requests.Load() }

// Probes is how many probes came.
func (r *Region) Probes() int64 { return r.probes.Load() }

// Terminate ends the region: its connections are reset and new ones refused.
func (r *Region) Terminate() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.closed = true
	for c := range r.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
}

// SendAway moves all its terminals, as a draining server does.
func (r *Region) SendAway() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_, _ = c.Write([]byte("MOVE\r\n"))
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}
}

func (r *Region) accept() {
	for {
		c, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.mu.Lock()
		if r.closed {
			r.mu.Unlock()
			_ = c.Close()
			continue
		}
		r.conns[c] = true
		r.mu.Unlock()
		r.w.Go(func() {
			r.serve(c)
			_ = c.Close()
			r.mu.Lock()
			delete(r.conns, c)
			r.mu.Unlock()
		})
	}
}

// serve answers probes until the first line of a request comes.
func (r *Region) serve(c net.Conn) {
	in := bufio.NewReaderSize(c, 4096)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		f := Fault(r.fault.Load())
		if strings.HasPrefix(line, "OPEN ") {
			r.serveRequest(c, in, line, f)
			return
		}
		r.probes.Add(1)
		switch {
		case f == Reset:
			resetConnection(c)
			return
		case f == Stalled:
		case f == RefusedProbes || line != "STATS" && line != "PING":
			fmt.Fprint(c, "NO\r\n")
		case line == "PING":
			fmt.Fprint(c, "PONG\r\n")
		default:
			n := r.open.Load()
			x0 := r.loadFactor(n)
			if f == Lying {
				n, x0 = 0, 0
			}
			fmt.Fprintf(c, "PONG latency_ms=1.5,inflight=%d,x0=%.3f\r\n", n, x0)
		}
	}
}

func (r *Region) serveRequest(c net.Conn, in *bufio.Reader, line string, f Fault) {
	words := strings.Split(line, " ")
	if len(words) != 4 {
		fmt.Fprint(c, "SYNTAX\r\n")
		return
	}
	id := words[1]
	r.requests.Add(1)
	r.w.SawBy(r.w.balancerOf(c), rules.Routed, id, r.Name, "")
	defer r.w.Saw(rules.RoutedEnded, id, r.Name, "")
	switch f {
	case Busy:
		fmt.Fprint(c, "BUSY\r\n")
		return
	case ErrorAnswer:
		fmt.Fprint(c, "ERR\r\n")
		return
	case Reset:
		resetConnection(c)
		return
	case PartialAnswer:
		fmt.Fprint(c, "UP hal")
		return
	case Stalled:
		_, _ = in.ReadByte() // until the balancer ends it
		return
	}
	if d := time.Duration(r.delay.Load()); d > 0 {
		_ = c.SetReadDeadline(time.Now().Add(d))
		if _, err := in.Peek(1); err != nil {
			if e, ok := err.(net.Error); !ok || !e.Timeout() {
				return
			}
		}
		_ = c.SetReadDeadline(time.Time{})
	}
	r.mu.Lock()
	r.receipts++
	receipt := fmt.Sprintf("%s-%d", r.Name, r.receipts)
	r.mu.Unlock()
	r.w.Saw(rules.Receipt, id, r.Name, receipt)
	r.open.Add(1)
	defer r.open.Add(-1)
	if _, err := fmt.Fprintf(c, "UP %s\r\n", receipt); err != nil {
		return
	}
	buf := make([]byte, 4096)
	for {
		n, err := in.Read(buf)
		if n > 0 {
			if r.w.Carried != nil {
				r.w.Carried(r.w.balancerOf(c), r.Name, classOf(words[3]), n)
			}
			if _, err := c.Write(buf[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// class is what a first line's last field says.
func classOf(fields string) string {
	for f := range strings.SplitSeq(fields, ",") {
		if name, ok := strings.CutPrefix(f, "c="); ok {
			return name
		}
	}
	return ""
}

func (r *Region) zone() string {
	if r.Zone == "" {
		return defaultZone
	}
	return r.Zone
}

func resetConnection(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}
