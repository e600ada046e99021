package proxy

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"oatloft/internal/core"
	"oatloft/policy"
)

// startMigrating starts a balancer that migrates its clients when it shuts down.
func startMigrating(t *testing.T) *exchange {
	t.Helper()
	return startWithLongTimeouts(t, "", func(cfg *Config) { cfg.Core.PassThrough = false })
}

// startMigrationInsideLine establishes a client whose server has sent the beginning of a line, and starts the client's
// migration by a shutdown. The migration waits for the rest of the line, with a deadline that the test does not reach.
// The unanswered request of client b keeps the balancer from exiting.
func startMigrationInsideLine(t *testing.T, prefix string) (*exchange, *client) {
	t.Helper()
	p := startMigrating(t)
	playSteps(t, p, "a > OPEN 1 k c=chat,d=20000", "task1 < OPEN 1 *", "task1 > UP 1", "a < UP 1",
		"b > OPEN 2 k c=chat,d=20000", "task2 < OPEN 2 *", fmt.Sprintf("task1 >> %q", prefix))
	readExactly(t, p, "a", prefix)
	p.leave <- struct{}{}
	return p, awaitPendingMigration(t, p)
}

// awaitPendingMigration waits until the migration of one client is pending, and returns the client. It stops the
// reducer's clock, so that no deadline passes on a slow machine.
func awaitPendingMigration(t *testing.T, p *exchange) (migrating *client) {
	t.Helper()
	eventually(t, p.balancer, "the migration", func() bool {
		for migrating = range p.balancer.migrating {
			p.stopReducerClock()
		}
		return migrating != nil
	})
	return migrating
}

// stopReducerClock stops the reducer's clock, by setting its start so far ahead that measured times are earlier than
// the reducer's own, which it ignores. It must run on the loop.
func (p *exchange) stopReducerClock() {
	p.stoppedAt = p.balancer.now()
	p.balancer.cfg.ClockOrigin = time.Now().Add(24 * time.Hour)
}

// advanceStoppedClock advances the reducer's clock tick by tick and stops it again.
func (p *exchange) advanceStoppedClock(t *testing.T, d time.Duration) {
	t.Helper()
	runOnLoop(t, p.balancer, func() {
		for end := p.stoppedAt + d; p.stoppedAt < end; p.stoppedAt += core.TickInterval {
			p.balancer.cfg.ClockOrigin = time.Now().Add(-p.stoppedAt)
			p.balancer.step(core.Tick{})
		}
		p.balancer.cfg.ClockOrigin = time.Now().Add(24 * time.Hour)
	})
}

// readExactly reads exactly the wanted bytes from a peer.
func readExactly(t *testing.T, p *exchange, name, want string) {
	t.Helper()
	remote, err := p.peerNamed(name)
	if err != nil {
		t.Fatal(err)
	}
	_ = remote.conn.SetReadDeadline(time.Now().Add(eventTimeout))
	got := make([]byte, len(want))
	if n, err := io.ReadFull(remote.in, got); err != nil || string(got) != want {
		t.Fatalf("%s got %q, %v, want %q", name, got[:n], err, want)
	}
}

// readToEnd reads a peer's remaining bytes up to the end of its connection, and checks them and how it ended.
func readToEnd(t *testing.T, p *exchange, name, want string, reset bool) {
	t.Helper()
	remote, err := p.peerNamed(name)
	if err != nil {
		t.Fatal(err)
	}
	_ = remote.conn.SetReadDeadline(time.Now().Add(eventTimeout))
	got, err := io.ReadAll(remote.in)
	if string(got) != want || reset != errors.Is(err, syscall.ECONNRESET) || !reset && err != nil {
		t.Fatalf("%s got %q, %v, want %q, reset %v", name, got, err, want, reset)
	}
}

// MOVE follows the line that had begun, and nothing of the next line is forwarded, in whatever pieces the rest of the
// line arrives.
func TestMoveFollowsTheLine(t *testing.T) {
	for _, x := range []struct {
		rest []string
		want string
	}{
		{[]string{" a line\r\n"}, " a line\r\nMOVE\r\n"},
		{[]string{" a line\r\nthe next\r\n"}, " a line\r\nMOVE\r\n"},
		{[]string{" a", " line", "\r", "\nthe"}, " a line\r\nMOVE\r\n"},
	} {
		p, _ := startMigrationInsideLine(t, "half")
		for _, part := range x.rest {
			playSteps(t, p, fmt.Sprintf("task1 >> %q", part))
			if i := strings.IndexByte(part, '\n'); i < 0 {
				readExactly(t, p, "a", part)
				x.want = strings.TrimPrefix(x.want, part)
			}
		}
		readToEnd(t, p, "a", x.want, false)
	}
}

