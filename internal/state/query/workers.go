package query

import "crosstide/internal/state"

// WorkerView is a worker with its used capacity.
type WorkerView struct {
	state.Worker
	RunCount  int `json:"tickets"`
	UsedCores int `json:"used_cores"`
	UsedGPUs  int `json:"used_gpus"`
}

// Workers returns all workers, sorted by name.
func Workers(s *state.State) []WorkerView {
	workers := make([]WorkerView, 0, len(s.Workers))
	for _, name := range s.WorkerNames() {
		used := s.UsageOf(name)
		workers = append(workers, WorkerView{
			Worker: *s.Workers[name], RunCount: len(used.Handles), UsedCores: used.Cores, UsedGPUs: used.GPUs,
		})
	}
	return workers
}
