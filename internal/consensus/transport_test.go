package consensus

import (
	"bytes"
	"testing"
)

// TestMalformedCalls decodes calls with names of any encoded length and any size: a truncated call must be refused. An
// overflow of the length, which is one byte, once made the process panic.
func TestMalformedCalls(t *testing.T) {
	tr := newTransport(&Config{Cluster: "c", Name: "m"}, nil)
	header := tr.packCall(nil)[:callHeaderBytes]
	for _, length := range []byte{0, 1, 246, 247, 255} {
		call := bytes.Clone(header)
		call[callHeaderBytes-1] = length
		for n := range 300 {
			from, body, err := tr.unpackCall(append(bytes.Clone(call), make([]byte, n)...))
			if complete := n >= int(length); complete != (err == nil) ||
				complete && (len(from) != int(length) || len(body) != n-int(length)) {
				t.Fatalf("name of %d bytes, %d bytes left: decoded to %d and %d bytes, %v", length, n, len(from), len(body), err)
			}
		}
	}
	if _, _, err := tr.unpackCall(header[:3]); err == nil {
		t.Error("truncated header is accepted")
	}
}
