package main

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"oatloft/internal/edgeconfig"
	"oatloft/internal/fake"
	"oatloft/internal/management"
)

// cluster runs several balancers of one simulated world, each in its own process, that use one routing revision.
type cluster struct {
	*fake.World
	t         *testing.T
	dir       string
	launches  []fake.Launch
	processes []*fake.Process
}

const clusterLease = 1200 * time.Millisecond

// newCluster prepares n balancers at addresses 127.8.net.x; three of them, or all if there are fewer, are voters. Those
// in holding keep to their revision when they are cut off.
func newCluster(t *testing.T, n, net int, holding ...int) *cluster {
	t.Helper()
	w, err := fake.New(4)
	if err != nil {
		t.Fatal(err)
	}
	c := &cluster{World: w, t: t, dir: t.TempDir(), processes: make([]*fake.Process, n)}
	t.Cleanup(func() {
		if t.Failed() {
			for i, p := range c.processes {
				if p != nil {
					log := p.Log()
					t.Logf("b%d:\n%s", i+1, log[max(0, len(log)-4000):])
				}
			}
		}
		w.Close()
	})
	var members []edgeconfig.Candidate
	for i := range n {
		members = append(members, edgeconfig.Candidate{Name: fmt.Sprint("b", i+1), Addr: freeAddressAt(t, net)})
	}
	for i := range n {
		name := members[i].Name
		dir := filepath.Join(c.dir, name)
		if err := os.MkdirAll(dir, 0o700); err != nil {
			t.Fatal(err)
		}
		config, addr, err := w.WriteConfig(
			dir,
			name,
			fmt.Sprintf("127.8.%d.1", net),
			fake.Options{Sockets: 512, MemoryMB: 64, Balancers: n},
		)
		if err != nil {
			t.Fatal(err)
		}
		e := edgeconfig.Settings{
			Form:   edgeconfig.Form,
			Source: "test",
			Revisions: &edgeconfig.Revisions{Cluster: "test", Listen: members[i].Addr, Members: members,
				Voters: min(3, n), Reach: map[string]string{}, Folder: filepath.Join(dir, "agree"),
				Lease: edgeconfig.Duration(clusterLease), OnCut: "refuse",
				Deadline: edgeconfig.Duration(4 * time.Second), History: 100, HistoryBytes: 1 << 20},
		}
		for _, h := range holding {
			if h == i {
				e.Revisions.OnCut = "hold"
			}
		}
		body, err := json.Marshal(e)
		if err != nil {
			t.Fatal(err)
		}
		file := filepath.Join(dir, "edge.json")
		if err := os.WriteFile(file, body, 0o600); err != nil {
			t.Fatal(err)
		}
		c.launches = append(
			c.launches,
			fake.Launch{Binary: os.Args[0], Config: config, Addr: addr, Management: freeAddressAt(t, net),
				Args: []string{"--edge", file}, Env: []string{"TMPDIR=" + dir}},
		)
	}
	return c
}

var ports atomic.Int32

