// Package standin has the stand-ins of the review's cases: a platform that starts balancers by the deploy file's run
// line, discovery, servers and clients, and the record of what they saw. They behave as the users' pages say.
package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record is the log of one run: what was sent, answered and run, with the time since the start.
type Record struct {
	mu      sync.Mutex
	out     io.Writer
	started time.Time
	broken  []string
}

// NewRecord starts a record that is written to path.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{out: f, started: time.Now()}, nil
}

// Add adds a line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%9.3f ms  %s\n", float64(time.Since(r.started))/1e6, fmt.Sprintf(format, args...))
}

// Broken adds a line that says how the rule was broken.
func (r *Record) Broken(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	r.Add("BROKEN %s", text)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, text)
}

// Count returns how often the rule was broken.
func (r *Record) Count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.broken)
}

// Host is an entry of discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	BornMS int64   `json:"born_ms"`
}

// List is a message of discovery.
type List struct {
	Seq   int    `json:"seq"`
	Whole bool   `json:"whole"`
	Hosts []Host `json:"hosts"`
}

// Discovery serves the list of servers, whole or as a watch on its changes.
type Discovery struct {
	Addr string

	record  *Record
	mu      sync.Mutex
	changes []Host // the change with version n is at n-1
	changed chan struct{}
}

// NewDiscovery starts discovery on a free port of host, with a first list.
func NewDiscovery(record *Record, host string, hosts []Host) (*Discovery, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{Addr: l.Addr().String(), record: record, changes: hosts, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", d.serve)
	go func() { _ = http.Serve(l, mux) }()
	return d, nil
}

// Set lists a server with a new state.
func (d *Discovery) Set(h Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.changes = append(d.changes, h)
	close(d.changed)
	d.changed = make(chan struct{})
	d.record.Add("discovery has %s %s", h.Host, h.Health)
}

// Whole returns the whole list.
func (d *Discovery) Whole() List {
	d.mu.Lock()
	defer d.mu.Unlock()
	latest := map[string]Host{}
	var order []string
	for _, h := range d.changes {
		if _, ok := latest[h.Host]; !ok {
			order = append(order, h.Host)
		}
		latest[h.Host] = h
	}
	list := List{Seq: len(d.changes), Whole: true}
	for _, id := range order {
		if latest[id].Health != "gone" {
			list.Hosts = append(list.Hosts, latest[id])
		}
	}
	return list
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Query().Get("watch") != "1" {
		_ = json.NewEncoder(w).Encode(d.Whole())
		return
	}
	from, _ := strconv.Atoi(r.URL.Query().Get("from"))
	flusher, _ := w.(http.Flusher)
	for {
		d.mu.Lock()
		from = min(from, len(d.changes))
		list := List{Seq: len(d.changes), Hosts: append([]Host(nil), d.changes[from:]...)}
		changed := d.changed
		d.mu.Unlock()
		var body []byte
		if len(list.Hosts) > 0 {
			body, _ = json.Marshal(list)
		}
		if _, err := w.Write(append(body, '\n')); err != nil {
			return
		}
		flusher.Flush()
		for _, h := range list.Hosts {
			d.record.Add("discovery wrote %s %s to a watch", h.Host, h.Health)
		}
		from = list.Seq
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

// Request is a first line that a server received.
type Request struct {
	ID, Key string
	Fields  map[string]string
	Line    string
}

// Server is a server that answers probes itself and passes requests to a function.
type Server struct {
	ID, Addr string

	record   *Record
	listener net.Listener
	serve    func(*Server, Request, net.Conn, *bufio.Reader)
	mu       sync.Mutex
	conns    map[net.Conn]bool
	standing int
}

// NewServer starts a server on a free port of host. serve gets each request and its connection, which is closed when it
// returns.
func NewServer(
	record *Record, id, host string, serve func(*Server, Request, net.Conn, *bufio.Reader),
) (*Server, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return nil, err
	}
	s := &Server{ID: id, Addr: l.Addr().String(), record: record, listener: l, serve: serve, conns: map[net.Conn]bool{}}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			s.mu.Lock()
			s.conns[conn] = true
			s.mu.Unlock()
			go s.handle(conn)
		}
	}()
	return s, nil
}

// Host returns the server's entry in discovery's list.
func (s *Server) Host(site, health string) Host {
	return Host{Host: s.ID, Dial: s.Addr, Site: site, Class: "c6-std", Health: health, Share: 1}
}

// Stop ends the server: its connections are reset and new ones refused.
func (s *Server) Stop() {
	_ = s.listener.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		Reset(conn)
	}
}

// Stand counts standing connections, which the server reports when probed.
func (s *Server) Stand(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.standing += n
}

