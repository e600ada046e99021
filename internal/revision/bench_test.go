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
type simulation struct {
	rand       *rand.Rand
	now        time.Duration
	queue      eventQueue
	eventCount int
	state      *State
	leader     *Leader
	inFlight   map[string]bool
	members    []*simMember
	withFaults bool
	leaderless bool // no leader now
	byteCount  int  // of renewals and answers
	pauses     []time.Duration
}

type simMember struct {
	member       *Member
	requestCount int
	number       uint64
	cutOffUntil  time.Duration // cut off until then
	pausedSince  time.Duration // since when newcomers wait, 0 for not
}

type event struct {
	at    time.Duration
	order int
	do    func()
}

type eventQueue []event

func (e eventQueue) Len() int { return len(e) }
func (e eventQueue) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e eventQueue) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *eventQueue) Push(x any)   { *e = append(*e, x.(event)) }
func (e *eventQueue) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

func (w *simulation) schedule(d time.Duration, do func()) {
	w.eventCount++
	heap.Push(&w.queue, event{w.now + d, w.eventCount, do})
}

// way is a message's time, settling the log's.
func (w *simulation) networkDelay() time.Duration {
	return 200*time.Microsecond + time.Duration(w.rand.ExpFloat64()*float64(300*time.Microsecond))
}

func (w *simulation) commitDelay() time.Duration {
	return 2*time.Millisecond + time.Duration(w.rand.ExpFloat64()*float64(2*time.Millisecond))
}

func newSimulation(seed uint64, n int, config LeaderConfig, withFaults bool) *simulation {
	w := &simulation{rand: rand.New(rand.NewPCG(seed, 3)), state: NewState(), inFlight: map[string]bool{}, withFaults: withFaults}
	w.elect(config)
	for i := range n {
		x := &simMember{member: NewMember(Holder{fmt.Sprintf("b%03d", i), 1}, false, func(json.RawMessage) error { return nil })}
		w.members = append(w.members, x)
		w.schedule(time.Duration(w.rand.Int64N(int64(config.Lease/8))), func() { w.renew(x, config) })
	}
	w.pollLeader(config)
	if withFaults {
		w.injectFaults(config)
	}
	return w
}

func (w *simulation) elect(config LeaderConfig) {
	w.leader, w.inFlight = NewLeader("x", config), map[string]bool{}
	w.leader.BeginTerm(w.now, w.state.Apply(Command{Op: OpBeginTerm}).Number)
}

func (w *simulation) pollLeader(config LeaderConfig) {
	w.runLeader()
	w.schedule(10*time.Millisecond, func() { w.pollLeader(config) })
}

// fault: every second or so the leader goes for 0.6 s, or somebody is cut off for up to two leases.
func (w *simulation) injectFaults(config LeaderConfig) {
	w.schedule(time.Duration(w.rand.ExpFloat64()*float64(time.Second)), func() {
		if w.rand.IntN(3) == 0 && !w.leaderless {
			w.leaderless = true
			w.schedule(600*time.Millisecond, func() { w.leaderless = false; w.elect(config) })
		} else {
			w.members[w.rand.IntN(len(w.members))].cutOffUntil = w.now + time.Duration(w.rand.Int64N(int64(2*config.Lease)))
		}
		w.injectFaults(config)
	})
}

func (w *simulation) runLeader() {
	if w.leaderless {
		return
	}
	l := w.leader
	for _, c := range l.NextCommands(w.now, w.state) {
		id := fmt.Sprint(c.Op, c.Holder, c.ProposalID, c.Epoch)
		if w.inFlight[id] {
			continue
		}
		inFlight := w.inFlight
		inFlight[id] = true
		w.schedule(w.commitDelay(), func() {
			delete(inFlight, id)
			if w.leader == l && !w.leaderless {
				w.apply(c)
			}
		})
	}
}

func (w *simulation) apply(c Command) {
	w.state.Apply(c)
	w.leader.Applied(c)
	w.runLeader()
}