// freeAddressAt returns an address that nothing else takes: its port is below the system's ephemeral ports.
func freeAddressAt(t *testing.T, subnet int) string {
	t.Helper()
	for range 100 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.8.%d.2:%d", subnet, 9500+ports.Add(1)))
		if err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

// start starts balancers in parallel, because none is ready before enough of them are running.
func (c *cluster) start(which ...int) {
	c.t.Helper()
	if len(which) == 0 {
		for i := range c.processes {
			which = append(which, i)
		}
	}
	errs := make(chan error, len(which))
	for _, i := range which {
		go func() {
			p, err := c.Start(c.launches[i])
			c.processes[i] = p
			for end := time.Now().Add(15 * time.Second); err == nil; time.Sleep(10 * time.Millisecond) {
				if answer := fake.Call(c.launches[i].Management, "status"); strings.HasPrefix(answer, "+OK") {
					break
				} else if time.Now().After(end) {
					err = fmt.Errorf("b%d: %s", i+1, answer)
				}
			}
			errs <- err
		}()
	}
	for range which {
		if err := <-errs; err != nil {
			c.t.Fatal(err)
		}
	}
}

// call makes an operator's call at balancer i, whose answer must begin with want.
func (c *cluster) call(i int, line, want string) string {
	c.t.Helper()
	a, err := management.Call(c.launches[i].Management, line)
	text := a.Text
	if err != nil {
		text = err.Error()
	} else if !a.OK {
		text = "-ERR " + text
	}
	if !strings.HasPrefix(text, want) {
		c.t.Fatalf("b%d: %.80s: %q, not %q", i+1, line, text, want)
	}
	return text
}

// propose submits a revision that excludes one server.
func (c *cluster) propose(i int, key, from, excluded string) {
	c.t.Helper()
	body := fmt.Sprintf(
		`{"oatloft_revision":1,"note":"","classes":[],"tenants":[],"regions":[{"id":%q,"out":true,"weight":0}],`+
			`"zones":[],"budgets":{"retries":0,"setups":0,"cold":0},"moves":{"per_second":0},"links":[]}`,
		excluded,
	)
	c.submit(i, fmt.Sprintf("revision propose %s %s - - tester %s", key, from, body))
}

// submit repeats a call with the same key until it is accepted, as operators' tools do: the leader may be unknown for a
// moment.
func (c *cluster) submit(i int, line string) {
	c.t.Helper()
	text := ""
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		a, err := management.Call(c.launches[i].Management, line)
		if text = a.Text; err == nil && (a.OK || strings.Contains(text, "nowhere")) {
			return
		}
	}
	c.t.Fatalf("b%d: %.60s: %q", i+1, line, text)
}

// waitSettled waits until balancer i reports the wanted outcome of a proposal.
func (c *cluster) waitSettled(i int, key, want string, within time.Duration) string {
	c.t.Helper()
	text := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		a, err := management.Call(c.launches[i].Management, "revision outcome "+key)
		if text = a.Text; err == nil && strings.Contains(text, want) {
			return text
		}
	}
	c.t.Fatalf("%s at b%d: %q, not %q within %v", key, i+1, text, want, within)
	return ""
}

// waitInForce waits until balancer i reports that a revision is in force.
func (c *cluster) waitInForce(i int, number string, within time.Duration) {
	c.t.Helper()
	text := ""
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		a, _ := management.Call(c.launches[i].Management, "revision status")
		if text = a.Text; strings.Contains(text, "in-force="+number+" ") && strings.Contains(text, "phase=at-work") {
			return
		}
	}
	c.t.Fatalf("b%d: %q, revision %s not in force within %v", i+1, text, number, within)
}

// openMany opens n new clients at balancer i, and counts the servers and the answers that they got.
func (c *cluster) openMany(i, n int) map[string]int {
	c.t.Helper()
	counts := map[string]int{}
	for k := range n {
		client, err := c.Connect("", c.launches[i].Addr)
		if err != nil {
			counts["none"]++
			continue
		}
		counts[serverOrAnswer(client.Open(fake.Request{Key: fmt.Sprintf("k%d-%d-%d", i, k, time.Now().UnixNano())}))]++
		client.Break()
	}
	return counts
}

