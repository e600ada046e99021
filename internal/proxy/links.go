// The bytes that cross a bounded link between two zones, on their way through this balancer. This file owns when they are read: a side
// whose link has no room is left unread until its turn, so that its sender is held back by its own connection. It must never drop, reorder
// or copy a byte that it could leave in the socket, nor let one side's waiting hold up another's. Whose turn it is says internal/bandwidth.
// Off, each read costs one comparison with nil.

package proxy

import (
	"errors"
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"oatloft/internal/bandwidth"
	"oatloft/internal/core"
	"oatloft/internal/revision"
)

// linkage is what this balancer has to do with links between zones. Its first part belongs to the loop.
type linkage struct {
	s       *Server
	zone    string
	buffer  int                 // bytes that the system may keep of a region's that isn't read
	zones   map[string][2]*pipe // by the other zone: from here to there, and back
	shares  map[string]float64
	part    *bandwidth.Part
	pipes   atomic.Pointer[[]*pipe]
	bell    chan struct{}
	stop    chan struct{}
	tellAt  time.Time
	stopped sync.WaitGroup
	turns   atomic.Int64
}

// pipe is one link in its direction. Its lock is held for moments, and nothing else is locked under it.
type pipe struct {
	k     *linkage
	link  revision.Link
	mu    sync.Mutex
	sh    *bandwidth.Shaper[*link]
	lanes map[[2]string]*lane
}

// lane is where bytes of one class and tenant wait for a pipe.
type lane struct {
	p    *pipe
	flow *bandwidth.Flow[*link]
}

// newLinkage has s ready for bounded links; there is none before setLinks. What comes back in part is what the others are to be asked by.
func newLinkage(s *Server, set bandwidth.Settings, buffer int) (*linkage, error) {
	part, err := bandwidth.NewPart(set)
	if err != nil {
		return nil, err
	}
	k := &linkage{s: s, zone: s.cfg.Core.Policy.Zone, buffer: buffer, part: part, shares: map[string]float64{},
		bell: make(chan struct{}, 1), stop: make(chan struct{})}
	k.pipes.Store(new([]*pipe))
	part.Bind(k.measure, k.lent, func(err error) {
		s.said.Say(time.Now(), slog.LevelWarn, "links", "links keep their safe parts", slog.Any("err", err))
	})
	k.stopped.Add(1)
	go k.pace()
	return k, nil
}

func (k *linkage) close() {
	close(k.stop)
	k.stopped.Wait()
}

// setLinks takes the table of the revision that is in force. Connections that stand are held to it from now on.
func (s *Server) setLinks(table []revision.Link) {
	k := s.links
	if k == nil {
		return
	}
	k.shares = map[string]float64{} // a new one: others read the old one
	tenants, most := s.overlaid(s.cfg.Core.Policy).Tenants, 0.0
	for _, t := range tenants {
		most = max(most, t.ConnectionQuota)
	}
	for _, t := range tenants {
		k.shares[t.Name] = t.ConnectionQuota
		if t.ConnectionQuota == 0 { // without a limit: as the largest
			k.shares[t.Name] = most
		}
	}
	now, before := s.now(), *k.pipes.Load()
	k.part.SetTable(table, k.shares)
	zones, all := map[string][2]*pipe{}, make([]*pipe, 0, len(table))
	for _, l := range table {
		way, other := 0, l.To
		if l.To == k.zone {
			way, other = 1, l.From
		}
		if (l.From == k.zone) == (l.To == k.zone) {
			continue
		}
		p := &pipe{k: k, sh: bandwidth.NewShaper[*link](now), lanes: map[[2]string]*lane{}}
		if i := slices.IndexFunc(before, func(p *pipe) bool { return p.link.From == l.From && p.link.To == l.To }); i >= 0 {
			p = before[i]
		}
		p.mu.Lock()
		p.link = l
		p.sh.SetLink(now, l, k.part.Safe(l.Bytes), k.shares)
		p.mu.Unlock()
		both := zones[other]
		both[way] = p
		zones[other], all = both, append(all, p)
	}
	k.zones = zones
	k.pipes.Store(&all)
	for _, t := range s.terminals {
		if t.up {
			k.attach(t)
		}
	}
	k.ring()
}

