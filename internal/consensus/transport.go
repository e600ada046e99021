package consensus

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
	maxConns          = 1024     // of other members to here
	maxServed         = 256      // calls that are being answered
	maxBody           = 64 << 20 // bytes of a call or an answer: a snapshot is the longest
	maxAnswer         = 4 << 20  // bytes of an answer
	bufferBytes       = 4096
	servedIdleTimeout = 2 * time.Minute
	writeTimeout      = 5 * time.Second // and a second for each
	writeByteRate     = 100_000         // bytes
	acceptRetry       = 100 * time.Millisecond
	callHeaderBytes   = 9 // the cluster's hash and the length of the caller's name
)

// sameVersion is the hint for messages that cannot be understood.
const sameVersion = "run the same version at all balancers"

// Kinds of a remoteErrorMessage. Other versions know them by these texts.
const (
	kindNotLeader  = "leader"
	kindOverloaded = "load"
)

// First byte of an answer.
const (
	answerOK    = 0
	answerError = 1
)

// byteEncoding is drpc's encoding of byte strings.
type byteEncoding struct{}

// Marshal implements drpc.Encoding.
func (byteEncoding) Marshal(m drpc.Message) ([]byte, error) { return *m.(*[]byte), nil }

// Unmarshal implements drpc.Encoding.
func (byteEncoding) Unmarshal(b []byte, m drpc.Message) error {
	*m.(*[]byte) = append([]byte(nil), b...)
	return nil
}

// transport makes and answers calls between members, by storj.io/drpc over TCP. It keeps no more than its limits
// for a member that does not answer, and refuses calls of another cluster. Its methods may be called from any
// goroutine.
type transport struct {
	cfg     *Config
	cluster uint64
	serve   func(ctx context.Context, from, method string, body []byte) ([]byte, error)
	log     *slog.Logger

	mu    sync.Mutex
	peers map[string]*peer // by name; nil once closed

	bytesIn  atomic.Int64
	bytesOut atomic.Int64
	conns    atomic.Int64 // of other members, open
	served   atomic.Int64 // calls that are being answered
	refused  atomic.Int64 // connections and calls beyond a limit
}

func newTransport(cfg *Config, log *slog.Logger) *transport {
	return &transport{cfg: cfg, cluster: xxhash.Sum64String(cfg.Cluster), log: log, peers: map[string]*peer{}}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: bufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxBody + bufferBytes},
	}
}

// meteredConn counts the bytes of a connection, and ends it when the other side reads or says nothing for too long.
type meteredConn struct {
	net.Conn
	transport *transport
	idle      time.Duration // a read waits so long; 0: without limit
}

// Read implements net.Conn.
func (c *meteredConn) Read(b []byte) (int, error) {
	if c.idle > 0 {
		_ = c.SetReadDeadline(time.Now().Add(c.idle))
	}
	n, err := c.Conn.Read(b)
	c.transport.bytesIn.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *meteredConn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout + time.Duration(len(b)/writeByteRate)*time.Second))
	n, err := c.Conn.Write(b)
	c.transport.bytesOut.Add(int64(n))
	return n, err
}

// setUserTimeout ends a connection whose other side has not acknowledged what was sent for a few seconds.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(writeTimeout.Milliseconds()))
	})
}

// listen opens the listener and answers calls until ctx ends; done is closed once the last one is answered. It
// returns once the listener is open.
func (w *transport) listen(ctx context.Context, address string) (done <-chan struct{}, err error) {
	config := net.ListenConfig{Control: setUserTimeout}
	listener, err := config.Listen(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	ended := make(chan struct{})
	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	go func() {
		defer close(ended)
		defer stop()
		w.acceptAll(ctx, listener)
	}()
	return ended, nil
}

// acceptAll serves connections until the listener is closed, and returns once the last one has ended.
func (w *transport) acceptAll(ctx context.Context, listener net.Listener) {
	server := drpcserver.NewWithOptions(w, drpcserver.Options{Manager: managerOptions()})
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		default:
			w.log.Warn("a member's connection couldn't be taken", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetry):
			}
			continue
		}
		if w.conns.Add(1) > maxConns {
			w.conns.Add(-1)
			w.refused.Add(1)
			_ = conn.Close()
			continue
		}
		connections.Go(func() {
			defer w.conns.Add(-1)
			_ = server.ServeOne(ctx, &meteredConn{Conn: conn, transport: w, idle: servedIdleTimeout}) // it ended
		})
	}
}

