package admission

// BasicLimits holds the limits that apply where admission is not configured. They bound the process's descriptors and
// its memory, and are the same for every client. Limit is the process's descriptor limit.
type BasicLimits struct{ Limit int }

const (
	basicReservedDescriptors = 48  // descriptors reserved for everything but clients and attempts
	basicFreeDivisor         = 8   // silent clients are closed once less than 1/8 of the limit is free beyond the reserve
	basicMaxMemoryShare      = 0.8 // share of the memory limit above which requests are rejected
)

// MayOpen reports whether another connection may be accepted or dialed while open descriptors are in use.
func (b BasicLimits) MayOpen(open int) bool { return open <= b.Limit-basicReservedDescriptors/2 }

// MayAdmit reports whether a request may be admitted.
func (b BasicLimits) MayAdmit(open int, memoryShort bool) bool {
	return !memoryShort && open <= b.Limit-basicReservedDescriptors
}

// ExcessClients returns how many silent clients should be closed. open must not count clients that are being closed
// already.
func (b BasicLimits) ExcessClients(open int) int {
	return max(0, open-(b.Limit-basicReservedDescriptors-b.Limit/basicFreeDivisor))
}

// MissingDescriptors returns how many descriptors should be freed at once, so that requests can still be admitted
// while the clients that are being closed finish.
func (b BasicLimits) MissingDescriptors(open int) int {
	return max(0, open-(b.Limit-basicReservedDescriptors-b.Limit/(2*basicFreeDivisor)))
}

// MemoryScarce reports whether used bytes are too many for limit. A limit of 0 means no limit.
func (b BasicLimits) MemoryScarce(used, limit int64) bool {
	return limit > 0 && float64(used) > basicMaxMemoryShare*float64(limit)
}
