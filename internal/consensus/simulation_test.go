package consensus

import (
	crand "crypto/rand"
	"errors"
	"flag"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"
)

var (
	seeds = flag.Int("seeds", 2, "generated runs for each size of simulated cluster")
	seed  = flag.Uint64("seed", 0, "run only this seed")
)

// seededReader replaces crypto/rand's source in simulations, so that a seed determines the whole run.
type seededReader struct {
	mu     sync.Mutex
	source *rand.ChaCha8
}

// Read implements io.Reader.
func (d *seededReader) Read(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.source.Read(b)
}

// simulation is a cluster without sockets, clock or goroutines: packets in flight are in a list, and time advances by
// step.
type simulation struct {
	t           *testing.T
	rng         *rand.Rand
	members     []*simulatedMember
	packets     []packet
	partitioned map[[2]int]bool // by sender and receiver; one direction
	lossPercent int             // of the packets

	lastEntry   int
	committed   map[string]bool   // entries reported to the proposer as committed
	entryAt     map[uint64]string // by index: must be the same at all members
	leaders     map[uint64]uint64 // by term: ID of the leader
	requests    []pendingRequest
	lostFolders int // folders deleted so far
	movedVotes  int // votes given to another member so far
}

// packet is an encoded message between two members.
type packet struct {
	from, to    int
	bootstrapID uint64
	body        []byte
}

// pendingRequest is a proposal or a confirmation without an outcome yet.
type pendingRequest struct {
	outcome         waiter
	entry           string           // proposed; "" for a confirmation
	member          *simulatedMember // member that received the request
	committedBefore []string         // entries committed when the confirmation was requested
	machine         *checkingMachine
}

// simulatedMember is a member: its folder and its running replica.
type simulatedMember struct {
	number       int
	cfg          Config
	store        *store
	replica      *replica
	machine      *checkingMachine
	machineIndex uint64
	diskFull     bool
	stopped      bool           // the process is suspended
	senders      map[uint64]int // by ID, numbers of the members that sent messages; nil while it stays down
	jobs         []storeJob     // not written yet
}

// checkingMachine is a Machine that fails the test if entries differ between members or are applied out of order.
type checkingMachine struct {
	sim       *simulation
	lastIndex uint64
	contains  map[string]bool
	entries   []string
	name      string
}

func (m *checkingMachine) Apply(index uint64, entry []byte) {
	text := string(entry)
	if applied, ok := m.sim.entryAt[index]; ok && applied != text {
		m.sim.t.Fatalf("%s has %q as entry %d, other members have %q", m.name, text, index, applied)
	}
	if index <= m.lastIndex {
		m.sim.t.Fatalf("%s applies entry %d after %d", m.name, index, m.lastIndex)
	}
	m.sim.entryAt[index], m.lastIndex, m.contains[text] = text, index, true
	m.entries = append(m.entries, text)
}

func (m *checkingMachine) Snapshot() []byte {
	var b []byte
	for _, entry := range m.entries {
		b = append(append(b, entry...), '\n')
	}
	return b
}

func (m *checkingMachine) Restore(index uint64, snapshot []byte) error {
	m.lastIndex, m.contains, m.entries = index, map[string]bool{}, nil
	for len(snapshot) > 0 {
		i := slices.Index(snapshot, '\n')
		m.contains[string(snapshot[:i])], m.entries, snapshot = true, append(m.entries, string(snapshot[:i])), snapshot[i+1:]
	}
	return nil
}

