package peers

import (
	"errors"
	"fmt"
	"sync"

	"github.com/fxamacker/cbor/v2"
)

// A message travels as CBOR, arrays without names. Nothing that comes from outside may ask for much: elements, nesting
// and lengths are bounded before anything is kept. Both are made when they are first needed: most balancers never do.
var (
	encoder = sync.OnceValue(func() cbor.EncMode { return must(cbor.EncOptions{Sort: cbor.SortNone}.EncMode()) })
	decoder = sync.OnceValue(func() cbor.DecMode {
		return must(cbor.DecOptions{MaxArrayElements: 512, MaxMapPairs: 16, MaxNestedLevels: 6,
			IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden}.DecMode())
	})
)

func must[T any](v T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return v
}

var errTooLong = errors.New("longer than a packet may be")

// Encode writes a message. One longer than the bound is an error: the machine keeps its messages within it.
func Encode(g *Message) ([]byte, error) {
	b, err := encoder().Marshal(g)
	if err == nil && len(b) > MaxPacket {
		err = fmt.Errorf("%w: %d bytes", errTooLong, len(b))
	}
	return b, err
}

// Decode reads a datagram. What is not whole, holds more than a message, or is longer than a packet may be, is an error.
func Decode(b []byte) (g Message, err error) {
	if len(b) > MaxPacket {
		return g, errTooLong
	}
	err = decoder().Unmarshal(b, &g)
	if err == nil && (len(g.From.Name) > MaxName || len(g.From.Addr) > MaxName || len(g.Cluster) > MaxName || len(g.Target) > MaxName) {
		err = errors.New("a name longer than names are")
	}
	return g, err
}
