// Package generate creates random deployments for tests and for oatlab: the settings that balancers are configured
// with, and the properties that they are not given, such as server capacities, traffic, the delays of load reports and
// endpoint lists, and the incidents during the run.
//
// A deployment follows from the seed alone, and no range is fitted to a particular deployment. Settings are written in
// two forms, as the JSON that oatloft parses and as the core configuration that has to result, so that a parser that
// handles only one form of the input is detected.
package generate

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"pgregory.net/rapid"

	"oatloft/internal/core"
	"oatloft/policy"
)

// Class is a class of requests with its settings and its traffic.
type Class struct {
	policy.Class
	ClientTimeout                time.Duration // how long a client waits for its answer
	RequestShare                 float64       // fraction of all requests
	RelativeLoad, PriorityWeight float64       // of one connection; the mean connection has load 1
}

// Incident is a fault or a change of traffic that starts at a given time.
type Incident struct {
	Kind          IncidentKind
	At, Duration  time.Duration
	AffectedShare float64 // fraction of what the incident may affect
	Factor        float64 // of the traffic in a burst, and of the longest connect delay
}

// IncidentKind is the kind of an incident.
type IncidentKind string

// The kinds of incidents.
const (
	RollingReplacement IncidentKind = "roll"           // servers drain, stop and are replaced by new ones, which warm up
	ServerLoss         IncidentKind = "lost"           // servers become unreachable, then restart and warm up
	ServerHang         IncidentKind = "hang"           // servers accept connections but do not reply
	SlowConnects       IncidentKind = "late set-ups"   // connections to servers are established late
	ServerSlowdown     IncidentKind = "slow"           // servers have less capacity
	ServerErrors       IncidentKind = "errors"         // servers fail, or reset connections that they accepted
	SilentWatches      IncidentKind = "silent watches" // open watches deliver nothing more; some servers drain right after
	BrokenWatches      IncidentKind = "reset watches"  // open watches are closed; some servers drain right after
	DiscoveryOutage    IncidentKind = "no discovery"   // discovery is unavailable; some servers drain as it comes back
	PlannedRestart     IncidentKind = "restart"        // balancers shut down and restart one after the other
	ProcessKill        IncidentKind = "kill"           // balancers are killed at the same time, and come back
	TrafficBurst       IncidentKind = "burst"          // more requests arrive
)

var incidentKinds = []IncidentKind{RollingReplacement, ServerLoss, ServerHang, SlowConnects, ServerSlowdown,
	ServerErrors, SilentWatches, BrokenWatches, DiscoveryOutage, PlannedRestart, ProcessKill, TrafficBurst}

// Deployment is one generated deployment.
type Deployment struct {
	Seed                      int
	Zones, Balancers, Servers int  // without zones, endpoints and balancers have no zone name
	UnevenZones               bool // half of the servers are in the first zone, half of the balancers in the last
	Cells                     int
	Classes                   []Class
	Tenants                   []policy.Tenant
	TenantShares              []float64 // fraction of the requests of each tenant
	Groups                    int       // number of connection groups; 0 for none

	TimerResolution, ConnectTimeout time.Duration
	MaxAttempts                     int
	ProbesEnabled                   bool
	ReportFields                    []string // of load reports
	MaxRetryAfter                   time.Duration
	PushUpdates, IndentedLists      bool
	PollInterval, DrainGrace        time.Duration
	WarmUpInitialCapacity           float64
	WarmUpDuration, OverloadWindow  time.Duration
	OverloadMultiple                float64
	CrossZoneCost                   float64
	PassThrough                     bool // established connections continue through another balancer

	// Properties that balancers are not configured with.
	ServerCapacity                                        float64       // mean number of connections that fill a server
	Load                                                  float64       // of all servers, as a fraction of their capacity
	ConnectionLifetime                                    time.Duration // mean lifetime
	ReportDelay, ReportInterval                           time.Duration
	DiscoveryDelay                                        time.Duration // from a change until discovery publishes it
	SetupTime, NetworkLatency, ReconnectDelay, RetryDelay time.Duration
	// Traffic of the first balancer over the mean of the others.
	TrafficSkew   float64
	DrainDuration time.Duration
	// Draining servers close their connections; servers report the load of connections.
	CloseOnDrain, ConnectionLoads bool
	CachedList                    bool // a new process starts with a cached endpoint list
	Incidents                     []Incident
}