func newSimulation(t *testing.T, seed uint64, count, voters int) *simulation {
	t.Helper()
	var key [32]byte
	key[0], key[1], key[2] = byte(seed), byte(seed>>8), byte(count)
	old := crand.Reader
	crand.Reader = io.Reader(&seededReader{source: rand.NewChaCha8(key)})
	s := &simulation{
		t:           t,
		rng:         rand.New(rand.NewPCG(seed, uint64(count))),
		partitioned: map[[2]int]bool{},
		committed:   map[string]bool{},
		entryAt:     map[uint64]string{},
		leaders:     map[uint64]uint64{},
	}
	var candidates []Candidate
	for i := range count {
		candidates = append(
			candidates,
			Candidate{Name: fmt.Sprintf("m%d", i), Zone: string(rune('A' + i%3)), Addr: fmt.Sprintf("10.0.0.%d:7100", i+1)},
		)
	}
	dir := t.TempDir()
	for i := range count {
		cfg, err := Config{
			Cluster:       "simulation",
			Name:          candidates[i].Name,
			Listen:        candidates[i].Addr,
			Candidates:    candidates,
			Voters:        voters,
			Folder:        filepath.Join(dir, candidates[i].Name),
			SnapshotEvery: 12,
			KeepEntries:   5,
			ReplaceAfter:  6 * time.Second,
		}.withDefaults()
		if err != nil {
			t.Fatal(err)
		}
		m := &simulatedMember{number: i, cfg: cfg}
		s.members = append(s.members, m)
		s.start(m)
	}
	t.Cleanup(func() {
		for _, m := range s.members {
			s.kill(m)
		}
		crand.Reader = old
	})
	return s
}

// start opens the folder with a new machine, and starts a replica if the folder has a bootstrap.
func (s *simulation) start(m *simulatedMember) {
	m.machine, m.machineIndex, m.senders =
		&checkingMachine{sim: s, contains: map[string]bool{}, name: m.cfg.Name}, 0, map[uint64]int{}
	s.open(m)
}

func (s *simulation) open(m *simulatedMember) {
	st, err := openStore(m.cfg.Folder, m.cfg.Cluster, m.cfg.Name, func() error {
		if m.diskFull {
			return syscall.ENOSPC
		}
		return nil
	})
	var unwritable *UnwritableFolder
	if errors.As(err, &unwritable) && m.diskFull {
		return
	}
	if err != nil {
		s.t.Fatal(err)
	}
	st.db.NoSync, st.db.NoGrowSync = true, true // the test process itself never crashes
	m.store = st
	s.run(m)
}

func (s *simulation) run(m *simulatedMember) {
	if m.store.header.Bootstrap.ID == 0 {
		return
	}
	var err error
	if m.replica, err = newReplica(
		&m.cfg, m.store, m.machine, &m.machineIndex, slog.New(slog.DiscardHandler),
	); err != nil {
		s.t.Fatal(err)
	}
}

func (s *simulation) kill(m *simulatedMember) {
	if m.replica != nil {
		m.replica.failWaiters(&UnknownOutcome{Cause: &Closed{}}, &NotLeader{})
	}
	if m.store != nil {
		m.store.close()
	}
	m.replica, m.store, m.stopped, m.jobs = nil, nil, false, nil
}

// tryBootstrap takes the next step of a member with a fresh folder, as awaitBootstrap does.
func (s *simulation) tryBootstrap(m *simulatedMember) {
	firstVoters := SelectVoters(m.cfg.Candidates, m.cfg.Voters)
	if !slices.ContainsFunc(firstVoters, func(candidate Candidate) bool { return candidate.Name == m.cfg.Name }) {
		return
	}
	reported := map[string]memberStatus{}
	for _, other := range s.members {
		if other != m && s.reachable(m.number, other.number) {
			reported[other.cfg.Name] = memberStatus{
				Name: other.cfg.Name, ID: other.store.header.ID, Bootstrap: other.store.header.Bootstrap,
			}
		}
	}
	switch step := decideBootstrap(m.cfg.Cluster, firstVoters, m.cfg.Name, m.store.header.ID, reported); {
	case step.Begin != nil:
		s.begin(m, *step.Begin)
	case step.Rejoin:
		for _, other := range s.members {
			if !s.reachable(m.number, other.number) || other.replica == nil || !other.replica.isLeader() {
				continue
			}
			rejoining := member{ID: m.store.header.ID, Name: m.cfg.Name, Addr: m.cfg.Listen}
			for id, record := range other.replica.members {
				if record.Name == rejoining.Name && id != rejoining.ID {
					rejoining.Replaces = id
				}
			}
			if rejoining.Replaces != 0 {
				other.replica.addRequest(memberRequest{Member: rejoining})
				s.begin(m, bootstrap{ID: other.store.header.Bootstrap.ID})
				return
			}
		}
	}
}

