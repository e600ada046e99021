package apache

import (
	"errors"
	"fmt"
	"io/fs"
	"path"
	"slices"
	"strings"
)

// Limits of httpd's configuration.
const (
	MaxNesting  = 32      // depth of nested sections, and of nested includes
	MaxIncludes = 1000    // number of files
	MaxNodes    = 1 << 20 // number of directives
)

// Node is one directive of an httpd configuration, or a section with its directives.
type Node struct {
	Pos
	Name     string // as written; names are case-insensitive
	Args     []string
	Section  bool
	Children []*Node
	Skipped  string // why it has no effect, such as an <IfDefine> of an undefined name; it is reported all the same
	Fault    string // why it can't be used, "" if it can
}

// Is reports whether the directive has a name, compared as httpd does.
func (n *Node) Is(name string) bool { return strings.EqualFold(n.Name, name) }

// Httpd reads a configuration with its includes. Files are read only from Root, by slash-separated paths within it; an
// include that leads out of Root, refers to a file that is being read, or matches no file is a fault of its directive.
type Httpd struct {
	Root    fs.FS             // use the FS of an os.Root: os.DirFS follows links that lead out of the directory
	Base    string            // ServerRoot as a path within Root, for relative includes
	Defines map[string]string // from -D on httpd's command line; Define adds to them
	Modules []string          // treated as loaded by <IfModule>, as written there

	open  []string // files being read
	files int
	nodes int
}

// Read reads a file and its includes. It returns an error only for the file itself; other problems are faults of nodes.
func (h *Httpd) Read(file string) ([]*Node, error) {
	if h.Defines == nil {
		h.Defines = map[string]string{}
	}
	top := &Node{}
	if err := h.read(file, top, ""); err != nil {
		return nil, err
	}
	return top.Children, nil
}

func (h *Httpd) read(file string, parent *Node, skipped string) error {
	if h.files++; h.files > MaxIncludes {
		return fmt.Errorf("more than %d files", MaxIncludes)
	}
	if slices.Contains(h.open, file) {
		return fmt.Errorf("%s includes itself", strings.Join(append(h.open, file), " -> "))
	}
	if len(h.open) >= MaxNesting {
		return fmt.Errorf("includes nested more than %d deep", MaxNesting)
	}
	info, err := fs.Stat(h.Root, file)
	switch {
	case err != nil:
		return err
	case !info.Mode().IsRegular():
		return fmt.Errorf("%s: not a regular file", file)
	case info.Size() > MaxFile:
		return fmt.Errorf("%s: longer than %d bytes", file, MaxFile)
	}
	body, err := fs.ReadFile(h.Root, file)
	if err != nil {
		return err
	}
	lines, err := Lines(file, body)
	if err != nil {
		return err
	}
	h.open = append(h.open, file)
	defer func() { h.open = h.open[:len(h.open)-1] }()
	type level struct {
		node    *Node
		skipped string
	}
	stack := []level{{parent, skipped}}
	for _, l := range lines {
		if h.nodes++; h.nodes > MaxNodes {
			return fmt.Errorf("%v: more than %d directives", l.Pos, MaxNodes)
		}
		top := stack[len(stack)-1]
		n := &Node{Pos: l.Pos, Fault: l.Fault, Skipped: top.skipped}
		if n.Fault != "" {
			n.Name = truncate(l.Text)
			top.node.Children = append(top.node.Children, n)
			continue
		}
		text := l.Text
		if name, ok := strings.CutPrefix(text, "</"); ok {
			name = strings.TrimSpace(strings.TrimSuffix(name, ">"))
			if len(stack) == 1 || !top.node.Is(name) {
				n.Name, n.Fault = text, fmt.Sprintf("closes %s, which is not open here", truncate(name))
				top.node.Children = append(top.node.Children, n)
				continue
			}
			stack = stack[:len(stack)-1]
			continue
		}
		if inner, ok := strings.CutPrefix(text, "<"); ok {
			n.Section = true
			if text, ok = strings.CutSuffix(strings.TrimSpace(inner), ">"); !ok {
				n.Fault = "opens a section without >"
			}
		}
		words, fault := h.parseWords(text)
		if len(words) == 0 {
			words = []string{truncate(l.Text)}
			fault = "is not a directive"
		}
		if n.Name, n.Args = words[0], words[1:]; n.Fault == "" {
			n.Fault = fault
		}
		top.node.Children = append(top.node.Children, n)
		if n.Section {
			if len(stack) > MaxNesting {
				return fmt.Errorf("%v: sections nested more than %d deep", l.Pos, MaxNesting)
			}
			stack = append(stack, level{n, firstNonEmpty(top.skipped, h.skipReason(n))})
			continue
		}
		if n.Fault == "" && n.Skipped == "" {
			h.apply(n)
		}
	}
	for _, open := range stack[1:] {
		open.node.Fault = firstNonEmpty(open.node.Fault, "is never closed in its file")
	}
	return nil
}

// firstNonEmpty returns a, or b if a is "".
func firstNonEmpty(a, b string) string {
	if a != "" {
		return a
	}
	return b
}

