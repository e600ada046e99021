package consensus

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// withChecksum returns value preceded by an 8-byte checksum of key and value.
func withChecksum(key, value []byte) []byte {
	d := xxhash.New()
	_, _ = d.Write(key)
	_, _ = d.Write(value)
	return append(binary.BigEndian.AppendUint64(make([]byte, 0, 8+len(value)), d.Sum64()), value...)
}

// verifyChecksum returns the value in b, and whether its checksum matches.
func verifyChecksum(key, b []byte) ([]byte, bool) {
	if len(b) < 8 {
		return nil, false
	}
	d := xxhash.New()
	_, _ = d.Write(key)
	_, _ = d.Write(b[8:])
	return b[8:], d.Sum64() == binary.BigEndian.Uint64(b)
}

// chainChecksum returns the checksum of an entry, chained to that of the entry before it.
func chainChecksum(before, index uint64, body []byte) uint64 {
	var b [16]byte
	binary.BigEndian.PutUint64(b[:], before)
	binary.BigEndian.PutUint64(b[8:], index)
	d := xxhash.New()
	_, _ = d.Write(b[:])
	_, _ = d.Write(body)
	return d.Sum64()
}
