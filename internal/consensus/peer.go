package consensus

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"storj.io/drpc/drpcconn"
)

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

func (w *transport) peer(name string) *peer {
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
func (w *transport) call(ctx context.Context, name, at, method string, body []byte) ([]byte, error) {
	p := w.peer(name)
	if p.waiting.Add(1) > maxWaiting {
		p.waiting.Add(-1)
		w.refused.Add(1)
		return nil, &Overloaded{What: "calls to " + name, Limit: maxWaiting}
	}
	defer p.waiting.Add(-1)
	select {
	case p.slots <- struct{}{}:
		defer func() { <-p.slots }()
	case <-ctx.Done():
		return nil, &Unreachable{Name: name, Addr: at, Cause: ctx.Err()}
	}
	in, out := w.packCall(body), []byte(nil)
	c, err := p.take(ctx, w, at)
	if err != nil {
		return nil, &Unreachable{Name: name, Addr: at, Cause: err}
	}
	// A call isn't repeated by itself: nobody knows what the first one did.
	if err = c.Invoke(ctx, method, byteEncoding{}, &in, &out); err != nil {
		_ = c.Close()
		if e := ctx.Err(); e != nil {
			err = e
		}
		return nil, &Unreachable{Name: name, Addr: at, Cause: &CallFailed{Why: oneLine(err)}}
	}
	p.give(c)
	return w.unpackAnswer(name, method, out)
}

func (p *peer) take(ctx context.Context, w *transport, at string) (*drpcconn.Conn, error) {
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
		if time.Since(last.since) > clientIdleTimeout {
			go func() { _ = last.c.Close() }()
			continue
		}
		p.mu.Unlock()
		return last.c, nil
	}
	p.mu.Unlock()
	d := net.Dialer{Timeout: dialTimeout, Control: setUserTimeout}
	conn, err := d.DialContext(ctx, "tcp", at)
	if err != nil {
		return nil, err
	}
	return drpcconn.NewWithOptions(&meteredConn{Conn: conn, transport: w}, drpcconn.Options{Manager: managerOptions()}), nil
}

func (p *peer) give(c *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || len(p.idle) >= maxIdleConns {
		go func() { _ = c.Close() }()
		return
	}
	p.idle = append(p.idle, idleConn{c: c, since: time.Now()})
}

// close ends all connections from here.
func (w *transport) close() {
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
