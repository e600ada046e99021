// Package generate draws whole deployments: the settings that balancers are told, in the form in which they are told, and what
// nobody tells them: sizes, traffic, how late reports and lists come, what goes wrong when.
//
// It is for tests and the laboratory. It owns the ranges, and must never hold a figure that is some deployment's own: what is
// drawn follows from the seed alone. Settings are made twice, as JSON that oatloft's readers read and as the module's
// settings without them, so that a reader that is fitted to one form is found.
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

// Class is a class of requests, as it is told and as it is.
type Class struct {
	policy.Class
	GiveUp      time.Duration // a terminal of it waits so long for its answer
	Part        float64       // of those that come
	Work, Worth float64       // of one connection; the mean connection's work is 1
}

// Trouble is something that happens at a time.
type Trouble struct {
	Kind    Kind
	At, For time.Duration
	Part    float64 // of all that it may strike
	Times   float64 // traffic, for a burst
}

// Kind of trouble.
type Kind string

// The troubles.
const (
	Roll      Kind = "roll"           // regions drain, stop, and are replaced by cold ones
	Lost      Kind = "lost"           // regions vanish, and come back cold
	Hang      Kind = "hang"           // regions take connections and return nothing
	Late      Kind = "late set-ups"   // connections to regions come up late
	Slow      Kind = "slow"           // regions do less
	Errors    Kind = "errors"         // regions fail, or reset what has begun
	Silent    Kind = "silent watches" // all open watches say nothing more; some regions drain right after
	Unwatched Kind = "reset watches"  // all open watches break; some regions drain right after
	Discovery Kind = "no discovery"   // discovery is down; some regions drain as it returns
	Restart   Kind = "restart"        // balancers are told to end, one part after the other
	Kill      Kind = "kill"           // balancers are killed at once, and come back
	Burst     Kind = "burst"          // more come
)

var kinds = []Kind{Roll, Lost, Hang, Late, Slow, Errors, Silent, Unwatched, Discovery, Restart, Kill, Burst}

// Deployment is one place.
type Deployment struct {
	Seed                      int
	Zones, Balancers, Regions int  // no zones: nobody names any
	Lopsided                  bool // half of the regions stand in the first zone, half of the balancers in the last
	Cells                     int
	Classes                   []Class
	Tenants                   []policy.Tenant
	Fractions                 []float64 // of those that come, by tenant
	Groups                    int       // that connections belong to; 0 for none

	Tick, ConnectTimeout time.Duration
	Attempts             int
	Probes               bool
	Fields               []string // of reports
	Advice               time.Duration
	Pushed, Indented     bool
	AskEvery, Grace      time.Duration
	ColdFrom             float64
	ColdFor, FallTime    time.Duration
	FallMultiple         float64
	Cross                float64
	Pass                 bool // open connections go on through another balancer

	// What nobody tells.
	Fill                          float64       // mean connections that fill a region
	Load                          float64       // of all regions
	Life                          time.Duration // of a connection, in the mean
	ReportLate, ReportEvery       time.Duration
	ListLag                       time.Duration // from a change until discovery tells it
	Setup, Way, Rejoin, ComeAgain time.Duration
	Skew                          float64 // traffic of one balancer over the mean of the others
	DrainFor                      time.Duration
	GoAway, Loads                 bool // draining regions send their connections away; regions tell connections' loads
	Known                         bool // a new process knows the list of before
	Troubles                      []Trouble
}

func span(t *rapid.T, name string, low, high time.Duration) time.Duration {
	return time.Duration(wide(t, name, int(low/time.Millisecond), int(high/time.Millisecond))) * time.Millisecond
}

// wide draws small, large and other numbers alike: rapid's own ranges prefer small ones.
func wide(t *rapid.T, name string, low, high int) int {
	switch n := rapid.IntRange(0, high-low).Draw(t, name); rapid.IntRange(0, 2).Draw(t, name+", counted from") {
	case 0:
		return low + n
	case 1:
		return high - n
	default:
		return low + (n+(high-low)/2)%(high-low+1)
	}
}

func part(t *rapid.T, name string, low, high float64) float64 {
	return low + (high-low)*float64(wide(t, name, 0, 1000))/1000
}

