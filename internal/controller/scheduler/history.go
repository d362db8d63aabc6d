package scheduler

import (
	"maps"

	"crosstide/internal/jobs"
)

// taskHistory holds what earlier runs of a task imply for its next placement. It covers one term, and the tasks of
// active jobs only.
type taskHistory struct {
	// avoid maps a task to the worker on which it last failed or was refused, or from which it was last moved.
	avoid map[jobs.TaskRef]string
	// moves counts how often a task was moved, see maxMovesPerTask.
	moves map[jobs.TaskRef]int
}

func newTaskHistory() taskHistory {
	return taskHistory{avoid: map[jobs.TaskRef]string{}, moves: map[jobs.TaskRef]int{}}
}

// forgetJob drops the tasks of a job.
func (h *taskHistory) forgetJob(id string) {
	maps.DeleteFunc(h.avoid, func(task jobs.TaskRef, _ string) bool { return task.Job == id })
	maps.DeleteFunc(h.moves, func(task jobs.TaskRef, _ int) bool { return task.Job == id })
}