func (s *simulation) begin(m *simulatedMember, bootstrap bootstrap) {
	if err := m.store.recordBootstrap(bootstrap); err != nil {
		s.kill(m)
		return
	}
	s.run(m)
}

func (s *simulation) tick(m *simulatedMember) {
	switch {
	case m.store == nil && m.machine != nil && !m.diskFull && m.senders != nil: // its disk was full
		s.open(m)
		return
	case m.store == nil || m.stopped:
		return
	case m.replica == nil:
		if s.rng.IntN(4) == 0 {
			s.tryBootstrap(m)
		}
		return
	}
	m.replica.tick()
	if m.replica.ticks%5 == 0 {
		switch step := m.replica.nextChange(); step.Kind {
		case noChange:
		case findCandidate:
			s.findCandidate(m, step.Member.Replaces)
		default:
			if step.Kind == promoteLearner {
				s.movedVotes++
			}
			m.replica.proposeChange(step)
		}
		if s.resetRemoved(m); m.replica == nil {
			return
		}
	}
	s.advance(m)
}

// resetRemoved resets the folder of a member that the leader does not know, as checkMembership and runVoter do.
func (s *simulation) resetRemoved(m *simulatedMember) {
	if m.replica.softState.Lead != 0 || m.replica.ticks%(8*electionTicks) != 0 {
		return
	}
	for _, other := range s.members {
		if other.replica != nil && other.replica.isLeader() &&
			s.reachable(m.number, other.number) && s.hasLatestTerm(other) {
			_, isMember := other.replica.members[m.store.header.ID]
			if !isMember && !slices.ContainsFunc(
				other.replica.requests,
				func(request queuedRequest) bool { return request.Member.ID == m.store.header.ID },
			) && other.store.header.Bootstrap.ID == m.store.header.Bootstrap.ID {
				m.replica.failWaiters(&UnknownOutcome{}, &NotLeader{})
				m.replica, m.jobs = nil, nil
				if m.store.reset() != nil {
					s.kill(m)
				}
				return
			}
		}
	}
}

// hasLatestTerm reports whether no member has a later term, so that a leader of this term has not been replaced.
func (s *simulation) hasLatestTerm(other *simulatedMember) bool {
	return !slices.ContainsFunc(
		s.members,
		func(m *simulatedMember) bool { return m.store != nil && m.store.header.Term > other.store.header.Term },
	)
}

// findCandidate requests a vote for a reachable member without one, as Node.findCandidate does.
func (s *simulation) findCandidate(m *simulatedMember, replaces uint64) {
	for _, other := range s.members {
		if _, isMember := memberByName(m.replica.members, other.cfg.Name); isMember ||
			other == m || !s.reachable(m.number, other.number) {
			continue
		}
		if other.replica == nil && other.store.header.Bootstrap.ID == 0 {
			s.begin(other, bootstrap{ID: m.store.header.Bootstrap.ID})
		}
		if other.store != nil && other.store.header.Bootstrap.ID == m.store.header.Bootstrap.ID {
			m.replica.addRequest(
				memberRequest{Member: member{
					ID: other.store.header.ID, Name: other.cfg.Name, Addr: other.cfg.Listen, Replaces: replaces,
				}},
			)
			return
		}
	}
}

