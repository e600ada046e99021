package revision

import "time"

// Form is the version of a revision's text. A text of another form is rejected.
const Form = 1

// Content is what a revision says. What it does not name stays as the settings have it, so that an empty one is the
// settings alone: revision 0, with which every cluster begins.
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
	PriorityRank            int           `json:"order,omitzero"` // 1 first; the last are rejected first
	LatencyObjective        time.Duration `json:"aim,omitzero"`   // nanoseconds here, "300ms" in an operator's text
	MessageLatencyObjective time.Duration `json:"message_aim,omitzero"`
	MaxAttempts             int           `json:"attempts,omitzero"` // at most; never above the settings'
}

// Tenant is the connections over all balancers within a tenant's share; 0 for no limit.
type Tenant struct {
	Name            string  `json:"name,omitzero"`
	ConnectionQuota float64 `json:"connections"`
}

// Place is a server (by id) or a zone that takes no new requests, or is sampled with another weight than 1.
type Place struct {
	ID       string  `json:"id,omitzero"`
	Excluded bool    `json:"out,omitzero"`
	Weight   float64 `json:"weight,omitzero"` // 0 where nothing is said, else in (0, 100]
}

// Budgets limit what balancers may do; 0 leaves the settings' figure.
type Budgets struct {
	RetryRatio         float64 `json:"retries,omitzero"` // retries, as a fraction of first attempts
	MaxPendingAttempts int     `json:"setups,omitzero"`  // at one balancer
	WarmUpShare        float64 `json:"cold,omitzero"`    // of the bound at which a starting server fails, in (0, 1]
}

// Migration says what becomes of connections to servers that take no new requests: nothing, or migration at a rate.
type Migration struct {
	PerSecond float64 `json:"per_second,omitzero"` // at one balancer; 0: they stay
}

// Link is an ordered pair of zones with a bound on what passes, by class of traffic.
type Link struct {
	From    string      `json:"from,omitzero"`
	To      string      `json:"to,omitzero"`
	Bytes   float64     `json:"bytes,omitzero"` // a second, over all balancers
	Classes []LinkClass `json:"classes,omitempty"`
}

// LinkClass is a class's share of a link. The minimum shares of a link sum to 1 at most.
type LinkClass struct {
	Name     string  `json:"name,omitzero"`
	Priority int     `json:"priority,omitzero"` // 1 first, after all have had their minimum share
	MinShare float64 `json:"least,omitzero"`    // guaranteed share of the link, in [0, 1]
	Weight   float64 `json:"weight,omitzero"`   // among classes of one priority; 1 if 0
}