func randomDuration(t *rapid.T, name string, low, high time.Duration) time.Duration {
	return time.Duration(spreadInt(t, name, int(low/time.Millisecond), int(high/time.Millisecond))) * time.Millisecond
}

// spreadInt makes small, large and other numbers equally likely, because rapid's own ranges favor small ones.
func spreadInt(t *rapid.T, name string, low, high int) int {
	switch n := rapid.IntRange(0, high-low).Draw(t, name); rapid.IntRange(0, 2).Draw(t, name+", counted from") {
	case 0:
		return low + n
	case 1:
		return high - n
	default:
		return low + (n+(high-low)/2)%(high-low+1)
	}
}

func randomFloat(t *rapid.T, name string, low, high float64) float64 {
	return low + (high-low)*float64(spreadInt(t, name, 0, 1000))/1000
}

// randomSubset returns a random subset of a list, in the list's order.
func randomSubset(t *rapid.T, name string, all []string) (list []string) {
	bits := rapid.IntRange(0, 1<<len(all)-1).Draw(t, name)
	for i, s := range all {
		if bits>>i&1 == 1 {
			list = append(list, s)
		}
	}
	return list
}

// FromSeed returns the deployment of a seed. The same seed always gives the same deployment.
func FromSeed(seed int) Deployment {
	d := rapid.Custom(NewDeployment).Example(seed)
	d.Seed = seed
	return d
}

