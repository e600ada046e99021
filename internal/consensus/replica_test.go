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
	seeds = flag.Int("seeds", 2, "drawn runs of each kind of stepped cluster")
	seed  = flag.Uint64("seed", 0, "only this one")
)

// drawn is crypto/rand's source in stepped tests, so that a seed says everything.
type drawn struct {
	mu sync.Mutex
	r  *rand.ChaCha8
}

func (d *drawn) Read(b []byte) (int, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.r.Read(b)
}

// rig is a cluster without sockets, clock or goroutines: packets lie in a bag, and time passes where the test says.
type rig struct {
	t     *testing.T
	r     *rand.Rand
	boxes []*box
	bag   []packet
	cut   map[[2]int]bool // one way
	loss  int             // of 100 packets

	line    int
	settled map[string]bool   // told to the proposer as settled
	order   map[uint64]string // by entry: the same at all
	terms   map[uint64]uint64 // who led
	waits   []wait
	lost    int // folders, so far
	moved   int // votes given to another
}

type packet struct {
	from, to int
	founding uint64
	body     []byte
}

type wait struct {
	w       waiter
	line    string   // proposed; "" for a question
	box     *box     // asked
	before  []string // settled when it was asked
	machine *notes
}

// box is one member: what is on its disk, and what runs.
type box struct {
	i       int
	cfg     Config
	st      *store
	c       *replica
	m       *notes
	reached uint64
	full    bool // its disk
	stopped bool // the process stands still
	names   map[uint64]int
	jobs    []storeJob // not written yet
}

// notes is a machine that looks for what must not be.
type notes struct {
	rig  *rig
	at   uint64
	has  map[string]bool
	all  []string
	name string
}

func (n *notes) Apply(index uint64, entry []byte) {
	line := string(entry)
	if was, ok := n.rig.order[index]; ok && was != line {
		n.rig.t.Fatalf("%s has %q as entry %d, others %q", n.name, line, index, was)
	}
	if index <= n.at {
		n.rig.t.Fatalf("%s applies entry %d after %d", n.name, index, n.at)
	}
	n.rig.order[index], n.at, n.has[line] = line, index, true
	n.all = append(n.all, line)
}

func (n *notes) Snapshot() []byte {
	var b []byte
	for _, l := range n.all {
		b = append(append(b, l...), '\n')
	}
	return b
}

func (n *notes) Restore(index uint64, snapshot []byte) error {
	n.at, n.has, n.all = index, map[string]bool{}, nil
	for len(snapshot) > 0 {
		i := slices.Index(snapshot, '\n')
		n.has[string(snapshot[:i])], n.all, snapshot = true, append(n.all, string(snapshot[:i])), snapshot[i+1:]
	}
	return nil
}

func newRig(t *testing.T, seed uint64, candidates, voters int) *rig {
	t.Helper()
	var key [32]byte
	key[0], key[1], key[2] = byte(seed), byte(seed>>8), byte(candidates)
	old := crand.Reader
	crand.Reader = io.Reader(&drawn{r: rand.NewChaCha8(key)})
	r := &rig{
		t:       t,
		r:       rand.New(rand.NewPCG(seed, uint64(candidates))),
		cut:     map[[2]int]bool{},
		settled: map[string]bool{},
		order:   map[uint64]string{},
		terms:   map[uint64]uint64{},
	}
	var list []Candidate
	for i := range candidates {
		list = append(
			list,
			Candidate{Name: fmt.Sprintf("m%d", i), Zone: string(rune('A' + i%3)), Addr: fmt.Sprintf("10.0.0.%d:7100", i+1)},
		)
	}
	dir := t.TempDir()
	for i := range candidates {
		cfg, err := Config{
			Cluster:       "rig",
			Name:          list[i].Name,
			Listen:        list[i].Addr,
			Candidates:    list,
			Voters:        voters,
			Folder:        filepath.Join(dir, list[i].Name),
			SnapshotEvery: 12,
			KeepEntries:   5,
			ReplaceAfter:  6 * time.Second,
		}.withDefaults()
		if err != nil {
			t.Fatal(err)
		}
		b := &box{i: i, cfg: cfg}
		r.boxes = append(r.boxes, b)
		r.start(b)
	}
	t.Cleanup(func() {
		for _, b := range r.boxes {
			r.kill(b)
		}
		crand.Reader = old
	})
	return r
}

// start opens the folder, and runs where it has been founded.
func (r *rig) start(b *box) {
	b.m, b.reached, b.names = &notes{rig: r, has: map[string]bool{}, name: b.cfg.Name}, 0, map[uint64]int{}
	r.open(b)
}

