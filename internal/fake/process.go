package fake

import (
	"bufio"
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"oatloft/internal/hint"
)

// Process is a balancer that runs as a process of its own, so that its limits are real.
type Process struct {
	Addr   string
	cmd    *exec.Cmd
	output outputBuffer
	exited chan struct{}
	err    error
}

// log keeps the end of what the process has written.
type outputBuffer struct {
	mu          sync.Mutex
	buf         bytes.Buffer
	onLine      func(line string)
	partialLine []byte // of a line that has no end yet
}

func (l *outputBuffer) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buf.Len() > 1<<20 {
		l.buf.Next(l.buf.Len() / 2)
	}
	if l.onLine != nil {
		l.partialLine = append(l.partialLine, b...)
		for i := bytes.IndexByte(l.partialLine, '\n'); i >= 0; i = bytes.IndexByte(l.partialLine, '\n') {
			l.onLine(string(l.partialLine[:i]))
			l.partialLine = l.partialLine[i+1:]
		}
	}
	return l.buf.Write(b)
}

// Launch says how a balancer is started.
type Launch struct {
	Binary, Config, Addr string
	Descriptors          int // the process's hard limit; 0: as many as this process may have
	Inherited            int // descriptors that it holds from the start and knows nothing of
	Args                 []string
	Env                  []string
	Management           string            // where operators call it; it has started once it says yes to status
	Listener             *os.File          // the listening socket that it inherits as descriptor 3
	Lines                func(line string) // told each line that it writes; must not block
}

// started tells by the answer to status: who waits to hear which revision is in force has started.
func (l Launch) hasStarted(answer string) bool {
	return strings.HasPrefix(answer, "+OK") || strings.HasPrefix(answer, "-ERR without a revision")
}

// Call is an operator's call: one line there, one line back.
func Call(addr, line string) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return err.Error()
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(c, line+"\r\n")
	answer, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return fmt.Sprintf("%q, %v", answer, err)
	}
	return strings.TrimRight(answer, "\r\n")
}

// Start runs Binary serve until the world ends, and returns once it answers PING.
func (w *World) Start(l Launch) (*Process, error) {
	addr, line := l.Addr, `exec "$0" "$@"`
	if l.Descriptors > 0 {
		line = "ulimit -n " + strconv.Itoa(l.Descriptors) + "; " + line
	}
	p := &Process{Addr: addr, exited: make(chan struct{})}
	p.cmd = exec.Command("/bin/sh", append([]string{"-c", line, l.Binary, "serve", "--config", l.Config}, l.Args...)...)
	p.output.onLine = l.Lines
	p.cmd.Stdout, p.cmd.Stderr = &p.output, &p.output
	p.cmd.Env = append(os.Environ(), l.Env...)
	if l.Management != "" {
		p.cmd.Env = append(p.cmd.Env, "PROXY_MANAGEMENT="+l.Management)
	}
	if l.Listener != nil {
		p.cmd.ExtraFiles = []*os.File{l.Listener}
		p.cmd.Env = append(p.cmd.Env, "PROXY_FD=3")
	}
	if l.Inherited > 0 {
		null, err := os.Open(os.DevNull)
		if err != nil {
			return nil, err
		}
		defer func() { _ = null.Close() }()
		for range l.Inherited {
			p.cmd.ExtraFiles = append(p.cmd.ExtraFiles, null)
		}
	}
	if err := p.cmd.Start(); err != nil {
		return nil, err
	}
	w.OnClose(func() { p.Kill() })
	w.Go(func() { p.err = p.cmd.Wait(); close(p.exited) })
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); {
		switch {
		case l.Management == "" && Ping(addr) == "PONG":
			return p, nil
		case l.Management != "" && l.hasStarted(Call(l.Management, "status")):
			return p, nil
		}
		select {
		case <-p.exited:
			return nil, &UnexpectedError{hint.Annotated{What: "no PONG, it ended\n" + p.Log(), Cause: p.err, Do: "mend what its log says"}}
		case <-time.After(10 * time.Millisecond):
		}
	}
	p.Kill() // who comes next finds its addresses free
	return nil, &UnexpectedError{hint.Annotated{What: "no PONG within 10 s\n" + p.Log(), Do: "see that the address is free and the machine isn't too busy"}}
}

// Ping is the front's question, and what comes back.
func Ping(addr string) string {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return ""
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(time.Second))
	fmt.Fprint(c, "PING\r\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.TrimRight(line, "\r\n")
}

// Log is what the process has written so far.
func (p *Process) Log() string {
	p.output.mu.Lock()
	defer p.output.mu.Unlock()
	return p.output.buf.String()
}

// PID is the process's number.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill ends it at once.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Over tells, once it has ended, how.
func (p *Process) Over(wait time.Duration) error {
	select {
	case <-p.exited:
		return p.err
	case <-time.After(wait):
		return &UnexpectedError{hint.Annotated{What: "still running", Do: inspectBalancerLog}}
	}
}

// Descriptors is how many the process holds now.
func (p *Process) Descriptors() int {
	list, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(list)
}

// ResidentKB is the memory that the process holds now, and the most that it has held.
func (p *Process) ResidentKB() (now, peak int) {
	body, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(body), "\n") {
		if f := strings.Fields(line); len(f) > 1 {
			switch n, _ := strconv.Atoi(f[1]); f[0] {
			case "VmRSS:":
				now = n
			case "VmHWM:":
				peak = n
			}
		}
	}
	return now, peak
}

// CPU is the processor time that the process has used.
func (p *Process) CPU() time.Duration {
	body, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	f := strings.Fields(string(body[max(0, bytes.LastIndexByte(body, ')')):]))
	if len(f) < 14 {
		return 0
	}
	user, _ := strconv.Atoi(f[12])
	system, _ := strconv.Atoi(f[13])
	return time.Duration(user+system) * 10 * time.Millisecond
}

// Datagrams is how many UDP sockets the process holds now.
func (p *Process) Datagrams() (n int) {
	mine := map[string]bool{}
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	list, _ := os.ReadDir(dir)
	for _, e := range list {
		if to, err := os.Readlink(dir + "/" + e.Name()); err == nil {
			mine[strings.TrimSuffix(strings.TrimPrefix(to, "socket:["), "]")] = true
		}
	}
	body, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/udp", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(body), "\n")[1:] {
		if f := strings.Fields(line); len(f) > 9 && mine[f[9]] {
			n++
		}
	}
	return n
}
