package proxy

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"syscall"
	"testing"
	"time"

	"oatloft/policy"
)

// movesPlay starts a balancer that migrates its clients when it shuts down.
func movesPlay(t *testing.T) *play {
	t.Helper()
	return patientPlay(t, "", func(cfg *Config) { cfg.Core.PassThrough = false })
}

// movesInsideALine establishes a client whose server has sent the beginning of a line, and starts the client's
// migration by a shutdown. The migration waits for the rest of the line, with a deadline that the test does not reach.
// The unanswered request of client b keeps the balancer from exiting.
func movesInsideALine(t *testing.T, begun string) (*play, *client) {
	t.Helper()
	p := movesPlay(t)
	playSteps(t, p, "a > OPEN 1 k c=chat,d=20000", "task1 < OPEN 1 *", "task1 > UP 1", "a < UP 1",
		"b > OPEN 2 k c=chat,d=20000", "task2 < OPEN 2 *", fmt.Sprintf("task1 >> %q", begun))
	movesRead(t, p, "a", begun)
	p.leave <- struct{}{}
	var moved *client
	idleEventually(t, p.server, "the migration", func() bool {
		for x := range p.server.migrating {
			moved = x
			x.migration.deadline = time.Now().Add(time.Hour)
		}
		return moved != nil
	})
	return p, moved
}

// movesRead reads exactly the wanted bytes from a peer.
func movesRead(t *testing.T, p *play, name, want string) {
	t.Helper()
	who, err := p.peer(name)
	if err != nil {
		t.Fatal(err)
	}
	_ = who.conn.SetReadDeadline(time.Now().Add(idleLimit))
	got := make([]byte, len(want))
	if n, err := io.ReadFull(who.in, got); err != nil || string(got) != want {
		t.Fatalf("%s got %q, %v, want %q", name, got[:n], err, want)
	}
}

// movesEnd reads a peer's remaining bytes up to the end of its connection, and checks them and how it ended.
func movesEnd(t *testing.T, p *play, name, want string, reset bool) {
	t.Helper()
	who, err := p.peer(name)
	if err != nil {
		t.Fatal(err)
	}
	_ = who.conn.SetReadDeadline(time.Now().Add(idleLimit))
	got, err := io.ReadAll(who.in)
	if string(got) != want || reset != errors.Is(err, syscall.ECONNRESET) || !reset && err != nil {
		t.Fatalf("%s got %q, %v, want %q, reset %v", name, got, err, want, reset)
	}
}

// MOVE follows the line that had begun, and nothing of the next line is forwarded, in whatever pieces the rest of the
// line arrives.
func TestMoveComesBehindTheLine(t *testing.T) {
	for _, x := range []struct {
		rest []string
		want string
	}{
		{[]string{" a line\r\n"}, " a line\r\nMOVE\r\n"},
		{[]string{" a line\r\nthe next\r\n"}, " a line\r\nMOVE\r\n"},
		{[]string{" a", " line", "\r", "\nthe"}, " a line\r\nMOVE\r\n"},
	} {
		p, _ := movesInsideALine(t, "half")
		for _, part := range x.rest {
			playSteps(t, p, fmt.Sprintf("task1 >> %q", part))
			if i := strings.IndexByte(part, '\n'); i < 0 {
				movesRead(t, p, "a", part)
				x.want = strings.TrimPrefix(x.want, part)
			}
		}
		movesEnd(t, p, "a", x.want, false)
	}
}

// If the line in progress is the server's own BYE or MOVE, no MOVE of the balancer follows it.
func TestNoMoveFollowsTheServersLastWord(t *testing.T) {
	for begun, rest := range map[string]string{
		"BY":             "E\r\n",
		"BYE inflight=1": "0,queue=2\r\n",
		"MOV":            "E\r\n",
		"BYE\r":          "\n",
	} {
		p, _ := movesInsideALine(t, begun)
		playSteps(t, p, fmt.Sprintf("task1 >> %q", rest))
		movesEnd(t, p, "a", rest, false)
	}
}