// someOf draws any of a list, in its order.
func someOf(t *rapid.T, name string, all []string) (list []string) {
	bits := rapid.IntRange(0, 1<<len(all)-1).Draw(t, name)
	for i, s := range all {
		if bits>>i&1 == 1 {
			list = append(list, s)
		}
	}
	return list
}

// Of is the deployment of a seed, the same one each time.
func Of(seed int) Deployment {
	d := rapid.Custom(Draw).Example(seed)
	d.Seed = seed
	return d
}

// Draw draws one.
func Draw(t *rapid.T) Deployment {
	ms := time.Millisecond
	d := Deployment{Zones: rapid.IntRange(0, 6).Draw(t, "zones"), Balancers: wide(t, "balancers", 1, 300), Regions: wide(t, "regions", 2, 90),
		Lopsided: rapid.IntRange(0, 3).Draw(t, "lopsided") == 0, Cells: rapid.IntRange(1, 4).Draw(t, "cells"),
		Groups: rapid.SampledFrom([]int{0, 3, 40}).Draw(t, "groups"),
		Tick:   span(t, "tick", ms, 20*ms), ConnectTimeout: span(t, "connect time-out", 80*ms, time.Second),
		Attempts: rapid.IntRange(1, 8).Draw(t, "attempts"), Probes: rapid.IntRange(0, 9).Draw(t, "probes") > 0,
		Fields: someOf(t, "fields", []string{"rif", "inflight", "queue", "util", "busy", "x0", "x1", "lat_ms"}),
		Pushed: rapid.Bool().Draw(t, "pushed"), Indented: rapid.Bool().Draw(t, "indented"),
		AskEvery: span(t, "ask every", 2*time.Second, 30*time.Second), Grace: span(t, "grace", 250*ms, 3*time.Second),
		ColdFrom: part(t, "cold from", 0.05, 0.9), ColdFor: span(t, "cold for", 2*time.Second, 40*time.Second),
		FallTime: span(t, "fall time", 300*ms, 5*time.Second), FallMultiple: part(t, "fall multiple", 1.2, 6),
		Cross: part(t, "crossing", 0, 0.4), Pass: rapid.IntRange(0, 2).Draw(t, "pass") == 0,
		Fill: part(t, "fill", 12, 150), Load: part(t, "load", 0.25, 0.75), Life: span(t, "life", 2*time.Second, 3*time.Minute),
		ReportLate: span(t, "report late", 0, 500*ms), ReportEvery: span(t, "report every", 50*ms, 900*ms),
		ListLag: span(t, "list lag", 5*ms, 2*time.Second), Setup: span(t, "set-up", 2*ms, 60*ms), Way: span(t, "way", ms, 18*ms),
		Rejoin: span(t, "rejoin", 60*ms, 1500*ms), ComeAgain: span(t, "come again", 20*ms, 2*time.Second),
		Skew: part(t, "skew", 1, 8), DrainFor: span(t, "drain for", 3*time.Second, 20*time.Second),
		GoAway: rapid.Bool().Draw(t, "go away"), Loads: rapid.Bool().Draw(t, "loads"), Known: rapid.Bool().Draw(t, "known")}
	if rapid.Bool().Draw(t, "advice") {
		d.Advice = span(t, "longest advice", 100*ms, 5*time.Second)
	}
	most := 5000 / float64(d.Regions) / d.Load // so much can be stepped: as many stand, and 400 a second come
	d.Fill = max(6, min(d.Fill, most))
	if stand := d.Fill * d.Load * float64(d.Regions); stand/d.Life.Seconds() > 400 {
		d.Life = time.Duration(stand / 400 * float64(time.Second))
	}
	total, work := 0.0, 0.0
	for i := range rapid.IntRange(1, 5).Draw(t, "classes") {
		c := Class{Class: policy.Class{Name: name(t, "class", i), LatencyObjective: span(t, "aim", 50*ms, 3*time.Second), Idempotency: policy.Idempotency(rapid.IntRange(0, 2).Draw(t, "effect"))},
			GiveUp: span(t, "give up", 300*ms, time.Minute), Part: part(t, "part", 0.1, 1), Work: part(t, "work", 0.2, 3), Worth: part(t, "worth", 0.5, 4)}
		c.LatencyObjective = min(c.LatencyObjective, c.GiveUp)
		if rapid.Bool().Draw(t, "messages have an aim") {
			c.MessageLatencyObjective = span(t, "message aim", 60*ms, 500*ms)
		}
		if c.Idempotency == policy.IdempotentByKey {
			c.KeyScope, c.KeyTTL = policy.KeyScope(rapid.IntRange(0, 2).Draw(t, "scope")), span(t, "key's time", 300*ms, 20*time.Second)
		}
		total, work = total+c.Part, work+c.Part*c.Work
		d.Classes = append(d.Classes, c)
	}
	for i := range d.Classes {
		d.Classes[i].Work *= total / work
		d.Classes[i].Part /= total
	}
	left := 1.0
	for i := range rapid.IntRange(0, 4).Draw(t, "tenants") {
		f := left * part(t, "fraction", 0.05, 0.9)
		left -= f
		d.Fractions = append(d.Fractions, f)
		d.Tenants = append(d.Tenants, policy.Tenant{Name: name(t, "tenant", i), ConnectionQuota: float64(rapid.SampledFrom([]int{0, 1, 20, 300, 6000}).Draw(t, "share"))})
	}
	for range rapid.IntRange(1, 4).Draw(t, "troubles") {
		d.Troubles = append(d.Troubles, Trouble{Kind: kinds[wide(t, "trouble", 0, len(kinds)-1)], At: span(t, "at", 4*time.Second, 16*time.Second),
			For: span(t, "for", time.Second, 8*time.Second), Part: part(t, "part struck", 0.1, 0.6), Times: part(t, "times", 1.3, 2.5)})
	}
	return d
}

