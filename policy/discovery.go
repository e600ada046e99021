package policy

import "time"

// updateDeadline is the time after the last message from discovery at which a change counts as notified even if it
// was not received. The platform's protocol defines it.
const updateDeadline = 6 * time.Second

// discovery is the state of the subscription to the endpoint list.
type discovery struct {
	subscribed bool
	nextPollAt time.Duration
	backoff    time.Duration
}

// initialPollBackoff returns half of the longest wait before the first call after a broken subscription. Whatever
// poll interval is configured, two calls must be possible before missed changes count as notified.
func (b *Balancer) initialPollBackoff() time.Duration {
	return min(b.config.PollInterval, updateDeadline) / 20
}

// pollIfNeeded subscribes again if changes are sent to subscribers only and the last call went unanswered for too
// long.
func (b *Balancer) pollIfNeeded() {
	if b.config.PollEndpointList && !b.discovery.subscribed && b.now >= b.discovery.nextPollAt {
		b.emit(Subscribe{})
		b.discovery.nextPollAt = b.now + min(b.config.PollInterval, updateDeadline)/2
	}
}

// updateEndpoints applies a message from discovery. The backoff is staggered, because the calls of many balancers can
// fail together and must not be repeated together.
func (b *Balancer) updateEndpoints(list ServerList) {
	d := &b.discovery
	if list.Kind == ListFailed {
		d.subscribed = false
		d.backoff = min(2*d.backoff, b.config.PollInterval*3/4, updateDeadline/4)
		d.nextPollAt = b.now + d.backoff/2 + b.staggered(d.backoff/2)
		return
	}
	if list.Kind != ListCached {
		d.subscribed = true
		d.backoff = b.initialPollBackoff()
	}
	b.mergeServers(list)
}
