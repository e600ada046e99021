// Package core is the reducer of the balancer: one event and the time in, effects out. It owns every request with
// its attempts, the endpoint list, and all timers; it passes what happened to the decision module in package policy
// and turns the module's actions into effects.
//
// A Reducer is not safe for concurrent use; the host's event loop owns it. It does no I/O, reads no clock, and
// knows no protocol: bytes pass through it unread. It never chooses a server, tries again or delays a request by
// itself.
//
// The state is divided among small machines, each with a file:
//
//	requests.go     requests from their arrival to their final answer
//	attempts.go     the attempts of a request at servers
//	connections.go  established connections: data, message delays, silence
//	idle.go         clients that have sent no request yet
//	endpoints.go    the endpoint list
//	watch.go        the watch by which discovery sends the list
//	maintenance.go  servers in maintenance, and the drain of the balancer
//	migration.go    connections that are migrated at a pace
//	predecessor.go  what an earlier process has left
//	shutdown.go     the way from SIGTERM to the end of the process
//	timers.go       the timer wheel
//
// reducer.go dispatches events, timers and the module's actions to them.
package core
