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

// Whatever the deployment, the program's readers make of its settings what they say, and of its lists and reports as well.
func TestReadersUnderDrawnSettings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := generate.Draw(t)
		zone := rapid.IntRange(0, max(0, d.Zones-1)).Draw(t, "zone")
		c, err := proxy.ParseConfig(d.JSON(zone, 77, nil), proxy.Overrides{})
		if err != nil {
			t.Fatal(err)
		}
		want := d.Core(zone, 77)
		if len(want.Policy.Tenants) == 0 {
			want.Policy.Tenants = nil
		}
		if diff := cmp.Diff(want, c.Core); diff != "" {
			t.Fatal(diff)
		}
		zero := time.Unix(1_700_000_000, 0)
		born := float64(zero.Add(time.Hour).UnixMilli())
		list := d.List(3, true, []generate.Host{{Host: "x", Dial: "10.0.0.1:9", Site: d.Zone(zone), Block: 2, Health: "draining", Share: 0.5, Born: born}})
		w := platform.WatchReader{Zero: zero}
		var got []core.EndpointsListed
		data := append([]byte("HTTP/1.1 200 OK\r\n\r\n"), bytes.Repeat(list, 2)...)
		for len(data) > 0 {
			n := min(len(data), rapid.IntRange(1, 80).Draw(t, "piece"))
			if err := w.Read(data[:n], func(l *core.EndpointsListed) { got = append(got, *l) }); err != nil {
				t.Fatal(err)
			}
			data = data[n:]
		}
		server := policy.Server{ID: "x", Zone: d.Zone(zone), Cell: 2, State: policy.Draining, Weight: 0.5, StartedAt: time.Hour}
		if len(got) != 2 || got[1].Kind != policy.ListFull || got[1].Version != 3 || !cmp.Equal(got[1].Endpoints, []core.Endpoint{{Server: server, Address: "10.0.0.1:9"}}) {
			t.Fatalf("%+v", got)
		}
		r := platform.ParseStats([]byte(d.Report(0.5, 7)))
		figures := map[string]bool{}
		for _, f := range d.Fields {
			figures[f] = true
		}
		for _, f := range []struct {
			there bool
			is, x float64
		}{{figures["x0"], 0.5, readOf(r, func(r *policy.LoadReport) float64 { return r.Load })}, {figures["util"] || figures["busy"], 0.5, readOf(r, func(r *policy.LoadReport) float64 { return r.Utilization })},
			{figures["rif"] || figures["inflight"], 7, readOf(r, func(r *policy.LoadReport) float64 { return r.InFlight })}} {
			if f.there && f.x != f.is || !f.there && f.x >= 0 {
				t.Fatalf("fields %v: %+v", d.Fields, r)
			}
		}
	})
}

func readOf(r *policy.LoadReport, of func(*policy.LoadReport) float64) float64 {
	if r == nil {
		return -1
	}
	return of(r)
}

// The ranges are used: no seed range draws one kind of deployment only.
func TestDrawnDeploymentsDiffer(t *testing.T) {
	seen := map[string]int{}
	note := func(name string, is bool) {
		if is {
			seen[name]++
		}
	}
	for seed := range 200 {
		d := generate.Of(seed)
		note("no zones", d.Zones == 0)
		note("many zones", d.Zones > 4)
		note("few balancers", d.Balancers < 5)
		note("middling balancers", d.Balancers > 60 && d.Balancers < 240)
		note("many balancers", d.Balancers > 250)
		note("few regions", d.Regions < 5)
		note("many regions", d.Regions > 70)
		note("pushed", d.Pushed)
		note("indented", d.Indented)
		note("no advice", d.Advice == 0)
		note("no load in reports", d.Probes && !bytes.Contains([]byte(d.Report(1, 1)), []byte("x0")))
		note("no probes", !d.Probes)
		note("short deadlines", d.Longest() < time.Second)
		note("long deadlines", d.Longest() > 50*time.Second)
		for _, c := range d.Classes {
			note("not repeated", c.Idempotency == policy.NotIdempotent)
		}
		for _, k := range d.Troubles {
			note(string(k.Kind), true)
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
