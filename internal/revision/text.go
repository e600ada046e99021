package revision

// This file owns how a revision is written down: the compact text that travels, rests in the log and is called for, and the
// hash by which two are told apart. It must never take a text that it doesn't understand whole: what one balancer reads, all do.

import (
	"bytes"
	"cmp"
	"crypto"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode/utf16"
)

// MaxTextBytes is how long a revision's text may be, in bytes: it has to fit into one operators' call.
const MaxTextBytes = 120 << 10

// MalformedText is the error that a text is no revision.
type MalformedText struct {
	Offset int64  // bytes of the text before the fault; -1 where it is nowhere in particular
	Field  string // "" where none is at fault
	Cause  string
}

func (e *MalformedText) Error() string {
	where := ""
	if e.Field != "" {
		where = e.Field + ": "
	} else if e.Offset >= 0 {
		where = fmt.Sprintf("byte %d: ", e.Offset)
	}
	return "no revision's text: " + where + e.Cause
}

// Hint is what an operator can do.
func (e *MalformedText) Hint() string {
	return "hand revisions in by oatctl revision propose of the same version as the balancers, which writes this text"
}

// Encode is c's text: one line of ASCII, without what c doesn't say. Decode gives c back.
func Encode(c *Content) []byte {
	body, err := json.Marshal(c)
	if err != nil { // a figure that is no number; Sound names it before anybody proposes it
		return nil
	}
	var out bytes.Buffer
	for _, r := range string(body) {
		switch {
		case r < 0x7f:
			out.WriteByte(byte(r))
		case r < 0x10000:
			fmt.Fprintf(&out, `\u%04x`, r)
		default:
			a, b := utf16.EncodeRune(r)
			fmt.Fprintf(&out, `\u%04x\u%04x`, a, b)
		}
	}
	return out.Bytes()
}

// Decode reads a text. It checks the form, and that nothing is there twice or unknown; what the figures mean is Check's.
func Decode(text []byte) (*Content, error) {
	if len(text) > MaxTextBytes {
		return nil, &MalformedText{-1, "", fmt.Sprintf("%d bytes, more than %d", len(text), MaxTextBytes)}
	}
	c := &Content{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		e := &MalformedText{d.InputOffset(), "", strings.TrimPrefix(err.Error(), "json: ")}
		if wrong, ok := err.(*json.UnmarshalTypeError); ok {
			e.Field, e.Cause = wrong.Field, fmt.Sprintf("%s where %v belongs", wrong.Value, wrong.Type)
		}
		return nil, e
	}
	if _, err := d.Token(); err != io.EOF {
		return nil, &MalformedText{d.InputOffset(), "", "something follows the revision"}
	}
	if name, at := duplicateName(text); name != "" {
		return nil, &MalformedText{at, "", fmt.Sprintf("%q is there twice", name)}
	}
	if c.Form != Form {
		return nil, &MalformedText{-1, "oatloft_revision", fmt.Sprintf("form %d; this program reads %d", c.Form, Form)}
	}
	return c, nil
}

// duplicateName is a name that an object of a sound text holds more than once: a reader could take either.
func duplicateName(text []byte) (string, int64) {
	type level struct {
		names map[string]bool // nil in a list
		name  bool            // the next text is a name
	}
	var stack []level
	d := json.NewDecoder(bytes.NewReader(text))
	for {
		t, err := d.Token()
		if err != nil {
			return "", 0
		}
		if x, ok := t.(json.Delim); ok && (x == '{' || x == '[') {
			l := level{}
			if x == '{' {
				l = level{map[string]bool{}, true}
			}
			stack = append(stack, l)
			continue
		} else if ok {
			stack = stack[:len(stack)-1]
		}
		if len(stack) == 0 {
			continue
		}
		l := &stack[len(stack)-1]
		switch x, ok := t.(string); {
		case l.names == nil:
		case !l.name || !ok:
			l.name = true
		case l.names[strings.ToLower(x)]:
			return x, d.InputOffset()
		default:
			l.names[strings.ToLower(x)], l.name = true, false
		}
	}
}

// Hash is the SHA-256 of what c says, in hex. In which order it names classes, tenants, places and links makes no difference. Whoever calls it imports crypto/sha256, which
// brings a tenth of a megabyte with it: a balancer without the agreement hashes nothing.
func Hash(c *Content) string {
	h := crypto.SHA256.New()
	_, _ = h.Write(Encode(normalized(c)))
	return hex.EncodeToString(h.Sum(nil))
}

// ShortHash is the part of a hash that is shown to operators.
func ShortHash(hash string) string { return hash[:min(16, len(hash))] }

// normalized is c with every list in the order of its names. c stays as it is.
func normalized(c *Content) *Content {
	o := *c
	o.Classes = sortedBy(o.Classes, func(x Class) string { return x.Name })
	o.Tenants = sortedBy(o.Tenants, func(x Tenant) string { return x.Name })
	o.Servers = sortedBy(o.Servers, func(x Place) string { return x.ID })
	o.Zones = sortedBy(o.Zones, func(x Place) string { return x.ID })
	o.Links = sortedBy(o.Links, Link.name)
	for i := range o.Links {
		o.Links[i].Classes = sortedBy(o.Links[i].Classes, func(x LinkClass) string { return x.Name })
	}
	return &o
}

func sortedBy[T any](list []T, name func(T) string) []T {
	list = slices.Clone(list)
	slices.SortStableFunc(list, func(a, b T) int { return cmp.Compare(name(a), name(b)) })
	return list
}

func (l Link) name() string { return l.From + ">" + l.To }
