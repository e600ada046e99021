package membership

import "oatloft/internal/failpoint"

// handleOwnRecord answers what others hold of this member. It refutes that it is suspected or gone. If its clock
// went back between two starts, it takes a generation above the earlier one. If another process goes by its name,
// the later start has it; of two starts in the same millisecond, the one with the greater address.
func (m *Machine) handleOwnRecord(r Record) {
	switch {
	case r.Generation < m.self.Generation:
	case r.Generation > m.self.Generation && r.Addr != m.self.Addr && r.State != Gone:
		m.supersede(r)
	case r.Generation > m.self.Generation:
		if r.Addr != m.self.Addr {
			m.superseded = false
		}
		m.restate(r.Generation+1, 0)
	case r.Addr != m.self.Addr:
		if r.Addr > m.self.Addr && r.State != Gone {
			m.supersede(r)
		}
	case r.newer(m.self) && !failpoint.On("no-refute"):
		m.Counters.Refuted++
		m.slowdown = min(maxSlowdown, m.slowdown+1)
		m.restate(m.self.Generation, r.Incarnation+1)
	}
}

// supersede gives the name up to another process. From then on this member only asks whether that one is still there.
func (m *Machine) supersede(successor Record) {
	if m.superseded {
		return
	}
	m.superseded, m.schedule.syncAt = true, m.now
	m.Counters.Displaced++
	m.emit(Changed{Record: successor, Reason: "another process goes by this name"})
}

// restate tells the others of this member again, by a new generation or incarnation.
func (m *Machine) restate(generation uint64, incarnation uint32) {
	if generation != m.self.Generation {
		for _, s := range m.signals[m.self.Name] {
			s.Generation = generation
		}
	}
	m.self.Generation, m.self.Incarnation = generation, incarnation
	m.queueUpdate(updateKey{owner: m.self.Name})
	m.schedule.gossipAt = m.now
}
