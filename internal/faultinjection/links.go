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

// This file holds what a fault run with links adds: two zones, the table of links between them that revisions set,
// clients of a bulk class that send as fast as they are allowed to, and the ledger of the bytes that crossed a link.
// Bytes are counted at the receiver: by servers for bytes from clients, by clients for bytes from servers.

const (
	east, west             = "east", "west"
	linkBytes              = 60e3 // capacity of a link, bytes per second
	chatShare              = 0.3  // of a link's capacity, guaranteed to class chat
	bulkShare              = 0.4  // of a link's capacity, guaranteed to class bulk
	safeShare              = 0.1  // safe_part of the links section
	bulkChunkBytes         = 1024
	bulkClientsPerBalancer = 2                     // each of which sends
	bulkInterval           = 15 * time.Millisecond // between chunks: 68 kB/s, more than the link's capacity
)

// zone returns the zone of balancer i: with links, every other one is in the east.
func (w *Scenario) zone(i int) string {
	switch {
	case !w.options.Links:
		return "here"
	case i%2 == 0:
		return east
	}
	return west
}

// placeServers assigns the servers to zones: most of them to the west, so that requests to balancers in the east have
// to cross a link.
func (w *Scenario) placeServers() {
	for j, r := range w.Servers {
		if r.Zone = west; j == len(w.Servers)-1 && j > 1 {
			r.Zone = east
		}
		w.Discovery.Tell(r.Name, "ready")
	}
	w.ledger = newLedger()
	w.Carried = func(by, server, class string, n int) {
		if by == "" {
			return
		}
		if from, to := w.zoneOf(by), w.zoneOf(server); from != to {
			w.ledger.add(from+">"+to, class, w.Now(), n)
		}
	}
}

// zoneOf returns the zone of a balancer or server.
func (w *Scenario) zoneOf(name string) string {
	for _, r := range w.Servers {
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

// linkTable returns a revision's table of links, each with a capacity of bytes per second.
func (w *Scenario) linkTable(bytes float64) []revision.Link {
	classes := []revision.LinkClass{{Name: "chat", Priority: 1, MinShare: chatShare, Weight: 1},
		{Name: "bulk", Priority: 2, MinShare: bulkShare, Weight: 1}}
	return []revision.Link{{From: east, To: west, Bytes: bytes, Classes: classes},
		{From: west, To: east, Bytes: bytes, Classes: classes}}
}

func (w *Scenario) linksSection() *edgeconfig.Links {
	return &edgeconfig.Links{SafePart: safeShare, Lease: edgeconfig.Duration(w.options.Lease), Buffer: 64 << 10}
}

// startBulkClients starts the clients of class bulk.
func (w *Scenario) startBulkClients() {
	for i := range w.Schedule.Balancers {
		for n := range bulkClientsPerBalancer {
			w.clients.Add(1)
			w.Go(func() { defer w.clients.Done(); w.runBulkClient(i, rand.New(rand.NewPCG(uint64(i), uint64(n)))) })
		}
	}
}

func (w *Scenario) runBulkClient(i int, rng *rand.Rand) {
	for pause(w.stop, time.Duration(50+rng.IntN(200))*time.Millisecond) {
		since := w.Now()
		t, err := w.Connect("", w.addr(linksIn+i+1, 1, clientPort))
		if err != nil {
			continue
		}
		t.By = w.name(i)
		t.Excuse, t.After = w.excuse(i, since), lateAnswerWait
		a := t.Open(fake.Request{Key: "bulk" + t.ID, Class: "bulk"})
		if a.What == "UP" {
			w.sendBulk(t, i, since, strings.TrimPrefix(a.Line, "UP "), rng)
		}
		t.Break()
	}
}

func (w *Scenario) sendBulk(t *fake.Client, i int, since time.Duration, receipt string, rng *rand.Rand) {
	server, _, _ := strings.Cut(receipt, "-")
	from, to := w.zoneOf(server), w.zone(i)
	stop, over := make(chan struct{}), make(chan struct{})
	// Generated here since the goroutine below can outlive this call.
	longest := time.Duration(4000+rng.IntN(4000)) * time.Millisecond
	go func() {
		defer close(stop)
		select {
		case <-w.stop:
		case <-over:
		case <-time.After(longest):
		}
	}()
	transfer := w.ledger.startTransfer(w.Now(), from != to)
	interval := bulkInterval
	if from == to { // no link bounds the rate
		interval *= 10
	}
	err := t.Pour(bulkChunkBytes, interval, stop, func(n int) {
		transfer.receive(w.Now(), n)
		if from != to {
			w.ledger.add(from+">"+to, "bulk", w.Now(), n)
		}
	})
	close(over)
	transfer.end(w.Now())
	select {
	case <-stop:
		return
	default:
	}
	switch {
	case err == fake.ErrMoved, w.disturbedSince(i, since), w.serverLinksDisturbedSince(since):
	case err != nil:
		w.Saw(rules.Lost, t.ID, "", w.name(i)+": bulk: "+err.Error())
	}
}

// slotLength is the ledger's resolution.
const slotLength = 50 * time.Millisecond

// ledger holds the bytes that crossed links, by slots of time, and the bulk transfers.
type ledger struct {
	mu        sync.Mutex
	bytes     map[string]map[int]int            // by link and slot
	byClass   map[string]map[string]map[int]int // by link, class and slot
	transfers []*bulkTransfer
}

// bulkTransfer is one connection of a bulk client.
type bulkTransfer struct {
	mu       sync.Mutex
	from, to time.Duration
	crosses  bool
	last     time.Duration // bytes were last received
	gaps     []span        // periods of more than 500 ms without a byte
}

func newLedger() *ledger {
	return &ledger{bytes: map[string]map[int]int{}, byClass: map[string]map[string]map[int]int{}}
}

func (l *ledger) add(link, class string, at time.Duration, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.bytes[link] == nil {
		l.bytes[link], l.byClass[link] = map[int]int{}, map[string]map[int]int{}
	}
	if l.byClass[link][class] == nil {
		l.byClass[link][class] = map[int]int{}
	}
	l.bytes[link][int(at/slotLength)] += n
	l.byClass[link][class][int(at/slotLength)] += n
}

// sum returns the bytes of a class, or of all for "", that crossed a link in a period.
func (l *ledger) sum(link, class string, from, to time.Duration) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	of := l.bytes[link]
	if class != "" {
		of = l.byClass[link][class]
	}
	for s := int(from / slotLength); s < int(to/slotLength); s++ {
		n += of[s]
	}
	return n
}

func (l *ledger) startTransfer(at time.Duration, crosses bool) *bulkTransfer {
	p := &bulkTransfer{from: at, to: unbounded, last: at, crosses: crosses}
	l.mu.Lock()
	l.transfers = append(l.transfers, p)
	l.mu.Unlock()
	return p
}

func (p *bulkTransfer) receive(at time.Duration, n int) {
	p.mu.Lock()
	p.noteGap(at)
	p.last = at
	p.mu.Unlock()
}

func (p *bulkTransfer) end(at time.Duration) {
	p.mu.Lock()
	p.noteGap(at)
	p.to = at
	p.mu.Unlock()
}

func (p *bulkTransfer) noteGap(at time.Duration) {
	if at-p.last > 500*time.Millisecond {
		p.gaps = append(p.gaps, span{p.last, at})
	}
}

// longestGap returns the longest time without a byte in a period.
func (p *bulkTransfer) longestGap(from, to time.Duration) (d time.Duration) {
	for _, g := range append(p.gaps, span{p.last, to}) {
		d = max(d, min(g.to, to)-max(g.from, from))
	}
	return d
}
