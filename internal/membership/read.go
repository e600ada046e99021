package membership

import (
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/time/rate"
)

const (
	// messagesPerSecond are taken from one address: three times what a member's probes, updates and answers come to.
	messagesPerSecond = 100
	// messageBurst is enough for the answer to a Sync, which comes at once.
	messageBurst = 300
	// maxSources bounds how many addresses are remembered.
	maxSources = 4096
	// readRetry is waited after an error of the socket, such as an ICMP error of an earlier message.
	readRetry = time.Millisecond
)

// read reads datagrams as fast as they come, and passes on no more than each address may send: a sender that floods
// harms only itself.
func (h *Host) read() {
	conn := h.conn.Load()
	buffer := make([]byte, MaxPacket+1) // a longer datagram is cut by the system, and seen to be too long
	limits := sourceLimits{}
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-h.stop:
				return
			default:
				time.Sleep(readRetry)
				continue
			}
		}
		if !limits.allow(from) {
			h.Dropped.Flooding.Add(1)
			continue
		}
		h.receive(buffer[:n], from)
	}
}

// receive passes a datagram on to the goroutine that owns the machine.
func (h *Host) receive(packet []byte, from netip.AddrPort) {
	message, err := Decode(packet)
	if err != nil {
		h.malformed.Add(1)
		h.limitedLog.Say(time.Now(), slog.LevelWarn, "peers-malformed", "a datagram that is no message",
			slog.String("from", from.String()), slog.Any("err", err))
		return
	}
	select {
	case h.messages <- Received{Message: message, Size: len(packet)}:
	default:
		h.Dropped.Full.Add(1)
	}
}

// sourceLimits limits how many datagrams are taken from each address.
type sourceLimits map[netip.AddrPort]*rate.Limiter

func (s sourceLimits) allow(from netip.AddrPort) bool {
	limiter := s[from]
	if limiter == nil {
		if len(s) >= maxSources { // most likely forged ones
			clear(s)
		}
		limiter = rate.NewLimiter(messagesPerSecond, messageBurst)
		s[from] = limiter
	}
	return limiter.Allow()
}
