package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"

	"oatloft/internal/fake"
)

// Discovery serves watches on a list that a case changes. Each watch begins with the whole list, and brings an empty
// line every 2 s as long as nothing changes.
type Discovery struct {
	Addr string

	mu      sync.Mutex
	changed *sync.Cond
	seq     int
	hosts   map[string]fake.Host
	order   []string
	lines   []string // the changes, in order
	written int      // the lowest number of lines that an open watch has been sent
}

// beat is how often a watch brings an empty line.
const beat = 2 * time.Second

// StartDiscovery starts a discovery with these hosts.
func (r *Rig) StartDiscovery(hosts []fake.Host) *Discovery {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	r.Must(err)
	d := &Discovery{Addr: l.Addr().String(), hosts: map[string]fake.Host{}}
	d.changed = sync.NewCond(&d.mu)
	for _, h := range hosts {
		d.hosts[h.Host] = h
		d.order = append(d.order, h.Host)
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go d.watch(c)
		}
	}()
	go func() {
		for {
			time.Sleep(beat)
			d.changed.Broadcast()
		}
	}()
	return d
}

// list is a message of discovery.
type list struct {
	Seq   int         `json:"seq"`
	Whole bool        `json:"whole"`
	Hosts []fake.Host `json:"hosts"`
}

// Change sends changes to all watches.
func (d *Discovery) Change(hosts []fake.Host) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.seq++
	for _, h := range hosts {
		if _, known := d.hosts[h.Host]; !known {
			d.order = append(d.order, h.Host)
		}
		d.hosts[h.Host] = h
	}
	line, _ := json.Marshal(list{d.seq, false, hosts})
	d.lines = append(d.lines, string(line))
	d.changed.Broadcast()
}

// Written returns how many of the changes have been written to a watch.
func (d *Discovery) Written() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.written
}

// whole returns the whole list; the caller holds mu.
func (d *Discovery) whole() string {
	l := list{d.seq, true, nil}
	for _, id := range d.order {
		if h := d.hosts[id]; h.Health != "gone" {
			l.Hosts = append(l.Hosts, h)
		}
	}
	line, _ := json.Marshal(l)
	return string(line)
}

// watch serves a connection.
func (d *Discovery) watch(c net.Conn) {
	defer func() { _ = c.Close() }()
	in := bufio.NewReader(c)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		if strings.TrimRight(line, "\r\n") == "" {
			break
		}
	}
	if _, err := fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"); err != nil {
		return
	}
	d.mu.Lock()
	next, sent := d.whole(), len(d.lines)
	d.mu.Unlock()
	for {
		if _, err := fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(next)+1, next); err != nil {
			return
		}
		d.mu.Lock()
		d.written = sent
		at := time.Now()
		for len(d.lines) == sent && time.Since(at) < beat-beat/10 {
			d.changed.Wait()
		}
		next = ""
		if len(d.lines) > sent {
			next = d.lines[sent]
			sent++
		}
		d.mu.Unlock()
	}
}
