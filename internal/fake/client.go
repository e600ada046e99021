package fake

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"sync/atomic"
	"time"

	"oatloft/internal/hint"
	"oatloft/internal/rules"
)

// Client is a connection of a fake client.
type Client struct {
	ID        string
	By        string // name of the balancer that it is connected to, if there are several
	w         *World
	conn      *net.TCPConn
	in        *bufio.Reader
	closed    bool
	linesSent int
	// Excuse, if set, reports whether the balancer need not answer, for instance because it was killed. A missing answer
	// is then not a violation.
	Excuse func(Answer) bool
	After  time.Duration // time to keep reading after the wait, to measure how late the answer is
}

var lastID atomic.Int64

// Request is a client's request.
type Request struct {
	Key, Class, Tenant string
	Wait               time.Duration // time to wait for the answer; 2 s if 0
	More               string        // further fields, such as ",r=1"
}

// Line returns the first line of the request.
func (a Request) Line(id string) string {
	if a.Class == "" {
		a.Class = "chat"
	}
	if a.Tenant == "" {
		a.Tenant = "acme"
	}
	if a.Wait == 0 {
		a.Wait = 2 * time.Second
	}
	return fmt.Sprintf("OPEN %s %s c=%s,t=%s,d=%d%s\r\n", id, a.Key, a.Class, a.Tenant, a.Wait.Milliseconds(), a.More)
}

// Connect opens a client connection from one address to another.
func (w *World) Connect(from, to string) (*Client, error) {
	d := net.Dialer{Timeout: 5 * time.Second}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	c, err := d.Dial("tcp", to)
	if err != nil {
		return nil, err
	}
	return &Client{
		ID:   fmt.Sprintf("%x-%x", os.Getpid(), lastID.Add(1)),
		w:    w,
		conn: c.(*net.TCPConn),
		in:   bufio.NewReaderSize(c, 4096),
	}, nil
}

// Answer is the answer to a request. What is "UP", "BUSY", "ERR", "reset" (the connection was reset), "end" (it was
// closed without an answer) or "none" (nothing arrived while the client waited).
type Answer struct {
	What string
	Line string        // as received
	Took time.Duration // since the first line was sent
	Late time.Duration // time after the wait at which a late answer arrived; 0 if there was none
}

// Open sends the first line of a request and waits for the answer.
func (t *Client) Open(a Request) Answer {
	if a.Wait == 0 {
		a.Wait = 2 * time.Second
	}
	sentAt := time.Now()
	if _, err := io.WriteString(t.conn, a.Line(t.ID)); err != nil {
		// The balancer may have refused the connection before the request was sent: its answer can still be read.
		return t.readAnswer(sentAt, a.Wait)
	}
	t.w.SawBy(t.By, rules.RequestSent, t.ID, "", "")
	return t.readAnswer(sentAt, a.Wait)
}

func (t *Client) readAnswer(sentAt time.Time, wait time.Duration) Answer {
	deadline := sentAt.Add(wait + 50*time.Millisecond) // 50 ms: the Slack of the rules
	_ = t.conn.SetReadDeadline(deadline)
	line, err := t.in.ReadString('\n')
	late := time.Duration(0)
	if errors.Is(err, os.ErrDeadlineExceeded) && t.After > 0 {
		_ = t.conn.SetReadDeadline(deadline.Add(t.After))
		rest, err := t.in.ReadString('\n')
		if line += rest; err == nil {
			late = time.Since(deadline)
		}
	}
	a := Answer{Late: late, Line: strings.TrimRight(line, "\r\n"), Took: time.Since(sentAt)}
	_ = t.conn.SetReadDeadline(time.Time{})
	switch {
	case err == nil:
		a.What, _, _ = strings.Cut(a.Line, " ")
		t.w.Saw(rules.Answered, t.ID, "", a.Line)
	case errors.Is(err, os.ErrDeadlineExceeded):
		a.What = "none"
	case errors.Is(err, io.EOF):
		a.What = "end"
	default:
		a.What = "reset"
	}
	what := a.What
	if late > 0 {
		what += ", but " + a.Line + " " + late.String() + " after its time"
	}
	switch {
	case err == nil:
	case t.Excuse != nil && t.Excuse(a):
		t.w.Saw(rules.ClientClosed, t.ID, "", what)
	default:
		t.w.SawBy(t.By, rules.Unanswered, t.ID, "", what)
	}
	return a
}

