package admission

import (
	"net/netip"
	"time"

	"oatloft/internal/hint"
)

// Config holds the settings of a Controller. New checks them. All counts apply to this balancer alone.
type Config struct {
	Address       Address
	Network       Network
	Reserve       Reserve
	Descriptors   Descriptors
	Memory        Memory
	RetrySchedule RetrySchedule
	Exempt        []netip.Prefix // networks without caps, such as proxies that forward many clients from one address
	Tenants       []Tenant
}

// Address holds the caps of one address, which is an IPv4 address or an IPv6 prefix of Prefix6 bits.
type Address struct {
	MaxConnections   int           // open at once, for all uses
	MaxSilent        int           // open at once that have not sent their first line
	NewPerSecond     float64       // average rate of new connections, per second
	Burst            int           // new connections allowed at once
	MaxBytes         int           // received from all its silent connections together
	FirstLineTimeout time.Duration // from level Short on, silent connections are closed after this time
	Prefix6          int           // bits
	Table            int           // addresses tracked at once
}

// Network holds the caps of a network, all of whose addresses may belong to one sender.
type Network struct {
	Prefix4, Prefix6 int     // bits
	NewPerSecond     float64 // average rate of new connections, per second
	Burst            int     // new connections allowed at once
	MaxShare         float64 // of the request capacity, for its unknown clients, from level Tight on
	Table            int     // networks tracked at once
}

// Identity selects what a known client is recognized by.
type Identity uint8

// The identities.
const (
	ByFlow Identity = iota // the flow key
	ByTenantAndFlow
	ByAddress
)

// Reserve holds the settings of the capacity that is reserved for known clients.
type Reserve struct {
	Identity       Identity
	KnownShare     float64       // of the descriptors for requests
	EstablishedFor time.Duration // a client becomes known once a flow of it has been established for this long
	RememberFor    time.Duration // it stays known until this long after its last established flow
	Max            int           // known clients
	MaxPerNetwork  int           // known clients of one network
	MaxPerClient   int           // requests at once that count as a known client's; more count as an unknown client's
	MuteFor        time.Duration // a known client whose address exceeds its rate too often counts as unknown for this long
}

// Descriptors holds how the descriptors are divided, and the thresholds of the levels. Shares are of the budget.
type Descriptors struct {
	SilentShare float64 // reserved for clients that have not sent their first line
	Overhead    int     // descriptors that the process itself uses
	Tight       float64 // the level rises once the share in use reaches the threshold of the next level
	Short       float64
	Full        float64
	Hysteresis  float64 // the level falls once the share in use is below its threshold minus this
}

// Memory holds how much of the process's memory each use of a connection costs, in bytes.
type Memory struct {
	Base     int64   // the idle process
	Silent   int64   // a client that has not sent its first line
	Request  int64   // a client, its attempt and the data buffered between them
	MaxShare float64 // of the memory limit
}

// RetrySchedule holds how the retries of refused clients are spread over time, for clients that honor a retry time.
type RetrySchedule struct {
	Enabled   bool          // send retry times at all
	PerSecond float64       // retries scheduled per second
	Min, Max  time.Duration // bounds of a retry time
}

// Tenant holds the weight of one tenant. A weight of 0 means no limit.
type Tenant struct {
	Name   string
	Weight float64
}

// validate returns an error that names the first setting that is out of bounds.
func (c Config) validate() error {
	for _, setting := range []struct {
		name string
		ok   bool
	}{
		{"address.max_connections", c.Address.MaxConnections >= 1},
		{"address.max_silent", c.Address.MaxSilent >= 1},
		{"address.new_per_second", c.Address.NewPerSecond > 0},
		{"address.burst", c.Address.Burst >= 1},
		{"address.max_bytes", c.Address.MaxBytes >= 4096},
		{"address.short_patience", c.Address.FirstLineTimeout >= MinVictimAge},
		{"address.prefix6", c.Address.Prefix6 >= 16 && c.Address.Prefix6 <= 128},
		{"address.table", c.Address.Table >= 64 && c.Address.Table <= 1<<20},
		{"network.prefix4", c.Network.Prefix4 >= 8 && c.Network.Prefix4 <= 32},
		{"network.prefix6", c.Network.Prefix6 >= 8 && c.Network.Prefix6 <= c.Address.Prefix6},
		{"network.new_per_second", c.Network.NewPerSecond > 0},
		{"network.burst", c.Network.Burst >= 1},
		{"network.max_share", c.Network.MaxShare > 0 && c.Network.MaxShare <= 1},
		{"network.table", c.Network.Table >= 64 && c.Network.Table <= 1<<20},
		{"reserve.identity", c.Reserve.Identity <= ByAddress},
		{"reserve.known_share", c.Reserve.KnownShare >= 0 && c.Reserve.KnownShare <= 0.9},
		{"reserve.stand_for", c.Reserve.EstablishedFor > 0},
		{"reserve.remember_for", c.Reserve.RememberFor > 0},
		{"reserve.max", c.Reserve.Max >= 8 && c.Reserve.Max <= 1<<20},
		{"reserve.max_per_network", c.Reserve.MaxPerNetwork >= 1},
		{"reserve.max_per_client", c.Reserve.MaxPerClient >= 1},
		{"reserve.mute_for", c.Reserve.MuteFor >= 0},
		{"descriptors.silent_share", c.Descriptors.SilentShare > 0 && c.Descriptors.SilentShare <= 0.5},
		{"descriptors.overhead", c.Descriptors.Overhead >= 0},
		{"descriptors.tight", c.Descriptors.Tight > 0},
		{"descriptors.short", c.Descriptors.Short > c.Descriptors.Tight},
		{"descriptors.full", c.Descriptors.Full > c.Descriptors.Short && c.Descriptors.Full <= 1},
		{"descriptors.hysteresis", c.Descriptors.Hysteresis > 0 && c.Descriptors.Hysteresis < c.Descriptors.Tight},
		{"memory.base", c.Memory.Base >= 0},
		{"memory.silent", c.Memory.Silent >= 0},
		{"memory.transaction", c.Memory.Request >= 0},
		{"memory.max_share", c.Memory.MaxShare > 0 && c.Memory.MaxShare <= 1},
		{"come_back.per_second", !c.RetrySchedule.Enabled || c.RetrySchedule.PerSecond > 0},
		{"come_back.most", c.RetrySchedule.Min >= 0 && c.RetrySchedule.Max >= c.RetrySchedule.Min},
	} {
		if !setting.ok {
			return &InvalidSetting{
				hint.Annotated{Where: "admission." + setting.name, What: "out of bounds",
					Do: "run oatctl edge check to see the bounds"},
			}
		}
	}
	return nil
}

func (c *Config) isExempt(a netip.Addr) bool {
	a = a.Unmap()
	for _, p := range c.Exempt {
		if p.Contains(a) {
			return true
		}
	}
	return false
}

// tableKeys returns the table keys of an address and of its network.
func (c *Config) tableKeys(a netip.Addr) (address, network key) {
	a = a.Unmap()
	if a.Is4() {
		return keyOf(a, 32), keyOf(a, c.Network.Prefix4)
	}
	return keyOf(a, c.Address.Prefix6), keyOf(a, c.Network.Prefix6)
}

// InvalidSetting is the error for an invalid setting of admission.
type InvalidSetting struct{ hint.Annotated }

// ImmutableSetting is the error for a changed setting that is read at the start only. The previous settings stay in
// force.
type ImmutableSetting struct{ hint.Annotated }
