package proxy

import (
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"oatloft/internal/core"
	"oatloft/internal/failpoint"
	"oatloft/internal/hint"
	"oatloft/internal/platform"
	"oatloft/internal/settings"
	"oatloft/policy"
)

const (
	// minPollInterval is the shortest interval at which discovery is polled.
	minPollInterval = 100 * time.Millisecond
	// probeTimeout bounds a probe, from its start to its answer.
	probeTimeout = 300 * time.Millisecond
	// clockSlack is what the balancer's clock shows at its start, so that a server that started at most that long
	// before has a positive start time.
	clockSlack = time.Hour
	// failpointConnectTimeout is the connect timeout set by the failpoint fit-timeout.
	failpointConnectTimeout = 250 * time.Millisecond
	// seedBase is the numeric base of the seed: hexadecimal.
	seedBase = 16
)

// configFile is the format of the configuration file.
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

// Overrides are settings from flags and the environment. Those that are not empty take precedence over the
// configuration file, except for Discovery: see discoveryChoice.
type Overrides struct{ Name, Listen, Discovery, Management, Inherited, State string }

// LoadConfig reads the configuration file at path. The error is *UnreadableConfig, *ConfigError, or the error of a
// section's package.
func LoadConfig(path string, overrides Overrides) (Config, error) {
	c, err := readConfig(path, overrides, "check that --config (PROXY_CONFIG) names a file that this balancer may read")
	if c.Discovery.Override != "" && checkAddress("discovery", c.Discovery.File) != nil {
		c.Discovery.File = ""
	}
	return c, err
}

// ReloadConfig reads the configuration file again while the balancer serves. An address of discovery in the file has to
// be valid even if an override is set, because it may be a new one.
func ReloadConfig(path string, overrides Overrides) (Config, error) {
	c, err := readConfig(path, overrides,
		"restore the file; the old configuration stays in force until the next SIGHUP")
	if err == nil && c.Discovery.File != "" {
		err = checkAddress("discovery", c.Discovery.File)
	}
	return c, err
}

// readConfig reads the configuration file at path. ifUnreadable says what an operator can do if that fails.
func readConfig(path string, overrides Overrides, ifUnreadable string) (Config, error) {
	readAt := time.Now()
	body, err := os.ReadFile(path)
	if err != nil {
		return Config{}, &UnreadableConfig{hint.Annotated{Where: "config", Cause: err, Do: ifUnreadable}}
	}
	c, err := ParseConfig(body, overrides)
	c.ReadAt = readAt
	return c, err
}

// ParseConfig parses a configuration. The error is *UnreadableConfig, *ConfigError, or the error of a section's
// package.
func ParseConfig(body []byte, overrides Overrides) (Config, error) {
	var file configFile
	if err := json.Unmarshal(body, &file); err != nil {
		return Config{}, &UnreadableConfig{
			hint.Annotated{Where: "config", Cause: err, Do: "fix the JSON; oatloft check reports whether it can be read"},
		}
	}
	c := Config{
		Name:        cmp.Or(overrides.Name, file.Name),
		Listen:      cmp.Or(overrides.Listen, file.Listen),
		Discovery:   DiscoveryAddresses{Override: overrides.Discovery, File: file.Discovery},
		Management:  cmp.Or(overrides.Management, file.Management),
		InheritedFD: overrides.Inherited,
		StateDir:    overrides.State,
		MemoryMB:    file.Limits.MemoryMB,
		Sockets:     file.Limits.Sockets,
		Cores:       file.Limits.Cores,
		ClockOrigin: time.Now().Add(-clockSlack),
	}
	if err := c.validateAddresses(); err != nil {
		return c, err
	}
	if c.MemoryMB < 0 || c.Sockets < 0 || c.Cores < 0 {
		return c, &ConfigError{hint.Annotated{Where: "limits", What: "negative value", Do: "set 0 for the default limit"}}
	}
	if err := c.setCore(file); err != nil {
		return c, err
	}
	if isAbsent(file.Known) {
		return c, nil
	}
	known, err := platform.ParseServerList(file.Known, c.ClockOrigin)
	if err != nil {
		return c, &ConfigError{
			hint.Annotated{Where: "known", Cause: err, Do: "fix the list of known servers, or remove it"},
		}
	}
	known.Kind = policy.ListCached
	c.KnownEndpoints = &known
	return c, nil
}

