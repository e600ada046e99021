package proxy

import (
	"bytes"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/platform"
)

// migrateTimeout is how long a migration waits for the end of the server's line.
const migrateTimeout = time.Second

// migration is a client's state while it waits to be sent to another server. A client whose server is inside a line
// gets MOVE behind that line. The reducer has closed the request by then, so ends of either side are handled here.
type migration struct {
	deadline       time.Time
	passedBytes    int  // of the server's line, since the migration began
	passingRequest bool // the server waits for the end of a line of the client that a bounded link has held back
}

// migrate sends MOVE to a client, or has it wait for the end of the server's line.
func (b *Balancer) migrate(c *client) {
	if c.fromServer.Between() {
		b.sendMove(c)
		return
	}
	c.migration.deadline = time.Now().Add(migrateTimeout + b.testSlack)
	b.migrating[c] = struct{}{}
	if c.server != nil {
		b.finishServerLine(c)
	}
}

// isMigrating tells whether a client waits for the end of its server's line.
func (b *Balancer) isMigrating(c *client) bool {
	_, migrating := b.migrating[c]
	return migrating
}

// expireMigrations ends migrations whose server has stopped inside a line: MOVE would be taken for the line's rest.
func (b *Balancer) expireMigrations(now time.Time) {
	for c := range b.migrating {
		if now.After(c.migration.deadline) {
			b.endMigrating(c, core.CloseReset)
		}
	}
}

// passRestOfAnswer forwards the end of the server's line, and MOVE behind it. Behind BYE or MOVE of the server
// itself nothing follows.
func (b *Balancer) passRestOfAnswer(c *client, data []byte) {
	end := bytes.IndexByte(data, '\n') + 1
	if end == 0 {
		c.fromServer.Read(data)
		c.conn.write(data)
		c.migration.passedBytes += len(data)
		if c.migration.passedBytes > backpressureBytes { // no line is so long: it must not fill the memory
			c.server.pause()
		}
		return
	}
	seen := c.fromServer.Read(data[:end])
	c.conn.write(data[:end])
	if seen.Last != platform.Line {
		b.endMigrating(c, core.CloseEOF)
		return
	}
	b.sendMove(c)
}

// endMigrating ends the client without MOVE, and drops its server.
func (b *Balancer) endMigrating(c *client, reason core.CloseReason) {
	b.closeClient(c, reason)
	c.dropServer()
}

// clientEndedMigrating ends the server of a client that has ended before MOVE could be sent, in the same way. A
// client that has only closed its sending side still gets the rest of the line and MOVE.
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

// sendMove tells a client to connect again, and ends it.
func (b *Balancer) sendMove(c *client) {
	c.conn.write(platform.Move)
	b.closeClient(c, core.CloseEOF)
	c.dropServer()
}

// finishServerLine has the server's line end soon. The reducer no longer resumes reading of a server whose client
// was slow. Where a bounded link has let only a part of the client's last line through, the server may answer the
// rest, and not before.
func (b *Balancer) finishServerLine(c *client) {
	c.server.resume()
	if b.zoneLinks == nil {
		return
	}
	c.server.setQueue(nil)
	if !c.toServer.Between() {
		c.migration.passingRequest = c.conn.bypassQueue()
	}
}

// passRestOfRequest forwards the end of a line of which the server has the beginning. The link's queue counts it as
// debt.
func (b *Balancer) passRestOfRequest(c *client, data []byte) {
	end := bytes.IndexByte(data, '\n') + 1
	if end > 0 || c.server == nil || c.server.backlog() > backpressureBytes {
		c.migration.passingRequest = false
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
