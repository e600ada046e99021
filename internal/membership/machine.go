package membership

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"oatloft/internal/failpoint"
)

type member struct {
	Record
	since    time.Duration
	heard    time.Duration
	suspects map[string]bool // who told of the suspicion
	until    time.Duration   // suspect: gone then
	began    time.Duration   // suspect: since then
	retryAt  time.Duration   // gone: asked again then
}

type probe struct {
	target   string
	asked    time.Duration
	indirect bool
	nacks    int
	relays   int
}

// errand is a probe made for somebody else.
type errand struct {
	whom string
	seq  uint32
	due  time.Duration
	to   string
}

type signal struct {
	SignalRecord
	born time.Duration // on this clock
}

type newsKey struct{ owner, key string } // key "" for a record

// sentOn is how often a piece of news was sent on, of those since it was told last.
type sentOn struct {
	times int
	told  uint64
}

// Machine is one member. It is not safe for concurrent use.
type Machine struct {
	Counters Counters

	cfg     Config
	self    Record
	rng     *rand.Rand
	now     time.Duration
	last    time.Duration // of the step before
	out     []Effect
	members map[string]*member
	order   []string // probing order
	next    int
	probes  map[uint32]*probe
	errands map[uint32]errand
	seq     uint32
	slow    int // Lifeguard's measure of this member's own health, 0 for well
	signals map[string]map[string]*signal
	version uint64
	news    map[newsKey]sentOn
	told    uint64      // pieces of news so far
	turns   [2][][]turn // whose turn it is, of members and of signals, by how often they were sent on
	syncSeq uint32
	oldSeq  uint32 // of the latest Sync before this process stood still: answers to later ones have not waited meanwhile

	probeAt, gossipAt, syncAt, joinAt time.Duration
	heardAt                           time.Duration // anybody
	old                               bool
	oldAt                             time.Duration
	displaced                         bool
	started                           bool
}

// New returns a member that knows nobody.
func New(cfg Config) (*Machine, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	return &Machine{cfg: cfg, rng: newRand(cfg.Seed), self: Record{Name: cfg.Name, Addr: cfg.Addr, Generation: cfg.Generation},
		members: map[string]*member{}, probes: map[uint32]*probe{}, errands: map[uint32]errand{},
		signals: map[string]map[string]*signal{cfg.Name: {}}, news: map[newsKey]sentOn{}}, nil
}

// Step takes one event and appends what it calls for. Time that goes back stands still.
func (m *Machine) Step(now time.Duration, ev Event, out []Effect) []Effect {
	m.now, m.out = max(m.now, now), out
	if !m.started {
		m.started, m.last, m.heardAt = true, m.now, m.now
		m.probeAt = m.now + m.jitter(m.cfg.probeEvery())
		m.gossipAt, m.syncAt = m.now, m.now+m.cfg.syncEvery()/2+m.jitter(m.cfg.syncEvery())
	}
	if gap := m.now - m.last; gap > m.cfg.gap() {
		m.stoodStill(gap)
	}
	m.last = m.now
	switch ev := ev.(type) {
	case Tick:
		m.tick()
	case Received:
		m.Counters.In++
		m.Counters.BytesIn += int64(ev.Size)
		m.received(&ev.Message)
	case SetSignal:
		m.set(ev)
	case Leave:
		state := Alive
		if ev.On {
			state = Leaving
		}
		if m.self.State != state {
			m.self.Incarnation++
			m.self.State = state
			m.spread(newsKey{m.self.Name, ""})
			m.gossipAt = m.now
			m.tick()
		}
	}
	out, m.out = m.out, nil
	return out
}

func (m *Machine) do(e Effect) { m.out = append(m.out, e) }

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Float64() * float64(d))
}

// pace stretches a time by how slow this member found itself to be.
func (m *Machine) pace(d time.Duration) time.Duration { return d * time.Duration(1+m.slow) }

