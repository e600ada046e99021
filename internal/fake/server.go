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

// Fault is a way in which a server differs from an idle, healthy one.
type Fault int32

// The faults. They apply to requests and probes that are received while they are set. Probes are answered in spite of
// all faults but Stalled and Reset, and not after Terminate.
const (
	None          Fault = iota
	Busy                // answers every request with BUSY
	ErrorAnswer         // answers ERR
	Reset               // resets the connection after the first line
	Stalled             // reads the line and does not answer
	PartialAnswer       // answers half a line and closes the connection
	Lying               // reports no load, however many connections it has
	RefusedProbes       // answers NO to probes
)

// Server is a fake server.
type Server struct {
	Name, Addr string
	Zone       string // "here" if ""

	w         *World
	listener  net.Listener
	fault     atomic.Int32
	load      atomic.Int64 // reported x0 without connections, in thousandths; each connection adds weight
	weight    atomic.Int64
	startedAt atomic.Int64 // start of the warm-up, by the world's clock; 0 if there is none
	peakLoad  atomic.Int64 // highest load factor during the warm-up, in thousandths
	delay     atomic.Int64 // of the answer UP, in nanoseconds
	open      atomic.Int64
	requests  atomic.Int64
	probes    atomic.Int64
	mu        sync.Mutex
	conns     map[net.Conn]bool
	closed    bool
	receipts  int
}

// Set sets the server's fault for subsequent requests and probes.
func (r *Server) Set(f Fault) { r.fault.Store(int32(f)) }

// SetLoad sets the load factor x0 (load over capacity) that the server reports without any connection.
func (r *Server) SetLoad(x0 float64) { r.load.Store(int64(x0 * 1000)) }

// SetWeight sets the share of the warmed-up server's capacity that a connection takes.
func (r *Server) SetWeight(x0 float64) { r.weight.Store(int64(x0 * 1000)) }

// The capacity of a server that is warming up rises from warmUpInitialShare of its full capacity to all of it within
// warmUpDuration. The server fails if its load exceeds overloadFactor times its current capacity for overloadDuration.
// Config passes these values to the balancers.
const (
	warmUpInitialShare = 0.34
	warmUpDuration     = 8600 * time.Millisecond
	overloadFactor     = 4.0
	overloadDuration   = 3 * time.Second
)

func (r *Server) loadFactor(connections int64) float64 {
	x := float64(r.load.Load()+r.weight.Load()*connections) / 1000
	if startedAt := r.startedAt.Load(); startedAt > 0 {
		if age := r.w.Now() - time.Duration(startedAt); age < warmUpDuration {
			x /= warmUpInitialShare + (1-warmUpInitialShare)*float64(age)/float64(warmUpDuration)
		}
	}
	return x
}

// Renew starts the server's warm-up anew. An overload that lasts too long during it is reported to the checker.
func (r *Server) Renew() {
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
				r.w.Saw(rules.ServerOverloaded, "", r.Name, fmt.Sprintf("%.1f times its capacity", x))
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

// Pushed returns the highest load factor during the warm-up.
func (r *Server) Pushed() float64 { return float64(r.peakLoad.Load()) / 1000 }

// SetDelay sets the delay of the answer UP.
func (r *Server) SetDelay(d time.Duration) { r.delay.Store(int64(d)) }

// Open returns the number of served connections that are open.
func (r *Server) Open() int64 { return r.open.Load() }

// Took returns the number of requests received.
func (r *Server) Took() int64 { return r.requests.Load() }

// Probes returns the number of probes received.
func (r *Server) Probes() int64 { return r.probes.Load() }

// Terminate stops the server: its connections are reset and new ones are refused.
func (r *Server) Terminate() {
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

// MoveClients sends MOVE to all clients, as a draining server does.
func (r *Server) MoveClients() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for c := range r.conns {
		_, _ = c.Write([]byte("MOVE\r\n"))
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.CloseWrite()
		}
	}
}

func (r *Server) accept() {
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

// serve answers probes until it reads the first line of a request.
func (r *Server) serve(c net.Conn) {
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

func (r *Server) serveRequest(c net.Conn, in *bufio.Reader, line string, f Fault) {
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
		_, _ = in.ReadByte() // until the balancer closes the connection
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

// classOf returns the class that the last field of a request's first line names, "" if it names none.
func classOf(fields string) string {
	for f := range strings.SplitSeq(fields, ",") {
		if name, ok := strings.CutPrefix(f, "c="); ok {
			return name
		}
	}
	return ""
}

func (r *Server) zone() string {
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
