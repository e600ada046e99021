package faultinjection

import (
	"fmt"
	"strconv"
	"strings"

	"oatloft/internal/management"
)

// Membership is the invariant of internal/membership, the balancers' views of each other. During faults no signal may
// return to an older version at any observer. After the last fault, all running balancers report each other as alive,
// with their current generations, and no view is out of date. The views are read by the operators' call peers.
type Membership struct {
	False int // times that an undisturbed running balancer was reported as gone
	seen  map[string][2]uint64
}

// memberView is one balancer's report of itself and of the others.
type memberView struct {
	generation string
	flags      string
	members    map[string]map[string]string // fields of the line of each, by name
}

func callManagement(addr, call string) (string, bool) {
	a, err := management.Call(addr, call)
	return a.Text, err == nil && a.OK
}

func parseMemberLine(text string) map[string]string {
	m := map[string]string{}
	for i, f := range strings.Fields(text) {
		name, value, ok := strings.Cut(f, "=")
		switch {
		case i == 0:
			m["name"] = f
		case ok:
			m[name] = value
		default:
			m["flags"] += " " + f
		}
	}
	return m
}

func (w *Scenario) queryMembers(i int) (h memberView, ok bool) {
	addr := w.launch(i).Management
	text, ok := callManagement(addr, "peers")
	if !ok {
		return h, false
	}
	self := parseMemberLine(text)
	h = memberView{generation: self["generation"], flags: self["flags"], members: map[string]map[string]string{}}
	for name := ""; ; {
		text, ok := callManagement(addr, "peers >"+name)
		if !ok || text == "-" {
			return h, ok
		}
		m := parseMemberLine(text)
		name = m["name"]
		h.members[name] = m
	}
}

// undisturbed returns the balancers that run now and are not disturbed.
func (w *Scenario) undisturbed() (list []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, killed := range w.killed {
		undisturbed := !killed
		for _, s := range w.disturbances[i] {
			undisturbed = undisturbed && s.to < w.Now()
		}
		if undisturbed {
			list = append(list, i)
		}
	}
	return list
}

// During checks for signals that returned to an older version.
func (m *Membership) During(w *Scenario) {
	if m.seen == nil {
		m.seen = map[string][2]uint64{}
	}
	for _, i := range w.undisturbed() {
		h, ok := w.queryMembers(i)
		if !ok {
			continue
		}
		for name, o := range h.members {
			generation, _ := strconv.ParseUint(o["generation"], 10, 64)
			for key, value := range o {
				_, text, versioned := strings.Cut(value, "#")
				if !versioned {
					continue
				}
				version, _ := strconv.ParseUint(text, 10, 64)
				at := fmt.Sprint(w.name(i), h.generation, name, key)
				previous := m.seen[at]
				if generation < previous[0] || generation == previous[0] && version < previous[1] {
					w.addViolation("%s reports an older %s of %s: generation %d version %d after %d, %d", w.name(i), key, name,
						generation, version, previous[0], previous[1])
				}
				m.seen[at] = [2]uint64{generation, version}
			}
		}
	}
}

// Settled compares the views of all balancers.
func (m *Membership) Settled(w *Scenario) string {
	var all []memberView
	for i := range w.Schedule.Balancers {
		h, ok := w.queryMembers(i)
		if !ok {
			return w.name(i) + " does not answer the call peers"
		}
		all = append(all, h)
	}
	for i, h := range all {
		if h.flags != "" {
			return w.name(i) + " reports" + h.flags
		}
		for j, o := range all {
			if i == j {
				continue
			}
			r := h.members[w.name(j)]
			switch {
			case r == nil:
				return fmt.Sprintf("%s does not know %s", w.name(i), w.name(j))
			case r["state"] != "alive":
				return fmt.Sprintf("%s reports %s as %s", w.name(i), w.name(j), r["state"])
			case r["generation"] != o.generation:
				return fmt.Sprintf("%s knows %s with generation %s, it has %s", w.name(i), w.name(j), r["generation"], o.generation)
			}
		}
	}
	return ""
}
