package clientstore

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"oatloft/internal/admission"
	"oatloft/internal/hint"
)

const (
	pageBytes     = 4096 // of the database, and of the trailer
	magic         = "oatloft known clients 1\n"
	checksumAt    = pageBytes - 8 // in the trailer
	clientBytes   = 33            // identity, network (2 x 8), age, tenure
	maxClientAge  = 10 * 365 * 24 * time.Hour
	tenuredClient = 1
)

// Numbers of the trailer, of 8 bytes each, in this order behind the magic.
const (
	trailerCreatedAt = iota // Unix milliseconds
	trailerSeed
	trailerCount // of clients
	trailerBody  // bytes of the database
)

// appendTrailer appends the page that closes the file: the magic, the numbers, and at its end the checksum of the
// database and of the page so far.
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
		_, _ = digest.Write(part) // never fails
	}
	return digest.Sum64()
}

// checkTrailer reads the trailer of a file and returns the number of clients.
func (s *Snapshot) checkTrailer(file []byte) (int, error) {
	if len(file) < 2*pageBytes || len(file)%pageBytes != 0 {
		return 0, &DamagedFile{hint.Annotated{What: "not a whole file of known clients", Do: damagedFileHint}}
	}
	body, trailer := file[:len(file)-pageBytes], file[len(file)-pageBytes:]
	if string(trailer[:len(magic)]) != magic {
		return 0, &DamagedFile{
			hint.Annotated{What: "not a file of known clients, or of another version", Do: damagedFileHint},
		}
	}
	if checksum(body, trailer[:checksumAt]) != binary.BigEndian.Uint64(trailer[checksumAt:]) {
		return 0, &DamagedFile{hint.Annotated{What: "damaged: the checksum doesn't fit", Do: damagedFileHint}}
	}
	number := func(i int) uint64 { return binary.BigEndian.Uint64(trailer[len(magic)+8*i:]) }
	if number(trailerBody) != uint64(len(body)) || number(trailerCount) > uint64(len(body)/clientBytes) {
		return 0, &DamagedFile{hint.Annotated{What: "damaged: its lengths don't fit", Do: damagedFileHint}}
	}
	s.CreatedAt, s.Seed = time.UnixMilli(int64(number(trailerCreatedAt))), number(trailerSeed)
	return int(number(trailerCount)), nil
}

func appendClient(dst []byte, c admission.KnownClient) []byte {
	for _, number := range []uint64{c.ID, c.Net[0], c.Net[1], uint64(c.Age)} {
		dst = binary.BigEndian.AppendUint64(dst, number)
	}
	if c.Tenured {
		return append(dst, tenuredClient)
	}
	return append(dst, 0)
}

func parseClient(b []byte) (c admission.KnownClient, err error) {
	if len(b) != clientBytes || b[clientBytes-1] > tenuredClient {
		return c, &DamagedFile{hint.Annotated{What: "holds a client in an unknown form", Do: damagedFileHint}}
	}
	number := func(i int) uint64 { return binary.BigEndian.Uint64(b[8*i:]) }
	c = admission.KnownClient{
		ID:      number(0),
		Net:     [2]uint64{number(1), number(2)},
		Age:     time.Duration(number(3)),
		Tenured: b[clientBytes-1] == tenuredClient,
	}
	if c.Age < 0 || c.Age > maxClientAge {
		return c, &DamagedFile{hint.Annotated{What: "holds a client of an impossible age", Do: damagedFileHint}}
	}
	return c, nil
}
