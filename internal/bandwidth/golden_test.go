package bandwidth

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"oatloft/internal/golden"
)

// TestMessageEncoding checks that messages to and from balancers of another version keep their encoding.
func TestMessageEncoding(t *testing.T) {
	var request, decodedRequest Request
	golden.Fill(&request)
	golden.Check(t, "demand.bin", request.encode())
	if err := decodedRequest.decode(golden.Read(t, "demand.bin")); err != nil || cmp.Diff(request, decodedRequest) != "" {
		t.Error(err, cmp.Diff(request, decodedRequest))
	}
	var response, decodedResponse Response
	golden.Fill(&response)
	golden.Check(t, "grants.bin", response.encode())
	if err := decodedResponse.decode(golden.Read(t, "grants.bin")); err != nil ||
		cmp.Diff(response, decodedResponse) != "" {
		t.Error(err, cmp.Diff(response, decodedResponse))
	}
}
