package consensus

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
)

const (
	maxInFlight       = 16               // calls to one member; more wait
	maxWaiting        = 256              // callers of one member
	maxIdleConns      = 4                // to one member
	clientIdleTimeout = 45 * time.Second // a connection that has not been used so long is not tried again
	dialTimeout       = 2 * time.Second
)

// peer is another member as called from here, with its idle connections.
type peer struct {
	slots   chan struct{} // holds one for each call in flight
	waiting atomic.Int64

	mu     sync.Mutex
	idle   []idleConn
	closed bool
}

// idleConn is a connection that waits for the next call.
type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// peer returns the member of that name. Once the transport is closed, it is one that can't be called.
func (w *transport) peer(name string) *peer {
	w.mu.Lock()
	defer w.mu.Unlock()
	if p := w.peers[name]; p != nil {
		return p
	}
	p := &peer{slots: make(chan struct{}, maxInFlight), closed: w.peers == nil}
	if !p.closed {
		w.peers[name] = p
	}
	return p
}

// call calls a member: it waits for a free slot first, until ctx ends at most. A call is not repeated by itself,
// since nobody knows what the first one did. Errors: *Overloaded, *Unreachable, and what the other member answers.
func (w *transport) call(ctx context.Context, name, address, method string, body []byte) ([]byte, error) {
	p := w.peer(name)
	defer p.waiting.Add(-1)
	if p.waiting.Add(1) > maxWaiting {
		w.refused.Add(1)
		return nil, &Overloaded{What: "calls to " + name, Limit: maxWaiting}
	}
	unreachable := func(cause error) error {
		return &Unreachable{Name: name, Addr: address, Cause: cause}
	}
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-ctx.Done():
		return nil, unreachable(ctx.Err())
	}
	conn, err := p.connect(ctx, w, address)
	if err != nil {
		return nil, unreachable(err)
	}
	call, answer := w.packCall(body), []byte(nil)
	if err := conn.Invoke(ctx, method, byteEncoding{}, &call, &answer); err != nil {
		_ = conn.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, unreachable(&CallFailed{Why: oneLine(err)})
	}
	p.release(conn)
	return w.unpackAnswer(name, method, answer)
}

// connect takes an idle connection, or dials a new one.
func (p *peer) connect(ctx context.Context, w *transport, address string) (*drpcconn.Conn, error) {
	conn, err := p.takeIdle()
	if conn != nil || err != nil {
		return conn, err
	}
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	tcp, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	options := drpcconn.Options{Manager: managerOptions()}
	return drpcconn.NewWithOptions(&meteredConn{Conn: tcp, transport: w}, options), nil
}

// takeIdle returns the connection that was used last, nil if none is usable. The error is *Closed.
func (p *peer) takeIdle() (*drpcconn.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &Closed{}
	}
	for len(p.idle) > 0 {
		last := p.idle[len(p.idle)-1]
		p.idle = p.idle[:len(p.idle)-1]
		select {
		case <-last.conn.Closed():
			continue
		default:
		}
		if time.Since(last.since) <= clientIdleTimeout {
			return last.conn, nil
		}
		go func() { _ = last.conn.Close() }()
	}
	return nil, nil
}

// release keeps a connection for the next call.
func (p *peer) release(conn *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		go func() { _ = conn.Close() }()
		return
	}
	p.idle = append(p.idle, idleConn{conn: conn, since: time.Now()})
}

// close ends all connections from here.
func (w *transport) close() {
	w.mu.Lock()
	peers := w.peers
	w.peers = nil
	w.mu.Unlock()
	for _, p := range peers {
		p.close()
	}
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	for _, idle := range p.idle {
		_ = idle.conn.Close()
	}
	p.idle = nil
}
