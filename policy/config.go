package policy

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Idempotency is the effect of sending a request of a class more than once.
type Idempotency int

// Values of Idempotency.
const (
	Idempotent      Idempotency = iota // repeats are harmless
	IdempotentByKey                    // servers of one KeyScope discard repeats during the class's KeyTTL
	NotIdempotent                      // never repeated unless every earlier attempt is known not to have run
)

// KeyScope is the set of servers that discard each other's repeats of a request with an idempotency key.
type KeyScope int

// Values of KeyScope.
const (
	KeyScopeAll  KeyScope = iota // all servers
	KeyScopeZone                 // the servers of one zone
	KeyScopeCell                 // the servers of one cell
)

// Class holds the settings of one class of requests.
type Class struct {
	Name                    string
	LatencyObjective        time.Duration // for establishing a connection
	MessageLatencyObjective time.Duration // for one message on an established connection; 0 if unknown
	Idempotency             Idempotency
	KeyScope                KeyScope
	KeyTTL                  time.Duration // how long servers remember an idempotency key
	PriorityRank            int           // when capacity is scarce, rank 1 goes first, the highest last; 0: no rank
	MaxAttempts             int           // applies if below Config.MaxAttempts; 0 if the class has no limit
}

// Tenant holds one tenant's quota.
type Tenant struct {
	Name            string
	ConnectionQuota float64 // established connections over all balancers; 0 for no limit
}

// Config holds the settings of a balancer. New validates it.
type Config struct {
	Zone            string // the balancer's own zone
	Balancers       int    // in the fleet, including this one
	Classes         []Class
	Tenants         []Tenant
	TimerResolution time.Duration // of the host's timers

	MaxAttempts          int
	ProbesEnabled        bool          // Probe actions are allowed
	OverlappingProcesses int           // additional processes that place requests for this balancer during an upgrade
	MaxRetryAfter        time.Duration // of a Reject; 0 if rejections carry no retry time
	PollEndpointList     bool          // changes of the endpoint list are sent to subscribers only
	PollInterval         time.Duration // longest time that an unsubscribed balancer may go without polling
	CrossZoneCost        float64       // of sending one request to another zone, as a fraction of the request's value

	WarmUpInitialCapacity float64       // least fraction of its full capacity that a starting server has
	WarmUpDuration        time.Duration // after which a starting server has its full capacity
	OverloadMultiple      float64       // a starting server fails if it gets more than this many times its capacity
	OverloadWindow        time.Duration // during this time
	WarmUpBudgetShare     float64       // fraction of that bound that balancers use, in (0, 1]; 0 for the default

	RetryRatio          float64            // maximum of retries, as a fraction of requests; 0 for no limit
	MaxPendingAttempts  int                // limit of attempts pending at the same time; 0 for the default
	Weights             map[string]float64 // by server ID or "zone/" + zone; 0: no new requests; 1 if absent
	MigrationsPerSecond float64            // connections migrated away from a server of weight 0; 0: they stay

	ExplorationDecay float64 // exponent of the decay of the exploration probability, in [0.5, 1]; 0 for the default
	MaxExploration   float64 // limit of the exploration probability, in (0, 0.5]; 0 for the default
}

// Defaults of optional settings.
const (
	defaultExplorationDecay   = 0.75 // exponent; the middle of the range for which the paper has a proof
	defaultMaxExploration     = 0.05 // probability in one slot, the limit that the design sets
	defaultWarmUpBudgetShare  = 0.6  // fraction of the bound that a starting server can bear
	defaultMaxPendingAttempts = 64   // attempts
)

// ConfigError reports an invalid setting.
type ConfigError struct{ Reason string }

// Error returns the invalid setting and its value.
func (e *ConfigError) Error() string { return "policy settings: " + e.Reason }

// Hint returns what an operator can do about the error.
func (e *ConfigError) Hint() string {
	return "correct the platform's settings or the active revision, then start or reload"
}

// withDefaults replaces zero values by defaults.
func (c Config) withDefaults() Config {
	c.ExplorationDecay = cmp.Or(c.ExplorationDecay, defaultExplorationDecay)
	c.MaxExploration = cmp.Or(c.MaxExploration, defaultMaxExploration)
	c.WarmUpBudgetShare = cmp.Or(c.WarmUpBudgetShare, defaultWarmUpBudgetShare)
	c.MaxPendingAttempts = cmp.Or(c.MaxPendingAttempts, defaultMaxPendingAttempts)
	return c
}

