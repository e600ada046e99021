package management

import (
	"bytes"
	"io"
	"net"
	"strings"
	"testing"
	"time"
)

// Every call is answered by one line, which states what is wrong with it. A malformed call is not carried out.
func TestCalls(t *testing.T) {
	for text, want := range map[string]string{
		"status\n": "+OK status ", "status\r\n": "+OK status ", " maint-on  s-1 \r\n": "+OK maint-on s-1",
		"maint-off s-1\n": "+OK maint-off s-1", "standby\n": "+OK standby ", "active\n": "+OK active ",
		"\n":             "-ERR no call",
		"STATUS\n":       "-ERR unknown call",
		"maint-on\n":     "-ERR maint-on needs",
		"maint-on a b\n": "-ERR maint-on takes one",
		"status now\n":   "-ERR status takes nothing", "status\nstandby\n": "-ERR more than one", "stat": "-ERR line without",
		"maint-on \x00\n": "-ERR bytes", "maint-on \xff\xfe\n": "-ERR bytes", "st\rat\n": "-ERR bytes",
		strings.Repeat("x", MaxLine) + "\n": "-ERR line longer", strings.Repeat("x", 3*MaxLine): "-ERR line longer",
	} {
		for size := 1; size <= len(text); size = size*2 + 1 {
			s, done := serve(t, nil)
			c := dial(t, s)
			go writeInChunks(c, text, size)
			got, _ := io.ReadAll(c)
			if strings.Contains(text, "\nstandby") && size < len(text) {
				// In chunks, the first line may be answered before the second one arrives.
				want = ""
			}
			if !strings.HasPrefix(string(got), want) || !strings.HasSuffix(string(got), "\r\n") ||
				bytes.Count(got, []byte("\n")) != 1 {
				t.Errorf("%.30q in chunks of %d: %q, want %q", text, size, got, want)
			}
			if n := len(done()); strings.HasPrefix(want, "-") && n > 0 {
				t.Errorf("%.30q was carried out", text)
			}
		}
	}
}

// writeInChunks writes a text in chunks of size bytes and closes the sending direction of the connection.
func writeInChunks(c net.Conn, text string, size int) {
	for rest := text; len(rest) > 0; {
		n := min(size, len(rest))
		if _, err := io.WriteString(c, rest[:n]); err != nil {
			return
		}
		rest = rest[n:]
	}
	_ = c.(*net.TCPConn).CloseWrite()
}

