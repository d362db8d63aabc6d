package jobs

// plus returns r and times as much as needs.
func (r Resources) plus(needs Resources, times int) Resources {
	return Resources{
		MilliCPU: r.MilliCPU + times*needs.MilliCPU,
		MemoryMB: r.MemoryMB + times*needs.MemoryMB,
		GPUs:     r.GPUs + times*needs.GPUs,
	}
}

// fitsIn reports whether r is no more than capacity in any kind.
func (r Resources) fitsIn(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryMB <= capacity.MemoryMB && r.GPUs <= capacity.GPUs
}
