package scheduler

import "crosstide/internal/jobs"

// fits reports whether free covers needs in every resource.
func fits(free, needs jobs.Resources) bool {
	return needs.MilliCPU <= free.MilliCPU && needs.MemoryMB <= free.MemoryMB && needs.GPUs <= free.GPUs
}

func plus(a, b jobs.Resources) jobs.Resources {
	return jobs.Resources{MilliCPU: a.MilliCPU + b.MilliCPU, MemoryMB: a.MemoryMB + b.MemoryMB, GPUs: a.GPUs + b.GPUs}
}

func minus(a, b jobs.Resources) jobs.Resources {
	return jobs.Resources{MilliCPU: a.MilliCPU - b.MilliCPU, MemoryMB: a.MemoryMB - b.MemoryMB, GPUs: a.GPUs - b.GPUs}
}

// coresPerGPU is the number of cores that an accelerator counts as in comparisons of work.
const coresPerGPU = 8

// coresOf returns needs as one number of cores, with each accelerator as coresPerGPU cores.
func coresOf(needs jobs.Resources) float64 {
	return float64(needs.MilliCPU)/1000 + float64(coresPerGPU*needs.GPUs)
}
