package consensus

// Calls between members, by storj.io/drpc over TCP. This file owns the connections, the bounds on what is under way, and
// the form of a call; it must never keep more than the bounds say for a member that doesn't answer, nor let a member of
// another cluster, or another founding, be heard.

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sys/unix"
	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"oatloft/internal/hint"
)

const (
	maxInFlight = 16       // calls to one member; more wait, up to
	maxWaiting  = 256      // callers of one member
	maxConns    = 1024     // of other members to here
	maxServed   = 256      // calls that are being answered
	maxBody     = 64 << 20 // bytes of a call or an answer: a snapshot is the longest
	maxCallBody = 4 << 20  // bytes of a call that isn't raft's
	idleHere    = 2 * time.Minute
	idleThere   = 45 * time.Second // a connection that has not been used so long isn't tried again
	writeWithin = 5 * time.Second
	dialWithin  = 2 * time.Second
	keptConns   = 4 // idle, to one member
)

// raw is drpc's encoding of byte strings.
type raw struct{}

func (raw) Marshal(m drpc.Message) ([]byte, error) { return *m.(*[]byte), nil }
func (raw) Unmarshal(b []byte, m drpc.Message) error {
	*m.(*[]byte) = append([]byte(nil), b...)
	return nil
}

// wire is one member's transport.
type wire struct {
	cfg     *Config
	cluster uint64
	serve   func(ctx context.Context, from, method string, body []byte) ([]byte, error)
	log     *slog.Logger

	mu    sync.Mutex
	peers map[string]*peer

	in, out, refused atomic.Int64
	conns, served    atomic.Int64
}

// peer is another member as called from here.
type peer struct {
	slots   chan struct{}
	waiting atomic.Int64
	mu      sync.Mutex
	idle    []idleConn
	closed  bool
}

type idleConn struct {
	c     *drpcconn.Conn
	since time.Time
}

func newWire(cfg *Config, log *slog.Logger) *wire {
	return &wire{cfg: cfg, cluster: xxhash.Sum64String(cfg.Cluster), log: log, peers: map[string]*peer{}}
}

func managed() drpcmanager.Options {
	return drpcmanager.Options{WriterBufferSize: 4096, Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxBody + 4096}}
}

// counted is a connection that counts its bytes, and ends when nobody takes what is written, or says anything.
type counted struct {
	net.Conn
	w    *wire
	idle time.Duration // 0: reads wait for ever
}

func (c *counted) Read(b []byte) (int, error) {
	if c.idle > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.idle))
	}
	n, err := c.Conn.Read(b)
	c.w.in.Add(int64(n))
	return n, err
}

func (c *counted) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeWithin + time.Duration(len(b)/100_000)*time.Second))
	n, err := c.Conn.Write(b)
	c.w.out.Add(int64(n))
	return n, err
}

// patience has a connection end when the other end hasn't taken what was sent for a few seconds.
func patience(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 5000) })
}

// listen opens the listener and answers until ctx ends. It returns once the listener is open.
func (w *wire) listen(ctx context.Context, at string) (done <-chan struct{}, err error) {
	lc := net.ListenConfig{Control: patience}
	l, err := lc.Listen(ctx, "tcp", at)
	if err != nil {
		return nil, err
	}
	server := drpcserver.NewWithOptions(w, drpcserver.Options{Manager: managed()})
	end := make(chan struct{})
	var all sync.WaitGroup
	stop := context.AfterFunc(ctx, func() { _ = l.Close() })
	go func() {
		defer close(end)
		defer stop()
		for {
			conn, err := l.Accept()
			if err != nil {
				if ctx.Err() != nil || errors.Is(err, net.ErrClosed) {
					break
				}
				w.log.Warn("a member's connection couldn't be taken", "err", err)
				select {
				case <-ctx.Done():
				case <-time.After(100 * time.Millisecond):
				}
				continue
			}
			if w.conns.Add(1) > maxConns {
				w.conns.Add(-1)
				w.refused.Add(1)
				_ = conn.Close()
				continue
			}
			all.Add(1)
			go func() {
				defer all.Done()
				defer w.conns.Add(-1)
				_ = server.ServeOne(ctx, &counted{Conn: conn, w: w, idle: idleHere})
			}()
		}
		all.Wait()
	}()
	return end, nil
}

// HandleRPC implements drpc.Handler.
func (w *wire) HandleRPC(stream drpc.Stream, method string) error {
	var in []byte
	if err := stream.MsgRecv(&in, raw{}); err != nil {
		return err
	}
	var out []byte
	from, body, err := w.unpack(in)
	switch {
	case err != nil:
	case w.served.Add(1) > maxServed && method != methodRaft:
		w.refused.Add(1)
		err = &Overloaded{What: "calls of other members", Most: maxServed}
		w.served.Add(-1)
	default:
		out, err = w.serve(stream.Context(), from, method, body)
		w.served.Add(-1)
		if err == nil && len(out) > maxCallBody {
			err = &TooLong{Bytes: len(out), Most: maxCallBody}
		}
	}
	out = packAnswer(out, err)
	return stream.MsgSend(&out, raw{})
}

