package membership

import (
	"time"

	"oatloft/internal/failpoint"
)

// stall tracks periods in which this process did not run, as on a paused host. After one the view is stale.
type stall struct {
	lastStepAt          time.Duration
	stale               bool
	staleSince          time.Duration
	lastSyncBeforeStall uint32 // of the last Sync before the stall; answers to later ones were sent after it
}

// handleStall marks the view stale after a period in which this process did not run: other members may have been
// replaced, and their answers were not handled. Pending probes are dropped and suspicions extended by the period, so
// that it is not counted against any member.
func (m *Machine) handleStall(gap time.Duration) {
	m.Counters.Stalls++
	clear(m.probing.probes)
	clear(m.probing.relayed)
	for _, o := range m.members {
		if o.State == Suspect {
			o.suspectDeadline += gap
		}
	}
	m.stall.staleSince, m.lastReceivedAt = m.now, m.now
	m.stall.lastSyncBeforeStall = m.probing.syncSequence
	if !m.stall.stale {
		m.stall.stale = true
		m.emit(ViewStale{On: true})
	}
	m.schedule.probeAt, m.schedule.joinAt = m.now+m.cfg.probeInterval(), m.now
	m.requestSyncs(probeRelays)
}

// endStaleView makes the view current again, after a full answer to a Sync or a timeout.
func (m *Machine) endStaleView() {
	if m.stall.stale && !failpoint.On("old-for-ever") {
		m.stall.stale = false
		m.emit(ViewStale{})
	}
}

// endStaleViewAfterTimeout makes the view current again PeerTimeout after the stall even without an answer. If all
// members stalled at once, or none can be reached, there is nothing better to wait for.
func (m *Machine) endStaleViewAfterTimeout() {
	if m.stall.stale && m.now-m.stall.staleSince > m.cfg.PeerTimeout {
		m.endStaleView()
	}
}

// answersCurrentSync reports whether a message answers a Sync that was requested after the last stall.
func (m *Machine) answersCurrentSync(message *Message) bool {
	return message.Kind == Gossip && int32(message.Sequence-m.stall.lastSyncBeforeStall) > 0 && message.Sequence != 0
}
