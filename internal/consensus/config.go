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
	Addr string // IP and port that other members call
}

// Config is what a member is started with. Zero values of what is a number or a time stand for the defaults.
type Config struct {
	Cluster    string // members of another cluster are refused, and so is its folder
	Name       string
	Listen     string            // where others call; "" for a member that is no candidate, and listens nowhere
	Candidates []Candidate       // who may hold a vote, the same list in the same order at all members
	Voters     int               // how many of them do, 1 to 7; 3 by default, or all where there are fewer
	Reach      map[string]string // by name, where to call in place of a candidate's address
	Folder     string            // made if missing, mode 0700

	Tick          time.Duration // 50 ms; an election starts after 10 to 20 of them without a leader
	ReplaceAfter  time.Duration // a voter that is silent for so long loses its vote to another candidate; 0 for never
	SnapshotEvery uint64        // entries; 1000
	KeepEntries   uint64        // entries kept behind a snapshot for voters that lag; 500
	Seed          uint64        // of the order in which others are asked

	maxEntryBytes int64        // bytes of entries kept at most, about; a quarter of it stays behind a snapshot
	writeFault    func() error // of tests: what a write to the folder ends with, in place of being done
}

const (
	electionTicks  = 10
	heartbeatTicks = 2
	maxVoters      = 7
	maxEntry       = 1 << 20 // bytes of one entry
	maxNameBytes   = 128
	maxCandidates  = 64

	defaultTick          = 50 * time.Millisecond
	defaultVoters        = 3
	defaultSnapshotEvery = 1000
	defaultKeepEntries   = 500
	defaultMaxEntryBytes = 8 << 20
)

// withDefaults fills in what is zero, and checks. The error is a *ConfigError.
func (c Config) withDefaults() (Config, error) {
	for _, check := range []func() error{c.checkNames, c.checkMembers, c.checkReach, c.checkListen} {
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
			Field: "cluster", Why: "it needs a name of 1 to 128 bytes", Do: "set the same cluster's name at all balancers",
		}
	case !isName(c.Name):
		return &ConfigError{Field: "name", Why: "it needs 1 to 128 bytes", Do: "give each balancer a name of its own"}
	}
	return nil
}

func (c Config) checkMembers() error {
	switch {
	case len(c.Candidates) == 0 || len(c.Candidates) > maxCandidates:
		return &ConfigError{
			Field: "members",
			Why:   "1 to 64 of them are needed",
			Do:    "list the balancers that may hold a vote, the same list in the same order at all",
		}
	case c.Voters < 0 || c.Voters > maxVoters:
		return &ConfigError{Field: "voters", Why: "there can be 1 to 7", Do: "choose 3 or 5"}
	case c.Voters > len(c.Candidates):
		return &ConfigError{
			Field: "voters", Why: "there are fewer members than that", Do: "list more members, or lower the number of voters",
		}
	}
	listed := map[string]bool{}
	for _, candidate := range c.Candidates {
		if !isName(candidate.Name) || listed[candidate.Name] {
			return &ConfigError{
				Field: "members",
				Why:   "each needs a name of its own; " + quoted(candidate.Name) + " has none",
				Do:    "list each balancer once",
			}
		}
		listed[candidate.Name] = true
		if !isAddress(candidate.Addr) {
			return &ConfigError{
				Field: "members",
				Why: quoted(candidate.Name) + " has no IP address and port that others could call: " +
					quoted(candidate.Addr),
				Do: "write it as 10.0.0.1:7100",
			}
		}
	}
	return nil
}

func (c Config) checkReach() error {
	for name, address := range c.Reach {
		if c.candidate(name) == nil || !isAddress(address) {
			return &ConfigError{
				Field: "reach",
				Why:   quoted(name) + " is no member, or " + quoted(address) + " no IP address and port",
				Do:    "name members of the list, and where to call them from here",
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
			Field: "listen", Why: quoted(c.Listen) + " is no IP address and port", Do: "write it as 10.0.0.1:7100",
		}
	case c.Folder == "":
		return &ConfigError{
			Field: "folder",
			Why:   "whoever may hold a vote needs one",
			Do:    "name a folder on a disk that outlives restarts",
		}
	}
	return nil
}

// ticks is d in ticks, rounded up.
func (c *Config) ticks(d time.Duration) int { return int((d + c.Tick - 1) / c.Tick) }

// candidate finds one by its name; nil if there is none.
func (c *Config) candidate(name string) *Candidate {
	if i := slices.IndexFunc(c.Candidates, func(k Candidate) bool { return k.Name == name }); i >= 0 {
		return &c.Candidates[i]
	}
	return nil
}

// addressOf is where to call name from here; "" if it is no candidate.
func (c *Config) addressOf(name string) string {
	if at, ok := c.Reach[name]; ok {
		return at
	}
	if k := c.candidate(name); k != nil {
		return k.Addr
	}
	return ""
}

func isAddress(s string) bool {
	host, port, err := net.SplitHostPort(s)
	return err == nil && net.ParseIP(host) != nil && port != "" && port != "0"
}