// Listen waits for an answer without sending a request.
func (t *Client) Listen(wait time.Duration) Answer { return t.readAnswer(time.Now(), wait) }

// Echo sends a numbered line and waits until it is returned. It returns ErrMoved if it receives MOVE instead.
func (t *Client) Echo(wait time.Duration) error {
	t.linesSent++
	text := fmt.Sprintf("%s line %d", t.ID, t.linesSent)
	t.w.Saw(rules.LineSent, t.ID, "", text)
	if _, err := io.WriteString(t.conn, text+"\r\n"); err != nil {
		return err
	}
	_ = t.conn.SetReadDeadline(time.Now().Add(wait))
	line, err := t.in.ReadString('\n')
	if err != nil {
		return err
	}
	if line = strings.TrimRight(line, "\r\n"); line == "MOVE" {
		return ErrMoved
	}
	t.w.Saw(rules.Returned, t.ID, "", line)
	return nil
}

// Pour sends lines of size bytes, one per pause or more slowly if the connection accepts them more slowly, until stop
// is closed or the connection ends. It calls onBytes with the number of bytes returned. The bytes are not reported to
// the checker: a line consists of the client's own ID, so that foreign, lost or reordered bytes in it are an error.
func (t *Client) Pour(size int, pause time.Duration, stop <-chan struct{}, onBytes func(bytes int)) error {
	line := []byte(strings.Repeat(t.ID+".", size/(len(t.ID)+1)+1)[:size-1] + "\n")
	go func() {
		for {
			select {
			case <-stop:
				return
			case <-time.After(pause):
			}
			if _, err := t.conn.Write(line); err != nil {
				return
			}
		}
	}()
	returned := make(chan struct{})
	defer close(returned)
	go func() {
		select {
		case <-stop:
			_ = t.conn.SetReadDeadline(time.Now())
		case <-returned:
		}
	}()
	offset, buf := 0, make([]byte, 16<<10)
	for {
		n, err := t.in.Read(buf)
		if n > 0 {
			onBytes(n)
		}
		for i, c := range buf[:n] {
			if c != line[offset] {
				if strings.HasPrefix(string(buf[i:n]), "MOVE\r\n") {
					return ErrMoved
				}
				return &UnexpectedError{hint.Annotated{
					What:  fmt.Sprintf("byte %d of a line", offset),
					Cause: ErrChanged,
					Do:    inspectBalancerLog,
				}}
			}
			offset = (offset + 1) % len(line)
		}
		if err != nil {
			return err
		}
	}
}

// UnexpectedError reports unexpected behaviour of the balancer.
type UnexpectedError struct{ hint.Annotated }

const inspectBalancerLog = "see the balancer's log, then run again with the same seed"

// ErrChanged reports that the bytes returned are not those sent.
var ErrChanged error = &UnexpectedError{hint.Annotated{What: "bytes lost, repeated or changed", Do: inspectBalancerLog}}

// Moved waits for MOVE; anything else is an error.
func (t *Client) Moved(wait time.Duration) error {
	_ = t.conn.SetReadDeadline(time.Now().Add(wait))
	line, err := t.in.ReadString('\n')
	if err == nil && line != "MOVE\r\n" {
		err = &UnexpectedError{hint.Annotated{What: fmt.Sprintf("received %q instead of MOVE", line), Do: inspectBalancerLog}}
	}
	return err
}

// ErrMoved reports that the client received MOVE and has to connect again.
var ErrMoved error = &UnexpectedError{hint.Annotated{What: "moved", Do: "connect again"}}

// Say sends text unchanged.
func (t *Client) Say(text string) error {
	_, err := io.WriteString(t.conn, text)
	return err
}

// Close closes the connection gracefully.
func (t *Client) Close() { t.disconnect(false) }

// Break resets the connection, so that its port is free at once.
func (t *Client) Break() { t.disconnect(true) }

func (t *Client) disconnect(reset bool) {
	if t.closed {
		return
	}
	t.closed = true
	t.w.Saw(rules.ClientClosed, t.ID, "", "")
	if reset {
		_ = t.conn.SetLinger(0)
	}
	_ = t.conn.Close()
}
