package admission

import (
	"net/netip"
	"time"

	"oatloft/internal/hint"
)

// Config holds the settings of a gate. New checks it. All counts are of this balancer alone.
type Config struct {
	Address     Address
	Network     Network
	Reserve     Reserve
	Descriptors Descriptors
	Memory      Memory
	ComeBack    ComeBack
	Exempt      []netip.Prefix // networks without caps: fronts whose address stands for many clients
	Tenants     []Tenant
}

// Address holds the caps of one address: an IPv4 address, or an IPv6 prefix of Prefix6 bits.
type Address struct {
	MaxConnections int           // held at once, of all uses
	MaxSilent      int           // held at once that have not said what they want
	NewPerSecond   float64       // new ones a second, on average ...
	Burst          int           // ... and at once
	MaxBytes       int           // sent by its silent ones together
	ShortPatience  time.Duration // a silent one is sent off after this where descriptors are short
	Prefix6        int
	Table          int // addresses that are remembered at once
}

// Network holds the caps of a network of addresses, which may be one sender's.
type Network struct {
	Prefix4, Prefix6 int
	NewPerSecond     float64
	Burst            int
	MaxShare         float64 // of the transactions, for its strangers, once it is tight
	Table            int
}

// Identity says by what a client is known.
type Identity uint8

// The identities.
const (
	ByFlow Identity = iota // the flow's key
	ByTenantAndFlow
	ByAddress
)

// Reserve holds what is kept for known clients.
type Reserve struct {
	Identity      Identity
	KnownShare    float64       // of the descriptors for transactions
	StandFor      time.Duration // a client is known once a connection of it has stood for so long ...
	RememberFor   time.Duration // ... until so long after it stood last
	Max           int           // clients remembered
	MaxPerNetwork int           // of these, from one network
	MaxPerClient  int           // transactions at once that count as a known client's; further ones are a stranger's
	MuteFor       time.Duration // a known client that turns noisy is a stranger for so long
}

// Descriptors says how the ledger divides them.
type Descriptors struct {
	SilentShare float64 // set aside for terminals that have not said what they want
	Overhead    int     // held by the process itself
	Tight       float64 // the level rises where more than this share is held ...
	Short       float64
	Full        float64
	Hysteresis  float64 // ... and falls where less than the same share minus this is
}

// Memory says what a use of the ledger costs, in bytes of the process's memory.
type Memory struct {
	Base        int64 // the idle process
	Silent      int64 // a terminal that has said nothing
	Transaction int64 // a terminal, its routed task and what may wait between them
	MaxShare    float64
}

// ComeBack says how refused clients are spread over time, where they heed advice at all.
type ComeBack struct {
	Advise      bool
	PerSecond   float64
	Least, Most time.Duration
}

// Tenant is one tenant's weight; 0 stands for no limit.
type Tenant struct {
	Name   string
	Weight float64
}

// check names the first setting that cannot work.
func (c Config) check() error {
	for _, x := range []struct {
		name string
		ok   bool
	}{
		{"address.max_connections", c.Address.MaxConnections >= 1},
		{"address.max_silent", c.Address.MaxSilent >= 1},
		{"address.new_per_second", c.Address.NewPerSecond > 0},
		{"address.burst", c.Address.Burst >= 1},
		{"address.max_bytes", c.Address.MaxBytes >= 4096},
		{"address.short_patience", c.Address.ShortPatience >= Youngest},
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
		{"reserve.stand_for", c.Reserve.StandFor > 0},
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
		{"memory.transaction", c.Memory.Transaction >= 0},
		{"memory.max_share", c.Memory.MaxShare > 0 && c.Memory.MaxShare <= 1},
		{"come_back.per_second", !c.ComeBack.Advise || c.ComeBack.PerSecond > 0},
		{"come_back.most", c.ComeBack.Least >= 0 && c.ComeBack.Most >= c.ComeBack.Least},
	} {
		if !x.ok {
			return &Unfit{
				hint.Annotated{Where: "admission." + x.name, What: "out of bounds", Do: "oatctl edge check names the bounds"},
			}
		}
	}
	return nil
}

func (c *Config) exempt(a netip.Addr) bool {
	a = a.Unmap()
	for _, p := range c.Exempt {
		if p.Contains(a) {
			return true
		}
	}
	return false
}

// keys are an address and its network as the tables know them.
func (c *Config) keys(a netip.Addr) (addr, net key) {
	a = a.Unmap()
	if a.Is4() {
		return keyOf(a, 32), keyOf(a, c.Network.Prefix4)
	}
	return keyOf(a, c.Address.Prefix6), keyOf(a, c.Network.Prefix6)
}

// Unfit is a setting of admission that can't work.
type Unfit struct{ hint.Annotated }

// CantChange is a setting of admission that is read at the start only. The old settings hold.
type CantChange struct{ hint.Annotated }
