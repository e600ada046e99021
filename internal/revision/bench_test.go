package revision

// Many members with random delays, on a clock of their own: how long a change takes, and what it costs.

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// stepped are members around one log, whose messages and settling take drawn times.
type stepped struct {
	r       *rand.Rand
	now     time.Duration
	queue   eventQueue
	count   int
	s       *State
	leader  *Leader
	flying  map[string]bool
	members []*simMember
	faulty  bool
	down    bool // no leader now
	bytes   int  // of renewals and answers
	pauses  []time.Duration
}

type simMember struct {
	m      *Member
	asks   int
	number uint64
	until  time.Duration // cut off until then
	paused time.Duration // since when newcomers wait, 0 for not
}

type event struct {
	at time.Duration
	n  int
	do func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].n < e[j].n
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (w *stepped) after(d time.Duration, do func()) {
	w.count++
	heap.Push(&w.queue, event{w.now + d, w.count, do})
}

// way is a message's time, settling the log's.
func (w *stepped) way() time.Duration {
	return 200*time.Microsecond + time.Duration(w.r.ExpFloat64()*float64(300*time.Microsecond))
}

func (w *stepped) settling() time.Duration {
	return 2*time.Millisecond + time.Duration(w.r.ExpFloat64()*float64(2*time.Millisecond))
}

func newStepped(seed uint64, n int, pace LeaderConfig, faulty bool) *stepped {
	w := &stepped{r: rand.New(rand.NewPCG(seed, 3)), s: NewState(), flying: map[string]bool{}, faulty: faulty}
	w.elect(pace)
	for i := range n {
		x := &simMember{m: NewMember(Holder{fmt.Sprintf("b%03d", i), 1}, false, func(json.RawMessage) error { return nil })}
		w.members = append(w.members, x)
		w.after(time.Duration(w.r.Int64N(int64(pace.Lease/8))), func() { w.ask(x, pace) })
	}
	w.look(pace)
	if faulty {
		w.fault(pace)
	}
	return w
}

func (w *stepped) elect(pace LeaderConfig) {
	w.leader, w.flying = NewLeader("x", pace), map[string]bool{}
	w.leader.BeginTerm(w.now, w.s.Apply(Command{Op: OpBeginTerm}).Number)
}

func (w *stepped) look(pace LeaderConfig) {
	w.step()
	w.after(10*time.Millisecond, func() { w.look(pace) })
}

// fault: every second or so the leader goes for 0.6 s, or somebody is cut off for up to two leases.
func (w *stepped) fault(pace LeaderConfig) {
	w.after(time.Duration(w.r.ExpFloat64()*float64(time.Second)), func() {
		if w.r.IntN(3) == 0 && !w.down {
			w.down = true
			w.after(600*time.Millisecond, func() { w.down = false; w.elect(pace) })
		} else {
			w.members[w.r.IntN(len(w.members))].until = w.now + time.Duration(w.r.Int64N(int64(2*pace.Lease)))
		}
		w.fault(pace)
	})
}

func (w *stepped) step() {
	if w.down {
		return
	}
	l := w.leader
	for _, c := range l.NextCommands(w.now, w.s) {
		id := fmt.Sprint(c.Op, c.Holder, c.ProposalID, c.Epoch)
		if w.flying[id] {
			continue
		}
		flying := w.flying
		flying[id] = true
		w.after(w.settling(), func() {
			delete(flying, id)
			if w.leader == l && !w.down {
				w.apply(c)
			}
		})
	}
}

func (w *stepped) apply(c Command) {
	w.s.Apply(c)
	w.leader.Applied(c)
	w.step()
}

