package revision

// A simulation of many members with random delays in virtual time, which measures the duration and cost of a change of
// revision.

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// simulation has members that share one log. Messages and commits take random times.
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
	leaderless bool
	byteCount  int // bytes of renewal requests and replies
	pauses     []time.Duration
}

type simMember struct {
	member       *Member
	requestCount int
	number       uint64
	cutOffUntil  time.Duration // when a cut of its network ends
	pausedSince  time.Duration // when new requests began to wait; 0 if they do not
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

// networkDelay returns the delay of one message, commitDelay that of one commit.
func (w *simulation) networkDelay() time.Duration {
	return 200*time.Microsecond + time.Duration(w.rand.ExpFloat64()*float64(300*time.Microsecond))
}

func (w *simulation) commitDelay() time.Duration {
	return 2*time.Millisecond + time.Duration(w.rand.ExpFloat64()*float64(2*time.Millisecond))
}

func newSimulation(seed uint64, n int, config LeaderConfig, withFaults bool) *simulation {
	w := &simulation{
		rand:       rand.New(rand.NewPCG(seed, 3)),
		state:      NewState(),
		inFlight:   map[string]bool{},
		withFaults: withFaults,
	}
	w.elect(config)
	for i := range n {
		m := &simMember{
			member: NewMember(Holder{fmt.Sprintf("b%03d", i), 1}, false, func(json.RawMessage) error { return nil }),
		}
		w.members = append(w.members, m)
		w.schedule(time.Duration(w.rand.Int64N(int64(config.Lease/8))), func() { w.renew(m, config) })
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

// injectFaults injects a fault every second on average: there is no leader for 0.6 s, or a member is cut off for up to
// two leases.
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
	w.leader.CommandApplied(c)
	w.runLeader()
}

func (w *simulation) renew(m *simMember, config LeaderConfig) {
	requestedAt := w.now
	m.member.Tick(w.now)
	w.runLoop(m)
	m.requestCount++
	sequence := m.requestCount
	w.schedule(config.Lease/2, func() { // renew again if the reply is lost
		if m.requestCount == sequence {
			w.renew(m, config)
		}
	})
	if w.leaderless || w.now < m.cutOffUntil {
		return
	}
	request := m.member.NextRequest()
	b, _ := json.Marshal(request)
	w.byteCount += len(b)
	// The request, and the round trip by which the leader confirms with the voters that it still leads.
	w.schedule(w.networkDelay()+w.networkDelay()+w.networkDelay(), func() {
		if w.leaderless {
			return
		}
		reply, ok := w.leader.Renew(w.now, w.state, request)
		w.runLeader()
		if !ok {
			return
		}
		b, _ := json.Marshal(reply)
		w.byteCount += len(b)
		w.schedule(w.networkDelay(), func() {
			if w.now < m.cutOffUntil || m.requestCount != sequence {
				return
			}
			m.member.HandleReply(w.now, requestedAt, request.Seq, reply)
			w.runLoop(m)
			if !reply.Known {
				w.schedule(w.commitDelay(), func() { w.apply(Command{Op: OpJoin, Holder: m.member.Holder}) })
			}
			w.schedule(max(reply.RenewAfter, time.Millisecond), func() {
				if m.requestCount == sequence {
					w.renew(m, config)
				}
			})
		})
	})
}

func (w *simulation) runLoop(m *simMember) {
	lease := m.member.Lease()
	m.member.Acknowledge(lease.Seq)
	switch {
	case lease.Allows(w.now) && m.pausedSince != 0:
		w.pauses = append(w.pauses, w.now-m.pausedSince)
		m.pausedSince = 0
	case lease.Phase == Suspended && m.pausedSince == 0:
		m.pausedSince = w.now
	}
	if lease.Allows(w.now) {
		m.number = lease.Number
	}
}

// run continues until done returns true, or for at most d. It reports whether done returned true.
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
	for _, m := range w.members {
		if lease := m.member.Lease(); lease.Number != n || !lease.Allows(w.now) {
			return false
		}
	}
	return true
}

// BenchmarkChange reports the time from a proposal until it is in force ("settled") and active at all members
// ("everywhere"), the time for which new requests wait at one member ("wait"), the bytes per second that a member sends
// and receives while no proposal is pending, and the number of proposals that did not come into force ("nowhere").
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
							Op:           OpPropose,
							Kind:         KindProposed,
							Key:          "k",
							Base:         0,
							Text:         w.state.InForce().Text,
							Hash:         "h",
							MaxRevisions: 10,
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
