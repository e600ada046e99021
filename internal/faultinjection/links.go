package faultinjection

import (
	"math/rand/v2"
	"strings"
	"sync"
	"time"

	"oatloft/internal/edgeconfig"
	"oatloft/internal/fake"
	"oatloft/internal/revision"
	"oatloft/internal/rules"
)

// This file owns what a fault run with links adds: two zones, the table of links between them that revisions set, terminals of a bulk
// class that send as fast as they are let, and the ledger of what has come over a link, counted at its far end: by regions what
// came from terminals, by terminals what came from regions.

const (
	east, west = "east", "west"
	linkBytes  = 60e3 // a second
	leastChat  = 0.3
	leastBulk  = 0.4
	safePart   = 0.1
	pourPiece  = 1024
	poursAt    = 2                     // bulk terminals of each balancer, each of which sends
	pourEach   = 15 * time.Millisecond // a piece: 68 kB a second, more than the link by itself
)

// zone is where balancer i stands: every other one in the east, where links are on.
func (w *Scenario) zone(i int) string {
	switch {
	case !w.options.Links:
		return "here"
	case i%2 == 0:
		return east
	}
	return west
}

// site puts the regions into zones: most of them in the west, so that what comes in the east has to cross.
func (w *Scenario) site() {
	for j, r := range w.Regions {
		if r.Zone = west; j == len(w.Regions)-1 && j > 1 {
			r.Zone = east
		}
		w.Discovery.Tell(r.Name, "ready")
	}
	w.ledger = newLedger()
	w.Carried = func(by, region, class string, n int) {
		if by == "" {
			return
		}
		if from, to := w.zoneOf(by), w.zoneOf(region); from != to {
			w.ledger.add(from+">"+to, class, w.Now(), n)
		}
	}
}

// zoneOf is the zone of a balancer or region.
func (w *Scenario) zoneOf(name string) string {
	for _, r := range w.Regions {
		if r.Name == name {
			return r.Zone
		}
	}
	for i := range w.Schedule.Balancers {
		if w.name(i) == name {
			return w.zone(i)
		}
	}
	return ""
}

// table is a revision's table of links, of one size.
func (w *Scenario) table(bytes float64) []revision.Link {
	classes := []revision.LinkClass{{Name: "chat", Priority: 1, MinShare: leastChat, Weight: 1}, {Name: "bulk", Priority: 2, MinShare: leastBulk, Weight: 1}}
	return []revision.Link{{From: east, To: west, Bytes: bytes, Classes: classes}, {From: west, To: east, Bytes: bytes, Classes: classes}}
}

func (w *Scenario) linksSection() *edgeconfig.Links {
	return &edgeconfig.Links{SafePart: safePart, Lease: edgeconfig.Duration(w.options.Lease), Buffer: 64 << 10}
}

// pour starts the bulk terminals.
func (w *Scenario) pour() {
	for i := range w.Schedule.Balancers {
		for n := range poursAt {
			w.asking.Add(1)
			w.Go(func() { defer w.asking.Done(); w.bulk(i, rand.New(rand.NewPCG(uint64(i), uint64(n)))) })
		}
	}
}

func (w *Scenario) bulk(i int, rng *rand.Rand) {
	for pause(w.stop, time.Duration(50+rng.IntN(200))*time.Millisecond) {
		since := w.Now()
		t, err := w.Connect("", w.addr(linksIn+i+1, 1, terminalPort))
		if err != nil {
			continue
		}
		t.By = w.name(i)
		t.Excuse, t.After = w.excuse(i, since), listenOn
		a := t.Open(fake.Ask{Key: "bulk" + t.ID, Class: "bulk"})
		if a.What == "UP" {
			w.pourOver(t, i, since, strings.TrimPrefix(a.Line, "UP "), rng)
		}
		t.Break()
	}
}

func (w *Scenario) pourOver(t *fake.Terminal, i int, since time.Duration, receipt string, rng *rand.Rand) {
	region, _, _ := strings.Cut(receipt, "-")
	from, to := w.zoneOf(region), w.zone(i)
	stop, over := make(chan struct{}), make(chan struct{})
	most := time.Duration(4000+rng.IntN(4000)) * time.Millisecond // drawn here: the goroutine below can outlive this call
	go func() {
		defer close(stop)
		select {
		case <-w.stop:
		case <-over:
		case <-time.After(most):
		}
	}()
	p := w.ledger.pours(w.Now(), from != to)
	each := pourEach
	if from == to { // nothing bounds it
		each *= 10
	}
	err := t.Pour(pourPiece, each, stop, func(n int) {
		p.took(w.Now(), n)
		if from != to {
			w.ledger.add(from+">"+to, "bulk", w.Now(), n)
		}
	})
	close(over)
	p.ends(w.Now())
	select {
	case <-stop:
		return
	default:
	}
	switch {
	case err == fake.ErrMoved, w.troubled(i, since), w.regionFaults(since):
	case err != nil:
		w.Saw(rules.Lost, t.ID, "", w.name(i)+": bulk: "+err.Error())
	}
}

// slot is the ledger's resolution.
const slot = 50 * time.Millisecond

// ledger holds the bytes that came over links, by slots of time, and the terminals that poured.
type ledger struct {
	mu    sync.Mutex
	bytes map[string]map[int]int            // by link, slot
	by    map[string]map[string]map[int]int // by link, class, slot
	list  []*bulkTransfer
}

type bulkTransfer struct {
	mu       sync.Mutex
	from, to time.Duration
	crosses  bool
	last     time.Duration // bytes came
	gaps     []span        // without any, for more than a moment
}

func newLedger() *ledger {
	return &ledger{bytes: map[string]map[int]int{}, by: map[string]map[string]map[int]int{}}
}

func (l *ledger) add(link, class string, at time.Duration, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytes[link] == nil {
		l.bytes[link], l.by[link] = map[int]int{}, map[string]map[int]int{}
	}
	if l.by[link][class] == nil {
		l.by[link][class] = map[int]int{}
	}
	l.bytes[link][int(at/slot)] += n
	l.by[link][class][int(at/slot)] += n
}

// sum is what came over a link of a class, or of all for "", from one time to another.
func (l *ledger) sum(link, class string, from, to time.Duration) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	of := l.bytes[link]
	if class != "" {
		of = l.by[link][class]
	}
	for s := int(from / slot); s < int(to/slot); s++ {
		n += of[s]
	}
	return n
}

func (l *ledger) pours(at time.Duration, crosses bool) *bulkTransfer {
	p := &bulkTransfer{from: at, to: forEver, last: at, crosses: crosses}
	l.mu.Lock()
	l.list = append(l.list, p)
	l.mu.Unlock()
	return p
}

func (p *bulkTransfer) took(at time.Duration, n int) {
	p.mu.Lock()
	p.gap(at)
	p.last = at
	p.mu.Unlock()
}

func (p *bulkTransfer) ends(at time.Duration) {
	p.mu.Lock()
	p.gap(at)
	p.to = at
	p.mu.Unlock()
}

func (p *bulkTransfer) gap(at time.Duration) {
	if at-p.last > 500*time.Millisecond {
		p.gaps = append(p.gaps, span{p.last, at})
	}
}

// longest is how long no bytes came at most, within a time.
func (p *bulkTransfer) longest(from, to time.Duration) (d time.Duration) {
	for _, g := range append(p.gaps, span{p.last, to}) {
		d = max(d, min(g.to, to)-max(g.from, from))
	}
	return d
}
