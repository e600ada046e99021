package bandwidth

import (
	"bytes"
	"reflect"
	"testing"

	"google.golang.org/protobuf/encoding/protowire"
	"pgregory.net/rapid"
)

var someAsks = Asks{Number: 7, Took: 6, Links: []Ask{
	{Link: "nrb>mba", Held: 1234.5678901, Safe: 0.8, Wants: []Want{{"chat", "acme", 0.5, 0}, {"bulk", "", 2e6, 300}, {Class: "bulk", Tenant: string(bytes.Repeat([]byte("t"), 200))}}},
	{Link: "mba>nrb"}}}

var someGrants = Grants{Number: 7, Links: []Grant{{"nrb>mba", 1e5 / 3, []Got{{"chat", "acme", 0.5}, {"bulk", "", 1e6}}, []Sure{{"chat", 0.25}}, []string{"bulk", ""}}, {}}}

// What is written comes back, whatever field a later version has added; a message that was cut anywhere, is of another form, or says what
// can't be, is refused, and is not read in part.
func TestWire(t *testing.T) {
	later := protowire.AppendString(protowire.AppendTag(nil, 1000, protowire.BytesType), "more")
	later = protowire.AppendFixed32(protowire.AppendTag(later, 1001, protowire.Fixed32Type), 5)
	for i, x := range []struct{ body, again []byte }{{someAsks.wire(), nil}, {someGrants.wire(), nil}} {
		var a Asks
		var g Grants
		read := func(b []byte) error {
			a, g = Asks{}, Grants{}
			if i == 0 {
				return a.read(b)
			}
			return g.read(b)
		}
		for _, more := range [][]byte{nil, later} {
			if err := read(append(bytes.Clone(x.body), more...)); err != nil {
				t.Fatal(err)
			}
			if i == 0 && !reflect.DeepEqual(a, someAsks) || i == 1 && !reflect.DeepEqual(g, someGrants) {
				t.Errorf("%+v %+v", a, g)
			}
		}
		for n := range x.body {
			if read(x.body[:n]) == nil {
				t.Errorf("read with %d bytes of %d", n, len(x.body))
			}
		}
		for name, b := range map[string][]byte{
			"another form": append([]byte{8, 2}, x.body[2:]...),
			"JSON":         []byte(`{"n":7,"k":6}`),
			"too long":     append(bytes.Clone(x.body), protowire.AppendBytes(protowire.AppendTag(nil, 1000, protowire.BytesType), make([]byte, longest))...),
		} {
			if read(b) == nil {
				t.Errorf("%s was read", name)
			}
		}
	}
	for name, a := range map[string]Asks{
		"below nothing":  {Links: []Ask{{Held: -1}}},
		"without end":    {Links: []Ask{{Safe: 1 / zero}}},
		"no number":      {Links: []Ask{{Wants: []Want{{Bytes: zero / zero}}}}},
		"more than fits": {Links: []Ask{{Wants: make([]Want, mostEntries+1)}}},
	} {
		if err := new(Asks).read(a.wire()); err == nil {
			t.Errorf("%s was read", name)
		}
	}
}

var zero float64

// Any message that can be written is read as it was; figures of the bound to the last bit.
func TestWireDrawn(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		figure, name := rapid.Float64Range(0, 1e15), rapid.String()
		small := rapid.Map(rapid.Float32Range(0, 1e15), func(v float32) float64 { return float64(v) })
		a := Asks{Number: rapid.Uint64().Draw(t, "number"), Took: rapid.Uint64().Draw(t, "took")}
		for range rapid.IntRange(0, 4).Draw(t, "links") {
			l := Ask{Link: name.Draw(t, "link"), Held: figure.Draw(t, "held"), Safe: figure.Draw(t, "safe")}
			for range rapid.IntRange(0, 3).Draw(t, "wants") {
				l.Wants = append(l.Wants, Want{name.Draw(t, "class"), name.Draw(t, "tenant"), small.Draw(t, "bytes"), rapid.IntRange(0, 1<<31-1).Draw(t, "senders")})
			}
			a.Links = append(a.Links, l)
		}
		var b Asks
		if err := b.read(a.wire()); err != nil || !reflect.DeepEqual(a, b) {
			t.Fatalf("%v: %+v for %+v", err, b, a)
		}
	})
}

// Foreign bytes are refused or read within bounds, and what was read of them can be written and read again.
func FuzzWire(f *testing.F) {
	f.Add(someAsks.wire())
	f.Add(someGrants.wire())
	f.Add([]byte{8, 1, 34, 2, 34, 0, 120, 2})
	f.Fuzz(func(t *testing.T, b []byte) {
		var a, again Asks
		if a.read(b) == nil {
			if err := again.read(a.wire()); err != nil || again.Number != a.Number || len(again.Links) != len(a.Links) {
				t.Errorf("%v: %+v for %+v", err, again, a)
			}
		}
		var g, g2 Grants
		if g.read(b) == nil {
			if err := g2.read(g.wire()); err != nil || !reflect.DeepEqual(g, g2) && len(b) < 4096 {
				t.Errorf("%v: %+v for %+v", err, g2, g)
			}
		}
	})
}