func (r *rig) open(b *box) {
	st, err := openStore(b.cfg.Folder, b.cfg.Cluster, b.cfg.Name, func() error {
		if b.full {
			return syscall.ENOSPC
		}
		return nil
	})
	var cant *UnwritableFolder
	if errors.As(err, &cant) && b.full {
		return
	}
	if err != nil {
		r.t.Fatal(err)
	}
	st.db.NoSync, st.db.NoGrowSync = true, true // nothing ends here but by its own doing
	b.st = st
	r.run(b)
}

func (r *rig) run(b *box) {
	if b.st.header.Bootstrap.ID == 0 {
		return
	}
	var err error
	if b.c, err = newReplica(&b.cfg, b.st, b.m, &b.reached, slog.New(slog.DiscardHandler)); err != nil {
		r.t.Fatal(err)
	}
}

func (r *rig) kill(b *box) {
	if b.c != nil {
		b.c.failWaiters(&UnknownOutcome{Cause: &Closed{}}, &NotLeader{})
	}
	if b.st != nil {
		b.st.close()
	}
	b.c, b.st, b.stopped, b.jobs = nil, nil, false, nil
}

// seek is what a member with a fresh folder does.
func (r *rig) seek(b *box) {
	drawn := SelectVoters(b.cfg.Candidates, b.cfg.Voters)
	if !slices.ContainsFunc(drawn, func(c Candidate) bool { return c.Name == b.cfg.Name }) {
		return
	}
	said := map[string]memberStatus{}
	for _, o := range r.boxes {
		if o != b && r.hears(b.i, o.i) {
			said[o.cfg.Name] = memberStatus{Name: o.cfg.Name, ID: o.st.header.ID, Bootstrap: o.st.header.Bootstrap}
		}
	}
	switch step := decideBootstrap(b.cfg.Cluster, drawn, b.cfg.Name, b.st.header.ID, said); {
	case step.Begin != nil:
		r.begin(b, *step.Begin)
	case step.Rejoin:
		for _, o := range r.boxes {
			if !r.hears(b.i, o.i) || o.c == nil || !o.c.isLeader() {
				continue
			}
			s := member{ID: b.st.header.ID, Name: b.cfg.Name, Addr: b.cfg.Listen}
			for id, x := range o.c.members {
				if x.Name == s.Name && id != s.ID {
					s.Replaces = id
				}
			}
			if s.Replaces != 0 {
				o.c.addRequest(memberRequest{Member: s})
				r.begin(b, bootstrap{ID: o.st.header.Bootstrap.ID})
				return
			}
		}
	}
}

func (r *rig) begin(b *box, f bootstrap) {
	if err := b.st.recordBootstrap(f); err != nil {
		r.kill(b)
		return
	}
	r.run(b)
}

func (r *rig) tick(b *box) {
	switch {
	case b.st == nil && b.m != nil && !b.full && b.names != nil: // its disk was full
		r.open(b)
		return
	case b.st == nil || b.stopped:
		return
	case b.c == nil:
		if r.r.IntN(4) == 0 {
			r.seek(b)
		}
		return
	}
	b.c.tick()
	if b.c.ticks%5 == 0 {
		switch step := b.c.nextChange(); step.Kind {
		case noChange:
		case findCandidate:
			r.look(b, step.Member.Replaces)
		default:
			if step.Kind == promoteLearner {
				r.moved++
			}
			b.c.proposeChange(step)
		}
		if r.release(b); b.c == nil {
			return
		}
	}
	r.work(b)
}

// release begins anew where the leader doesn't know this one's seat, as askSeat does.
func (r *rig) release(b *box) {
	if b.c.softState.Lead != 0 || b.c.ticks%(8*electionTicks) != 0 {
		return
	}
	for _, o := range r.boxes {
		if o.c != nil && o.c.isLeader() && r.hears(b.i, o.i) && r.majority(o) {
			_, has := o.c.members[b.st.header.ID]
			if !has && !slices.ContainsFunc(o.c.requests, func(x queuedRequest) bool { return x.Member.ID == b.st.header.ID }) &&
				o.st.header.Bootstrap.ID == b.st.header.Bootstrap.ID {
				b.c.failWaiters(&UnknownOutcome{}, &NotLeader{})
				b.c, b.jobs = nil, nil
				if b.st.reset() != nil {
					r.kill(b)
				}
				return
			}
		}
	}
}

// majority tells whether o leads beyond doubt: nobody has a later term.
func (r *rig) majority(o *box) bool {
	return !slices.ContainsFunc(r.boxes, func(b *box) bool { return b.st != nil && b.st.header.Term > o.st.header.Term })
}

