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

// Net holds the conditions of the simulated network. Loss and Double are probabilities per message, Double that of a
// second copy.
type Net struct {
	Delay, Jitter time.Duration
	Loss, Double  float64
}

// Node is one simulated member. M is nil while it is dead.
type Node struct {
	Name, Addr string
	M          *membership.Machine
	Stalled    bool
	index      int
	startCount uint64                // number of starts
	received   []membership.Received // while stalled, as in a socket buffer
	generation uint64                // of the latest start
	sentBytes  int64                 // bytes
	lossRate   float64               // probability per message sent or received
}

// World is a simulated cluster.
type World struct {
	Now   time.Duration
	Nodes []*Node
	Net   Net
	Tick  time.Duration // length of a step

	PeerTimeout time.Duration
	Bytes       int64                                // sent by all members
	Faults      []string                             // violations found, at most 20
	Changes     func(at *Node, c membership.Changed) // called for each change, unless nil

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
func New(n int, seed uint64, peerTimeout time.Duration, net Net) (*World, error) {
	w := &World{
		Net:         net,
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
		w.Nodes = append(w.Nodes, node)
		w.byAddr[node.Addr] = node
	}
	for i := range w.Nodes {
		if err := w.Start(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// Start starts member i, which initially knows only its join list.
func (w *World) Start(i int) (err error) {
	node := w.Nodes[i]
	node.startCount++
	node.generation += 1000
	cfg := membership.Config{
		Cluster:     "c",
		Name:        node.Name,
		Addr:        node.Addr,
		PeerTimeout: w.PeerTimeout,
		MaxMembers:  4096,
		SignalBytes: 4096,
		Generation:  node.generation,
		Seed:        w.rng.Uint64(),
		Join:        []string{w.Nodes[0].Addr, w.Nodes[min(1, len(w.Nodes)-1)].Addr},
	}
	node.M, err = membership.New(cfg)
	node.Stalled, node.received = false, nil
	return err
}

// Kill stops member i without notice to the others, until Start is called for it.
func (w *World) Kill(i int) { w.Nodes[i].M = nil }

// SetStalled stalls or resumes member i. Up to 256 messages received in the meantime are delivered when it resumes.
func (w *World) SetStalled(i int, on bool) {
	node := w.Nodes[i]
	node.Stalled = on
	if !on && node.M != nil {
		for _, r := range node.received {
			w.step(i, r)
		}
		node.received = nil
	}
}

// SetLinkCut cuts or restores the link in the direction from one member to another.
func (w *World) SetLinkCut(from, to int, on bool) { w.cutLinks[[2]int{from, to}] = on }

// SetLossRate sets the probability of loss for the messages that member i sends or receives.
func (w *World) SetLossRate(i int, rate float64) { w.Nodes[i].lossRate = rate }

// Set sets a signal of member i, unless it is dead or stalled.
func (w *World) Set(i int, key string, value []byte, lifetime time.Duration) {
	if w.Nodes[i].M != nil && !w.Nodes[i].Stalled {
		w.step(i, membership.SetSignal{Key: key, Value: value, Lifetime: lifetime})
	}
}

// Leave announces that member i is leaving, or that it stays after all.
func (w *World) Leave(i int, on bool) { w.step(i, membership.Leave{On: on}) }

// Run advances the time by d, delivers messages and ticks the members.
func (w *World) Run(d time.Duration) {
	for end := w.Now + d; w.Now < end; {
		w.Now += w.Tick
		for len(w.packets) > 0 && w.packets[0].arrivesAt <= w.Now {
			next := heap.Pop(&w.packets).(packet)
			switch {
			case next.to.M == nil:
			case next.to.Stalled:
				if len(next.to.received) < 256 {
					next.to.received = append(next.to.received, next.message)
				}
			default:
				w.step(next.to.index, next.message)
			}
		}
		for i, node := range w.Nodes {
			if node.M != nil && !node.Stalled {
				w.step(i, membership.Tick{})
			}
		}
	}
}

func (w *World) step(i int, event membership.Event) {
	node := w.Nodes[i]
	if node.M == nil {
		return
	}
	for _, e := range node.M.Step(w.Now, event, nil) {
		switch e := e.(type) {
		case membership.Send:
			w.send(i, e)
		case membership.Changed:
			if w.Changes != nil {
				w.Changes(node, e)
			}
		}
	}
}

func (w *World) send(from int, e membership.Send) {
	encoded, err := membership.Encode(e.Message)
	if err != nil {
		w.fault("%s sent a message that cannot be encoded: %v", w.Nodes[from].Name, err)
		return
	}
	w.Bytes += int64(len(encoded))
	w.Nodes[from].sentBytes += int64(len(encoded))
	receiver := w.byAddr[e.To]
	if receiver == nil {
		return
	}
	to := receiver.index
	if w.cutLinks[[2]int{from, to}] || w.happens(w.Net.Loss) ||
		w.happens(w.Nodes[from].lossRate) || w.happens(receiver.lossRate) {
		return
	}
	for range 1 + w.oneWithProbability(w.Net.Double) {
		message, err := membership.Decode(encoded)
		if err != nil {
			w.fault("%s sent a message that cannot be decoded: %v", w.Nodes[from].Name, err)
			return
		}
		w.lastSequence++
		heap.Push(
			&w.packets,
			packet{arrivesAt: w.Now + w.Net.Delay + time.Duration(w.rng.Float64()*float64(w.Net.Jitter)),
				sequence: w.lastSequence, to: receiver, from: from,
				message: membership.Received{Message: message, Size: len(encoded)}},
		)
	}
}

// happens returns true with probability p.
func (w *World) happens(p float64) bool { return p > 0 && w.rng.Float64() < p }

// oneWithProbability returns 1 with probability p, and 0 otherwise.
func (w *World) oneWithProbability(p float64) int {
	if w.happens(p) {
		return 1
	}
	return 0
}

func (w *World) fault(format string, args ...any) {
	if len(w.Faults) < 20 {
		w.Faults = append(w.Faults, fmt.Sprintf("%v: ", w.Now)+fmt.Sprintf(format, args...))
	}
}

// SentBytes returns the number of bytes that member i has sent.
func (w *World) SentBytes(i int) int64 { return w.Nodes[i].sentBytes }

// Disagreement describes the first view found in which a running member is not alive or leaving by its current
// generation, or a dead or stalled one is not gone. It returns "" if all running members agree.
func (w *World) Disagreement() string {
	for i, node := range w.Nodes {
		if node.M == nil || node.Stalled {
			continue
		}
		known := make(map[string]membership.Record, len(w.Nodes))
		if node.M.EachMember(func(r membership.Record) { known[r.Name] = r }) {
			return node.Name + "'s view is stale"
		}
		for j, other := range w.Nodes {
			r, exists := known[other.Name]
			switch running := other.M != nil && !other.Stalled; {
			case i == j:
			case running && !exists:
				return fmt.Sprintf("%s does not know %s", node.Name, other.Name)
			case running && r.State >= membership.Suspect:
				return fmt.Sprintf("%s sees running member %s as %v", node.Name, other.Name, r.State)
			case running && r.Generation != other.M.Self().Generation:
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
func (w *World) Settle(limit time.Duration) (time.Duration, string) {
	start, disagreement := w.Now, ""
	for w.Now-start < limit {
		if disagreement = w.Disagreement(); disagreement == "" {
			return w.Now - start, ""
		}
		w.CheckSignals()
		w.Run(w.PeerTimeout / 12)
	}
	return limit, disagreement
}

// CheckSignals records a fault for each signal that has gone back to an earlier version or is visible after its
// lifetime, and for each member with more than 4096 bytes of signals.
func (w *World) CheckSignals() {
	for _, node := range w.Nodes {
		if node.M == nil || node.Stalled {
			continue
		}
		for _, other := range node.M.View().Members {
			size := 0
			for _, s := range other.Signals {
				size += len(s.Key) + len(s.Value)
				key := observationKey{node, node.startCount, other.Name, s.Key}
				previous := w.latestSeen[key]
				if other.Generation < previous.generation ||
					other.Generation == previous.generation && s.Version < previous.version {
					w.fault(
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
					w.fault("%s has signal %s of %s beyond its lifetime", node.Name, s.Key, other.Name)
				}
				w.latestSeen[key] = signalVersion{other.Generation, s.Version}
			}
			if size > 4096 {
				w.fault("%s has %d bytes of signals of %s, over the limit of 4096", node.Name, size, other.Name)
			}
		}
	}
}
