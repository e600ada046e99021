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
	clientTimeout  = 3 * time.Second // a balancer answers within one
	maxAnswerBytes = 4096

	revisionClientTimeout  = 6 * time.Second // for the call's turn, the call and its answer
	maxRevisionAnswerBytes = MaxRevision + maxAnswerBytes
)

// NoAnswer is the error that no answer came to a call, or none of a balancer's. It is not known whether the call
// was done.
type NoAnswer struct{ hint.Annotated }

const retryHint = "see that the balancer runs and that this is its second address (management); " +
	"then call again: repeating does no harm"

// Call makes one call at a balancer's address, for tools. The error is *NoAnswer.
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
	sign, text, _ := strings.Cut(line, " ")
	if !complete || sign != okSign && sign != errorSign {
		return Answer{}, &NoAnswer{
			hint.Annotated{Where: addr, What: fmt.Sprintf("answered %.200q, which is neither +OK nor -ERR", data), Cause: err,
				Do: "see that this is a balancer's second address (management), and call again: repeating does no harm"},
		}
	}
	return Answer{OK: sign == okSign, Text: text}, nil
}
