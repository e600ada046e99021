package membership_test

import (
	"io"
	"log/slog"
	"net"
	"strings"
	"testing"
	"time"

	"oatloft/internal/membership"
)

func startHost(t *testing.T, name, addr, cluster string, join ...string) *membership.Host {
	t.Helper()
	h, err := membership.Start(
		membership.Config{Cluster: cluster, Name: name, Addr: addr, Join: join, PeerTimeout: time.Second, MaxMembers: 50,
			SignalBytes: 1024, Generation: uint64(time.Now().UnixMilli()), Seed: 1},
		"",
		true,
		slog.New(slog.NewTextHandler(io.Discard, nil)),
	)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(h.Close)
	return h
}

func eventually(t *testing.T, failure string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return
		}
	}
	t.Fatal(failure)
}

func hasState(h *membership.Host, name string, state membership.State) bool {
	for _, m := range h.View().Members {
		if m.Name == name {
			return m.State == state
		}
	}
	return false
}

// flood sends valid messages of a member of cluster c and invalid datagrams to 127.8.20.1:7000 as fast as possible.
func flood(stop <-chan struct{}) {
	from := &net.UDPAddr{IP: net.IPv4(127, 8, 20, 9)}
	conn, err := net.DialUDP("udp4", from, &net.UDPAddr{IP: net.IPv4(127, 8, 20, 1), Port: 7000})
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	message := membership.Message{
		FormatVersion: membership.FormatVersion,
		Cluster:       "c",
		Kind:          membership.Gossip,
		From:          membership.Record{Name: "noisy", Addr: "127.8.20.9:7000", Generation: 1},
	}
	invalid := [][]byte{{1}, make([]byte, 65507), []byte("GET / HTTP/1.1\r\n\r\n"), {}}
	for n := uint64(1); ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		message.Signals = []membership.SignalRecord{{
			Owner: "noisy", Generation: 1, Key: string(rune('a' + n%26)), Version: n, LifetimeMS: 60000,
			Value: make([]byte, 200),
		}}
		if body, err := membership.Encode(&message); err == nil {
			_, _ = conn.Write(body)
		}
		_, _ = conn.Write(invalid[n%4])
	}
}

// Two members whose join lists also contain wrong addresses must find each other, receive each other's signals and not
// declare each other gone, while a member of another cluster sends to them and another sender floods one of them with
// valid and invalid datagrams.
func TestHostsWithForeignAndFloodingSenders(t *testing.T) {
	a := startHost(t, "a", "127.8.20.1:7000", "c", "127.8.20.1:7000", "127.8.20.2:7000", "127.8.20.99:7000")
	b := startHost(t, "b", "127.8.20.2:7000", "c", "127.8.20.1:7000", "127.8.20.3:7000")
	foreign := startHost(t, "x", "127.8.20.3:7000", "another", "127.8.20.1:7000", "127.8.20.2:7000")
	stop := make(chan struct{})
	defer close(stop)
	go flood(stop)
	eventually(
		t,
		"members a and b have not found each other",
		func() bool { return hasState(a, "b", membership.Alive) && hasState(b, "a", membership.Alive) },
	)
	eventually(t, "b's load signal has not reached a", func() bool {
		b.Set(membership.LoadKey, []byte("7 0"), time.Minute)
		for _, m := range a.View().Members {
			for _, s := range m.Signals {
				if m.Name == "b" && s.Key == membership.LoadKey && string(s.Value) == "7 0" {
					return true
				}
			}
		}
		return false
	})
	for deadline := time.Now().Add(3 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		if hasState(a, "b", membership.Gone) || hasState(b, "a", membership.Gone) || hasState(a, "x", membership.Alive) {
			t.Fatalf("wrong state of a member: a has %+v, b has %+v", a.View().Members, b.View().Members)
		}
	}
	if a.Dropped.Flooding.Load() == 0 || a.Counts().Malformed == 0 {
		t.Errorf("%d datagrams over the rate limit, %d malformed; want some of both",
			a.Dropped.Flooding.Load(), a.Counts().Malformed)
	}
	for _, m := range a.View().Members {
		bytes := 0
		for _, s := range m.Signals {
			bytes += len(s.Key) + len(s.Value)
		}
		if bytes > 1024 {
			t.Errorf("%d bytes of signals stored for %s, over the limit of 1024", bytes, m.Name)
		}
	}
	if c := foreign.Counts(); c.OtherCluster+a.Counts().OtherCluster == 0 || len(foreign.View().Members) > 0 {
		t.Errorf("member of another cluster: counters %+v, %d members", c, len(foreign.View().Members))
	}
	b.Close()
	eventually(t, "a has not declared b gone after it stopped", func() bool { return hasState(a, "b", membership.Gone) })
}