// A balancer accepts no client before it knows the revision in force; a change is in force at all balancers or at
// none, whichever balancer it is submitted to; a balancer that starts later uses it from its first client; proposals
// with the same key make one revision.
func TestAllBalancersUseOneRevision(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 20)
	alone := make(chan error, 1)
	go func() { p, err := c.Start(c.launches[0]); c.processes[0] = p; alone <- err }()
	time.Sleep(1200 * time.Millisecond)
	if got := fake.Ping(c.launches[0].Addr); got != "NO" {
		t.Errorf("PING before the revision in force is known: %q", got)
	}
	if a := fake.Call(c.launches[0].Management, "status"); !strings.HasPrefix(a, "-ERR") {
		t.Errorf("status before the revision in force is known: %q", a)
	}
	if counts := c.openMany(0, 3); counts["BUSY"] != 3 {
		t.Errorf("new clients before the revision in force is known: %v", counts)
	}
	c.start(1, 2)
	if err := <-alone; err != nil {
		t.Fatal(err)
	}
	c.propose(1, "k1", "0", "r1")
	c.propose(2, "k1", "0", "r1")
	c.waitSettled(0, "k1", "settled 1 ", 3*time.Second)
	for i := range 3 {
		c.waitInForce(i, "1", time.Second)
		if counts := c.openMany(i, 30); counts["r1"] > 0 || counts["r2"]+counts["r3"]+counts["r4"] != 30 {
			t.Errorf("b%d, without r1: %v", i+1, counts)
		}
	}
	text := c.call(
		0,
		`revision propose k2 1 - - tester {"oatloft_revision":1,"note":"",`+
			`"classes":[{"name":"video","order":1,"aim":0,"message_aim":0,"attempts":0}],"tenants":[],"regions":[],`+
			`"zones":[],"budgets":{"retries":0,"setups":0,"cold":0},"moves":{"per_second":0},"links":[]}`,
		"-ERR",
	)
	if !strings.Contains(text, `classes[0].name: "video"`) || !strings.Contains(text, "do: ") {
		t.Errorf("a class that no balancer has: %q", text)
	}
	c.processes[2].Kill()
	c.propose(0, "k3", "1", "r2") // settles without the one that is down, once its lease has expired
	c.waitSettled(1, "k3", "settled 2 ", 8*time.Second)
	c.start(2)
	if counts := c.openMany(2, 30); counts["r2"] > 0 || counts["r1"] == 0 {
		t.Errorf("restarted, without r2: %v", counts)
	}
	c.submit(1, "revision rollback k4 2 - - tester 1")
	c.waitSettled(2, "k4", "settled 3 ", 3*time.Second)
	for i := range 3 {
		c.waitInForce(i, "3", time.Second)
		if counts := c.openMany(i, 20); counts["r1"] > 0 {
			t.Errorf("b%d, rolled back to the revision without r1: %v", i+1, counts)
		}
	}
	if v := c.Violations(); v != "" {
		t.Error(v)
	}
}

// A process that is suspended while the revision changes finds its lease expired before it places any client; the
// others change without it, and it uses the new revision from its first client on.
func TestSuspendedAcrossChange(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 21)
	c.start()
	leader := 0
	for i := range 3 {
		if text := c.call(i, "revision status", ""); strings.Contains(text, fmt.Sprintf("leader=b%d ", i+1)) {
			leader = i
		}
	}
	for round, suspended := range []int{(leader + 1) % 3, leader} { // a follower, then the leader
		key, from, excluded := fmt.Sprint("s", round), fmt.Sprint(round), fmt.Sprint("r", round+1)
		c.processes[suspended].Signal(syscall.SIGSTOP)
		other := (suspended + 1) % 3
		// Requests to the suspended process wait in its sockets, and are read when it continues.
		waiting := make([]*fake.Client, 5)
		for k := range waiting {
			client, err := c.Connect("", c.launches[suspended].Addr)
			if err != nil {
				t.Fatal(err)
			}
			waiting[k] = client
			_ = client.Say(fake.Request{Key: fmt.Sprint("w", round, k), Wait: 20 * time.Second}.Line(client.ID))
		}
		for end := time.Now().Add(8 * time.Second); ; time.Sleep(100 * time.Millisecond) {
			c.propose(other, key, from, excluded)
			if a, err := management.Call(c.launches[other].Management, "revision outcome "+key); err == nil &&
				strings.Contains(a.Text, "settled ") {
				break
			} else if time.Now().After(end) {
				t.Fatalf("b%d suspended: %q", suspended+1, a.Text)
			}
		}
		c.processes[suspended].Signal(syscall.SIGCONT)
		for _, client := range waiting {
			if a := client.Listen(5 * time.Second); serverOrAnswer(a) == excluded {
				t.Errorf("b%d continued and placed a client on %s, which has been excluded", suspended+1, excluded)
			}
			client.Break()
		}
		c.waitInForce(suspended, fmt.Sprint(round+1), 5*time.Second)
		if counts := c.openMany(suspended, 20); counts[excluded] > 0 {
			t.Errorf("b%d, continued: %v", suspended+1, counts)
		}
	}
}

