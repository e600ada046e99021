package membership

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"oatloft/internal/failpoint"
)

// What travels: news of members and signals ride on every message, those that were sent on least first, and a Sync is
// answered with all. Merging a signal is commutative and idempotent: the later version wins, of the same version the
// greater age. So what comes twice, late or by many ways changes nothing, and nothing goes back.

// turn is one place in the order in which news go out. A piece of news that was told anew has a later turn; the earlier
// one is passed over.
type turn struct {
	newsKey
	told uint64
}

// spread has something told on.
func (m *Machine) spread(k newsKey) {
	m.told++
	m.news[k] = sentOn{told: m.told}
	m.await(turn{k, m.told}, 0)
}

// await puts a turn behind those that were sent on as often.
func (m *Machine) await(t turn, times int) {
	kind := min(len(t.key), 1)
	for len(m.turns[kind]) <= times {
		m.turns[kind] = append(m.turns[kind], nil)
	}
	m.turns[kind][times] = append(m.turns[kind][times], t)
}

// tellTimes is how often a piece of news is sent on by each who hears it: enough for all to hear with a chance of loss.
func (m *Machine) tellTimes() int { return 3 + int(3*math.Log2(float64(len(m.members)+2))) }

func sizeOf(r Record) int             { return 20 + len(r.Name) + len(r.Addr) }
func sizeOfSignal(s SignalRecord) int { return 40 + len(s.Owner) + len(s.Key) + len(s.Value) }

// fill adds news to a message until it is full.
func (m *Machine) fill(g *Message, first string) {
	room := MaxPacket - 60 - len(m.cfg.Cluster) - sizeOf(m.self) - len(g.Target)
	for _, r := range g.Members {
		room -= sizeOf(r)
	}
	for _, s := range g.Signals {
		room -= sizeOfSignal(s)
	}
	if o := m.members[first]; o != nil && o.State != Alive { // who is suspected hears of it from whoever asks it
		g.Members = append(g.Members, o.Record)
		room -= sizeOf(o.Record)
	}
	if m.old { // what was held before a standstill is not told on
		return
	}
	// News of members come before signals, however many there are: who is suspected has to hear of it, and others of its
	// answer. Of each, those sent least come first, and of those the ones that wait longest.
	most := m.tellTimes()
	var sent []turn
	for kind := range m.turns {
		for times, waiting := range m.turns[kind] {
			passed := 0
			for _, t := range waiting {
				if m.news[t.newsKey].told == t.told {
					n, ok := m.put(g, t.newsKey, room)
					if ok && n == 0 { // no room for it: what follows waits as well
						break
					}
					if room -= n; ok {
						sent = append(sent, t)
					} else {
						delete(m.news, t.newsKey)
					}
				}
				passed++
			}
			m.turns[kind][times] = slices.Delete(waiting, 0, passed)
		}
	}
	for _, t := range sent { // only now: else it would go out twice in one message
		if s := m.news[t.newsKey]; s.times+1 < most {
			m.news[t.newsKey] = sentOn{s.times + 1, t.told}
			m.await(t, s.times+1)
		} else {
			delete(m.news, t.newsKey)
		}
	}
}

// put adds a piece of news to a message, and returns the room it took: 0 where there is none, not ok where it is over.
func (m *Machine) put(g *Message, k newsKey, room int) (n int, ok bool) {
	if k.key == "" {
		r := m.self
		if k.owner != m.self.Name {
			o := m.members[k.owner]
			if o == nil {
				return 0, false
			}
			r = o.Record
		}
		if n = sizeOf(r); n > room {
			return 0, true
		}
		g.Members = append(g.Members, r)
		return n, true
	}
	s := m.signals[k.owner][k.key]
	if s == nil || m.now-s.born >= s.life() {
		return 0, false
	}
	r := m.aged(s)
	if n = sizeOfSignal(r); n > room {
		return 0, true
	}
	g.Signals = append(g.Signals, r)
	return n, true
}

func (m *Machine) send(name string, g *Message) {
	o := m.members[name]
	if o == nil {
		return
	}
	m.fill(g, name)
	m.sendTo(m.way(name, o.Addr), g)
}

func (m *Machine) sendTo(addr string, g *Message) {
	g.Form, g.Cluster, g.From = Form, m.cfg.Cluster, m.self
	if m.displaced { // it asks, and is nobody
		g.From = Record{Name: m.self.Name, Addr: m.self.Addr}
		g.Members, g.Signals = nil, nil
	}
	m.Counters.Out++
	m.do(Send{To: addr, Message: g})
}

// gossip tells news to some, if there are any.
func (m *Machine) gossip() {
	if len(m.news) == 0 || m.old {
		return
	}
	for _, to := range m.some(fanout, func(o *member) bool { return o.State != Gone }) {
		m.send(to, &Message{Kind: Tell})
	}
}

