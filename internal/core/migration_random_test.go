package core

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"oatloft/policy"
)

// randomCourse plays random events on a reducer until it exits, and checks each end of a connection against a model of
// the connections.
type randomCourse struct {
	*testbed
	rng         *rand.Rand
	connections map[Handle]*modelConnection
	drainedAt   time.Duration // 0 if the balancer does not drain
	lastMoveAt  time.Duration // 0 before the shutdown
	exit        *Exit
}

// modelConnection is an established connection as its peers see it.
type modelConnection struct {
	insideLine bool
	lastLineAt time.Duration
}

// newRandomCourse returns a course with eight established connections.
func newRandomCourse(t *testing.T, seed uint64, clientTimeout time.Duration) *randomCourse {
	c := &randomCourse{
		testbed:     newTestbed(t, func(c *Config) { c.MaxClientTimeout, c.PassThrough = clientTimeout, false }),
		rng:         rand.New(rand.NewPCG(seed, 0)),
		connections: map[Handle]*modelConnection{},
	}
	for client := Handle(1); client <= 8; client++ {
		c.establish(client)
		c.connections[client] = &modelConnection{lastLineAt: c.now}
	}
	return c
}

// serverSends delivers the beginning, the rest or the whole of a line.
func (c *randomCourse) serverSends(client Handle) {
	connection := c.connections[client]
	connection.insideLine = !connection.insideLine && c.rng.IntN(2) == 0
	payload := Payload{Data: []byte("data"), InsideLine: connection.insideLine}
	if !connection.insideLine {
		payload.Lines = 1
		connection.lastLineAt = c.now
	}
	c.check(c.step(DataReceived{client, true, payload}))
}

// changeBalancer begins or ends a maintenance or a drain, or begins the shutdown.
func (c *randomCourse) changeBalancer(clientTimeout time.Duration) {
	on := c.rng.IntN(2) == 0
	switch c.rng.IntN(4) {
	case 0:
		c.check(c.step(MaintenanceSet{fmt.Sprint("r", 1+c.rng.IntN(2)), on}))
	case 1:
		switch {
		case !on:
			c.drainedAt = 0
		case c.drainedAt == 0:
			c.drainedAt = c.now
		}
		c.check(c.step(DrainSet{on}))
	case 2:
		c.check(c.listEndpoints(policy.ListDelta, int64(c.now), policy.Draining, "r1"))
	case 3:
		if c.lastMoveAt == 0 {
			c.lastMoveAt = c.now + min(maxCountedTimeout, clientTimeout) + killDelay - exitMargin - lastMoveMargin
			c.check(c.step(ShutdownRequested{HandedOver: on}))
		}
	}
}

// check holds the ends of connections in effects to the rules.
func (c *randomCourse) check(effects []Effect) {
	c.t.Helper()
	for _, effect := range effects {
		switch e := effect.(type) {
		case MigrateClient:
			if connection := c.connections[e.Client]; connection == nil || connection.insideLine {
				c.t.Errorf("client %d is migrated, its connection: %+v", e.Client, connection)
			}
			delete(c.connections, e.Client)
		case CloseClient:
			if connection := c.connections[e.Client]; connection == nil || !c.mayReset(connection) {
				c.t.Errorf("client %d is closed: %+v, its connection: %+v, now %v", e.Client, e, connection, c.now)
			}
			delete(c.connections, e.Client)
		case Exit:
			c.exit = &e
		}
	}
}

// mayReset reports whether there is no time left to wait for the end of a server's line.
func (c *randomCourse) mayReset(connection *modelConnection) bool {
	if !connection.insideLine {
		return false
	}
	silent := c.now-connection.lastLineAt >= silentAfter+silentLineTimeout
	drained := c.drainedAt > 0 && c.now-c.drainedAt >= maxDrainDuration
	return silent || drained || c.lastMoveAt > 0 && c.now >= c.lastMoveAt
}

// Guards against every way in which maintenance, drains and a shutdown could cross each other: a client gets MOVE, and
// only between two lines; it is reset only inside a line and only once there is no time left, and none is left at the
// exit of the process.
func TestMigrationsInRandomCourses(t *testing.T) {
	for seed := range uint64(400) {
		clientTimeout := handoverTimeouts[seed%uint64(len(handoverTimeouts))]
		c := newRandomCourse(t, seed, clientTimeout)
		for c.exit == nil || c.now < c.exit.Deadline {
			c.check(c.advance(TickInterval))
			for client := range Handle(9) {
				if c.connections[client] != nil && c.rng.IntN(100) == 0 {
					c.serverSends(client)
				}
				if c.connections[client] != nil && c.rng.IntN(400) == 0 {
					c.check(c.step(DataReceived{Client: client, Payload: Payload{Data: []byte("x\r\n"), Lines: 1}}))
				}
			}
			if c.rng.IntN(150) == 0 {
				c.changeBalancer(clientTimeout)
			}
		}
		if len(c.connections) > 0 {
			t.Errorf("%d connections are left at the exit", len(c.connections))
		}
		if t.Failed() {
			t.Fatalf("seed %d, client timeout %v", seed, clientTimeout)
		}
	}
}