// stoodStill meets a time in which this process did not run, or did not get to this. What it holds is old: others may
// have been replaced, and nobody had the chance to answer. Nothing is held against anybody for that time.
func (m *Machine) stoodStill(gap time.Duration) {
	m.Counters.Old++
	clear(m.probes)
	clear(m.errands)
	for _, o := range m.members {
		if o.State == Suspect {
			o.until += gap
		}
	}
	m.oldAt, m.heardAt, m.oldSeq = m.now, m.now, m.syncSeq
	if !m.old {
		m.old = true
		m.do(Aged{On: true})
	}
	m.probeAt, m.joinAt = m.now+m.cfg.probeEvery(), m.now
	for _, to := range m.some(via, func(o *member) bool { return o.State != Gone }) {
		m.askAll(to)
	}
}

// goodAgain ends the view's being old: somebody has told all, or there is nobody to tell.
func (m *Machine) goodAgain() {
	if m.old && !failpoint.On("old-for-ever") {
		m.old = false
		m.do(Aged{})
	}
}

func (m *Machine) tick() {
	if m.displaced {
		if m.now >= m.syncAt { // is the other one still there?
			m.syncAt = m.now + m.cfg.SilentAfter
			for _, to := range m.some(via, func(o *member) bool { return o.State != Gone }) {
				m.askAll(to)
			}
		}
		return
	}
	m.expire()
	if m.now >= m.joinAt {
		m.join()
	}
	if m.now >= m.probeAt {
		m.probeAt = m.now + m.pace(m.cfg.probeEvery())
		m.probeNext()
	}
	if m.now >= m.gossipAt {
		m.gossipAt = m.now + m.cfg.gossipEvery()
		m.gossip()
	}
	if m.now >= m.syncAt {
		m.syncAt = m.now + m.cfg.syncEvery()/2 + m.jitter(m.cfg.syncEvery())
		for _, to := range m.some(1, func(o *member) bool { return o.State != Gone }) {
			m.askAll(to)
		}
	}
	// Where all stood still at once, or nobody is there to be asked, nobody can tell: what was asked since is what there is.
	if m.old && m.now-m.oldAt > m.cfg.SilentAfter {
		m.goodAgain()
	}
}

// expire looks at what has a time: probes, errands for others, suspicions, members that are long gone, signals.
func (m *Machine) expire() {
	for _, seq := range slices.Sorted(maps.Keys(m.probes)) {
		switch p := m.probes[seq]; {
		case !p.indirect && m.now >= p.asked+m.pace(m.cfg.ackWithin()):
			p.indirect = true
			m.send(p.target, &Message{Kind: Ping, Seq: seq, Target: p.target}) // the first may just be lost
			for _, relay := range m.some(via, func(o *member) bool { return o.State == Alive && o.Name != p.target }) {
				p.relays++
				m.send(relay, &Message{Kind: PingBy, Seq: seq, Target: p.target})
			}
		case m.now >= p.asked+m.pace(m.cfg.probeEvery()):
			delete(m.probes, seq)
			m.failed(p)
		}
	}
	for _, seq := range slices.Sorted(maps.Keys(m.errands)) {
		if e := m.errands[seq]; m.now >= e.due {
			delete(m.errands, seq)
			m.send(e.whom, &Message{Kind: Nack, Seq: e.seq, Target: e.to})
		}
	}
	for _, name := range m.sorted() {
		switch o := m.members[name]; {
		case o.State == Suspect && m.now >= o.until && !m.old:
			m.Counters.Gone++
			m.take(Record{Name: o.Name, Addr: o.Addr, Generation: o.Generation, Incarnation: o.Incarnation, State: Gone}, "silent", m.self.Name)
		case o.State == Gone && m.now-o.since > m.cfg.forgetAfter():
			delete(m.members, name)
			delete(m.signals, name)
		case o.State == Gone && m.now >= o.retryAt && !failpoint.On("no-retry"): // a cut may be over
			o.retryAt = m.now + m.cfg.SilentAfter + m.jitter(2*m.cfg.SilentAfter)
			m.seq++
			m.send(name, &Message{Kind: Ping, Seq: m.seq, Target: name})
		}
	}
}

