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

// zoneLinks is what this balancer has to do with links between zones. Its first part belongs to the loop.
type zoneLinks struct {
	balancer      *Balancer
	zone          string
	receiveBuffer int                     // bytes that the system may keep of a region's that isn't read
	byZone        map[string][2]*zoneLink // by the other zone: from here to there, and back
	shares        map[string]float64
	part          *bandwidth.Part
	all           atomic.Pointer[[]*zoneLink]
	wake          chan struct{}
	stop          chan struct{}
	nextReportAt  time.Time
	stopped       sync.WaitGroup
	turnCount     atomic.Int64
}

// zoneLink is one link in its direction. Its lock is held for moments, and nothing else is locked under it.
type zoneLink struct {
	links  *zoneLinks
	link   revision.Link
	mu     sync.Mutex
	shaper *bandwidth.Shaper[*connection]
	queues map[[2]string]*bandwidthQueue
}

// bandwidthQueue is where bytes of one class and tenant wait for a pipe.
type bandwidthQueue struct {
	link *zoneLink
	flow *bandwidth.Flow[*connection]
}

// newZoneLinks has s ready for bounded links; there is none before setLinks. What comes back in part is what the others are to be asked by.
func newZoneLinks(s *Balancer, set bandwidth.Settings, buffer int) (*zoneLinks, error) {
	part, err := bandwidth.NewPart(set)
	if err != nil {
		return nil, err
	}
	k := &zoneLinks{balancer: s, zone: s.cfg.Core.Policy.Zone, receiveBuffer: buffer, part: part, shares: map[string]float64{},
		wake: make(chan struct{}, 1), stop: make(chan struct{})}
	k.all.Store(new([]*zoneLink))
	part.Bind(k.measure, k.applyGrants, func(err error) {
		s.limitedLog.Say(time.Now(), slog.LevelWarn, "links", "links keep their safe parts", slog.Any("err", err))
	})
	k.stopped.Add(1)
	go k.giveTurns()
	return k, nil
}

func (k *zoneLinks) close() {
	close(k.stop)
	k.stopped.Wait()
}

// setLinks takes the table of the revision that is in force. Connections that stand are held to it from now on.
func (s *Balancer) setLinks(table []revision.Link) {
	k := s.zoneLinks
	if k == nil {
		return
	}
	k.shares = map[string]float64{} // a new one: others read the old one
	tenants, most := s.overlay(s.cfg.Core.Policy).Tenants, 0.0
	for _, t := range tenants {
		most = max(most, t.ConnectionQuota)
	}
	for _, t := range tenants {
		k.shares[t.Name] = t.ConnectionQuota
		if t.ConnectionQuota == 0 { // without a limit: as the largest
			k.shares[t.Name] = most
		}
	}
	now, before := s.now(), *k.all.Load()
	k.part.SetTable(table, k.shares)
	zones, all := map[string][2]*zoneLink{}, make([]*zoneLink, 0, len(table))
	for _, l := range table {
		way, other := 0, l.To
		if l.To == k.zone {
			way, other = 1, l.From
		}
		if (l.From == k.zone) == (l.To == k.zone) {
			continue
		}
		p := &zoneLink{links: k, shaper: bandwidth.NewShaper[*connection](now), queues: map[[2]string]*bandwidthQueue{}}
		if i := slices.IndexFunc(before, func(p *zoneLink) bool { return p.link.From == l.From && p.link.To == l.To }); i >= 0 {
			p = before[i]
		}
		p.mu.Lock()
		p.link = l
		p.shaper.SetLink(now, l, k.part.Safe(l.Bytes), k.shares)
		p.mu.Unlock()
		both := zones[other]
		both[way] = p
		zones[other], all = both, append(all, p)
	}
	k.byZone = zones
	k.all.Store(&all)
	for _, t := range s.clients {
		if t.established {
			k.attach(t)
		}
	}
	k.signal()
}

