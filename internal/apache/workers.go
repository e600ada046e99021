package apache

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
)

// kind is the type of a directive's value.
type kind uint8

const (
	text   kind = iota
	number      // a non-negative integer
	signed      // an integer
	boolean
	list // of names; the lists of several lines are concatenated
)

// directives are all worker directives of mod_jk by name, from the reference of 1.2.50, and those of older versions.
var directives = map[string]kind{
	"type": text, "host": text, "port": number, "source": text, "secret": text, "prefer_ipv6": boolean,
	"connection_pool_size": number, "connection_pool_minsize": number, "connection_pool_timeout": number,
	"connection_acquire_timeout": number, "lbfactor": number, "balance_workers": list, "reference": text,
	"sticky_session": boolean, "sticky_session_force": boolean, "method": text, "lock": text, "retries": number,
	"lb_retries": number, "retry_interval": number, "recover_time": number, "error_escalation_time": number,
	"max_reply_timeouts": number, "recovery_options": number, "fail_on_status": text, "reply_timeout": number,
	"connect_timeout": number, "prepost_timeout": number, "ping_timeout": number, "ping_mode": text,
	"connection_ping_interval": number, "socket_timeout": number, "socket_connect_timeout": number,
	"socket_keepalive": boolean, "socket_buffer": number, "max_packet_size": number, "busy_limit": number,
	"session_cookie": text, "session_path": text, "set_session_cookie": boolean, "session_cookie_path": text,
	"activation": text, "route": text, "redirect": text, "distance": signed, "domain": text, "mount": list,
	"css": text, "ns": text, "xmlns": text, "doctype": text, "prefix": text, "good": text, "bad": text, "user": text,
	"user_case_insensitive": boolean, "read_only": boolean, "nodes": list, "secretkey": text,
	// from older versions
	"balanced_workers": list, "jvm_route": text, "disabled": boolean, "stopped": boolean, "cachesize": number,
	"cache_timeout": number, "recycle_timeout": number, "local_worker": boolean, "local_worker_only": boolean,
	"cache": number,
}

// globals are the directives that belong to no worker.
var globals = map[string]kind{"list": list, "maintain": number}

// Setting is a directive that applies to a worker.
type Setting struct {
	Property
	From string // the worker that sets it: a different one if it is inherited by reference
}

// Worker is one worker with its own directives.
type Worker struct {
	Name   string
	Listed bool // in worker.list: requests may be sent to it
	own    map[string][]Property
}

// Workers is the content of one or several workers.properties files.
type Workers struct {
	list   []*Worker // by name
	byName map[string]*Worker
	props  Properties
	Global map[string][]Property
	Faults []Property // all invalid properties, with the reasons
}

// ReadWorkers assigns properties to workers. Every property becomes a global or a directive of a worker, defines a
// macro, or is added to Faults if it is invalid.
func ReadWorkers(p Properties) *Workers {
	w := &Workers{byName: map[string]*Worker{}, props: p, Global: map[string][]Property{}}
	for _, prop := range p.All() {
		if prop.Fault == "" {
			prop.Fault = w.assign(prop)
		}
		if prop.Fault != "" {
			w.Faults = append(w.Faults, prop)
		}
	}
	for _, prop := range w.Global["list"] {
		for _, name := range Names(prop.Value) {
			w.worker(name).Listed = true
		}
	}
	slices.SortFunc(w.list, func(a, b *Worker) int { return cmp.Compare(a.Name, b.Name) })
	return w
}

func (w *Workers) worker(name string) *Worker {
	x := w.byName[name]
	if x == nil {
		x = &Worker{Name: name, own: map[string][]Property{}}
		w.byName[name] = x
		w.list = append(w.list, x)
	}
	return x
}

// assign adds a property to the globals or to its worker, or returns why it is invalid.
func (w *Workers) assign(prop Property) (fault string) {
	if !strings.HasPrefix(prop.Name, "worker.") {
		if strings.Contains(prop.Name, ".") {
			return fmt.Sprintf("%q does not start with worker.", truncate(prop.Name))
		}
		return "" // defines a macro
	}
	rest := strings.TrimPrefix(prop.Name, "worker.")
	i := strings.LastIndexByte(rest, '.')
	if i < 0 {
		k, ok := globals[rest]
		if !ok {
			return unknownDirective(rest, globals)
		}
		if fault = checkValue(k, prop.Value); fault == "" {
			w.Global[rest] = append(w.Global[rest], prop)
		}
		return fault
	}
	name, directive := rest[:i], rest[i+1:]
	k, ok := directives[directive]
	if !ok {
		return unknownDirective(directive, directives)
	}
	if name == "" || strings.Trim(name, "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.") != "" {
		return fmt.Sprintf("%q is not a valid worker name: use letters, digits, - and _", truncate(name))
	}
	if fault = checkValue(k, prop.Value); fault == "" {
		x := w.worker(name)
		x.own[directive] = append(x.own[directive], prop)
	}
	return fault
}

