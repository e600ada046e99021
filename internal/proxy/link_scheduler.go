package proxy

import "time"

const (
	// maxReadsPerLink bounds the consecutive reads scheduled on one link before the next link is served.
	maxReadsPerLink = 64
	// idlePause is the longest time between two checks of links without waiting connections.
	idlePause = time.Hour
)

// scheduledRead is a connection's turn to read.
type scheduledRead struct {
	conn  *connection
	queue *bandwidthQueue
	bytes int
}

// scheduleReads runs the reads that are due, on a goroutine of its own. It sleeps on a kernel timer: the runtime's
// may fire up to a millisecond late, which is longer than a turn.
func (z *zoneLinks) scheduleReads() {
	timer, kernelTimer := time.NewTimer(idlePause), newSystemTimer()
	defer timer.Stop()
	defer kernelTimer.close()
	precise := kernelTimer.onExpiry(z.signal)
	var turns []scheduledRead
	for {
		next := idlePause
		for _, link := range *z.all.Load() {
			turns = link.scheduledReads(z.balancer.now, turns[:0])
			z.readCount.Add(int64(len(turns)))
			for i, t := range turns {
				t.conn.readScheduled(t.queue, t.bytes)
				turns[i] = scheduledRead{}
			}
			next = min(next, link.untilNextRead(z.balancer.now))
		}
		if !precise || !kernelTimer.set(next) {
			timer.Reset(next)
		}
		select {
		case <-timer.C:
		case <-z.wake:
		case <-z.stop:
			return
		}
	}
}

// scheduledReads appends the reads that are due on the link.
func (l *zoneLink) scheduledReads(clock func() time.Duration, turns []scheduledRead) []scheduledRead {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := clock()
	for len(turns) < maxReadsPerLink {
		conn, flow, n, ok := l.shaper.Next(now)
		if !ok {
			break
		}
		turns = append(turns, scheduledRead{conn, &bandwidthQueue{l, flow}, n})
	}
	return turns
}

func (l *zoneLink) untilNextRead(clock func() time.Duration) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.shaper.NextDelay(clock())
}

// signal wakes the scheduling goroutine.
func (z *zoneLinks) signal() {
	select {
	case z.wake <- struct{}{}:
	default:
	}
}