// name is a word that nobody can have fitted to.
func name(t *rapid.T, what string, i int) string {
	return rapid.StringMatching(`[a-z][a-z0-9-]{0,9}`).Draw(t, what) + fmt.Sprint(i)
}

// Zone is the name of a zone.
func (d *Deployment) Zone(i int) string {
	if d.Zones == 0 {
		return ""
	}
	return fmt.Sprintf("%c%d", 'z'-byte(i), d.Seed%97)
}

// RegionZone and BalancerZone tell where the i-th stands.
func (d *Deployment) RegionZone(i int) int {
	if d.Zones == 0 || d.Lopsided && i%2 == 0 {
		return 0
	}
	return i % d.Zones
}

// BalancerZone is the zone of the i-th balancer.
func (d *Deployment) BalancerZone(i int) int {
	if d.Zones == 0 {
		return 0
	}
	if d.Lopsided && i%2 == 0 {
		return d.Zones - 1
	}
	return i % d.Zones
}

// Has tells whether a trouble is among the deployment's.
func (d *Deployment) Has(k Kind) bool {
	return slices.ContainsFunc(d.Troubles, func(t Trouble) bool { return t.Kind == k })
}

// Longest is the longest time that a class waits.
func (d *Deployment) Longest() (longest time.Duration) {
	for _, c := range d.Classes {
		longest = max(longest, c.GiveUp)
	}
	return longest
}

// Core is what a balancer has to make of the settings, made without their readers.
func (d *Deployment) Core(zone int, seed int64) core.Config {
	p := policy.Config{Zone: d.Zone(zone), Balancers: d.Balancers, TimerResolution: d.Tick, MaxAttempts: d.Attempts, ProbesEnabled: d.Probes, MaxRetryAfter: d.Advice,
		PollEndpointList: true, PollInterval: d.AskEvery, CrossZoneCost: d.Cross, WarmUpInitialCapacity: d.ColdFrom, WarmUpDuration: d.ColdFor, OverloadMultiple: d.FallMultiple, OverloadWindow: d.FallTime,
		Tenants: d.Tenants}
	if d.Pushed {
		p.PollInterval = max(d.Grace, 100*time.Millisecond)
	}
	for _, c := range d.Classes {
		p.Classes = append(p.Classes, c.Class)
	}
	return core.Config{Policy: p, Seed: seed, ConnectTimeout: d.ConnectTimeout, ProbeTimeout: 300 * time.Millisecond, MaxClientTimeout: d.Longest(), PassThrough: d.Pass}
}

func millis(t time.Duration) float64 { return float64(t) / float64(time.Millisecond) }

