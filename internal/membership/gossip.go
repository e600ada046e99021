package membership

import (
	"math"
	"slices"
)

// updates holds the records and signals to be disseminated. They are piggybacked on every message, the least sent ones
// first. Merging is commutative and idempotent, so an update may arrive late, more than once and over several paths.
type updates struct {
	sent  map[updateKey]transmissions
	count uint64 // updates queued so far
	// queues holds the updates by the number of times they were sent, for records and for signals.
	queues [2][][]queuedUpdate
}

// updateKey identifies the subject of an update: a member's record, or one of its signals if key is set.
type updateKey struct{ owner, key string }

// transmissions is the number of times that an update was sent.
type transmissions struct {
	count  int
	update uint64 // number of the update
}

// queuedUpdate is an entry of a queue. It is skipped if there is a later update of the same subject.
type queuedUpdate struct {
	updateKey
	update uint64
}

// queueUpdate schedules the dissemination of the current state of a record or signal.
func (m *Machine) queueUpdate(k updateKey) {
	u := &m.updates
	u.count++
	u.sent[k] = transmissions{update: u.count}
	u.enqueue(queuedUpdate{k, u.count}, 0)
}

// enqueue appends an update to the queue of those that were sent as often.
func (u *updates) enqueue(q queuedUpdate, times int) {
	kind := min(len(q.key), 1)
	for len(u.queues[kind]) <= times {
		u.queues[kind] = append(u.queues[kind], nil)
	}
	u.queues[kind][times] = append(u.queues[kind][times], q)
}

// current reports whether an update is the latest for its key.
func (u *updates) current(q queuedUpdate) bool { return u.sent[q.updateKey].update == q.update }

// maxTransmissions returns how often each member sends an update: often enough to reach all members despite packet
// loss.
func (m *Machine) maxTransmissions() int { return 3 + int(3*math.Log2(float64(len(m.members)+2))) }

// gossip sends pending updates to random members.
func (m *Machine) gossip() {
	if len(m.updates.sent) == 0 || m.stall.stale {
		return
	}
	for _, to := range m.randomMembers(gossipFanout, isNotGone) {
		m.send(to, &Message{Kind: Gossip})
	}
}

// addUpdates fills a message to a member with updates. A receiver that is not alive in this member's view always gets
// its own record, so that it can refute it. While the view is stale, no other updates are sent.
func (m *Machine) addUpdates(message *Message, to string) {
	if o := m.members[to]; o != nil && o.State != Alive {
		message.Members = append(message.Members, o.Record)
	}
	if m.stall.stale {
		return
	}
	// All records come before signals: a suspect has to learn of the suspicion, and the others of its refutation.
	freeBytes := m.freeBytes(message)
	var sent []queuedUpdate
	for kind := range m.updates.queues {
		for times := range m.updates.queues[kind] {
			sent = m.addQueuedUpdates(message, &m.updates.queues[kind][times], &freeBytes, sent)
		}
	}
	m.countTransmissions(sent) // after the loop, or an update could be added to the message twice
}

// freeBytes returns the number of bytes that can be added to a message.
func (m *Machine) freeBytes(message *Message) int {
	free := MaxPacket - messageOverhead - len(m.cfg.Cluster) - recordSize(m.self) - len(message.Target)
	for _, r := range message.Members {
		free -= recordSize(r)
	}
	for _, s := range message.Signals {
		free -= signalSize(s)
	}
	return free
}

// addQueuedUpdates adds the updates of a queue to a message, up to the first one that doesn't fit.
func (m *Machine) addQueuedUpdates(
	message *Message, queue *[]queuedUpdate, freeBytes *int, sent []queuedUpdate,
) []queuedUpdate {
	taken := 0
	for _, q := range *queue {
		if m.updates.current(q) {
			size, exists := m.addUpdate(message, q.updateKey, *freeBytes)
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

// addUpdate adds an update to a message and returns its size, or 0 if it doesn't fit. exists is false if the record is
// no longer known, or the signal is gone or has expired.
func (m *Machine) addUpdate(message *Message, k updateKey, freeBytes int) (size int, exists bool) {
	if k.key == "" {
		return m.addRecord(message, k.owner, freeBytes)
	}
	s := m.signals[k.owner][k.key]
	if s == nil || m.now-s.setAt >= s.lifetime() {
		return 0, false
	}
	record := m.withAge(s)
	size = signalSize(record)
	if size > freeBytes {
		return 0, true
	}
	message.Signals = append(message.Signals, record)
	return size, true
}

func (m *Machine) addRecord(message *Message, name string, freeBytes int) (size int, exists bool) {
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
	message.Members = append(message.Members, r)
	return size, true
}

// countTransmissions moves the updates that were sent to the next queue, or drops them after maxTransmissions.
func (m *Machine) countTransmissions(sent []queuedUpdate) {
	limit := m.maxTransmissions()
	u := &m.updates
	for _, q := range sent {
		times := u.sent[q.updateKey].count + 1
		if times < limit {
			u.sent[q.updateKey] = transmissions{times, q.update}
			u.enqueue(q, times)
		} else {
			delete(u.sent, q.updateKey)
		}
	}
}