// A balancer that keeps to its revision when it is cut off blocks a change. The change then ends at no balancer, with
// the blocking one's name, and succeeds once an operator has declared that balancer off.
func TestHoldBlocksChange(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 4, 22, 3)
	c.start()
	c.processes[3].Signal(syscall.SIGSTOP)
	c.propose(0, "h1", "0", "r1")
	if text := c.waitSettled(1, "h1", "nowhere", 8*time.Second); !strings.Contains(text, "b4") {
		t.Errorf("the blocking balancer is not named: %q", text)
	}
	c.processes[3].Signal(syscall.SIGCONT)
	c.waitInForce(3, "0", 3*time.Second)
	if counts := c.openMany(3, 10); counts["BUSY"] > 0 {
		t.Errorf("it kept its revision, and refused clients: %v", counts)
	}
	c.processes[3].Kill()
	c.submit(0, "revision forget b4")
	c.propose(0, "h2", "0", "r1")
	c.waitSettled(1, "h2", "settled 1 ", 6*time.Second)
}

// If a supervisor holds the listening socket, a killed process does not block a change, although its permission does
// not expire by time: the next process, or the other one of an upgrade, detects that it has ended.
func TestKilledUnderSupervisor(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 24, 0, 1, 2)
	l, err := net.Listen("tcp", c.launches[2].Addr)
	if err != nil {
		t.Fatal(err)
	}
	if c.launches[2].Listener, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	t.Cleanup(func() { _ = c.launches[2].Listener.Close() })
	c.start()
	for n, step := range []string{"restarted", "the first process of an upgrade", "the second process of an upgrade"} {
		first, firstAddr := c.processes[2], c.launches[2].Management
		if n == 0 {
			first.Kill()
		}
		c.launches[2].Management = freeAddressAt(t, 24)
		c.start(2)
		switch n {
		case 1:
			first.Kill()
		case 2:
			c.processes[2].Kill()
			c.processes[2], c.launches[2].Management = first, firstAddr
		}
		key, excluded := fmt.Sprint("x", n), fmt.Sprint("r", n+1)
		c.propose(0, key, fmt.Sprint(n), excluded)
		c.waitSettled(1, key, fmt.Sprintf("settled %d ", n+1), 6*time.Second)
		c.waitInForce(2, fmt.Sprint(n+1), 2*time.Second)
		if counts := c.openMany(2, 20); counts[excluded] > 0 || counts["BUSY"] > 0 {
			t.Errorf("%s: without %s: %v", step, excluded, counts)
		}
	}
	if v := c.Violations(); v != "" {
		t.Error(v)
	}
}

// During an upgrade both processes of one balancer use one revision, also while a change is made; the new process takes
// over the vote once the old one has ended.
func TestUpgradeUsesOneRevision(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 23)
	l, err := net.Listen("tcp", c.launches[0].Addr)
	if err != nil {
		t.Fatal(err)
	}
	if c.launches[0].Listener, err = l.(*net.TCPListener).File(); err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	t.Cleanup(func() { _ = c.launches[0].Listener.Close() })
	c.start()
	old, oldAddr := c.processes[0], c.launches[0].Management
	c.launches[0].Management = freeAddressAt(t, 23)
	c.start(0) // while the old process is still running
	c.propose(1, "u1", "0", "r1")
	c.waitSettled(2, "u1", "settled 1 ", 4*time.Second)
	c.waitInForce(0, "1", time.Second)
	for end := time.Now().Add(time.Second); ; time.Sleep(20 * time.Millisecond) { // until its next renewal
		a, err := management.Call(oldAddr, "revision status")
		if err == nil && strings.Contains(a.Text, "here=1 ") && strings.Contains(a.Text, "phase=at-work") {
			break
		}
		if time.Now().After(end) {
			t.Fatalf("the old process: %q, %v", a.Text, err)
		}
	}
	if counts := c.openMany(0, 40); counts["r1"] > 0 || counts["BUSY"] > 0 {
		t.Errorf("two processes, without r1: %v", counts)
	}
	old.Signal(syscall.SIGTERM)
	if err := old.Over(8 * time.Second); err != nil {
		t.Errorf("the old process: %v", err)
	}
	c.processes[1].Kill() // the two remaining voters of three must suffice: b1's new process has its vote
	c.propose(0, "u2", "1", "r2")
	c.waitSettled(2, "u2", "settled 2 ", 10*time.Second)
	if counts := c.openMany(0, 40); counts["r2"] > 0 || counts["r1"] == 0 {
		t.Errorf("after the upgrade, without r2: %v", counts)
	}
	if v := c.Violations(); v != "" {
		t.Error(v)
	}
}
