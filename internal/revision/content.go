// Package revision is what balancers route by, all of them by the same at any time: routing revisions, their history, and the
// agreement on the next one. It is pure: no socket, clock or goroutine. This file owns the record; its text and hash stand in
// text.go, what is checked in check.go, how two differ in diff.go, how one is laid over the settings in overlay.go, who may
// route by which in the machines.
package revision

import "time"

// Form is the version of a revision's text. One of another form is turned down.
const Form = 1

// Content is what a revision says. What it doesn't name stays as the settings have it, so an empty one is the settings alone:
// that is revision 0, which every cluster begins with.
type Content struct {
	Form      int       `json:"oatloft_revision"`
	Note      string    `json:"note,omitzero"` // for operators
	Classes   []Class   `json:"classes,omitempty"`
	Tenants   []Tenant  `json:"tenants,omitempty"`
	Servers   []Place   `json:"regions,omitempty"`
	Zones     []Place   `json:"zones,omitempty"`
	Budgets   Budgets   `json:"budgets,omitzero"`
	Migration Migration `json:"moves,omitzero"`
	Links     []Link    `json:"links,omitempty"`
}

// Class is what a revision says of one class of the settings; 0 leaves the settings' figure.
type Class struct {
	Name                    string        `json:"name,omitzero"`
	PriorityRank            int           `json:"order,omitzero"` // of worth, 1 first: where room is scarce the last are refused first
	LatencyObjective        time.Duration `json:"aim,omitzero"`   // nanoseconds here, "300ms" in an operator's text
	MessageLatencyObjective time.Duration `json:"message_aim,omitzero"`
	MaxAttempts             int           `json:"attempts,omitzero"` // at most; never above the settings'
}

// Tenant is the connections over all balancers within a tenant's share; 0 for no limit.
type Tenant struct {
	Name            string  `json:"name,omitzero"`
	ConnectionQuota float64 `json:"connections"`
}

// Place is a region (by id) or a zone that is left out, or drawn by newcomers with another weight than 1.
type Place struct {
	ID       string  `json:"id,omitzero"`
	Excluded bool    `json:"out,omitzero"`
	Weight   float64 `json:"weight,omitzero"` // 0 where nothing is said, else in (0, 100]
}

// Budgets bound what all balancers together may do; 0 leaves the settings' figure.
type Budgets struct {
	RetryRatio         float64 `json:"retries,omitzero"` // further attempts, as a part of first ones
	MaxPendingAttempts int     `json:"setups,omitzero"`  // set-ups under way at one balancer
	WarmUpShare        float64 `json:"cold,omitzero"`    // part of the bound at which a cold region falls, in (0, 1]
}

// Migration say what becomes of connections that stand where newcomers no longer go: nothing, or MOVE at a rate.
type Migration struct {
	PerSecond float64 `json:"per_second,omitzero"` // of one balancer; 0: they stay
}

// Link is an ordered pair of zones with a bound on what passes, by class of traffic.
type Link struct {
	From    string      `json:"from,omitzero"`
	To      string      `json:"to,omitzero"`
	Bytes   float64     `json:"bytes,omitzero"` // a second, over all balancers
	Classes []LinkClass `json:"classes,omitempty"`
}

// LinkClass is a class's part of a link. Least parts of a link sum to 1 at most.
type LinkClass struct {
	Name     string  `json:"name,omitzero"`
	Priority int     `json:"priority,omitzero"` // 1 first, after all have had their least part
	MinShare float64 `json:"least,omitzero"`    // guaranteed part of the link, in [0, 1]
	Weight   float64 `json:"weight,omitzero"`   // among classes of one priority; 1 if 0
}