// JSON is the configuration of a balancer, with a list of regions that it knows, or none.
func (d *Deployment) JSON(zone int, seed uint64, known []byte) []byte {
	type object = map[string]any
	limits := object{"max-attempts": d.Attempts, "probes": d.Probes, "retry-after": d.Advice > 0, "connect-timeout-ms": millis(d.ConnectTimeout),
		"max-retry-after-ms": max(1, millis(d.Advice))}
	mode, how, way := "on_request", "pull", "proxy"
	if d.Pushed {
		mode = "pushed"
	}
	if d.Pass {
		way = "pass"
	}
	aims, classes, tenants, quotas := []any{}, []any{}, []any{}, []any{}
	for _, c := range d.Classes {
		k := object{"name": c.Name, "aim-ms": millis(c.LatencyObjective), "give-up-ms": millis(c.GiveUp), "semantics": []string{"safe", "keyed", "unsafe"}[c.Idempotency], "stream": true}
		if c.Idempotency == policy.IdempotentByKey {
			k["group"], k["key-ttl-ms"] = []string{"all", "zone", "cell"}[c.KeyScope], millis(c.KeyTTL)
		}
		classes = append(classes, k)
		if c.MessageLatencyObjective > 0 {
			aims = append(aims, millis(c.MessageLatencyObjective))
		} else {
			aims = append(aims, nil)
		}
	}
	for i, t := range d.Tenants {
		tenants = append(tenants, object{"name": t.Name, "fraction": d.Fractions[i]})
		quotas = append(quotas, t.ConnectionQuota)
	}
	settings := object{"zone": d.Zone(zone), "balancers": d.Balancers, "granularity-ms": millis(d.Tick), "membership-mode": mode, "limits": limits,
		"reporting": object{"how": how, "columns": d.Fields}, "family-info": object{"groups": d.Groups > 0, "mode": way, "message-aim-ms": aims, "tenant-quota-connections": quotas},
		"rules": object{"ask-every-ms": millis(d.AskEvery), "drain-grace-ms": millis(d.Grace), "cold-from": d.ColdFrom, "cold-ms": millis(d.ColdFor),
			"fall-multiple": d.FallMultiple, "tip-after-ms": millis(d.FallTime)},
		"penalties": object{"cross-zone": d.Cross}, "classes": classes, "tenants": tenants}
	file := object{"name": "drawn", "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "seed": fmt.Sprintf("%x", seed), "settings": settings,
		"limits": object{"cores": 0.5, "memory_mb": 64, "sockets": 512}}
	if known != nil {
		file["known"] = json.RawMessage(known)
	}
	body, err := json.Marshal(file)
	if err != nil {
		panic(err) // there is nothing in it that JSON can't hold
	}
	return body
}

// Host is one entry of discovery's list.
type Host struct {
	Host   string  `json:"host"`
	Dial   string  `json:"dial"`
	Site   string  `json:"site"`
	Class  string  `json:"class"`
	Block  int     `json:"block"`
	Health string  `json:"health"`
	Share  float64 `json:"share"`
	Born   float64 `json:"born_ms"`
}

// List is a list as discovery writes it, its line's end included.
func (d *Deployment) List(seq int64, whole bool, hosts []Host) []byte {
	l := struct {
		Seq   int64  `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []Host `json:"hosts"`
	}{seq, whole, hosts}
	body, err := json.Marshal(l)
	if d.Indented {
		body, err = json.MarshalIndent(l, "", "  ")
	}
	if err != nil {
		panic(err)
	}
	return append(body, '\n')
}

// Report is the line with which a region answers a probe: the deployment's fields, for one that holds so many connections at
// so much of what it can do.
func (d *Deployment) Report(x, held float64) string {
	line := "PONG"
	for i, f := range d.Fields {
		value := 0.0
		switch f {
		case "rif", "inflight":
			value = held
		case "queue":
			value = max(0, x-1) * held
		case "util", "busy":
			value = min(1, x)
		case "x0":
			value = x
		case "x1":
			value = max(0, x-1)
		case "lat_ms":
			value = 10 + 10*x
		}
		line += fmt.Sprintf("%c%s=%.4f", " ,"[min(i, 1)], f, value)
	}
	return line + "\r\n"
}
