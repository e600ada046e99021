// Command grids plays the case of a model run that lands: the servers send a forecast grid on all streams at once. All
// clients read what they are sent; with the disruption they are on poor links, which take little at a time.
package main

import (
	"bytes"
	"fmt"
	"net"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"oatloft/internal/fake"
	"oatloft/review/rig"
)

const (
	servers  = 12
	streams  = 340 // a third of the descriptors
	sockets  = 1024
	memoryMB = 64
	lines    = 100 // of a grid
	lineSize = 4096
	length   = 25 * time.Second
	setUp    = 40 * time.Second
	window   = 8 << 10 // bytes on the way to a client on a poor link
)

func main() {
	r := rig.New(0)
	push := make(chan struct{})
	line := append(bytes.Repeat([]byte("g"), lineSize-2), '\r', '\n')
	for i := range servers {
		r.AddPlainServer(i, &rig.Server{IdleTime: time.Hour, Routed: func(string) {}, Push: push,
			Data: bytes.Repeat(line, lines)})
		r.Known[i].Site = "cairo"
	}
	discovery := r.StartDiscovery(r.Known).Addr
	listen := r.FreeAddress()
	config := filepath.Join(r.Dir, "config.json")
	r.Sockets, r.Memory = sockets, memoryMB
	r.WriteConfig(config, "n1", listen, discovery, settings())
	p := r.Start("n1", map[string]string{"PROXY_NAME": "n1", "PROXY_LISTEN": listen, "PROXY_DISCOVERY": discovery,
		"PROXY_CONFIG": config, "TMPDIR": r.Dir}, nil)
	r.Until("the balancer answers PONG", 10*time.Second, func() bool { return fake.Ping(listen) == "PONG" })
	var received atomic.Int64
	open(r, listen, &received)
	time.Sleep(2 * time.Second)
	r.Note("%d streams stand; private memory %d KB", streams, p.PrivateKB())
	close(push)
	watch(r, p, &received)
	r.Finish()
}

// watch compares the balancer's memory with its limit until all grids have arrived.
func watch(r *rig.Rig, p *rig.Process, received *atomic.Int64) {
	const all = streams * lines * lineSize
	most := 0
	for end := time.Now().Add(length); time.Now().Before(end) && received.Load() < all; {
		time.Sleep(5 * time.Millisecond)
		if used := p.PrivateKB(); used > most {
			if most = used; most > memoryMB<<10 {
				r.Note("private memory %d KB, over the limit of %d MB", most, memoryMB)
			}
		}
	}
	r.Note("%d of %d bytes have arrived; most private memory %d KB", received.Load(), all, most)
	switch {
	case most > memoryMB<<10:
		r.Break("%d KB of private memory at a limit of %d MB: the platform kills the balancer", most, memoryMB)
	case received.Load() < all*9/10: // some streams were moved
		r.Void("not all grids arrived")
	}
}

// open sets up the streams.
func open(r *rig.Rig, addr string, received *atomic.Int64) {
	up := 0
	for end := time.Now().Add(setUp); up < streams; {
		if time.Now().After(end) {
			r.Void("only %d streams are up", up)
		}
		c, err := net.Dial("tcp", addr)
		r.Must(err)
		if r.Trouble {
			r.Must(c.(*net.TCPConn).SetReadBuffer(window))
		}
		_, err = fmt.Fprintf(c, "OPEN %x %x c=grid-stream,t=delta-growers,d=3200,g=%x\r\n", time.Now().UnixNano(),
			time.Now().UnixNano(), up/10)
		r.Must(err)
		answer := make([]byte, 64)
		n, _ := c.Read(answer)
		if !strings.HasPrefix(string(answer[:n]), "UP ") {
			r.Note("answer %q", answer[:n])
			_ = c.Close()
			continue
		}
		up++
		go func() {
			buf := make([]byte, 64<<10)
			for {
				n, err := c.Read(buf)
				received.Add(int64(n))
				if err != nil {
					return
				}
			}
		}()
	}
}

// settings are those of nile-forecast-feed.
func settings() rig.Object {
	s := rig.Settings("pass")
	s["zone"], s["areas"], s["balancers"] = "cairo", []string{"cairo", "aswan"}, 3
	s["tenants"] = []rig.Object{{"name": "delta-growers", "fraction": 0.76, "quota-rps": 8.0},
		{"name": "red-sea-shipping", "fraction": 0.24, "quota-rps": 3.0}}
	info := s["family-info"].(rig.Object)
	info["message-aim-ms"], info["tenant-quota-connections"] = []float64{150, 150, 150}, []float64{900, 300}
	classes := s["classes"].([]rig.Object)
	names := []string{"grid-stream", "point-stream", "alert-stream"}
	aims, giveUps := []float64{800, 300, 500}, []float64{3200, 1800, 3000}
	for i := range classes {
		classes[i]["name"], classes[i]["aim-ms"], classes[i]["give-up-ms"] = names[i], aims[i], giveUps[i]
	}
	return s
}
