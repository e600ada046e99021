package generate_test

import (
	"bytes"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"oatloft/internal/core"
	"oatloft/internal/generate"
	"oatloft/internal/platform"
	"oatloft/internal/proxy"
	"oatloft/policy"
)

// The parsers of the configuration, of endpoint lists and of load reports read the generated values of any deployment.
func TestReadersParseGeneratedDeployments(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := generate.NewDeployment(t)
		zone := rapid.IntRange(0, max(0, d.Zones-1)).Draw(t, "zone")
		config, err := proxy.ParseConfig(d.ConfigJSON(zone, 77, nil), proxy.Overrides{})
		if err != nil {
			t.Fatal(err)
		}
		want := d.CoreConfig(zone, 77)
		if len(want.Policy.Tenants) == 0 {
			want.Policy.Tenants = nil
		}
		if diff := cmp.Diff(want, config.Core); diff != "" {
			t.Fatal(diff)
		}
		epoch := time.Unix(1_700_000_000, 0)
		startedAt := float64(epoch.Add(time.Hour).UnixMilli())
		list := d.ListJSON(3, true, []generate.Endpoint{
			{ID: "x", Address: "10.0.0.1:9", Zone: d.ZoneName(zone), Cell: 2, Health: "draining", Weight: 0.5,
				StartedAtMS: startedAt}})
		reader := platform.WatchReader{ClockStart: epoch}
		var got []core.EndpointsListed
		data := append([]byte("HTTP/1.1 200 OK\r\n\r\n"), bytes.Repeat(list, 2)...)
		for len(data) > 0 {
			n := min(len(data), rapid.IntRange(1, 80).Draw(t, "piece"))
			if err := reader.Read(data[:n], func(l *core.EndpointsListed) { got = append(got, *l) }); err != nil {
				t.Fatal(err)
			}
			data = data[n:]
		}
		server := policy.Server{ID: "x", Zone: d.ZoneName(zone), Cell: 2, State: policy.Draining, Weight: 0.5,
			StartedAt: time.Hour}
		if len(got) != 2 || got[1].Kind != policy.ListFull || got[1].Version != 3 ||
			!cmp.Equal(got[1].Endpoints, []core.Endpoint{{Server: server, Address: "10.0.0.1:9"}}) {
			t.Fatalf("%+v", got)
		}
		r := platform.ParseStats([]byte(d.ReportLine(0.5, 7)))
		reported := map[string]bool{}
		for _, f := range d.ReportFields {
			reported[f] = true
		}
		for _, f := range []struct {
			present   bool
			want, got float64
		}{{reported["x0"], 0.5, figureOf(r, func(r *policy.LoadReport) float64 { return r.Load })},
			{reported["util"] || reported["busy"], 0.5,
				figureOf(r, func(r *policy.LoadReport) float64 { return r.Utilization })},
			{reported["rif"] || reported["inflight"], 7,
				figureOf(r, func(r *policy.LoadReport) float64 { return r.InFlight })}} {
			if f.present && f.got != f.want || !f.present && f.got >= 0 {
				t.Fatalf("fields %v: %+v", d.ReportFields, r)
			}
		}
	})
}

func figureOf(r *policy.LoadReport, figure func(*policy.LoadReport) float64) float64 {
	if r == nil {
		return -1
	}
	return figure(r)
}

// Each range is used: among 200 seeds, every property and every kind of incident occurs.
func TestGeneratedDeploymentsVary(t *testing.T) {
	seen := map[string]int{}
	count := func(name string, holds bool) {
		if holds {
			seen[name]++
		}
	}
	for seed := range 200 {
		d := generate.FromSeed(seed)
		count("no zones", d.Zones == 0)
		count("many zones", d.Zones > 4)
		count("few balancers", d.Balancers < 5)
		count("middling balancers", d.Balancers > 60 && d.Balancers < 240)
		count("many balancers", d.Balancers > 250)
		count("few servers", d.Servers < 5)
		count("many servers", d.Servers > 70)
		count("pushed", d.PushUpdates)
		count("indented", d.IndentedLists)
		count("no retry-after", d.MaxRetryAfter == 0)
		count("no load in reports", d.ProbesEnabled && !bytes.Contains([]byte(d.ReportLine(1, 1)), []byte("x0")))
		count("no probes", !d.ProbesEnabled)
		count("short deadlines", d.MaxClientTimeout() < time.Second)
		count("long deadlines", d.MaxClientTimeout() > 50*time.Second)
		for _, c := range d.Classes {
			count("not repeated", c.Idempotency == policy.NotIdempotent)
		}
		for _, incident := range d.Incidents {
			count(string(incident.Kind), true)
		}
	}
	for name, n := range seen {
		if n < 6 {
			t.Errorf("%s: in %d of 200", name, n)
		}
	}
	if len(seen) != 15+12 {
		t.Errorf("seen: %v", seen)
	}
}
