// What a balancer is told at its start. This file owns the form of PROXY_CONFIG and of the variables
// beside it, and names the field that is wrong; it must never fill in a figure that a rule hangs on.

package proxy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"oatloft/internal/admission"
	"oatloft/internal/coordination"
	"oatloft/internal/core"
	"oatloft/internal/edgeconfig"
	"oatloft/internal/failpoint"
	"oatloft/internal/hint"
	"oatloft/internal/platform"
	"oatloft/internal/settings"
	"oatloft/policy"
)

const minPollInterval = 100 * time.Millisecond

// Config is what one balancer needs to start.
type Config struct {
	Name, Listen, Discovery string
	StateDir                string // directory for what one process leaves to the next
	Management              string // where operators call; "" for nowhere
	InheritedFD             string // the descriptor of a listening socket that the platform holds; "" for none
	MemoryMB, Sockets       int
	Cores                   float64
	Core                    core.Config
	Admission               *Admission             // nil: only counts of descriptors and memory hold
	Numbered                *coordination.Numbered // nil: this balancer has no part by its number
	Peers                   *Peers                 // nil: this balancer knows of no other
	Revisions               *Revisions             // nil: this balancer goes by its settings alone
	KnownEndpoints          *core.EndpointsListed
	StartOfClock            time.Time // the balancer's clock counts from here
}

type configFile struct {
	Name       string `json:"name"`
	Listen     string `json:"listen"`
	Discovery  string `json:"discovery"`
	Management string `json:"management"`
	Seed       string `json:"seed"`
	Limits     struct {
		Cores    float64 `json:"cores"`
		MemoryMB int     `json:"memory_mb"`
		Sockets  int     `json:"sockets"`
	} `json:"limits"`
	Known    json.RawMessage `json:"known"`
	Settings json.RawMessage `json:"settings"`
}

// Overrides is what a balancer is told beside its configuration, and wins over it where it is not empty.
type Overrides struct{ Name, Listen, Discovery, Management, Inherited, State string }

// LoadConfig reads the configuration at path.
func LoadConfig(path string, b Overrides) (Config, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Config{}, &UnreadableConfig{hint.Annotated{Where: "config", Cause: err, Do: "see that --config (PROXY_CONFIG) names a file that this balancer may read"}}
	}
	return ParseConfig(body, b)
}

// ReloadConfig reads it again while the balancer serves. Discovery may have moved since the start, so what
// the file says of it now wins over what was given beside it then.
func ReloadConfig(path string, b Overrides) (Config, error) {
	body, err := os.ReadFile(path)
	if err != nil {
		return Config{}, &UnreadableConfig{hint.Annotated{Where: "config", Cause: err, Do: "put the file back; the old configuration holds until the next SIGHUP"}}
	}
	var file struct {
		Discovery string `json:"discovery"`
	}
	_ = json.Unmarshal(body, &file) // ParseConfig tells what is wrong
	b.Discovery = firstNonEmpty(file.Discovery, b.Discovery)
	return ParseConfig(body, b)
}

// SetEdge adds our own settings to those of the platform, and what they need of those: the tenants, and whether
// terminals heed a time to come back.
func (c *Config) SetEdge(e *edgeconfig.Settings) error {
	c.Admission, c.Peers, c.Numbered, c.Revisions = nil, nil, nil, nil
	if e == nil {
		return nil
	}
	if err := c.setRevisions(e); err != nil {
		return err
	}
	if e.Peers != nil {
		p, err := e.Peers.Config(c.Name)
		if err != nil {
			return err
		}
		p.Generation = uint64(time.Now().UnixMilli())
		p.Seed = uint64(c.Core.Seed) ^ p.Generation
		c.Peers = &Peers{Config: p, Listen: e.Peers.Listen, SignalInterval: time.Duration(e.Peers.SignalEvery), SignalLifetime: time.Duration(e.Peers.SignalLife),
			Coordination: coordination.Config{Name: c.Name, Zone: c.Core.Policy.Zone, Balancers: c.Core.Policy.Balancers, PeerTimeout: p.PeerTimeout,
				SubsetSize: e.Peers.Subset, ShareReadings: e.Peers.Readings, Stagger: e.Peers.Turns}}
	}
	if e.Numbered != nil {
		n := coordination.Numbered{Number: e.Numbered.Number, Count: c.Core.Policy.Balancers, Zone: c.Core.Policy.Zone, SubsetSize: e.Numbered.Subset}
		if n.Number < 0 {
			var err error
			if n.Number, err = coordination.ParseNumber(c.Name); err != nil {
				return err
			}
		}
		if c.Peers != nil && c.Peers.Coordination.Enabled() {
			return &ConfigError{hint.Annotated{Where: "numbered", What: "peers.subset, readings or turns are on, which know more than a number does", Do: "leave the section numbered out"}}
		}
		c.Numbered = &n
	}
	if e.Admission == nil {
		return nil
	}
	a, err := e.Admission.Config()
	if err != nil {
		return err
	}
	p := c.Core.Policy
	a.ComeBack.Advise = a.ComeBack.Advise && p.MaxRetryAfter > 0
	if p.MaxRetryAfter > 0 {
		a.ComeBack.Most = min(a.ComeBack.Most, p.MaxRetryAfter)
		a.ComeBack.Least = min(a.ComeBack.Least, a.ComeBack.Most)
	}
	for _, t := range p.Tenants {
		a.Tenants = append(a.Tenants, admission.Tenant{Name: t.Name, Weight: t.ConnectionQuota})
	}
	s := &e.Admission.Reserve.Snapshot
	c.Admission = &Admission{Config: a, MaxGoodbyes: e.Admission.Descriptors.GoodByes, SnapshotPath: s.Path,
		SnapshotInterval: time.Duration(s.Every), SnapshotMaxAge: time.Duration(s.MaxAge)}
	_, err = admission.New(a, 0)
	return err
}

