package revision

import "time"

// FormatVersion is the format version of a revision's text. A text of any other version is rejected.
const FormatVersion = 1

// Content is the content of a revision. Fields that are not set leave the settings unchanged, so that an empty
// Content equals the settings: revision 0, with which every cluster starts.
type Content struct {
	FormatVersion int         `json:"oatloft_revision"`
	Note          string      `json:"note,omitzero"` // for operators
	Classes       []Class     `json:"classes,omitempty"`
	Tenants       []Tenant    `json:"tenants,omitempty"`
	Servers       []Placement `json:"regions,omitempty"`
	Zones         []Placement `json:"zones,omitempty"`
	Budgets       Budgets     `json:"budgets,omitzero"`
	Migration     Migration   `json:"moves,omitzero"`
	Links         []Link      `json:"links,omitempty"`
}

// Class overrides fields of one class of the settings; 0 leaves the settings' value.
type Class struct {
	Name                    string        `json:"name,omitzero"`
	PriorityRank            int           `json:"order,omitzero"` // 1 is first; the highest rank is rejected first
	LatencyObjective        time.Duration `json:"aim,omitzero"`   // nanoseconds in JSON; "300ms" in operators' files
	MessageLatencyObjective time.Duration `json:"message_aim,omitzero"`
	MaxAttempts             int           `json:"attempts,omitzero"` // may not exceed the settings' value
}

// Tenant sets a tenant's quota of connections over all balancers; 0 means no limit.
type Tenant struct {
	Name            string  `json:"name,omitzero"`
	ConnectionQuota float64 `json:"connections"`
}

// Placement is a server (by id) or a zone that is excluded from new requests or sampled with a weight other than 1.
type Placement struct {
	ID       string  `json:"id,omitzero"`
	Excluded bool    `json:"out,omitzero"`
	Weight   float64 `json:"weight,omitzero"` // 0 if not set, otherwise in (0, 100]
}

// Budgets limits the work of balancers; 0 leaves the settings' value.
type Budgets struct {
	RetryRatio         float64 `json:"retries,omitzero"` // retries as a fraction of first attempts
	MaxPendingAttempts int     `json:"setups,omitzero"`  // per balancer
	WarmUpShare        float64 `json:"cold,omitzero"`    // of the load bound at which a server in warm-up fails, in (0, 1]
}

// Migration sets the rate at which connections migrate away from servers that are excluded from new requests.
type Migration struct {
	PerSecond float64 `json:"per_second,omitzero"` // per balancer; 0: connections are not migrated
}

// Link limits the traffic from one zone to another, by class.
type Link struct {
	From    string      `json:"from,omitzero"`
	To      string      `json:"to,omitzero"`
	Bytes   float64     `json:"bytes,omitzero"` // per second, over all balancers
	Classes []LinkClass `json:"classes,omitempty"`
}

// LinkClass is a class's share of a link. The minimum shares of a link may sum to at most 1.
type LinkClass struct {
	Name     string  `json:"name,omitzero"`
	Priority int     `json:"priority,omitzero"` // 1 is served first, after the minimum shares of all classes
	MinShare float64 `json:"least,omitzero"`    // guaranteed fraction of the link, in [0, 1]
	Weight   float64 `json:"weight,omitzero"`   // among classes of equal priority; 0 means 1
}
