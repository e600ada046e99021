package consensus

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"slices"
	"sync"
	"testing"
	"time"
)

// recordingMachine is a Machine that records the entries applied.
type recordingMachine struct {
	mu        sync.Mutex
	lastIndex uint64
	entries   []string
}

func (m *recordingMachine) Apply(index uint64, entry []byte) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if index <= m.lastIndex {
		panic("applied twice")
	}
	m.lastIndex, m.entries = index, append(m.entries, string(entry))
}

func (m *recordingMachine) Snapshot() []byte {
	m.mu.Lock()
	defer m.mu.Unlock()
	var b []byte
	for _, entry := range m.entries {
		b = append(append(b, entry...), '\n')
	}
	return b
}

func (m *recordingMachine) Restore(index uint64, snapshot []byte) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.lastIndex, m.entries = index, nil
	for len(snapshot) > 0 {
		i := slices.Index(snapshot, '\n')
		m.entries, snapshot = append(m.entries, string(snapshot[:i])), snapshot[i+1:]
	}
	return nil
}

func (m *recordingMachine) read() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Clone(m.entries)
}

// freeAddr returns a local address with a free port.
func freeAddr(t testing.TB, i int) string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.121.0.%d:0", i))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// testCluster is a cluster of members in this process that communicate over TCP.
type testCluster struct {
	t        testing.TB
	configs  []Config
	nodes    []*Node
	machines []*recordingMachine
	starts   int // number of nodes started so far
}

func newTestCluster(t testing.TB, count, voters int, configure func(*Config)) *testCluster {
	cluster := fmt.Sprintf("test %x", randomID()) // unique, so that parallel tests stay separate
	c := &testCluster{t: t, nodes: make([]*Node, count), machines: make([]*recordingMachine, count)}
	var candidates []Candidate
	for i := range count {
		candidates = append(
			candidates,
			Candidate{Name: fmt.Sprintf("m%d", i), Zone: string(rune('A' + i%3)), Addr: freeAddr(t, i+1)},
		)
	}
	for i := range count {
		cfg := Config{
			Cluster:    cluster,
			Name:       candidates[i].Name,
			Listen:     candidates[i].Addr,
			Candidates: candidates,
			Voters:     voters,
			Folder:     t.TempDir(),
			Tick:       25 * time.Millisecond,
		}
		if configure != nil {
			configure(&cfg)
		}
		c.configs = append(c.configs, cfg)
	}
	t.Cleanup(func() {
		for i := range c.nodes {
			c.stop(i)
		}
	})
	return c
}

func (c *testCluster) start(i int) {
	c.t.Helper()
	c.machines[i] = &recordingMachine{}
	c.starts++
	startNumber := c.starts
	n, err := Start(
		c.configs[i],
		c.machines[i],
		func(_ context.Context, from, method string, body []byte) ([]byte, error) {
			switch method {
			case "fail":
				return nil, &TooLong{Bytes: 2, Limit: 1}
			case "run":
				return fmt.Append(nil, startNumber), nil
			}
			return fmt.Appendf(nil, "%s>%s %s %s", from, c.configs[i].Name, method, body), nil
		},
		slog.New(slog.DiscardHandler),
	)
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[i] = n
}

func (c *testCluster) stop(i int) {
	if c.nodes[i] != nil {
		c.nodes[i].Close()
		c.nodes[i] = nil
	}
}

// waitFor fails the test if the condition does not become true within 30 s.
func (c *testCluster) waitFor(description string, condition func() bool) {
	c.t.Helper()
	for deadline := time.Now().Add(30 * time.Second); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			for _, n := range c.nodes {
				if n != nil {
					c.t.Logf("%s: %+v", n.cfg.Name, n.Status())
				}
			}
			c.t.Fatalf("condition not met within 30 s: %.80s", description)
		}
	}
}

func (c *testCluster) leader() *Node {
	for _, n := range c.nodes {
		if n != nil && n.Leader().IsSelf {
			return n
		}
	}
	return nil
}

// commit commits an entry through the current leader; it retries until that succeeds.
func (c *testCluster) commit(entry string) {
	c.t.Helper()
	c.waitFor("commit of "+entry, func() bool {
		n := c.leader()
		if n == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return n.Propose(ctx, []byte(entry)) == nil
	})
}

// checkEntries waits until all running replicas have applied exactly the wanted entries, repeated ones apart.
func (c *testCluster) checkEntries(want ...string) {
	c.t.Helper()
	for i, n := range c.nodes {
		if n != nil && n.runner.Load() != nil {
			c.waitFor(
				fmt.Sprintf("%s has %q", n.cfg.Name, want),
				func() bool { return slices.Equal(slices.Compact(c.machines[i].read()), want) },
			)
		}
	}
}

// voterNames returns the names of the voters as known to the leader.
func (c *testCluster) voterNames() (names []string) {
	if n := c.leader(); n != nil {
		for _, v := range n.Status().Voters {
			if !v.Learner {
				names = append(names, v.Name)
			}
		}
	}
	return names
}
