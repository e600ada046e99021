// Package policy decides where a balancer for long-lived connections sends each request, when it tries again, when
// it rejects, and which connections it migrates.
//
// A Balancer is one deterministic state machine. The host passes it one Event at a time, together with the current
// time, and carries out the Actions that Step appends. The package does no I/O, starts no goroutine, reads no clock
// and shares no state: equal events, times and seeds give equal actions. A Balancer is not safe for concurrent use;
// the goroutine that owns it calls Step.
//
// Placement follows "Fast, Concurrent and Distributed Load Balancing under Switching Costs and Imperfect
// Observations": a new request takes the better of two sampled servers, established connections explore with a
// probability that falls as t^-beta, and an explorer returns to its earlier server by the ratio of the two loads.
//
// Load means the work asked of a server over what it can do: 1 is a full server. Times are durations on the host's
// monotonic clock.
//
// Each decision has a file of its own:
//
//	placement.go    which server a request is sent to, and when
//	sampling.go     which servers a request compares
//	admission.go    whether a server has capacity left for a request
//	estimation.go   how loaded a server is between two load reports
//	slowstart.go    how much a starting server is sent
//	probing.go      when a server is asked for its load, and what the answer says
//	retry.go        whether a request may be tried again
//	setuplimit.go   how many attempts may be pending at once
//	rejection.go    when a request is given up, and with which answer
//	exploration.go  which established connections explore other servers
//	migration.go    which established connections are moved for other reasons
//	discovery.go    when the endpoint list is polled
//	fleet.go        how limits are divided among balancers
//	subset.go       which servers this balancer looks at
//
// The types of the conversation are declared in config.go, events.go and actions.go; balancer.go dispatches events,
// requests.go and servers.go hold what is remembered.
package policy
