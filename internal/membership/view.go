package membership

import (
	"slices"
	"strings"
	"time"
)

// View is what a member knows at one time.
type View struct {
	At         time.Duration
	Self       Record
	Stale      bool // this process stood still: nothing in the view may be acted on yet
	Isolated   bool // nothing has been received for as long as a member may be silent
	Superseded bool // another process goes by this name
	Members    []MemberView
	Slowdown   int // further times its usual intervals by which this member has slowed down
	SignalsOut int // signals of its own
}

// MemberView is one other member.
type MemberView struct {
	Record
	InState      time.Duration // how long it has been in its state
	LastReceived time.Duration // time of the last message from it; 0 if none
	Signals      []SignalView
}

// SignalView is a signal within its lifetime.
type SignalView struct {
	Key      string
	Version  uint64
	Age      time.Duration
	Lifetime time.Duration
	Value    []byte
}

// View returns what is known now.
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

// liveSignals returns the signals of a member that are within their lifetimes.
func (m *Machine) liveSignals(owner string) (list []SignalView) {
	for _, s := range m.signals[owner] {
		age := m.now - s.givenAt
		if age >= s.lifetime() {
			continue
		}
		list = append(list, SignalView{Key: s.Key, Version: s.Version, Age: age, Lifetime: s.lifetime(), Value: s.Value})
	}
	slices.SortFunc(list, func(a, b SignalView) int { return strings.Compare(a.Key, b.Key) })
	return list
}

// EachMember calls visit for each other member, in no order, and tells whether the view is stale.
func (m *Machine) EachMember(visit func(Record)) (stale bool) {
	for _, o := range m.members {
		visit(o.Record)
	}
	return m.stall.stale
}

// Self returns what this member says of itself.
func (m *Machine) Self() Record { return m.self }