// advance sends a replica's messages, runs some of its jobs, and checks the outcomes of requests.
func (s *simulation) advance(m *simulatedMember) {
	messages, jobs, err := m.replica.advance()
	if err != nil {
		s.t.Fatalf("%s: %v", m.cfg.Name, err)
	}
	s.send(m, messages)
	if m.jobs = append(m.jobs, jobs...); s.rng.IntN(3) > 0 {
		s.runJobs(m)
	}
	if m.replica == nil {
		return
	}
	if m.replica.isLeader() {
		if leader, ok := s.leaders[m.replica.term]; ok && leader != m.store.header.ID {
			s.t.Fatalf("two leaders in term %d", m.replica.term)
		}
		s.leaders[m.replica.term] = m.store.header.ID
	}
	s.requests = slices.DeleteFunc(s.requests, func(request pendingRequest) bool {
		select {
		case result := <-request.outcome:
			if result.err != nil {
				return true
			}
			if request.entry != "" {
				s.committed[request.entry] = true
				return true
			}
			for _, entry := range request.committedBefore {
				if !request.machine.contains[entry] {
					s.t.Fatalf("%s was confirmed as leader without %q, which had been committed before",
						request.member.cfg.Name, entry)
				}
			}
			return true
		default:
			return false
		}
	})
}

// runJobs performs a random number of a member's jobs; the others stay in progress.
func (s *simulation) runJobs(m *simulatedMember) {
	for count := s.rng.IntN(len(m.jobs) + 1); count > 0; count-- {
		job := m.jobs[0]
		m.jobs = m.jobs[1:]
		if err := job.run(m.store); err != nil {
			var unwritable *UnwritableFolder
			if !errors.As(err, &unwritable) || !m.diskFull {
				s.t.Fatalf("%s: %v", m.cfg.Name, err)
			}
			s.kill(m) // the process and its machine continue; the folder is reopened once the disk has space
			return
		}
		messages, err := m.replica.jobWritten(job)
		if err != nil {
			s.t.Fatal(err)
		}
		s.send(m, messages)
	}
}

// propose proposes an entry to a member, or asks it to confirm its leadership.
func (s *simulation) propose(m *simulatedMember) {
	if m.replica == nil || m.stopped {
		return
	}
	request := pendingRequest{outcome: make(waiter, 1), member: m, machine: m.machine}
	if s.rng.IntN(3) > 0 {
		s.lastEntry++
		request.entry = fmt.Sprint("line ", s.lastEntry)
		m.replica.propose([]byte(request.entry), request.outcome)
	} else {
		for entry := range s.committed {
			request.committedBefore = append(request.committedBefore, entry)
		}
		m.replica.confirm(request.outcome)
	}
	s.requests = append(s.requests, request)
	s.advance(m)
}

// step advances all members by one tick and delivers packets.
func (s *simulation) step() {
	for _, m := range s.members {
		s.tick(m)
		for range 3 {
			s.deliver()
		}
	}
	for range len(s.packets) / 2 {
		s.deliver()
	}
}

// TestSimulation injects random faults into simulated clusters. Committed entries must stay, in the same order at all
// members; a term must not have two leaders; a confirmed leader must have all entries committed before; and all voters
// must have all entries after the last fault.
func TestSimulation(t *testing.T) {
	var entries, lostFolders, terms, movedVotes int
	for _, size := range [][2]int{{1, 1}, {3, 3}, {5, 3}, {5, 5}, {7, 5}} {
		for i := uint64(1); i <= uint64(*seeds); i++ {
			if *seed != 0 && i != 1 {
				break
			}
			runSeed := max(*seed, i)
			if *seed != 0 {
				runSeed = *seed
			}
			t.Run(fmt.Sprintf("%d of %d, seed %d", size[1], size[0], runSeed), func(t *testing.T) {
				s := newSimulation(t, runSeed, size[0], size[1])
				for range 40 {
					for range 5 + s.rng.IntN(40) {
						s.step()
						for range 2 {
							s.propose(s.members[s.rng.IntN(len(s.members))])
						}
					}
					s.injectFault()
				}
				s.heal()
				entries, lostFolders, terms, movedVotes =
					entries+len(s.committed), lostFolders+s.lostFolders, terms+len(s.leaders), movedVotes+s.movedVotes
			})
		}
	}
	t.Logf("%d entries committed, %d folders lost, %d votes moved, %d terms", entries, lostFolders, movedVotes, terms)
	if *seed == 0 && (entries < 100 || lostFolders < 2 || movedVotes < 2) {
		t.Fatalf("too few events: %d entries committed, %d folders lost, %d votes moved", entries, lostFolders, movedVotes)
	}
}
