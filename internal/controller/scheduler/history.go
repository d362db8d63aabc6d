package scheduler

import (
	"maps"

	"crosstide/internal/jobs"
)

// taskHistory holds the data about earlier runs of a task that affect its next placement. It covers only one term and
// the tasks of active jobs.
type taskHistory struct {
	// avoid maps a task to the worker on which it last failed or was refused, or from which it was last moved.
	avoid map[jobs.TaskRef]string
	// moves counts how often a task was moved, see maxMovesPerTask.
	moves map[jobs.TaskRef]int
}

func newTaskHistory() taskHistory {
	return taskHistory{avoid: map[jobs.TaskRef]string{}, moves: map[jobs.TaskRef]int{}}
}

// forgetJob deletes the history of a job's tasks.
func (h *taskHistory) forgetJob(id string) {
	maps.DeleteFunc(h.avoid, func(task jobs.TaskRef, _ string) bool { return task.Job == id })
	maps.DeleteFunc(h.moves, func(task jobs.TaskRef, _ int) bool { return task.Job == id })
}
