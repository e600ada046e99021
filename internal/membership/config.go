package membership

import (
	"fmt"
	"net/netip"
	"time"

	"oatloft/internal/hint"
)

// Config holds the settings of a member.
type Config struct {
	Cluster     string
	Name        string
	Addr        string // address under which other members reach it
	Join        []string
	Routes      map[string]string // by member name; replaces the address that the member announces
	PeerTimeout time.Duration     // silence after which a member is declared gone; other intervals derive from it
	MaxMembers  int
	SignalBytes int    // limit for all signals of one member, keys included
	Generation  uint64 // larger at each start of the member, such as the time in ms; the largest one of a name wins
	Seed        uint64
}

// Allowed ranges of the settings; sizes are in bytes.
const (
	minPeerTimeout = 300 * time.Millisecond
	maxPeerTimeout = time.Hour
	minMembers     = 2
	maxMembers     = 1 << 16
	minSignalBytes = 64
	maxSignalBytes = 1 << 16
)

// ConfigError is returned for an invalid setting in the peers section.
type ConfigError struct{ hint.Annotated }

// Validate returns a *ConfigError that names the first invalid setting, or nil.
func (c Config) Validate() error {
	if err := c.validateNames(); err != nil {
		return err
	}
	if err := c.validateAddresses(); err != nil {
		return err
	}
	switch {
	case c.PeerTimeout < minPeerTimeout || c.PeerTimeout > maxPeerTimeout:
		return &ConfigError{
			hint.Annotated{
				Where: "peers.silent_after",
				What:  fmt.Sprintf("%v is outside 300ms to 1h", c.PeerTimeout),
				Do:    "set a time in this range",
			},
		}
	case c.MaxMembers < minMembers || c.MaxMembers > maxMembers:
		return &ConfigError{
			hint.Annotated{
				Where: "peers.max_members",
				What:  fmt.Sprintf("%d is outside 2 to 65536", c.MaxMembers),
				Do:    "set a value above the planned number of balancers",
			},
		}
	case c.SignalBytes < minSignalBytes || c.SignalBytes > maxSignalBytes:
		return &ConfigError{
			hint.Annotated{
				Where: "peers.signal_bytes",
				What:  fmt.Sprintf("%d is outside 64 to 65536", c.SignalBytes),
				Do:    "set a size in this range",
			},
		}
	case c.Generation == 0:
		return &ConfigError{
			hint.Annotated{Where: "peers", What: "no generation", Do: "set the machine's clock: it is before 1970"},
		}
	}
	return nil
}

func (c Config) validateNames() error {
	if c.Cluster == "" || len(c.Cluster) > MaxName {
		return &ConfigError{
			hint.Annotated{
				Where: "peers.cluster",
				What:  fmt.Sprintf("cluster name must have 1 to %d bytes", MaxName),
				Do:    "set the same short name on all balancers",
			},
		}
	}
	if c.Name == "" || len(c.Name) > MaxName {
		return &ConfigError{
			hint.Annotated{
				Where: "peers",
				What:  fmt.Sprintf("the balancer's name must have 1 to %d bytes", MaxName),
				Do:    "set a name in the configuration or in PROXY_NAME",
			},
		}
	}
	return nil
}

func (c Config) validateAddresses() error {
	if a, ok := parseAddress(c.Addr); !ok || a.Addr().IsUnspecified() {
		return &ConfigError{
			hint.Annotated{
				Where: "peers.listen",
				What:  fmt.Sprintf("%q is not an IPv4 address and port that other balancers can reach", c.Addr),
				Do:    "set such an address, or set peers.advertise",
			},
		}
	}
	for i, addr := range c.Join {
		if _, ok := parseAddress(addr); !ok {
			return &ConfigError{
				hint.Annotated{
					Where: fmt.Sprintf("peers.join[%d]", i),
					What:  fmt.Sprintf("%q is not an IPv4 address and port", addr),
					Do:    "list addresses of other balancers, such as 10.0.0.5:9200",
				},
			}
		}
	}
	for name, addr := range c.Routes {
		if _, ok := parseAddress(addr); !ok {
			return &ConfigError{
				hint.Annotated{
					Where: "peers.reach." + name,
					What:  fmt.Sprintf("%q is not an IPv4 address and port", addr),
					Do:    "set the address under which this balancer reaches that one",
				},
			}
		}
	}
	return nil
}

// parseAddress parses an IPv4 address with a port other than 0.
func parseAddress(text string) (addr netip.AddrPort, ok bool) {
	addr, err := netip.ParseAddrPort(text)
	return addr, err == nil && addr.Addr().Is4() && addr.Port() != 0
}

// Intervals derived from PeerTimeout. A dead member fails a probe after one or two probe intervals, is suspected
// after another one, and is declared gone after another third to two thirds of PeerTimeout.

func (c Config) probeInterval() time.Duration  { return c.PeerTimeout / 6 }
func (c Config) ackTimeout() time.Duration     { return c.PeerTimeout / 18 }
func (c Config) minSuspectTime() time.Duration { return c.PeerTimeout / 3 }
func (c Config) maxSuspectTime() time.Duration { return c.PeerTimeout * 2 / 3 }
func (c Config) gossipInterval() time.Duration { return c.PeerTimeout / 15 }
func (c Config) syncInterval() time.Duration   { return 5 * c.PeerTimeout }
func (c Config) forgetAfter() time.Duration    { return 100 * c.PeerTimeout }

// stallTime is the longest time without a step after which the view still counts as current.
func (c Config) stallTime() time.Duration { return c.PeerTimeout / 2 }
