// Package stepped lets many members of internal/membership live side by side in stepped time, without sockets:
// messages take a while, get lost, come twice; links are cut, one way or both; members stop, go on, die and start
// again. The same seed gives the same run. It owns the network between them and the judgement of what they hold;
// tests and oatlab build on it.
package stepped

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"oatloft/internal/membership"
)

// Net is how messages fare.
type Net struct {
	Delay, Jitter time.Duration
	Loss, Double  float64
}

// Node is one member's place. M is nil while it is dead.
type Node struct {
	Name, Addr string
	M          *membership.Machine
	Stopped    bool
	index      int
	starts     uint64
	waiting    []membership.Received // for a stopped one, as its socket would keep
	clock      uint64                // that generations are taken from
	sent       int64
	loss       float64
}

// World is one run.
type World struct {
	Now   time.Duration
	Nodes []*Node
	Net   Net
	Tick  time.Duration

	SilentAfter time.Duration
	Bytes       int64
	Faults      []string // what no rule allows
	Changes     func(at *Node, c membership.Changed)

	rng    *rand.Rand
	q      queue
	seq    int
	byAddr map[string]*Node
	cut    map[[2]int]bool
	seen   map[observationKey]signalVersion // latest signal seen
}

// observationKey is a signal as one start of an observer sees it.
type observationKey struct {
	observer   *Node
	starts     uint64
	owner, key string
}

type signalVersion struct {
	generation, version uint64
}

type packet struct {
	at   time.Duration
	seq  int
	to   *Node
	from int
	r    membership.Received
}

type queue []packet

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(packet)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// New starts n members that all join by the first two.
func New(n int, seed uint64, silentAfter time.Duration, net Net) (*World, error) {
	w := &World{
		Net:         net,
		Tick:        max(silentAfter/60, 5*time.Millisecond),
		SilentAfter: silentAfter,
		rng:         rand.New(rand.NewPCG(seed, 3)),
		byAddr:      map[string]*Node{},
		cut:         map[[2]int]bool{},
		seen:        map[observationKey]signalVersion{},
		Now:         time.Second,
	}
	for i := range n {
		d := &Node{
			index: i,
			Name:  fmt.Sprintf("b%04d", i),
			Addr:  fmt.Sprintf("127.8.%d.%d:7000", i/250, i%250+1),
			clock: 1000,
		}
		w.Nodes = append(w.Nodes, d)
		w.byAddr[d.Addr] = d
	}
	for i := range w.Nodes {
		if err := w.Start(i); err != nil {
			return nil, err
		}
	}
	return w, nil
}

// Start has a member begin, with nothing known but the join list.
func (w *World) Start(i int) (err error) {
	d := w.Nodes[i]
	d.starts++
	d.clock += 1000
	cfg := membership.Config{
		Cluster:     "c",
		Name:        d.Name,
		Addr:        d.Addr,
		PeerTimeout: w.SilentAfter,
		MaxMembers:  4096,
		SignalBytes: 4096,
		Generation:  d.clock,
		Seed:        w.rng.Uint64(),
		Join:        []string{w.Nodes[0].Addr, w.Nodes[min(1, len(w.Nodes)-1)].Addr},
	}
	d.M, err = membership.New(cfg)
	d.Stopped, d.waiting = false, nil
	return err
}

// Kill ends a member at once; Stop has one stand still (On) or go on; what comes meanwhile waits, as far as there
// is room.
func (w *World) Kill(i int) { w.Nodes[i].M = nil }

// Stop has a member stand still, or go on.
func (w *World) Stop(i int, on bool) {
	d := w.Nodes[i]
	d.Stopped = on
	if !on && d.M != nil {
		for _, r := range d.waiting {
			w.step(i, r)
		}
		d.waiting = nil
	}
}

// Cut has messages from one member to another lost, or pass again. Lossy has a member lose a part of all, both ways.
func (w *World) Cut(from, to int, on bool) { w.cut[[2]int{from, to}] = on }

// Lossy has a member lose a part of what it sends and gets.
func (w *World) Lossy(i int, part float64) { w.Nodes[i].loss = part }

// Set gives a signal.
func (w *World) Set(i int, key string, value []byte, life time.Duration) {
	if w.Nodes[i].M != nil && !w.Nodes[i].Stopped {
		w.step(i, membership.SetSignal{Key: key, Value: value, Lifetime: life})
	}
}

// Leave has a member say that it leaves.
func (w *World) Leave(i int, on bool) { w.step(i, membership.Leave{On: on}) }

// Run lets time pass.
func (w *World) Run(d time.Duration) {
	for end := w.Now + d; w.Now < end; {
		w.Now += w.Tick
		for len(w.q) > 0 && w.q[0].at <= w.Now {
			p := heap.Pop(&w.q).(packet)
			switch {
			case p.to.M == nil:
			case p.to.Stopped:
				if len(p.to.waiting) < 256 {
					p.to.waiting = append(p.to.waiting, p.r)
				}
			default:
				w.step(p.to.index, p.r)
			}
		}
		for i, d := range w.Nodes {
			if d.M != nil && !d.Stopped {
				w.step(i, membership.Tick{})
			}
		}
	}
}

