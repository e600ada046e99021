package proxy

import (
	"log/slog"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/hint"
	"oatloft/internal/platform"
)

const (
	// watchDialTimeout bounds a dial to discovery. The reducer's own timeout for the call is shorter.
	watchDialTimeout = 2 * time.Second
	// secondCallDelay is how long discovery may take to answer at its first address before the second one is called too.
	secondCallDelay = 300 * time.Millisecond
)

// watch is a long-lived call to discovery, which returns changes of the endpoint list.
type watch struct {
	conn         *connection
	address      string
	reader       platform.WatchReader
	version      int64 // of the list: changes after it are requested
	receivedData bool
	answered     bool // it has delivered a complete list or line
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
	for _, current := range []**watch{&b.watch, &b.secondWatch} {
		if *current != nil && (*current).receivedData {
			dropWatch(&b.previousWatch)
			b.previousWatch, *current = *current, nil
		}
	}
	b.stopWatch()
	b.watch = b.callDiscovery(b.discovery.first, version)
	if b.discovery.second != "" {
		b.secondCallAt = time.Now().Add(secondCallDelay)
	}
}

// stopWatch closes the current call, at whichever address it is made.
func (b *Balancer) stopWatch() {
	dropWatch(&b.watch)
	dropWatch(&b.secondWatch)
	b.secondCallAt = time.Time{}
}

func (b *Balancer) callDiscovery(address string, version int64) *watch {
	w := &watch{
		conn:    &connection{balancer: b, role: watchRole},
		address: address,
		version: version,
	}
	w.reader.ClockStart = b.cfg.ClockOrigin
	w.reader.OnInvalidEntry = func(err error) { b.logUnreadable(w, err) }
	b.dial(w.conn, address, watchDialTimeout)
	return w
}

// callSecondAddress calls discovery's second address once that is due.
func (b *Balancer) callSecondAddress(now time.Time) {
	if b.secondCallAt.IsZero() || now.Before(b.secondCallAt) {
		return
	}
	b.secondCallAt = time.Time{}
	b.secondWatch = b.callDiscovery(b.discovery.second, b.watch.version)
}

// handleDiscoveryEvent handles an event of a connection to discovery.
func (b *Balancer) handleDiscoveryEvent(conn *connection, e event) {
	switch {
	case b.watch != nil && b.watch.conn == conn:
		b.handleWatchEvent(b.watch, e)
	case b.secondWatch != nil && b.secondWatch.conn == conn:
		b.handleWatchEvent(b.secondWatch, e)
	case b.previousWatch != nil && b.previousWatch.conn == conn:
		b.handlePreviousWatchEvent(e)
	}
}

func (b *Balancer) handleWatchEvent(w *watch, e event) {
	switch e.kind {
	case eventConnected:
		w.conn.write(platform.AppendWatch(nil, w.address, w.version))
	case eventDialFailed, eventEOF, eventReset:
		b.watchFailed(w)
	case eventData:
		b.readWatch(w, *e.data)
	}
}

// watchFailed handles a call that has failed. The reducer is notified once the calls to all addresses have.
func (b *Balancer) watchFailed(w *watch) {
	if w == b.secondWatch {
		b.secondWatch = nil
		return
	}
	if !b.secondCallAt.IsZero() {
		b.callSecondAddress(b.secondCallAt)
	}
	b.watch, b.secondWatch = b.secondWatch, nil
	if b.watch == nil {
		b.step(core.WatchClosed{})
	}
}

// readWatch parses discovery's answer. A list may make the reducer open another watch.
func (b *Balancer) readWatch(w *watch, data []byte) {
	w.receivedData = true
	complete := false
	err := w.reader.Read(data, func(list *core.EndpointsListed) {
		complete = true
		b.watchAnswered(w)
		if list == nil {
			b.step(core.WatchHeartbeat{})
		} else {
			b.step(*list)
		}
	})
	switch {
	case w != b.watch && w != b.secondWatch:
	case err != nil:
		b.logUnreadable(w, err)
		w.conn.drop()
		b.watchFailed(w)
	case !complete:
		b.step(core.WatchDataReceived{})
	}
}

// watchAnswered handles a call's complete list or line. With the first one, the other calls to discovery end.
func (b *Balancer) watchAnswered(w *watch) {
	dropWatch(&b.previousWatch)
	if w.answered {
		return
	}
	w.answered = true
	if w == b.secondWatch {
		b.watch, b.secondWatch = b.secondWatch, b.watch
	}
	dropWatch(&b.secondWatch)
	b.secondCallAt = time.Time{}
	if w.address != b.discovery.first {
		b.log.Warn("discovery answers at its second address only", "first", b.discovery.first, "second", w.address)
	}
	b.discovery = b.discovery.afterAnswer(w.address)
	b.recordDiscovery(w.address)
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
		b.logUnreadable(b.previousWatch, err)
		dropWatch(&b.previousWatch)
	}
}

// logUnreadable logs that discovery's answer, or an entry in it, is invalid.
func (b *Balancer) logUnreadable(w *watch, err error) {
	b.limitedLog.Say(time.Now(), slog.LevelWarn, "discovery", "invalid answer from discovery",
		slog.String("discovery", w.address), slog.String("err", hint.Line(err)))
}
