// Package membership lets balancers know of each other: which members are present, and the signals that each sends
// to all. It implements the SWIM membership protocol with Lifeguard's handling of a slow member: probes in turn,
// probes by way of other members, suspicions that the suspect can refute, and updates that ride on every packet.
//
// Machine is the protocol without socket, clock or goroutine: an event and the time go in, effects come out. Host
// gives it a UDP socket and a goroutine of its own. The goroutine that moves clients' data reads a View and leaves
// signals, and waits for neither. The package decides nothing about clients or servers.
//
// Clocks of members are never compared. Only ages travel, and a generation is only compared with others of its name.
//
// Sources: Das, Gupta and Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol" (2002); Dadgar, Phillips and Currey, "Lifeguard: Local Health Awareness for More Accurate Failure
// Detection" (2018).
package membership
