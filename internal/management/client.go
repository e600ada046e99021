package management

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"

	"oatloft/internal/hint"
)

const (
	clientTimeout  = 3 * time.Second // a balancer answers within 1 s
	maxAnswerBytes = 4096            // maximum length of an answer

	revisionClientTimeout  = 6 * time.Second // for acquiring a slot, the call and its answer
	maxRevisionAnswerBytes = MaxRevisionLine + maxAnswerBytes
)

// NoAnswer is the error for a call without an answer, or without a valid answer of a balancer. It is unknown whether
// the call was carried out.
type NoAnswer struct{ hint.Annotated }

const retryHint = "check that the balancer is running and that this is its management address; " +
	"then call again: repeating a call is safe"

// Call makes one call to a balancer's management address. Tools use it. The error is *NoAnswer.
func Call(addr, call string) (Answer, error) {
	timeout, limit := clientTimeout, int64(maxAnswerBytes)
	if IsRevisionCall([]byte(call)) {
		timeout, limit = revisionClientTimeout, maxRevisionAnswerBytes
	}
	conn, err := net.DialTimeout("tcp", addr, clientTimeout)
	if err != nil {
		return Answer{}, &NoAnswer{hint.Annotated{Where: addr, Cause: err, Do: retryHint}}
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(timeout)) // fails only with the connection
	if _, err := io.WriteString(conn, call+lineEnd); err != nil {
		return Answer{}, &NoAnswer{hint.Annotated{Where: addr, Cause: err, Do: retryHint}}
	}
	data, err := io.ReadAll(io.LimitReader(conn, limit))
	line, complete := strings.CutSuffix(string(data), lineEnd)
	prefix, text, _ := strings.Cut(line, " ")
	if !complete || prefix != okPrefix && prefix != errorPrefix {
		return Answer{}, &NoAnswer{
			hint.Annotated{Where: addr, What: fmt.Sprintf("answered %.200q, which is neither +OK nor -ERR", data), Cause: err,
				Do: "check that this is a balancer's management address, and call again: repeating a call is safe"},
		}
	}
	return Answer{OK: prefix == okPrefix, Text: text}, nil
}
