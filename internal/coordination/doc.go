// Package coordination converts the announcements of balancers into events for the decision module. It has three
// functions, which work independently of each other: subsets, which limit the candidate servers (internal/subset);
// shared readings, which assign servers to readers and combine the readings of all members (internal/stagger); and
// staggering, which divides bounded budgets, spreads exploration slots and adds up demand (internal/stagger).
//
// The package takes a view of the members and the local state of this balancer, and returns events and this balancer's
// announcement. It uses no socket and no clock, and makes no placement decisions. If the view is stale or no other
// member is present, the decision module works as in a single balancer: all servers are candidates, only own readings
// are used, and budgets are divided by the configured number of balancers.
package coordination
