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

// Terminal is one client connection.
type Terminal struct {
	ID        string
	By        string // the balancer that it asks, where several are judged
	w         *World
	conn      *net.TCPConn
	in        *bufio.Reader
	closed    bool
	linesSent int
	// Excuse, if set, tells that the balancer owes nothing: it was killed meanwhile, say. What it left unanswered then is
	// no broken rule.
	Excuse func(Answer) bool
	After  time.Duration // it listens on for so long, once it has quit waiting, for how late the answer is
}

var lastID atomic.Int64

// Ask is what a terminal wants.
type Ask struct {
	Key, Class, Tenant string
	Wait               time.Duration // how long it waits for its answer; 2 s if 0
	More               string        // further fields, ",r=1"
}

// Line is the first line of a transaction.
func (a Ask) Line(id string) string {
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

// Connect opens a terminal's connection from one address to another.
func (w *World) Connect(from, to string) (*Terminal, error) {
	d := net.Dialer{Timeout: 5 * time.Second}
	if from != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(from)}
	}
	c, err := d.Dial("tcp", to)
	if err != nil {
		return nil, err
	}
	return &Terminal{ID: fmt.Sprintf("%x-%x", os.Getpid(), lastID.Add(1)), w: w, conn: c.(*net.TCPConn), in: bufio.NewReaderSize(c, 4096)}, nil
}

// Answer is how a transaction was answered: "UP", "BUSY", "ERR", "reset" (the connection broke), "end" (it ended
// without a word) or "none" (nothing came while the terminal waited).
type Answer struct {
	What string
	Line string        // as it came
	Took time.Duration // from the first line's last byte
	Late time.Duration // none came while the terminal waited, but one so much later; 0 if none
}

// Open sends the first line and waits for the answer.
func (t *Terminal) Open(a Ask) Answer {
	if a.Wait == 0 {
		a.Wait = 2 * time.Second
	}
	sentAt := time.Now()
	if _, err := io.WriteString(t.conn, a.Line(t.ID)); err != nil {
		// It may have been refused before it spoke: what it was told is still there to be read.
		return t.readAnswer(sentAt, a.Wait)
	}
	t.w.SawBy(t.By, rules.Asked, t.ID, "", "")
	return t.readAnswer(sentAt, a.Wait)
}

func (t *Terminal) readAnswer(sentAt time.Time, wait time.Duration) Answer {
	deadline := sentAt.Add(wait + 50*time.Millisecond) // the rules' limits on sockets are that much longer
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

// Listen waits for an answer without asking for anything.
func (t *Terminal) Listen(wait time.Duration) Answer { return t.readAnswer(time.Now(), wait) }

// Echo sends a numbered line and waits until it has come back. A MOVE is an error of its own.
func (t *Terminal) Echo(wait time.Duration) error {
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

// Pour sends pieces of so many bytes, one each pause or as fast as they are taken if they are taken slower, until stop
// is closed or the connection ends; took is told what has come back. Bytes are not judged one by one: a line's text is the
// terminal's own, so that anything foreign or out of order in it is an error.
func (t *Terminal) Pour(size int, pause time.Duration, stop <-chan struct{}, onBytes func(bytes int)) error {
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
				return &UnexpectedError{hint.Annotated{What: fmt.Sprintf("byte %d of a line", offset), Cause: ErrChanged, Do: inspectBalancerLog}}
			}
			offset = (offset + 1) % len(line)
		}
		if err != nil {
			return err
		}
	}
}

// UnexpectedError is what a stand-in met that it didn't ask for.
type UnexpectedError struct{ hint.Annotated }

const inspectBalancerLog = "look into the balancer's log, then play it again with the same seed"

// ErrChanged tells that what came back is not what was sent.
var ErrChanged error = &UnexpectedError{hint.Annotated{What: "bytes lost, repeated or changed", Do: inspectBalancerLog}}

// Moved waits until the terminal is told to come again; anything else is an error.
func (t *Terminal) Moved(wait time.Duration) error {
	_ = t.conn.SetReadDeadline(time.Now().Add(wait))
	line, err := t.in.ReadString('\n')
	if err == nil && line != "MOVE\r\n" {
		err = &UnexpectedError{hint.Annotated{What: fmt.Sprintf("%q in place of MOVE", line), Do: inspectBalancerLog}}
	}
	return err
}

// ErrMoved tells that the terminal was told to come again.
var ErrMoved error = &UnexpectedError{hint.Annotated{What: "moved", Do: "connect again"}}

// Say sends bytes as they are.
func (t *Terminal) Say(text string) error {
	_, err := io.WriteString(t.conn, text)
	return err
}

// Close ends the connection in order, Break with a reset.
func (t *Terminal) Close() { t.disconnect(false) }

// Break ends the connection with a reset, which leaves no port behind.
func (t *Terminal) Break() { t.disconnect(true) }

func (t *Terminal) disconnect(reset bool) {
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