func (w *simulation) renew(x *simMember, config LeaderConfig) {
	requestedAt := w.now
	x.member.Tick(w.now)
	w.runLoop(x)
	x.requestCount++
	n := x.requestCount
	w.schedule(config.Lease/2, func() { // the answer is lost
		if x.requestCount == n {
			w.renew(x, config)
		}
	})
	if w.leaderless || w.now < x.cutOffUntil {
		return
	}
	q := x.member.NextRequest()
	b, _ := json.Marshal(q)
	w.byteCount += len(b)
	w.schedule(w.networkDelay()+w.networkDelay()+w.networkDelay(), func() { // there, and the leader's own question to the voters
		if w.leaderless {
			return
		}
		reply, ok := w.leader.Renew(w.now, w.state, q)
		w.runLeader()
		if !ok {
			return
		}
		b, _ := json.Marshal(reply)
		w.byteCount += len(b)
		w.schedule(w.networkDelay(), func() {
			if w.now < x.cutOffUntil || x.requestCount != n {
				return
			}
			x.member.HandleReply(w.now, requestedAt, q.Seq, reply)
			w.runLoop(x)
			if !reply.Known {
				w.schedule(w.commitDelay(), func() { w.apply(Command{Op: OpJoin, Holder: x.member.Holder}) })
			}
			w.schedule(max(reply.Next, time.Millisecond), func() {
				if x.requestCount == n {
					w.renew(x, config)
				}
			})
		})
	})
}

func (w *simulation) runLoop(x *simMember) {
	p := x.member.Lease()
	x.member.Acknowledge(p.Seq)
	switch {
	case p.Allows(w.now) && x.pausedSince != 0:
		w.pauses = append(w.pauses, w.now-x.pausedSince)
		x.pausedSince = 0
	case p.Phase == Suspended && x.pausedSince == 0:
		x.pausedSince = w.now
	}
	if p.Allows(w.now) {
		x.number = p.Number
	}
}

// run goes on until done, or for at most d.
func (w *simulation) run(d time.Duration, done func() bool) bool {
	end := w.now + d
	for !done() {
		if w.queue[0].at > end {
			w.now = end
			return false
		}
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
	return true
}

func (w *simulation) allActiveAt(n uint64) bool {
	for _, x := range w.members {
		if p := x.member.Lease(); p.Number != n || !p.Allows(w.now) {
			return false
		}
	}
	return true
}

// BenchmarkChange tells the time from a proposal to its being in force, and at work at all members, the time for
// which one member's newcomers wait, and bytes a second that a member sends and is sent, calm.
func BenchmarkChange(b *testing.B) {
	config := LeaderConfig{Lease: 3 * time.Second, Deadline: 10 * time.Second}
	for _, n := range []int{3, 10, 30, 100, 300} {
		for _, withFaults := range []bool{false, true} {
			b.Run(fmt.Sprintf("members=%d/faults=%v", n, withFaults), func(b *testing.B) {
				var committed, active []time.Duration
				aborted, bytes, pauses := 0, 0.0, []time.Duration(nil)
				for i := range b.N {
					w := newSimulation(uint64(i), n, config, withFaults)
					w.run(10*time.Second, func() bool { return !withFaults && w.allActiveAt(0) })
					w.byteCount = 0
					w.run(3*time.Second, func() bool { return false })
					bytes += float64(w.byteCount) / 3 / float64(n)
					for w.leaderless {
						w.run(10*time.Millisecond, func() bool { return false })
					}
					from := w.now
					w.apply(
						Command{
							Op:            OpPropose,
							Kind:          KindProposed,
							Key:           "k",
							Base:          0,
							Text:          w.state.InForce().Text,
							Hash:          "h",
							KeepRevisions: 10,
						},
					)
					w.run(time.Minute, func() bool { return w.state.Pending == nil })
					if w.state.InForce().Number == 0 {
						aborted++
						continue
					}
					committed = append(committed, w.now-from)
					if !withFaults && w.run(time.Minute, func() bool { return w.allActiveAt(1) }) {
						active = append(active, w.now-from)
					}
					pauses = append(pauses, w.pauses...)
				}
				report := func(name string, all []time.Duration) {
					if slices.Sort(all); len(all) > 0 {
						b.ReportMetric(float64(all[len(all)/2].Milliseconds()), name+"-p50-ms")
						b.ReportMetric(float64(all[len(all)-1].Milliseconds()), name+"-most-ms")
					}
				}
				report("settled", committed)
				report("everywhere", active)
				report("wait", pauses)
				b.ReportMetric(bytes/float64(b.N), "bytes/s/member")
				b.ReportMetric(float64(aborted), "nowhere")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}
