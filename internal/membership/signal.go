package membership

import (
	"math"
	"slices"
	"time"

	"oatloft/internal/failpoint"
)

// signal is a stored signal. The later of two versions wins; within one version, the greater age.
type signal struct {
	SignalRecord
	setAt time.Duration // by this member's clock
}

func (s *signal) lifetime() time.Duration { return time.Duration(s.LifetimeMS) * time.Millisecond }

// withAge returns a signal with its current age, rounded up so that the signal never appears younger than it is.
func (m *Machine) withAge(s *signal) SignalRecord {
	r := s.SignalRecord
	age := (m.now - s.setAt + time.Millisecond - 1) / time.Millisecond
	r.AgeMS = uint32(min(math.MaxUint32, age))
	return r
}

// setSignal sets a signal of this member. A signal beyond the limits is refused, because other members would drop it.
func (m *Machine) setSignal(event SetSignal) {
	own := m.signals[m.self.Name]
	used := 0
	for key, s := range own {
		if m.now-s.setAt >= s.lifetime() {
			delete(own, key)
		} else if key != event.Key {
			used += len(key) + len(s.Value)
		}
	}
	lifetime := event.Lifetime.Milliseconds()
	switch {
	case event.Key == "" || len(event.Key) > MaxName || len(event.Value) > MaxSignal,
		lifetime <= 0 || lifetime > math.MaxUint32,
		used+len(event.Key)+len(event.Value) > m.cfg.SignalBytes,
		own[event.Key] == nil && len(own) >= MaxKeys:
		m.Counters.SignalsRefused++
		return
	}
	m.signalVersion++
	m.Counters.SignalsSet++
	own[event.Key] = &signal{setAt: m.now, SignalRecord: SignalRecord{
		Owner:      m.self.Name,
		Generation: m.self.Generation,
		Key:        event.Key,
		Version:    m.signalVersion,
		LifetimeMS: uint32(lifetime),
		Value:      slices.Clone(event.Value),
	}}
	m.queueUpdate(updateKey{m.self.Name, event.Key})
}

// mergeSignal merges a signal received from another member. This member's own signals are ignored. A signal of an
// earlier generation of its owner, or of one not known yet, is dropped; the latter is received again later.
func (m *Machine) mergeSignal(r SignalRecord) {
	if r.Owner == m.self.Name {
		return
	}
	if !r.wellFormed() || !m.ofCurrentGeneration(r) {
		m.Counters.SignalsDropped++
		return
	}
	stored := m.signals[r.Owner]
	if stored == nil {
		stored = map[string]*signal{}
		m.signals[r.Owner] = stored
	}
	setAt := m.now - time.Duration(r.AgeMS)*time.Millisecond
	if s := stored[r.Key]; s != nil {
		if r.Version == s.Version {
			s.setAt = min(s.setAt, setAt)
		}
		if r.Version <= s.Version && !failpoint.On("back-in-time") {
			return
		}
	}
	r.Value = slices.Clone(r.Value)
	stored[r.Key] = &signal{SignalRecord: r, setAt: setAt}
	m.limitSignals(r.Owner)
	if stored[r.Key] != nil {
		m.queueUpdate(updateKey{r.Owner, r.Key})
	}
}

// wellFormed reports whether a received signal is within the limits and its lifetime.
func (s *SignalRecord) wellFormed() bool {
	return s.Key != "" && len(s.Key) <= MaxName && len(s.Value) <= MaxSignal && s.Version != 0 && s.AgeMS < s.LifetimeMS
}

// ofCurrentGeneration reports whether a signal belongs to its owner's current generation.
func (m *Machine) ofCurrentGeneration(r SignalRecord) bool {
	o := m.members[r.Owner]
	return o != nil && (r.Generation == o.Generation || failpoint.On("earlier-start"))
}

// limitSignals drops a member's earliest versions beyond the limits. The version of an expired signal is kept for
// another lifetime, and at least PeerTimeout, so that a delayed earlier version cannot replace it.
func (m *Machine) limitSignals(owner string) {
	stored := m.signals[owner]
	used := 0
	for key, s := range stored {
		switch age := m.now - s.setAt; {
		case age >= s.lifetime()+max(s.lifetime(), m.cfg.PeerTimeout):
			delete(stored, key)
			continue
		case age >= s.lifetime():
			s.Value = nil
		}
		used += len(key) + len(s.Value)
	}
	for used > m.cfg.SignalBytes || len(stored) > MaxKeys {
		first := earliest(stored)
		used -= len(first.Key) + len(first.Value)
		delete(stored, first.Key)
		m.Counters.SignalsDropped++
	}
}

func earliest(signals map[string]*signal) (first *signal) {
	for _, s := range signals {
		if first == nil || s.Version < first.Version {
			first = s
		}
	}
	return first
}

// dropSignals drops a member's signals from before a generation.
func (m *Machine) dropSignals(owner string, generation uint64) {
	for key, s := range m.signals[owner] {
		if s.Generation < generation {
			delete(m.signals[owner], key)
		}
	}
}
