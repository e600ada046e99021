package apache

import (
	"fmt"
	"strings"
)

// Mount is one rule of a uriworkermap.properties file, or of JkMount and JkUnMount.
type Mount struct {
	Pos
	Pattern  string // starts with / or *; * and ? are wildcards
	Worker   string
	Exclude  bool              // !: matching paths go to no worker
	Disabled bool              // -: the rule has no effect
	Exact    bool              // without wildcards
	Options  map[string]string // after ;
	Fault    string            // why it can't be used, "" if it can
}

// mountOptions are the valid options after a semicolon.
var mountOptions = map[string]kind{
	"reply_timeout": number, "sticky_ignore": boolean, "stateless": boolean, "active": list, "disabled": list,
	"stopped": list, "fail_on_status": text, "use_server_errors": number, "session_cookie": text, "session_path": text,
	"set_session_cookie": boolean, "session_cookie_path": text,
}

// Mounts reads a uriworkermap.properties file: PATTERN=WORKER[;option=value...], with ! and - before the pattern and
// PATTERN|MORE for two patterns at once (/app|/*: /app and /app/*). Each pattern is one mount; an invalid rule is a
// mount with a fault.
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
			m.Fault = "is not PATTERN=WORKER"
		}
		if m.Fault != "" {
			out = append(out, m)
			continue
		}
		for morePrefixes := true; morePrefixes; { // in any order, each at most once
			switch {
			case strings.HasPrefix(m.Pattern, "!") && !m.Exclude:
				m.Exclude, m.Pattern = true, m.Pattern[1:]
			case strings.HasPrefix(m.Pattern, "-") && !m.Disabled:
				m.Disabled, m.Pattern = true, m.Pattern[1:]
			default:
				morePrefixes = false
			}
		}
		m.Worker, m.Options, m.Fault = mountTarget(strings.TrimSpace(right))
		first, more, split := strings.Cut(m.Pattern, "|")
		patterns := []string{first}
		if split {
			patterns = append(patterns, first+more)
		}
		for _, p := range patterns {
			mount := m
			mount.Pattern, mount.Exact = p, !strings.ContainsAny(p, "*?")
			if mount.Fault == "" {
				switch {
				case p == "":
					mount.Fault = "has no pattern"
				case p[0] != '/' && p[0] != '*':
					mount.Fault = fmt.Sprintf("%q starts with neither / nor *", truncate(p))
				case strings.Contains(p, "|"):
					mount.Fault = "has more than one |"
				case strings.ContainsAny(p, " \t"):
					mount.Fault = fmt.Sprintf("%q contains a space", truncate(p))
				}
			}
			out = append(out, mount)
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
			return worker, options, "option " + unknownDirective(name, mountOptions)
		}
		if _, twice := options[name]; twice {
			return worker, options, fmt.Sprintf("sets the option %s twice", name)
		}
		if f := checkValue(k, value); f != "" {
			return worker, options, fmt.Sprintf("option %s: %s", name, f)
		}
		if options == nil {
			options = map[string]string{}
		}
		options[name] = value
	}
	return worker, options, ""
}

// Matches reports whether a path matches the mount's pattern. The wildcard * stands for any bytes, including /, and ?
// for one byte.
func (m *Mount) Matches(path string) bool { return matchesWildcard(m.Pattern, path) }

// matchesWildcard takes at most time proportional to pattern times path: it backtracks only to the latest *.
func matchesWildcard(pattern, s string) bool {
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

// Choose returns the mount that applies to a path, as mod_jk does: of the matching mounts that are not disabled, the
// one with the longest pattern, an exact one before a wildcard of the same length, and the last one of equal patterns.
// It returns nil if none matches, or if the worker is excluded for the path (by an exclusion of that worker, or of *
// for all).
func Choose(mounts []Mount, path string) *Mount {
	var best *Mount
	for i := range mounts {
		m := &mounts[i]
		if m.Fault != "" || m.Disabled || m.Exclude || !m.Matches(path) {
			continue
		}
		if best == nil || len(m.Pattern) > len(best.Pattern) || len(m.Pattern) == len(best.Pattern) &&
			(m.Exact || !best.Exact) {
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
