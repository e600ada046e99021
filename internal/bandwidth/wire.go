package bandwidth

import (
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"oatloft/internal/hint"
)

// Questions and answers travel in protobuf's wire format, by this schema. This file owns it; it must never take a torn message for a shorter
// one, nor a figure that no balancer can mean.
//
//	message Asks   { uint32 form = 1; uint64 number = 2; uint64 took = 3; repeated Ask links = 4; uint32 end = 15; }
//	message Ask    { string link = 1; double held = 2; double safe = 3; repeated Want wants = 4; }
//	message Want   { string class = 1; string tenant = 2; float bytes = 3; uint32 senders = 4; }
//	message Grants { uint32 form = 1; uint64 number = 2; repeated Grant links = 4; uint32 end = 15; }
//	message Grant  { string link = 1; double bytes = 2; repeated Got got = 3; repeated Sure sure = 4; repeated string short = 5; }
//	message Got    { string class = 1; string tenant = 2; float bytes = 3; }
//	message Sure   { string class = 1; float bytes = 2; }
//
// Figures that the bound rests on travel whole, others with seven digits. Those that are 0 and texts that are empty are left out; unknown
// fields are passed over, so that a later version may add some. One that changes what these mean raises the form. What ends
// it is the number of links and one more, so that a message that was cut between two of its fields is known for torn.

const (
	form        = 1
	longest     = 1 << 20 // bytes of a message
	mostEntries = 1 << 14 // of all lists in a message
)

// Malformed is a question or an answer on parts of links that no balancer of this form would send. It counts as not heard.
type Malformed struct{ hint.Annotated }

const sameVersion = "run versions that know each other at all balancers; links are lent again once they do"

var (
	errForm  error = &Malformed{hint.Annotated{What: "of another form", Do: sameVersion}}
	errTorn  error = &Malformed{hint.Annotated{What: "torn, or not in the wire format", Do: sameVersion}}
	errLong  error = &Malformed{hint.Annotated{What: "longer than a message may be", Do: sameVersion}}
	errField error = &Malformed{hint.Annotated{What: "a figure that can't be", Do: sameVersion}}
)

func putText(b []byte, field protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), s)
}

func putNumber(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func putWhole(b []byte, field protowire.Number, v float64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), math.Float64bits(v))
}

func putShort(b []byte, field protowire.Number, v float64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed32(protowire.AppendTag(b, field, protowire.Fixed32Type), math.Float32bits(float32(v)))
}

// putPart appends a message inside a message: its length is known once it is written, and moves it by a byte where that takes two.
func putPart(b []byte, field protowire.Number, write func([]byte) []byte) []byte {
	b = protowire.AppendTag(b, field, protowire.BytesType)
	at := len(b)
	b = write(append(b, 0))
	n := len(b) - at - 1
	if more := protowire.SizeVarint(uint64(n)) - 1; more > 0 {
		b = append(b, make([]byte, more)...)
		copy(b[at+1+more:], b[at+1:at+1+n])
	}
	protowire.AppendVarint(b[:at], uint64(n))
	return b
}

func (a *Asks) wire() []byte {
	b := putNumber(make([]byte, 0, 1024), 1, form)
	b = putNumber(putNumber(b, 2, a.Number), 3, a.Took)
	for _, l := range a.Links {
		b = putPart(b, 4, func(b []byte) []byte {
			b = putWhole(putWhole(putText(b, 1, l.Link), 2, l.Held), 3, l.Safe)
			for _, w := range l.Wants {
				b = putPart(b, 4, func(b []byte) []byte {
					return putNumber(putShort(putText(putText(b, 1, w.Class), 2, w.Tenant), 3, w.Bytes), 4, uint64(max(0, w.Senders)))
				})
			}
			return b
		})
	}
	return putNumber(b, 15, uint64(len(a.Links))+1)
}

func (g *Grants) wire() []byte {
	b := putNumber(putNumber(make([]byte, 0, 1024), 1, form), 2, g.Number)
	for _, l := range g.Links {
		b = putPart(b, 4, func(b []byte) []byte {
			b = putWhole(putText(b, 1, l.Link), 2, l.Bytes)
			for _, x := range l.Got {
				b = putPart(b, 3, func(b []byte) []byte { return putShort(putText(putText(b, 1, x.Class), 2, x.Tenant), 3, x.Bytes) })
			}
			for _, x := range l.Sure {
				b = putPart(b, 4, func(b []byte) []byte { return putShort(putText(b, 1, x.Class), 2, x.Bytes) })
			}
			for _, x := range l.Short {
				b = protowire.AppendString(protowire.AppendTag(b, 5, protowire.BytesType), x)
			}
			return b
		})
	}
	return putNumber(b, 15, uint64(len(g.Links))+1)
}

// field is one of a message: a number, a figure, or a part.
type field struct {
	is    protowire.Number
	kind  protowire.Type
	n     uint64
	part  []byte
	whole float64
}

