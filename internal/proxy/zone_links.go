package proxy

import (
	"log/slog"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"oatloft/internal/bandwidth"
	"oatloft/internal/core"
	"oatloft/internal/revision"
)

// reportInterval is the interval at which servers whose bytes wait for a turn are reported to the reducer.
const reportInterval = 20 * time.Millisecond

// zoneLinks shapes the traffic over bounded links between this balancer's zone and others. A connection that
// crosses a link without spare capacity is left unread until its turn, so that TCP flow control slows its sender. No
// byte is dropped, reordered, or copied that could stay in the socket, and a waiting connection does not delay the
// others. internal/bandwidth decides the order of turns. Where no link is bounded, each read costs one comparison
// with nil.
//
// The fields belong to the loop, except for those that are atomic or channels, and part, which is safe for
// concurrent use.
type zoneLinks struct {
	balancer      *Balancer
	zone          string
	receiveBuffer int // of a server's connection in the system, in bytes
	byZone        map[string]linkPair
	shares        map[string]float64 // of tenants; replaced, never changed
	nextReportAt  time.Time
	part          *bandwidth.Participant
	all           atomic.Pointer[[]*zoneLink]
	readCount     atomic.Int64
	wake          chan struct{}
	stop          chan struct{}
	goroutines    sync.WaitGroup
}

// linkPair has the links with another zone; nil for those that are not bounded.
type linkPair struct{ to, from *zoneLink }

// bounded returns the links of a pair that are bounded.
func (p linkPair) bounded() []*zoneLink {
	return slices.DeleteFunc([]*zoneLink{p.to, p.from}, func(l *zoneLink) bool { return l == nil })
}

// newZoneLinks prepares for bounded links; there are none before setLinks.
func newZoneLinks(b *Balancer, settings bandwidth.Settings, receiveBuffer int) (*zoneLinks, error) {
	part, err := bandwidth.NewParticipant(settings)
	if err != nil {
		return nil, err
	}
	z := &zoneLinks{
		balancer:      b,
		zone:          b.cfg.Core.Policy.Zone,
		receiveBuffer: receiveBuffer,
		shares:        map[string]float64{},
		part:          part,
		wake:          make(chan struct{}, 1),
		stop:          make(chan struct{}),
	}
	z.all.Store(new([]*zoneLink))
	part.Bind(z.measure, z.applyGrants, func(err error) {
		b.limitedLog.Say(
			time.Now(),
			slog.LevelWarn,
			"links",
			"invalid bandwidth message, links stay limited to their safe parts",
			slog.Any("err", err),
		)
	})
	z.goroutines.Go(z.scheduleReads)
	return z, nil
}

func (z *zoneLinks) close() {
	close(z.stop)
	z.goroutines.Wait()
}

// setLinks applies the links of the revision in force. Established connections are shaped by them from now on.
func (b *Balancer) setLinks(table []revision.Link) {
	z := b.zoneLinks
	if z == nil {
		return
	}
	z.shares = b.tenantShares()
	z.part.SetTable(table, z.shares)
	existing := *z.all.Load()
	byZone, all := map[string]linkPair{}, make([]*zoneLink, 0, len(table))
	for _, l := range table {
		outward, inward := l.From == z.zone, l.To == z.zone
		if outward == inward {
			continue
		}
		link := z.newLink(l, existing)
		all = append(all, link)
		if outward {
			pair := byZone[l.To]
			pair.to = link
			byZone[l.To] = pair
		} else {
			pair := byZone[l.From]
			pair.from = link
			byZone[l.From] = pair
		}
	}
	z.byZone = byZone
	z.all.Store(&all)
	for _, c := range b.clients {
		if c.established {
			z.attach(c)
		}
	}
	z.signal()
}

// tenantShares returns the tenants' shares of links. A tenant without a quota has the same share as the one with the
// largest quota.
func (b *Balancer) tenantShares() map[string]float64 {
	tenants, largest := b.overlay(b.cfg.Core.Policy).Tenants, 0.0
	for _, t := range tenants {
		largest = max(largest, t.ConnectionQuota)
	}
	shares := make(map[string]float64, len(tenants))
	for _, t := range tenants {
		shares[t.Name] = t.ConnectionQuota
		if t.ConnectionQuota == 0 {
			shares[t.Name] = largest
		}
	}
	return shares
}

// newLink returns the link for a table's entry: the existing one with the new settings, or a new one.
func (z *zoneLinks) newLink(entry revision.Link, existing []*zoneLink) *zoneLink {
	now := z.balancer.now()
	link := &zoneLink{
		links:  z,
		shaper: bandwidth.NewShaper[*connection](now),
		queues: map[trafficKey]*bandwidthQueue{},
	}
	same := func(l *zoneLink) bool { return l.link.From == entry.From && l.link.To == entry.To }
	if i := slices.IndexFunc(existing, same); i >= 0 {
		link = existing[i]
	}
	link.mu.Lock()
	defer link.mu.Unlock()
	link.link = entry
	link.shaper.SetLink(now, entry, z.part.SafeRate(entry.Bytes), z.shares)
	return link
}