func (s *Server) handle(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
	}()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		line = strings.TrimRight(line, "\r\n")
		switch line {
		case "PING":
			_, _ = io.WriteString(conn, "PONG\r\n")
		case "STATS":
			s.mu.Lock()
			n := s.standing
			s.mu.Unlock()
			_, _ = fmt.Fprintf(conn, "PONG latency_ms=1.5,inflight=%d,x0=%.3f\r\n", n, float64(n)/200)
		default:
			request, ok := parse(line)
			if !ok {
				s.record.Add("%s received %q, which no client sent", s.ID, line)
				_, _ = io.WriteString(conn, "SYNTAX\r\n")
				return
			}
			s.record.Add("%s: received %q", s.ID, line)
			s.serve(s, request, conn, in)
			return
		}
	}
}

// parse reads a first line; ok is false if no client sends it in this form.
func parse(line string) (request Request, ok bool) {
	words := strings.Split(line, " ")
	if len(words) != 4 || words[0] != "OPEN" {
		return Request{}, false
	}
	request = Request{ID: words[1], Key: words[2], Fields: map[string]string{}, Line: line}
	for _, pair := range strings.Split(words[3], ",") {
		name, value, _ := strings.Cut(pair, "=")
		request.Fields[name] = value
	}
	return request, true
}

// Reset ends a connection with a reset.
func Reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}

// Class has the settings of one class of requests.
type Class struct {
	Name              string
	AimMS, GiveUpMS   float64
	Semantics, Group  string
	KeyTTLMS, Message float64
}

// Tenant is a customer with its share of the service and the open connections inside that.
type Tenant struct {
	Name                  string
	Fraction, Connections float64
}

// Settings are the settings of a small deployment.
type Settings struct {
	Mode      string   // proxy or pass
	Zones     []string // the balancer is in the first
	Balancers int
	Classes   []Class
	Tenants   []Tenant
	Sockets   int

	MaxAttempts                       int
	RetryAfter                        bool
	DrainGraceMS, ColdFrom, ColdMS    float64
	FallMultiple, TipMS, CrossZoneFee float64
}

// Msimbo returns the settings of msimbo-ke-prod, as its pages and the example of its wire's page have them.
func Msimbo() Settings {
	return Settings{
		Mode: "pass", Zones: []string{"nrb", "mba", "ksm"}, Balancers: 3, Sockets: 4096,
		Classes: []Class{
			{Name: "text-search", AimMS: 800, GiveUpMS: 4800, Semantics: "safe", Group: "all", KeyTTLMS: 5000, Message: 150},
			{Name: "suggest", AimMS: 500, GiveUpMS: 2000, Semantics: "safe", Group: "all", KeyTTLMS: 5000, Message: 100},
			{Name: "goto-def", AimMS: 300, GiveUpMS: 1200, Semantics: "safe", Group: "all", KeyTTLMS: 5000, Message: 60},
		},
		Tenants:     []Tenant{{"pesa-grid", 0.54, 778}, {"shamba-soft", 0.33, 475}, {"boda-route", 0.13, 187}},
		MaxAttempts: 6, DrainGraceMS: 500, ColdFrom: 0.34, ColdMS: 8600, FallMultiple: 4, TipMS: 3000, CrossZoneFee: 0.16,
	}
}

// Nile returns the settings of nile-forecast-feed, as its page has them.
func Nile() Settings {
	return Settings{
		Mode: "pass", Zones: []string{"cairo", "aswan"}, Balancers: 3, Sockets: 4096,
		Classes: []Class{
			{Name: "grid-stream", AimMS: 800, GiveUpMS: 3200, Semantics: "safe", Group: "all", KeyTTLMS: 5000, Message: 150},
			{Name: "point-stream", AimMS: 300, GiveUpMS: 1800, Semantics: "safe", Group: "all", KeyTTLMS: 5000, Message: 150},
			{Name: "alert-stream", AimMS: 500, GiveUpMS: 3000, Semantics: "safe", Group: "all", KeyTTLMS: 5000, Message: 150},
		},
		Tenants:     []Tenant{{"delta-growers", 0.76, 760}, {"red-sea-shipping", 0.24, 240}},
		MaxAttempts: 5, RetryAfter: true, DrainGraceMS: 1000, ColdFrom: 0.15, ColdMS: 23000, FallMultiple: 2.5, TipMS: 1000,
		CrossZoneFee: 0.16,
	}
}

// Deployment has what every process of one balancer is started with.
type Deployment struct {
	Root     string // of the checkout
	Run      string // the run line of the deploy file
	Dir      string // a temporary folder
	Name     string
	Listen   string
	Config   string   // path
	Listener *os.File // the clients' listening socket, if the platform holds it
}