func (w *wire) pack(body []byte) []byte {
	b := make([]byte, 0, 9+len(w.cfg.Name)+len(body))
	b = binary.BigEndian.AppendUint64(b, w.cluster)
	b = append(append(b, byte(len(w.cfg.Name))), w.cfg.Name...)
	return append(b, body...)
}

func (w *wire) unpack(b []byte) (from string, body []byte, err error) {
	if len(b) < 9 || len(b) < 9+int(b[8]) {
		return "", nil, &Answered{Name: w.cfg.Name, Text: "a call has an unknown form", Do: "run the same version at all balancers"}
	}
	if binary.BigEndian.Uint64(b) != w.cluster {
		return "", nil, &Answered{Name: w.cfg.Name, Text: fmt.Sprintf("%s belongs to cluster %q, the caller to another one", w.cfg.Name, w.cfg.Cluster), Do: "compare revisions.cluster at both"}
	}
	return string(b[9 : 9+b[8]]), b[9+int(b[8]):], nil
}

// wireError is an error on its way.
type wireError struct {
	Kind, Text, Do string
	Lead           string
}

func packAnswer(out []byte, err error) []byte {
	if err == nil {
		return append([]byte{0}, out...)
	}
	e := wireError{Text: err.Error(), Do: hint.Of(err)}
	var no *NotLeader
	var much *Overloaded
	switch {
	case errors.As(err, &no):
		e.Kind, e.Lead = "leader", no.Lead.Leader
	case errors.As(err, &much):
		e.Kind, e.Text = "load", much.What
	}
	b, _ := json.Marshal(e)
	return append([]byte{1}, b...)
}

func (w *wire) unpackAnswer(name, method string, b []byte) ([]byte, error) {
	if len(b) > 0 && b[0] == 0 {
		return b[1:], nil
	}
	var e wireError
	if len(b) == 0 || json.Unmarshal(b[1:], &e) != nil {
		return nil, &Answered{Name: name, Method: method, Text: name + " answered in an unknown form", Do: "run the same version at all balancers"}
	}
	switch e.Kind {
	case "leader":
		return nil, &NotLeader{Lead: Lead{Leader: e.Lead, Addr: w.cfg.reach(e.Lead)}}
	case "load":
		return nil, &Overloaded{What: name + ": " + e.Text, Most: maxServed}
	}
	return nil, &Answered{Name: name, Method: method, Text: e.Text, Do: e.Do}
}

func (w *wire) peer(name string) *peer {
	w.mu.Lock()
	defer w.mu.Unlock()
	p := w.peers[name]
	if p == nil {
		p = &peer{slots: make(chan struct{}, maxInFlight)}
		if w.peers == nil {
			p.closed = true
			return p
		}
		w.peers[name] = p
	}
	return p
}

// call calls a member. It waits for a free place first, and until ctx ends at most.
func (w *wire) call(ctx context.Context, name, at, method string, body []byte) ([]byte, error) {
	p := w.peer(name)
	if p.waiting.Add(1) > maxWaiting {
		p.waiting.Add(-1)
		w.refused.Add(1)
		return nil, &Overloaded{What: "calls to " + name, Most: maxWaiting}
	}
	defer p.waiting.Add(-1)
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-ctx.Done():
		return nil, &Unreachable{Name: name, Addr: at, Cause: ctx.Err()}
	}
	in, out := w.pack(body), []byte(nil)
	c, err := p.take(ctx, w, at)
	if err != nil {
		return nil, &Unreachable{Name: name, Addr: at, Cause: err}
	}
	// A call isn't repeated by itself: nobody knows what the first one did.
	if err = c.Invoke(ctx, method, raw{}, &in, &out); err != nil {
		_ = c.Close()
		if e := ctx.Err(); e != nil {
			err = e
		}
		return nil, &Unreachable{Name: name, Addr: at, Cause: &Broke{Why: oneLine(err)}}
	}
	p.give(c)
	return w.unpackAnswer(name, method, out)
}

func (p *peer) take(ctx context.Context, w *wire, at string) (*drpcconn.Conn, error) {
	p.mu.Lock()
	if p.closed {
		p.mu.Unlock()
		return nil, &Closed{}
	}
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		select {
		case <-last.c.Closed():
			continue
		default:
		}
		if time.Since(last.since) > idleThere {
			go func() { _ = last.c.Close() }()
			continue
		}
		p.mu.Unlock()
		return last.c, nil
	}
	p.mu.Unlock()
	d := net.Dialer{Timeout: dialWithin, Control: patience}
	conn, err := d.DialContext(ctx, "tcp", at)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(&counted{Conn: conn, w: w}, drpcconn.Options{Manager: managed()}), nil
}

func (p *peer) give(c *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= keptConns {
		go func() { _ = c.Close() }()
		return
	}
	p.idle = append(p.idle, idleConn{c: c, since: time.Now()})
}

// close ends all connections from here.
func (w *wire) close() {
	w.mu.Lock()
	peers := w.peers
	w.peers = nil
	w.mu.Unlock()
	for _, p := range peers {
		p.mu.Lock()
		p.closed = true
		for _, i := range p.idle {
			_ = i.c.Close()
		}
		p.idle = nil
		p.mu.Unlock()
	}
}
