// Package apache parses the configuration of backends in Apache installations: mod_jk's workers.properties and
// uriworkermap.properties, and httpd's configuration. It implements the published formats and reports the outcome of
// each directive: no directive is skipped without an entry, no value is guessed, and only the given files are read.
//
// No program uses it yet, only tests; it is the basis of a future importer of such installations.
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

// Limits of a source. Content beyond them is reported as a fault or an error, never truncated silently.
const (
	MaxFile  = 8 << 20  // bytes of a file
	MaxLine  = 64 << 10 // bytes of a logical line
	MaxValue = 64 << 10 // bytes of a value after the expansion of its macros
)

// Pos is a position in a file. Lines and columns count from 1, columns in bytes.
type Pos struct {
	File      string
	Line, Col int
}

// String formats the position as file:line:column.
func (p Pos) String() string { return fmt.Sprintf("%s:%d:%d", p.File, p.Line, p.Col) }

// Line is one logical line: a physical line that ends with a backslash is joined with the next.
type Line struct {
	Pos
	Text  string
	Fault string // why it can't be parsed; its text may be truncated then
}

// Lines splits a file into logical lines. Blank lines and comments (#) are omitted but counted; a # in the continuation
// of a line starts no comment. A byte order mark, CRLF and Latin-1 are accepted; a NUL byte or an overlong line is a
// fault of its line.
func Lines(file string, body []byte) ([]Line, error) {
	if len(body) > MaxFile {
		return nil, fmt.Errorf("%s: longer than %d bytes", file, MaxFile)
	}
	body = bytes.TrimPrefix(body, []byte("\xef\xbb\xbf"))
	var out []Line
	var joined strings.Builder
	start, tooLong := 0, false
	flush := func() {
		if start == 0 {
			return
		}
		raw := joined.String()
		text := strings.TrimSpace(raw)
		l := Line{Pos: Pos{file, start, 1 + len(raw) - len(strings.TrimLeft(raw, " \t"))}, Text: toUTF8(text)}
		switch {
		case tooLong:
			l.Fault = fmt.Sprintf("longer than %d bytes", MaxLine)
			l.Text = toUTF8(text[:min(len(text), 64)])
		case strings.IndexByte(text, 0) >= 0:
			l.Fault = "holds a NUL byte"
			l.Text = strings.ReplaceAll(l.Text, "\x00", "\\0")
		}
		if text != "" {
			out = append(out, l)
		}
		joined.Reset()
		start, tooLong = 0, false
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
			if trimmed := bytes.TrimLeft(line, " \t"); len(trimmed) > 0 && trimmed[0] == '#' {
				continue
			}
			start = n
		}
		continued := len(line) > 0 && line[len(line)-1] == '\\'
		if continued {
			line = line[:len(line)-1]
		}
		if joined.Len()+len(line) > MaxLine {
			line, tooLong = line[:max(0, min(len(line), MaxLine-joined.Len()))], true
		}
		joined.Write(line)
		if !continued {
			flush()
		}
	}
	flush() // a backslash at the end of the file has no line to continue
	return out, nil
}

// toUTF8 converts text that is not valid UTF-8 from Latin-1, the usual encoding of such files.
func toUTF8(s string) string {
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
	Name, Raw string // Raw is the value as written
	Value     string // with expanded macros
	Fault     string // why it can't be used, "" if it can
}

// Properties reads workers.properties files one after the other, as mod_jk does: a macro $(name) stands for a property
// set before it in any of the files. No line of a file is omitted: an invalid one is a property with a fault.
type Properties struct {
	list []Property
	last map[string]int // index of the latest valid property by name
}

// Read adds the properties of another file.
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
			prop.Fault = "is not name=value"
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

// All returns the properties in the order read.
func (p *Properties) All() []Property { return p.list }

// Get returns the latest valid property of a name.
func (p *Properties) Get(name string) (Property, bool) {
	i, ok := p.last[name]
	if !ok {
		return Property{}, false
	}
	return p.list[i], true
}

// expand replaces macros. The values of earlier properties contain no macros any more, so no cycle is possible: a macro
// that refers to its own property is not set yet. The length is bounded, since each macro may double a value.
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
			return "", fmt.Sprintf("opens a macro that it doesn't close: %q", truncate(rest[i:]))
		}
		name := strings.TrimSpace(rest[i+2 : i+j])
		prop, ok := p.Get(name)
		if !ok {
			return "", fmt.Sprintf("names the macro %q, which nothing sets before it", truncate(name))
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

// truncate shortens a text for messages.
func truncate(s string) string {
	const maxBytes = 40
	if len(s) <= maxBytes {
		return s
	}
	r := []rune(s)
	return string(r[:min(len(r), maxBytes)]) + "..."
}
