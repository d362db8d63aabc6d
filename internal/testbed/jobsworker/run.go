package jobsworker

import (
	"strconv"
	"time"

	"crosstide/internal/jobs"
)

// Program is the payload of a run on a stand-in worker: what the run does.
type Program struct {
	MS     int `json:"ms"`      // length of the run; below 0: until it is stopped
	Fails  int `json:"fails"`   // so many runs of a task fail first
	SaveMS int `json:"save_ms"` // interval of checkpoints; 0: none
}

func (p Program) duration() time.Duration { return time.Duration(p.MS) * time.Millisecond }

// run is a run that has not ended. Its times are on the worker's clock.
type run struct {
	key     jobs.RunKey
	needs   jobs.Resources
	program Program
	began   time.Duration
	resumed time.Duration // work that earlier runs of the task had saved
}

// progress returns the work done by now, including what the checkpoint of the start had.
func (r *run) progress(now time.Duration) time.Duration { return now - r.began + r.resumed }

// endsAt returns when a run ends by itself, and false if it does not.
func (r *run) endsAt() (time.Duration, bool) {
	return r.began - r.resumed + r.program.duration(), r.program.MS >= 0
}

// outcome returns the reason with which a run ends by itself.
func (r *run) outcome() jobs.EndReason {
	if r.key.Number <= r.program.Fails {
		return jobs.EndFailed
	}
	return jobs.EndDone
}

// checkpoint returns the work that a run has saved by now, in milliseconds, and "" if it has saved none.
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

// parseCheckpoint reads the work that a checkpoint saved; one that cannot be read saved none.
func parseCheckpoint(checkpoint string) time.Duration {
	ms, err := strconv.ParseInt(checkpoint, 10, 32)
	if err != nil || ms < 0 {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// percent returns how much of a run is done.
func (r *run) percent(now time.Duration) int {
	if r.program.MS <= 0 {
		return 0
	}
	return min(100, int(100*r.progress(now)/r.program.duration()))
}