// If the line in progress is the server's own BYE or MOVE, no MOVE of the balancer follows it.
func TestNoMoveFollowsServersFinalLine(t *testing.T) {
	for prefix, rest := range map[string]string{
		"BY":             "E\r\n",
		"BYE inflight=1": "0,queue=2\r\n",
		"MOV":            "E\r\n",
		"BYE\r":          "\n",
	} {
		p, _ := startMigrationInsideLine(t, prefix)
		playSteps(t, p, fmt.Sprintf("task1 >> %q", rest))
		readToEnd(t, p, "a", rest, false)
	}
}

// If a server closes or resets in the middle of its line while a migration waits, its client is immediately closed in
// the same way, since the rest of the line will never arrive.
func TestServerEndInsideLineEndsClient(t *testing.T) {
	for _, ending := range []string{"FIN", "RST"} {
		p, x := startMigrationInsideLine(t, "half")
		playSteps(t, p, "task1 "+ending)
		readToEnd(t, p, "a", "", ending == "RST")
		eventually(t, p.balancer, "the migration's end", func() bool {
			return len(p.balancer.migrating) == 0 && x.server == nil
		})
	}
}

// If a client resets before its MOVE, its server's connection is reset. A client that only closed its sending side gets
// the rest of the line and MOVE.
func TestClientEndsBeforeMove(t *testing.T) {
	p, _ := startMigrationInsideLine(t, "half")
	playSteps(t, p, "a RST")
	readToEnd(t, p, "task1", "", true)
	eventually(t, p.balancer, "the migration's end", func() bool { return len(p.balancer.migrating) == 0 })

	p, _ = startMigrationInsideLine(t, "half")
	playSteps(t, p, "a FIN")
	readToEnd(t, p, "task1", "", false)
	playSteps(t, p, `task1 >> " a line\r\n"`)
	readToEnd(t, p, "a", " a line\r\nMOVE\r\n", false)
}

// A server that sends an endless line while a migration waits cannot fill the memory, and the client is reset at the
// migration's deadline.
func TestEndlessLineIsBoundedDuringMigration(t *testing.T) {
	p, x := startMigrationInsideLine(t, "half")
	go func() {
		remote, part := p.peers["task1"].conn, []byte(strings.Repeat("x", 32<<10))
		for {
			if _, err := remote.Write(part); err != nil {
				return
			}
		}
	}()
	eventually(t, p.balancer, "reading to pause", func() bool {
		if x.migration.forwardedBytes > 1<<20 {
			t.Error(x.migration.forwardedBytes, "bytes of one line forwarded")
			return true
		}
		x.server.mu.Lock()
		defer x.server.mu.Unlock()
		return x.server.paused
	})
	runOnLoop(t, p.balancer, func() { p.balancer.testSlack = eventTimeout }) // the loop does not end meanwhile
	p.advanceStoppedClock(t, 2*time.Second+700*time.Millisecond)             // the client timeout and the time until SIGKILL
	eventually(t, p.balancer, "the client to be reset", func() bool {
		return x.finished && len(p.balancer.migrating) == 0
	})
}

// A migration for a shutdown coincides with UP. In either order the client gets UP and then MOVE, also if half a line
// arrived with UP.
func TestMoveCrossesUp(t *testing.T) {
	for _, following := range []string{"", "a line\r\n", "half"} {
		p := startMigrating(t)
		playSteps(t, p, "a > OPEN 1 k c=chat,d=20000", "task1 < OPEN 1 *")
		p.leave <- struct{}{}
		eventually(t, p.balancer, "the shutdown", func() bool { return p.balancer.core.ShuttingDown() })
		playSteps(t, p, fmt.Sprintf("task1 >> %q", "UP 1\r\n"+following))
		want := "UP 1\r\n" + following + "MOVE\r\n"
		if following == "half" {
			readExactly(t, p, "a", "UP 1\r\nhalf")
			playSteps(t, p, `task1 >> " of it\r\nmore"`)
			want = " of it\r\nMOVE\r\n"
		}
		readToEnd(t, p, "a", want, false)
	}
	p := startMigrating(t)
	playSteps(t, p, "a > OPEN 1 k c=chat,d=20000", "task1 < OPEN 1 *", "task1 > UP 1", "a < UP 1")
	p.leave <- struct{}{}
	readToEnd(t, p, "a", "MOVE\r\n", false)
	readToEnd(t, p, "task1", "", false)
}

// A client reconnects with its key before its old connection has ended. The later end of the old connection must not
// affect the new one.
func TestClientReconnectsBeforeOldConnectionEnds(t *testing.T) {
	for _, end := range []string{"a RST", "a FIN", "task1 RST", "task1 FIN"} {
		p := startWithLongTimeouts(t, "", nil)
		playSteps(t, p, "a > OPEN 1 k c=chat,d=20000", "task1 < OPEN 1 *", "task1 > UP 1", "a < UP 1",
			"b > OPEN 2 k c=chat,d=20000,again=1", "task2 < OPEN 2 *", end)
		eventually(t, p.balancer, "the old connection's end", func() bool {
			return p.balancer.core.Counters.ClosedByClient+p.balancer.core.Counters.ClosedByServer == 1
		})
		playSteps(
			t,
			p,
			"task2 > UP 2",
			"b < UP 2",
			"b > to the server",
			"task2 < to the server",
			"task2 > to the client",
			"b < to the client",
		)
	}
}

