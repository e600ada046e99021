// Command commands plays bad clients that send commands by hundreds while usual clients ask for connections.
package main

import (
	"io"
	"net"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"oatloft/internal/fake"
	"oatloft/review/rig"
)

const (
	servers  = 4
	sockets  = 1024
	bad      = 300 // clients
	commands = 300 // sent at once
	pause    = 75 * time.Millisecond
	length   = 20 * time.Second
	slack    = 500 * time.Millisecond // a later answer is lost
	wait     = 3 * time.Second        // beyond a request's time, for its answer
)

// results are the answers of usual clients.
type results struct {
	mu     sync.Mutex
	counts map[string]int
	lost   int
}

func (f *results) add(r *rig.Rig, id string, a fake.Answer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts[a.What]++
	switch {
	case a.What == "none" && a.Late == 0:
		r.Break("%s: no answer within %v after its time", id, wait)
		f.lost++
	case a.Late > slack:
		r.Break("%s: %q %v after its time", id, a.Line, a.Late.Round(time.Millisecond))
		f.lost++
	case a.What == "end" || a.What == "reset":
		r.Break("%s: closed without an answer", id)
		f.lost++
	}
}

func main() {
	r := rig.New(servers)
	listen := r.FreeAddress()
	config := filepath.Join(r.Dir, "config.json")
	r.Sockets = sockets
	r.WriteConfig(config, "n1", listen, r.Discovery.Addr, rig.Settings("pass"))
	r.Start("n1", map[string]string{"PROXY_NAME": "n1", "PROXY_LISTEN": listen, "PROXY_DISCOVERY": r.Discovery.Addr,
		"PROXY_CONFIG": config, "TMPDIR": r.Dir}, nil)
	r.Until("the balancer answers PONG", 10*time.Second, func() bool { return fake.Ping(listen) == "PONG" })
	stop := make(chan struct{})
	if r.Trouble {
		for range bad {
			go flood(listen, stop)
		}
		time.Sleep(time.Second)
	}
	f := results{counts: map[string]int{}}
	var clients sync.WaitGroup
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(pause) {
		clients.Go(func() {
			c, err := r.Connect("", listen)
			if err != nil {
				r.Note("connect: %v", err)
				return
			}
			c.After = wait
			f.add(r, c.ID, c.Open(rig.RandomRequest()))
			time.Sleep(time.Second)
			c.Close()
		})
	}
	clients.Wait()
	close(stop)
	f.mu.Lock()
	r.Note("answers %v, lost %d", f.counts, f.lost)
	f.mu.Unlock()
	r.Finish()
}

// flood is a bad client: it sends commands at full speed and reads what is sent to it, and does the same again as soon
// as it is turned away.
func flood(addr string, stop <-chan struct{}) {
	text := strings.Repeat("PING\r\n", commands)
	for {
		select {
		case <-stop:
			return
		default:
		}
		c, err := net.Dial("tcp", addr)
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		go func() {
			for {
				if _, err := io.WriteString(c, text); err != nil {
					return
				}
			}
		}()
		_, _ = io.Copy(io.Discard, c)
		_ = c.Close()
	}
}
