package bandwidth

import (
	"fmt"
	"math"
	"time"

	"oatloft/internal/revision"
)

// cluster simulates several processes that share one link. Messages between them are delayed, and the link passes bytes
// at its rate in the order in which they arrive.
type cluster struct {
	now         time.Duration
	link        revision.Link
	settings    Settings
	coordinator *Participant
	members     []*member
	linkFreeAt  time.Duration // when the link has passed on all bytes received so far
	bytes       map[string]float64
	requesting  bool // members request grants
	requests    int
	roundTrip   time.Duration
}

// member is one process of a cluster, with the connections that send through it.
type member struct {
	name         string
	shaper       *Shaper[*sender]
	part         *Participant
	answer       []byte
	requestedAt  time.Duration
	answerAt     time.Duration
	disconnected bool
	nextRequest  time.Duration
	senders      []*sender
}

// sender is a connection. With an interval it sends messages of a fixed size, otherwise as much as it may.
type sender struct {
	flow        *Flow[*sender]
	size        int
	interval    time.Duration
	nextMessage time.Duration
	pending     int // bytes
	since       time.Duration
	queued      bool
	delays      []time.Duration
	sentBytes   float64
}

// step is the time between two steps of the simulation.
const step = 500 * time.Microsecond

var epoch = time.Unix(1e9, 0)

func newCluster(n int, l revision.Link, requesting bool) *cluster {
	c := &cluster{link: l, settings: Settings{Lease: 2 * time.Second, SafePart: 0.04, Holders: 2 * n},
		bytes: map[string]float64{}, requesting: requesting, roundTrip: 4 * time.Millisecond}
	c.now = 4 * time.Second
	for i := range n {
		part, err := NewParticipant(c.settings)
		if err != nil {
			panic(err)
		}
		s := &member{name: fmt.Sprint("p", i), shaper: NewShaper[*sender](c.now), part: part,
			nextRequest: c.now + time.Duration(i)*7*time.Millisecond%(c.settings.Lease/8)}
		s.shaper.SetLink(c.now, l, part.SafeRate(l.Bytes), nil)
		part.Bind(func() []LinkRequest { return []LinkRequest{s.shaper.Demand(c.now)} }, func(g []Grant, until time.Time) {
			for _, x := range g {
				s.shaper.ApplyGrant(c.now, x, until.Sub(epoch))
			}
		}, nil)
		part.SetTable([]revision.Link{l}, nil)
		c.members = append(c.members, s)
	}
	c.coordinator = c.members[0].part
	c.coordinator.Elected(0) // long ago
	return c
}

// addSender adds a connection to a member: one that sends as much as it may if interval is 0.
func (c *cluster) addSender(index int, class, tenant string, size int, interval time.Duration) *sender {
	s := c.members[index]
	x := &sender{flow: s.shaper.Flow(class, tenant), size: size, interval: interval,
		nextMessage: c.now + time.Duration(len(s.senders))*interval/7}
	if interval == 0 {
		x.pending = math.MaxInt32
		s.trySend(c, x)
	}
	s.senders = append(s.senders, x)
	return x
}

// trySend sends what may pass now, and queues the sender for the rest.
func (s *member) trySend(c *cluster, x *sender) {
	for x.pending > 0 && !x.queued {
		n := s.shaper.Take(c.now, x.flow, min(x.pending, maxQuantumBytes))
		if n == 0 {
			s.shaper.Wait(c.now, x.flow, x)
			x.queued = true
			return
		}
		c.transmit(x, n)
	}
}

// transmit passes n bytes of a sender over the simulated link.
func (c *cluster) transmit(x *sender, n int) {
	x.pending -= n
	x.sentBytes += float64(n)
	c.bytes[x.flow.class.name] += float64(n)
	c.linkFreeAt = max(c.linkFreeAt, c.now) + time.Duration(float64(n)/c.link.Bytes*1e9)
	if x.pending == 0 {
		x.delays = append(x.delays, c.linkFreeAt-x.since)
	}
}

// run advances the cluster by d.
func (c *cluster) run(d time.Duration) {
	for end := c.now + d; c.now < end; c.now += step {
		for _, s := range c.members {
			if s.answerAt > 0 && c.now >= s.answerAt {
				s.answerAt = 0
				if !s.disconnected {
					s.part.ApplyResponse(s.answer, epoch.Add(s.requestedAt))
				}
			}
			if c.requesting && c.now >= s.nextRequest {
				s.nextRequest += c.settings.Lease / 8
				body := s.part.NextRequest()
				if !s.disconnected {
					again := time.Duration(0)
					c.requests++
					if s.answer, again = c.coordinator.HandleRequest(s.name, body, c.now); again > 0 {
						s.nextRequest = min(s.nextRequest, c.now+c.roundTrip+again)
					}
					s.requestedAt, s.answerAt = c.now, c.now+c.roundTrip
				}
			}
			for _, x := range s.senders {
				if x.interval > 0 && c.now >= x.nextMessage {
					x.nextMessage += x.interval
					if x.pending == 0 {
						x.since = c.now
					}
					x.pending += x.size
					s.trySend(c, x)
				}
			}
			for {
				x, f, n, ok := s.shaper.Next(c.now)
				if !ok {
					break
				}
				x.queued = false
				used := min(n, x.pending)
				s.shaper.Return(f, n-used)
				c.transmit(x, used)
				s.trySend(c, x)
			}
		}
	}
}

// usage runs the cluster for d and returns each class's share of the link in that time, and their sum.
func (c *cluster) usage(d time.Duration) (shares map[string]float64, sum float64) {
	clear(c.bytes)
	c.run(d)
	shares = map[string]float64{}
	for class, n := range c.bytes {
		shares[class] = n / d.Seconds() / c.link.Bytes
		sum += shares[class]
	}
	return shares, sum
}

// sentBytes returns the bytes sent by all connections of a member.
func (s *member) sentBytes() (n float64) {
	for _, x := range s.senders {
		n += x.sentBytes
	}
	return n
}

// untilUsed runs until this share of the link is used over 100 ms, and returns how long that took.
func (c *cluster) untilUsed(share float64, limit time.Duration) time.Duration {
	began := c.now
	for c.now-began < limit {
		if _, sum := c.usage(100 * time.Millisecond); sum >= share {
			break
		}
	}
	return c.now - began
}