// Servers begin to drain just before or just after they answer UP. The clients get UP in both cases and are migrated
// later.
func TestDrainCoincidesWithUp(t *testing.T) {
	const clients = 12
	for _, drainFirst := range []bool{true, false} {
		p := startWithLongTimeouts(t, "", nil)
		for i := range clients {
			playSteps(t, p, fmt.Sprintf("a%d > OPEN %d k%d c=chat,d=20000", i, i, i), fmt.Sprintf("task%d < OPEN %d *", i, i))
		}
		drain := func() {
			newDiscoveryServer(p, p.vars.Replace(`{"seq":9,"whole":true,"hosts":[`+
				`{"host":"r1","dial":"$r1","site":"a","class":"m","block":0,"health":"draining","share":1.0,"born_ms":0},`+
				`{"host":"r2","dial":"$r2","site":"a","class":"m","block":0,"health":"draining","share":1.0,"born_ms":0}]}`))
			eventually(t, p.balancer, "the drain", func() bool {
				list := p.balancer.core.ListedServers()
				return len(list) == 2 && list[0].State == policy.Draining && list[1].State == policy.Draining
			})
		}
		up := func() {
			for i := range clients {
				playSteps(t, p, fmt.Sprintf("task%d > UP %d", i, i), fmt.Sprintf("a%d < UP %d", i, i))
			}
		}
		if drainFirst {
			drain()
			up()
		} else {
			up()
			drain()
		}
		eventually(t, p.balancer, "a migration", func() bool { return p.balancer.core.Counters.Migrated > 0 })
	}
}

// A server's reset is passed on as a reset to a client that has closed its sending side.
func TestResetReachesHalfClosedClient(t *testing.T) {
	p := startWithLongTimeouts(t, "", nil)
	playSteps(
		t,
		p,
		"a > OPEN 1 k c=chat,d=20000",
		"task1 < OPEN 1 *",
		"a FIN",
		"task1 > UP 1",
		"a < UP 1",
		"task1 < FIN",
		"task1 RST",
	)
	readToEnd(t, p, "a", "", true)
}

// A half-closed client that reads nothing occupies its descriptor and goroutine for a bounded time only, also after its
// server has ended.
func TestHalfClosedClientThatNeverReadsIsClosed(t *testing.T) {
	p := startWithLongTimeouts(t, "", nil)
	playSteps(
		t,
		p,
		"narrow a 4096",
		"a > OPEN 1 k c=chat,d=20000",
		"task1 < OPEN 1 *",
		"a FIN",
		"task1 > UP 1",
		"a < UP 1",
	)
	var x *client
	runOnLoop(t, p.balancer, func() {
		for _, x = range p.balancer.clients {
		}
	})
	go func() {
		remote, part := p.peers["task1"].conn, []byte(strings.Repeat("x", 998)+"\r\n")
		for {
			if _, err := remote.Write(part); err != nil {
				return
			}
		}
	}()
	written, polls := int64(0), 0
	// The system's buffers are full as well once there is no progress in 50 polls.
	eventually(t, p.balancer, "full buffers to the client", func() bool {
		if w := x.conn.written.Load(); !x.backpressure[0] || w != written {
			written, polls = w, 0
		}
		polls++
		return polls > 50
	})
	playSteps(t, p, "task1 RST")
	eventually(t, p.balancer, "the descriptor free again", func() bool { return x.conn.isDescriptorFreed() })
}

// A client's reset arrives together with its FIN and its request, while its socket is handed over to a tail writer.
// The request may be forwarded or not, but no client, request or descriptor may be leaked.
func TestResetDuringHandOverToTailWriter(t *testing.T) {
	const clients = 20
	p := startWithLongTimeouts(t, "", nil)
	p.stepTimeout = eventTimeout
	go func() { // each attempt is served until its client ends
		for remote := range p.attempts {
			go func() {
				_, _ = io.WriteString(remote.conn, "UP 1\r\n")
				_, _ = io.Copy(io.Discard, remote.in)
				_ = remote.conn.Close()
			}()
		}
	}()
	for i := range clients {
		c, x := connectIdle(t, p)
		x.conn.mu.Lock() // blocks the poller until everything has arrived
		_, err := fmt.Fprintf(c, "OPEN %d k c=chat,d=20000\r\n", i)
		_ = c.CloseWrite()
		_ = c.SetLinger(0)
		_ = c.Close()
		x.conn.mu.Unlock()
		if err != nil {
			t.Fatal(err)
		}
		eventually(t, p.balancer, "the client's end", func() bool { return x.finished })
	}
	eventually(t, p.balancer, "everything to be released", func() bool {
		b := p.balancer // the watch, its dial and the servers' probes use some descriptors
		return len(b.clients) == 0 && b.core.OpenRequests() == 0 && len(b.finishing) == 0 && b.sockets.Load() < clients/2
	})
}
