// Package hotrestart passes state from one process of a balancer to the next, in small files in a shared directory:
// which servers are in maintenance, which address of discovery answered (DiscoveryRecord) and, from a process that
// shuts down, the server of each client's flow. It also lets the processes of one balancer see each other while they
// overlap (Presence), which requests the others have sent (SentRequests), and that one of them has read the
// configuration file again (AnnounceReload).
//
// Two versions of the program may run at the same time. A file that is damaged, belongs to another balancer or has a
// later version is reported as an error and ignored; it never stops a process. Files are replaced atomically.
package hotrestart