func (w *World) step(i int, ev membership.Event) {
	d := w.Nodes[i]
	if d.M == nil {
		return
	}
	for _, e := range d.M.Step(w.Now, ev, nil) {
		switch e := e.(type) {
		case membership.Send:
			w.send(i, e)
		case membership.Changed:
			if w.Changes != nil {
				w.Changes(d, e)
			}
		}
	}
}

func (w *World) send(from int, e membership.Send) {
	b, err := membership.Encode(e.Message)
	if err != nil {
		w.fault("%s sends what can't be sent: %v", w.Nodes[from].Name, err)
		return
	}
	w.Bytes += int64(len(b))
	w.Nodes[from].sent += int64(len(b))
	d := w.byAddr[e.To]
	if d == nil {
		return
	}
	to := d.index
	if w.cut[[2]int{from, to}] || w.lost(w.Net.Loss) || w.lost(w.Nodes[from].loss) || w.lost(d.loss) {
		return
	}
	for range 1 + w.chance(w.Net.Double) {
		g, err := membership.Decode(b)
		if err != nil {
			w.fault("%s sends what can't be read: %v", w.Nodes[from].Name, err)
			return
		}
		w.seq++
		heap.Push(
			&w.q,
			packet{at: w.Now + w.Net.Delay + time.Duration(w.rng.Float64()*float64(w.Net.Jitter)), seq: w.seq, to: d, from: from,
				r: membership.Received{Message: g, Size: len(b)}},
		)
	}
}

func (w *World) lost(p float64) bool { return p > 0 && w.rng.Float64() < p }

func (w *World) chance(p float64) int {
	if w.lost(p) {
		return 1
	}
	return 0
}

func (w *World) fault(format string, args ...any) {
	if len(w.Faults) < 20 {
		w.Faults = append(w.Faults, fmt.Sprintf("%v: ", w.Now)+fmt.Sprintf(format, args...))
	}
}

// Sent is how many bytes a member has sent.
func (w *World) Sent(i int) int64 { return w.Nodes[i].sent }

// Agreed tells what is missing until every living member holds every other living one alive (or leaving), and every
// dead one gone; "" if nothing is.
func (w *World) Agreed() string {
	for i, d := range w.Nodes {
		if d.M == nil || d.Stopped {
			continue
		}
		held := make(map[string]membership.Record, len(w.Nodes))
		if d.M.EachMember(func(r membership.Record) { held[r.Name] = r }) {
			return d.Name + "'s view is old"
		}
		for j, o := range w.Nodes {
			r, known := held[o.Name]
			switch lives := o.M != nil && !o.Stopped; {
			case i == j:
			case lives && !known:
				return fmt.Sprintf("%s does not know %s", d.Name, o.Name)
			case lives && r.State >= membership.Suspect:
				return fmt.Sprintf("%s holds %s, who lives, to be %v", d.Name, o.Name, r.State)
			case lives && r.Generation != o.M.Self().Generation:
				return fmt.Sprintf("%s knows %s by an earlier start", d.Name, o.Name)
			case !lives && known && r.State != membership.Gone:
				return fmt.Sprintf("%s holds %s, who is dead, to be %v", d.Name, o.Name, r.State)
			}
		}
	}
	return ""
}

// Settle runs until all agree, and returns how long that took, or what was missing when the time was over.
func (w *World) Settle(most time.Duration) (time.Duration, string) {
	began, missing := w.Now, ""
	for w.Now-began < most {
		if missing = w.Agreed(); missing == "" {
			return w.Now - began, ""
		}
		w.Watch()
		w.Run(w.SilentAfter / 12)
	}
	return most, missing
}

// Watch looks at all signals that members hold: none may go back, nor be held beyond its life.
func (w *World) Watch() {
	for _, d := range w.Nodes {
		if d.M == nil || d.Stopped {
			continue
		}
		for _, o := range d.M.View().Members {
			bytes := 0
			for _, s := range o.Signals {
				bytes += len(s.Key) + len(s.Value)
				key := observationKey{d, d.starts, o.Name, s.Key}
				was := w.seen[key]
				if o.Generation < was.generation || o.Generation == was.generation && s.Version < was.version {
					w.fault(
						"%s went back with %s of %s: generation %d version %d after %d, %d",
						d.Name,
						s.Key,
						o.Name,
						o.Generation,
						s.Version,
						was.generation,
						was.version,
					)
				}
				if s.Age >= s.Lifetime {
					w.fault("%s holds %s of %s beyond its life", d.Name, s.Key, o.Name)
				}
				w.seen[key] = signalVersion{o.Generation, s.Version}
			}
			if bytes > 4096 {
				w.fault("%s holds %d bytes of %s's signals", d.Name, bytes, o.Name)
			}
		}
	}
}
