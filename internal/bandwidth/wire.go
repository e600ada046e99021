package bandwidth

import (
	"fmt"
	"math"

	"google.golang.org/protobuf/encoding/protowire"

	"oatloft/internal/hint"
)

// Requests and responses use protobuf's wire format with the schema below. A truncated message is never accepted as a
// shorter one, nor a figure that no balancer can mean.
//
//	message Request   { uint32 version = 1; uint64 number = 2; uint64 applied = 3; repeated LinkRequest links = 4;
//	                    uint32 end = 15; }
//	message LinkRequest { string link = 1; double granted_rate = 2; double safe_rate = 3; repeated Demand demands = 4; }
//	message Demand    { string class = 1; string tenant = 2; float rate = 3; uint32 waiting = 4; }
//	message Response  { uint32 version = 1; uint64 number = 2; repeated Grant links = 4; uint32 end = 15; }
//	message Grant     { string link = 1; double rate = 2; repeated FlowRate flows = 3;
//	                    repeated Guarantee guarantees = 4; repeated string saturated = 5; }
//	message FlowRate  { string class = 1; string tenant = 2; float rate = 3; }
//	message Guarantee { string class = 1; float rate = 2; }
//
// Figures that the sum over a link depends on are sent as doubles, others as floats with seven digits. Zero figures and
// empty strings are omitted. Unknown fields are skipped, so that a later version may add some; a version that changes
// the meaning of these fields raises the version number. The field end holds the number of links plus one, so that a
// message that was cut between two fields is recognized as truncated.

const (
	messageVersion  = 1
	maxMessageBytes = 1 << 20 // bytes of a message
	maxEntries      = 1 << 14 // of all length-delimited fields in a message
)

// Malformed is a message that no balancer of this version would send. It is handled as if it had been lost.
type Malformed struct{ hint.Annotated }

// versionHint is the remedy for all malformed messages.
const versionHint = "run compatible versions at all balancers; links are granted again once they do"

var (
	errVersion  error = &Malformed{hint.Annotated{What: "unsupported message version", Do: versionHint}}
	errCorrupt  error = &Malformed{hint.Annotated{What: "message truncated, or not in the wire format", Do: versionHint}}
	errTooLarge error = &Malformed{hint.Annotated{What: "message too large", Do: versionHint}}
	errValue    error = &Malformed{hint.Annotated{What: "invalid value", Do: versionHint}}
)

// appendText appends a string, omitted if it is empty. The three functions below omit zeros.
func appendText(b []byte, field protowire.Number, s string) []byte {
	if s == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), s)
}

func appendUint(b []byte, field protowire.Number, v uint64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), v)
}

func appendDouble(b []byte, field protowire.Number, v float64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed64(protowire.AppendTag(b, field, protowire.Fixed64Type), math.Float64bits(v))
}

func appendFloat(b []byte, field protowire.Number, v float64) []byte {
	if v == 0 {
		return b
	}
	return protowire.AppendFixed32(protowire.AppendTag(b, field, protowire.Fixed32Type), math.Float32bits(float32(v)))
}

