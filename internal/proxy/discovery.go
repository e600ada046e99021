package proxy

import (
	"log/slog"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/hint"
	"oatloft/internal/platform"
)

// watchDialTimeout is when a dial to discovery stops by itself. The reducer gives the call up before.
const watchDialTimeout = 2 * time.Second

// watch is a call to discovery that stays open.
type watch struct {
	conn         *connection
	reader       platform.WatchReader
	version      int64 // of the list: changes after it are asked for
	receivedData bool
}

// dropWatch ends a watch, if there is one.
func dropWatch(w **watch) {
	if *w != nil {
		(*w).conn.drop()
		*w = nil
	}
}

// openWatch calls discovery for all changes after a version. The call before goes on until this one has answered,
// if it has brought anything.
func (b *Balancer) openWatch(version int64) {
	if b.watch != nil && b.watch.receivedData {
		dropWatch(&b.previousWatch)
		b.previousWatch, b.watch = b.watch, nil
	}
	dropWatch(&b.watch)
	b.watch = &watch{
		conn:    &connection{balancer: b, role: watchRole},
		reader:  platform.WatchReader{Zero: b.cfg.StartOfClock, Unread: b.logUnreadable},
		version: version,
	}
	b.dial(b.watch.conn, b.cfg.Discovery, watchDialTimeout)
}

// handleDiscoveryEvent takes what a connection to discovery brings.
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

// readWatch reads discovery's answer. A list may have the reducer open another watch.
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

// handlePreviousWatchEvent takes what still comes by the previous watch. Its end loses nothing: the reducer goes by
// the one that follows.
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

// logUnreadable logs that discovery's answer cannot be read.
func (b *Balancer) logUnreadable(err error) {
	b.limitedLog.Say(time.Now(), slog.LevelWarn, "discovery", "discovery's answer can't be used",
		slog.String("discovery", b.cfg.Discovery), slog.String("err", hint.Line(err)))
}
