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
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"oatloft/internal/hint"
)

const (
	maxInFlight       = 16       // calls to one member; more wait, up to
	maxWaiting        = 256      // callers of one member
	maxConns          = 1024     // of other members to here
	maxServed         = 256      // calls that are being answered
	maxBody           = 64 << 20 // bytes of a call or an answer: a snapshot is the longest
	maxCallBody       = 4 << 20  // bytes of a call that isn't raft's
	servedIdleTimeout = 2 * time.Minute
	clientIdleTimeout = 45 * time.Second // a connection that has not been used so long isn't tried again
	writeTimeout      = 5 * time.Second
	dialTimeout       = 2 * time.Second
	maxIdleConns      = 4 // idle, to one member
)

// byteEncoding is drpc's encoding of byte strings.
type byteEncoding struct{}

func (byteEncoding) Marshal(m drpc.Message) ([]byte, error) { return *m.(*[]byte), nil }
func (byteEncoding) Unmarshal(b []byte, m drpc.Message) error {
	*m.(*[]byte) = append([]byte(nil), b...)
	return nil
}

// transport is one member's transport.
type transport struct {
	cfg     *Config
	cluster uint64
	serve   func(ctx context.Context, from, method string, body []byte) ([]byte, error)
	log     *slog.Logger

	mu    sync.Mutex
	peers map[string]*peer

	bytesIn, bytesOut, refused atomic.Int64
	conns, served              atomic.Int64
}

func newTransport(cfg *Config, log *slog.Logger) *transport {
	return &transport{cfg: cfg, cluster: xxhash.Sum64String(cfg.Cluster), log: log, peers: map[string]*peer{}}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{WriterBufferSize: 4096, Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxBody + 4096}}
}

// meteredConn is a connection that counts its bytes, and ends when nobody takes what is written, or says anything.
type meteredConn struct {
	net.Conn
	transport *transport
	idle      time.Duration // 0: reads wait for ever
}

func (c *meteredConn) Read(b []byte) (int, error) {
	if c.idle > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.idle))
	}
	n, err := c.Conn.Read(b)
	c.transport.bytesIn.Add(int64(n))
	return n, err
}

func (c *meteredConn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout + time.Duration(len(b)/100_000)*time.Second))
	n, err := c.Conn.Write(b)
	c.transport.bytesOut.Add(int64(n))
	return n, err
}

// setUserTimeout has a connection end when the other end hasn't taken what was sent for a few seconds.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, 5000) })
}

// listen opens the listener and answers until ctx ends. It returns once the listener is open.
func (w *transport) listen(ctx context.Context, at string) (done <-chan struct{}, err error) {
	lc := net.ListenConfig{Control: setUserTimeout}
	l, err := lc.Listen(ctx, "tcp", at)
	if err != nil {
		return nil, err
	}
	server := drpcserver.NewWithOptions(w, drpcserver.Options{Manager: managerOptions()})
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
				_ = server.ServeOne(ctx, &meteredConn{Conn: conn, transport: w, idle: servedIdleTimeout})
			}()
		}
		all.Wait()
	}()
	return end, nil
}

// HandleRPC implements drpc.Handler.
func (w *transport) HandleRPC(stream drpc.Stream, method string) error {
	var in []byte
	if err := stream.MsgRecv(&in, byteEncoding{}); err != nil {
		return err
	}
	var out []byte
	from, body, err := w.unpackCall(in)
	switch {
	case err != nil:
	case w.served.Add(1) > maxServed && method != methodRaft:
		w.refused.Add(1)
		err = &Overloaded{What: "calls of other members", Limit: maxServed}
		w.served.Add(-1)
	default:
		out, err = w.serve(stream.Context(), from, method, body)
		w.served.Add(-1)
		if err == nil && len(out) > maxCallBody {
			err = &TooLong{Bytes: len(out), Limit: maxCallBody}
		}
	}
	out = packAnswer(out, err)
	return stream.MsgSend(&out, byteEncoding{})
}

func (w *transport) packCall(body []byte) []byte {
	b := make([]byte, 0, 9+len(w.cfg.Name)+len(body))
	b = binary.BigEndian.AppendUint64(b, w.cluster)
	b = append(append(b, byte(len(w.cfg.Name))), w.cfg.Name...)
	return append(b, body...)
}

func (w *transport) unpackCall(b []byte) (from string, body []byte, err error) {
	if len(b) < 9 || len(b) < 9+int(b[8]) {
		return "", nil, &RemoteError{Name: w.cfg.Name, Text: "a call has an unknown form", Do: "run the same version at all balancers"}
	}
	if binary.BigEndian.Uint64(b) != w.cluster {
		return "", nil, &RemoteError{Name: w.cfg.Name, Text: fmt.Sprintf("%s belongs to cluster %q, the caller to another one", w.cfg.Name, w.cfg.Cluster), Do: "compare revisions.cluster at both"}
	}
	return string(b[9 : 9+b[8]]), b[9+int(b[8]):], nil
}

// remoteErrorMessage is an error on its way.
type remoteErrorMessage struct {
	Kind   string `json:"Kind"`
	Text   string `json:"Text"`
	Hint   string `json:"Do"`
	Leader string `json:"Lead"`
}

func packAnswer(out []byte, err error) []byte {
	if err == nil {
		return append([]byte{0}, out...)
	}
	e := remoteErrorMessage{Text: err.Error(), Hint: hint.Of(err)}
	var no *NotLeader
	var much *Overloaded
	switch {
	case errors.As(err, &no):
		e.Kind, e.Leader = "leader", no.Leader.Name
	case errors.As(err, &much):
		e.Kind, e.Text = "load", much.What
	}
	b, _ := json.Marshal(e)
	return append([]byte{1}, b...)
}

func (w *transport) unpackAnswer(name, method string, b []byte) ([]byte, error) {
	if len(b) > 0 && b[0] == 0 {
		return b[1:], nil
	}
	var e remoteErrorMessage
	if len(b) == 0 || json.Unmarshal(b[1:], &e) != nil {
		return nil, &RemoteError{Name: name, Method: method, Text: name + " answered in an unknown form", Do: "run the same version at all balancers"}
	}
	switch e.Kind {
	case "leader":
		return nil, &NotLeader{Leader: LeaderInfo{Name: e.Leader, Address: w.cfg.addressOf(e.Leader)}}
	case "load":
		return nil, &Overloaded{What: name + ": " + e.Text, Limit: maxServed}
	}
	return nil, &RemoteError{Name: name, Method: method, Text: e.Text, Do: e.Hint}
}
