package scheduler

import "crosstide/internal/jobs"

// taskHistory is what earlier runs of tasks say about where to place them next. It covers one term, and the tasks of
// active jobs only.
type taskHistory struct {
	// avoid has the worker on which a task failed or was refused, or from which it was moved, last.
	avoid map[jobs.TaskRef]string
	// moves is how often a task was moved, see maxMovesPerTask.
	moves map[jobs.TaskRef]int
}

func newTaskHistory() taskHistory {
	return taskHistory{avoid: map[jobs.TaskRef]string{}, moves: map[jobs.TaskRef]int{}}
}

// forgetJob drops the tasks of a job.
func (h *taskHistory) forgetJob(id string) {
	for ref := range h.avoid {
		if ref.Job == id {
			delete(h.avoid, ref)
		}
	}
	for ref := range h.moves {
		if ref.Job == id {
			delete(h.moves, ref)
		}
	}
}
