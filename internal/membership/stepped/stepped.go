// Package stepped simulates a cluster of members of internal/membership in one process, without sockets and in
// simulated time that advances in steps. Messages are delayed, lost and duplicated, links are cut in one or both
// directions, and members stall, resume, die and restart. The same seed gives the same run. The package also checks the
// members' views. It is used by tests and by oatlab.
package stepped

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"oatloft/internal/membership"
)

// NetworkConditions holds the conditions of the simulated network. LossRate and DuplicateRate are probabilities per
// message, DuplicateRate that of a second copy.
type NetworkConditions struct {
	Delay, Jitter           time.Duration
	LossRate, DuplicateRate float64
}

// Node is one simulated member. Machine is nil while it is dead.
type Node struct {
	Name, Addr string
	Machine    *membership.Machine
	Stalled    bool
	index      int
	startCount uint64                // number of starts
	received   []membership.Received // while stalled, as in a socket buffer
	generation uint64                // of the latest start
	sentBytes  int64                 // bytes
	lossRate   float64               // probability per message sent or received
}

// Cluster is a simulated cluster with its network and its clock.
type Cluster struct {
	Now        time.Duration
	Nodes      []*Node
	Conditions NetworkConditions
	Tick       time.Duration // length of a step

	PeerTimeout    time.Duration
	TotalSentBytes int64                                      // sent by all members
	Violations     []string                                   // violations found, at most 20
	OnChange       func(at *Node, c membership.MemberChanged) // called for each change, unless nil

	rng          *rand.Rand
	packets      packetQueue
	lastSequence int // of the last packet
	byAddr       map[string]*Node
	cutLinks     map[[2]int]bool                  // links from one node to another
	latestSeen   map[observationKey]signalVersion // latest version of each signal
}

// observationKey identifies a signal as seen by an observer since its latest start.
type observationKey struct {
	observer   *Node
	start      uint64
	owner, key string
}

// signalVersion is a version of a signal in a generation of its owner.
type signalVersion struct {
	generation, version uint64
}

// packet is a message in transit.
type packet struct {
	arrivesAt time.Duration
	sequence  int
	to        *Node
	from      int
	message   membership.Received
}

// packetQueue is a heap of packets by time of arrival, and by sequence among equal ones.
type packetQueue []packet

