package management

import (
	"fmt"
	"io"
	"net"
	"strings"
	"time"
)

const (
	askWait   = 3 * time.Second // a balancer answers within one
	answerMax = 4096
)

// Ask makes one call at a balancer's address, for tools.
func Ask(addr, call string) (Answer, error) {
	c, err := net.DialTimeout("tcp", addr, askWait)
	if err != nil {
		return Answer{}, err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(askWait))
	if _, err := io.WriteString(c, call+"\r\n"); err != nil {
		return Answer{}, err
	}
	data, err := io.ReadAll(io.LimitReader(c, answerMax))
	line, whole := strings.CutSuffix(string(data), "\r\n")
	sign, text, _ := strings.Cut(line, " ")
	if !whole || sign != "+OK" && sign != "-ERR" {
		return Answer{}, fmt.Errorf("%s answered %q, which is neither +OK nor -ERR: %v", addr, data, err)
	}
	return Answer{sign == "+OK", text}, nil
}
