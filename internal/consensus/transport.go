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
	maxServedConns      = 1024     // open connections of other members
	maxServedCalls      = 256      // calls of other members in progress
	maxBodyBytes        = 64 << 20 // of a call or an answer; a snapshot is the longest
	maxAnswerBytes      = 4 << 20  // of an answer of the handler
	bufferBytes         = 4096
	servedIdleTimeout   = 2 * time.Minute
	writeTimeout        = 5 * time.Second // plus the time for the written bytes
	writeBytesPerSecond = 100_000         // lowest rate at which a peer must read
	acceptRetryInterval = 100 * time.Millisecond
	callHeaderBytes     = 9 // hash of the cluster's name (8), length of the caller's name (1)
)

// sameVersion is the hint for messages that cannot be decoded.
const sameVersion = "run the same version at all balancers"

// Kinds of a remoteErrorMessage. The texts are part of the wire protocol between versions.
const (
	kindNotLeader  = "leader"
	kindOverloaded = "load"
)

// First byte of an answer.
const (
	answerOK    = 0
	answerError = 1
)

// byteEncoding implements drpc.Encoding for byte slices, which it passes unchanged.
type byteEncoding struct{}

// Marshal implements drpc.Encoding.
func (byteEncoding) Marshal(m drpc.Message) ([]byte, error) { return *m.(*[]byte), nil }

// Unmarshal implements drpc.Encoding.
func (byteEncoding) Unmarshal(b []byte, m drpc.Message) error {
	*m.(*[]byte) = append([]byte(nil), b...)
	return nil
}

// transport sends and serves calls between members with storj.io/drpc over TCP. Calls to a member that does not answer
// are limited in number, and calls of another cluster are refused. Its methods may be called from any goroutine.
type transport struct {
	cfg     *Config
	cluster uint64
	serve   func(ctx context.Context, from, method string, body []byte) ([]byte, error)
	log     *slog.Logger

	mu    sync.Mutex
	peers map[string]*peer // by name; nil once closed

	bytesIn     atomic.Int64
	bytesOut    atomic.Int64
	servedConns atomic.Int64 // open connections of other members
	servedCalls atomic.Int64 // calls of other members in progress
	refused     atomic.Int64 // connections and calls above a limit
}

func newTransport(cfg *Config, log *slog.Logger) *transport {
	return &transport{cfg: cfg, cluster: xxhash.Sum64String(cfg.Cluster), log: log, peers: map[string]*peer{}}
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{
		WriterBufferSize: bufferBytes,
		Reader:           drpcwire.ReaderOptions{MaximumBufferSize: maxBodyBytes + bufferBytes},
	}
}

// meteredConn counts the bytes of a connection, and sets deadlines for a peer that does not read or stays idle.
type meteredConn struct {
	net.Conn
	transport *transport
	idle      time.Duration // time limit of a read; 0 for none
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
	_ = c.SetWriteDeadline(time.Now().Add(writeTimeout + time.Duration(len(b)/writeBytesPerSecond)*time.Second))
	n, err := c.Conn.Write(b)
	c.transport.bytesOut.Add(int64(n))
	return n, err
}

// setUserTimeout sets TCP_USER_TIMEOUT, which closes a connection whose peer has not acknowledged sent data for
// writeTimeout.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	return c.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(writeTimeout.Milliseconds()))
	})
}

// listen opens the listener and serves calls in the background until ctx ends; done is closed once the last connection
// has ended.
func (t *transport) listen(ctx context.Context, address string) (done <-chan struct{}, err error) {
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
		t.acceptAll(ctx, listener)
	}()
	return ended, nil
}