// attach has both sides of a transaction that is up read by the links that they cross, or freely.
func (k *linkage) attach(t *terminal) {
	var lanes [2]*lane
	if t.task != nil {
		for way, p := range k.zones[k.s.core.ZoneOf(t.task.region)] {
			if p != nil {
				lanes[way] = p.lane(t)
			}
		}
		t.task.knows()
		t.task.passBy(lanes[1])
	}
	t.l.passBy(lanes[0])
}

const tellEvery = 20 * time.Millisecond

// ticked tells the reducer whose region is not to blame for its silence.
func (k *linkage) ticked(now time.Time) {
	if now.Before(k.tellAt) {
		return
	}
	k.tellAt = now.Add(tellEvery)
	for _, both := range k.zones {
		if both[1] == nil {
			continue
		}
		both[1].mu.Lock()
		waiting := both[1].sh.Waiting()
		both[1].mu.Unlock()
		if waiting == 0 {
			continue
		}
		for _, t := range k.s.terminals {
			if t.up && t.task != nil && t.task.waits() {
				k.s.step(core.ServerDataQueued{Client: t.handle})
			}
		}
		return
	}
}

// waits tells whether the link's bytes wait for their turn.
func (l *link) waits() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.held != nil
}

// sentTo and cameFrom count what passes while a connection is set up, which isn't held back.
func (k *linkage) sentTo(t *terminal, region string, n int)   { k.owe(t, region, 0, n) }
func (k *linkage) cameFrom(t *terminal, region string, n int) { k.owe(t, region, 1, n) }

func (k *linkage) owe(t *terminal, region string, way, n int) {
	if p := k.zones[k.s.core.ZoneOf(region)][way]; p != nil {
		g := p.lane(t)
		p.mu.Lock()
		p.sh.Owe(k.s.now(), g.flow, n)
		p.mu.Unlock()
	}
}

// begin has a routed task read by its link from the start, before anybody else knows of it. What the system keeps of it unread is little:
// that has crossed the link already.
func (k *linkage) begin(l *link) {
	if p := k.zones[k.s.core.ZoneOf(l.region)][1]; p != nil {
		l.lane, l.narrow = p.lane(l.term), k.buffer
	}
}

func (l *link) readBuffer() int {
	if l != nil && l.narrow > 0 {
		return l.narrow
	}
	return socketBuffer
}

// narrowed sets a small buffer before the connection is made, nil if there is none to set: later the other side has been told of more.
func (l *link) narrowed() func(network, addr string, c syscall.RawConn) error {
	if l.narrow == 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, l.narrow) })
	}
}

// lane is that of a terminal's class and tenant. Tenants that nobody has heard of share one.
func (p *pipe) lane(t *terminal) *lane {
	of := [2]string{t.open.Class, t.open.Tenant}
	if _, ok := p.k.shares[of[1]]; !ok {
		of[1] = ""
	}
	g := p.lanes[of]
	if g == nil {
		p.mu.Lock()
		g = &lane{p, p.sh.Flow(of[0], of[1])}
		p.mu.Unlock()
		p.lanes[of] = g
	}
	return g
}

// take asks for l's turn. Where it isn't, l waits for it.
func (g *lane) take(l *link, most int) int {
	now := l.s.now()
	g.p.mu.Lock()
	n := g.p.sh.Take(now, g.flow, most)
	first := false
	if n == 0 {
		g.p.sh.Wait(now, g.flow, l)
		first = g.p.sh.Waiting() == 1
	}
	g.p.mu.Unlock()
	if first {
		g.p.k.ring()
	}
	return n
}

func (g *lane) giveBack(n int) {
	if n > 0 {
		g.p.mu.Lock()
		g.p.sh.Return(g.flow, n)
		g.p.mu.Unlock()
	}
}

func (k *linkage) ring() {
	select {
	case k.bell <- struct{}{}:
	default:
	}
}

type turn struct {
	l *link
	g *lane
	n int
}

const turnsAtOnce = 64 // of one pipe, before another has its own