func (r *rig) look(b *box, instead uint64) {
	for _, o := range r.boxes {
		if _, has := memberByName(b.c.members, o.cfg.Name); has || o == b || !r.hears(b.i, o.i) {
			continue
		}
		if o.c == nil && o.st.header.Bootstrap.ID == 0 {
			r.begin(o, bootstrap{ID: b.st.header.Bootstrap.ID})
		}
		if o.st != nil && o.st.header.Bootstrap.ID == b.st.header.Bootstrap.ID {
			b.c.addRequest(
				memberRequest{Member: member{ID: o.st.header.ID, Name: o.cfg.Name, Addr: o.cfg.Listen, Replaces: instead}},
			)
			return
		}
	}
}

func (r *rig) work(b *box) {
	msgs, jobs, err := b.c.advance()
	if err != nil {
		r.t.Fatalf("%s: %v", b.cfg.Name, err)
	}
	r.send(b, msgs)
	if b.jobs = append(b.jobs, jobs...); r.r.IntN(3) > 0 {
		r.write(b)
	}
	if b.c == nil {
		return
	}
	if b.c.isLeader() {
		if who, ok := r.terms[b.c.term]; ok && who != b.st.header.ID {
			r.t.Fatalf("two leaders in term %d", b.c.term)
		}
		r.terms[b.c.term] = b.st.header.ID
	}
	r.waits = slices.DeleteFunc(r.waits, func(w wait) bool {
		select {
		case o := <-w.w:
			if o.err != nil {
				return true
			}
			if w.line != "" {
				r.settled[w.line] = true
				return true
			}
			for _, line := range w.before {
				if !w.machine.has[line] {
					r.t.Fatalf("%s was confirmed as leader without %q, which had been settled before", w.box.cfg.Name, line)
				}
			}
			return true
		default:
			return false
		}
	})
}

// write does some of what is to be written to a folder; the rest is still under way.
func (r *rig) write(b *box) {
	for n := r.r.IntN(len(b.jobs) + 1); n > 0; n-- {
		j := b.jobs[0]
		b.jobs = b.jobs[1:]
		if err := j.run(b.st); err != nil {
			var cant *UnwritableFolder
			if !errors.As(err, &cant) || !b.full {
				r.t.Fatalf("%s: %v", b.cfg.Name, err)
			}
			r.kill(b) // the process goes on, with its machine; the folder is opened anew once there is room
			return
		}
		msgs, err := b.c.jobWritten(j)
		if err != nil {
			r.t.Fatal(err)
		}
		r.send(b, msgs)
	}
}

func (r *rig) propose(b *box) {
	if b.c == nil || b.stopped {
		return
	}
	w := wait{w: make(waiter, 1), box: b, machine: b.m}
	if r.r.IntN(3) > 0 {
		r.line++
		w.line = fmt.Sprint("line ", r.line)
		b.c.propose([]byte(w.line), w.w)
	} else {
		for line := range r.settled {
			w.before = append(w.before, line)
		}
		b.c.confirm(w.w)
	}
	r.waits = append(r.waits, w)
	r.work(b)
}

// pass has time pass for all.
func (r *rig) pass() {
	for _, b := range r.boxes {
		r.tick(b)
		for range 3 {
			r.deliver()
		}
	}
	for range len(r.bag) / 2 {
		r.deliver()
	}
}

// TestStepped draws faults of all kinds against clusters: what was told as settled stays, in the same order at all;
// two never lead in one term; a leader that was confirmed has all that was settled before; and all are even in the
// end.
func TestStepped(t *testing.T) {
	var lines, lost, terms, moved int
	for _, size := range [][2]int{{1, 1}, {3, 3}, {5, 3}, {5, 5}, {7, 5}} {
		for s := uint64(1); s <= uint64(*seeds); s++ {
			if *seed != 0 && s != 1 {
				break
			}
			draw := max(*seed, s)
			if *seed != 0 {
				draw = *seed
			}
			t.Run(fmt.Sprintf("%d of %d, seed %d", size[1], size[0], draw), func(t *testing.T) {
				r := newRig(t, draw, size[0], size[1])
				for range 40 {
					for range 5 + r.r.IntN(40) {
						r.pass()
						for range 2 {
							r.propose(r.boxes[r.r.IntN(len(r.boxes))])
						}
					}
					r.trouble()
				}
				r.heal()
				lines, lost, terms, moved = lines+len(r.settled), lost+r.lost, terms+len(r.terms), moved+r.moved
			})
		}
	}
	t.Logf("%d entries settled, %d folders lost, %d votes moved, %d terms", lines, lost, moved, terms)
	if *seed == 0 && (lines < 100 || lost < 2 || moved < 2) {
		t.Fatalf("little was tried: %d entries settled, %d folders lost, %d votes moved", lines, lost, moved)
	}
}
