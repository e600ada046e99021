// Package policy implements the decisions of a balancer for long-lived connections: where each request is sent, when
// it is retried or rejected, and which connections are migrated.
//
// A Balancer is a deterministic state machine. The host passes it one Event at a time, together with the current
// time, and carries out the Actions that Step appends. The package does no I/O, starts no goroutines, reads no clock
// and has no shared state: equal events, times and seeds give equal actions. A Balancer is not safe for concurrent
// use; the goroutine that owns it calls Step.
//
// Placement follows "Fast, Concurrent and Distributed Load Balancing under Switching Costs and Imperfect
// Observations": a new request takes the better of two sampled servers, established connections explore with a
// probability that falls as t^-beta, and a connection that explored returns to its earlier server with a probability
// that depends on the ratio of the two loads.
//
// Load is the work requested of a server divided by its capacity: 1 is a full server. Times are durations on the
// host's monotonic clock.
//
// Each decision has its own file:
//
//	placement.go    which server a request is sent to, and when
//	sampling.go     which servers a request compares
//	admission.go    whether a server has capacity left for a request
//	estimation.go   how loaded a server is between two load reports
//	slowstart.go    how many requests a starting server gets
//	probing.go      when a server is probed, and how the result is used
//	retry.go        whether a request may be retried
//	setuplimit.go   how many attempts may be pending at the same time
//	rejection.go    when a request is rejected or failed, and for which reason
//	exploration.go  which established connections explore other servers
//	migration.go    which established connections are migrated for other reasons
//	discovery.go    when the endpoint list is polled
//	fleet.go        how limits are divided among balancers
//	subset.go       which servers this balancer considers
//
// The types exchanged with the host are declared in config.go, events.go and actions.go. balancer.go dispatches
// events; requests.go and servers.go hold the state.
package policy
