package proxy

import (
	"log/slog"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/hint"
	"oatloft/internal/platform"
)

// watchDialTimeout bounds a dial to discovery. The reducer's own timeout for the call is shorter.
const watchDialTimeout = 2 * time.Second

// watch is a long-lived call to discovery, which returns changes of the endpoint list.
type watch struct {
	conn         *connection
	reader       platform.WatchReader
	version      int64 // of the list: changes after it are requested
	receivedData bool
}

// dropWatch closes a watch, if there is one.
func dropWatch(w **watch) {
	if *w != nil {
		(*w).conn.drop()
		*w = nil
	}
}

// openWatch calls discovery for all changes after a version. If the current call has received any data, it stays
// open until the new one is answered.
func (b *Balancer) openWatch(version int64) {
	if b.watch != nil && b.watch.receivedData {
		dropWatch(&b.previousWatch)
		b.previousWatch, b.watch = b.watch, nil
	}
	dropWatch(&b.watch)
	b.watch = &watch{
		conn:    &connection{balancer: b, role: watchRole},
		reader:  platform.WatchReader{ClockStart: b.cfg.ClockOrigin, OnInvalidEntry: b.logUnreadable},
		version: version,
	}
	b.dial(b.watch.conn, b.cfg.Discovery, watchDialTimeout)
}

// handleDiscoveryEvent handles an event of a connection to discovery.
func (b *Balancer) handleDiscoveryEvent(conn *connection, e event) {
	switch {
	case b.watch != nil && b.watch.conn == conn:
		b.handleWatchEvent(b.watch, e)
	case b.previousWatch != nil && b.previousWatch.conn == conn:
		b.handlePreviousWatchEvent(e)
	}
}

func (b *Balancer) handleWatchEvent(w *watch, e event) {
	switch e.kind {
	case eventConnected:
		w.conn.write(platform.AppendWatch(nil, b.cfg.Discovery, w.version))
	case eventDialFailed, eventEOF, eventReset:
		b.watch = nil
		b.step(core.WatchClosed{})
	case eventData:
		b.readWatch(w, *e.data)
	}
}

// readWatch parses discovery's answer. A list may make the reducer open another watch.
func (b *Balancer) readWatch(w *watch, data []byte) {
	w.receivedData = true
	complete := false
	err := w.reader.Read(data, func(list *core.EndpointsListed) {
		complete = true
		dropWatch(&b.previousWatch)
		if list == nil {
			b.step(core.WatchHeartbeat{})
		} else {
			b.step(*list)
		}
	})
	switch {
	case w != b.watch:
	case err != nil:
		b.logUnreadable(err)
		dropWatch(&b.watch)
		b.step(core.WatchClosed{})
	case !complete:
		b.step(core.WatchDataReceived{})
	}
}

// handlePreviousWatchEvent handles an event of the previous watch. Its end loses nothing: the reducer relies on the
// current one.
func (b *Balancer) handlePreviousWatchEvent(e event) {
	var err error
	switch e.kind {
	case eventEOF, eventReset:
		b.previousWatch = nil
	case eventData:
		err = b.previousWatch.reader.Read(*e.data, func(list *core.EndpointsListed) {
			if list != nil {
				list.FromPreviousWatch = true
				b.step(*list)
			}
		})
	}
	if err != nil {
		b.logUnreadable(err)
		dropWatch(&b.previousWatch)
	}
}

// logUnreadable logs that discovery's answer, or an entry in it, is invalid.
func (b *Balancer) logUnreadable(err error) {
	b.limitedLog.Say(time.Now(), slog.LevelWarn, "discovery", "invalid answer from discovery",
		slog.String("discovery", b.cfg.Discovery), slog.String("err", hint.Line(err)))
}
