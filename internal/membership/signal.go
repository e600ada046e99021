package membership

import (
	"math"
	"slices"
	"time"

	"oatloft/internal/failpoint"
)

// signal is a signal as it is held. Of two versions the later wins; of one version, the greater age.
type signal struct {
	SignalRecord
	givenAt time.Duration // by this member's clock
}

func (s *signal) lifetime() time.Duration { return time.Duration(s.LifetimeMS) * time.Millisecond }

// withAge returns a signal as it is sent now. Its age is rounded up, so that it is never taken for younger than it
// is.
func (m *Machine) withAge(s *signal) SignalRecord {
	r := s.SignalRecord
	age := (m.now - s.givenAt + time.Millisecond - 1) / time.Millisecond
	r.AgeMS = uint32(min(math.MaxUint32, age))
	return r
}

// setSignal sets a signal of this member's own. One that is too large, or one too many, is refused: no other member
// would keep it.
func (m *Machine) setSignal(event SetSignal) {
	own := m.signals[m.self.Name]
	used := 0
	for key, s := range own {
		if m.now-s.givenAt >= s.lifetime() {
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
	own[event.Key] = &signal{givenAt: m.now, SignalRecord: SignalRecord{
		Owner:      m.self.Name,
		Generation: m.self.Generation,
		Key:        event.Key,
		Version:    m.signalVersion,
		LifetimeMS: uint32(lifetime),
		Value:      slices.Clone(event.Value),
	}}
	m.queueUpdate(updateKey{m.self.Name, event.Key})
}

// mergeSignal merges a signal that another member has sent. Of its own signals this member knows best itself. A
// signal of a start that is over, or of one not known yet, is dropped; the latter comes again.
func (m *Machine) mergeSignal(r SignalRecord) {
	if r.Owner == m.self.Name {
		return
	}
	if !r.wellFormed() || !m.ofCurrentStart(r) {
		m.Counters.SignalsDropped++
		return
	}
	held := m.signals[r.Owner]
	if held == nil {
		held = map[string]*signal{}
		m.signals[r.Owner] = held
	}
	givenAt := m.now - time.Duration(r.AgeMS)*time.Millisecond
	if s := held[r.Key]; s != nil {
		if r.Version == s.Version {
			s.givenAt = min(s.givenAt, givenAt)
		}
		if r.Version <= s.Version && !failpoint.On("back-in-time") {
			return
		}
	}
	r.Value = slices.Clone(r.Value)
	held[r.Key] = &signal{SignalRecord: r, givenAt: givenAt}
	m.limitSignals(r.Owner)
	if held[r.Key] != nil {
		m.queueUpdate(updateKey{r.Owner, r.Key})
	}
}

// wellFormed tells whether a signal that was sent may be kept.
func (s *SignalRecord) wellFormed() bool {
	return s.Key != "" && len(s.Key) <= MaxName && len(s.Value) <= MaxSignal && s.Version != 0 && s.AgeMS < s.LifetimeMS
}

// ofCurrentStart tells whether a signal is of its owner's present generation.
func (m *Machine) ofCurrentStart(r SignalRecord) bool {
	o := m.members[r.Owner]
	return o != nil && (r.Generation == o.Generation || failpoint.On("earlier-start"))
}

// limitSignals keeps a member's signals within what it may hold: the earliest versions are dropped. Of a signal
// beyond its lifetime the version is kept for a while, so that an earlier one that was long on its way cannot take
// its place.
func (m *Machine) limitSignals(owner string) {
	held := m.signals[owner]
	used := 0
	for key, s := range held {
		switch age := m.now - s.givenAt; {
		case age >= s.lifetime()+max(s.lifetime(), m.cfg.PeerTimeout):
			delete(held, key)
			continue
		case age >= s.lifetime():
			s.Value = nil
		}
		used += len(key) + len(s.Value)
	}
	for used > m.cfg.SignalBytes || len(held) > MaxKeys {
		first := earliest(held)
		used -= len(first.Key) + len(first.Value)
		delete(held, first.Key)
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

// dropSignals drops the signals of a member's earlier starts.
func (m *Machine) dropSignals(owner string, generation uint64) {
	for key, s := range m.signals[owner] {
		if s.Generation < generation {
			delete(m.signals[owner], key)
		}
	}
}
