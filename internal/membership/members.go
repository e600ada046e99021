package membership

import (
	"math"
	"slices"
	"time"

	"oatloft/internal/failpoint"
)

const (
	// maxSuspecters limits the number of members recorded as suspecting a member.
	maxSuspecters = 8
	// referenceMembers is the number of members above which suspicion timeouts are stretched.
	referenceMembers = 50
	// confirmationsForMinTime is the number of further suspecting members that reduce a suspicion to its minimum time.
	confirmationsForMinTime = 2
)

// member is the state of another member.
type member struct {
	Record
	changedAt    time.Duration // time of the last change of State or Generation
	lastReceived time.Duration // time of the last message from it; 0 if none
	retryAt      time.Duration // time of the next ping if the member is Gone

	suspectedBy     map[string]bool
	suspectedAt     time.Duration
	suspectDeadline time.Duration // time at which the suspect is declared gone
}

// mergeRecord merges a record that member by, which can be this one, reports for a reason. The result depends neither
// on the order of records nor on repetitions.
func (m *Machine) mergeRecord(r Record, reason, by string) {
	if r.Name == m.self.Name {
		m.handleOwnRecord(r)
		return
	}
	o := m.members[r.Name]
	if o == nil {
		m.addMember(r, reason, by)
		return
	}
	if r.State == Gone && by != m.self.Name && r.Generation == o.Generation && m.receivedLately(o) {
		r.State = Suspect // the reporter may be the one that is cut off: allow a refutation
	}
	switch {
	case r == o.Record:
		m.confirmSuspicion(o, by)
	case r.newer(o.Record) && (o.State != Gone || !failpoint.On("gone-for-ever")):
		m.replaceRecord(o, r, reason, by)
	}
}

func (m *Machine) receivedLately(o *member) bool {
	return o.lastReceived > 0 && m.now-o.lastReceived < m.cfg.PeerTimeout/2
}

func (m *Machine) addMember(r Record, reason, by string) {
	if len(m.members) >= m.cfg.MaxMembers-1 || !r.wellFormed() {
		m.Counters.TooManyMembers++
		return
	}
	o := &member{Record: r, changedAt: m.now}
	m.members[r.Name] = o
	m.addToOrder(r.Name)
	m.Counters.Joined++
	m.emit(MemberChanged{Record: r, Before: Gone, New: true, Reason: reason})
	m.enterState(o, by)
}

// confirmSuspicion records another member that suspects o.
func (m *Machine) confirmSuspicion(o *member, by string) {
	if o.State == Suspect && !o.suspectedBy[by] && len(o.suspectedBy) < maxSuspecters {
		o.suspectedBy[by] = true
		m.setSuspectDeadline(o)
		m.queueUpdate(updateKey{owner: o.Name})
	}
}

func (m *Machine) replaceRecord(o *member, r Record, reason, by string) {
	before := o.Record
	o.Record = r
	if r.Generation != before.Generation && !failpoint.On("earlier-start") {
		o.lastReceived = 0
		m.dropSignals(r.Name, r.Generation)
	}
	if r.State != before.State || r.Generation != before.Generation {
		o.changedAt = m.now
		m.emit(MemberChanged{Record: r, Before: before.State, Reason: reason})
	}
	if r.State == Suspect && before.State == Suspect {
		m.queueUpdate(updateKey{owner: r.Name})
		return
	}
	m.enterState(o, by)
	if before.State == Gone && r.State != Gone { // a partition has healed, and more members may be back
		m.requestSync(r.Name)
	}
}

// enterState resets a member's timers and suspicion for its new state, and disseminates its record.
func (m *Machine) enterState(o *member, by string) {
	o.suspectedBy = nil
	o.retryAt = m.now + m.cfg.PeerTimeout/2 + m.jitter(m.cfg.PeerTimeout)
	if o.State == Suspect {
		m.Counters.Suspected++
		o.suspectedBy, o.suspectedAt = map[string]bool{by: true}, m.now
		m.setSuspectDeadline(o)
	}
	m.queueUpdate(updateKey{owner: o.Name})
}

// setSuspectDeadline sets the time at which a suspect is declared gone: the more members suspect it, the sooner
// (Lifeguard). In a larger cluster updates take longer to reach all members, so the time to refute grows with its size.
func (m *Machine) setSuspectDeadline(o *member) {
	stretch := max(1, math.Log(float64(len(m.members)+1))/math.Log(referenceMembers))
	minWait := time.Duration(stretch * float64(m.cfg.minSuspectTime()))
	maxWait := time.Duration(stretch * float64(m.cfg.maxSuspectTime()))
	wait := maxWait
	possible := min(confirmationsForMinTime, len(m.members)-1)
	if confirmed := len(o.suspectedBy) - 1; possible > 0 && confirmed > 0 {
		share := math.Log(float64(confirmed)+1) / math.Log(float64(possible)+1)
		wait = max(minWait, maxWait-time.Duration(share*float64(maxWait-minWait)))
	}
	o.suspectDeadline = o.suspectedAt + m.slowed(wait)
}

// expireMembers declares suspects gone whose deadline has passed, forgets members after forgetAfter, and pings gone
// members periodically, because a partition may have healed.
func (m *Machine) expireMembers() {
	for _, name := range m.suspectOrGone() {
		switch o := m.members[name]; {
		case o.State == Suspect && m.now >= o.suspectDeadline && !m.stall.stale:
			m.Counters.Gone++
			gone := o.Record
			gone.State = Gone
			m.mergeRecord(gone, "silent", m.self.Name)
		case o.State == Gone && m.now-o.changedAt > m.cfg.forgetAfter():
			delete(m.members, name)
			delete(m.signals, name)
		case o.State == Gone && m.now >= o.retryAt && !failpoint.On("no-retry"):
			o.retryAt = m.now + m.cfg.PeerTimeout + m.jitter(2*m.cfg.PeerTimeout)
			m.ping(name, name)
		}
	}
}

// suspectOrGone returns the names of members that are suspect or gone, sorted so that runs are reproducible.
func (m *Machine) suspectOrGone() []string {
	var names []string
	for name, o := range m.members {
		if o.State == Suspect || o.State == Gone {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}
