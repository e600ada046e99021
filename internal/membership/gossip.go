package membership

import (
	"math"
	"slices"
)

// updates are the records and signals that are to be sent on. They ride on every message, those that were sent
// least first. Merging them is commutative and idempotent, so that updates may come twice, late and by many ways.
type updates struct {
	sent  map[updateKey]transmissions
	count uint64 // updates queued so far
	// queues holds, for records and for signals, the updates by how often they were sent.
	queues [2][][]queuedUpdate
}

// updateKey names what an update is about: a member's record, or with a key one of its signals.
type updateKey struct{ owner, key string }

// transmissions is how often an update was sent on.
type transmissions struct {
	count  int
	update uint64 // the number of the update
}

// queuedUpdate is an update's place in a queue. If what it is about has a later update, the place is passed over.
type queuedUpdate struct {
	updateKey
	update uint64
}

// queueUpdate has the present state of something sent on.
func (m *Machine) queueUpdate(k updateKey) {
	u := &m.updates
	u.count++
	u.sent[k] = transmissions{update: u.count}
	u.enqueue(queuedUpdate{k, u.count}, 0)
}

// enqueue puts an update behind those that were sent as often.
func (u *updates) enqueue(q queuedUpdate, times int) {
	kind := min(len(q.key), 1)
	for len(u.queues[kind]) <= times {
		u.queues[kind] = append(u.queues[kind], nil)
	}
	u.queues[kind][times] = append(u.queues[kind][times], q)
}

// current tells whether an update is the latest about its key.
func (u *updates) current(q queuedUpdate) bool { return u.sent[q.updateKey].update == q.update }

// maxTransmissions is how often each member sends an update on: enough for it to reach all in spite of loss.
func (m *Machine) maxTransmissions() int { return 3 + int(3*math.Log2(float64(len(m.members)+2))) }

// gossip sends updates to some members, if there are any.
func (m *Machine) gossip() {
	if len(m.updates.sent) == 0 || m.stall.stale {
		return
	}
	for _, to := range m.randomMembers(gossipFanout, notGone) {
		m.send(to, &Message{Kind: Gossip})
	}
}

// addUpdates fills a message to a member with updates. A receiver that is suspected or gone always gets its own
// record, so that it can refute. While the view is stale nothing else is sent on.
func (m *Machine) addUpdates(g *Message, to string) {
	if o := m.members[to]; o != nil && o.State != Alive {
		g.Members = append(g.Members, o.Record)
	}
	if m.stall.stale {
		return
	}
	// Records come before signals, however many there are: a suspect has to learn of it, and others of its answer.
	left := m.freeBytes(g)
	var sent []queuedUpdate
	for kind := range m.updates.queues {
		for times := range m.updates.queues[kind] {
			sent = m.addQueue(g, &m.updates.queues[kind][times], &left, sent)
		}
	}
	m.countTransmissions(sent) // only now: else an update would go out twice in one message
}

// freeBytes returns how many more bytes a message may have.
func (m *Machine) freeBytes(g *Message) int {
	free := MaxPacket - messageOverhead - len(m.cfg.Cluster) - recordSize(m.self) - len(g.Target)
	for _, r := range g.Members {
		free -= recordSize(r)
	}
	for _, s := range g.Signals {
		free -= signalSize(s)
	}
	return free
}

// addQueue adds the updates of a queue to a message, up to the first one that it has no room for.
func (m *Machine) addQueue(g *Message, queue *[]queuedUpdate, freeBytes *int, sent []queuedUpdate) []queuedUpdate {
	taken := 0
	for _, q := range *queue {
		if m.updates.current(q) {
			size, exists := m.addUpdate(g, q.updateKey, *freeBytes)
			switch {
			case !exists:
				delete(m.updates.sent, q.updateKey)
			case size == 0:
				*queue = slices.Delete(*queue, 0, taken)
				return sent
			default:
				*freeBytes -= size
				sent = append(sent, q)
			}
		}
		taken++
	}
	*queue = slices.Delete(*queue, 0, taken)
	return sent
}

// addUpdate adds an update to a message and returns its size; 0 if there is no room for it. exists is false if what
// it is about is no longer there.
func (m *Machine) addUpdate(g *Message, k updateKey, freeBytes int) (size int, exists bool) {
	if k.key == "" {
		return m.addRecord(g, k.owner, freeBytes)
	}
	s := m.signals[k.owner][k.key]
	if s == nil || m.now-s.givenAt >= s.lifetime() {
		return 0, false
	}
	record := m.withAge(s)
	size = signalSize(record)
	if size > freeBytes {
		return 0, true
	}
	g.Signals = append(g.Signals, record)
	return size, true
}

func (m *Machine) addRecord(g *Message, name string, freeBytes int) (size int, exists bool) {
	r := m.self
	if name != m.self.Name {
		o := m.members[name]
		if o == nil {
			return 0, false
		}
		r = o.Record
	}
	size = recordSize(r)
	if size > freeBytes {
		return 0, true
	}
	g.Members = append(g.Members, r)
	return size, true
}

// countTransmissions puts updates that were sent behind those that were sent as often, or drops those sent often
// enough.
func (m *Machine) countTransmissions(sent []queuedUpdate) {
	most := m.maxTransmissions()
	u := &m.updates
	for _, q := range sent {
		times := u.sent[q.updateKey].count + 1
		if times < most {
			u.sent[q.updateKey] = transmissions{times, q.update}
			u.enqueue(q, times)
		} else {
			delete(u.sent, q.updateKey)
		}
	}
}
