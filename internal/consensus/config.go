package consensus

import (
	"cmp"
	"net"
	"slices"
	"time"
)

// Candidate is a member that may hold a vote.
type Candidate struct {
	Name string
	Zone string
	Addr string // IP address and port at which other members call it
}

// Config holds the settings of a member. Zero numbers and durations select the defaults.
type Config struct {
	Cluster          string // calls and folders of another cluster are refused
	Name             string
	Listen           string            // address for calls of other members; "" if the member is not a candidate
	Candidates       []Candidate       // members that may hold a vote; the same list in the same order at all members
	Voters           int               // number of votes, 1 to 7; default 3, or the number of candidates if that is lower
	AddressOverrides map[string]string // by name, address to call instead of the candidate's own
	Folder           string            // created with mode 0700 if missing

	Tick          time.Duration // default 50 ms; an election starts after 10 to 20 ticks without a leader
	ReplaceAfter  time.Duration // a voter that is silent for this long loses its vote to another candidate; 0 for never
	SnapshotEvery uint64        // entries between snapshots; default 1000
	KeepEntries   uint64        // entries kept before a snapshot for voters that lag; default 500
	Seed          uint64        // seeds the order in which candidates are queried for the leader

	maxEntryBytes int64        // approximate limit for the bytes of kept entries; a quarter stays before a snapshot
	writeFault    func() error // for tests: called before each write to the folder; an error fails the write
}

const (
	electionTicks    = 10
	heartbeatTicks   = 2
	maxVoters        = 7       // number of votes
	maxProposalBytes = 1 << 20 // bytes of one entry
	maxNameBytes     = 128
	maxCandidates    = 64

	defaultTick          = 50 * time.Millisecond
	defaultVoters        = 3
	defaultSnapshotEvery = 1000 // entries
	defaultKeepEntries   = 500  // entries
	defaultMaxEntryBytes = 8 << 20
)

// withDefaults validates the settings and replaces zero values by defaults. The error is a *ConfigError.
func (c Config) withDefaults() (Config, error) {
	for _, check := range []func() error{c.checkNames, c.checkMembers, c.checkAddressOverrides, c.checkListen} {
		if err := check(); err != nil {
			return c, err
		}
	}
	c.Voters = cmp.Or(c.Voters, min(defaultVoters, len(c.Candidates)))
	if c.Tick <= 0 {
		c.Tick = defaultTick
	}
	c.SnapshotEvery = cmp.Or(c.SnapshotEvery, defaultSnapshotEvery)
	c.KeepEntries = cmp.Or(c.KeepEntries, defaultKeepEntries)
	c.maxEntryBytes = cmp.Or(c.maxEntryBytes, defaultMaxEntryBytes)
	return c, nil
}

func isName(s string) bool { return s != "" && len(s) <= maxNameBytes }

func (c Config) checkNames() error {
	switch {
	case !isName(c.Cluster):
		return &ConfigError{
			Field: "cluster", Why: "must be a name of 1 to 128 bytes", Do: "set the same cluster name at all balancers",
		}
	case !isName(c.Name):
		return &ConfigError{Field: "name", Why: "must be 1 to 128 bytes", Do: "give each balancer a unique name"}
	}
	return nil
}

func (c Config) checkMembers() error {
	switch {
	case len(c.Candidates) == 0 || len(c.Candidates) > maxCandidates:
		return &ConfigError{
			Field: "members",
			Why:   "must list 1 to 64 members",
			Do:    "list the balancers that may hold a vote, in the same order at all balancers",
		}
	case c.Voters < 0 || c.Voters > maxVoters:
		return &ConfigError{Field: "voters", Why: "must be 1 to 7", Do: "choose 3 or 5"}
	case c.Voters > len(c.Candidates):
		return &ConfigError{
			Field: "voters", Why: "exceeds the number of members", Do: "list more members, or lower the number of voters",
		}
	}
	listed := map[string]bool{}
	for _, candidate := range c.Candidates {
		if !isName(candidate.Name) || listed[candidate.Name] {
			return &ConfigError{
				Field: "members",
				Why:   "each needs a unique name of 1 to 128 bytes; " + quoted(candidate.Name) + " is invalid or repeated",
				Do:    "list each balancer once",
			}
		}
		listed[candidate.Name] = true
		if !isAddress(candidate.Addr) {
			return &ConfigError{
				Field: "members",
				Why: quoted(candidate.Name) + " has an address that is not an IP address and port: " +
					quoted(candidate.Addr),
				Do: "write it as 10.0.0.1:7100",
			}
		}
	}
	return nil
}

func (c Config) checkAddressOverrides() error {
	for name, address := range c.AddressOverrides {
		if c.candidate(name) == nil || !isAddress(address) {
			return &ConfigError{
				Field: "reach",
				Why:   quoted(name) + " is not a member, or " + quoted(address) + " is not an IP address and port",
				Do:    "use names from the members list, each with its address as seen from this balancer",
			}
		}
	}
	return nil
}

func (c Config) checkListen() error {
	switch {
	case c.Listen == "":
		return nil
	case c.candidate(c.Name) == nil:
		return &ConfigError{
			Field: "listen",
			Why:   quoted(c.Name) + " is not among the members that may hold a vote",
			Do:    "list it, or leave listen empty",
		}
	case !isAddress(c.Listen):
		return &ConfigError{
			Field: "listen", Why: quoted(c.Listen) + " is not an IP address and port", Do: "write it as 10.0.0.1:7100",
		}
	case c.Folder == "":
		return &ConfigError{
			Field: "folder",
			Why:   "a member that may hold a vote needs a folder",
			Do:    "name a folder on a disk that survives restarts",
		}
	}
	return nil
}

// ticks converts d to ticks, rounding up.
func (c *Config) ticks(d time.Duration) int { return int((d + c.Tick - 1) / c.Tick) }

// candidate returns the candidate of that name, nil if there is none.
func (c *Config) candidate(name string) *Candidate {
	if i := slices.IndexFunc(c.Candidates, func(candidate Candidate) bool { return candidate.Name == name }); i >= 0 {
		return &c.Candidates[i]
	}
	return nil
}

// addressOf returns the address at which to call name from here; "" if it is not a candidate.
func (c *Config) addressOf(name string) string {
	if address, ok := c.AddressOverrides[name]; ok {
		return address
	}
	if candidate := c.candidate(name); candidate != nil {
		return candidate.Addr
	}
	return ""
}

func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil && port != "" && port != "0"
}
