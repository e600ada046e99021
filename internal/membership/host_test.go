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

func host(t *testing.T, name, addr, cluster string, join ...string) *membership.Host {
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

func eventually(t *testing.T, what string, is func() bool) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if is() {
			return
		}
	}
	t.Fatal(what)
}

func sees(h *membership.Host, name string, state membership.State) bool {
	for _, m := range h.View().Members {
		if m.Name == name {
			return m.State == state
		}
	}
	return false
}

// flood sends messages of a member of cluster c and junk to 127.8.20.1:7000, as fast as it goes.
func flood(stop <-chan struct{}) {
	from := &net.UDPAddr{IP: net.IPv4(127, 8, 20, 9)}
	conn, err := net.DialUDP("udp4", from, &net.UDPAddr{IP: net.IPv4(127, 8, 20, 1), Port: 7000})
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	g := membership.Message{
		FormatVersion: membership.FormatVersion,
		Cluster:       "c",
		Kind:          membership.Gossip,
		From:          membership.Record{Name: "noisy", Addr: "127.8.20.9:7000", Generation: 1},
	}
	junk := [][]byte{{1}, make([]byte, 65507), []byte("GET / HTTP/1.1\r\n\r\n"), {}}
	for n := uint64(1); ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		g.Signals = []membership.SignalRecord{{
			Owner: "noisy", Generation: 1, Key: string(rune('a' + n%26)), Version: n, LifetimeMS: 60000,
			Value: make([]byte, 200),
		}}
		if body, err := membership.Encode(&g); err == nil {
			_, _ = conn.Write(body)
		}
		_, _ = conn.Write(junk[n%4])
	}
}

// Two members with wrong entries in their join lists beside the right one, one of another cluster, one who floods and
// sends junk: the two find each other, hear each other's signals, and are not told dead while it goes on.
func TestHostsAmongStrangers(t *testing.T) {
	a := host(t, "a", "127.8.20.1:7000", "c", "127.8.20.1:7000", "127.8.20.2:7000", "127.8.20.99:7000")
	b := host(t, "b", "127.8.20.2:7000", "c", "127.8.20.1:7000", "127.8.20.3:7000")
	other := host(t, "x", "127.8.20.3:7000", "another", "127.8.20.1:7000", "127.8.20.2:7000")
	stop := make(chan struct{})
	defer close(stop)
	go flood(stop)
	eventually(
		t,
		"they don't find each other",
		func() bool { return sees(a, "b", membership.Alive) && sees(b, "a", membership.Alive) },
	)
	eventually(t, "no signal", func() bool {
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
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if sees(a, "b", membership.Gone) || sees(b, "a", membership.Gone) || sees(a, "x", membership.Alive) {
			t.Fatalf("a holds %+v, b holds %+v", a.View().Members, b.View().Members)
		}
	}
	if a.Dropped.Flooding.Load() == 0 || a.Counts().Malformed == 0 {
		t.Errorf("flooding %d, malformed %d: the noise was not there", a.Dropped.Flooding.Load(), a.Counts().Malformed)
	}
	for _, m := range a.View().Members {
		bytes := 0
		for _, s := range m.Signals {
			bytes += len(s.Key) + len(s.Value)
		}
		if bytes > 1024 {
			t.Errorf("%d bytes are held of %s", bytes, m.Name)
		}
	}
	if c := other.Counts(); c.OtherCluster+a.Counts().OtherCluster == 0 || len(other.View().Members) > 0 {
		t.Errorf("another cluster: %+v, %d members", c, len(other.View().Members))
	}
	b.Close()
	eventually(t, "a death is not known", func() bool { return sees(a, "b", membership.Gone) })
}

// What can't work is said before anything is opened.
func TestConfigThatCannotWork(t *testing.T) {
	good := membership.Config{
		Cluster:     "c",
		Name:        "a",
		Addr:        "127.8.20.7:7000",
		PeerTimeout: time.Second,
		MaxMembers:  5,
		SignalBytes: 100,
		Generation:  1,
	}
	for field, change := range map[string]func(*membership.Config){
		"peers.cluster":      func(c *membership.Config) { c.Cluster = "" },
		"name":               func(c *membership.Config) { c.Name = strings.Repeat("n", 65) },
		"peers.listen":       func(c *membership.Config) { c.Addr = "0.0.0.0:7000" },
		"peers.join[1]":      func(c *membership.Config) { c.Join = []string{"127.0.0.1:1", "host:x"} },
		"peers.reach.b":      func(c *membership.Config) { c.Routes = map[string]string{"b": "::1"} },
		"peers.silent_after": func(c *membership.Config) { c.PeerTimeout = time.Millisecond },
		"peers.max_members":  func(c *membership.Config) { c.MaxMembers = 1 },
		"peers.signal_bytes": func(c *membership.Config) { c.SignalBytes = 1 },
	} {
		c := good
		change(&c)
		if _, err := membership.New(c); err == nil || !strings.Contains(err.Error(), field) ||
			strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", field, err)
		}
	}
	if _, err := membership.New(good); err != nil {
		t.Error(err)
	}
}

// The process that follows in an upgrade has the same address: it is there once the one before has left, by its later
// start, and until then its view is old.
func TestTheNextProcessTakesTheAddress(t *testing.T) {
	a := host(t, "a", "127.8.21.1:7000", "c")
	before := host(t, "b", "127.8.21.2:7000", "c", "127.8.21.1:7000")
	eventually(t, "b is not there", func() bool { return sees(a, "b", membership.Alive) })
	next := host(t, "b", "127.8.21.2:7000", "c", "127.8.21.1:7000")
	next.Set(membership.ClockKey, []byte("1"), time.Minute)
	time.Sleep(200 * time.Millisecond)
	if !next.View().Stale || next.Counts().In > 0 {
		t.Errorf("it takes part beside the one before: %+v", next.View())
	}
	before.Close()
	eventually(t, "the next one is not there", func() bool {
		v := next.View()
		for _, m := range a.View().Members {
			if m.Name == "b" {
				return m.State == membership.Alive && m.Generation == v.Self.Generation && !v.Stale && !v.Superseded
			}
		}
		return false
	})
}

// Who leaves says so, and who stays after all is alive again: the last word counts, however soon it comes.
func TestLeavingAndStaying(t *testing.T) {
	a := host(t, "a", "127.8.22.1:7000", "c")
	b := host(t, "b", "127.8.22.2:7000", "c", "127.8.22.1:7000")
	eventually(t, "b is not there", func() bool { return sees(a, "b", membership.Alive) })
	b.Leave(true)
	eventually(t, "b does not leave", func() bool { return sees(a, "b", membership.Leaving) })
	for range 100 {
		b.Leave(true)
		b.Leave(false)
	}
	eventually(t, "b does not stay", func() bool { return sees(a, "b", membership.Alive) })
}