// NewDeployment generates a deployment.
func NewDeployment(t *rapid.T) Deployment {
	ms := time.Millisecond
	d := Deployment{Zones: rapid.IntRange(0, 6).Draw(t, "zones"), Balancers: spreadInt(t, "balancers", 1, 300),
		Servers:     spreadInt(t, "regions", 2, 90),
		UnevenZones: rapid.IntRange(0, 3).Draw(t, "lopsided") == 0, Cells: rapid.IntRange(1, 4).Draw(t, "cells"),
		Groups:          rapid.SampledFrom([]int{0, 3, 40}).Draw(t, "groups"),
		TimerResolution: randomDuration(t, "tick", ms, 20*ms),
		ConnectTimeout:  randomDuration(t, "connect time-out", 80*ms, time.Second),
		MaxAttempts:     rapid.IntRange(1, 8).Draw(t, "attempts"), ProbesEnabled: rapid.IntRange(0, 9).Draw(t, "probes") > 0,
		ReportFields: randomSubset(t, "fields", []string{"rif", "inflight", "queue", "util", "busy", "x0", "x1", "lat_ms"}),
		PushUpdates:  rapid.Bool().Draw(t, "pushed"), IndentedLists: rapid.Bool().Draw(t, "indented"),
		PollInterval:          randomDuration(t, "poll interval", 2*time.Second, 30*time.Second),
		DrainGrace:            randomDuration(t, "grace", 250*ms, 3*time.Second),
		WarmUpInitialCapacity: randomFloat(t, "initial capacity", 0.05, 0.9),
		WarmUpDuration:        randomDuration(t, "warm-up duration", 2*time.Second, 40*time.Second),
		OverloadWindow:        randomDuration(t, "overload window", 300*ms, 5*time.Second),
		OverloadMultiple:      randomFloat(t, "overload multiple", 1.2, 6),
		CrossZoneCost:         randomFloat(t, "crossing", 0, 0.4),
		PassThrough:           rapid.IntRange(0, 2).Draw(t, "pass") == 0,
		ServerCapacity:        randomFloat(t, "fill", 12, 150), Load: randomFloat(t, "load", 0.25, 0.75),
		ConnectionLifetime: randomDuration(t, "life", 2*time.Second, 3*time.Minute),
		ReportDelay:        randomDuration(t, "report delay", 0, 500*ms),
		ReportInterval:     randomDuration(t, "report interval", 50*ms, 900*ms),
		DiscoveryDelay:     randomDuration(t, "discovery delay", 5*ms, 2*time.Second),
		SetupTime:          randomDuration(t, "set-up", 2*ms, 60*ms), NetworkLatency: randomDuration(t, "way", ms, 18*ms),
		ReconnectDelay: randomDuration(t, "rejoin", 60*ms, 1500*ms),
		RetryDelay:     randomDuration(t, "retry delay", 20*ms, 2*time.Second),
		TrafficSkew:    randomFloat(t, "skew", 1, 8),
		DrainDuration:  randomDuration(t, "drain duration", 3*time.Second, 20*time.Second),
		CloseOnDrain:   rapid.Bool().Draw(t, "close on drain"), ConnectionLoads: rapid.Bool().Draw(t, "loads"),
		CachedList: rapid.Bool().Draw(t, "known")}
	if rapid.Bool().Draw(t, "advice") {
		d.MaxRetryAfter = randomDuration(t, "max retry-after", 100*ms, 5*time.Second)
	}
	// Limits the simulation to 5000 connections, and to 400 new ones a second.
	maxCapacity := 5000 / float64(d.Servers) / d.Load
	d.ServerCapacity = max(6, min(d.ServerCapacity, maxCapacity))
	if connections := d.ServerCapacity * d.Load * float64(d.Servers); connections/d.ConnectionLifetime.Seconds() > 400 {
		d.ConnectionLifetime = time.Duration(connections / 400 * float64(time.Second))
	}
	totalShare, totalLoad := 0.0, 0.0
	for i := range rapid.IntRange(1, 5).Draw(t, "classes") {
		c := Class{Class: policy.Class{Name: randomName(t, "class", i),
			LatencyObjective: randomDuration(t, "aim", 50*ms, 3*time.Second),
			Idempotency:      policy.Idempotency(rapid.IntRange(0, 2).Draw(t, "effect"))},
			ClientTimeout: randomDuration(t, "client timeout", 300*ms, time.Minute),
			RequestShare:  randomFloat(t, "part", 0.1, 1), RelativeLoad: randomFloat(t, "work", 0.2, 3),
			PriorityWeight: randomFloat(t, "worth", 0.5, 4)}
		c.LatencyObjective = min(c.LatencyObjective, c.ClientTimeout)
		if rapid.Bool().Draw(t, "has message objective") {
			c.MessageLatencyObjective = randomDuration(t, "message objective", 60*ms, 500*ms)
		}
		if c.Idempotency == policy.IdempotentByKey {
			c.KeyScope, c.KeyTTL = policy.KeyScope(rapid.IntRange(0, 2).Draw(t, "scope")),
				randomDuration(t, "key TTL", 300*ms, 20*time.Second)
		}
		totalShare, totalLoad = totalShare+c.RequestShare, totalLoad+c.RequestShare*c.RelativeLoad
		d.Classes = append(d.Classes, c)
	}
	for i := range d.Classes {
		d.Classes[i].RelativeLoad *= totalShare / totalLoad
		d.Classes[i].RequestShare /= totalShare
	}
	remaining := 1.0
	for i := range rapid.IntRange(0, 4).Draw(t, "tenants") {
		fraction := remaining * randomFloat(t, "fraction", 0.05, 0.9)
		remaining -= fraction
		d.TenantShares = append(d.TenantShares, fraction)
		d.Tenants = append(d.Tenants,
			policy.Tenant{Name: randomName(t, "tenant", i),
				ConnectionQuota: float64(rapid.SampledFrom([]int{0, 1, 20, 300, 6000}).Draw(t, "share"))})
	}
	for range rapid.IntRange(1, 4).Draw(t, "troubles") {
		d.Incidents = append(d.Incidents, Incident{Kind: incidentKinds[spreadInt(t, "trouble", 0, len(incidentKinds)-1)],
			At:            randomDuration(t, "at", 4*time.Second, 16*time.Second),
			Duration:      randomDuration(t, "for", time.Second, 8*time.Second),
			AffectedShare: randomFloat(t, "affected share", 0.1, 0.6), Factor: randomFloat(t, "times", 1.3, 2.5)})
	}
	return d
}

