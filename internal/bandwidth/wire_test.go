package bandwidth

import (
	"bytes"
	"reflect"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"
)

var sampleRequest = Request{Number: 7, Applied: 6, Links: []LinkRequest{
	{Link: "nrb>mba", GrantedRate: 1234.5678901, SafeRate: 0.8, Demands: []Demand{
		{"chat", "acme", 0.5, 0}, {"bulk", "", 2e6, 300},
		{Class: "bulk", Tenant: string(bytes.Repeat([]byte("t"), 200))}}},
	{Link: "mba>nrb"}}}

var sampleResponse = Response{Number: 7, Links: []Grant{{"nrb>mba", 1e5 / 3,
	[]FlowRate{{"chat", "acme", 0.5}, {"bulk", "", 1e6}}, []Guarantee{{"chat", 0.25}}, []string{"bulk", ""}}, {}}}

// TestWire checks that messages are decoded as they were encoded, whatever field a later version adds, and that a
// message that is truncated, of another version, or with an impossible figure is rejected and not decoded in part.
func TestWire(t *testing.T) {
	later := protowire.AppendString(protowire.AppendTag(nil, 1000, protowire.BytesType), "more")
	later = protowire.AppendFixed32(protowire.AppendTag(later, 1001, protowire.Fixed32Type), 5)
	for i, x := range []struct{ body, again []byte }{{sampleRequest.encode(), nil}, {sampleResponse.encode(), nil}} {
		var a Request
		var g Response
		read := func(b []byte) error {
			a, g = Request{}, Response{}
			if i == 0 {
				return a.decode(b)
			}
			return g.decode(b)
		}
		for _, more := range [][]byte{nil, later} {
			if err := read(append(bytes.Clone(x.body), more...)); err != nil {
				t.Fatal(err)
			}
			if i == 0 && !reflect.DeepEqual(a, sampleRequest) || i == 1 && !reflect.DeepEqual(g, sampleResponse) {
				t.Errorf("%+v %+v", a, g)
			}
		}
		for n := range x.body {
			if read(x.body[:n]) == nil {
				t.Errorf("%d bytes of %d were decoded", n, len(x.body))
			}
		}
		for name, b := range map[string][]byte{
			"another version": append([]byte{8, 2}, x.body[2:]...),
			"JSON":            []byte(`{"n":7,"k":6}`),
			"too long": append(bytes.Clone(x.body),
				protowire.AppendBytes(protowire.AppendTag(nil, 1000, protowire.BytesType), make([]byte, maxMessageBytes))...),
		} {
			if read(b) == nil {
				t.Errorf("%s was decoded", name)
			}
		}
	}
	for name, a := range map[string]Request{
		"negative":         {Links: []LinkRequest{{GrantedRate: -1}}},
		"infinite":         {Links: []LinkRequest{{SafeRate: 1 / zero}}},
		"not a number":     {Links: []LinkRequest{{Demands: []Demand{{Rate: zero / zero}}}}},
		"too many entries": {Links: []LinkRequest{{Demands: make([]Demand, maxEntries+1)}}},
	} {
		if err := new(Request).decode(a.encode()); err == nil {
			t.Errorf("%s was decoded", name)
		}
	}
}

var zero float64

// TestWireGenerated checks that any message that can be encoded is decoded to the same values; rates sent as doubles to
// the last bit.
func TestWireGenerated(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		figure, name := rapid.Float64Range(0, 1e15), rapid.String()
		small := rapid.Map(rapid.Float32Range(0, 1e15), func(v float32) float64 { return float64(v) })
		a := Request{Number: rapid.Uint64().Draw(t, "number"), Applied: rapid.Uint64().Draw(t, "took")}
		for range rapid.IntRange(0, 4).Draw(t, "links") {
			l := LinkRequest{Link: name.Draw(t, "link"), GrantedRate: figure.Draw(t, "held"), SafeRate: figure.Draw(t, "safe")}
			for range rapid.IntRange(0, 3).Draw(t, "wants") {
				l.Demands = append(l.Demands, Demand{name.Draw(t, "class"), name.Draw(t, "tenant"),
					small.Draw(t, "bytes"), rapid.IntRange(0, 1<<31-1).Draw(t, "senders")})
			}
			a.Links = append(a.Links, l)
		}
		var b Request
		if err := b.decode(a.encode()); err != nil || !reflect.DeepEqual(a, b) {
			t.Fatalf("%v: %+v for %+v", err, b, a)
		}
	})
}

// FuzzWire checks that arbitrary bytes are rejected or decoded within limits, and that what was decoded can be encoded
// and decoded again.
func FuzzWire(f *testing.F) {
	f.Add(sampleRequest.encode())
	f.Add(sampleResponse.encode())
	f.Add([]byte{8, 1, 34, 2, 34, 0, 120, 2})
	f.Fuzz(func(t *testing.T, b []byte) {
		var a, again Request
		if a.decode(b) == nil {
			if err := again.decode(a.encode()); err != nil || again.Number != a.Number || len(again.Links) != len(a.Links) {
				t.Errorf("%v: %+v for %+v", err, again, a)
			}
		}
		var g, g2 Response
		if g.decode(b) == nil {
			if err := g2.decode(g.encode()); err != nil || !reflect.DeepEqual(g, g2) && len(b) < 4096 {
				t.Errorf("%v: %+v for %+v", err, g2, g)
			}
		}
	})
}