// attach has both sides of a transaction that is up read by the links that they cross, or freely.
func (k *zoneLinks) attach(t *client) {
	var lanes [2]*bandwidthQueue
	if t.server != nil {
		for way, p := range k.byZone[k.balancer.core.ZoneOf(t.server.server)] {
			if p != nil {
				lanes[way] = p.queueFor(t)
			}
		}
		t.server.markEstablished()
		t.server.setQueue(lanes[1])
	}
	t.conn.setQueue(lanes[0])
}

const reportInterval = 20 * time.Millisecond

// handleTick tells the reducer whose region is not to blame for its silence.
func (k *zoneLinks) handleTick(now time.Time) {
	if now.Before(k.nextReportAt) {
		return
	}
	k.nextReportAt = now.Add(reportInterval)
	for _, both := range k.byZone {
		if both[1] == nil {
			continue
		}
		both[1].mu.Lock()
		waiting := both[1].shaper.Waiting()
		both[1].mu.Unlock()
		if waiting == 0 {
			continue
		}
		for _, t := range k.balancer.clients {
			if t.established && t.server != nil && t.server.waitsForTurn() {
				k.balancer.step(core.ServerDataQueued{Client: t.handle})
			}
		}
		return
	}
}

// waitsForTurn tells whether the link's bytes wait for their turn.
func (l *connection) waitsForTurn() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.waitsIn != nil
}

// countSent and cameFrom count what passes while a connection is set up, which isn't held back.
func (k *zoneLinks) countSent(t *client, region string, n int)     { k.count(t, region, 0, n) }
func (k *zoneLinks) countReceived(t *client, region string, n int) { k.count(t, region, 1, n) }

func (k *zoneLinks) count(t *client, region string, way, n int) {
	if p := k.byZone[k.balancer.core.ZoneOf(region)][way]; p != nil {
		g := p.queueFor(t)
		p.mu.Lock()
		p.shaper.Owe(k.balancer.now(), g.flow, n)
		p.mu.Unlock()
	}
}

// shapeFromStart has a routed task read by its link from the start, before anybody else knows of it. What the system keeps of it unread is little:
// that has crossed the link already.
func (k *zoneLinks) shapeFromStart(l *connection) {
	if p := k.byZone[k.balancer.core.ZoneOf(l.server)][1]; p != nil {
		l.queue, l.receiveBuffer = p.queueFor(l.client), k.receiveBuffer
	}
}

func (l *connection) receiveBufferSize() int {
	if l != nil && l.receiveBuffer > 0 {
		return l.receiveBuffer
	}
	return socketBuffer
}

// dialControl sets a small buffer before the connection is made, nil if there is none to set: later the other side has been told of more.
func (l *connection) dialControl() func(network, addr string, c syscall.RawConn) error {
	if l.receiveBuffer == 0 {
		return nil
	}
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, l.receiveBuffer)
		})
	}
}

// queueFor is that of a terminal's class and tenant. Tenants that nobody has heard of share one.
func (p *zoneLink) queueFor(t *client) *bandwidthQueue {
	of := [2]string{t.request.Class, t.request.Tenant}
	if _, ok := p.links.shares[of[1]]; !ok {
		of[1] = ""
	}
	g := p.queues[of]
	if g == nil {
		p.mu.Lock()
		g = &bandwidthQueue{p, p.shaper.Flow(of[0], of[1])}
		p.mu.Unlock()
		p.queues[of] = g
	}
	return g
}

// take asks for l's turn. Where it isn't, l waits for it.
func (g *bandwidthQueue) take(l *connection, most int) int {
	now := l.balancer.now()
	g.link.mu.Lock()
	n := g.link.shaper.Take(now, g.flow, most)
	first := false
	if n == 0 {
		g.link.shaper.Wait(now, g.flow, l)
		first = g.link.shaper.Waiting() == 1
	}
	g.link.mu.Unlock()
	if first {
		g.link.links.signal()
	}
	return n
}

func (g *bandwidthQueue) giveBack(n int) {
	if n > 0 {
		g.link.mu.Lock()
		g.link.shaper.Return(g.flow, n)
		g.link.mu.Unlock()
	}
}

func (k *zoneLinks) signal() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

type turn struct {
	conn  *connection
	queue *bandwidthQueue
	bytes int
}