// WriteConfig writes a balancer's configuration.
func (d *Deployment) WriteConfig(s Settings, discovery string, known *List) error {
	var classes, tenants []map[string]any
	var message, connections []float64
	for _, c := range s.Classes {
		classes = append(classes, map[string]any{
			"name": c.Name, "aim-ms": c.AimMS, "give-up-ms": c.GiveUpMS, "semantics": c.Semantics, "group": c.Group,
			"key-ttl-ms": c.KeyTTLMS, "late-worth": 0.0, "points": 3.0, "stream": true,
		})
		message = append(message, c.Message)
	}
	for _, t := range s.Tenants {
		tenants = append(tenants, map[string]any{"name": t.Name, "fraction": t.Fraction})
		connections = append(connections, t.Connections)
	}
	body, err := json.MarshalIndent(map[string]any{
		"name": d.Name, "listen": d.Listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": s.Sockets},
		"known":  known,
		"settings": map[string]any{
			"areas": s.Zones, "zone": s.Zones[0], "balancers": s.Balancers, "position": 0,
			"granularity-ms": 5.0, "membership-mode": "on_request", "weights": "silent", "family": "conn",
			"limits": map[string]any{
				"cancel": true, "connect-timeout-ms": 250.0, "max-attempts": s.MaxAttempts, "probes": true,
				"retry-after": s.RetryAfter, "max-retry-after-ms": 2000.0, "may-duplicate": false,
			},
			"reporting": map[string]any{"how": "pull", "columns": []string{"lat_ms", "rif", "x0"}},
			"family-info": map[string]any{
				"groups": true, "mode": s.Mode, "message-aim-ms": message, "park-ms": 7926.0,
				"tenant-quota-connections": connections,
			},
			"rules": map[string]any{
				"ask-every-ms": 10000.0, "cold-from": s.ColdFrom, "cold-ms": s.ColdMS, "drain-grace-ms": s.DrainGraceMS,
				"fall-multiple": s.FallMultiple, "grace-to-answer-ms": 20.0, "tip-after-ms": s.TipMS,
			},
			"penalties": map[string]any{"cross-zone": s.CrossZoneFee},
			"tenants":   tenants,
			"classes":   classes,
		},
	}, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(d.Config, body, 0o600)
}

// HoldListener makes the platform hold the clients' listening socket, which every process inherits as descriptor 3.
func (d *Deployment) HoldListener() error {
	address, err := net.ResolveTCPAddr("tcp", d.Listen)
	if err != nil {
		return err
	}
	l, err := net.ListenTCP("tcp", address)
	if err != nil {
		return err
	}
	defer func() { _ = l.Close() }()
	d.Listener, err = l.File()
	return err
}

// Process is one process of a balancer.
type Process struct {
	Management string

	cmd    *exec.Cmd
	ended  chan struct{}
	record *Record
	name   string
}

// Start starts a process of the balancer with the deploy file's run line, with a management address of its own.
func (d *Deployment) Start(record *Record, name, discovery string, extra ...string) (*Process, error) {
	management, err := FreeAddress("127.0.0.1")
	if err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(d.Dir, name+".log"))
	if err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", d.Run)
	cmd.Dir = d.Root
	cmd.Stdout, cmd.Stderr = log, log
	cmd.Env = append([]string{
		"PATH=" + os.Getenv("PATH"), "PROXY_NAME=" + d.Name, "PROXY_LISTEN=" + d.Listen, "PROXY_DISCOVERY=" + discovery,
		"PROXY_CONFIG=" + d.Config, "PROXY_MANAGEMENT=" + management, "TMPDIR=" + d.Dir,
	}, extra...)
	if d.Listener != nil {
		cmd.ExtraFiles = []*os.File{d.Listener}
		cmd.Env = append(cmd.Env, "PROXY_FD=3")
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	p := &Process{Management: management, cmd: cmd, ended: make(chan struct{}), record: record, name: name}
	go func() {
		err := cmd.Wait()
		record.Add("process %s ended: %v", name, err)
		_ = log.Close()
		close(p.ended)
	}()
	record.Add("process %s started", name)
	return p, nil
}

// Signal sends a signal to the process.
func (p *Process) Signal(s syscall.Signal) {
	p.record.Add("%v to process %s", s, p.name)
	_ = p.cmd.Process.Signal(s)
}

// Ended is closed once the process has ended.
func (p *Process) Ended() <-chan struct{} { return p.ended }

// End kills the process if it still runs, and waits for its end.
func (p *Process) End() {
	_ = p.cmd.Process.Kill()
	<-p.ended
}

// Call makes an operators' call and returns the answer.
func (p *Process) Call(line string) string {
	conn, err := net.DialTimeout("tcp", p.Management, time.Second)
	if err != nil {
		return "no connection"
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(2 * time.Second))
	_, _ = io.WriteString(conn, line+"\r\n")
	answer, _ := bufio.NewReader(conn).ReadString('\n')
	answer = strings.TrimRight(answer, "\r\n")
	p.record.Add("call %q to process %s: %q", line, p.name, answer)
	return answer
}

// Ready waits until the process says yes.
func (p *Process) Ready(limit time.Duration) bool {
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if strings.HasPrefix(p.Call("status"), "+OK") {
			return true
		}
	}
	return false
}

