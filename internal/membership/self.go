package membership

import "oatloft/internal/failpoint"

// handleOwnRecord handles another member's record of this member. It refutes that it is suspect or gone. If its clock
// went back between two starts, it takes a generation above that of the earlier start. If another process uses the same
// name, the later start keeps it; of two starts in the same millisecond, the one with the greater address.
func (m *Machine) handleOwnRecord(r Record) {
	switch {
	case r.Generation < m.self.Generation:
	case r.Generation > m.self.Generation && r.Addr != m.self.Addr && r.State != Gone:
		m.supersede(r)
	case r.Generation > m.self.Generation:
		if r.Addr != m.self.Addr {
			m.superseded = false
		}
		m.reannounce(r.Generation+1, 0)
	case r.Addr != m.self.Addr:
		if r.Addr > m.self.Addr && r.State != Gone {
			m.supersede(r)
		}
	case r.newer(m.self) && !failpoint.On("no-refute"):
		m.Counters.Refuted++
		m.slowdown = min(maxSlowdown, m.slowdown+1)
		m.reannounce(m.self.Generation, r.Incarnation+1)
	}
}

// supersede gives up the name to another process. From then on this member only checks whether that process is still
// present.
func (m *Machine) supersede(successor Record) {
	if m.superseded {
		return
	}
	m.superseded, m.schedule.syncAt = true, m.now
	m.Counters.Superseded++
	m.emit(MemberChanged{Record: successor, Reason: "another process has taken over this name"})
}

// reannounce announces this member with a new generation or incarnation.
func (m *Machine) reannounce(generation uint64, incarnation uint32) {
	if generation != m.self.Generation {
		for _, s := range m.signals[m.self.Name] {
			s.Generation = generation
		}
	}
	m.self.Generation, m.self.Incarnation = generation, incarnation
	m.queueUpdate(updateKey{owner: m.self.Name})
	m.schedule.gossipAt = m.now
}