// checkValue returns why a value is not of a kind, or "" if it is.
func checkValue(k kind, value string) string {
	digits := func(s string) bool { return s != "" && strings.Trim(s, "0123456789") == "" && len(s) <= 10 }
	switch {
	case k == number && !digits(value):
		return fmt.Sprintf("%q is not a number", truncate(value))
	case k == signed && !digits(strings.TrimPrefix(value, "-")):
		return fmt.Sprintf("%q is not a number", truncate(value))
	case k == boolean && !slices.Contains([]string{"1", "0", "t", "f", "y", "n", "true", "false", "on", "off", "yes",
		"no"}, strings.ToLower(value)):
		return fmt.Sprintf("%q is neither true nor false", truncate(value))
	case k == list && len(Names(value)) == 0:
		return "is an empty list"
	}
	return ""
}

// Names splits a list at commas, spaces and tabs, as mod_jk does.
func Names(value string) []string {
	return strings.FieldsFunc(value, func(r rune) bool { return r == ',' || r == ' ' || r == '\t' })
}

// unknownDirective returns the fault of an unknown directive, with a known one as a suggestion if they differ by one
// letter.
func unknownDirective(name string, known map[string]kind) string {
	best := ""
	for k := range known {
		if isOneEditAway(name, k) && (best == "" || k < best) {
			best = k
		}
	}
	if best != "" {
		return fmt.Sprintf("%q is not a directive of mod_jk; did you mean %q?", truncate(name), best)
	}
	return fmt.Sprintf("%q is not a directive of mod_jk", truncate(name))
}

// isOneEditAway reports whether a becomes b by adding, removing, replacing or swapping one letter with its neighbour.
func isOneEditAway(a, b string) bool {
	if len(a) > len(b) {
		a, b = b, a
	}
	if len(b)-len(a) > 1 {
		return false
	}
	i := 0
	for i < len(a) && a[i] == b[i] {
		i++
	}
	if len(a) < len(b) {
		return a[i:] == b[i+1:]
	}
	if i == len(a) {
		return false // equal
	}
	return a[i+1:] == b[i+1:] || i+1 < len(a) && a[i] == b[i+1] && a[i+1] == b[i] && a[i+2:] == b[i+2:]
}

// All returns the workers sorted by name, including those that only occur in a list.
func (w *Workers) All() []*Worker { return w.list }

// Settings returns the directives that apply to a worker: its own, and for those that it does not set, the ones of the
// worker that it refers to, and so on. The lines of a list are concatenated; of other directives the last one applies,
// and the others are returned as overridden. A cyclic or dangling reference is an error with its position.
func (w *Workers) Settings(name string) (effective map[string][]Setting, overridden []Setting, err error) {
	effective = map[string][]Setting{}
	if w.byName[name] == nil {
		return effective, nil, fmt.Errorf("there is no worker %q", truncate(name))
	}
	seen := map[string]bool{}
	var path []string
	for {
		x := w.byName[name]
		seen[name] = true
		path = append(path, name)
		for directive, props := range x.own {
			if _, set := effective[directive]; set || directive == "reference" {
				continue
			}
			for i, p := range props {
				s := Setting{p, name}
				if directives[directive] != list && i < len(props)-1 {
					overridden = append(overridden, s)
					continue
				}
				effective[directive] = append(effective[directive], s)
			}
		}
		refs := x.own["reference"]
		if len(refs) == 0 {
			break
		}
		ref := refs[len(refs)-1]
		name = strings.TrimPrefix(ref.Value, "worker.")
		switch {
		case seen[name]:
			return effective, overridden, fmt.Errorf("%v: reference: %s refers back to %s", ref.Pos, strings.Join(path, " -> "),
				name)
		case w.byName[name] == nil:
			return effective, overridden, fmt.Errorf("%v: reference: there is no worker %q", ref.Pos, truncate(name))
		}
	}
	slices.SortFunc(overridden, func(a, b Setting) int {
		return cmp.Or(cmp.Compare(a.File, b.File), cmp.Compare(a.Line, b.Line))
	})
	return effective, overridden, nil
}
