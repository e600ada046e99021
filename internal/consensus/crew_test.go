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

// sheet is a machine that keeps what it was told.
type sheet struct {
	mu    sync.Mutex
	at    uint64
	lines []string
}

func (s *sheet) Apply(index uint64, entry []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if index <= s.at {
		panic("applied twice")
	}
	s.at, s.lines = index, append(s.lines, string(entry))
}

func (s *sheet) Snapshot() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	var b []byte
	for _, l := range s.lines {
		b = append(append(b, l...), '\n')
	}
	return b
}

func (s *sheet) Restore(index uint64, snapshot []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.at, s.lines = index, nil
	for len(snapshot) > 0 {
		i := slices.Index(snapshot, '\n')
		s.lines, snapshot = append(s.lines, string(snapshot[:i])), snapshot[i+1:]
	}
	return nil
}

func (s *sheet) read() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.lines)
}

// freeAddr is an address that nobody listens at.
func freeAddr(t testing.TB, i int) string {
	l, err := net.Listen("tcp", fmt.Sprintf("127.121.0.%d:0", i))
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	return l.Addr().String()
}

// crew are members in this process that talk over sockets.
type crew struct {
	t     testing.TB
	cfg   []Config
	nodes []*Node
	m     []*sheet
	runs  int // started so far
}

func newCrew(t testing.TB, candidates, voters int, change func(*Config)) *crew {
	cluster := fmt.Sprintf("test %x", randomID()) // runs side by side have nothing to do with each other
	c := &crew{t: t, nodes: make([]*Node, candidates), m: make([]*sheet, candidates)}
	var list []Candidate
	for i := range candidates {
		list = append(list, Candidate{Name: fmt.Sprintf("m%d", i), Zone: string(rune('A' + i%3)), Addr: freeAddr(t, i+1)})
	}
	for i := range candidates {
		cfg := Config{
			Cluster:    cluster,
			Name:       list[i].Name,
			Listen:     list[i].Addr,
			Candidates: list,
			Voters:     voters,
			Folder:     t.TempDir(),
			Tick:       25 * time.Millisecond,
		}
		if change != nil {
			change(&cfg)
		}
		c.cfg = append(c.cfg, cfg)
	}
	t.Cleanup(func() {
		for i := range c.nodes {
			c.stop(i)
		}
	})
	return c
}

func (c *crew) start(i int) {
	c.t.Helper()
	c.m[i] = &sheet{}
	c.runs++
	run := c.runs
	n, err := Start(c.cfg[i], c.m[i], func(_ context.Context, from, method string, body []byte) ([]byte, error) {
		switch method {
		case "fail":
			return nil, &TooLong{Bytes: 2, Limit: 1}
		case "run":
			return fmt.Append(nil, run), nil
		}
		return fmt.Appendf(nil, "%s>%s %s %s", from, c.cfg[i].Name, method, body), nil
	}, slog.New(slog.DiscardHandler))
	if err != nil {
		c.t.Fatal(err)
	}
	c.nodes[i] = n
}

func (c *crew) stop(i int) {
	if c.nodes[i] != nil {
		c.nodes[i].Close()
		c.nodes[i] = nil
	}
}

// until waits for f.
func (c *crew) until(what string, f func() bool) {
	c.t.Helper()
	for end := time.Now().Add(30 * time.Second); !f(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(end) {
			for _, n := range c.nodes {
				if n != nil {
					c.t.Logf("%s: %+v", n.cfg.Name, n.Status())
				}
			}
			c.t.Fatalf("not in 30 s: %.80s", what)
		}
	}
}

func (c *crew) leader() *Node {
	for _, n := range c.nodes {
		if n != nil && n.Leader().IsSelf {
			return n
		}
	}
	return nil
}

// settle has whoever leads settle line.
func (c *crew) settle(line string) {
	c.t.Helper()
	c.until("settle "+line, func() bool {
		n := c.leader()
		if n == nil {
			return false
		}
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		return n.Propose(ctx, []byte(line)) == nil
	})
}

func (c *crew) same(want ...string) {
	c.t.Helper()
	for i, n := range c.nodes {
		if n != nil && n.runner.Load() != nil {
			c.until(
				fmt.Sprintf("%s has %q", n.cfg.Name, want),
				func() bool { return slices.Equal(slices.Compact(c.m[i].read()), want) },
			)
		}
	}
}

// voters are the names of those that vote, as the leader has it.
func (c *crew) voters() (names []string) {
	if n := c.leader(); n != nil {
		for _, v := range n.Status().Voters {
			if !v.Learner {
				names = append(names, v.Name)
			}
		}
	}
	return names
}
