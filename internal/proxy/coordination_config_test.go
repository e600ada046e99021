package proxy

import (
	"strings"
	"testing"
	"time"

	"oatloft/internal/edgeconfig"
	"oatloft/internal/fake"
)

// Coordination between balancers is off unless a section of the edge file enables it, and conflicting sections are
// refused.
func TestCoordinationRequiresEdgeConfig(t *testing.T) {
	w, err := fake.New(1)
	if err != nil {
		t.Fatal(err)
	}
	defer w.Close()
	parse := func(e *edgeconfig.Settings) (Config, error) {
		c, err := ParseConfig(
			w.Config(
				"n17",
				"127.8.9.9:9000",
				fake.Options{Sockets: 256, MemoryMB: 64, Discovery: w.Discovery.Addr, Balancers: 40},
			),
			Overrides{},
		)
		if err != nil {
			t.Fatal(err)
		}
		return c, c.SetEdge(e)
	}
	peers := func(subset int) *edgeconfig.Peers {
		return &edgeconfig.Peers{
			Cluster:     "c",
			Listen:      "127.8.9.9:7000",
			SilentAfter: edgeconfig.Duration(3 * time.Second),
			MaxMembers:  64,
			SignalBytes: 4096,
			SignalEvery: edgeconfig.Duration(
				500 * time.Millisecond,
			),
			SignalLife: edgeconfig.Duration(5 * time.Second),
			Subset:     subset,
		}
	}
	for _, e := range []*edgeconfig.Settings{nil, {}, {Peers: peers(0)}} {
		if c, err := parse(e); err != nil || c.Numbered != nil || c.Peers != nil && c.Peers.Coordination.Enabled() {
			t.Errorf("%+v: %+v, %v", e, c, err)
		}
	}
	c, err := parse(&edgeconfig.Settings{Peers: peers(8)})
	if err != nil || !c.Peers.Coordination.Enabled() || c.Peers.Coordination.SubsetSize != 8 ||
		c.Peers.Coordination.Balancers != 40 ||
		c.Peers.Coordination.Zone == "" {
		t.Errorf("%+v, %v", c.Peers, err)
	}
	c, err = parse(&edgeconfig.Settings{Numbered: &edgeconfig.Numbered{Number: -1, Subset: 6}})
	if err != nil || c.Numbered == nil || c.Numbered.Number != 17 || c.Numbered.Count != 40 {
		t.Errorf("%+v, %v", c.Numbered, err)
	}
	if _, err := parse(&edgeconfig.Settings{Peers: peers(8), Numbered: &edgeconfig.Numbered{Number: 3}}); err == nil ||
		!strings.HasPrefix(err.Error(), "numbered: ") {
		t.Errorf("both sections: %v", err)
	}
	if _, err := parse(&edgeconfig.Settings{Peers: peers(500)}); err == nil ||
		!strings.HasPrefix(err.Error(), "peers.subset: ") {
		t.Errorf("a subset of 500: %v", err)
	}
}