// reading goes over a message; its bound is on all that one holds.
type reading struct{ entries int }

func (r *reading) fields(b []byte, of func(f field) error) error {
	for len(b) > 0 {
		is, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errTorn
		}
		b = b[n:]
		f := field{is: is, kind: kind}
		switch kind {
		case protowire.VarintType:
			f.n, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			f.part, n = protowire.ConsumeBytes(b)
			if r.entries++; r.entries > mostEntries {
				return errLong
			}
		case protowire.Fixed64Type:
			var v uint64
			v, n = protowire.ConsumeFixed64(b)
			f.whole = math.Float64frombits(v)
		case protowire.Fixed32Type:
			var v uint32
			v, n = protowire.ConsumeFixed32(b)
			f.whole = float64(math.Float32frombits(v))
		default: // groups are in no form of it
			n = -1
		}
		if n < 0 {
			return errTorn
		}
		b = b[n:]
		if err := of(f); err != nil {
			return err
		}
	}
	return nil
}

// figure takes one, text and count likewise; a field of the same number and another kind is no message of this form.
func (f *field) figure(to *float64) error {
	if f.kind != protowire.Fixed64Type && f.kind != protowire.Fixed32Type || !(f.whole >= 0) || math.IsInf(f.whole, 0) {
		return &Malformed{hint.Annotated{Where: fmt.Sprintf("field %d", f.is), Cause: errField, Do: sameVersion}}
	}
	*to = f.whole
	return nil
}

func (f *field) text(to *string) error {
	if f.kind != protowire.BytesType {
		return errTorn
	}
	*to = string(f.part)
	return nil
}

func (f *field) count(to *uint64, most uint64) error {
	if f.kind != protowire.VarintType || f.n > most {
		return &Malformed{hint.Annotated{Where: fmt.Sprintf("field %d", f.is), Cause: errField, Do: sameVersion}}
	}
	*to = f.n
	return nil
}

// message reads what both have in common, and their links by a function.
func (r *reading) message(b []byte, number, took *uint64, link func([]byte) error) error {
	if len(b) > longest {
		return errLong
	}
	var is, links, end uint64
	err := r.fields(b, func(f field) error {
		if is == 0 && f.is != 1 {
			return errForm
		}
		switch f.is {
		case 1:
			if err := f.count(&is, math.MaxUint32); err != nil || is != form {
				return errForm
			}
		case 2:
			return f.count(number, math.MaxUint64)
		case 3:
			return f.count(took, math.MaxUint64)
		case 4:
			if links++; f.kind != protowire.BytesType {
				return errTorn
			}
			return link(f.part)
		case 15:
			return f.count(&end, mostEntries+1)
		}
		return nil
	})
	switch {
	case err != nil:
		return err
	case is != form:
		return errForm
	case end != links+1:
		return errTorn
	}
	return nil
}

func (a *Asks) read(b []byte) error {
	var r reading
	return r.message(b, &a.Number, &a.Took, func(b []byte) error {
		var l Ask
		err := r.fields(b, func(f field) error {
			switch f.is {
			case 1:
				return f.text(&l.Link)
			case 2:
				return f.figure(&l.Held)
			case 3:
				return f.figure(&l.Safe)
			case 4:
				var w Want
				var n uint64
				err := r.fields(f.part, func(f field) error {
					switch f.is {
					case 1:
						return f.text(&w.Class)
					case 2:
						return f.text(&w.Tenant)
					case 3:
						return f.figure(&w.Bytes)
					case 4:
						return f.count(&n, math.MaxInt32)
					}
					return nil
				})
				w.Senders = int(n)
				l.Wants = append(l.Wants, w)
				return err
			}
			return nil
		})
		a.Links = append(a.Links, l)
		return err
	})
}

func (g *Grants) read(b []byte) error {
	var r reading
	var none uint64
	return r.message(b, &g.Number, &none, func(b []byte) error {
		var l Grant
		err := r.fields(b, func(f field) error {
			switch f.is {
			case 1:
				return f.text(&l.Link)
			case 2:
				return f.figure(&l.Bytes)
			case 3:
				var x Got
				err := r.fields(f.part, func(f field) error {
					switch f.is {
					case 1:
						return f.text(&x.Class)
					case 2:
						return f.text(&x.Tenant)
					case 3:
						return f.figure(&x.Bytes)
					}
					return nil
				})
				l.Got = append(l.Got, x)
				return err
			case 4:
				var x Sure
				err := r.fields(f.part, func(f field) error {
					switch f.is {
					case 1:
						return f.text(&x.Class)
					case 2:
						return f.figure(&x.Bytes)
					}
					return nil
				})
				l.Sure = append(l.Sure, x)
				return err
			case 5:
				var class string
				err := f.text(&class)
				l.Short = append(l.Short, class)
				return err
			}
			return nil
		})
		g.Links = append(g.Links, l)
		return err
	})
}
