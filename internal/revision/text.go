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

// MaxTextBytes is the maximum length of a revision's text, which must fit into one management call.
const MaxTextBytes = 120 << 10

// MalformedText reports that a text is not a valid revision.
type MalformedText struct {
	Offset int64  // offset of the error in bytes; -1 if it has no position
	Field  string // "" if the error is not in a field
	Cause  string
}

// Error returns the position and the cause.
func (e *MalformedText) Error() string {
	where := ""
	if e.Field != "" {
		where = e.Field + ": "
	} else if e.Offset >= 0 {
		where = fmt.Sprintf("byte %d: ", e.Offset)
	}
	return "invalid revision text: " + where + e.Cause
}

// Hint returns what an operator can do about it.
func (e *MalformedText) Hint() string {
	return "submit revisions with oatctl revision propose, of the same version as the balancers"
}

// Encode returns a revision's text: one line of ASCII that omits the fields that are not set. It returns nil if a
// number is NaN or infinite, which Validate reports before a revision is proposed.
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

// Decode parses a text. It checks the format version and rejects duplicate and unknown fields. The values are checked
// by Validate and Check. The error is a *MalformedText.
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
			e.Field, e.Cause = typeError.Field, fmt.Sprintf("%s instead of %v", typeError.Value, typeError.Type)
		}
		return nil, e
	}
	if _, err := d.Token(); !errors.Is(err, io.EOF) {
		return nil, &MalformedText{d.InputOffset(), "", "unexpected data after the revision"}
	}
	if name, at := duplicateName(text); name != "" {
		return nil, &MalformedText{at, "", fmt.Sprintf("duplicate field %q", name)}
	}
	if c.FormatVersion != FormatVersion {
		return nil, &MalformedText{-1, "oatloft_revision",
			fmt.Sprintf("format version %d; this program reads %d", c.FormatVersion, FormatVersion)}
	}
	return c, nil
}

// duplicateName returns a name that occurs more than once in an object of a valid text, with its offset in bytes, or ""
// if there is none. Duplicates are rejected because a reader could use either value.
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

// jsonLevel is an object or list that contains the current token.
type jsonLevel struct {
	names       map[string]bool // names seen so far, in lower case; nil in a list
	expectsName bool            // the next token is a name
}

// next handles the next token of the level and reports whether it is a name that was seen before.
func (l *jsonLevel) next(token json.Token) (name string, duplicate bool) {
	if l.names == nil {
		return "", false
	}
	if !l.expectsName { // a value or the end of one
		l.expectsName = true
		return "", false
	}
	name, isName := token.(string)
	if !isName { // the end of an object or list
		return "", false
	}
	lower := strings.ToLower(name)
	duplicate = l.names[lower]
	l.names[lower] = true
	l.expectsName = false
	return name, duplicate
}

// Hash returns the SHA-256 of a revision's content in hexadecimal. It does not depend on the order of classes, tenants,
// places and links. Callers must import crypto/sha256: a balancer built without revisions hashes nothing, and so saves
// a tenth of a megabyte.
func Hash(c *Content) string {
	h := crypto.SHA256.New()
	_, _ = h.Write(Encode(normalized(c)))
	return hex.EncodeToString(h.Sum(nil))
}

// HashPrefix returns the prefix of a hash that is shown to operators: 16 digits.
func HashPrefix(hash string) string { return hash[:min(16, len(hash))] }

// normalized returns a copy in which every list is sorted by name.
func normalized(c *Content) *Content {
	o := *c
	o.Classes = sortedBy(o.Classes, func(x Class) string { return x.Name })
	o.Tenants = sortedBy(o.Tenants, func(x Tenant) string { return x.Name })
	o.Servers = sortedBy(o.Servers, func(x Placement) string { return x.ID })
	o.Zones = sortedBy(o.Zones, func(x Placement) string { return x.ID })
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