// apply executes the directives that affect parsing.
func (h *Httpd) apply(n *Node) {
	switch {
	case n.Is("Define") && len(n.Args) == 1:
		h.Defines[n.Args[0]] = ""
	case n.Is("Define") && len(n.Args) == 2:
		h.Defines[n.Args[0]] = n.Args[1]
	case n.Is("UnDefine") && len(n.Args) == 1:
		delete(h.Defines, n.Args[0])
	case n.Is("Include") || n.Is("IncludeOptional"):
		n.Fault = h.include(n)
	}
}

// include reads the files of an include, and returns the fault of the directive.
func (h *Httpd) include(n *Node) string {
	if len(n.Args) != 1 {
		return "needs one file or pattern"
	}
	name := n.Args[0]
	if !strings.HasPrefix(name, "/") {
		name = path.Join("/", h.Base, name)
	}
	// The cleaned path can't lead out of the root even with .., but the attempt is reported as a fault.
	if strings.Contains(n.Args[0], "..") && !fs.ValidPath(strings.TrimPrefix(n.Args[0], "/")) {
		return fmt.Sprintf("%q may lead out of the root that was given", truncate(n.Args[0]))
	}
	name = strings.TrimPrefix(path.Clean(name), "/")
	if name == "" {
		name = "."
	}
	files, err := fs.Glob(h.Root, name)
	if err != nil {
		return fmt.Sprintf("%q is not a valid pattern", truncate(n.Args[0]))
	}
	if info, err := fs.Stat(h.Root, name); err == nil && info.IsDir() {
		if files, err = fs.Glob(h.Root, path.Join(name, "*")); err != nil {
			return err.Error()
		}
	}
	if len(files) == 0 {
		if n.Is("IncludeOptional") {
			return ""
		}
		return fmt.Sprintf("%q names no file within the root that was given", truncate(n.Args[0]))
	}
	var faults []error
	for _, f := range files { // Glob sorts them, as httpd does
		faults = append(faults, h.read(f, n, n.Skipped))
	}
	if err := errors.Join(faults...); err != nil {
		return strings.ReplaceAll(err.Error(), "\n", "; ")
	}
	return ""
}

// skipReason returns why a section's content has no effect, or "" if it has or if the condition can't be decided here.
func (h *Httpd) skipReason(n *Node) string {
	if len(n.Args) != 1 || n.Fault != "" {
		return ""
	}
	condition, negated := strings.CutPrefix(n.Args[0], "!")
	holds := false
	switch {
	case n.Is("IfDefine"):
		_, holds = h.Defines[condition]
	case n.Is("IfModule"):
		holds = slices.Contains(h.Modules, condition)
	default:
		return ""
	}
	if holds == negated {
		return fmt.Sprintf("<%s %s> does not hold", n.Name, n.Args[0])
	}
	return ""
}

// parseWords splits a directive into words, which may be in "" or ” with \ before a quote or a backslash, and may
// contain ${VAR}.
func (h *Httpd) parseWords(text string) (words []string, fault string) {
	for i := 0; i < len(text); {
		if text[i] == ' ' || text[i] == '\t' {
			i++
			continue
		}
		var b strings.Builder
		if q := text[i]; q == '"' || q == '\'' {
			closed := false
			for i++; i < len(text) && !closed; i++ {
				switch {
				case text[i] == '\\' && i+1 < len(text) && (text[i+1] == q || text[i+1] == '\\'):
					i++
					b.WriteByte(text[i])
				case text[i] == q:
					closed = true
				default:
					b.WriteByte(text[i])
				}
			}
			if !closed {
				fault = firstNonEmpty(fault, "opens a quote that it does not close")
			}
		} else {
			for ; i < len(text) && text[i] != ' ' && text[i] != '\t'; i++ {
				b.WriteByte(text[i])
			}
		}
		word, f := h.expandVariables(b.String())
		words, fault = append(words, word), firstNonEmpty(fault, f)
	}
	return words, fault
}

// expandVariables replaces ${VAR} by its earlier definition. httpd leaves undefined variables unchanged; here they are
// a fault, since a host named ${HOST} can't be used.
func (h *Httpd) expandVariables(s string) (string, string) {
	var b strings.Builder
	for rest := s; ; {
		i := strings.Index(rest, "${")
		if i < 0 {
			b.WriteString(rest)
			return b.String(), ""
		}
		j := strings.IndexByte(rest[i:], '}')
		if j < 0 {
			return s, fmt.Sprintf("opens a variable that it does not close: %q", truncate(rest[i:]))
		}
		name := rest[i+2 : i+j]
		value, ok := h.Defines[name]
		if !ok {
			return s, fmt.Sprintf("names the variable %q, which nothing defines before it", truncate(name))
		}
		b.WriteString(rest[:i])
		b.WriteString(value)
		if rest = rest[i+j+1:]; b.Len()+len(rest) > MaxValue {
			return truncate(s), fmt.Sprintf("is longer than %d bytes with its variables", MaxValue)
		}
	}
}
