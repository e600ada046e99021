package fake

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"oatloft/internal/rules"
)

// Discovery lists the regions, whole or as a watch on changes, over HTTP/1.1. Its zero value is started by New.
type Discovery struct {
	Addr string

	w       *World
	mu      sync.Mutex
	changed chan struct{} // closed and made anew at each change
	seq     int64
	hosts   map[string]Host
	changes []healthChange
	down    bool
}

type healthChange struct {
	seq  int64
	host Host
}

func (d *Discovery) listenDefault(w *World) error {
	d.w, d.hosts, d.changed = w, map[string]Host{}, make(chan struct{})
	for _, h := range w.Hosts() {
		d.hosts[h.Host] = h
	}
	l, err := net.Listen("tcp", "127.9.255.1:0")
	if err != nil {
		return err
	}
	d.Addr = l.Addr().String()
	d.listen(l, endpoint{discovery: d})
	w.OnClose(func() { d.Cut(true) })
	return nil
}

// front is where one balancer, or any, asks: the regions' addresses are those that it reaches them at.
type endpoint struct {
	discovery     *Discovery
	balancer      string
	dialAddresses map[string]string
}

// Front opens an address of its own for one balancer, which is told dial in place of the regions' addresses.
func (d *Discovery) Front(addr, by string, dial map[string]string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	d.listen(l, endpoint{discovery: d, balancer: by, dialAddresses: dial})
	return l.Addr().String(), nil
}

func (d *Discovery) listen(l net.Listener, f endpoint) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", f.serve)
	s := &http.Server{Handler: mux}
	d.w.OnClose(func() { _ = s.Close() })
	d.w.Go(func() { _ = s.Serve(l) })
}

// Tell changes a region's health: ready, draining or gone. Watches that stand are told at once.
func (d *Discovery) Tell(region, health string) { d.setHealth(region, health, 0) }

// Renew lists a region again as one that came up just now.
func (d *Discovery) Renew(region string) { d.setHealth(region, "ready", time.Now().UnixMilli()) }

func (d *Discovery) setHealth(region, health string, born int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.hosts[region]
	for _, r := range d.w.Regions {
		if r.Name == region && !ok {
			h = Host{Host: r.Name, Dial: r.Addr, Class: "m", Share: 1}
		}
		if r.Name == region {
			h.Site = r.zone()
		}
	}
	if h.Health = health; born > 0 {
		h.BornMS = born
	}
	if d.seq++; health == "gone" {
		delete(d.hosts, region)
	} else {
		d.hosts[region] = h
	}
	d.changes = append(d.changes, healthChange{d.seq, h})
	close(d.changed)
	d.changed = make(chan struct{})
}

// Cut takes discovery down or up again: watches end, and calls are answered 503 meanwhile.
func (d *Discovery) Cut(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.changed)
	d.changed = make(chan struct{})
}

func (f endpoint) serve(out http.ResponseWriter, r *http.Request) {
	d := f.discovery
	d.mu.Lock()
	down := d.down
	d.mu.Unlock()
	if down {
		http.Error(out, "down", http.StatusServiceUnavailable)
		return
	}
	if r.URL.Query().Get("watch") != "1" {
		d.mu.Lock()
		body := d.list(-1, f.dialAddresses)
		d.mu.Unlock()
		_, _ = out.Write(append(body, '\n'))
		return
	}
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	flush, _ := out.(http.Flusher)
	for {
		d.mu.Lock()
		changed, stop := d.changed, d.down
		var body []byte
		if from < d.seq {
			body = d.list(from, f.dialAddresses)
		}
		seq, reported := d.seq, d.changesAfter(from)
		d.mu.Unlock()
		if stop {
			panic(http.ErrAbortHandler) // ends the connection with the chunk open
		}
		if _, err := fmt.Fprintf(out, "%s\n", body); err != nil {
			return
		}
		flush.Flush()
		for _, c := range reported {
			d.w.SawBy(f.balancer, rules.Told, "", c.host.Host, c.host.Health)
		}
		from = seq
		select {
		case <-changed:
		case <-time.After(2 * time.Second):
		case <-r.Context().Done():
			return
		}
	}
}

func (d *Discovery) changesAfter(from int64) (list []healthChange) {
	for _, c := range d.changes {
		if c.seq > from {
			list = append(list, c)
		}
	}
	return list
}

// list is the whole list, or the changes after a version.
func (d *Discovery) list(from int64, dial map[string]string) []byte {
	msg := struct {
		Seq   int64  `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []Host `json:"hosts"`
	}{Seq: d.seq, Whole: from < 0}
	if from < 0 {
		for _, h := range d.hosts {
			msg.Hosts = append(msg.Hosts, h)
		}
	}
	for _, c := range d.changesAfter(max(from, 0)) {
		if from >= 0 {
			msg.Hosts = append(msg.Hosts, c.host)
		}
	}
	for i, h := range msg.Hosts {
		if to := dial[h.Host]; to != "" {
			msg.Hosts[i].Dial = to
		}
	}
	body, _ := json.Marshal(msg)
	return body
}
