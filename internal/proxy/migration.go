package proxy

import (
	"bytes"
	"log/slog"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/platform"
)

// migration is a client's state while its migration waits for the end of the server's line. The flow stays established
// until then, and the reducer handles its data and its ends as before.
type migration struct {
	forwardedBytes    int  // bytes of the server's line forwarded since the migration began
	forwardingRequest bool // the rest of the client's line, delayed by a bounded link, is being forwarded
}

// isMigrating reports whether a client's migration waits for the end of the server's line.
func (b *Balancer) isMigrating(c *client) bool {
	_, migrating := b.migrating[c]
	return migrating
}

// sendMove tells a client to reconnect and closes its connections. The server is between two lines.
func (b *Balancer) sendMove(c *client) {
	c.conn.write(platform.Move)
	b.closeClient(c, core.CloseEOF)
	c.dropServer()
}

// finishServerLine removes what may delay the rest of the server's line. If a bounded link has delayed the rest of the
// client's last line, that rest bypasses the queue, since the server may not answer before it has the whole line.
func (b *Balancer) finishServerLine(c *client) {
	if c.server == nil {
		return
	}
	b.migrating[c] = struct{}{}
	c.server.resume()
	if b.zoneLinks == nil {
		return
	}
	c.server.setQueue(nil)
	if !c.toServer.BetweenLines() {
		c.migration.forwardingRequest = c.conn.beginExemption()
	}
}

// firstLine returns the beginning of data up to the end of its first line, or all of it if no line ends in it.
func firstLine(data []byte) []byte {
	if end := bytes.IndexByte(data, '\n') + 1; end > 0 {
		return data[:end]
	}
	return data
}

// limitServerLine stops reading of a server whose line has become longer than any valid one, which bounds the memory
// used: reading was resumed although the client may be slow.
func (b *Balancer) limitServerLine(c *client, forwarded int) {
	c.migration.forwardedBytes += forwarded
	if c.server != nil && c.migration.forwardedBytes > int(b.pauseThreshold()) {
		c.server.pause()
	}
}

// countExemptRequest counts bytes of a client that bypassed the queue of a bounded link against the link's future
// budget. The bypass ends with the line, or if the server does not read it.
func (b *Balancer) countExemptRequest(c *client, data []byte) {
	if c.server != nil {
		b.zoneLinks.countSent(c, c.server.server, len(data))
	}
	serverReads := c.server != nil && c.server.backlog() <= b.pauseThreshold()
	if bytes.IndexByte(data, '\n') >= 0 || !serverReads {
		c.migration.forwardingRequest = false
		c.conn.endExemption()
	}
	if !serverReads {
		c.conn.pause()
	}
}

// logUnfinishedLine logs that a client is closed without MOVE.
func (b *Balancer) logUnfinishedLine(c *client) {
	server := ""
	if c.server != nil {
		server = c.server.server
	}
	b.limitedLog.Say(time.Now(), slog.LevelWarn, "unfinished line",
		"client reset without MOVE, its server did not end a line in time",
		slog.String("server", server), slog.String("request", c.request.ID))
}
