package query

import "crosstide/internal/state"

// WorkerView is a worker with what its handles take.
type WorkerView struct {
	state.Worker
	RunCount  int `json:"tickets"`
	UsedCores int `json:"used_cores"`
	UsedGPUs  int `json:"used_gpus"`
}

// Workers returns every worker in order of names.
func Workers(s *state.State) []WorkerView {
	out := make([]WorkerView, 0, len(s.Workers))
	for _, name := range s.WorkerNames() {
		used := s.UsageOf(name)
		out = append(out, WorkerView{
			Worker: *s.Workers[name], RunCount: len(used.Handles), UsedCores: used.Cores, UsedGPUs: used.GPUs,
		})
	}
	return out
}