// attach makes both connections of an established flow subject to the links that they cross.
func (z *zoneLinks) attach(c *client) {
	var fromClient, fromServer *bandwidthQueue
	if c.server != nil {
		pair := z.byZone[z.balancer.core.ZoneOf(c.server.server)]
		if pair.to != nil {
			fromClient = pair.to.queueFor(c)
		}
		if pair.from != nil {
			fromServer = pair.from.queueFor(c)
		}
		c.server.markEstablished()
		c.server.setQueue(fromServer)
	}
	c.conn.setQueue(fromClient)
}

// handleTick reports to the reducer the servers whose bytes wait for a turn, so that it does not count their silence
// against them.
func (z *zoneLinks) handleTick(now time.Time) {
	if now.Before(z.nextReportAt) {
		return
	}
	z.nextReportAt = now.Add(reportInterval)
	if !z.anyServerWaits() {
		return
	}
	for _, c := range z.balancer.clients {
		if c.established && c.server != nil && c.server.waitsForTurn() {
			z.balancer.step(core.ServerDataQueued{Client: c.handle})
		}
	}
}

func (z *zoneLinks) anyServerWaits() bool {
	for _, pair := range z.byZone {
		if pair.from == nil {
			continue
		}
		pair.from.mu.Lock()
		waiting := pair.from.shaper.Waiting()
		pair.from.mu.Unlock()
		if waiting > 0 {
			return true
		}
	}
	return false
}

// countSent counts bytes to a server that were sent without a turn.
func (z *zoneLinks) countSent(c *client, server string, n int) {
	z.count(z.byZone[z.balancer.core.ZoneOf(server)].to, c, n)
}

// countReceived counts bytes from a server that were read without a turn.
func (z *zoneLinks) countReceived(c *client, server string, n int) {
	z.count(z.byZone[z.balancer.core.ZoneOf(server)].from, c, n)
}

func (z *zoneLinks) count(link *zoneLink, c *client, n int) {
	if link == nil {
		return
	}
	queue := link.queueFor(c)
	link.mu.Lock()
	defer link.mu.Unlock()
	link.shaper.Charge(z.balancer.now(), queue.flow, n)
}

// shapeFromStart shapes an attempt's connection before any other goroutine uses it. The system's receive buffer is
// small, as the bytes in it have crossed the link already.
func (z *zoneLinks) shapeFromStart(conn *connection) {
	if link := z.byZone[z.balancer.core.ZoneOf(conn.server)].from; link != nil {
		conn.queue, conn.receiveBuffer = link.queueFor(conn.client), z.receiveBuffer
	}
}

// measure returns the links' demand since the last call.
func (z *zoneLinks) measure() (list []bandwidth.LinkRequest) {
	now := z.balancer.now()
	for _, link := range *z.all.Load() {
		link.mu.Lock()
		list = append(list, link.shaper.Demand(now))
		link.mu.Unlock()
	}
	return list
}

// applyGrants applies the bandwidth of the links that this balancer has been granted.
func (z *zoneLinks) applyGrants(grants []bandwidth.Grant, until time.Time) {
	now := z.balancer.now()
	expiry := until.Sub(z.balancer.cfg.ClockOrigin)
	for _, link := range *z.all.Load() {
		link.mu.Lock()
		for _, g := range grants {
			if g.Link == bandwidth.LinkName(link.link.From, link.link.To) {
				link.shaper.ApplyGrant(now, g, expiry)
			}
		}
		link.mu.Unlock()
	}
	z.signal()
}

// saturated returns the zones behind a link that is saturated in either direction, with the lowest priority (the
// largest rank) that is still served. ranks are those of the classes; 1 is the highest priority. It must run on the
// loop.
func (z *zoneLinks) saturated(ranks map[string]int) map[string]int {
	lowest := 0
	for _, rank := range ranks {
		lowest = max(lowest, rank)
	}
	var zones map[string]int
	for zone, pair := range z.byZone {
		last, full := lowest, false
		for _, link := range pair.bounded() {
			link.mu.Lock()
			for _, class := range link.shaper.Saturated() {
				if rank, ok := ranks[class]; ok {
					last, full = min(last, rank-1), true
				}
			}
			link.mu.Unlock()
		}
		if full {
			if zones == nil {
				zones = map[string]int{}
			}
			zones[zone] = last
		}
	}
	return zones
}

// linksReport is the part of the counters about links.
type linksReport struct {
	ScheduledReads int64                 `json:"turns"`
	Unread         int64                 `json:"unread"`
	Links          []bandwidth.LinkStats `json:"links"`
}

func (z *zoneLinks) report() linksReport {
	now := z.balancer.now()
	report := linksReport{ScheduledReads: z.readCount.Load(), Unread: z.part.UndecodableMessages(),
		Links: []bandwidth.LinkStats{}}
	for _, link := range *z.all.Load() {
		link.mu.Lock()
		report.Links = append(report.Links, link.shaper.Stats(now))
		link.mu.Unlock()
	}
	return report
}
