package revision

import (
	"bytes"
	"cmp"
	"crypto"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode/utf16"
)

// MaxTextBytes is how long a revision's text may be: it has to fit into one operators' call.
const MaxTextBytes = 120 << 10

// MalformedText is the error that a text is not a revision's.
type MalformedText struct {
	Offset int64  // bytes of the text before the fault; -1 where it is nowhere in particular
	Field  string // "" where none is at fault
	Cause  string
}

// Error says where the fault is.
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

// Encode returns a revision's text: one line of ASCII, without what the revision does not say. It is nil for a
// figure that is NaN or infinite, which Validate names before anybody proposes it.
func Encode(c *Content) []byte {
	body, err := json.Marshal(c)
	if err != nil {
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
			high, low := utf16.EncodeRune(r)
			fmt.Fprintf(&out, `\u%04x\u%04x`, high, low)
		}
	}
	return out.Bytes()
}

// Decode reads a text. It checks the form, and that nothing is there twice or unknown; what the figures mean is up
// to Validate and Check. The error is a *MalformedText.
func Decode(text []byte) (*Content, error) {
	if len(text) > MaxTextBytes {
		return nil, &MalformedText{-1, "", fmt.Sprintf("%d bytes, more than %d", len(text), MaxTextBytes)}
	}
	c := &Content{}
	d := json.NewDecoder(bytes.NewReader(text))
	d.DisallowUnknownFields()
	if err := d.Decode(c); err != nil {
		e := &MalformedText{d.InputOffset(), "", strings.TrimPrefix(err.Error(), "json: ")}
		var typeError *json.UnmarshalTypeError
		if errors.As(err, &typeError) {
			e.Field, e.Cause = typeError.Field, fmt.Sprintf("%s where %v belongs", typeError.Value, typeError.Type)
		}
		return nil, e
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
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

// duplicateName is a name that an object of a valid text holds more than once, since a reader could take either,
// and the bytes before it; "" if there is none.
func duplicateName(text []byte) (name string, offset int64) {
	var levels []jsonLevel
	d := json.NewDecoder(bytes.NewReader(text))
	for {
		token, err := d.Token()
		if err != nil {
			return "", 0
		}
		switch token {
		case json.Delim('{'):
			levels = append(levels, jsonLevel{names: map[string]bool{}, expectsName: true})
			continue
		case json.Delim('['):
			levels = append(levels, jsonLevel{})
			continue
		case json.Delim('}'), json.Delim(']'):
			levels = levels[:len(levels)-1]
		}
		if len(levels) == 0 {
			continue
		}
		if name, duplicate := levels[len(levels)-1].next(token); duplicate {
			return name, d.InputOffset()
		}
	}
}

// jsonLevel is an object or list that a decoder is in.
type jsonLevel struct {
	names       map[string]bool // in lower case; nil in a list
	expectsName bool            // the next token is a name
}

// take notes a token of the level, and tells of a name that was there before.
func (l *jsonLevel) next(token json.Token) (name string, duplicate bool) {
	if l.names == nil {
		return "", false
	}
	if !l.expectsName { // a value, or the end of one
		l.expectsName = true
		return "", false
	}
	name, isName := token.(string)
	if !isName { // the end of a value that is an object or list
		return "", false
	}
	lower := strings.ToLower(name)
	duplicate = l.names[lower]
	l.names[lower] = true
	l.expectsName = false
	return name, duplicate
}

// Hash is the SHA-256 of what a revision says, in hexadecimal. The order of classes, tenants, places and links
// makes no difference. Callers import crypto/sha256: a balancer without the agreement hashes nothing, and does
// without its tenth of a megabyte.
func Hash(c *Content) string {
	h := crypto.SHA256.New()
	_, _ = h.Write(Encode(normalized(c)))
	return hex.EncodeToString(h.Sum(nil))
}

// ShortHash is the part of a hash that operators are shown.
func ShortHash(hash string) string { return hash[:min(16, len(hash))] }

// normalized returns a copy with every list in the order of its names.
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
