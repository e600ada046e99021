package membership

import (
	"time"

	"oatloft/internal/failpoint"
)

// stall tracks times in which this process did not run, after which its view is stale.
type stall struct {
	lastStepAt   time.Duration
	stale        bool
	staleSince   time.Duration
	syncSequence uint32 // of the latest Sync before the stall; answers to later ones have not waited through it
}

// handleStall deals with a time in which this process did not run. What it holds is stale: other members may have
// been replaced, and none could answer. The time counts against nobody.
func (m *Machine) handleStall(gap time.Duration) {
	m.Counters.Old++
	clear(m.probing.probes)
	clear(m.probing.relayed)
	for _, o := range m.members {
		if o.State == Suspect {
			o.suspectDeadline += gap
		}
	}
	m.stall.staleSince, m.lastReceivedAt = m.now, m.now
	m.stall.syncSequence = m.probing.syncSequence
	if !m.stall.stale {
		m.stall.stale = true
		m.emit(ViewStale{On: true})
	}
	m.schedule.probeAt, m.schedule.joinAt = m.now+m.cfg.probeInterval(), m.now
	m.requestSyncs(probeRelays)
}

// endStale makes the view good again: a member has answered with everything, or there is none to answer.
func (m *Machine) endStale() {
	if m.stall.stale && !failpoint.On("old-for-ever") {
		m.stall.stale = false
		m.emit(ViewStale{})
	}
}

// endStallWithoutAnswer makes the view good after a while in any case. Where all members have stalled at once, or
// none can be asked, what has come since is all there is.
func (m *Machine) endStallWithoutAnswer() {
	if m.stall.stale && m.now-m.stall.staleSince > m.cfg.PeerTimeout {
		m.endStale()
	}
}

// answersCurrentSync tells whether a message answers a Sync of after the last stall.
func (m *Machine) answersCurrentSync(g *Message) bool {
	return g.Kind == Gossip && int32(g.Sequence-m.stall.syncSequence) > 0 && g.Sequence != 0
}