// FreeAddress returns an address of host that is free now.
func FreeAddress(host string) (string, error) {
	l, err := net.Listen("tcp", host+":0")
	if err != nil {
		return "", err
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String(), nil
}

// Client is a client's connection.
type Client struct {
	ID     string
	Conn   net.Conn
	In     *bufio.Reader
	Answer string // to the first line, "" if there was none
	Err    error  // why there was no answer
	Asked  time.Time
	Took   time.Duration // from the first line to the answer
}

// Open connects to a balancer and sends a first line. It waits for the answer for the time that the line names and
// half a second more, which is as long as a final answer counts.
func Open(record *Record, addr, id, key, fields string, wait time.Duration) *Client {
	c := &Client{ID: id}
	defer func() { record.Add("client: %s answered %q after %v, error %v", id, c.Answer, c.Took, c.Err) }()
	if c.Conn, c.Err = net.DialTimeout("tcp", addr, time.Second); c.Err != nil {
		return c
	}
	c.Asked = time.Now()
	line := fmt.Sprintf("OPEN %s %s %s,d=%d\r\n", id, key, fields, wait.Milliseconds())
	record.Add("client: sends %q to %s", line, addr)
	if _, c.Err = io.WriteString(c.Conn, line); c.Err != nil {
		return c
	}
	c.In = bufio.NewReader(c.Conn)
	_ = c.Conn.SetReadDeadline(c.Asked.Add(wait + 500*time.Millisecond))
	line, c.Err = c.In.ReadString('\n')
	c.Took = time.Since(c.Asked)
	if c.Err == nil {
		c.Answer = strings.TrimRight(line, "\r\n")
	}
	_ = c.Conn.SetReadDeadline(time.Time{})
	return c
}

// Up reports whether the connection stands, and its receipt.
func (c *Client) Up() (receipt string, up bool) { return strings.CutPrefix(c.Answer, "UP ") }

// Close closes the connection, if there is one.
func (c *Client) Close() {
	if c.Conn != nil {
		_ = c.Conn.Close()
	}
}

// Case is the frame of a case: its folder, its record, and whether it has its disruption.
type Case struct {
	Record  *Record
	Trouble bool
	Root    string
	Run     string // the run line of the deploy file
	Dir     string // a temporary folder

	processes []*Process
}

// NewCase reads what run.sh passes: CASE, the case's folder; ROOT, the checkout; RUN, the run line; TROUBLE.
func NewCase() *Case {
	record, err := NewRecord(filepath.Join(os.Getenv("CASE"), "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return &Case{
		Record: record, Trouble: os.Getenv("TROUBLE") != "0", Root: os.Getenv("ROOT"), Run: os.Getenv("RUN"), Dir: dir,
	}
}

// Deployment returns what the processes of a balancer are started with; its configuration is not written yet.
func (c *Case) Deployment(name string) *Deployment {
	dir := filepath.Join(c.Dir, name)
	c.Must(os.Mkdir(dir, 0o700))
	listen, err := FreeAddress("127.0.0.1")
	c.Must(err)
	return &Deployment{
		Root: c.Root, Run: c.Run, Dir: dir, Name: name, Listen: listen, Config: filepath.Join(dir, "config.json"),
	}
}

// Start starts a process of a balancer and waits until it says yes.
func (c *Case) Start(d *Deployment, name, discovery string) *Process {
	p, err := d.Start(c.Record, name, discovery)
	c.Must(err)
	c.processes = append(c.processes, p)
	if !p.Ready(10 * time.Second) {
		c.CannotRun("%s is not ready", name)
	}
	return p
}

// Must ends the case as one that can't run if there is an error.
func (c *Case) Must(err error) {
	if err != nil {
		c.CannotRun("%v", err)
	}
}

// CannotRun ends the case with 2.
func (c *Case) CannotRun(format string, args ...any) {
	c.Record.Add("can't run: "+format, args...)
	c.end()
	os.Exit(2)
}

// Judge ends the case with 1 if the rule was broken, and with 0 if it held.
func (c *Case) Judge(summary string) {
	c.end()
	n := c.Record.Count()
	c.Record.Add("%s; broken %d times", summary, n)
	fmt.Printf("%s; broken %d times\n", summary, n)
	if n > 0 {
		os.Exit(1)
	}
	os.Exit(0)
}

func (c *Case) end() {
	for _, p := range c.processes {
		p.End()
	}
	_ = os.RemoveAll(c.Dir)
}
