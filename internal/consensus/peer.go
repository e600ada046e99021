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
	maxInFlightCalls  = 16               // calls in flight to one member; further ones wait
	maxWaitingCalls   = 256              // calls to one member, waiting ones included
	maxIdleConns      = 4                // idle connections to one member
	clientIdleTimeout = 45 * time.Second // an idle connection is not reused after this time
	dialTimeout       = 2 * time.Second
)

// peer is the client for calls to another member, with its idle connections.
type peer struct {
	slots   chan struct{} // semaphore of calls in flight
	waiting atomic.Int64

	mu     sync.Mutex
	idle   []idleConn
	closed bool
}

// idleConn is a connection that is available for the next call.
type idleConn struct {
	conn  *drpcconn.Conn
	since time.Time
}

// peer returns the client for the member of that name. Once the transport is closed, all calls of a new one fail.
func (t *transport) peer(name string) *peer {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.peers[name]; p != nil {
		return p
	}
	p := &peer{slots: make(chan struct{}, maxInFlightCalls), closed: t.peers == nil}
	if !p.closed {
		t.peers[name] = p
	}
	return p
}

// call calls a member. It first waits for a free slot, until ctx ends at most. A failed call is not retried, since the
// other member may have carried it out. Errors: *Overloaded, *Unreachable, and those that the other member returns.
func (t *transport) call(ctx context.Context, name, address, method string, body []byte) ([]byte, error) {
	p := t.peer(name)
	defer p.waiting.Add(-1)
	if p.waiting.Add(1) > maxWaitingCalls {
		t.refused.Add(1)
		return nil, &Overloaded{What: "calls to " + name, Limit: maxWaitingCalls}
	}
	unreachable := func(cause error) error {
		return &Unreachable{Name: name, Address: address, Cause: cause}
	}
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-ctx.Done():
		return nil, unreachable(ctx.Err())
	}
	conn, err := p.connect(ctx, t, address)
	if err != nil {
		return nil, unreachable(err)
	}
	call, answer := t.packCall(body), []byte(nil)
	if err := conn.Invoke(ctx, method, byteEncoding{}, &call, &answer); err != nil {
		_ = conn.Close()
		if ctx.Err() != nil {
			err = ctx.Err()
		}
		return nil, unreachable(&CallFailed{Why: oneLine(err)})
	}
	p.putIdle(conn)
	return t.unpackAnswer(name, method, answer)
}

// connect returns an idle connection or dials a new one.
func (p *peer) connect(ctx context.Context, t *transport, address string) (*drpcconn.Conn, error) {
	conn, err := p.takeIdle()
	if conn != nil || err != nil {
		return conn, err
	}
	dialer := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	tcpConn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	options := drpcconn.Options{Manager: managerOptions()}
	return drpcconn.NewWithOptions(&meteredConn{Conn: tcpConn, transport: t}, options), nil
}

// takeIdle returns the most recently used idle connection, nil if none is usable. The error is a *Closed.
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

// putIdle makes a connection available for the next call.
func (p *peer) putIdle(conn *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		go func() { _ = conn.Close() }()
		return
	}
	p.idle = append(p.idle, idleConn{conn: conn, since: time.Now()})
}

// close closes the idle connections to all members; calls in flight close theirs.
func (t *transport) close() {
	t.mu.Lock()
	peers := t.peers
	t.peers = nil
	t.mu.Unlock()
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
