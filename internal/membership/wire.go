package membership

import (
	"google.golang.org/protobuf/encoding/protowire"

	"oatloft/internal/hint"
)

// A message travels in protobuf's wire format, by this schema:
//
//	message Record  { string name = 1; string addr = 2; uint64 generation = 3; uint32 incarnation = 4;
//	                  uint32 state = 5; }
//	message Signal  { string owner = 1; uint64 generation = 2; string key = 3; uint64 version = 4; uint32 age_ms = 5;
//	                  uint32 life_ms = 6; bytes value = 7; }
//	message Message { uint32 form = 1; string cluster = 2; Record from = 3; uint32 kind = 4; uint32 seq = 5;
//	                  string target = 6; bool last = 7; repeated Record members = 8; repeated Signal signals = 9; }
//
// Figures that are 0 and texts that are empty are left out, unknown fields are passed over: a later form can add
// some. Nothing that comes from outside may ask for much: a datagram is bounded, and all in it is a part of it.

// MalformedMessage is a datagram or signal that no balancer of this form would send. It is dropped and counted.
type MalformedMessage struct{ hint.Annotated }

const unknownSenderHint = "see what else sends to the peers' address, " +
	"and that all balancers run versions that know each other"

var (
	errTooLong   error = &MalformedMessage{hint.Annotated{What: "longer than a packet may be", Do: unknownSenderHint}}
	errMalformed error = &MalformedMessage{hint.Annotated{What: "not in the wire format", Do: unknownSenderHint}}
	errLongName  error = &MalformedMessage{hint.Annotated{What: "a name longer than names are", Do: unknownSenderHint}}
)

func appendNumber(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func appendText[T string | []byte](b []byte, field protowire.Number, v T) []byte {
	if len(v) == 0 {
		return b
	}
	b = protowire.AppendVarint(protowire.AppendTag(b, field, protowire.BytesType), uint64(len(v)))
	return append(b, v...)
}

func (r *Record) encode() []byte {
	b := appendText(nil, 1, r.Name)
	b = appendText(b, 2, r.Addr)
	b = appendNumber(b, 3, r.Generation)
	b = appendNumber(b, 4, uint64(r.Incarnation))
	return appendNumber(b, 5, uint64(r.State))
}

func (s *SignalRecord) encode() []byte {
	b := appendText(nil, 1, s.Owner)
	b = appendNumber(b, 2, s.Generation)
	b = appendText(b, 3, s.Key)
	b = appendNumber(b, 4, s.Version)
	b = appendNumber(b, 5, uint64(s.AgeMS))
	b = appendNumber(b, 6, uint64(s.LifetimeMS))
	return appendText(b, 7, s.Value)
}

// Encode writes a message. One longer than the bound is an error: the machine keeps its messages within it.
func Encode(g *Message) ([]byte, error) {
	b := appendNumber(make([]byte, 0, MaxPacket), 1, uint64(g.FormatVersion))
	b = appendText(b, 2, g.Cluster)
	b = appendText(b, 3, g.From.encode())
	b = appendNumber(b, 4, uint64(g.Kind))
	b = appendNumber(b, 5, uint64(g.Sequence))
	b = appendText(b, 6, g.Target)
	b = appendNumber(b, 7, protowire.EncodeBool(g.Last))
	for i := range g.Members {
		b = protowire.AppendBytes(protowire.AppendTag(b, 8, protowire.BytesType), g.Members[i].encode())
	}
	for i := range g.Signals {
		b = protowire.AppendBytes(protowire.AppendTag(b, 9, protowire.BytesType), g.Signals[i].encode())
	}
	if len(b) > MaxPacket {
		return b, errTooLong
	}
	return b, nil
}

// eachField calls of for each field: v for a figure, part for a text or a message.
func eachField(b []byte, of func(field protowire.Number, v uint64, part []byte) error) error {
	for len(b) > 0 {
		field, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		var v uint64
		var part []byte
		switch kind {
		case protowire.VarintType:
			v, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			part, n = protowire.ConsumeBytes(b)
		default: // of a later form: groups and fixed ones are not in this one
			n = protowire.ConsumeFieldValue(field, kind, b)
			field = 0
		}
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		if err := of(field, v, part); err != nil {
			return err
		}
	}
	return nil
}

// assign takes a figure that has to fit a smaller type.
func assign[T uint8 | uint32](to *T, v uint64) error {
	if *to = T(v); uint64(*to) != v {
		return errMalformed
	}
	return nil
}

func (r *Record) decode(b []byte) error {
	return eachField(b, func(field protowire.Number, v uint64, part []byte) error {
		switch field {
		case 1:
			r.Name = string(part)
		case 2:
			r.Addr = string(part)
		case 3:
			r.Generation = v
		case 4:
			return assign(&r.Incarnation, v)
		case 5:
			return assign((*uint8)(&r.State), v)
		}
		return nil
	})
}

func (s *SignalRecord) decode(b []byte) error {
	return eachField(b, func(field protowire.Number, v uint64, part []byte) error {
		switch field {
		case 1:
			s.Owner = string(part)
		case 2:
			s.Generation = v
		case 3:
			s.Key = string(part)
		case 4:
			s.Version = v
		case 5:
			return assign(&s.AgeMS, v)
		case 6:
			return assign(&s.LifetimeMS, v)
		case 7:
			s.Value = append([]byte{}, part...)
		}
		return nil
	})
}

// Decode reads a datagram. What is not whole or is longer than a packet may be is an error.
func Decode(b []byte) (g Message, err error) {
	if len(b) > MaxPacket {
		return g, errTooLong
	}
	err = eachField(b, func(field protowire.Number, v uint64, part []byte) error {
		switch field {
		case 1:
			return assign(&g.FormatVersion, v)
		case 2:
			g.Cluster = string(part)
		case 3:
			return g.From.decode(part)
		case 4:
			return assign((*uint8)(&g.Kind), v)
		case 5:
			return assign(&g.Sequence, v)
		case 6:
			g.Target = string(part)
		case 7:
			g.Last = v != 0
		case 8:
			g.Members = append(g.Members, Record{})
			return g.Members[len(g.Members)-1].decode(part)
		case 9:
			g.Signals = append(g.Signals, SignalRecord{})
			return g.Signals[len(g.Signals)-1].decode(part)
		}
		return nil
	})
	if err == nil &&
		(len(g.From.Name) > MaxName || len(g.From.Addr) > MaxName || len(g.Cluster) > MaxName || len(g.Target) > MaxName) {
		err = errLongName
	}
	return g, err
}