// randomName returns a random word with an index, so that no code can be fitted to the name.
func randomName(t *rapid.T, label string, i int) string {
	return rapid.StringMatching(`[a-z][a-z0-9-]{0,9}`).Draw(t, label) + fmt.Sprint(i)
}

// ZoneName returns the name of a zone.
func (d *Deployment) ZoneName(i int) string {
	if d.Zones == 0 {
		return ""
	}
	return fmt.Sprintf("%c%d", 'z'-byte(i), d.Seed%97)
}

// ServerZone returns the zone of the i-th server.
func (d *Deployment) ServerZone(i int) int {
	if d.Zones == 0 || d.UnevenZones && i%2 == 0 {
		return 0
	}
	return i % d.Zones
}

// BalancerZone returns the zone of the i-th balancer.
func (d *Deployment) BalancerZone(i int) int {
	if d.Zones == 0 {
		return 0
	}
	if d.UnevenZones && i%2 == 0 {
		return d.Zones - 1
	}
	return i % d.Zones
}

// HasIncident reports whether the deployment has an incident of a kind.
func (d *Deployment) HasIncident(kind IncidentKind) bool {
	return slices.ContainsFunc(d.Incidents, func(incident Incident) bool { return incident.Kind == kind })
}

// MaxClientTimeout returns the longest client timeout of all classes.
func (d *Deployment) MaxClientTimeout() (longest time.Duration) {
	for _, c := range d.Classes {
		longest = max(longest, c.ClientTimeout)
	}
	return longest
}

// CoreConfig returns the core configuration that has to result from ConfigJSON, built without the parsers.
func (d *Deployment) CoreConfig(zone int, seed int64) core.Config {
	p := policy.Config{Zone: d.ZoneName(zone), Balancers: d.Balancers, TimerResolution: d.TimerResolution,
		MaxAttempts: d.MaxAttempts, ProbesEnabled: d.ProbesEnabled, MaxRetryAfter: d.MaxRetryAfter,
		PollEndpointList: true, PollInterval: d.PollInterval, CrossZoneCost: d.CrossZoneCost,
		WarmUpInitialCapacity: d.WarmUpInitialCapacity, WarmUpDuration: d.WarmUpDuration,
		OverloadMultiple: d.OverloadMultiple, OverloadWindow: d.OverloadWindow,
		Tenants: d.Tenants}
	if d.PushUpdates {
		p.PollInterval = max(d.DrainGrace, 100*time.Millisecond)
	}
	for _, c := range d.Classes {
		p.Classes = append(p.Classes, c.Class)
	}
	return core.Config{Policy: p, Seed: seed, ConnectTimeout: d.ConnectTimeout, ProbeTimeout: 300 * time.Millisecond,
		MaxClientTimeout: d.MaxClientTimeout(), PassThrough: d.PassThrough}
}

func milliseconds(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }

