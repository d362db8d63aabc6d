package daemon

import "runtime/debug"

const (
	heapPercent  = 60       // of the process's memory; the rest is for stacks, kernel buffers and the C library
	gcPercent    = 50       // by which the heap grows between collections
	minHeapBytes = 16 << 20 // a lower limit would make the collector run continuously
)

// LimitMemory keeps the heap well below bytes, the memory limit of the process. 0 means no limit.
func LimitMemory(bytes int64) {
	if bytes <= 0 {
		return
	}
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(max(bytes/100*heapPercent, minHeapBytes))
}
