// Package coordination turns what balancers announce to each other into events for the decision module: candidates
// (internal/subset), others' readings and the servers to read for all (internal/stagger), and shares, slots and
// demand (internal/stagger). Each of the three works without the other two.
//
// The package is pure: a view of the members and what this balancer knows itself go in, events and this balancer's
// own announcement come out. It has no socket and no clock, and decides no placement. Where the view is stale or no
// other member is present, the module is left as it would be alone: all servers are candidates, own readings, the
// settings' shares.
package coordination
