package faultinjection

import (
	"fmt"
	"strconv"
	"strings"

	"oatloft/internal/management"
)

// Membership is the invariant of internal/membership: what balancers hold of each other. While faults go on no signal may go back
// in time at any observer; after the last one, all that live hold each other alive, by their present starts, and no view
// is old. It sees what operators see, by the call peers.
type Membership struct {
	False int // times somebody alive and not disturbed was held to be gone
	seen  map[string][2]uint64
}

// memberView is what one balancer says of itself and of the others.
type memberView struct {
	generation string
	flags      string
	members    map[string]map[string]string // by name, the words of its line
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

// alive are the balancers that run now and are not disturbed.
func (w *Scenario) undisturbed() (list []int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, dead := range w.killed {
		well := !dead
		for _, s := range w.disturbances[i] {
			well = well && s.to < w.Now()
		}
		if well {
			list = append(list, i)
		}
	}
	return list
}

// During looks for signals that went back.
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
				_, text, is := strings.Cut(value, "#")
				if !is {
					continue
				}
				version, _ := strconv.ParseUint(text, 10, 64)
				at := fmt.Sprint(w.name(i), h.generation, name, key)
				was := m.seen[at]
				if generation < was[0] || generation == was[0] && version < was[1] {
					w.addViolation("%s went back with %s of %s: generation %d version %d after %d, %d", w.name(i), key, name, generation, version, was[0], was[1])
				}
				m.seen[at] = [2]uint64{generation, version}
			}
		}
	}
}

// Settled asks all for what they hold.
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
			return w.name(i) + " says" + h.flags
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
				return fmt.Sprintf("%s holds %s to be %s", w.name(i), w.name(j), r["state"])
			case r["generation"] != o.generation:
				return fmt.Sprintf("%s knows %s by generation %s, it is %s", w.name(i), w.name(j), r["generation"], o.generation)
			}
		}
	}
	return ""
}
