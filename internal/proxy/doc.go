// Package proxy is the balancer's process around the reducer (internal/core): the sockets, the event loop, and the
// ways to the balancer's other parts.
//
// One goroutine, the loop (loop.go), owns the Balancer and the reducer. nbio's callbacks (engine.go) run on other
// goroutines and only post events to the loop's queue; the loop turns them into events of the reducer and carries
// out its effects (effects.go). A connection has a part for the loop and a part guarded by its mutex. The package
// decides nothing about placing, retrying or refusing: the reducer and package policy do, and internal/admission
// decides who is let in.
//
// The files by subject:
//
//	balancer.go, loop.go, effects.go, event_queue.go, engine.go   the process and its loop
//	connection*.go, tail_writer.go, socket.go, dial.go            one connection
//	client.go, request.go, server_connection.go, migration.go     a client's request and the server that it is on
//	backpressure.go, finishing.go, shutdown.go                    slow peers and ends
//	listener.go, inherited.go, accept.go, admission.go, goodbye.go accepting and refusing connections
//	probe.go, discovery.go                                        load reports and the endpoint list
//	management.go, hot_restart.go, reload.go, report.go           operators and other processes of the balancer
//	peers.go, revisions.go, zone_links.go, shaping.go, link_scheduler.go   other balancers, revisions and bounded links
//	config.go, parse_config.go, edge_config.go, revision_config.go the configuration
package proxy