// sorted are the names that have to be looked at, in an order that doesn't hang on the table's.
func (m *Machine) sorted() []string {
	var list []string
	for name, o := range m.members {
		if o.State == Suspect || o.State == Gone {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	return list
}

// some are so many members at random, of those that fit.
func (m *Machine) some(n int, fits func(*member) bool) []string {
	var list []string
	for name, o := range m.members {
		if fits(o) {
			list = append(list, name)
		}
	}
	slices.Sort(list)
	m.rng.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}

// join asks the addresses of the list for all that they know, while nobody there is a living member.
func (m *Machine) join() {
	m.joinAt = m.now + m.cfg.SilentAfter/2 + m.jitter(m.cfg.SilentAfter)
	there := map[string]bool{m.self.Addr: true}
	for _, o := range m.members {
		if o.State != Gone {
			there[o.Addr], there[m.way(o.Name, o.Addr)] = true, true
		}
	}
	for _, addr := range m.cfg.Join {
		if !there[addr] && !(failpoint.On("no-retry") && len(m.members) > 0) {
			m.syncSeq++
			m.sendTo(addr, &Message{Kind: Sync, Seq: m.syncSeq})
		}
	}
}

func (m *Machine) askAll(name string) {
	m.Counters.Syncs++
	m.syncSeq++
	m.send(name, &Message{Kind: Sync, Seq: m.syncSeq})
}

// probeNext probes the next member in an order that is shuffled anew each time round, so that each has its turn.
func (m *Machine) probeNext() {
	for range len(m.order) + 1 {
		if m.next >= len(m.order) {
			m.order, m.next = m.order[:0], 0
			for name := range m.members {
				m.order = append(m.order, name)
			}
			slices.Sort(m.order)
			m.rng.Shuffle(len(m.order), func(i, j int) { m.order[i], m.order[j] = m.order[j], m.order[i] })
			if len(m.order) == 0 {
				return
			}
		}
		name := m.order[m.next]
		m.next++
		if o := m.members[name]; o != nil && o.State != Gone {
			m.Counters.Probes++
			m.seq++
			m.probes[m.seq] = &probe{target: name, asked: m.now}
			m.send(name, &Message{Kind: Ping, Seq: m.seq, Target: name})
			return
		}
	}
}

// failed holds a probe without an answer against its target; if those asked to help were silent too, against this
// member itself as well.
func (m *Machine) failed(p *probe) {
	m.Counters.ProbesFailed++
	if p.nacks < p.relays || p.relays == 0 && len(m.members) > 1 {
		m.slow = min(mostSlow, m.slow+1)
	}
	o := m.members[p.target]
	if o == nil || o.State == Gone || o.heard > p.asked || m.old {
		return
	}
	r := o.Record
	r.State = Suspect
	m.take(r, "no answer to a probe", m.self.Name)
}

// suspicion sets the time of a suspect: the more have told of it, the sooner it is held to be gone.
func (m *Machine) suspicion(o *member) {
	k := min(2, len(m.members)-1) // so many more who could tell
	// News take a round more for each time that there are as many members again: so must the time to refute.
	slower := max(1, math.Log(float64(len(m.members)+1))/math.Log(manyMembers))
	least, most := time.Duration(slower*float64(m.cfg.suspectLeast())), time.Duration(slower*float64(m.cfg.suspectMost()))
	wait := most
	if told := len(o.suspects) - 1; k > 0 && told > 0 {
		wait = max(least, most-time.Duration(math.Log(float64(told)+1)/math.Log(float64(k)+1)*float64(most-least)))
	}
	o.until = o.began + m.pace(wait)
}

// received takes a message.
func (m *Machine) received(g *Message) {
	switch {
	case g.Form != Form || g.Kind >= kinds || g.From.State > Gone:
		m.Counters.Malformed++
		return
	case g.Cluster != m.cfg.Cluster:
		m.Counters.OtherCluster++
		return
	case g.From.Name == m.self.Name && g.From.Generation == m.self.Generation && g.From.Addr == m.self.Addr:
		m.Counters.FromMyself++
		return
	}
	m.heardAt = m.now
	from := g.From.Name
	if g.From.Generation > 0 { // else it only asks: a member that another one has displaced
		m.take(g.From, "said so itself", from)
	}
	if o := m.members[from]; o != nil && o.Generation == g.From.Generation {
		o.heard = m.now
	}
	for _, r := range g.Members {
		if r.State > Gone || len(r.Name) > MaxName || len(r.Addr) > MaxName {
			m.Counters.Malformed++
			continue
		}
		m.take(r, "told by "+from, from)
	}
	for _, s := range g.Signals {
		if m.old && !m.sinceThen(g) { // it may have waited for as long as this process stood still, and its age says nothing of that
			m.Counters.SignalsDropped++
			continue
		}
		m.hear(s)
	}
	if m.displaced && g.Kind != Tell {
		return
	}
	switch g.Kind {
	case Ping:
		if g.Target != m.self.Name {
			m.Counters.NotForMe++
			return
		}
		m.reply(g, &Message{Kind: Ack, Seq: g.Seq, Target: g.Target})
	case PingBy:
		if o := m.members[g.Target]; o != nil && len(m.errands) < 4*via*len(m.members)+via {
			m.seq++
			m.errands[m.seq] = errand{whom: from, seq: g.Seq, due: m.now + m.cfg.ackWithin(), to: g.Target}
			m.send(g.Target, &Message{Kind: Ping, Seq: m.seq, Target: g.Target})
		}
	case Ack:
		if e, ok := m.errands[g.Seq]; ok && e.to == from {
			delete(m.errands, g.Seq)
			m.send(e.whom, &Message{Kind: Ack, Seq: e.seq, Target: from})
			return
		}
		if p := m.probes[g.Seq]; p != nil && p.target == g.Target {
			delete(m.probes, g.Seq)
			m.slow = max(0, m.slow-1)
		}
	case Nack:
		if failpoint.On("crash-on-nack") {
			panic("a nack")
		}
		if p := m.probes[g.Seq]; p != nil && p.target == g.Target {
			p.nacks++
		}
	case Sync:
		m.tellAll(g)
	case Tell:
		if g.Last && (g.Seq == m.syncSeq || m.old && m.sinceThen(g)) {
			m.goodAgain()
		}
	}
}

// sinceThen tells that a message answers what was asked since this process last stood still.
func (m *Machine) sinceThen(g *Message) bool {
	return g.Kind == Tell && int32(g.Seq-m.oldSeq) > 0 && g.Seq != 0
}

// reply answers where the sender says that it is: with a table of ways, or a member not taken in, its name alone won't do.
func (m *Machine) reply(g *Message, answer *Message) {
	if o := m.members[g.From.Name]; o != nil {
		if o.Addr == g.From.Addr {
			m.send(g.From.Name, answer)
			return
		}
		answer.Members = append(answer.Members, o.Record) // it should know who goes by its name now
	}
	m.sendTo(m.way(g.From.Name, g.From.Addr), answer)
}

func (m *Machine) way(name, addr string) string {
	if to := m.cfg.Reach[name]; to != "" {
		return to
	}
	return addr
}

// take merges what is told of a member. The order in which records come, and how often, makes no difference.
func (m *Machine) take(r Record, reason, by string) {
	if r.Name == m.self.Name {
		m.ofMyself(r)
		return
	}
	o := m.members[r.Name]
	if o != nil && r.State == Gone && by != m.self.Name && r.Generation == o.Generation && o.heard > 0 && m.now-o.heard < m.cfg.SilentAfter/2 {
		r.State = Suspect // heard here not long ago: whoever lost it may be the one who is cut off, so it may refute
	}
	switch {
	case o == nil:
		if len(m.members) >= m.cfg.MaxMembers-1 || r.Name == "" || r.Addr == "" || len(r.Name) > MaxName || len(r.Addr) > MaxName {
			m.Counters.TooMany++
			return
		}
		o = &member{Record: r, since: m.now}
		m.members[r.Name] = o
		m.order = append(m.order, r.Name)
		if n := m.next + m.rng.IntN(len(m.order)-min(m.next, len(m.order)-1)); n < len(m.order) { // at random among those to come
			m.order[n], m.order[len(m.order)-1] = m.order[len(m.order)-1], m.order[n]
		}
		m.Counters.Joined++
		m.do(Changed{Record: r, Was: Gone, Fresh: true, Reason: reason})
		m.entered(o, by)
		return
	case r == o.Record:
		if r.State == Suspect && !o.suspects[by] && len(o.suspects) < 8 {
			o.suspects[by] = true
			m.suspicion(o)
			m.spread(newsKey{r.Name, ""})
		}
		return
	case !r.newer(o.Record) || o.State == Gone && failpoint.On("gone-for-ever"):
		return
	}
	was := o.Record
	o.Record = r
	if r.Generation != was.Generation && !failpoint.On("earlier-start") {
		o.heard = 0
		m.dropSignals(r.Name, r.Generation)
	}
	if r.State != was.State || r.Generation != was.Generation {
		o.since = m.now
		m.do(Changed{Record: r, Was: was.State, Reason: reason})
	}
	if r.State == Suspect && was.State == Suspect {
		m.spread(newsKey{r.Name, ""})
		return
	}
	m.entered(o, by)
	if was.State == Gone && r.State != Gone { // a cut is over, perhaps for many
		m.askAll(r.Name)
	}
}

// entered sets what a state brings with it.
func (m *Machine) entered(o *member, by string) {
	o.suspects, o.retryAt = nil, m.now+m.cfg.SilentAfter/2+m.jitter(m.cfg.SilentAfter)
	if o.State == Suspect {
		m.Counters.Suspected++
		o.suspects, o.began = map[string]bool{by: true}, m.now
		m.suspicion(o)
	}
	m.spread(newsKey{o.Name, ""})
}

// ofMyself answers what others hold of this member. Suspected or told gone, it refutes; after a start with a clock that
// went back it takes a generation above the one it had. If another process goes by its name, the later start has it.
func (m *Machine) ofMyself(r Record) {
	switch {
	case r.Generation < m.self.Generation:
	case r.Addr != m.self.Addr && r.Generation > m.self.Generation:
		if r.State == Gone {
			m.displaced = false
			m.restate(r.Generation+1, 0)
		} else if !m.displaced {
			m.displaced, m.syncAt = true, m.now
			m.Counters.Displaced++
			m.do(Changed{Record: r, Reason: "another process goes by this name"})
		}
	case r.Generation > m.self.Generation:
		m.restate(r.Generation+1, 0)
	case r.Addr != m.self.Addr: // started in the same millisecond: the greater address has it
		if r.Addr > m.self.Addr && r.State != Gone && !m.displaced {
			m.displaced, m.syncAt = true, m.now
			m.Counters.Displaced++
			m.do(Changed{Record: r, Reason: "another process goes by this name"})
		}
	case r.newer(m.self) && !failpoint.On("no-refute"):
		m.Counters.Refuted++
		m.slow = min(mostSlow, m.slow+1)
		m.restate(m.self.Generation, r.Incarnation+1)
	}
}

func (m *Machine) restate(generation uint64, incarnation uint32) {
	if generation != m.self.Generation { // what was said before is another one's now
		mine := m.signals[m.self.Name]
		for _, s := range mine {
			s.Generation = generation
		}
	}
	m.self.Generation, m.self.Incarnation = generation, incarnation
	m.spread(newsKey{m.self.Name, ""})
	m.gossipAt = m.now
}

// Held calls of for each other member, in no order, and tells whether the view is old.
func (m *Machine) Held(of func(Record)) (old bool) {
	for _, o := range m.members {
		of(o.Record)
	}
	return m.old
}

// Self is what this member says of itself.
func (m *Machine) Self() Record { return m.self }

// View is what is known now.
func (m *Machine) View() View {
	v := View{At: m.now, Self: m.self, Old: m.old, Displaced: m.displaced, Slow: m.slow, SignalsOut: len(m.signals[m.self.Name])}
	v.Alone = m.now-m.heardAt > m.cfg.SilentAfter && len(m.members) > 0
	for name, o := range m.members {
		v.Members = append(v.Members, MemberView{Record: o.Record, Since: m.now - o.since, Heard: o.heard, Signals: m.good(name)})
	}
	slices.SortFunc(v.Members, func(a, b MemberView) int { return strings.Compare(a.Name, b.Name) })
	return v
}