func (w *stepped) ask(x *simMember, pace LeaderConfig) {
	asked := w.now
	x.m.Tick(w.now)
	w.loop(x)
	x.asks++
	n := x.asks
	w.after(pace.Lease/2, func() { // the answer is lost
		if x.asks == n {
			w.ask(x, pace)
		}
	})
	if w.down || w.now < x.until {
		return
	}
	q := x.m.NextRequest()
	b, _ := json.Marshal(q)
	w.bytes += len(b)
	w.after(w.way()+w.way()+w.way(), func() { // there, and the leader's own question to the voters
		if w.down {
			return
		}
		reply, ok := w.leader.Renew(w.now, w.s, q)
		w.step()
		if !ok {
			return
		}
		b, _ := json.Marshal(reply)
		w.bytes += len(b)
		w.after(w.way(), func() {
			if w.now < x.until || x.asks != n {
				return
			}
			x.m.HandleReply(w.now, asked, q.Seq, reply)
			w.loop(x)
			if !reply.Known {
				w.after(w.settling(), func() { w.apply(Command{Op: OpJoin, Holder: x.m.Holder}) })
			}
			w.after(max(reply.Next, time.Millisecond), func() {
				if x.asks == n {
					w.ask(x, pace)
				}
			})
		})
	})
}

func (w *stepped) loop(x *simMember) {
	p := x.m.Lease()
	x.m.Acknowledge(p.Seq)
	switch {
	case p.Allows(w.now) && x.paused != 0:
		w.pauses = append(w.pauses, w.now-x.paused)
		x.paused = 0
	case p.Phase == Suspended && x.paused == 0:
		x.paused = w.now
	}
	if p.Allows(w.now) {
		x.number = p.Number
	}
}

// run goes on until done, or for at most d.
func (w *stepped) run(d time.Duration, done func() bool) bool {
	end := w.now + d
	for !done() {
		if w.queue[0].at > end {
			w.now = end
			return false
		}
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
	return true
}

func (w *stepped) allBy(n uint64) bool {
	for _, x := range w.members {
		if p := x.m.Lease(); p.Number != n || !p.Allows(w.now) {
			return false
		}
	}
	return true
}

// BenchmarkChange tells the time from a proposal to its being in force, and at work at all members, the time for
// which one member's newcomers wait, and bytes a second that a member sends and is sent, calm.
func BenchmarkChange(b *testing.B) {
	pace := LeaderConfig{Lease: 3 * time.Second, Deadline: 10 * time.Second}
	for _, n := range []int{3, 10, 30, 100, 300} {
		for _, faulty := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/faults=%v", n, faulty), func(b *testing.B) {
				var settled, everywhere []time.Duration
				nowhere, bytes, pauses := 0, 0.0, []time.Duration(nil)
				for i := range b.N {
					w := newStepped(uint64(i), n, pace, faulty)
					w.run(10*time.Second, func() bool { return !faulty && w.allBy(0) })
					w.bytes = 0
					w.run(3*time.Second, func() bool { return false })
					bytes += float64(w.bytes) / 3 / float64(n)
					for w.down {
						w.run(10*time.Millisecond, func() bool { return false })
					}
					from := w.now
					w.apply(
						Command{
							Op:            OpPropose,
							Kind:          KindProposed,
							Key:           "k",
							Base:          0,
							Text:          w.s.InForce().Text,
							Hash:          "h",
							KeepRevisions: 10,
						},
					)
					w.run(time.Minute, func() bool { return w.s.Pending == nil })
					if w.s.InForce().Number == 0 {
						nowhere++
						continue
					}
					settled = append(settled, w.now-from)
					if !faulty && w.run(time.Minute, func() bool { return w.allBy(1) }) {
						everywhere = append(everywhere, w.now-from)
					}
					pauses = append(pauses, w.pauses...)
				}
				report := func(name string, all []time.Duration) {
					if slices.Sort(all); len(all) > 0 {
						b.ReportMetric(float64(all[len(all)/2].Milliseconds()), name+"-p50-ms")
						b.ReportMetric(float64(all[len(all)-1].Milliseconds()), name+"-most-ms")
					}
				}
				report("settled", settled)
				report("everywhere", everywhere)
				report("wait", pauses)
				b.ReportMetric(bytes/float64(b.N), "bytes/s/member")
				b.ReportMetric(float64(nowhere), "nowhere")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
