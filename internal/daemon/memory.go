package daemon

import "runtime/debug"

const (
	memoryShare    = 60 // percent of the process's memory for the heap; the rest is stacks, kernel buffers, C library
	garbagePercent = 50 // the heap grows by so much between collections
	minHeapBytes   = 16 << 20
)

// LimitMemory keeps the heap well inside the memory that the process may use, in bytes; 0 leaves all as it is.
func LimitMemory(bytes int64) {
	if bytes <= 0 {
		return
	}
	debug.SetGCPercent(garbagePercent)
	debug.SetMemoryLimit(max(bytes/100*memoryShare, minHeapBytes))
}
