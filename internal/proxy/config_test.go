package proxy

import (
	"bytes"
	"os"
	"testing"
	"time"
)

// Guards against a balancer with the setting pushed that never polls: a connection to discovery receives no list that
// was not requested, so the balancer kept sending requests to draining servers for a whole day. A change counts from
// the moment discovery's agent has it, so the balancer polls as often as a change may be late.
func TestPushedListsArePolled(t *testing.T) {
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
			t.Errorf("%s: polls %v, every %v; want %v", mode, p.PollEndpointList, p.PollInterval, want)
		}
	}
}

// Clients may use all descriptors but the reserve, which calls to discovery may use. Guards against refusing that
// call along with attempts: an overloaded balancer then received no updates while the overload lasted.
func TestWatchIsDialedUnderOverload(t *testing.T) {
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
