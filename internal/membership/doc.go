// Package membership maintains the list of balancers in a cluster and distributes the signals that each member
// publishes. It implements the SWIM membership protocol with Lifeguard's handling of slow members: round-robin probes,
// indirect probes, suspicions that the suspect can refute, and updates piggybacked on every packet.
//
// Machine is the protocol without socket, clock or goroutine: it takes an event and the time and returns effects. Host
// runs a Machine on a UDP socket and a goroutine of its own. The goroutine that forwards clients' data reads a View and
// sets signals without blocking. The package makes no decisions about clients or servers.
//
// The clocks of members are never compared. Messages carry ages only, and a generation is compared only with other
// generations of the same name.
//
// Sources: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol" (2002); Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
// Detection" (2018).
package membership
