// Package apache reads what Apache installations write of their backends: mod_jk's workers.properties and uriworkermap.properties,
// and httpd's configuration. It owns the published formats and the account of what became of each directive; it must never pass anything over
// without a row in that account, never guess at a value, and never read a file that it was not given.
//
// No program imports it yet: an importer of such installations is to be built on it.
//
// Formats: Apache Tomcat Connectors 1.2.50, reference guides of workers.properties and uriworkermap.properties; Apache
// HTTP Server 2.4, configuration files and core.
package apache

import (
	"bytes"
	"fmt"
	"strings"
	"unicode/utf8"
)

// Bounds on what a source may hold. What is beyond them is a row or an error, never a silent cut.
const (
	MaxFile  = 8 << 20 // bytes of a file
	MaxLine  = 64 << 10
	MaxValue = 64 << 10 // of a value after its macros
)

// Pos is where something stands. Lines and columns count from 1, columns in bytes.
type Pos struct {
	File      string
	Line, Col int
}

func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Line is one logical line: physical lines that end with a backslash are joined to the next.
type Line struct {
	Pos
	Text  string
	Fault string // why it can't be read; its text is cut then
}

// Lines splits a file. Blank lines and comments (#) are left out, but a comment doesn't end a continued line's number.
// A byte order mark, CRLF and Latin-1 are taken as they come; NUL and overlong lines are faults of their line.
func Lines(file string, body []byte) ([]Line, error) {
	if len(body) > MaxFile {
		return nil, fmt.Errorf("%s: longer than %d bytes", file, MaxFile)
	}
	body = bytes.TrimPrefix(body, []byte("\xef\xbb\xbf"))
	var out []Line
	var joined strings.Builder
	start, long := 0, false
	flush := func() {
		if start == 0 {
			return
		}
		raw := joined.String()
		text := strings.TrimSpace(raw)
		l := Line{Pos: Pos{file, start, 1 + len(raw) - len(strings.TrimLeft(raw, " \t"))}, Text: utf8Of(text)}
		switch {
		case long:
			l.Fault = fmt.Sprintf("longer than %d bytes", MaxLine)
			l.Text = utf8Of(text[:min(len(text), 64)])
		case strings.IndexByte(text, 0) >= 0:
			l.Fault = "holds a NUL byte"
			l.Text = strings.ReplaceAll(l.Text, "\x00", "\\0")
		}
		if text != "" {
			out = append(out, l)
		}
		joined.Reset()
		start, long = 0, false
	}
	for n := 1; len(body) > 0; n++ {
		var line []byte
		if i := bytes.IndexByte(body, '\n'); i >= 0 {
			line, body = body[:i], body[i+1:]
		} else {
			line, body = body, nil
		}
		line = bytes.TrimRight(line, "\r")
		if start == 0 {
			if t := bytes.TrimLeft(line, " \t"); len(t) > 0 && t[0] == '#' {
				continue
			}
			start = n
		}
		more := len(line) > 0 && line[len(line)-1] == '\\'
		if more {
			line = line[:len(line)-1]
		}
		if joined.Len()+len(line) > MaxLine {
			line, long = line[:max(0, min(len(line), MaxLine-joined.Len()))], true
		}
		joined.Write(line)
		if !more {
			flush()
		}
	}
	flush() // a backslash at the end of the file continues nothing
	return out, nil
}

// utf8Of takes bytes that are no UTF-8 for Latin-1, as the files' writers did.
func utf8Of(s string) string {
	if utf8.ValidString(s) {
		return s
	}
	r := make([]rune, 0, len(s))
	for i := range len(s) {
		r = append(r, rune(s[i]))
	}
	return string(r)
}

// Property is one name and value of a workers.properties file, in the file's order.
type Property struct {
	Pos
	Name, Raw string // Raw as it was written
	Value     string // with its macros replaced
	Fault     string // why it can't be used
}

// Properties reads workers.properties files one after the other, as mod_jk does: a macro $(name) stands for a property
// that was set before it, in any of them. Nothing of a file is left out: what can't be read is a property with a
// fault.
type Properties struct {
	list []Property
	last map[string]int // by name, the latest
}

// Read takes another file.
func (p *Properties) Read(file string, body []byte) error {
	if p.last == nil {
		p.last = map[string]int{}
	}
	lines, err := Lines(file, body)
	if err != nil {
		return err
	}
	for _, l := range lines {
		prop := Property{Pos: l.Pos, Fault: l.Fault, Raw: l.Text}
		name, value, ok := strings.Cut(l.Text, "=")
		if ok {
			prop.Name, prop.Raw = strings.TrimSpace(name), strings.TrimSpace(value)
		}
		switch {
		case l.Fault != "":
		case !ok:
			prop.Fault = "is no name=value"
		case prop.Name == "":
			prop.Fault = "has no name before ="
		case strings.ContainsAny(prop.Name, " \t"):
			prop.Fault = "has a name with a space in it"
		default:
			prop.Value, prop.Fault = p.expand(prop.Raw)
		}
		if prop.Fault == "" {
			p.last[prop.Name] = len(p.list)
		}
		p.list = append(p.list, prop)
	}
	return nil
}

// All lists the properties in the order read.
func (p *Properties) All() []Property { return p.list }

// Get is the latest sound property of a name.
func (p *Properties) Get(name string) (Property, bool) {
	i, ok := p.last[name]
	if !ok {
		return Property{}, false
	}
	return p.list[i], true
}

// expand replaces macros. A value that was set before holds none any more, so there can be no cycle: a name that
// stands for itself has simply not been set. The length is bounded, since each macro may double a value.
func (p *Properties) expand(raw string) (value, fault string) {
	var b strings.Builder
	for rest := raw; ; {
		i := strings.Index(rest, "$(")
		if i < 0 {
			b.WriteString(rest)
			break
		}
		j := strings.IndexByte(rest[i:], ')')
		if j < 0 {
			return "", fmt.Sprintf("opens a macro that it doesn't close: %q", clip(rest[i:]))
		}
		name := strings.TrimSpace(rest[i+2 : i+j])
		prop, ok := p.Get(name)
		if !ok {
			return "", fmt.Sprintf("names the macro %q, which nothing sets before it", clip(name))
		}
		b.WriteString(rest[:i])
		b.WriteString(prop.Value)
		rest = rest[i+j+1:]
		if b.Len()+len(rest) > MaxValue {
			return "", fmt.Sprintf("is longer than %d bytes with its macros", MaxValue)
		}
	}
	if b.Len() > MaxValue {
		return "", fmt.Sprintf("is longer than %d bytes with its macros", MaxValue)
	}
	return b.String(), ""
}

func clip(s string) string {
	const most = 40
	if len(s) <= most {
		return s
	}
	r := []rune(s)
	return string(r[:min(len(r), most)]) + "..."
}