// validate returns a *ConfigError for the first invalid setting. Comparisons are negated, so that NaN fails them.
func (c Config) validate() error {
	minDuration := min(c.TimerResolution, c.PollInterval, c.WarmUpDuration, c.OverloadWindow, c.MaxRetryAfter)
	for _, class := range c.Classes {
		if class.LatencyObjective <= 0 {
			return &ConfigError{fmt.Sprintf("class %q: no latency objective", class.Name)}
		}
		minDuration = min(minDuration, class.KeyTTL, class.MessageLatencyObjective)
	}
	decay, limit := c.ExplorationDecay, c.MaxExploration
	for _, rule := range []struct {
		invalid bool
		reason  string
	}{
		{len(c.Classes) == 0, "no classes"},
		{minDuration < 0, "a duration is negative"},
		{!(decay >= 0.5 && decay <= 1), fmt.Sprintf("beta %v is outside [0.5, 1]", decay)},
		{!(limit > 0 && limit <= 0.5), fmt.Sprintf("exploration cap %v is outside (0, 0.5]", limit)},
		{c.Balancers < 1, fmt.Sprintf("number of balancers is %d, must be at least 1", c.Balancers)},
		{c.MaxAttempts < 1, fmt.Sprintf("limit of attempts is %d, must be at least 1", c.MaxAttempts)},
		{
			!isFraction(c.WarmUpInitialCapacity),
			fmt.Sprintf("warm-up initial capacity (cold-from) %v is outside [0, 1]", c.WarmUpInitialCapacity),
		},
		{
			!(c.OverloadMultiple >= 0),
			fmt.Sprintf("overload multiple (fall-multiple) is %v, must be at least 0", c.OverloadMultiple),
		},
		{!isFraction(c.WarmUpBudgetShare), fmt.Sprintf("warm-up budget share %v is outside [0, 1]", c.WarmUpBudgetShare)},
		{
			!(min(c.RetryRatio, c.MigrationsPerSecond, float64(c.MaxPendingAttempts)) >= 0),
			"a budget (retry ratio, migrations per second or pending attempts) is negative",
		},
		{!(c.CrossZoneCost >= 0), fmt.Sprintf("cross-zone cost is %v, must be at least 0", c.CrossZoneCost)},
		{c.PollEndpointList && c.PollInterval == 0, "the endpoint list has to be polled, but the poll interval is 0"},
	} {
		if rule.invalid {
			return &ConfigError{rule.reason}
		}
	}
	return nil
}

func isFraction(x float64) bool { return x >= 0 && x <= 1 }

// configure applies settings. If one of them is invalid, it returns a *ConfigError and changes nothing.
func (b *Balancer) configure(config Config) error {
	config = config.withDefaults()
	if err := config.validate(); err != nil {
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

// classIndex holds the classes of the active settings by name.
type classIndex struct {
	byName           map[string]*Class
	highestRank      int           // the highest PriorityRank
	messageObjective time.Duration // the tightest MessageLatencyObjective; 0 if none is known
}

// indexClasses builds the index, and limits each class's attempts to Config.MaxAttempts. Requests in progress keep
// the class settings with which they arrived.
func indexClasses(config Config) classIndex {
	index := classIndex{byName: make(map[string]*Class, len(config.Classes))}
	for i := range config.Classes {
		class := &config.Classes[i]
		class.MaxAttempts = min(cmp.Or(class.MaxAttempts, config.MaxAttempts), config.MaxAttempts)
		index.byName[class.Name] = class
		index.highestRank = max(index.highestRank, class.PriorityRank)
		objective := class.MessageLatencyObjective
		if index.messageObjective == 0 || objective > 0 && objective < index.messageObjective {
			index.messageObjective = objective
		}
	}
	return index
}

// tenantState is a tenant's quota and its number of connections through this balancer.
type tenantState struct {
	Tenant
	openConnections int
}

// overQuota reports whether a tenant exceeds its quota by more than a fifth, assuming that every balancer has as many
// of its connections as this one.
func (t *tenantState) overQuota(balancers int) bool {
	return t != nil && t.ConnectionQuota > 0 && float64(t.openConnections*balancers) > 1.2*t.ConnectionQuota
}

// indexTenants returns the configured tenants by name, with the connection counts of those configured before.
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