// ConfigJSON returns the configuration file of a balancer, with a cached endpoint list unless it is nil.
func (d *Deployment) ConfigJSON(zone int, seed uint64, cachedList []byte) []byte {
	type object = map[string]any
	limits := object{"max-attempts": d.MaxAttempts, "probes": d.ProbesEnabled, "retry-after": d.MaxRetryAfter > 0,
		"connect-timeout-ms": milliseconds(d.ConnectTimeout),
		"max-retry-after-ms": max(1, milliseconds(d.MaxRetryAfter))}
	membershipMode, reporting, proxyMode := "on_request", "pull", "proxy"
	if d.PushUpdates {
		membershipMode = "pushed"
	}
	if d.PassThrough {
		proxyMode = "pass"
	}
	messageObjectives, classes, tenants, quotas := []any{}, []any{}, []any{}, []any{}
	for _, c := range d.Classes {
		entry := object{"name": c.Name, "aim-ms": milliseconds(c.LatencyObjective),
			"give-up-ms": milliseconds(c.ClientTimeout), "semantics": []string{"safe", "keyed", "unsafe"}[c.Idempotency],
			"stream": true}
		if c.Idempotency == policy.IdempotentByKey {
			entry["group"], entry["key-ttl-ms"] = []string{"all", "zone", "cell"}[c.KeyScope], milliseconds(c.KeyTTL)
		}
		classes = append(classes, entry)
		if c.MessageLatencyObjective > 0 {
			messageObjectives = append(messageObjectives, milliseconds(c.MessageLatencyObjective))
		} else {
			messageObjectives = append(messageObjectives, nil)
		}
	}
	for i, t := range d.Tenants {
		tenants = append(tenants, object{"name": t.Name, "fraction": d.TenantShares[i]})
		quotas = append(quotas, t.ConnectionQuota)
	}
	settings := object{"zone": d.ZoneName(zone), "balancers": d.Balancers,
		"granularity-ms": milliseconds(d.TimerResolution), "membership-mode": membershipMode, "limits": limits,
		"reporting": object{"how": reporting, "columns": d.ReportFields},
		"family-info": object{"groups": d.Groups > 0, "mode": proxyMode, "message-aim-ms": messageObjectives,
			"tenant-quota-connections": quotas},
		"rules": object{"ask-every-ms": milliseconds(d.PollInterval), "drain-grace-ms": milliseconds(d.DrainGrace),
			"cold-from": d.WarmUpInitialCapacity, "cold-ms": milliseconds(d.WarmUpDuration),
			"fall-multiple": d.OverloadMultiple, "tip-after-ms": milliseconds(d.OverloadWindow)},
		"penalties": object{"cross-zone": d.CrossZoneCost}, "classes": classes, "tenants": tenants}
	file := object{"name": "drawn", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": fmt.Sprintf("%x", seed),
		"settings": settings,
		"limits":   object{"cores": 0.5, "memory_mb": 64, "sockets": 512}}
	if cachedList != nil {
		file["known"] = json.RawMessage(cachedList)
	}
	body, err := json.Marshal(file)
	if err != nil {
		panic(err) // every value of the file can be marshaled
	}
	return body
}

// Endpoint is one entry of the endpoint list of discovery.
type Endpoint struct {
	ID          string  `json:"host"`
	Address     string  `json:"dial"`
	Zone        string  `json:"site"`
	Class       string  `json:"class"`
	Cell        int     `json:"block"`
	Health      string  `json:"health"`
	Weight      float64 `json:"share"`
	StartedAtMS float64 `json:"born_ms"`
}

// ListJSON returns an endpoint list as discovery writes it, with the newline at its end.
func (d *Deployment) ListJSON(version int64, full bool, endpoints []Endpoint) []byte {
	list := struct {
		Version   int64      `json:"seq"`
		Full      bool       `json:"whole"`
		Endpoints []Endpoint `json:"hosts"`
	}{version, full, endpoints}
	body, err := json.Marshal(list)
	if d.IndentedLists {
		body, err = json.MarshalIndent(list, "", "  ")
	}
	if err != nil {
		panic(err)
	}
	return append(body, '\n')
}

// ReportLine returns a server's answer to a probe, with the deployment's report fields. load is the server's load as a
// fraction of its capacity, inFlight its number of connections.
func (d *Deployment) ReportLine(load, inFlight float64) string {
	line := "PONG"
	for i, f := range d.ReportFields {
		value := 0.0
		switch f {
		case "rif", "inflight":
			value = inFlight
		case "queue":
			value = max(0, load-1) * inFlight
		case "util", "busy":
			value = min(1, load)
		case "x0":
			value = load
		case "x1":
			value = max(0, load-1)
		case "lat_ms":
			value = 10 + 10*load
		}
		line += fmt.Sprintf("%c%s=%.4f", " ,"[min(i, 1)], f, value)
	}
	return line + "\r\n"
}
