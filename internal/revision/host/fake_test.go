package host

import (
	"context"
	"errors"
	"fmt"
	"sync"

	"oatloft/internal/consensus"
)

// fakeLog replaces internal/consensus in tests of the host alone. It commits entries immediately, and the test chooses
// its leader.
type fakeLog struct {
	mu      sync.Mutex
	nodes   map[string]*fakeNode
	entries [][]byte
	leader  string
	term    uint64
}

type fakeNode struct {
	log         *fakeLog
	name        string
	machine     consensus.Machine
	handler     consensus.Handler
	applied     int
	changed     chan struct{}
	partitioned bool
}

func newFakeLog() *fakeLog { return &fakeLog{nodes: map[string]*fakeNode{}} }

func (l *fakeLog) node(name string) func(consensus.Machine, consensus.Handler) (Node, error) {
	return func(m consensus.Machine, h consensus.Handler) (Node, error) {
		l.mu.Lock()
		defer l.mu.Unlock()
		n := &fakeNode{log: l, name: name, machine: m, handler: h, changed: make(chan struct{}, 1)}
		l.nodes[name] = n
		n.catchUp()
		return n, nil
	}
}

// setLeader makes a member the leader, or none if name is "".
func (l *fakeLog) setLeader(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.leader = name
	l.term++
	for _, n := range l.nodes {
		signal(n.changed)
	}
}

func (l *fakeLog) setPartitioned(name string, partitioned bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nodes[name].partitioned = partitioned
}

func (n *fakeNode) catchUp() {
	for ; n.applied < len(n.log.entries); n.applied++ {
		n.machine.Apply(uint64(n.applied+1), n.log.entries[n.applied])
	}
}

func (n *fakeNode) Propose(_ context.Context, entry []byte) error {
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	if n.log.leader != n.name || n.partitioned {
		return errors.New("does not lead")
	}
	n.log.entries = append(n.log.entries, entry)
	for _, o := range n.log.nodes {
		o.catchUp()
	}
	return nil
}

func (n *fakeNode) Confirm(context.Context) (uint64, error) {
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	if n.log.leader != n.name || n.partitioned {
		return 0, errors.New("does not lead")
	}
	return n.log.term, nil
}

func (n *fakeNode) Leader() consensus.LeaderInfo {
	n.log.mu.Lock()
	defer n.log.mu.Unlock()
	return consensus.LeaderInfo{Name: n.log.leader, Term: n.log.term, IsSelf: n.log.leader == n.name}
}

func (n *fakeNode) LeaderChanged() <-chan struct{} {
	return n.changed
}

func (n *fakeNode) Call(ctx context.Context, name, method string, body []byte) ([]byte, error) {
	n.log.mu.Lock()
	target := n.log.nodes[name]
	unreachable := n.partitioned || target == nil || target.partitioned
	n.log.mu.Unlock()
	if unreachable {
		return nil, fmt.Errorf("%s cannot be reached", name)
	}
	return target.handler(ctx, n.name, method, body)
}

func (n *fakeNode) Replace(context.Context, string, string) error {
	return errors.New("no voters here")
}
func (n *fakeNode) Status() consensus.Status { return consensus.Status{Role: "reader"} }
func (n *fakeNode) Close()                   {}
