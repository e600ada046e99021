package proxy

import (
	"runtime"
	"runtime/debug"
	"runtime/metrics"
)

// Share of the configured memory at which the runtime collects garbage harder.
const (
	memoryLimitTenths = 6
	tenths            = 10
)

// heapBytes returns the memory that the Go runtime holds, in bytes.
func heapBytes() uint64 {
	sample := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
	metrics.Read(sample)
	return sample[0].Value.Uint64() - sample[1].Value.Uint64()
}

// SetLimits fits the Go runtime to the machine that the configuration describes.
func (c Config) SetLimits() {
	runtime.GOMAXPROCS(max(1, int(c.Cores+0.5)))
	if c.MemoryMB > 0 {
		debug.SetMemoryLimit(int64(c.MemoryMB) << 20 * memoryLimitTenths / tenths)
	}
}
