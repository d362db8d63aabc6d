package jobsapi

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"crosstide/internal/config"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
	"crosstide/internal/rpc"
)

// Bounds of a job.
const (
	maxSteps    = 1000
	maxJobTasks = 100_000  // over all rounds
	maxAmount   = 1 << 30  // of any resource of a task
	maxPayload  = 16 << 10 // bytes
	maxDuration = 10 * 365 * 24 * time.Hour
)

// ParseJob parses the body of POST /v2/jobs and returns the job and its digest, which does not depend on the order of
// the fields or on white space. Errors: errs.Malformed, and errs.Invalid with the field. Example:
//
//	spec, digest, err := jobsapi.ParseJob([]byte(`{"id":"j-1","queue":"nightly","steps":[{"milli_cpu":500}]}`))
func ParseJob(body []byte) (jobs.Spec, string, error) {
	var spec jobs.Spec
	if err := parse(body, func(r *config.Reader) { readSpec(r, &spec) }); err != nil {
		return jobs.Spec{}, "", errs.Pass(err, "job")
	}
	canonical, err := json.Marshal(spec)
	if err != nil {
		return jobs.Spec{}, "", errs.Wrap(err, errs.Internal, "encode job %s", spec.ID)
	}
	return spec, rpc.Digest(canonical), nil
}

func readSpec(r *config.Reader, spec *jobs.Spec) {
	r.Require("id", "queue", "steps")
	r.String("id", &spec.ID, checkName)
	r.String("queue", &spec.Queue, checkName)
	r.String("payload", &spec.Payload, checkPayload)
	r.Object("times", func(r *config.Reader) { readTimes(r, spec) })
	config.List(r, "steps", &spec.Steps, readStep)
	checkSteps(r, spec)
}

func checkPayload(value string) string {
	if len(value) > maxPayload {
		return fmt.Sprintf("must be at most %d bytes, is %d", maxPayload, len(value))
	}
	return ""
}

// readTimes reads the schedule of the rounds of a job.
func readTimes(r *config.Reader, spec *jobs.Spec) {
	spec.Rounds = 1
	r.Require("first")
	r.Time("first", &spec.FirstRun)
	r.Int("rounds", &spec.Rounds, 1, maxJobTasks)
	r.Duration("every", &spec.Interval, time.Millisecond, maxDuration)
	if spec.Rounds > 1 && spec.Interval == 0 {
		r.Reject("every", "is required with more than one round")
	}
}

func readStep(r *config.Reader, step *jobs.Step) {
	step.Count = 1
	r.Int("tasks", &step.Count, 1, maxJobTasks)
	readResources(r, &step.Needs)
	r.Duration("estimate", &step.Estimate, 0, maxDuration)
	r.Ints("after", &step.After, 0, maxSteps-1)
	r.String("label", &step.Label, checkName)
	r.String("near", &step.PreferredRack, checkName)
	r.Int("most_per_worker", &step.MaxPerWorker, 1, maxJobTasks)
	r.Bool("checkpoints", &step.Checkpoints)
	r.Bool("gang", &step.Gang)
	r.Bool("one_rack", &step.SameRack)
	r.Bool("speculative", &step.Speculative)
	r.Bool("lasting", &step.LongRunning)
	if step.SameRack && !step.Gang {
		r.Reject("one_rack", "requires gang")
	}
	if step.Speculative && (step.Gang || step.LongRunning) {
		r.Reject("speculative", "cannot be combined with gang or lasting")
	}
}

func readResources(r *config.Reader, needs *jobs.Resources) {
	r.Int("milli_cpu", &needs.MilliCPU, 0, maxAmount)
	r.Int("memory_mb", &needs.MemoryMB, 0, maxAmount)
	r.Int("gpus", &needs.GPUs, 0, maxAmount)
}

// checkSteps checks the number of steps, their dependencies and the total number of tasks.
func checkSteps(r *config.Reader, spec *jobs.Spec) {
	if len(spec.Steps) < 1 || len(spec.Steps) > maxSteps {
		r.Reject("steps", "must have 1 to %d entries, has %d", maxSteps, len(spec.Steps))
		return
	}
	total := 0
	for i, step := range spec.Steps {
		total += step.Count
		checkAfter(r, spec, i)
	}
	if total *= max(spec.Rounds, 1); total > maxJobTasks {
		r.Reject("steps", "must have at most %d tasks over all rounds, has %d", maxJobTasks, total)
	}
}

// checkAfter checks that step i depends on earlier steps only, on each at most once and on none that is long-running.
func checkAfter(r *config.Reader, spec *jobs.Spec, i int) {
	after := spec.Steps[i].After
	for at, before := range after {
		field := fmt.Sprintf("steps[%d].after[%d]", i, at)
		switch {
		case before >= i:
			r.Reject(field, "must be the number of an earlier step, is %d", before)
		case spec.Steps[before].LongRunning:
			r.Reject(field, "must not be step %d, which runs until the job is cancelled", before)
		case slices.Contains(after[:at], before):
			r.Reject(field, "step %d is given twice", before)
		}
	}
}
