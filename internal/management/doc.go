// Package management is the protocol and the server of the address on which operators call a balancer: one line a
// connection, one line back. It reads calls and writes answers, and knows nothing of what a call does: that is the
// handler's.
package management