// pace gives turns by the clock, on a goroutine of its own.
func (k *linkage) pace() {
	defer k.stopped.Done()
	timer, alarm := time.NewTimer(time.Hour), newPause() // the runtime's own is up to a millisecond late, which is more than a turn
	defer timer.Stop()
	defer alarm.close()
	exact := alarm.rings(k.ring)
	var list []turn
	for {
		soon := time.Hour
		for _, p := range *k.pipes.Load() {
			list = list[:0]
			p.mu.Lock()
			now := k.s.now()
			for len(list) < turnsAtOnce {
				l, f, n, ok := p.sh.Next(now)
				if !ok {
					break
				}
				list = append(list, turn{l, &lane{p, f}, n})
			}
			p.mu.Unlock()
			k.turns.Add(int64(len(list)))
			for i, t := range list {
				t.l.turn(t.g, t.n)
				list[i] = turn{}
			}
			p.mu.Lock()
			soon = min(soon, p.sh.Soon(k.s.now()))
			p.mu.Unlock()
		}
		if !exact || !alarm.set(soon) {
			timer.Reset(soon)
		}
		select {
		case <-timer.C:
		case <-k.bell:
		case <-k.stop:
			return
		}
	}
}

// passBy has the link read by a lane from now on, nil for freely.
func (l *link) passBy(g *lane) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lane == g {
		return
	}
	l.lane, l.held = g, nil // where it waited its turn comes to nothing
	l.readOn()
}

// turn reads n bytes at most, or leaves them to others if this link has no use for them.
func (l *link) turn(g *lane, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.held == nil || l.held.flow != g.flow {
		g.giveBack(n)
		return
	}
	l.held = nil
	l.turned.Store(true)
	switch {
	case l.ahead != nil:
		l.passAhead(n)
	case l.state != live || l.c == nil || l.paused || l.starved:
		g.giveBack(n)
	case l.s.queue.long():
		g.giveBack(n)
		l.s.queue.starve(l)
	default:
		l.readShaped(false, n)
	}
}

// readShaped takes in what the link has room for, given bytes of it already.
func (l *link) readShaped(poller bool, given int) {
	if poller && hasFin(l.c) {
		l.readAhead()
		return
	}
	for reads := 0; reads < readsAtOnce; reads++ {
		n := given
		given = 0
		switch {
		case l.answering():
			if reads > 0 {
				l.s.queue.starve(l)
				return
			}
			n = answerSize
		case n == 0:
			if n = l.lane.take(l, readSize); n == 0 {
				l.held = l.lane
				return
			}
		}
		buf := buffers.Get().(*[]byte)
		m, err := l.c.Read((*buf)[:n])
		if !l.answering() {
			l.lane.giveBack(n - max(m, 0))
		}
		if m > 0 {
			*buf = (*buf)[:m]
			l.waiting.Add(1)
			l.s.queue.post(event{kind: evData, link: l, data: buf})
			continue
		}
		release(buf)
		if !errors.Is(err, syscall.EINTR) {
			return // nothing is there, or an end that the poller will meet
		}
	}
	l.s.queue.starve(l)
}

const answerSize = 512 // of a region's bytes at a time that are read, and counted later, before it is known whether it takes the task

// answering tells of a routed task whose answer hasn't been seen, and of a terminal whose line has to end: they aren't held back.
func (l *link) answering() bool { return l.role == taskRole && !l.known || l.hurry }

// hurried has a link that passes a bounded one read on without turns, little at a time; it is false where nothing bounds it.
func (l *link) hurried() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lane == nil {
		return false
	}
	l.hurry, l.held, l.paused = true, nil, false
	l.readOn()
	return true
}

// ahead is what was read of a side that has ended: nbio closes the socket then, so that nothing can be left there. It is no more than the
// system's buffer held, and passes on by the link's turns; the end comes behind it.
type ahead struct {
	data []*[]byte
	end  eventKind
}