// ParseConfig reads a configuration.
func ParseConfig(body []byte, b Overrides) (Config, error) {
	var file configFile
	if err := json.Unmarshal(body, &file); err != nil {
		return Config{}, &UnreadableConfig{hint.Annotated{Where: "config", Cause: err, Do: "mend the JSON; oatloft check says whether it can be read"}}
	}
	c := Config{Name: firstNonEmpty(b.Name, file.Name), Listen: firstNonEmpty(b.Listen, file.Listen),
		Discovery:  firstNonEmpty(b.Discovery, file.Discovery),
		Management: firstNonEmpty(b.Management, file.Management), InheritedFD: b.Inherited, StateDir: b.State, MemoryMB: file.Limits.MemoryMB,
		Sockets: file.Limits.Sockets, Cores: file.Limits.Cores,
		// An hour of slack: whatever started within it has a time of start after the clock's zero.
		StartOfClock: time.Now().Add(-time.Hour)}
	for _, a := range []struct{ field, value string }{{"listen", c.Listen}, {"discovery", c.Discovery}} {
		if _, err := net.ResolveTCPAddr("tcp", a.value); err != nil || a.value == "" {
			return c, &ConfigError{hint.Annotated{Where: a.field, What: fmt.Sprintf("%q is not host:port", a.value), Do: "give it in the configuration, by flag or by PROXY_LISTEN, PROXY_DISCOVERY"}}
		}
	}
	if _, err := net.ResolveTCPAddr("tcp4", c.Management); c.Management != "" && (err != nil || c.Management == c.Listen) {
		return c, &ConfigError{hint.Annotated{Where: "management", What: fmt.Sprintf("%q is not host:port of its own", c.Management), Do: "give it another port than listen, or leave it out"}}
	}
	if c.MemoryMB < 0 || c.Sockets < 0 || c.Cores < 0 {
		return c, &ConfigError{hint.Annotated{Where: "limits", What: "negative figures", Do: "set 0 for no limit of its own"}}
	}
	seed, err := strconv.ParseUint(file.Seed, 16, 64)
	if err != nil {
		return c, &ConfigError{hint.Annotated{Where: "seed", What: fmt.Sprintf("%q is not hex digits", file.Seed), Do: "set 1 to 16 hex digits"}}
	}
	if len(file.Settings) == 0 || bytes.Equal(file.Settings, []byte("null")) {
		return c, &ConfigError{hint.Annotated{Where: "settings", What: "missing", Do: "add the platform's settings"}}
	}
	f, err := settings.Flatten(file.Settings)
	if err != nil {
		return c, err
	}
	c.Core = core.Config{Policy: settings.Config(f), Seed: int64(seed),
		ConnectTimeout: f.Millis("limits.connect-timeout-ms"), PassThrough: f.Text("family-info.mode") == "pass",
		ProbeTimeout: 300 * time.Millisecond}
	if failpoint.On("fit-timeout") {
		c.Core.ConnectTimeout = 250 * time.Millisecond
	}
	if p := &c.Core.Policy; !p.PollEndpointList && failpoint.On("fit-push") {
		p.PollEndpointList = true
	} else if !p.PollEndpointList { // what the agent has counts at once: it is asked as often as news may be late
		p.PollEndpointList, p.PollInterval = true, max(f.Millis("rules.drain-grace-ms"), minPollInterval)
	}
	for i := range c.Core.Policy.Classes {
		c.Core.MaxClientTimeout = max(c.Core.MaxClientTimeout, f.Millis(fmt.Sprintf("classes.%d.give-up-ms", i)))
	}
	if f.Err != nil {
		return c, &ConfigError{hint.Annotated{Where: "settings", Cause: f.Err, Do: "mend the setting"}}
	}
	if c.Core.ConnectTimeout <= 0 {
		return c, &ConfigError{hint.Annotated{Where: "settings: limits.connect-timeout-ms", What: "missing", Do: "set a time above 0"}}
	}
	if _, err := core.New(c.Core); err != nil {
		return c, err
	}
	if len(file.Known) > 0 && !bytes.Equal(file.Known, []byte("null")) {
		known, err := platform.ParseList(file.Known, c.StartOfClock)
		if err != nil {
			return c, &ConfigError{hint.Annotated{Where: "known", Cause: err, Do: "mend the list of known regions, or leave it out"}}
		}
		known.Kind = policy.ListCached
		c.KnownEndpoints = &known
	}
	return c, nil
}

func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// UnreadableConfig is a configuration file that can't be read.
type UnreadableConfig struct{ hint.Annotated }

// ConfigError is a field of the configuration that can't work.
type ConfigError struct{ hint.Annotated }

// ListenFailed is an address, or a descriptor given in its place, on which terminals can't be listened for.
type ListenFailed struct{ hint.Annotated }
