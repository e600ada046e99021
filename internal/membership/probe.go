package membership

import (
	"maps"
	"slices"
	"time"

	"oatloft/internal/failpoint"
)

// probeRelays is the number of members that are asked for an indirect probe.
const probeRelays = 3

// probing is the state of this member's probes and of those that it relays.
type probing struct {
	order        []string // members' names, shuffled in each round
	nextInOrder  int
	probes       map[uint32]*probe       // by sequence
	relayed      map[uint32]relayedProbe // by sequence
	syncSequence uint32                  // of the latest Sync
}

// probe is a ping without an answer so far.
type probe struct {
	target   string
	sentAt   time.Duration
	indirect bool // indirect probes have been requested
	relays   int  // number of members asked for an indirect probe
	nacks    int  // nacks received from the relays
}

// relayedProbe is a probe on behalf of another member.
type relayedProbe struct {
	requester string
	sequence  uint32 // of the requester's probe
	deadline  time.Duration
	target    string
}

// probeNext probes the next member of the round that is not gone.
func (m *Machine) probeNext() {
	p := &m.probing
	for range len(p.order) + 1 {
		if p.nextInOrder >= len(p.order) {
			m.shuffleOrder()
			if len(p.order) == 0 {
				return
			}
		}
		name := p.order[p.nextInOrder]
		p.nextInOrder++
		if o := m.members[name]; o != nil && o.State != Gone {
			m.Counters.Probes++
			sequence := m.ping(name, name)
			p.probes[sequence] = &probe{target: name, sentAt: m.now}
			return
		}
	}
}

// ping sends a ping with a new sequence number.
func (m *Machine) ping(to, target string) (sequence uint32) {
	m.sequence++
	m.send(to, &Message{Kind: Ping, Sequence: m.sequence, Target: target})
	return m.sequence
}

// shuffleOrder starts a new round of probes in random order.
func (m *Machine) shuffleOrder() {
	p := &m.probing
	p.order, p.nextInOrder = p.order[:0], 0
	for name := range m.members {
		p.order = append(p.order, name)
	}
	slices.Sort(p.order)
	m.rng.Shuffle(len(p.order), func(i, j int) { p.order[i], p.order[j] = p.order[j], p.order[i] })
}

// addToOrder inserts a new member at a random position in the rest of the current round.
func (m *Machine) addToOrder(name string) {
	p := &m.probing
	p.order = append(p.order, name)
	last := len(p.order) - 1
	place := p.nextInOrder + m.rng.IntN(len(p.order)-min(p.nextInOrder, last))
	if place <= last {
		p.order[place], p.order[last] = p.order[last], p.order[place]
	}
}

// expireProbes requests indirect probes for probes without an answer after the ack timeout, fails them after the probe
// interval, and sends a nack to the requesters of relayed probes that have timed out.
func (m *Machine) expireProbes() {
	p := &m.probing
	for _, sequence := range slices.Sorted(maps.Keys(p.probes)) {
		switch pending := p.probes[sequence]; {
		case !pending.indirect && m.now >= pending.sentAt+m.slowed(m.cfg.ackTimeout()):
			m.probeIndirectly(sequence, pending)
		case m.now >= pending.sentAt+m.slowed(m.cfg.probeInterval()):
			delete(p.probes, sequence)
			m.probeFailed(pending)
		}
	}
	for _, sequence := range slices.Sorted(maps.Keys(p.relayed)) {
		if relayed := p.relayed[sequence]; m.now >= relayed.deadline {
			delete(p.relayed, sequence)
			m.send(relayed.requester, &Message{Kind: Nack, Sequence: relayed.sequence, Target: relayed.target})
		}
	}
}

// probeIndirectly pings the target again, because the first ping may have been lost, and asks other members to ping it.
func (m *Machine) probeIndirectly(sequence uint32, p *probe) {
	p.indirect = true
	m.send(p.target, &Message{Kind: Ping, Sequence: sequence, Target: p.target})
	relays := m.randomMembers(probeRelays, func(o *member) bool { return o.State == Alive && o.Name != p.target })
	for _, relay := range relays {
		p.relays++
		m.send(relay, &Message{Kind: IndirectPing, Sequence: sequence, Target: p.target})
	}
}

// probeFailed makes the target of a failed probe a suspect. If relays have not answered either, or there were none to
// ask, it also increases this member's slowdown (Lifeguard).
func (m *Machine) probeFailed(p *probe) {
	m.Counters.ProbesFailed++
	if p.nacks < p.relays || p.relays == 0 && len(m.members) > 1 {
		m.slowdown = min(maxSlowdown, m.slowdown+1)
	}
	o := m.members[p.target]
	if o == nil || o.State == Gone || o.lastReceived > p.sentAt || m.stall.stale {
		return
	}
	suspect := o.Record
	suspect.State = Suspect
	m.mergeRecord(suspect, "no answer to a probe", m.self.Name)
}

// relayPing pings a target on behalf of another member, unless too many relayed probes are pending.
func (m *Machine) relayPing(requester string, message *Message) {
	maxRelayed := 4*probeRelays*len(m.members) + probeRelays
	if m.members[message.Target] == nil || len(m.probing.relayed) >= maxRelayed {
		return
	}
	sequence := m.ping(message.Target, message.Target)
	m.probing.relayed[sequence] = relayedProbe{
		requester: requester,
		sequence:  message.Sequence,
		deadline:  m.now + m.cfg.ackTimeout(),
		target:    message.Target,
	}
}

func (m *Machine) handleAck(from string, message *Message) {
	p := &m.probing
	if relayed, ok := p.relayed[message.Sequence]; ok && relayed.target == from {
		delete(p.relayed, message.Sequence)
		m.send(relayed.requester, &Message{Kind: Ack, Sequence: relayed.sequence, Target: from})
		return
	}
	if pending := p.probes[message.Sequence]; pending != nil && pending.target == message.Target {
		delete(p.probes, message.Sequence)
		m.slowdown = max(0, m.slowdown-1)
	}
}

func (m *Machine) handleNack(message *Message) {
	if failpoint.On("crash-on-nack") {
		panic("a nack")
	}
	if pending := m.probing.probes[message.Sequence]; pending != nil && pending.target == message.Target {
		pending.nacks++
	}
}
