package membership

import (
	"fmt"
	"net/netip"
	"time"

	"oatloft/internal/hint"
)

// Config has the settings of a member.
type Config struct {
	Cluster     string
	Name        string
	Addr        string // where the others reach it
	Join        []string
	Routes      map[string]string // where to send to a member in place of its own address, by name
	PeerTimeout time.Duration     // how long a member may be silent until it is held gone; other times follow from it
	MaxMembers  int
	SignalBytes int // of one member's signals, keys included
	Generation  uint64
	Seed        uint64
}

// Limits of the settings.
const (
	minPeerTimeout = 300 * time.Millisecond
	maxPeerTimeout = time.Hour
	minMembers     = 2
	maxMembers     = 1 << 16
	minSignalBytes = 64
	maxSignalBytes = 1 << 16
)

// ConfigError is the error that a setting of the peers' section cannot work.
type ConfigError struct{ hint.Annotated }

// Validate returns an error for the first setting that cannot work: a *ConfigError that names the field.
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
				Do:    "set a time within",
			},
		}
	case c.MaxMembers < minMembers || c.MaxMembers > maxMembers:
		return &ConfigError{
			hint.Annotated{
				Where: "peers.max_members",
				What:  fmt.Sprintf("%d is outside 2 to 65536", c.MaxMembers),
				Do:    "set more than there will be balancers",
			},
		}
	case c.SignalBytes < minSignalBytes || c.SignalBytes > maxSignalBytes:
		return &ConfigError{
			hint.Annotated{
				Where: "peers.signal_bytes",
				What:  fmt.Sprintf("%d is outside 64 to 65536", c.SignalBytes),
				Do:    "set a size within",
			},
		}
	case c.Generation == 0:
		return &ConfigError{
			hint.Annotated{Where: "peers", What: "no generation", Do: "set the machine's clock: it stands before 1970"},
		}
	}
	return nil
}

func (c Config) validateNames() error {
	if c.Cluster == "" || len(c.Cluster) > MaxName {
		return &ConfigError{
			hint.Annotated{
				Where: "peers.cluster",
				What:  fmt.Sprintf("needs 1 to %d bytes", MaxName),
				Do:    "give the same short name at all balancers",
			},
		}
	}
	if c.Name == "" || len(c.Name) > MaxName {
		return &ConfigError{
			hint.Annotated{
				Where: "peers",
				What:  fmt.Sprintf("the balancer's name needs 1 to %d bytes", MaxName),
				Do:    "give a name by the configuration or PROXY_NAME",
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
				What:  fmt.Sprintf("%q is no IPv4 address and port that others could reach", c.Addr),
				Do:    "give one, or name it by peers.advertise",
			},
		}
	}
	for i, addr := range c.Join {
		if _, ok := parseAddress(addr); !ok {
			return &ConfigError{
				hint.Annotated{
					Where: fmt.Sprintf("peers.join[%d]", i),
					What:  fmt.Sprintf("%q is no IPv4 address and port", addr),
					Do:    "give some other balancers' addresses, such as 10.0.0.5:9200",
				},
			}
		}
	}
	for name, addr := range c.Routes {
		if _, ok := parseAddress(addr); !ok {
			return &ConfigError{
				hint.Annotated{
					Where: "peers.reach." + name,
					What:  fmt.Sprintf("%q is no IPv4 address and port", addr),
					Do:    "give the one under which that balancer is reached from here",
				},
			}
		}
	}
	return nil
}

// parseAddress reads an IPv4 address and a port other than 0.
func parseAddress(text string) (addr netip.AddrPort, ok bool) {
	addr, err := netip.ParseAddrPort(text)
	return addr, err == nil && addr.Addr().Is4() && addr.Port() != 0
}

// The times that follow from PeerTimeout. A dead member fails a probe after one or two intervals, is suspected
// after another, and held gone after a third to two thirds of PeerTimeout more.

func (c Config) probeInterval() time.Duration  { return c.PeerTimeout / 6 }
func (c Config) ackTimeout() time.Duration     { return c.PeerTimeout / 18 }
func (c Config) minSuspectTime() time.Duration { return c.PeerTimeout / 3 }
func (c Config) maxSuspectTime() time.Duration { return c.PeerTimeout * 2 / 3 }
func (c Config) gossipInterval() time.Duration { return c.PeerTimeout / 15 }
func (c Config) syncInterval() time.Duration   { return 5 * c.PeerTimeout }
func (c Config) forgetAfter() time.Duration    { return 100 * c.PeerTimeout }

// stallTime is how long no step may have been made without the view being stale.
func (c Config) stallTime() time.Duration { return c.PeerTimeout / 2 }
