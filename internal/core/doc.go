// Package core is the balancer's reducer: it takes an event and the current time and returns effects. It owns every
// request with its attempts, the endpoint list, and all timers. It reports events to the decision module in package
// policy, below called the module, and turns the module's actions into effects.
//
// A Reducer is not safe for concurrent use; the host's event loop owns it. It does no I/O, reads no clock, and
// knows no protocol: it forwards bytes without parsing them. It never chooses a server, retries or delays a request
// on its own; the module decides all of these.
//
// The state is divided among small state machines, one per file:
//
//	requests.go     requests from their arrival to their final answer
//	attempts.go     the attempts of a request at servers
//	connections.go  established connections: data, message delays, detection of silent servers
//	idle.go         clients that have sent no request yet
//	endpoints.go    the endpoint list
//	watch.go        the watch through which discovery sends the list
//	maintenance.go  servers in maintenance, and the drain of the balancer
//	migration.go    rate-limited migration of connections
//	predecessor.go  state inherited from an earlier process
//	shutdown.go     the shutdown, from SIGTERM to the exit of the process
//	timers.go       the timer wheel
//
// reducer.go dispatches events, timers and the module's actions to these files.
package core
