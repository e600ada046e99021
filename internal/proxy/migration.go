package proxy

import (
	"bytes"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/platform"
)

// migrateTimeout is how long a migration waits for the rest of the server's line.
const migrateTimeout = time.Second

// migration is a client's state while it waits to be migrated to another server. If the server is in the middle of a
// line, MOVE is sent after that line. The reducer has closed the request by then, so the end of either connection is
// handled here.
type migration struct {
	deadline          time.Time
	forwardedBytes    int  // bytes of the server's line forwarded since the migration began
	forwardingRequest bool // the rest of the client's line, delayed by a bounded link, is being forwarded
}

// migrate sends MOVE to a client, immediately or after the end of the server's line.
func (b *Balancer) migrate(c *client) {
	if c.fromServer.BetweenLines() {
		b.sendMove(c)
		return
	}
	c.migration.deadline = time.Now().Add(migrateTimeout + b.testSlack)
	b.migrating[c] = struct{}{}
	if c.server != nil {
		b.finishServerLine(c)
	}
}

// isMigrating reports whether a client's migration waits for the end of the server's line.
func (b *Balancer) isMigrating(c *client) bool {
	_, migrating := b.migrating[c]
	return migrating
}

// expireMigrations resets clients whose server has stopped inside a line: the client would read MOVE as part of that
// line.
func (b *Balancer) expireMigrations(now time.Time) {
	for c := range b.migrating {
		if now.After(c.migration.deadline) {
			b.endMigrating(c, core.CloseReset)
		}
	}
}

// forwardRestOfAnswer forwards the rest of the server's line and sends MOVE after it. If the line is BYE or MOVE of the
// server itself, nothing is sent after it.
func (b *Balancer) forwardRestOfAnswer(c *client, data []byte) {
	end := bytes.IndexByte(data, '\n') + 1
	if end == 0 {
		c.fromServer.Read(data)
		c.conn.write(data)
		c.migration.forwardedBytes += len(data)
		if c.migration.forwardedBytes > backpressureBytes { // no valid line is this long; bounds the memory used
			c.server.pause()
		}
		return
	}
	seen := c.fromServer.Read(data[:end])
	c.conn.write(data[:end])
	if seen.Last != platform.OtherLine {
		b.endMigrating(c, core.CloseEOF)
		return
	}
	b.sendMove(c)
}

// endMigrating closes the client without MOVE and drops its server.
func (b *Balancer) endMigrating(c *client, reason core.CloseReason) {
	b.closeClient(c, reason)
	c.dropServer()
}

// clientEndedMigrating handles the end of a client before MOVE could be sent: the server's connection is closed in the
// same way. A client that has only closed its sending side still gets the rest of the line and MOVE.
func (b *Balancer) clientEndedMigrating(c *client, kind eventKind) {
	if kind != eventReset {
		c.server.fin(false)
		return
	}
	c.finished = true
	b.removeClient(c)
	delete(b.migrating, c)
	c.server.reset()
	c.server = nil
}

// sendMove tells a client to reconnect and closes its connections.
func (b *Balancer) sendMove(c *client) {
	c.conn.write(platform.Move)
	b.closeClient(c, core.CloseEOF)
	c.dropServer()
}

// finishServerLine removes what may delay the rest of the server's line. Reading of a server that was paused for a slow
// client is resumed here, since the reducer no longer does. If a bounded link has delayed the rest of the client's last
// line, that rest bypasses the queue, since the server may not answer before it has the whole line.
func (b *Balancer) finishServerLine(c *client) {
	c.server.resume()
	if b.zoneLinks == nil {
		return
	}
	c.server.setQueue(nil)
	if !c.toServer.BetweenLines() {
		c.migration.forwardingRequest = c.conn.exemptFromTurns()
	}
}

// forwardRestOfRequest forwards the rest of a line whose beginning the server already has. The bytes count against the
// link's future budget.
func (b *Balancer) forwardRestOfRequest(c *client, data []byte) {
	end := bytes.IndexByte(data, '\n') + 1
	if end > 0 || c.server == nil || c.server.backlog() > backpressureBytes {
		c.migration.forwardingRequest = false
		c.conn.pause()
	}
	if end > 0 {
		data = data[:end]
	}
	if c.server == nil {
		return
	}
	b.counters.BytesToServers += int64(len(data))
	c.server.write(data)
	b.zoneLinks.countSent(c, c.server.server, len(data))
}
