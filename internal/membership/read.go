package membership

import (
	"log/slog"
	"net/netip"
	"time"

	"golang.org/x/time/rate"
)

const (
	// messagesPerSecond is the rate limit of one source address: three times the rate of a member's probes, updates and
	// answers.
	messagesPerSecond = 100
	// messageBurst is the burst limit in messages, enough for the answer to a Sync, which arrives all at once.
	messageBurst = 300
	// maxSources limits the number of source addresses with a limiter.
	maxSources = 4096
	// readRetryDelay is the delay after a read error, such as an ICMP error caused by an earlier message.
	readRetryDelay = time.Millisecond
)

// read reads datagrams as they arrive and drops those beyond the rate limit of their source address, so that a flooding
// sender only affects itself.
func (h *Host) read() {
	conn := h.conn.Load()
	buffer := make([]byte, MaxPacket+1) // the system truncates a longer datagram, which Decode then rejects as too long
	limits := sourceLimits{}
	for {
		n, from, err := conn.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-h.stop:
				return
			default:
				time.Sleep(readRetryDelay)
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

// receive decodes a datagram and passes it to the goroutine that owns the machine.
func (h *Host) receive(packet []byte, from netip.AddrPort) {
	message, err := Decode(packet)
	if err != nil {
		h.malformed.Add(1)
		h.limitedLog.Say(time.Now(), slog.LevelWarn, "peers-malformed", "dropped a malformed datagram",
			slog.String("from", from.String()), slog.Any("err", err))
		return
	}
	select {
	case h.messages <- Received{Message: message, Size: len(packet)}:
	default:
		h.Dropped.Full.Add(1)
	}
}

// sourceLimits limits the rate of datagrams by source address.
type sourceLimits map[netip.AddrPort]*rate.Limiter

func (s sourceLimits) allow(from netip.AddrPort) bool {
	limiter := s[from]
	if limiter == nil {
		if len(s) >= maxSources { // most are probably forged
			clear(s)
		}
		limiter = rate.NewLimiter(messagesPerSecond, messageBurst)
		s[from] = limiter
	}
	return limiter.Allow()
}