// If a server closes or resets in the middle of its line while a migration waits, its client is immediately closed in
// the same way, since the rest of the line will never arrive.
func TestAServerThatEndsInsideTheLineEndsItsClient(t *testing.T) {
	for _, how := range []string{"FIN", "RST"} {
		p, x := movesInsideALine(t, "half")
		playSteps(t, p, "task1 "+how)
		movesEnd(t, p, "a", "", how == "RST")
		idleEventually(t, p.server, "the migration's end", func() bool {
			return len(p.server.migrating) == 0 && x.server == nil
		})
	}
}

// If a client resets before its MOVE, its server's connection is reset. A client that only closed its sending side gets
// the rest of the line and MOVE.
func TestAClientThatEndsBeforeItsMove(t *testing.T) {
	p, _ := movesInsideALine(t, "half")
	playSteps(t, p, "a RST")
	movesEnd(t, p, "task1", "", true)
	idleEventually(t, p.server, "the migration's end", func() bool { return len(p.server.migrating) == 0 })

	p, _ = movesInsideALine(t, "half")
	playSteps(t, p, "a FIN")
	movesEnd(t, p, "task1", "", false)
	playSteps(t, p, `task1 >> " a line\r\n"`)
	movesEnd(t, p, "a", " a line\r\nMOVE\r\n", false)
}

// A server that sends an endless line while a migration waits cannot fill the memory, and the client is reset at the
// migration's deadline.
func TestALineWithoutEndIsBoundedWhileItsClientMoves(t *testing.T) {
	p, x := movesInsideALine(t, "half")
	go func() {
		who, part := p.peers["task1"].conn, []byte(strings.Repeat("x", 32<<10))
		for {
			if _, err := who.Write(part); err != nil {
				return
			}
		}
	}()
	idleEventually(t, p.server, "reading to pause", func() bool {
		if x.migration.passedBytes > 1<<20 {
			t.Error(x.migration.passedBytes, "bytes of one line forwarded")
			return true
		}
		x.server.mu.Lock()
		defer x.server.mu.Unlock()
		return x.server.paused
	})
	onServerLoop(t, p.server, func() { x.migration.deadline = time.Now().Add(-time.Second) })
	idleEventually(t, p.server, "the client to be reset", func() bool {
		return x.finished && len(p.server.migrating) == 0
	})
}

// A migration for a shutdown coincides with UP. In either order the client gets UP and then MOVE, also if half a line
// arrived with UP.
func TestMoveCrossesUp(t *testing.T) {
	for _, behind := range []string{"", "a line\r\n", "half"} {
		p := movesPlay(t)
		playSteps(t, p, "a > OPEN 1 k c=chat,d=20000", "task1 < OPEN 1 *")
		p.leave <- struct{}{}
		idleEventually(t, p.server, "the shutdown", func() bool { return p.server.core.ShuttingDown() })
		playSteps(t, p, fmt.Sprintf("task1 >> %q", "UP 1\r\n"+behind))
		want := "UP 1\r\n" + behind + "MOVE\r\n"
		if behind == "half" {
			movesRead(t, p, "a", "UP 1\r\nhalf")
			playSteps(t, p, `task1 >> " of it\r\nmore"`)
			want = " of it\r\nMOVE\r\n"
		}
		movesEnd(t, p, "a", want, false)
	}
	p := movesPlay(t)
	playSteps(t, p, "a > OPEN 1 k c=chat,d=20000", "task1 < OPEN 1 *", "task1 > UP 1", "a < UP 1")
	p.leave <- struct{}{}
	movesEnd(t, p, "a", "MOVE\r\n", false)
	movesEnd(t, p, "task1", "", false)
}