// HandleRPC implements drpc.Handler.
func (w *transport) HandleRPC(stream drpc.Stream, method string) error {
	var call []byte
	if err := stream.MsgRecv(&call, byteEncoding{}); err != nil {
		return err
	}
	answer := packAnswer(w.answer(stream.Context(), method, call))
	return stream.MsgSend(&answer, byteEncoding{})
}

// answer answers a call. Messages of raft are answered whatever is under way.
func (w *transport) answer(ctx context.Context, method string, call []byte) ([]byte, error) {
	from, body, err := w.unpackCall(call)
	if err != nil {
		return nil, err
	}
	defer w.served.Add(-1)
	if w.served.Add(1) > maxServed && method != methodRaft {
		w.refused.Add(1)
		return nil, &Overloaded{What: "calls of other members", Limit: maxServed}
	}
	answer, err := w.serve(ctx, from, method, body)
	if err == nil && len(answer) > maxAnswer {
		return nil, &TooLong{Bytes: len(answer), Limit: maxAnswer}
	}
	return answer, err
}

// packCall puts the cluster and the caller's name in front of a call.
func (w *transport) packCall(body []byte) []byte {
	name := w.cfg.Name
	b := make([]byte, 0, callHeaderBytes+len(name)+len(body))
	b = binary.BigEndian.AppendUint64(b, w.cluster)
	b = append(b, byte(len(name)))
	b = append(b, name...)
	return append(b, body...)
}

// unpackCall refuses calls of another cluster.
func (w *transport) unpackCall(b []byte) (from string, body []byte, err error) {
	malformed := &RemoteError{Name: w.cfg.Name, Text: "a call has an unknown form", Do: sameVersion}
	if len(b) < callHeaderBytes {
		return "", nil, malformed
	}
	nameEnd := callHeaderBytes + int(b[callHeaderBytes-1])
	if len(b) < nameEnd {
		return "", nil, malformed
	}
	if binary.BigEndian.Uint64(b) != w.cluster {
		return "", nil, &RemoteError{
			Name: w.cfg.Name,
			Text: fmt.Sprintf("%s belongs to cluster %q, the caller to another one", w.cfg.Name, w.cfg.Cluster),
			Do:   "compare revisions.cluster at both",
		}
	}
	return string(b[callHeaderBytes:nameEnd]), b[nameEnd:], nil
}

// remoteErrorMessage is an error on its way to the caller.
type remoteErrorMessage struct {
	Kind   string `json:"Kind"` // "" for an error that has only its text
	Text   string `json:"Text"`
	Hint   string `json:"Do"`
	Leader string `json:"Lead"` // of kindNotLeader
}

func packAnswer(answer []byte, err error) []byte {
	if err == nil {
		return append([]byte{answerOK}, answer...)
	}
	message := remoteErrorMessage{Text: err.Error(), Hint: hint.Of(err)}
	var notLeader *NotLeader
	var overloaded *Overloaded
	switch {
	case errors.As(err, &notLeader):
		message.Kind, message.Leader = kindNotLeader, notLeader.Leader.Name
	case errors.As(err, &overloaded):
		message.Kind, message.Text = kindOverloaded, overloaded.What
	}
	body, err := json.Marshal(message)
	if err != nil { // texts only
		return []byte{answerError}
	}
	return append([]byte{answerError}, body...)
}

func (w *transport) unpackAnswer(name, method string, b []byte) ([]byte, error) {
	if len(b) > 0 && b[0] == answerOK {
		return b[1:], nil
	}
	var message remoteErrorMessage
	if len(b) == 0 || json.Unmarshal(b[1:], &message) != nil {
		return nil, &RemoteError{
			Name: name, Method: method, Text: name + " answered in an unknown form", Do: sameVersion,
		}
	}
	switch message.Kind {
	case kindNotLeader:
		leader := LeaderInfo{Name: message.Leader, Address: w.cfg.addressOf(message.Leader)}
		return nil, &NotLeader{Leader: leader}
	case kindOverloaded:
		return nil, &Overloaded{What: name + ": " + message.Text, Limit: maxServed}
	}
	return nil, &RemoteError{Name: name, Method: method, Text: message.Text, Do: message.Hint}
}