func (q packetQueue) Len() int { return len(q) }
func (q packetQueue) Less(i, j int) bool {
	return q[i].arrivesAt < q[j].arrivesAt || q[i].arrivesAt == q[j].arrivesAt && q[i].sequence < q[j].sequence
}
func (q packetQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *packetQueue) Push(x any)   { *q = append(*q, x.(packet)) }
func (q *packetQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// New starts n members. The join list of each has the first two.
func New(n int, seed uint64, peerTimeout time.Duration, net NetworkConditions) (*Cluster, error) {
	c := &Cluster{
		Conditions:  net,
		Tick:        max(peerTimeout/60, 5*time.Millisecond),
		PeerTimeout: peerTimeout,
		rng:         rand.New(rand.NewPCG(seed, 3)),
		byAddr:      map[string]*Node{},
		cutLinks:    map[[2]int]bool{},
		latestSeen:  map[observationKey]signalVersion{},
		Now:         time.Second,
	}
	for i := range n {
		node := &Node{
			index:      i,
			Name:       fmt.Sprintf("b%04d", i),
			Addr:       fmt.Sprintf("127.8.%d.%d:7000", i/250, i%250+1),
			generation: 1000,
		}
		c.Nodes = append(c.Nodes, node)
		c.byAddr[node.Addr] = node
	}
	for i := range c.Nodes {
		if err := c.Start(i); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// Start starts member i, which initially knows only its join list.
func (c *Cluster) Start(i int) (err error) {
	node := c.Nodes[i]
	node.startCount++
	node.generation += 1000
	cfg := membership.Config{
		Cluster:     "c",
		Name:        node.Name,
		Addr:        node.Addr,
		PeerTimeout: c.PeerTimeout,
		MaxMembers:  4096,
		SignalBytes: 4096,
		Generation:  node.generation,
		Seed:        c.rng.Uint64(),
		Join:        []string{c.Nodes[0].Addr, c.Nodes[min(1, len(c.Nodes)-1)].Addr},
	}
	node.Machine, err = membership.New(cfg)
	node.Stalled, node.received = false, nil
	return err
}

// Kill stops member i without notice to the others, until Start is called for it.
func (c *Cluster) Kill(i int) { c.Nodes[i].Machine = nil }

// SetStalled stalls or resumes member i. Up to 256 messages received in the meantime are delivered when it resumes.
func (c *Cluster) SetStalled(i int, on bool) {
	node := c.Nodes[i]
	node.Stalled = on
	if !on && node.Machine != nil {
		for _, r := range node.received {
			c.step(i, r)
		}
		node.received = nil
	}
}

// SetLinkCut cuts or restores the link in the direction from one member to another.
func (c *Cluster) SetLinkCut(from, to int, on bool) { c.cutLinks[[2]int{from, to}] = on }

// SetLossRate sets the probability of loss for the messages that member i sends or receives.
func (c *Cluster) SetLossRate(i int, rate float64) { c.Nodes[i].lossRate = rate }

// Set sets a signal of member i, unless it is dead or stalled.
func (c *Cluster) Set(i int, key string, value []byte, lifetime time.Duration) {
	if c.Nodes[i].Machine != nil && !c.Nodes[i].Stalled {
		c.step(i, membership.SetSignal{Key: key, Value: value, Lifetime: lifetime})
	}
}

// Leave announces that member i is leaving, or that it stays after all.
func (c *Cluster) Leave(i int, on bool) { c.step(i, membership.Leave{On: on}) }

// Run advances the time by d, delivers messages and ticks the members.
func (c *Cluster) Run(d time.Duration) {
	for end := c.Now + d; c.Now < end; {
		c.Now += c.Tick
		for len(c.packets) > 0 && c.packets[0].arrivesAt <= c.Now {
			next := heap.Pop(&c.packets).(packet)
			switch {
			case next.to.Machine == nil:
			case next.to.Stalled:
				if len(next.to.received) < 256 {
					next.to.received = append(next.to.received, next.message)
				}
			default:
				c.step(next.to.index, next.message)
			}
		}
		for i, node := range c.Nodes {
			if node.Machine != nil && !node.Stalled {
				c.step(i, membership.Tick{})
			}
		}
	}
}

func (c *Cluster) step(i int, event membership.Event) {
	node := c.Nodes[i]
	if node.Machine == nil {
		return
	}
	for _, e := range node.Machine.Step(c.Now, event, nil) {
		switch e := e.(type) {
		case membership.Send:
			c.send(i, e)
		case membership.MemberChanged:
			if c.OnChange != nil {
				c.OnChange(node, e)
			}
		}
	}
}

func (c *Cluster) send(from int, e membership.Send) {
	encoded, err := membership.Encode(e.Message)
	if err != nil {
		c.fault("%s sent a message that cannot be encoded: %v", c.Nodes[from].Name, err)
		return
	}
	c.TotalSentBytes += int64(len(encoded))
	c.Nodes[from].sentBytes += int64(len(encoded))
	receiver := c.byAddr[e.To]
	if receiver == nil {
		return
	}
	to := receiver.index
	if c.cutLinks[[2]int{from, to}] || c.happens(c.Conditions.LossRate) ||
		c.happens(c.Nodes[from].lossRate) || c.happens(receiver.lossRate) {
		return
	}
	for range 1 + c.oneWithProbability(c.Conditions.DuplicateRate) {
		message, err := membership.Decode(encoded)
		if err != nil {
			c.fault("%s sent a message that cannot be decoded: %v", c.Nodes[from].Name, err)
			return
		}
		c.lastSequence++
		heap.Push(
			&c.packets,
			packet{arrivesAt: c.Now + c.Conditions.Delay + time.Duration(c.rng.Float64()*float64(c.Conditions.Jitter)),
				sequence: c.lastSequence, to: receiver, from: from,
				message: membership.Received{Message: message, Size: len(encoded)}},
		)
	}
}

// happens returns true with probability p.
func (c *Cluster) happens(p float64) bool { return p > 0 && c.rng.Float64() < p }

// oneWithProbability returns 1 with probability p, and 0 otherwise.
func (c *Cluster) oneWithProbability(p float64) int {
	if c.happens(p) {
		return 1
	}
	return 0
}

func (c *Cluster) fault(format string, args ...any) {
	if len(c.Violations) < 20 {
		c.Violations = append(c.Violations, fmt.Sprintf("%v: ", c.Now)+fmt.Sprintf(format, args...))
	}
}

// SentBytes returns the number of bytes that member i has sent.
func (c *Cluster) SentBytes(i int) int64 { return c.Nodes[i].sentBytes }

// Disagreement describes the first view found in which a running member is not alive or leaving by its current
// generation, or a dead or stalled one is not gone. It returns "" if all running members agree.
func (c *Cluster) Disagreement() string {
	for i, node := range c.Nodes {
		if node.Machine == nil || node.Stalled {
			continue
		}
		known := make(map[string]membership.Record, len(c.Nodes))
		if node.Machine.EachMember(func(r membership.Record) { known[r.Name] = r }) {
			return node.Name + "'s view is stale"
		}
		for j, other := range c.Nodes {
			r, exists := known[other.Name]
			switch running := other.Machine != nil && !other.Stalled; {
			case i == j:
			case running && !exists:
				return fmt.Sprintf("%s does not know %s", node.Name, other.Name)
			case running && r.State >= membership.Suspect:
				return fmt.Sprintf("%s sees running member %s as %v", node.Name, other.Name, r.State)
			case running && r.Generation != other.Machine.Self().Generation:
				return fmt.Sprintf("%s knows %s by an earlier generation", node.Name, other.Name)
			case !running && exists && r.State != membership.Gone:
				return fmt.Sprintf("%s sees dead member %s as %v", node.Name, other.Name, r.State)
			}
		}
	}
	return ""
}

// Settle runs until all members agree and returns the time that took. If they don't agree within the limit, it also
// returns the disagreement.
func (c *Cluster) Settle(limit time.Duration) (time.Duration, string) {
	start, disagreement := c.Now, ""
	for c.Now-start < limit {
		if disagreement = c.Disagreement(); disagreement == "" {
			return c.Now - start, ""
		}
		c.CheckSignals()
		c.Run(c.PeerTimeout / 12)
	}
	return limit, disagreement
}

// CheckSignals records a fault for each signal that has gone back to an earlier version or is visible after its
// lifetime, and for each member with more than 4096 bytes of signals.
func (c *Cluster) CheckSignals() {
	for _, node := range c.Nodes {
		if node.Machine == nil || node.Stalled {
			continue
		}
		for _, other := range node.Machine.View().Members {
			size := 0
			for _, s := range other.Signals {
				size += len(s.Key) + len(s.Value)
				key := observationKey{node, node.startCount, other.Name, s.Key}
				previous := c.latestSeen[key]
				if other.Generation < previous.generation ||
					other.Generation == previous.generation && s.Version < previous.version {
					c.fault(
						"%s went back with signal %s of %s: generation %d version %d after generation %d version %d",
						node.Name,
						s.Key,
						other.Name,
						other.Generation,
						s.Version,
						previous.generation,
						previous.version,
					)
				}
				if s.Age >= s.Lifetime {
					c.fault("%s has signal %s of %s beyond its lifetime", node.Name, s.Key, other.Name)
				}
				c.latestSeen[key] = signalVersion{other.Generation, s.Version}
			}
			if size > 4096 {
				c.fault("%s has %d bytes of signals of %s, over the limit of 4096", node.Name, size, other.Name)
			}
		}
	}
}