func serve(t *testing.T, stall chan struct{}) (*Server, func() []Request) {
	t.Helper()
	calls := make(chan Request, 1000)
	s, err := Listen("127.0.0.1:0", func(c Request, expired <-chan struct{}) Answer {
		if stall != nil {
			select {
			case <-stall:
			case <-expired:
				return No("late")
			}
		}
		calls <- c
		return Yes("%v %s", c.Verb, c.Argument)
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Serve()
	t.Cleanup(s.Close)
	return s, func() (list []Request) {
		for len(calls) > 0 {
			list = append(list, <-calls)
		}
		return list
	}
}

func dial(t *testing.T, s *Server) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", s.Addr())
	if err != nil {
		t.Fatal(err)
	}
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// Hundreds of silent callers that connect before and after a caller don't prevent its answer within 1 s.
func TestSilentCallers(t *testing.T) {
	s, _ := serve(t, nil)
	for range 300 {
		dial(t, s)
	}
	for i := range 5 {
		began := time.Now()
		c := dial(t, s)
		_, _ = io.WriteString(c, "status\n") // at once: on a busy machine, connecting the others may take minSilence
		for range 20 {
			dial(t, s)
		}
		if got, err := io.ReadAll(c); string(got) != "+OK status \r\n" || time.Since(began) > time.Second {
			t.Fatalf("call %d: %q %v after %v", i, got, err, time.Since(began))
		}
	}
	if s.Counters.Cut.Load() == 0 {
		t.Fatal("no silent caller was evicted")
	}
}

// A call that the handler does not carry out in time fails within 1 s, and is not carried out later.
func TestCallTimeout(t *testing.T) {
	stall := make(chan struct{})
	s, done := serve(t, stall)
	began := time.Now()
	c := dial(t, s)
	_, _ = io.WriteString(c, "standby\r\n")
	got, _ := io.ReadAll(c)
	if string(got) != "-ERR late\r\n" || time.Since(began) > time.Second || s.Counters.Late.Load() != 1 {
		t.Fatalf("%q after %v, %d late", got, time.Since(began), s.Counters.Late.Load())
	}
	close(stall)
	if len(done()) > 0 {
		t.Fatal("a call that was answered as failed was carried out")
	}
}

// Only calls about revisions may be long. The rest of their line after the first word is passed on unchanged.
func TestLongCalls(t *testing.T) {
	s, done := serve(t, nil)
	long := func(head string, n int) string { return head + strings.Repeat("x", n-len(head)-1) + "\n" }
	for text, want := range map[string]string{
		"revision status\n":                             "+OK revision status\r\n",
		"revision  propose k {\"note\":  \"a b\"} \r\n": "+OK revision propose k {\"note\":  \"a b\"}\r\n",
		"revision\n":                                    "-ERR revision needs",
		" revision status\n":                            "-ERR revision needs",
		"revision \n":                                   "-ERR revision needs",
		"revisions x\n":                                 "-ERR unknown call",
		long("revision get ", MaxRevisionLine):          "+OK revision get xxx",
		long("revision get ", MaxRevisionLine+1):        "-ERR line longer than 131072",
		long("revision get ", MaxLine+1):                "+OK revision get xxx",
		long("revisionget ", MaxLine+1):                 "-ERR line longer than 512",
		long("revision get ", 9000)[:8999]:              "-ERR line without",
		long("revision get ", 9000) + "status\n":        "-ERR more than one",
		long("revision get ", 9000)[:8000] + "\x00\n":   "-ERR bytes",
	} {
		for _, size := range []int{511, 512, 1 << 20} {
			c := dial(t, s)
			go writeInChunks(c, text, size)
			got, err := io.ReadAll(c)
			if strings.HasSuffix(text, "xstatus\n") && size < len(text) {
				continue // the first line may be answered before the second one arrives
			}
			if !strings.HasPrefix(string(got), want) || !strings.HasSuffix(string(got), "\r\n") ||
				want[0] == '+' && len(text) > 400 && len(got) != len(text)+len("+OK \r") {
				t.Errorf("%.30q, %d bytes, in chunks of %d: %.80q %v, want %q", text, len(text), size, got, err, want)
			}
		}
	}
	for _, c := range done() {
		if c.Verb != Revision || c.Argument == "" {
			t.Errorf("%v %q was carried out", c.Verb, c.Argument)
		}
	}
}

// However many calls about revisions there are and however slowly their lines arrive, other calls are answered within
// 1 s, and calls about revisions without a free slot are answered as busy.
func TestRevisionCallLimits(t *testing.T) {
	stall := make(chan struct{})
	s, err := Listen("127.0.0.1:0", func(c Request, expired <-chan struct{}) Answer {
		if c.Argument == "stall" {
			select {
			case <-stall:
			case <-expired:
				return No("late")
			}
		}
		return Yes("%v", c.Verb)
	})
	if err != nil {
		t.Fatal(err)
	}
	s.Serve()
	defer s.Close()
	occupyLongLines(t, s)
	occupyRevisionCalls(t, s, stall)
}

// callWithin1s makes a call that must be answered within 1 s.
func callWithin1s(t *testing.T, s *Server, line, want string) {
	t.Helper()
	began := time.Now()
	c := dial(t, s)
	_, _ = io.WriteString(c, line)
	if got, err := io.ReadAll(c); !strings.HasPrefix(string(got), want) || time.Since(began) > time.Second {
		t.Fatalf("%.40q: %q %v after %v", line, got, err, time.Since(began))
	}
}

// occupyLongLines uses up all slots for long lines with incomplete lines.
func occupyLongLines(t *testing.T, s *Server) {
	t.Helper()
	var slow []net.Conn
	for range maxLongLines {
		c := dial(t, s)
		_, _ = io.WriteString(c, "revision propose "+strings.Repeat("x", 2*MaxLine))
		slow = append(slow, c)
	}
	for len(s.longLines) < maxLongLines {
		time.Sleep(time.Millisecond)
	}
	callWithin1s(t, s, "revision propose "+strings.Repeat("x", 2*MaxLine)+"\n", "-ERR busy")
	callWithin1s(t, s, "revision status\n", "+OK revision")
	for _, c := range slow {
		_ = c.Close()
	}
}

// occupyRevisionCalls stalls more calls about revisions than there are slots.
func occupyRevisionCalls(t *testing.T, s *Server, stall chan struct{}) {
	t.Helper()
	var stalled []net.Conn
	for range 2 * maxCallers {
		c := dial(t, s)
		_, _ = io.WriteString(c, "revision stall\n")
		stalled = append(stalled, c)
	}
	for len(s.revisionCalls) < maxRevisionCalls {
		time.Sleep(time.Millisecond)
	}
	for range 3 {
		callWithin1s(t, s, "status\n", "+OK status")
		callWithin1s(t, s, "revision status\n", "-ERR busy")
	}
	close(stall)
	done := 0
	for _, c := range stalled {
		if got, _ := io.ReadAll(c); string(got) == "+OK revision\r\n" {
			done++
		}
	}
	if done < maxRevisionCalls {
		t.Fatalf("%d of %d calls with a slot were answered", done, maxRevisionCalls)
	}
	callWithin1s(t, s, "revision status\n", "+OK revision")
}

// A call about revisions has more time than other calls, but not when the server closes.
func TestRevisionCallTimeout(t *testing.T) {
	s, _ := serve(t, make(chan struct{}))
	c := dial(t, s)
	_, _ = io.WriteString(c, "revision status\n")
	_ = c.SetReadDeadline(time.Now().Add(callTimeout + 200*time.Millisecond))
	if n, err := c.Read(make([]byte, 9)); err == nil {
		t.Fatalf("answered with %d bytes before callTimeout had passed", n)
	}
	began := time.Now()
	_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
	go s.Close()
	if got, _ := io.ReadAll(c); string(got) != "-ERR late\r\n" || time.Since(began) > callTimeout+500*time.Millisecond {
		t.Fatalf("%q %v after Close", got, time.Since(began))
	}
}

func FuzzCall(f *testing.F) {
	for _, s := range []string{
		"status\n",
		"maint-on s-1\r\n",
		"a\nb",
		"\x00",
		strings.Repeat("y", 600),
		"revision a  b\n",
		"peers b2\n",
	} {
		f.Add([]byte(s), true)
	}
	f.Fuzz(func(t *testing.T, data []byte, ended bool) {
		line, complete, err := CutLine(data, ended)
		if err != nil || !complete {
			return
		}
		c, err := Parse(line)
		if err != nil {
			if a := No("%v", err).Line(); bytes.Count(a, []byte("\n")) != 1 {
				t.Fatalf("%q", a)
			}
			return
		}
		takesArgument := c.Verb.needsServer() || c.Verb == Revision || c.Verb == Peers && c.Argument != ""
		if (c.Argument != "") != takesArgument ||
			c.Verb != Revision && strings.ContainsAny(c.Argument, " \t\r\n") {
			t.Fatalf("%q read as %+v", line, c)
		}
	})
}

// Call distinguishes successes, errors and invalid answers.
func TestCall(t *testing.T) {
	s, _ := serve(t, nil)
	for call, want := range map[string]Answer{
		"status":   {true, "status "},
		"maint-on": {false, "maint-on needs the id of a server; do: give the id, host in discovery's list"},
	} {
		if a, err := Call(s.Addr(), call); err != nil || a != want {
			t.Errorf("%s: %+v %v", call, a, err)
		}
	}
	call := "revision get " + strings.Repeat("7", 100_000)
	if a, err := Call(s.Addr(), call); err != nil || !a.OK || a.Text != call {
		t.Errorf("%.80q %v", a.Text, err)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			_, _ = c.Read(make([]byte, 64))
			_, _ = io.WriteString(c, "HTTP/1.1 400 Bad Request\r\n")
			_ = c.Close()
		}
	}()
	if a, err := Call(l.Addr().String(), "status"); err == nil {
		t.Error("another service's answer was accepted as", a)
	}
}
