package membership

import (
	"google.golang.org/protobuf/encoding/protowire"

	"oatloft/internal/hint"
)

// Messages are encoded in the protobuf wire format with this schema:
//
//	message Record  { string name = 1; string addr = 2; uint64 generation = 3; uint32 incarnation = 4;
//	                  uint32 state = 5; }
//	message Signal  { string owner = 1; uint64 generation = 2; string key = 3; uint64 version = 4; uint32 age_ms = 5;
//	                  uint32 lifetime_ms = 6; bytes value = 7; }
//	message Message { uint32 format_version = 1; string cluster = 2; Record from = 3; uint32 kind = 4;
//	                  uint32 sequence = 5; string target = 6; bool last = 7; repeated Record members = 8;
//	                  repeated Signal signals = 9; }
//
// Numbers that are 0 and empty strings are omitted. Unknown fields are skipped, so that a later format version can add
// fields. Decoding allocates no more than a datagram can contain, whose length is limited.

// MalformedMessage is returned for a datagram or signal that no balancer of this format version sends. The receiver
// drops and counts it.
type MalformedMessage struct{ hint.Annotated }

const malformedMessageHint = "check which other programs send to the peers address, " +
	"and that all balancers run compatible versions"

var (
	errPacketTooLong error = &MalformedMessage{
		hint.Annotated{What: "longer than the maximum packet size", Do: malformedMessageHint},
	}
	errMalformed   error = &MalformedMessage{hint.Annotated{What: "not in the wire format", Do: malformedMessageHint}}
	errNameTooLong error = &MalformedMessage{
		hint.Annotated{What: "a name longer than the maximum name length", Do: malformedMessageHint},
	}
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

// Encode returns the encoding of a message. It is an error if that exceeds MaxPacket; a Machine's messages never do.
func Encode(message *Message) ([]byte, error) {
	b := appendNumber(make([]byte, 0, MaxPacket), 1, uint64(message.FormatVersion))
	b = appendText(b, 2, message.Cluster)
	b = appendText(b, 3, message.From.encode())
	b = appendNumber(b, 4, uint64(message.Kind))
	b = appendNumber(b, 5, uint64(message.Sequence))
	b = appendText(b, 6, message.Target)
	b = appendNumber(b, 7, protowire.EncodeBool(message.Last))
	for i := range message.Members {
		b = protowire.AppendBytes(protowire.AppendTag(b, 8, protowire.BytesType), message.Members[i].encode())
	}
	for i := range message.Signals {
		b = protowire.AppendBytes(protowire.AppendTag(b, 9, protowire.BytesType), message.Signals[i].encode())
	}
	if len(b) > MaxPacket {
		return b, errPacketTooLong
	}
	return b, nil
}

// eachField calls visit for each field, with v for a number and part for a string, bytes or a nested message.
func eachField(b []byte, visit func(field protowire.Number, v uint64, part []byte) error) error {
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
		default: // of a later format version: this one has no groups or fixed-size fields
			n = protowire.ConsumeFieldValue(field, kind, b)
			field = 0
		}
		if n < 0 {
			return errMalformed
		}
		b = b[n:]
		if err := visit(field, v, part); err != nil {
			return err
		}
	}
	return nil
}

// assign converts a number to a smaller type, and returns an error if it doesn't fit.
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

// Decode parses a datagram. A truncated one, or one longer than MaxPacket, is an error.
func Decode(b []byte) (message Message, err error) {
	if len(b) > MaxPacket {
		return message, errPacketTooLong
	}
	err = eachField(b, func(field protowire.Number, v uint64, part []byte) error {
		switch field {
		case 1:
			return assign(&message.FormatVersion, v)
		case 2:
			message.Cluster = string(part)
		case 3:
			return message.From.decode(part)
		case 4:
			return assign((*uint8)(&message.Kind), v)
		case 5:
			return assign(&message.Sequence, v)
		case 6:
			message.Target = string(part)
		case 7:
			message.Last = v != 0
		case 8:
			message.Members = append(message.Members, Record{})
			return message.Members[len(message.Members)-1].decode(part)
		case 9:
			message.Signals = append(message.Signals, SignalRecord{})
			return message.Signals[len(message.Signals)-1].decode(part)
		}
		return nil
	})
	if err == nil &&
		(len(message.From.Name) > MaxName || len(message.From.Addr) > MaxName ||
			len(message.Cluster) > MaxName || len(message.Target) > MaxName) {
		err = errNameTooLong
	}
	return message, err
}
