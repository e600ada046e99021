package proxy

import (
	"bytes"
	"os"
	"testing"
	"time"
)

// Where lists are pushed, the platform's wire brings them, but sockets bring nothing unasked: such a balancer never
// asked, and sent to draining regions for a whole day. What the agent has counts at once, so it asks as often as
// news may be late.
func TestPushedListsAreAskedFor(t *testing.T) {
	body, err := os.ReadFile("testdata/config.json")
	if err != nil {
		t.Fatal(err)
	}
	for mode, want := range map[string]time.Duration{
		"on_request": 400 * time.Millisecond,
		"pushed":     300 * time.Millisecond,
	} {
		text := bytes.Replace(body, []byte(`"on_request"`), []byte(`"`+mode+`"`), 1)
		text = bytes.Replace(text, []byte(`"ask-every-ms"`), []byte(`"drain-grace-ms": 300.0, "ask-every-ms"`), 1)
		c, err := ParseConfig(text, Overrides{Listen: "127.0.0.1:1", Discovery: "127.0.0.1:2"})
		if err != nil {
			t.Fatal(err)
		}
		if p := c.Core.Policy; !p.PollEndpointList || p.PollInterval != want {
			t.Errorf("%s: asks %v, within %v; wanted %v", mode, p.PollEndpointList, p.PollInterval, want)
		}
	}
}

// Terminals may fill all descriptors but the reserve; the call to discovery is one of those that the reserve is
// for. It was refused with the routed tasks, and a balancer in a crowd was deaf for as long.
func TestWatchIsDialedInACrowd(t *testing.T) {
	b := &Balancer{queue: eventQueue{wake: make(chan struct{}, 1)}}
	b.descriptorLimit.Store(100)
	b.sockets.Store(90)
	for role, dialed := range map[connectionRole]bool{watchRole: true, serverRole: false, probeRole: false} {
		conn := &connection{balancer: b, role: role}
		b.dial(conn, "127.0.0.1:1", time.Second)
		if (conn.cancel != nil) != dialed {
			t.Errorf("role %d: dialed %v", role, conn.cancel != nil)
		}
	}
}
