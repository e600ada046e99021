// Command listed plays maintenance of listed servers in a large fleet, half of which has been replaced.
package main

import (
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"oatloft/internal/fake"
	"oatloft/review/rig"
)

const (
	servers = 3200
	steps   = 10 // in which every second server is replaced
)

func host(name string, i int, health string, born int64) fake.Host {
	return fake.Host{Host: fmt.Sprintf("%s-%d", name, i), Dial: fmt.Sprintf("127.11.%d.%d:9000", i/250, i%250+1),
		Site: "nrb", Class: "c6-fast", Block: i / 4, Health: health, Share: 1, BornMS: born}
}

func main() {
	r := rig.New(0)
	for i := range servers {
		r.Known = append(r.Known, host("s", i, "ready", 0))
	}
	d := r.StartDiscovery(r.Known)
	listen, management := r.FreeAddress(), r.FreeAddress()
	config := filepath.Join(r.Dir, "config.json")
	r.WriteConfig(config, "n1", listen, d.Addr, rig.Settings("pass"))
	r.Start("n1", map[string]string{"PROXY_NAME": "n1", "PROXY_LISTEN": listen, "PROXY_DISCOVERY": d.Addr,
		"PROXY_CONFIG": config, "TMPDIR": r.Dir, "PROXY_MANAGEMENT": management}, nil)
	r.Until("the balancer says yes", 10*time.Second,
		func() bool { return strings.HasPrefix(fake.Call(management, "status"), "+OK") })
	time.Sleep(3 * time.Second)
	if r.Trouble {
		for step := range steps {
			var changes []fake.Host
			for i := step * servers / steps; i < (step+1)*servers/steps; i += 2 {
				changes = append(changes, host("s", i, "gone", 0),
					host("t", i, "ready", time.Now().UnixMilli()))
			}
			d.Change(changes)
			r.Until(fmt.Sprintf("%d servers are replaced", len(changes)/2), 10*time.Second,
				func() bool { return d.Written() > step })
			time.Sleep(500 * time.Millisecond)
		}
		time.Sleep(2 * time.Second)
	}
	counts := map[string]int{}
	for i := 1; i < servers; i += 2 { // listed from the start to the end
		id := fmt.Sprintf("s-%d", i)
		answer := fake.Call(management, "maint-on "+id)
		r.Note("maint-on %s: %s", id, answer)
		word, _, _ := strings.Cut(answer, " ")
		counts[word]++
		if !strings.HasPrefix(answer, "+OK") {
			r.Break("%s is listed, and maint-on was answered %q", id, answer)
		}
	}
	r.Note("answers: %v", counts)
	r.Finish()
}
