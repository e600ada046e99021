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
	askWait   = 3 * time.Second // a balancer answers within one
	answerMax = 4096

	askRevisionWait   = 6 * time.Second // within its turn, its call and its answer
	answerRevisionMax = MaxRevision + answerMax
)

const unheard = "see that the balancer runs and that this is its second address (management); then call again: repeating does no harm"

// Ask makes one call at a balancer's address, for tools. The error is that no answer came, or none of a balancer's.
func Ask(addr, call string) (Answer, error) {
	wait, most := askWait, int64(answerMax)
	if About([]byte(call)) {
		wait, most = askRevisionWait, answerRevisionMax
	}
	c, err := net.DialTimeout("tcp", addr, askWait)
	if err != nil {
		return Answer{}, &Unheard{hint.Annotated{Where: addr, Cause: err, Do: unheard}}
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(wait))
	if _, err := io.WriteString(c, call+"\r\n"); err != nil {
		return Answer{}, &Unheard{hint.Annotated{Where: addr, Cause: err, Do: unheard}}
	}
	data, err := io.ReadAll(io.LimitReader(c, most))
	line, whole := strings.CutSuffix(string(data), "\r\n")
	sign, text, _ := strings.Cut(line, " ")
	if !whole || sign != "+OK" && sign != "-ERR" {
		return Answer{}, &Unheard{hint.Annotated{Where: addr, What: fmt.Sprintf("answered %.200q, which is neither +OK nor -ERR", data), Cause: err,
			Do: "see that this is a balancer's second address (management), and call again: repeating does no harm"}}
	}
	return Answer{sign == "+OK", text}, nil
}