// isAbsent reports whether an optional field of the file is missing or null.
func isAbsent(field json.RawMessage) bool {
	return len(field) == 0 || bytes.Equal(field, []byte("null"))
}

// checkAddress checks an address that clients or discovery have. The error is *ConfigError.
func checkAddress(field, value string) error {
	if _, err := net.ResolveTCPAddr("tcp", value); err == nil && value != "" {
		return nil
	}
	return &ConfigError{
		hint.Annotated{
			Where: field,
			What:  fmt.Sprintf("%q is not host:port", value),
			Do:    "set it in the configuration, by flag, or by PROXY_LISTEN or PROXY_DISCOVERY",
		},
	}
}

func (c *Config) validateAddresses() error {
	if err := checkAddress("listen", c.Listen); err != nil {
		return err
	}
	if err := checkAddress("discovery", cmp.Or(c.Discovery.Override, c.Discovery.File)); err != nil {
		return err
	}
	if c.Management == "" {
		return nil
	}
	if _, err := net.ResolveTCPAddr("tcp4", c.Management); err != nil || c.Management == c.Listen {
		return &ConfigError{
			hint.Annotated{
				Where: "management",
				What:  fmt.Sprintf("%q is not host:port, or is the same as listen", c.Management),
				Do:    "set a port other than listen's, or remove it",
			},
		}
	}
	return nil
}

// setCore applies the platform's settings.
func (c *Config) setCore(file configFile) error {
	seed, err := strconv.ParseUint(file.Seed, seedBase, 64)
	if err != nil {
		return &ConfigError{
			hint.Annotated{
				Where: "seed",
				What:  fmt.Sprintf("%q is not a hexadecimal number", file.Seed),
				Do:    "set 1 to 16 hex digits",
			},
		}
	}
	if isAbsent(file.Settings) {
		return &ConfigError{hint.Annotated{Where: "settings", What: "missing", Do: "add the platform's settings"}}
	}
	flat, err := settings.Flatten(file.Settings)
	if err != nil {
		return err
	}
	c.Core = core.Config{
		Policy:         settings.Config(flat),
		Seed:           int64(seed),
		ConnectTimeout: flat.Millis("limits.connect-timeout-ms"),
		PassThrough:    flat.Text("family-info.mode") == "pass",
		ProbeTimeout:   probeTimeout,
	}
	if failpoint.On("fit-timeout") {
		c.Core.ConnectTimeout = failpointConnectTimeout
	}
	c.setPolling(flat.Millis("rules.drain-grace-ms"))
	for i := range c.Core.Policy.Classes {
		clientTimeout := flat.Millis(fmt.Sprintf("classes.%d.give-up-ms", i))
		c.Core.MaxClientTimeout = max(c.Core.MaxClientTimeout, clientTimeout)
	}
	if flat.Err != nil {
		return &ConfigError{hint.Annotated{Where: "settings", Cause: flat.Err, Do: "fix the setting"}}
	}
	if c.Core.ConnectTimeout <= 0 {
		return &ConfigError{
			hint.Annotated{Where: "settings: limits.connect-timeout-ms", What: "missing", Do: "set a time above 0"},
		}
	}
	_, err = core.New(c.Core)
	return err
}

// setPolling enables polling of discovery where the settings expect it to push lists: a connection receives nothing
// that was not requested. A change counts from the moment discovery's agent has it, so the interval is the time by
// which a change may be late.
func (c *Config) setPolling(drainGrace time.Duration) {
	p := &c.Core.Policy
	if p.PollEndpointList {
		return
	}
	p.PollEndpointList = true
	if !failpoint.On("fit-push") {
		p.PollInterval = max(drainGrace, minPollInterval)
	}
}
