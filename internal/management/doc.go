// Package management implements the protocol and the server for operators' calls to a balancer: each connection
// carries one line with a call and one line with its answer. The package parses calls and writes answers; the handler
// carries the calls out.
package management
