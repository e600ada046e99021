package policy

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Idempotency says what happens when a request of a class is sent more than once.
type Idempotency int

// The kinds of idempotency.
const (
	Idempotent      Idempotency = iota // repeats do no harm
	IdempotentByKey                    // servers of one KeyScope drop repeats, for the class's KeyTTL
	NotIdempotent                      // never repeated unless every earlier attempt is known not to have run
)

// KeyScope names the servers that drop each other's repeats of a request with an idempotency key.
type KeyScope int

// The scopes of an idempotency key.
const (
	KeyScopeAll  KeyScope = iota // all servers
	KeyScopeZone                 // the servers of one zone
	KeyScopeCell                 // the servers of one cell
)

// Class holds the settings of one class of requests.
type Class struct {
	Name                    string
	LatencyObjective        time.Duration // within which a connection should be established
	MessageLatencyObjective time.Duration // of one message on an established connection; 0 if unknown
	Idempotency             Idempotency
	KeyScope                KeyScope
	KeyTTL                  time.Duration // how long servers remember an idempotency key
	PriorityRank            int           // 1 is served first when capacity is scarce, the highest rank last; 0 for none
	MaxAttempts             int           // if less than Config.MaxAttempts; 0 for no limit of its own
}

// Tenant holds one tenant's quota.
type Tenant struct {
	Name            string
	ConnectionQuota float64 // established connections over all balancers; 0 for no limit
}

// Config holds the settings of a balancer. New checks it.
type Config struct {
	Zone            string // the balancer's own zone
	Balancers       int    // in the fleet, this one included
	Classes         []Class
	Tenants         []Tenant
	TimerResolution time.Duration // of the host's timers

	MaxAttempts          int
	ProbesEnabled        bool          // Probe actions are allowed
	OverlappingProcesses int           // further processes that place for this balancer during an upgrade
	MaxRetryAfter        time.Duration // of a Reject; 0 where clients are given no time
	PollEndpointList     bool          // changes of the endpoint list come only to a subscriber
	PollInterval         time.Duration // within which an unsubscribed balancer has to poll again
	CrossZoneCost        float64       // of one crossing of zones, as a fraction of a request's worth

	WarmUpInitialCapacity float64       // fraction of its capacity that a starting server has at least
	WarmUpDuration        time.Duration // after which it has all of it
	OverloadMultiple      float64       // a starting server fails when sent more than so many times its capacity
	OverloadWindow        time.Duration // for this long
	WarmUpBudgetShare     float64       // fraction of that bound which balancers use, in (0, 1]; 0 for the default

	RetryRatio          float64            // retries at most, as a fraction of requests; 0 for no limit
	MaxPendingAttempts  int                // attempts that may be pending at once; 0 for the default
	Weights             map[string]float64 // by id, or "zone/" and a zone; 0: no new requests; 1 if not named
	MigrationsPerSecond float64            // connections that leave a server of weight 0; 0: they stay

	ExplorationDecay float64 // exponent of the exploration's decay, within [0.5, 1]; 0 for the default
	MaxExploration   float64 // limit of the exploration probability, within (0, 0.5]; 0 for the default
}

// Defaults of settings that deployments may leave out.
const (
	defaultExplorationDecay   = 0.75 // mid-way in the range that the paper proves
	defaultMaxExploration     = 0.05 // the design's limit for one slot
	defaultWarmUpBudgetShare  = 0.6
	defaultMaxPendingAttempts = 64
)

// ConfigError is a setting with which no decision can be made.
type ConfigError struct{ Reason string }

// Error names the setting.
func (e *ConfigError) Error() string { return "policy settings: " + e.Reason }

// Hint is what an operator can do about it.
func (e *ConfigError) Hint() string {
	return "mend the platform's settings, or the revision in force, and start or reload"
}

// withDefaults fills in what is zero.
func (c Config) withDefaults() Config {
	c.ExplorationDecay = cmp.Or(c.ExplorationDecay, defaultExplorationDecay)
	c.MaxExploration = cmp.Or(c.MaxExploration, defaultMaxExploration)
	c.WarmUpBudgetShare = cmp.Or(c.WarmUpBudgetShare, defaultWarmUpBudgetShare)
	c.MaxPendingAttempts = cmp.Or(c.MaxPendingAttempts, defaultMaxPendingAttempts)
	return c
}