// readAhead reads a socket to its end, on the poller's goroutine.
func (l *link) readAhead() {
	a := &ahead{end: evEnded}
	for {
		buf := buffers.Get().(*[]byte)
		n, err := l.c.Read(*buf)
		if n > 0 {
			*buf = (*buf)[:n]
			a.data = append(a.data, buf)
			continue
		}
		release(buf)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil && !errors.Is(err, syscall.EAGAIN) {
			a.end = evBroken
		}
		break
	}
	if a.end == evBroken && l.role == terminalRole {
		a.data = nil // nobody is there who waits for what comes of it
	}
	l.ahead, l.held = a, nil
	c := l.c
	if a.end == evBroken || l.role != terminalRole || !l.handOver() {
		l.state = ended
		_ = c.Close()
	}
	l.passAhead(0)
}

// passAhead passes on what was read ahead as far as there is room, given bytes of it already.
func (l *link) passAhead(given int) {
	g, a := l.lane, l.ahead
	for len(a.data) > 0 {
		if l.paused || l.starved || l.s.queue.long() {
			if !l.paused && !l.starved {
				l.s.queue.starve(l)
			}
			break
		}
		buf := a.data[0]
		n := given
		given = 0
		free := g == nil || l.answering()
		switch {
		case g == nil:
			n = len(*buf)
		case free:
			n = answerSize
		case n == 0:
			if n = g.take(l, len(*buf)); n == 0 {
				l.held = g
				return
			}
		}
		if n < len(*buf) {
			part := buffers.Get().(*[]byte)
			*part = (*part)[:copy(*part, (*buf)[:n])]
			*buf = (*buf)[:copy(*buf, (*buf)[n:])]
			buf = part
		} else {
			if !free {
				g.giveBack(n - len(*buf))
			}
			a.data[0], a.data = nil, a.data[1:]
		}
		l.waiting.Add(1)
		l.s.queue.post(event{kind: evData, link: l, data: buf})
		if free && g != nil && len(a.data) > 0 {
			l.s.queue.starve(l)
			break
		}
	}
	if given > 0 && g != nil {
		g.giveBack(given)
	}
	if len(a.data) == 0 {
		l.ahead = nil
		l.s.queue.post(event{kind: a.end, link: l})
	}
}

// measure is what the links' demand was since the last time; lent takes what came of it.
func (k *linkage) measure() (list []bandwidth.Ask) {
	now := k.s.now()
	for _, p := range *k.pipes.Load() {
		p.mu.Lock()
		list = append(list, p.sh.Wants(now))
		p.mu.Unlock()
	}
	return list
}

func (k *linkage) lent(grants []bandwidth.Grant, until time.Time) {
	now := k.s.now()
	for _, p := range *k.pipes.Load() {
		p.mu.Lock()
		for _, g := range grants {
			if g.Link == bandwidth.Name(p.link.From, p.link.To) {
				p.sh.Lend(now, g, until.Sub(k.s.cfg.Zero))
			}
		}
		p.mu.Unlock()
	}
	k.ring()
}

// full names the zones that a full link joins with this one, either way, with the last order of classes that still gets there; orders
// are the classes', 1 for what is worth most. It is called on the loop.
func (k *linkage) full(orders map[string]int) map[string]int {
	var zones map[string]int
	for zone, both := range k.zones {
		last, short := 0, false
		for _, order := range orders {
			last = max(last, order)
		}
		for _, p := range both {
			if p == nil {
				continue
			}
			p.mu.Lock()
			for _, class := range p.sh.Short() {
				if order, ok := orders[class]; ok {
					last, short = min(last, order-1), true
				}
			}
			p.mu.Unlock()
		}
		if short {
			if zones == nil {
				zones = map[string]int{}
			}
			zones[zone] = last
		}
	}
	return zones
}

// report is what the counters' line says of links.
func (k *linkage) report() any {
	now := k.s.now()
	all := struct {
		Turns  int64               `json:"turns"`
		Unread int64               `json:"unread"`
		Links  []bandwidth.Figures `json:"links"`
	}{k.turns.Load(), k.part.Unread(), []bandwidth.Figures{}}
	for _, p := range *k.pipes.Load() {
		p.mu.Lock()
		all.Links = append(all.Links, p.sh.Figures(now))
		p.mu.Unlock()
	}
	return all
}