// An invalid setting is reported in one line that names the setting.
func TestInvalidConfig(t *testing.T) {
	valid := membership.Config{
		Cluster:     "c",
		Name:        "a",
		Addr:        "127.8.20.7:7000",
		PeerTimeout: time.Second,
		MaxMembers:  5,
		SignalBytes: 100,
		Generation:  1,
	}
	for field, invalidate := range map[string]func(*membership.Config){
		"peers.cluster":      func(c *membership.Config) { c.Cluster = "" },
		"name":               func(c *membership.Config) { c.Name = strings.Repeat("n", 65) },
		"peers.listen":       func(c *membership.Config) { c.Addr = "0.0.0.0:7000" },
		"peers.join[1]":      func(c *membership.Config) { c.Join = []string{"127.0.0.1:1", "host:x"} },
		"peers.reach.b":      func(c *membership.Config) { c.Routes = map[string]string{"b": "::1"} },
		"peers.silent_after": func(c *membership.Config) { c.PeerTimeout = time.Millisecond },
		"peers.max_members":  func(c *membership.Config) { c.MaxMembers = 1 },
		"peers.signal_bytes": func(c *membership.Config) { c.SignalBytes = 1 },
	} {
		c := valid
		invalidate(&c)
		if _, err := membership.New(c); err == nil || !strings.Contains(err.Error(), field) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", field, err)
		}
	}
	if _, err := membership.New(valid); err != nil {
		t.Error(err)
	}
}

// During an upgrade the new process has the address of its predecessor. Its view must stay stale until the predecessor
// has released the address; then it takes the name over by its later generation.
func TestSuccessorTakesOverAddress(t *testing.T) {
	a := startHost(t, "a", "127.8.21.1:7000", "c")
	predecessor := startHost(t, "b", "127.8.21.2:7000", "c", "127.8.21.1:7000")
	eventually(t, "a does not see b alive", func() bool { return hasState(a, "b", membership.Alive) })
	successor := startHost(t, "b", "127.8.21.2:7000", "c", "127.8.21.1:7000")
	successor.Set(membership.ExplorationSlotsKey, []byte("1"), time.Minute)
	time.Sleep(200 * time.Millisecond)
	if !successor.View().Stale || successor.Counts().In > 0 {
		t.Errorf("the successor takes part before its predecessor has stopped: %+v", successor.View())
	}
	predecessor.Close()
	eventually(t, "a does not see the successor alive", func() bool {
		v := successor.View()
		for _, m := range a.View().Members {
			if m.Name == "b" {
				return m.State == membership.Alive && m.Generation == v.Self.Generation && !v.Stale && !v.Superseded
			}
		}
		return false
	})
}

// A member that leaves is seen as leaving, and one that cancels is alive again. The last of many calls counts.
func TestLeaveAndCancelLeave(t *testing.T) {
	a := startHost(t, "a", "127.8.22.1:7000", "c")
	b := startHost(t, "b", "127.8.22.2:7000", "c", "127.8.22.1:7000")
	eventually(t, "a does not see b alive", func() bool { return hasState(a, "b", membership.Alive) })
	b.Leave(true)
	eventually(t, "a does not see b leaving", func() bool { return hasState(a, "b", membership.Leaving) })
	for range 100 {
		b.Leave(true)
		b.Leave(false)
	}
	eventually(t, "a sees b leaving after it cancelled", func() bool { return hasState(a, "b", membership.Alive) })
}