// check names the first setting that cannot work, as a *ConfigError. Comparisons are negated so that NaN fails them.
func (c Config) check() error {
	shortest := min(c.TimerResolution, c.PollInterval, c.WarmUpDuration, c.OverloadWindow, c.MaxRetryAfter)
	for _, class := range c.Classes {
		if class.LatencyObjective <= 0 {
			return &ConfigError{fmt.Sprintf("class %q: no aim", class.Name)}
		}
		shortest = min(shortest, class.KeyTTL, class.MessageLatencyObjective)
	}
	decay, limit := c.ExplorationDecay, c.MaxExploration
	for _, rule := range []struct {
		broken bool
		reason string
	}{
		{len(c.Classes) == 0, "no classes"},
		{shortest < 0, "a negative time"},
		{!(decay >= 0.5 && decay <= 1), fmt.Sprintf("beta %v is outside [0.5, 1]", decay)},
		{!(limit > 0 && limit <= 0.5), fmt.Sprintf("exploration cap %v is outside (0, 0.5]", limit)},
		{c.Balancers < 1, fmt.Sprintf("%d balancers", c.Balancers)},
		{c.MaxAttempts < 1, fmt.Sprintf("%d attempts allowed", c.MaxAttempts)},
		{!isFraction(c.WarmUpInitialCapacity), fmt.Sprintf("cold share %v is outside [0, 1]", c.WarmUpInitialCapacity)},
		{!(c.OverloadMultiple >= 0), fmt.Sprintf("fall multiple %v", c.OverloadMultiple)},
		{!isFraction(c.WarmUpBudgetShare), fmt.Sprintf("part %v of the cold bound is outside [0, 1]", c.WarmUpBudgetShare)},
		{!(min(c.RetryRatio, c.MigrationsPerSecond, float64(c.MaxPendingAttempts)) >= 0), "a negative budget"},
		{!(c.CrossZoneCost >= 0), fmt.Sprintf("price of crossing zones %v", c.CrossZoneCost)},
		{c.PollEndpointList && c.PollInterval == 0, "a list to be asked for, but no time to ask within"},
	} {
		if rule.broken {
			return &ConfigError{rule.reason}
		}
	}
	return nil
}

func isFraction(x float64) bool { return x >= 0 && x <= 1 }

// configure takes settings. It changes nothing and returns a *ConfigError if one of them cannot work.
func (b *Balancer) configure(config Config) error {
	config = config.withDefaults()
	if err := config.check(); err != nil {
		return err
	}
	config.Classes = slices.Clone(config.Classes)
	b.config = config
	b.tickInterval = max(minTickInterval, config.TimerResolution)
	b.setups.limit = min(b.setups.limit, float64(config.MaxPendingAttempts))
	b.classes = indexClasses(config)
	b.tenants = indexTenants(config.Tenants, b.tenants)
	b.markSubset()
	return nil
}

// classIndex finds the classes of the settings in force by name.
type classIndex struct {
	byName           map[string]*Class
	lowestPriority   int           // the highest PriorityRank
	messageObjective time.Duration // the tightest MessageLatencyObjective; 0 if none is known
}

// indexClasses also limits each class's attempts by those of all. Requests that are under way keep the class that
// they came with.
func indexClasses(config Config) classIndex {
	index := classIndex{byName: make(map[string]*Class, len(config.Classes))}
	for i := range config.Classes {
		class := &config.Classes[i]
		class.MaxAttempts = min(cmp.Or(class.MaxAttempts, config.MaxAttempts), config.MaxAttempts)
		index.byName[class.Name] = class
		index.lowestPriority = max(index.lowestPriority, class.PriorityRank)
		objective := class.MessageLatencyObjective
		if index.messageObjective == 0 || objective > 0 && objective < index.messageObjective {
			index.messageObjective = objective
		}
	}
	return index
}

// tenantState is a tenant's quota and what this balancer holds for it.
type tenantState struct {
	Tenant
	openConnections int
}

// overQuota tells whether a tenant is well beyond its quota, assuming that all balancers hold as much for it as
// this one.
func (t *tenantState) overQuota(balancers int) bool {
	return t != nil && t.ConnectionQuota > 0 && float64(t.openConnections*balancers) > 1.2*t.ConnectionQuota
}

// indexTenants keeps the counts of tenants that are still configured.
func indexTenants(tenants []Tenant, earlier map[string]*tenantState) map[string]*tenantState {
	index := make(map[string]*tenantState, len(tenants))
	for _, tenant := range tenants {
		state := earlier[tenant.Name]
		if state == nil {
			state = &tenantState{}
		}
		state.Tenant = tenant
		index[tenant.Name] = state
	}
	return index
}