// acceptAll serves connections until the listener is closed. It returns once the last one has ended.
func (t *transport) acceptAll(ctx context.Context, listener net.Listener) {
	server := drpcserver.NewWithOptions(t, drpcserver.Options{Manager: managerOptions()})
	var connections sync.WaitGroup
	defer connections.Wait()
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
		case ctx.Err() != nil || errors.Is(err, net.ErrClosed):
			return
		default:
			t.log.Warn("accepting a connection of another member failed", "err", err)
			select {
			case <-ctx.Done():
			case <-time.After(acceptRetryInterval):
			}
			continue
		}
		if t.servedConns.Add(1) > maxServedConns {
			t.servedConns.Add(-1)
			t.refused.Add(1)
			_ = conn.Close()
			continue
		}
		connections.Go(func() {
			defer t.servedConns.Add(-1)
			// The error is only the reason why the connection has ended.
			_ = server.ServeOne(ctx, &meteredConn{Conn: conn, transport: t, idle: servedIdleTimeout})
		})
	}
}

// HandleRPC implements drpc.Handler.
func (t *transport) HandleRPC(stream drpc.Stream, method string) error {
	var call []byte
	if err := stream.MsgRecv(&call, byteEncoding{}); err != nil {
		return err
	}
	answer := packAnswer(t.answer(stream.Context(), method, call))
	return stream.MsgSend(&answer, byteEncoding{})
}

// answer answers a call. Messages of raft are exempt from the limit of concurrent calls.
func (t *transport) answer(ctx context.Context, method string, call []byte) ([]byte, error) {
	from, body, err := t.unpackCall(call)
	if err != nil {
		return nil, err
	}
	defer t.servedCalls.Add(-1)
	if t.servedCalls.Add(1) > maxServedCalls && method != methodRaft {
		t.refused.Add(1)
		return nil, &Overloaded{What: "calls of other members", Limit: maxServedCalls}
	}
	answer, err := t.serve(ctx, from, method, body)
	if err == nil && len(answer) > maxAnswerBytes {
		return nil, &TooLong{Bytes: len(answer), Limit: maxAnswerBytes}
	}
	return answer, err
}

// packCall prepends the hash of the cluster's name and the caller's name to the body of a call.
func (t *transport) packCall(body []byte) []byte {
	name := t.cfg.Name
	b := make([]byte, 0, callHeaderBytes+len(name)+len(body))
	b = binary.BigEndian.AppendUint64(b, t.cluster)
	b = append(b, byte(len(name)))
	b = append(b, name...)
	return append(b, body...)
}

// unpackCall decodes a call, and refuses those of another cluster.
func (t *transport) unpackCall(b []byte) (from string, body []byte, err error) {
	malformed := &RemoteError{Name: t.cfg.Name, Text: "malformed call", Do: sameVersion}
	if len(b) < callHeaderBytes {
		return "", nil, malformed
	}
	nameEnd := callHeaderBytes + int(b[callHeaderBytes-1])
	if len(b) < nameEnd {
		return "", nil, malformed
	}
	if binary.BigEndian.Uint64(b) != t.cluster {
		return "", nil, &RemoteError{
			Name: t.cfg.Name,
			Text: fmt.Sprintf("%s belongs to cluster %q, the caller to another cluster", t.cfg.Name, t.cfg.Cluster),
			Do:   "compare revisions.cluster at both",
		}
	}
	return string(b[callHeaderBytes:nameEnd]), b[nameEnd:], nil
}

// remoteErrorMessage is the encoded form of an error that is returned to the caller.
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
	if err != nil { // impossible: the message consists of strings
		return []byte{answerError}
	}
	return append([]byte{answerError}, body...)
}

func (t *transport) unpackAnswer(name, method string, b []byte) ([]byte, error) {
	if len(b) > 0 && b[0] == answerOK {
		return b[1:], nil
	}
	var message remoteErrorMessage
	if len(b) == 0 || json.Unmarshal(b[1:], &message) != nil {
		return nil, &RemoteError{
			Name: name, Method: method, Text: name + " sent a malformed answer", Do: sameVersion,
		}
	}
	switch message.Kind {
	case kindNotLeader:
		leader := LeaderInfo{Name: message.Leader, Address: t.cfg.addressOf(message.Leader)}
		return nil, &NotLeader{Leader: leader}
	case kindOverloaded:
		return nil, &Overloaded{What: name + ": " + message.Text, Limit: maxServedCalls}
	}
	return nil, &RemoteError{Name: name, Method: method, Text: message.Text, Do: message.Hint}
}
