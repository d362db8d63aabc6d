package jobsworker

import (
	"strconv"
	"time"

	"crosstide/internal/jobs"
)

// Program is the payload of a run on a stand-in worker.
type Program struct {
	MS     int `json:"ms"`      // duration; negative: until it is stopped
	Fails  int `json:"fails"`   // number of runs of a task that fail before the first success
	SaveMS int `json:"save_ms"` // interval between checkpoints; 0: none
}

func (p Program) duration() time.Duration { return time.Duration(p.MS) * time.Millisecond }

// run is a run that has not ended. Its times are on the worker's clock.
type run struct {
	key     jobs.RunKey
	needs   jobs.Resources
	program Program
	began   time.Duration
	resumed time.Duration // progress in the checkpoint that it started from
}

// progress returns the work done by now, including the progress that the run resumed from.
func (r *run) progress(now time.Duration) time.Duration { return now - r.began + r.resumed }

// endsAt returns when a run's program is complete, and false if it never is.
func (r *run) endsAt() (time.Duration, bool) {
	return r.began - r.resumed + r.program.duration(), r.program.MS >= 0
}

// outcome returns the end reason of a run whose program is complete.
func (r *run) outcome() jobs.EndReason {
	if r.key.Number <= r.program.Fails {
		return jobs.EndFailed
	}
	return jobs.EndDone
}

// checkpoint returns the progress that a run has saved by now, in milliseconds, or "" if it has saved none.
func (r *run) checkpoint(now time.Duration) string {
	interval := time.Duration(r.program.SaveMS) * time.Millisecond
	if interval <= 0 {
		return ""
	}
	saved := r.progress(now) / interval * interval
	if saved <= 0 {
		return ""
	}
	return strconv.FormatInt(saved.Milliseconds(), 10)
}

// parseCheckpoint returns the progress in a checkpoint, or 0 if the checkpoint is invalid.
func parseCheckpoint(checkpoint string) time.Duration {
	ms, err := strconv.ParseInt(checkpoint, 10, 32)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// percent returns the progress of a run in percent of its duration.
func (r *run) percent(now time.Duration) int {
	if r.program.MS <= 0 {
		return 0
	}
	return min(100, int(100*r.progress(now)/r.program.duration()))
}
