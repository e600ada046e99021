package membership

import (
	"slices"
	"strings"
	"time"
)

// View is a snapshot of the cluster as one member sees it.
type View struct {
	At         time.Duration // time of the snapshot, by this member's clock
	Self       Record
	Stale      bool // this process has not run for a while: the view must not be acted on yet
	Isolated   bool // nothing has been received for PeerTimeout
	Superseded bool // another process has taken over this name
	Members    []MemberView
	Slowdown   int // this member's intervals are 1+Slowdown times their usual length
	SignalsOut int // number of this member's own signals
}

// MemberView is another member in a View.
type MemberView struct {
	Record
	InState      time.Duration // time since it entered its state or generation
	LastReceived time.Duration // time of the last message from it; 0 if none
	Signals      []SignalView
}

// SignalView is an unexpired signal in a View.
type SignalView struct {
	Key      string
	Version  uint64
	Age      time.Duration
	Lifetime time.Duration
	Value    []byte
}

// View returns a snapshot of the current state.
func (m *Machine) View() View {
	v := View{
		At:         m.now,
		Self:       m.self,
		Stale:      m.stall.stale,
		Isolated:   m.now-m.lastReceivedAt > m.cfg.PeerTimeout && len(m.members) > 0,
		Superseded: m.superseded,
		Slowdown:   m.slowdown,
		SignalsOut: len(m.signals[m.self.Name]),
	}
	for name, o := range m.members {
		v.Members = append(v.Members, MemberView{
			Record:       o.Record,
			InState:      m.now - o.changedAt,
			LastReceived: o.lastReceived,
			Signals:      m.liveSignals(name),
		})
	}
	slices.SortFunc(v.Members, func(a, b MemberView) int { return strings.Compare(a.Name, b.Name) })
	return v
}

// liveSignals returns the unexpired signals of a member, sorted by key.
func (m *Machine) liveSignals(owner string) (list []SignalView) {
	for _, s := range m.signals[owner] {
		age := m.now - s.setAt
		if age >= s.lifetime() {
			continue
		}
		list = append(list, SignalView{Key: s.Key, Version: s.Version, Age: age, Lifetime: s.lifetime(), Value: s.Value})
	}
	slices.SortFunc(list, func(a, b SignalView) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// EachMember calls visit for each other member, in no particular order, and reports whether the view is stale.
func (m *Machine) EachMember(visit func(Record)) (stale bool) {
	for _, o := range m.members {
		visit(o.Record)
	}
	return m.stall.stale
}

// Self returns this member's own record.
func (m *Machine) Self() Record { return m.self }
