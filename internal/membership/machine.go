package membership

import (
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// randomStream separates the machine's random numbers from others with the same seed.
	randomStream = 0x9ee5
	// gossipFanout is the number of members to which updates are sent per gossip interval.
	gossipFanout = 3
	// maxSlowdown limits slowdown: intervals are stretched to at most 1+maxSlowdown times their length.
	maxSlowdown = 8
)

// Machine is the protocol state of one member. It is not safe for concurrent use.
type Machine struct {
	Counters Counters

	cfg            Config
	self           Record
	rng            *rand.Rand
	now            time.Duration
	effects        []Effect
	members        map[string]*member
	signals        map[string]map[string]*signal // by owner and key
	signalVersion  uint64                        // of this member's latest signal
	sequence       uint32                        // of the latest ping
	slowdown       int                           // Lifeguard's local health score; 0 is healthy
	superseded     bool                          // another process has taken over this name
	started        bool
	lastReceivedAt time.Duration // from any member

	probing  probing
	updates  updates
	schedule schedule
	stall    stall
}

// schedule holds the times of the next periodic actions.
type schedule struct {
	probeAt  time.Duration
	gossipAt time.Duration
	syncAt   time.Duration
	joinAt   time.Duration
}

// New returns a member that knows no other members.
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

// Step handles one event and appends the resulting effects to effects. A time before the latest one counts as the
// latest.
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

// leave sets this member's state to Leaving, or back to Alive, and announces it.
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

// slowed stretches an interval by this member's slowdown (Lifeguard).
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
	m.endStaleViewAfterTimeout()
}

// checkSuccessor requests syncs once per PeerTimeout to learn whether the process that has taken over this member's
// name is still present.
func (m *Machine) checkSuccessor() {
	if m.now >= m.schedule.syncAt {
		m.schedule.syncAt = m.now + m.cfg.PeerTimeout
		m.requestSyncs(probeRelays)
	}
}

// randomMembers returns the names of up to count random members for which matches returns true.
func (m *Machine) randomMembers(count int, matches func(*member) bool) []string {
	var names []string
	for name, o := range m.members {
		if matches(o) {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	m.rng.Shuffle(len(names), func(i, j int) { names[i], names[j] = names[j], names[i] })
	return names[:min(count, len(names))]
}

func isNotGone(o *member) bool { return o.State != Gone }
