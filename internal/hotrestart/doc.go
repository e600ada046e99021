// Package hotrestart keeps what one process of a balancer leaves to the next, in small files in a directory that
// both see: which servers are in maintenance and, from a process that shuts down, which server each client's flow
// is on. It also lets the processes of one balancer see each other while they overlap (Presence).
//
// Two versions of the program may run at once. A file that is damaged, another balancer's or of a later version is
// an error that its reader passes over, and no reason to stop. A file is replaced whole or not at all.
package hotrestart
