package proxy

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
)

// The Go runtime's soft memory limit as a share of the configured memory, in tenths. Above it, the garbage collector
// runs more often.
const (
	memoryLimitTenths = 6
	tenths            = 10
)

// heapBytes returns the memory that the Go runtime has mapped and not released to the system, in bytes.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64() - sample[1].Value.Uint64()
}

// SetLimits sets the Go runtime's processor and memory limits from the configuration.
func (c Config) SetLimits() {
	runtime.GOMAXPROCS(max(1, int(c.Cores+0.5)))
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * memoryLimitTenths / tenths)
	}
}
