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

// Process is a balancer in a separate process, so that the operating system enforces its limits.
type Process struct {
	Addr   string
	cmd    *exec.Cmd
	output outputBuffer
	exited chan struct{}
	err    error
}

// outputBuffer keeps the last part of the process's output.
type outputBuffer struct {
	mu          sync.Mutex
	buf         bytes.Buffer
	onLine      func(line string)
	partialLine []byte // start of a line whose end has not been written yet
}

func (l *outputBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.buf.Len() > 1<<20 {
		l.buf.Next(l.buf.Len() / 2)
	}
	if l.onLine != nil {
		l.partialLine = append(l.partialLine, p...)
		for i := bytes.IndexByte(l.partialLine, '\n'); i >= 0; i = bytes.IndexByte(l.partialLine, '\n') {
			l.onLine(string(l.partialLine[:i]))
			l.partialLine = l.partialLine[i+1:]
		}
	}
	return l.buf.Write(p)
}

// Launch describes how to start a balancer.
type Launch struct {
	Binary, Config, Addr string
	Descriptors          int // the process's hard limit; 0: as many as this process may have
	Inherited            int // number of open descriptors that it inherits and does not use
	Args                 []string
	Env                  []string
	Management           string            // management address; if set, the balancer is ready when it answers status
	Listener             *os.File          // the listening socket that it inherits as descriptor 3
	Lines                func(line string) // called with each line of its output; must not block
}

// hasStarted reports whether an answer to status comes from a started balancer. One that does not know the revision in
// force yet has started too.
func (l Launch) hasStarted(answer string) bool {
	return strings.HasPrefix(answer, "+OK") || strings.HasPrefix(answer, "-ERR without a revision")
}

// Call makes a management call: it sends one line and returns the answer, also one line, or the text of an error.
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

// Start runs the command serve of l.Binary until the world is closed, and returns once the balancer is ready: it
// answers PING, or status if l.Management is set.
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
			return nil, &UnexpectedError{hint.Annotated{
				What:  "no PONG: the balancer exited\n" + p.Log(),
				Cause: p.err,
				Do:    "correct what its log reports",
			}}
		case <-time.After(10 * time.Millisecond):
		}
	}
	p.Kill() // frees its addresses for the next process
	return nil, &UnexpectedError{hint.Annotated{
		What: "no PONG within 10 s\n" + p.Log(),
		Do:   "check that the address is free and the machine is not overloaded",
	}}
}

// Ping sends PING, as the layer in front of the balancers does, and returns the answer, "" if there is none.
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

// Log returns the process's output so far; of a long output, the last part.
func (p *Process) Log() string {
	p.output.mu.Lock()
	defer p.output.mu.Unlock()
	return p.output.buf.String()
}

// PID returns the process ID.
func (p *Process) PID() int { return p.cmd.Process.Pid }

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// Kill kills the process and waits until it has exited.
func (p *Process) Kill() {
	_ = p.cmd.Process.Kill()
	<-p.exited
}

// Over waits for the process to exit and returns the error of its exit, or an UnexpectedError if it is still running.
func (p *Process) Over(wait time.Duration) error {
	select {
	case <-p.exited:
		return p.err
	case <-time.After(wait):
		return &UnexpectedError{hint.Annotated{What: "still running", Do: inspectBalancerLog}}
	}
}

// Descriptors returns the number of descriptors that the process has open.
func (p *Process) Descriptors() int {
	entries, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid))
	return len(entries)
}

// ResidentKB returns the process's current and peak resident memory, in KiB.
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

// CPU returns the processor time that the process has used.
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

// Datagrams returns the number of UDP sockets that the process has open.
func (p *Process) Datagrams() (n int) {
	ownSockets := map[string]bool{}
	dir := fmt.Sprintf("/proc/%d/fd", p.cmd.Process.Pid)
	entries, _ := os.ReadDir(dir)
	for _, e := range entries {
		if target, err := os.Readlink(dir + "/" + e.Name()); err == nil {
			ownSockets[strings.TrimSuffix(strings.TrimPrefix(target, "socket:["), "]")] = true
		}
	}
	body, _ := os.ReadFile(fmt.Sprintf("/proc/%d/net/udp", p.cmd.Process.Pid))
	for _, line := range strings.Split(string(body), "\n")[1:] {
		if f := strings.Fields(line); len(f) > 9 && ownSockets[f[9]] {
			n++
		}
	}
	return n
}