// A client reconnects with its key before its old connection has ended. The later end of the old connection must not
// affect the new one.
func TestAClientIsBackBeforeItsOldConnectionEnded(t *testing.T) {
	for _, end := range []string{"a RST", "a FIN", "task1 RST", "task1 FIN"} {
		p := patientPlay(t, "", nil)
		playSteps(t, p, "a > OPEN 1 k c=chat,d=20000", "task1 < OPEN 1 *", "task1 > UP 1", "a < UP 1",
			"b > OPEN 2 k c=chat,d=20000,again=1", "task2 < OPEN 2 *", end)
		idleEventually(t, p.server, "the old connection's end", func() bool {
			return p.server.core.Counters.ClosedByClient+p.server.core.Counters.ClosedByServer == 1
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
func TestADrainAtTheMomentOfUp(t *testing.T) {
	const clients = 12
	for _, drainFirst := range []bool{true, false} {
		p := patientPlay(t, "", nil)
		for i := range clients {
			playSteps(t, p, fmt.Sprintf("a%d > OPEN %d k%d c=chat,d=20000", i, i, i), fmt.Sprintf("task%d < OPEN %d *", i, i))
		}
		drain := func() {
			newPatientDiscovery(p, p.vars.Replace(`{"seq":9,"whole":true,"hosts":[`+
				`{"host":"r1","dial":"$r1","site":"a","class":"m","block":0,"health":"draining","share":1.0,"born_ms":0},`+
				`{"host":"r2","dial":"$r2","site":"a","class":"m","block":0,"health":"draining","share":1.0,"born_ms":0}]}`))
			idleEventually(t, p.server, "the drain", func() bool {
				list := p.server.core.ListedServers()
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
		idleEventually(t, p.server, "a migration", func() bool { return p.server.core.Counters.Migrated > 0 })
	}
}

// A server's reset is passed on as a reset to a client that has closed its sending side.
func TestAResetReachesAHalfClosedClient(t *testing.T) {
	p := patientPlay(t, "", nil)
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
	movesEnd(t, p, "a", "", true)
}

// A half-closed client that reads nothing occupies its descriptor and goroutine for a bounded time only, also after its
// server has ended.
func TestAHalfClosedClientThatNeverReadsIsLetGo(t *testing.T) {
	p := patientPlay(t, "", nil)
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
	onServerLoop(t, p.server, func() {
		for _, x = range p.server.clients {
		}
	})
	go func() {
		who, part := p.peers["task1"].conn, []byte(strings.Repeat("x", 998)+"\r\n")
		for {
			if _, err := who.Write(part); err != nil {
				return
			}
		}
	}()
	written, polls := int64(0), 0
	// The system's buffers are full as well once there is no progress in 50 polls.
	idleEventually(t, p.server, "full buffers to the client", func() bool {
		if w := x.conn.written.Load(); !x.backpressure[0] || w != written {
			written, polls = w, 0
		}
		polls++
		return polls > 50
	})
	playSteps(t, p, "task1 RST")
	idleEventually(t, p.server, "the descriptor free again", func() bool { return x.conn.isDescriptorFreed() })
}

// A client's reset arrives together with its FIN and its request, while its socket is handed over to a tail writer.
// The request may be forwarded or not, but no client, request or descriptor may be leaked.
func TestAResetInTheInstantOfTheHandOver(t *testing.T) {
	const clients = 20
	p := patientPlay(t, "", nil)
	p.limit = idleLimit
	go func() { // each attempt is served until its client ends
		for who := range p.tasks {
			go func() {
				_, _ = io.WriteString(who.conn, "UP 1\r\n")
				_, _ = io.Copy(io.Discard, who.in)
				_ = who.conn.Close()
			}()
		}
	}()
	for i := range clients {
		c, x := idleClient(t, p)
		x.conn.mu.Lock() // blocks the poller until everything has arrived
		_, err := fmt.Fprintf(c, "OPEN %d k c=chat,d=20000\r\n", i)
		_ = c.CloseWrite()
		_ = c.SetLinger(0)
		_ = c.Close()
		x.conn.mu.Unlock()
		if err != nil {
			t.Fatal(err)
		}
		idleEventually(t, p.server, "the client's end", func() bool { return x.finished })
	}
	idleEventually(t, p.server, "everything to be released", func() bool {
		b := p.server // the watch, its dial and the servers' probes use some descriptors
		return len(b.clients) == 0 && b.core.OpenRequests() == 0 && len(b.finishing) == 0 && b.sockets.Load() < clients/2
	})
}
