package clientstore

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"oatloft/internal/admission"
	"oatloft/internal/hint"
)

const (
	pageBytes     = 4096                        // page size of the database, and size of the trailer
	magic         = "oatloft known clients 1\n" // format name and version
	checksumAt    = pageBytes - 8               // offset in the trailer, in bytes
	clientBytes   = 33                          // id (8), network (2 x 8), age (8), tenure (1)
	maxClientAge  = 10 * 365 * 24 * time.Hour
	tenuredClient = 1 // value of the tenure byte
)

// Indexes of the trailer's numbers, which follow the magic in this order, 8 bytes each.
const (
	trailerCreatedAt = iota // Unix milliseconds
	trailerSeed
	trailerCount // number of clients
	trailerBody  // size of the database in bytes
)

// appendTrailer appends the last page of the file: the magic, the numbers and, at its end, the checksum of the database
// and of the page up to there.
func appendTrailer(dst, body []byte, s Snapshot) []byte {
	trailer := make([]byte, pageBytes)
	n := copy(trailer, magic)
	numbers := [...]uint64{
		trailerCreatedAt: uint64(s.CreatedAt.UnixMilli()),
		trailerSeed:      s.Seed,
		trailerCount:     uint64(len(s.Clients)),
		trailerBody:      uint64(len(body)),
	}
	for i, number := range numbers {
		binary.BigEndian.PutUint64(trailer[n+8*i:], number)
	}
	binary.BigEndian.PutUint64(trailer[checksumAt:], checksum(body, trailer[:checksumAt]))
	return append(dst, trailer...)
}

func checksum(parts ...[]byte) uint64 {
	digest := xxhash.New()
	for _, part := range parts {
		_, _ = digest.Write(part) // cannot fail
	}
	return digest.Sum64()
}

// checkTrailer validates and reads the trailer of a file and returns the number of clients.
func (s *Snapshot) checkTrailer(file []byte) (int, error) {
	if len(file) < 2*pageBytes || len(file)%pageBytes != 0 {
		return 0, &DamagedFile{hint.Annotated{What: "truncated: not a complete file of known clients", Do: damagedFileHint}}
	}
	body, trailer := file[:len(file)-pageBytes], file[len(file)-pageBytes:]
	if string(trailer[:len(magic)]) != magic {
		return 0, &DamagedFile{
			hint.Annotated{What: "not a file of known clients, or one of another version", Do: damagedFileHint},
		}
	}
	if checksum(body, trailer[:checksumAt]) != binary.BigEndian.Uint64(trailer[checksumAt:]) {
		return 0, &DamagedFile{hint.Annotated{What: "damaged: the checksum doesn't fit", Do: damagedFileHint}}
	}
	number := func(i int) uint64 { return binary.BigEndian.Uint64(trailer[len(magic)+8*i:]) }
	if number(trailerBody) != uint64(len(body)) || number(trailerCount) > uint64(len(body)/clientBytes) {
		return 0, &DamagedFile{hint.Annotated{What: "damaged: inconsistent lengths in the trailer", Do: damagedFileHint}}
	}
	s.CreatedAt, s.Seed = time.UnixMilli(int64(number(trailerCreatedAt))), number(trailerSeed)
	return int(number(trailerCount)), nil
}

func appendClient(dst []byte, c admission.KnownClient) []byte {
	for _, number := range []uint64{c.ID, c.Network[0], c.Network[1], uint64(c.Age)} {
		dst = binary.BigEndian.AppendUint64(dst, number)
	}
	if c.Tenured {
		return append(dst, tenuredClient)
	}
	return append(dst, 0)
}

func parseClient(b []byte) (c admission.KnownClient, err error) {
	if len(b) != clientBytes || b[clientBytes-1] > tenuredClient {
		return c, &DamagedFile{hint.Annotated{What: "contains a malformed client record", Do: damagedFileHint}}
	}
	number := func(i int) uint64 { return binary.BigEndian.Uint64(b[8*i:]) }
	c = admission.KnownClient{
		ID:      number(0),
		Network: [2]uint64{number(1), number(2)},
		Age:     time.Duration(number(3)),
		Tenured: b[clientBytes-1] == tenuredClient,
	}
	if c.Age < 0 || c.Age > maxClientAge {
		return c, &DamagedFile{hint.Annotated{What: "contains a client with an impossible age", Do: damagedFileHint}}
	}
	return c, nil
}
