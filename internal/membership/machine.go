package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// randomStream keeps the machine's random numbers apart from others of the same seed.
	randomStream = 0x9ee5
	// gossipFanout is how many members updates are sent to at once.
	gossipFanout = 3
	// maxSlowdown bounds by how many further times its intervals a slow member slows down.
	maxSlowdown = 8
)

// Machine is one member. It is not safe for concurrent use.
type Machine struct {
	Counters Counters

	cfg            Config
	self           Record
	rng            *rand.Rand
	now            time.Duration
	effects        []Effect
	members        map[string]*member
	signals        map[string]map[string]*signal // by owner and key
	signalVersion  uint64                        // of the latest signal of this member's own
	sequence       uint32                        // of the latest ping
	slowdown       int                           // Lifeguard's measure of this member's own health; 0 is well
	superseded     bool                          // another process goes by this name
	started        bool
	lastReceivedAt time.Duration // from any member

	probing  probing
	updates  updates
	schedule schedule
	stall    stall
}

// schedule says when something is done next.
type schedule struct {
	probeAt  time.Duration
	gossipAt time.Duration
	syncAt   time.Duration
	joinAt   time.Duration
}

// New returns a member that knows of no other.
func New(cfg Config) (*Machine, error) {
	if err := cfg.Validate(); err != nil {
		return nil, err
	}
	return &Machine{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(cfg.Seed, randomStream)),
		self:    Record{Name: cfg.Name, Addr: cfg.Addr, Generation: cfg.Generation},
		members: map[string]*member{},
		signals: map[string]map[string]*signal{cfg.Name: {}},
		probing: probing{probes: map[uint32]*probe{}, relayed: map[uint32]relayedProbe{}},
		updates: updates{sent: map[updateKey]transmissions{}},
	}, nil
}

// Step takes one event and appends the effects that it calls for. A time before the latest one counts as the latest.
func (m *Machine) Step(now time.Duration, event Event, effects []Effect) []Effect {
	m.now, m.effects = max(m.now, now), effects
	if !m.started {
		m.start()
	}
	if gap := m.now - m.stall.lastStepAt; gap > m.cfg.stallTime() {
		m.handleStall(gap)
	}
	m.stall.lastStepAt = m.now
	switch event := event.(type) {
	case Tick:
		m.tick()
	case Received:
		m.Counters.In++
		m.Counters.BytesIn += int64(event.Size)
		m.handleMessage(&event.Message)
	case SetSignal:
		m.setSignal(event)
	case Leave:
		m.leave(event.On)
	}
	effects, m.effects = m.effects, nil
	return effects
}

func (m *Machine) start() {
	m.started = true
	m.stall.lastStepAt, m.lastReceivedAt = m.now, m.now
	m.schedule.probeAt = m.now + m.jitter(m.cfg.probeInterval())
	m.schedule.gossipAt = m.now
	m.schedule.syncAt = m.nextSync()
}

func (m *Machine) nextSync() time.Duration {
	return m.now + m.cfg.syncInterval()/2 + m.jitter(m.cfg.syncInterval())
}

// leave changes what this member says of itself: that it leaves, or stays.
func (m *Machine) leave(on bool) {
	state := Alive
	if on {
		state = Leaving
	}
	if m.self.State == state {
		return
	}
	m.self.Incarnation++
	m.self.State = state
	m.queueUpdate(updateKey{owner: m.self.Name})
	m.schedule.gossipAt = m.now
	m.tick()
}

func (m *Machine) emit(e Effect) { m.effects = append(m.effects, e) }

func (m *Machine) jitter(d time.Duration) time.Duration {
	return time.Duration(m.rng.Float64() * float64(d))
}

// slowed stretches a time by how slow this member has found itself to be.
func (m *Machine) slowed(d time.Duration) time.Duration { return d * time.Duration(1+m.slowdown) }

func (m *Machine) tick() {
	if m.superseded {
		m.checkSuccessor()
		return
	}
	m.expireProbes()
	m.expireMembers()
	s := &m.schedule
	if m.now >= s.joinAt {
		m.join()
	}
	if m.now >= s.probeAt {
		s.probeAt = m.now + m.slowed(m.cfg.probeInterval())
		m.probeNext()
	}
	if m.now >= s.gossipAt {
		s.gossipAt = m.now + m.cfg.gossipInterval()
		m.gossip()
	}
	if m.now >= s.syncAt {
		s.syncAt = m.nextSync()
		m.requestSyncs(1)
	}
	m.endStallWithoutAnswer()
}

// checkSuccessor asks now and then whether the process that has taken this member's name is still there.
func (m *Machine) checkSuccessor() {
	if m.now >= m.schedule.syncAt {
		m.schedule.syncAt = m.now + m.cfg.PeerTimeout
		m.requestSyncs(probeRelays)
	}
}

// randomMembers returns up to count random members that match.
func (m *Machine) randomMembers(count int, match func(*member) bool) []string {
	var names []string
	for name, o := range m.members {
		if match(o) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	m.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(count, len(names))]
}

func notGone(o *member) bool { return o.State != Gone }
