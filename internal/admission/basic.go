package admission

// Basic is what holds where no admission is configured: a count of descriptors and the process's memory, the same
// for everybody. Its figures are in descriptors.
type Basic struct{ Limit int }

const (
	basicReserve = 48 // kept for what is not a terminal or a routed task
	basicCrowd   = 8  // the silent make room once less than this part of the limit is free
	basicMemory  = 0.8
)

// MayOpen tells whether another connection may be taken in, or dialed, while so many are open.
func (b Basic) MayOpen(open int) bool { return open <= b.Limit-basicReserve/2 }

// MayTake tells whether a transaction may be picked up.
func (b Basic) MayTake(open int, memoryShort bool) bool {
	return !memoryShort && open <= b.Limit-basicReserve
}

// Crowded is how many silent terminals should be sent off, open being without those that were sent off already.
func (b Basic) Crowded(open int) int { return max(0, open-(b.Limit-basicReserve-b.Limit/basicCrowd)) }

// Lacking is how many descriptors should be freed at once, so that some are left for transactions while those who
// were sent off end.
func (b Basic) Lacking(open int) int {
	return max(0, open-(b.Limit-basicReserve-b.Limit/(2*basicCrowd)))
}

// MemoryShort tells whether used bytes are too many of limit; a limit of 0 is none.
func (b Basic) MemoryShort(used, limit int64) bool {
	return limit > 0 && float64(used) > basicMemory*float64(limit)
}
