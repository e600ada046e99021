package membership

import (
	"cmp"
	"slices"
	"strings"

	"oatloft/internal/failpoint"
)

// syncPartBytes is the space for records and signals in one message that answers a Sync, in bytes. The rest of
// MaxPacket is for the message's other fields.
const syncPartBytes = MaxPacket - 200

// join sends a Sync to each address of the join list at which no present member is listed.
func (m *Machine) join() {
	m.schedule.joinAt = m.now + m.cfg.PeerTimeout/2 + m.jitter(m.cfg.PeerTimeout)
	listed := map[string]bool{m.self.Addr: true}
	for _, o := range m.members {
		if o.State != Gone {
			listed[o.Addr], listed[m.route(o.Name, o.Addr)] = true, true
		}
	}
	for _, addr := range m.cfg.Join {
		if listed[addr] || failpoint.On("no-retry") && len(m.members) > 0 {
			continue
		}
		m.probing.syncSequence++
		m.sendTo(addr, &Message{Kind: Sync, Sequence: m.probing.syncSequence})
	}
}

// requestSyncs sends a Sync to up to count random members.
func (m *Machine) requestSyncs(count int) {
	for _, to := range m.randomMembers(count, isNotGone) {
		m.requestSync(to)
	}
}

// requestSync asks a member for all its records and signals.
func (m *Machine) requestSync(name string) {
	m.Counters.Syncs++
	m.probing.syncSequence++
	m.send(name, &Message{Kind: Sync, Sequence: m.probing.syncSequence})
}

// answerSync answers a Sync with all records and signals, in as many messages as needed. If this member's own view is
// stale, the last message is not marked as such, so that it does not end the receiver's stale view.
func (m *Machine) answerSync(message *Message) {
	records := m.allRecords()
	answer := &syncAnswer{machine: m, to: m.route(message.From.Name, message.From.Addr), sequence: message.Sequence}
	answer.begin()
	for _, r := range records {
		answer.reserve(recordSize(r))
		answer.part.Members = append(answer.part.Members, r)
	}
	for _, s := range m.allSignals(records) {
		answer.reserve(signalSize(s))
		answer.part.Signals = append(answer.part.Signals, s)
	}
	answer.part.Last = !m.stall.stale
	m.sendTo(answer.to, answer.part)
}

// syncAnswer builds and sends the messages that answer a Sync.
type syncAnswer struct {
	machine   *Machine
	to        string
	sequence  uint32
	part      *Message
	freeBytes int // left in part
}

func (a *syncAnswer) begin() {
	a.part, a.freeBytes = &Message{Kind: Gossip, Sequence: a.sequence}, syncPartBytes
}

// reserve takes size bytes of the current part. If they don't fit, it sends the part and begins another one.
func (a *syncAnswer) reserve(size int) {
	if a.freeBytes < size {
		a.machine.sendTo(a.to, a.part)
		a.begin()
	}
	a.freeBytes -= size
}

// allRecords returns the records of this member and of all others, sorted by name.
func (m *Machine) allRecords() []Record {
	records := []Record{m.self}
	for _, o := range m.members {
		records = append(records, o.Record)
	}
	slices.SortFunc(records, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	return records
}

// allSignals returns the unexpired signals of the given members, sorted by owner and key.
func (m *Machine) allSignals(owners []Record) (signals []SignalRecord) {
	for _, owner := range owners {
		for _, s := range m.signals[owner.Name] {
			if m.now-s.setAt < s.lifetime() {
				signals = append(signals, m.withAge(s))
			}
		}
	}
	slices.SortFunc(signals, func(a, b SignalRecord) int {
		return cmp.Or(strings.Compare(a.Owner, b.Owner), strings.Compare(a.Key, b.Key))
	})
	return signals
}
