package apache

import (
	"fmt"
	"strings"
)

// Mount is one rule of a uriworkermap.properties file, or of JkMount and JkUnMount.
type Mount struct {
	Pos
	Pattern  string // begins with / or *; * and ? are wildcards
	Worker   string
	Exclude  bool              // !: what matches goes to no worker
	Disabled bool              // -: the rule doesn't hold
	Exact    bool              // no wildcard
	Options  map[string]string // behind ;
	Fault    string            // why it can't be used
}

// mountOptions are all that may stand behind a semicolon.
var mountOptions = map[string]kind{
	"reply_timeout": number, "sticky_ignore": boolean, "stateless": boolean, "active": list, "disabled": list,
	"stopped": list, "fail_on_status": text, "use_server_errors": number, "session_cookie": text, "session_path": text,
	"set_session_cookie": boolean, "session_cookie_path": text,
}

// Mounts reads a uriworkermap.properties file: PATTERN=WORKER[;option=value...], with ! and - before the pattern and
// PATTERN|MORE for two patterns at once (/app|/*: /app and /app/*). Each rule is one mount; what can't be used is one
// with a fault.
func Mounts(file string, body []byte) ([]Mount, error) {
	lines, err := Lines(file, body)
	if err != nil {
		return nil, err
	}
	var out []Mount
	for _, l := range lines {
		left, right, ok := strings.Cut(l.Text, "=")
		m := Mount{Pos: l.Pos, Pattern: strings.TrimSpace(left), Fault: l.Fault}
		if m.Fault == "" && !ok {
			m.Fault = "is no PATTERN=WORKER"
		}
		if m.Fault != "" {
			out = append(out, m)
			continue
		}
		for marks := true; marks; { // in any order, each once
			switch {
			case strings.HasPrefix(m.Pattern, "!") && !m.Exclude:
				m.Exclude, m.Pattern = true, m.Pattern[1:]
			case strings.HasPrefix(m.Pattern, "-") && !m.Disabled:
				m.Disabled, m.Pattern = true, m.Pattern[1:]
			default:
				marks = false
			}
		}
		m.Worker, m.Options, m.Fault = mountTarget(strings.TrimSpace(right))
		first, more, two := strings.Cut(m.Pattern, "|")
		patterns := []string{first}
		if two {
			patterns = append(patterns, first+more)
		}
		for _, p := range patterns {
			x := m
			x.Pattern, x.Exact = p, !strings.ContainsAny(p, "*?")
			if x.Fault == "" {
				switch {
				case p == "":
					x.Fault = "has no pattern"
				case p[0] != '/' && p[0] != '*':
					x.Fault = fmt.Sprintf("%q begins with neither / nor *", clip(p))
				case strings.Contains(p, "|"):
					x.Fault = "has more than one |"
				case strings.ContainsAny(p, " \t"):
					x.Fault = fmt.Sprintf("%q has a space in it", clip(p))
				}
			}
			out = append(out, x)
		}
	}
	return out, nil
}

func mountTarget(right string) (worker string, options map[string]string, fault string) {
	parts := strings.Split(right, ";")
	worker = strings.TrimSpace(parts[0])
	if worker == "" {
		return worker, nil, "names no worker"
	}
	for _, part := range parts[1:] {
		if part = strings.TrimSpace(part); part == "" {
			continue
		}
		name, value, _ := strings.Cut(part, "=")
		name, value = strings.TrimSpace(name), strings.TrimSpace(value)
		k, ok := mountOptions[name]
		if !ok {
			return worker, options, "option " + unknown(name, mountOptions)
		}
		if _, twice := options[name]; twice {
			return worker, options, fmt.Sprintf("sets the option %s twice", name)
		}
		if f := fits(k, value); f != "" {
			return worker, options, fmt.Sprintf("option %s: %s", name, f)
		}
		if options == nil {
			options = map[string]string{}
		}
		options[name] = value
	}
	return worker, options, ""
}

// Matches tells whether a path is one that the mount names. A wildcard * stands for any bytes, / included, ? for one.
func (m *Mount) Matches(path string) bool { return wild(m.Pattern, path) }

// wild matches in time of pattern times path at most: the latest * alone is tried again.
func wild(pattern, s string) bool {
	p, i, star, from := 0, 0, -1, 0
	for i < len(s) {
		switch {
		case p < len(pattern) && pattern[p] == '*':
			star, from = p, i
			p++
		case p < len(pattern) && (pattern[p] == '?' || pattern[p] == s[i]):
			p++
			i++
		case star >= 0:
			from++
			p, i = star+1, from
		default:
			return false
		}
	}
	for p < len(pattern) && pattern[p] == '*' {
		p++
	}
	return p == len(pattern)
}

// Choose finds the mount that holds for a path, as mod_jk does: of those that match and are not disabled, the one with the
// longest pattern, an exact one before a wildcard of the same length, and of the same pattern the last. If that rule's worker is
// excluded for the path (an exclusion of the same worker, or of * for all), there is none.
func Choose(mounts []Mount, path string) *Mount {
	var best *Mount
	for i := range mounts {
		m := &mounts[i]
		if m.Fault != "" || m.Disabled || m.Exclude || !m.Matches(path) {
			continue
		}
		if best == nil || len(m.Pattern) > len(best.Pattern) || len(m.Pattern) == len(best.Pattern) && (m.Exact || !best.Exact) {
			best = m
		}
	}
	if best == nil {
		return nil
	}
	for i := range mounts {
		m := &mounts[i]
		if m.Fault == "" && !m.Disabled && m.Exclude && (m.Worker == best.Worker || m.Worker == "*") && m.Matches(path) {
			return nil
		}
	}
	return best
}
