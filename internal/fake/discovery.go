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

// Discovery serves the list of servers over HTTP/1.1, either the whole list or a watch on its changes. New starts the
// zero value.
type Discovery struct {
	Addr string

	w       *World
	mu      sync.Mutex
	changed chan struct{} // closed and replaced at each change
	version int64
	hosts   map[string]Host
	changes []healthChange
	down    bool
}

type healthChange struct {
	version int64
	host    Host
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

// endpoint is discovery as one balancer, or any of them, sees it: with the server addresses that the balancer dials.
type endpoint struct {
	discovery     *Discovery
	balancer      string
	dialAddresses map[string]string
}

// Front opens a separate address of discovery for one balancer. Lists served there have the addresses in dialAddresses,
// by server name, instead of the servers' own.
func (d *Discovery) Front(addr, balancer string, dialAddresses map[string]string) (string, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return "", err
	}
	d.listen(l, endpoint{discovery: d, balancer: balancer, dialAddresses: dialAddresses})
	return l.Addr().String(), nil
}

func (d *Discovery) listen(l net.Listener, f endpoint) {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /registry/instances", f.serve)
	s := &http.Server{Handler: mux}
	d.w.OnClose(func() { _ = s.Close() })
	d.w.Go(func() { _ = s.Serve(l) })
}

// Tell sets a server's health to ready, draining or gone. Open watches are notified at once.
func (d *Discovery) Tell(server, health string) { d.setHealth(server, health, 0) }

// Renew lists a server as ready and as started just now.
func (d *Discovery) Renew(server string) { d.setHealth(server, "ready", time.Now().UnixMilli()) }

func (d *Discovery) setHealth(server, health string, startedMS int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	h, ok := d.hosts[server]
	for _, r := range d.w.Servers {
		if r.Name == server && !ok {
			h = Host{Host: r.Name, Dial: r.Addr, Class: "m", Share: 1}
		}
		if r.Name == server {
			h.Site = r.zone()
		}
	}
	if h.Health = health; startedMS > 0 {
		h.BornMS = startedMS
	}
	if d.version++; health == "gone" {
		delete(d.hosts, server)
	} else {
		d.hosts[server] = h
	}
	d.changes = append(d.changes, healthChange{d.version, h})
	close(d.changed)
	d.changed = make(chan struct{})
}

// Cut makes discovery unavailable or available again. While it is unavailable, watches end and requests are answered
// with 503.
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
	flusher, _ := out.(http.Flusher)
	for {
		d.mu.Lock()
		changed, stop := d.changed, d.down
		var body []byte
		if from < d.version {
			body = d.list(from, f.dialAddresses)
		}
		seq, reported := d.version, d.changesAfter(from)
		d.mu.Unlock()
		if stop {
			panic(http.ErrAbortHandler) // closes the connection within the chunked body
		}
		if _, err := fmt.Fprintf(out, "%s\n", body); err != nil {
			return
		}
		flusher.Flush()
		for _, c := range reported {
			d.w.SawBy(f.balancer, rules.StateReported, "", c.host.Host, c.host.Health)
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

func (d *Discovery) changesAfter(from int64) (changes []healthChange) {
	for _, c := range d.changes {
		if c.version > from {
			changes = append(changes, c)
		}
	}
	return changes
}

// list returns the JSON of the changes after a version, or of the whole list if from is negative.
func (d *Discovery) list(from int64, dialAddresses map[string]string) []byte {
	msg := struct {
		Seq   int64  `json:"seq"`
		Whole bool   `json:"whole"`
		Hosts []Host `json:"hosts"`
	}{Seq: d.version, Whole: from < 0}
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
		if address := dialAddresses[h.Host]; address != "" {
			msg.Hosts[i].Dial = address
		}
	}
	body, _ := json.Marshal(msg)
	return body
}
