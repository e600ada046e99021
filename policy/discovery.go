package policy

import "time"

// updateDeadline is when a change counts as notified though it did not arrive, from the moment in which discovery
// fell silent. The platform's protocol sets it.
const updateDeadline = 6 * time.Second

// discovery is the subscription to the endpoint list.
type discovery struct {
	subscribed bool
	nextPollAt time.Duration
	backoff    time.Duration
}

// initialPollBackoff is half of the longest wait before the first call that follows a broken subscription: however
// long the settings let a balancer go without polling, two calls have to be possible before what was missed counts
// as notified.
func (b *Balancer) initialPollBackoff() time.Duration {
	return min(b.config.PollInterval, updateDeadline) / 20
}

// pollIfNeeded subscribes where changes come to subscribers only, and the last call has had no answer for too long.
func (b *Balancer) pollIfNeeded() {
	if b.config.PollEndpointList && !b.discovery.subscribed && b.now >= b.discovery.nextPollAt {
		b.act(Subscribe{})
		b.discovery.nextPollAt = b.now + min(b.config.PollInterval, updateDeadline)/2
	}
}

// updateEndpoints follows discovery. Calls that fail together must not be repeated together, hence the staggered
// backoff.
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