const maxTurns = 64 // of one pipe, before another has its own

// giveTurns gives turns by the clock, on a goroutine of its own.
func (k *zoneLinks) giveTurns() {
	defer k.stopped.Done()
	timer, alarm := time.NewTimer(time.Hour), newSystemTimer() // the runtime's own is up to a millisecond late, which is more than a turn
	defer timer.Stop()
	defer alarm.close()
	exact := alarm.onExpiry(k.signal)
	var list []turn
	for {
		soon := time.Hour
		for _, p := range *k.all.Load() {
			list = list[:0]
			p.mu.Lock()
			now := k.balancer.now()
			for len(list) < maxTurns {
				l, f, n, ok := p.shaper.Next(now)
				if !ok {
					break
				}
				list = append(list, turn{l, &bandwidthQueue{p, f}, n})
			}
			p.mu.Unlock()
			k.turnCount.Add(int64(len(list)))
			for i, t := range list {
				t.conn.takeTurn(t.queue, t.bytes)
				list[i] = turn{}
			}
			p.mu.Lock()
			soon = min(soon, p.shaper.Soon(k.balancer.now()))
			p.mu.Unlock()
		}
		if !exact || !alarm.set(soon) {
			timer.Reset(soon)
		}
		select {
		case <-timer.C:
		case <-k.wake:
		case <-k.stop:
			return
		}
	}
}

// setQueue has the link read by a lane from now on, nil for freely.
func (l *connection) setQueue(g *bandwidthQueue) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue == g {
		return
	}
	l.queue, l.waitsIn = g, nil // where it waited its turn comes to nothing
	l.readOn()
}

// takeTurn reads n bytes at most, or leaves them to others if this link has no use for them.
func (l *connection) takeTurn(g *bandwidthQueue, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.waitsIn == nil || l.waitsIn.flow != g.flow {
		g.giveBack(n)
		return
	}
	l.waitsIn = nil
	l.hadWaited.Store(true)
	switch {
	case l.endedData != nil:
		l.passEndedData(n)
	case l.state != live || l.conn == nil || l.paused || l.starved:
		g.giveBack(n)
	case l.balancer.queue.isLong():
		g.giveBack(n)
		l.balancer.queue.deferRead(l)
	default:
		l.readShaped(false, n)
	}
}

// readShaped takes in what the link has room for, given bytes of it already.
func (l *connection) readShaped(poller bool, given int) {
	if poller && peerHasClosed(l.conn) {
		l.readToEnd()
		return
	}
	for reads := 0; reads < maxReads; reads++ {
		n := given
		given = 0
		switch {
		case l.exempt():
			if reads > 0 {
				l.balancer.queue.deferRead(l)
				return
			}
			n = exemptBytes
		case n == 0:
			if n = l.queue.take(l, readSize); n == 0 {
				l.waitsIn = l.queue
				return
			}
		}
		buf := buffers.Get().(*[]byte)
		m, err := l.conn.Read((*buf)[:n])
		if !l.exempt() {
			l.queue.giveBack(n - max(m, 0))
		}
		if m > 0 {
			*buf = (*buf)[:m]
			l.queuedEvents.Add(1)
			l.balancer.queue.post(event{kind: eventData, conn: l, data: buf})
			continue
		}
		releaseBuffer(buf)
		if !errors.Is(err, syscall.EINTR) {
			return // nothing is there, or an end that the poller will meet
		}
	}
	l.balancer.queue.deferRead(l)
}

const exemptBytes = 512 // of a region's bytes at a time that are read, and counted later, before it is known whether it takes the task

// exempt tells of a routed task whose answer hasn't been seen, and of a terminal whose line has to end: they aren't held back.
func (l *connection) exempt() bool { return l.role == serverRole && !l.established || l.bypass }

// bypassQueue has a link that passes a bounded one read on without turns, little at a time; it is false where nothing bounds it.
func (l *connection) bypassQueue() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.queue == nil {
		return false
	}
	l.bypass, l.waitsIn, l.paused = true, nil, false
	l.readOn()
	return true
}