// appendMessage appends a nested message. Its length is known only after encoding; where the length takes two bytes or
// more, the content is moved.
func appendMessage(b []byte, field protowire.Number, write func([]byte) []byte) []byte {
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

// encode returns the request in the wire format.
func (request *Request) encode() []byte {
	b := appendUint(make([]byte, 0, 1024), 1, messageVersion)
	b = appendUint(appendUint(b, 2, request.Number), 3, request.Applied)
	for _, l := range request.Links {
		b = appendMessage(b, 4, func(b []byte) []byte {
			b = appendDouble(appendDouble(appendText(b, 1, l.Link), 2, l.GrantedRate), 3, l.SafeRate)
			for _, d := range l.Demands {
				b = appendMessage(b, 4, func(b []byte) []byte {
					return appendUint(appendFloat(appendText(appendText(b, 1, d.Class), 2, d.Tenant), 3, d.Rate),
						4, uint64(max(0, d.Waiting)))
				})
			}
			return b
		})
	}
	return appendUint(b, 15, uint64(len(request.Links))+1)
}

// encode returns the response in the wire format.
func (response *Response) encode() []byte {
	b := appendUint(appendUint(make([]byte, 0, 1024), 1, messageVersion), 2, response.Number)
	for _, l := range response.Links {
		b = appendMessage(b, 4, func(b []byte) []byte {
			b = appendDouble(appendText(b, 1, l.Link), 2, l.Rate)
			for _, x := range l.Flows {
				b = appendMessage(b, 3, func(b []byte) []byte {
					return appendFloat(appendText(appendText(b, 1, x.Class), 2, x.Tenant), 3, x.Rate)
				})
			}
			for _, x := range l.Guarantees {
				b = appendMessage(b, 4, func(b []byte) []byte { return appendFloat(appendText(b, 1, x.Class), 2, x.Rate) })
			}
			for _, x := range l.Saturated {
				b = protowire.AppendString(protowire.AppendTag(b, 5, protowire.BytesType), x)
			}
			return b
		})
	}
	return appendUint(b, 15, uint64(len(response.Links))+1)
}

// field is one field of a message: a number, a rate, or length-delimited bytes.
type field struct {
	number protowire.Number
	kind   protowire.Type
	varint uint64
	bytes  []byte
	float  float64
}

// decoder walks one message; its limit is on all length-delimited fields together.
type decoder struct{ lengthDelimited int }

// eachField calls visit for each field of a message.
func (d *decoder) eachField(b []byte, visit func(f field) error) error {
	for len(b) > 0 {
		number, kind, n := protowire.ConsumeTag(b)
		if n < 0 {
			return errCorrupt
		}
		b = b[n:]
		f := field{number: number, kind: kind}
		switch kind {
		case protowire.VarintType:
			f.varint, n = protowire.ConsumeVarint(b)
		case protowire.BytesType:
			f.bytes, n = protowire.ConsumeBytes(b)
			if d.lengthDelimited++; d.lengthDelimited > maxEntries {
				return errTooLarge
			}
		case protowire.Fixed64Type:
			var v uint64
			v, n = protowire.ConsumeFixed64(b)
			f.float = math.Float64frombits(v)
		case protowire.Fixed32Type:
			var v uint32
			v, n = protowire.ConsumeFixed32(b)
			f.float = float64(math.Float32frombits(v))
		default: // no version has groups
			n = -1
		}
		if n < 0 {
			return errCorrupt
		}
		b = b[n:]
		if err := visit(f); err != nil {
			return err
		}
	}
	return nil
}

// rate stores a rate, text a string, integer a number. A field number with another wire type is malformed.
func (f *field) rate(target *float64) error {
	if f.kind != protowire.Fixed64Type && f.kind != protowire.Fixed32Type || !(f.float >= 0) || math.IsInf(f.float, 0) {
		return &Malformed{hint.Annotated{Where: fmt.Sprintf("field %d", f.number), Cause: errValue, Do: versionHint}}
	}
	*target = f.float
	return nil
}

func (f *field) text(target *string) error {
	if f.kind != protowire.BytesType {
		return errCorrupt
	}
	*target = string(f.bytes)
	return nil
}

func (f *field) integer(target *uint64, most uint64) error {
	if f.kind != protowire.VarintType || f.varint > most {
		return &Malformed{hint.Annotated{Where: fmt.Sprintf("field %d", f.number), Cause: errValue, Do: versionHint}}
	}
	*target = f.varint
	return nil
}

// envelope decodes the fields that both messages have, and calls link for each link.
func (d *decoder) envelope(b []byte, number, applied *uint64, link func([]byte) error) error {
	if len(b) > maxMessageBytes {
		return errTooLarge
	}
	var version, linkCount, endMark uint64
	err := d.eachField(b, func(f field) error {
		if version == 0 && f.number != 1 {
			return errVersion
		}
		switch f.number {
		case 1:
			if err := f.integer(&version, math.MaxUint32); err != nil || version != messageVersion {
				return errVersion
			}
		case 2:
			return f.integer(number, math.MaxUint64)
		case 3:
			return f.integer(applied, math.MaxUint64)
		case 4:
			if linkCount++; f.kind != protowire.BytesType {
				return errCorrupt
			}
			return link(f.bytes)
		case 15:
			return f.integer(&endMark, maxEntries+1)
		}
		return nil
	})
	switch {
	case err != nil:
		return err
	case version != messageVersion:
		return errVersion
	case endMark != linkCount+1:
		return errCorrupt
	}
	return nil
}

// decode reads a request. After an error its content is undefined.
func (request *Request) decode(b []byte) error {
	var d decoder
	return d.envelope(b, &request.Number, &request.Applied, func(b []byte) error {
		var l LinkRequest
		err := d.eachField(b, func(f field) error {
			switch f.number {
			case 1:
				return f.text(&l.Link)
			case 2:
				return f.rate(&l.GrantedRate)
			case 3:
				return f.rate(&l.SafeRate)
			case 4:
				var demand Demand
				var waiting uint64
				err := d.eachField(f.bytes, func(f field) error {
					switch f.number {
					case 1:
						return f.text(&demand.Class)
					case 2:
						return f.text(&demand.Tenant)
					case 3:
						return f.rate(&demand.Rate)
					case 4:
						return f.integer(&waiting, math.MaxInt32)
					}
					return nil
				})
				demand.Waiting = int(waiting)
				l.Demands = append(l.Demands, demand)
				return err
			}
			return nil
		})
		request.Links = append(request.Links, l)
		return err
	})
}

// decode reads a response. After an error its content is undefined.
func (response *Response) decode(b []byte) error {
	var d decoder
	var unused uint64
	return d.envelope(b, &response.Number, &unused, func(b []byte) error {
		var l Grant
		err := d.eachField(b, func(f field) error {
			switch f.number {
			case 1:
				return f.text(&l.Link)
			case 2:
				return f.rate(&l.Rate)
			case 3:
				var x FlowRate
				err := d.eachField(f.bytes, func(f field) error {
					switch f.number {
					case 1:
						return f.text(&x.Class)
					case 2:
						return f.text(&x.Tenant)
					case 3:
						return f.rate(&x.Rate)
					}
					return nil
				})
				l.Flows = append(l.Flows, x)
				return err
			case 4:
				var x Guarantee
				err := d.eachField(f.bytes, func(f field) error {
					switch f.number {
					case 1:
						return f.text(&x.Class)
					case 2:
						return f.rate(&x.Rate)
					}
					return nil
				})
				l.Guarantees = append(l.Guarantees, x)
				return err
			case 5:
				var class string
				err := f.text(&class)
				l.Saturated = append(l.Saturated, class)
				return err
			}
			return nil
		})
		response.Links = append(response.Links, l)
		return err
	})
}
