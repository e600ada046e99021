// Package proxy runs the balancer process around the reducer (internal/core): the sockets, the event loop, and the
// connections to the balancer's other components.
//
// One goroutine, the loop (loop.go), owns the Balancer and the reducer. nbio's callbacks (engine.go) run on other
// goroutines and only post events to the loop's queue; the loop turns them into events of the reducer and carries
// out its effects (effects.go). Some fields of a connection belong to the loop, the others are guarded by its mutex.
// The package makes no decisions on placement, retries or rejections: the reducer and package policy make them, and
// internal/admission decides which connections and requests are admitted.
//
// The files by subject:
//
//	balancer.go, loop.go, effects.go, event_queue.go, engine.go   process and event loop
//	connection*.go, tail_writer.go, socket.go, dial.go            a single connection
//	paced_reads.go                                                clients that send much before a request
//	client.go, request.go, server_connection.go, migration.go     a client's request and its server
//	backpressure.go, finishing.go, shutdown.go                    slow peers, connection close, shutdown
//	listener.go, inherited.go, accept.go, admission.go, lingering_close.go   accepting and rejecting
//	probe.go, discovery.go                                        load reports and endpoint list
//	management.go, hot_restart.go, reload.go, report.go           operators and overlapping processes
//	peers.go, revisions.go, zone_links.go, shaping.go, link_scheduler.go   peers, revisions and bounded links
//	config.go, parse_config.go, edge_config.go, revision_config.go   configuration
package proxy
