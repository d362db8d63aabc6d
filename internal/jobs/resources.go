package jobs

// plus returns r with needs added the given number of times.
func (r Resources) plus(needs Resources, times int) Resources {
	return Resources{
		MilliCPU: r.MilliCPU + times*needs.MilliCPU,
		MemoryMB: r.MemoryMB + times*needs.MemoryMB,
		GPUs:     r.GPUs + times*needs.GPUs,
	}
}

// fitsIn reports whether no resource of r exceeds the same resource of capacity.
func (r Resources) fitsIn(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryMB <= capacity.MemoryMB && r.GPUs <= capacity.GPUs
}
