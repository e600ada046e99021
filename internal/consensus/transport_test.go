package consensus

import (
	"bytes"
	"testing"
)

// A call whose name is longer than names are is refused, or read whole: its length once overflowed a byte, and
// ended the process.
func TestMalformedCalls(t *testing.T) {
	w := newTransport(&Config{Cluster: "c", Name: "m"}, nil)
	header := w.packCall(nil)[:callHeaderBytes]
	for _, length := range []byte{0, 1, 246, 247, 255} {
		call := bytes.Clone(header)
		call[callHeaderBytes-1] = length
		for n := range 300 {
			from, body, err := w.unpackCall(append(bytes.Clone(call), make([]byte, n)...))
			if whole := n >= int(length); whole != (err == nil) ||
				whole && (len(from) != int(length) || len(body) != n-int(length)) {
				t.Fatalf("name of %d bytes, %d there: %d and %d bytes, %v", length, n, len(from), len(body), err)
			}
		}
	}
	if _, _, err := w.unpackCall(header[:3]); err == nil {
		t.Error("half a header is read")
	}
}