// endedData is what was read of a side that has ended: nbio closes the socket then, so that nothing can be left there. It is no more than the
// system's buffer held, and passes on by the link's turns; the end comes behind it.
type endedData struct {
	data []*[]byte
	end  eventKind
}

// readToEnd reads a socket to its end, on the poller's goroutine.
func (l *connection) readToEnd() {
	a := &endedData{end: eventEOF}
	for {
		buf := buffers.Get().(*[]byte)
		n, err := l.conn.Read(*buf)
		if n > 0 {
			*buf = (*buf)[:n]
			a.data = append(a.data, buf)
			continue
		}
		releaseBuffer(buf)
		if errors.Is(err, syscall.EINTR) {
			continue
		}
		if err != nil && !errors.Is(err, syscall.EAGAIN) {
			a.end = eventReset
		}
		break
	}
	if a.end == eventReset && l.role == clientRole {
		a.data = nil // nobody is there who waits for what comes of it
	}
	l.endedData, l.waitsIn = a, nil
	c := l.conn
	if a.end == eventReset || l.role != clientRole || !l.handOverToTail() {
		l.state = ended
		_ = c.Close()
	}
	l.passEndedData(0)
}

// passEndedData passes on what was read ahead as far as there is room, given bytes of it already.
func (l *connection) passEndedData(given int) {
	g, a := l.queue, l.endedData
	for len(a.data) > 0 {
		if l.paused || l.starved || l.balancer.queue.isLong() {
			if !l.paused && !l.starved {
				l.balancer.queue.deferRead(l)
			}
			break
		}
		buf := a.data[0]
		n := given
		given = 0
		free := g == nil || l.exempt()
		switch {
		case g == nil:
			n = len(*buf)
		case free:
			n = exemptBytes
		case n == 0:
			if n = g.take(l, len(*buf)); n == 0 {
				l.waitsIn = g
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
		l.queuedEvents.Add(1)
		l.balancer.queue.post(event{kind: eventData, conn: l, data: buf})
		if free && g != nil && len(a.data) > 0 {
			l.balancer.queue.deferRead(l)
			break
		}
	}
	if given > 0 && g != nil {
		g.giveBack(given)
	}
	if len(a.data) == 0 {
		l.endedData = nil
		l.balancer.queue.post(event{kind: a.end, conn: l})
	}
}

// measure is what the links' demand was since the last time; lent takes what came of it.
func (k *zoneLinks) measure() (list []bandwidth.Ask) {
	now := k.balancer.now()
	for _, p := range *k.all.Load() {
		p.mu.Lock()
		list = append(list, p.shaper.Wants(now))
		p.mu.Unlock()
	}
	return list
}

func (k *zoneLinks) applyGrants(grants []bandwidth.Grant, until time.Time) {
	now := k.balancer.now()
	for _, p := range *k.all.Load() {
		p.mu.Lock()
		for _, g := range grants {
			if g.Link == bandwidth.Name(p.link.From, p.link.To) {
				p.shaper.Lend(now, g, until.Sub(k.balancer.cfg.StartOfClock))
			}
		}
		p.mu.Unlock()
	}
	k.signal()
}

// saturated names the zones that a full link joins with this one, either way, with the last order of classes that still gets there; orders
// are the classes', 1 for what is worth most. It is called on the loop.
func (k *zoneLinks) saturated(orders map[string]int) map[string]int {
	var zones map[string]int
	for zone, both := range k.byZone {
		last, short := 0, false
		for _, order := range orders {
			last = max(last, order)
		}
		for _, p := range both {
			if p == nil {
				continue
			}
			p.mu.Lock()
			for _, class := range p.shaper.Short() {
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
func (k *zoneLinks) report() any {
	now := k.balancer.now()
	all := struct {
		Turns  int64               `json:"turns"`
		Unread int64               `json:"unread"`
		Links  []bandwidth.Figures `json:"links"`
	}{k.turnCount.Load(), k.part.Unread(), []bandwidth.Figures{}}
	for _, p := range *k.all.Load() {
		p.mu.Lock()
		all.Links = append(all.Links, p.shaper.Figures(now))
		p.mu.Unlock()
	}
	return all
}