// tellAll answers a Sync with all that is known, in as many messages as it takes.
func (m *Machine) tellAll(g *Message) {
	to := m.way(g.From.Name, g.From.Addr)
	all := []Record{m.self}
	for _, o := range m.members {
		all = append(all, o.Record)
	}
	slices.SortFunc(all, func(a, b Record) int { return strings.Compare(a.Name, b.Name) })
	var signals []SignalRecord
	for _, r := range all {
		for _, s := range m.signals[r.Name] {
			if m.now-s.born < s.life() {
				signals = append(signals, m.aged(s))
			}
		}
	}
	slices.SortFunc(signals, func(a, b SignalRecord) int {
		return cmp.Or(strings.Compare(a.Owner, b.Owner), strings.Compare(a.Key, b.Key))
	})
	part, room := &Message{Kind: Tell, Seq: g.Seq}, MaxPacket-200
	flush := func(n int) {
		if room < n {
			m.sendTo(to, part)
			part, room = &Message{Kind: Tell, Seq: g.Seq}, MaxPacket-200
		}
		room -= n
	}
	for _, r := range all {
		flush(sizeOf(r))
		part.Members = append(part.Members, r)
	}
	for _, s := range signals {
		flush(sizeOfSignal(s))
		part.Signals = append(part.Signals, s)
	}
	part.Last = !m.old // what stood still itself makes nobody else's view good
	m.sendTo(to, part)
}

func (s *signal) life() time.Duration { return time.Duration(s.LifeMS) * time.Millisecond }

// aged is a signal as it goes out now.
func (m *Machine) aged(s *signal) SignalRecord {
	r := s.SignalRecord
	r.AgeMS = uint32(min(math.MaxUint32, (m.now-s.born+time.Millisecond-1)/time.Millisecond)) // never younger than it is
	return r
}

// set gives a signal of this member's own. One that is too large, or one too many, is refused: nobody would keep it.
func (m *Machine) set(ev SetSignal) {
	mine := m.signals[m.self.Name]
	used := 0
	for key, s := range mine {
		if m.now-s.born >= s.life() {
			delete(mine, key)
		} else if key != ev.Key {
			used += len(key) + len(s.Value)
		}
	}
	life := ev.Life.Milliseconds()
	if ev.Key == "" || len(ev.Key) > MaxName || len(ev.Value) > MaxSignal || life <= 0 || life > math.MaxUint32 ||
		used+len(ev.Key)+len(ev.Value) > m.cfg.SignalBytes || mine[ev.Key] == nil && len(mine) >= MaxKeys {
		m.Counters.SignalsRefused++
		return
	}
	m.version++
	m.Counters.SignalsSet++
	mine[ev.Key] = &signal{born: m.now, SignalRecord: SignalRecord{Owner: m.self.Name, Generation: m.self.Generation, Key: ev.Key,
		Version: m.version, LifeMS: uint32(life), Value: slices.Clone(ev.Value)}}
	m.spread(newsKey{m.self.Name, ev.Key})
}

// hear merges a signal.
func (m *Machine) hear(r SignalRecord) {
	o := m.members[r.Owner]
	switch {
	case r.Owner == m.self.Name: // of a start before, or coming back: what it says itself it knows best
		return
	case r.Key == "" || len(r.Key) > MaxName || len(r.Value) > MaxSignal || r.Version == 0 || r.AgeMS >= r.LifeMS:
		m.Counters.SignalsDropped++
		return
	case o == nil || r.Generation != o.Generation && !failpoint.On("earlier-start"): // of a start that is over, or one not heard of yet: it comes again
		m.Counters.SignalsDropped++
		return
	}
	have := m.signals[r.Owner]
	if have == nil {
		have = map[string]*signal{}
		m.signals[r.Owner] = have
	}
	born := m.now - time.Duration(r.AgeMS)*time.Millisecond
	if s := have[r.Key]; s != nil {
		if r.Version == s.Version && born < s.born {
			s.born = born // it was older all along
		}
		if r.Version <= s.Version && !failpoint.On("back-in-time") {
			return
		}
	}
	r.Value = slices.Clone(r.Value)
	have[r.Key] = &signal{SignalRecord: r, born: born}
	m.bound(r.Owner)
	if have[r.Key] != nil {
		m.spread(newsKey{r.Owner, r.Key})
	}
}

// bound keeps a member's signals within what it may hold: the earliest given go. Of one that has outlived itself the version is
// kept for a while, so that an earlier one which was on its way for long can't take its place.
func (m *Machine) bound(owner string) {
	have := m.signals[owner]
	used := 0
	for key, s := range have {
		switch age := m.now - s.born; {
		case age >= s.life()+max(s.life(), m.cfg.SilentAfter):
			delete(have, key)
			continue
		case age >= s.life():
			s.Value = nil
		}
		used += len(key) + len(s.Value)
	}
	for used > m.cfg.SignalBytes || len(have) > MaxKeys {
		var first *signal
		for _, s := range have {
			if first == nil || s.Version < first.Version {
				first = s
			}
		}
		used -= len(first.Key) + len(first.Value)
		delete(have, first.Key)
		m.Counters.SignalsDropped++
	}
}

// dropSignals lets go of what an earlier start of a member said.
func (m *Machine) dropSignals(owner string, generation uint64) {
	for key, s := range m.signals[owner] {
		if s.Generation < generation {
			delete(m.signals[owner], key)
		}
	}
}

// good are the signals of a member that have not outlived themselves.
func (m *Machine) good(owner string) (list []SignalView) {
	for _, s := range m.signals[owner] {
		if age := m.now - s.born; age < s.life() {
			list = append(list, SignalView{Key: s.Key, Version: s.Version, Age: age, Life: s.life(), Value: s.Value})
		}
	}
	slices.SortFunc(list, func(a, b SignalView) int { return strings.Compare(a.Key, b.Key) })
	return list
}
