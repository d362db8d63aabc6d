package jobssim

import (
	"fmt"
	"hash/fnv"
	"slices"
	"strconv"
	"strings"
	"time"

	"crosstide/internal/controller/scheduler"
	"crosstide/internal/jobs"
)

// startOrigin describes how the start order of a run was sent and delivered, for the invariant checker.
type startOrigin struct {
	node          *node
	sentAt        time.Duration
	wasCoreStable bool // the core was stable when it was sent
	isLate        bool // it was delivered late, see workerCall.deliverLate
}

// liveRun is a run on a worker.
type liveRun struct {
	key            jobs.RunKey
	origin         startOrigin
	spec           *jobs.Spec
	step           *jobs.Step
	worker         *workerIncarnation
	began          time.Duration
	remaining      time.Duration // work left after the checkpoint, in time on this worker
	saved          time.Duration // work done before, according to the checkpoint
	workedAt       time.Duration // its worker's workedTime when it began to work; -1: it waits for its gang
	durationFactor float64       // multiplies the time that the work takes on a healthy worker
	willFail       bool
	isStopping     bool
	gang           *gang
}

// beginRun starts a run, which begins its work at once or, in a gang, when all members have started.
func (w *workerIncarnation) beginRun(origin startOrigin, order scheduler.StartOrder, spec *jobs.Spec, step *jobs.Step) {
	s := w.host.sim
	r := &liveRun{key: order.Key, origin: origin, spec: spec, step: step, worker: w, began: s.now, workedAt: -1}
	s.checker.started(r, order)
	w.runs = append(w.runs, r)
	r.saved = checkpointWork(order.Checkpoint)
	total := workOf(spec, order.Key.Task)
	r.willFail = w.failsAll || s.chance(w.failShare) || failsByPayload(spec, order.Key)
	factor := w.host.durationFactor * w.slowFactor
	if step.PreferredRack != "" && !slices.Contains(w.host.labels, step.PreferredRack) {
		factor *= spreadFactor
	}
	r.durationFactor = factor
	r.remaining = time.Duration(float64(max(0, total-r.saved)) * factor)
	if order.Checkpoint != "" {
		r.remaining += restoreTime
	}
	if w.failsAll {
		r.remaining = min(r.remaining, 50*time.Millisecond)
	}
	if step.LongRunning {
		r.remaining, r.willFail = s.between(8*time.Second, 5*time.Minute), true
	}
	if step.Gang {
		s.joinGang(r)
		return
	}
	r.startWork()
}

// startWork begins the work of a run that is not in a gang.
func (r *liveRun) startWork() {
	r.workedAt = r.worker.workedTime()
	r.scheduleEnd(r.remaining)
}

// scheduleEnd ends the run when its work is done, but not before d has passed.
func (r *liveRun) scheduleEnd(d time.Duration) {
	r.worker.host.sim.after(d, func() {
		if !r.worker.hasRun(r) || r.isStopping {
			return
		}
		if left := r.remaining - (r.worker.workedTime() - r.workedAt); left > 0 {
			r.scheduleEnd(max(left, 100*time.Millisecond))
			return
		}
		if r.willFail {
			r.worker.finish(r, jobs.EndFailed)
		} else {
			r.worker.finish(r, jobs.EndDone)
		}
	})
}

// hasRun reports whether the incarnation is running and has the run.
func (w *workerIncarnation) hasRun(r *liveRun) bool { return w.isUp() && slices.Contains(w.runs, r) }

// finish ends a run and lists its end, unless the run is no longer on the worker.
func (w *workerIncarnation) finish(r *liveRun, reason jobs.EndReason) {
	if !w.hasRun(r) {
		return
	}
	checkpoint := r.checkpoint()
	if reason == jobs.EndStopped && r.step.Checkpoints {
		checkpoint = r.saveNow()
	}
	w.listEnd(r, reason, checkpoint)
	if r.gang != nil {
		r.gang.memberEnded(r)
	}
}

// listEnd removes a run from the worker and lists its end, without affecting the other members of its gang.
func (w *workerIncarnation) listEnd(r *liveRun, reason jobs.EndReason, checkpoint string) {
	w.runs = slices.DeleteFunc(w.runs, func(other *liveRun) bool { return other == r })
	w.newestEnd++
	w.closedUpTo[r.key.Task] = max(w.closedUpTo[r.key.Task], r.key.Number)
	if reason == jobs.EndDone {
		checkpoint = ""
	}
	w.unacknowledged = append(w.unacknowledged, scheduler.EndedRun{Sequence: w.newestEnd, Key: r.key, Reason: reason,
		Checkpoint: checkpoint})
	w.endRecords[w.newestEnd] = w.host.sim.checker.ended(r, reason)
	pendingRenewals := w.pendingRenewals
	w.pendingRenewals = nil
	for _, h := range pendingRenewals {
		h.reply()
	}
}

// remove removes a run from the worker without listing an end.
func (w *workerIncarnation) remove(r *liveRun) {
	w.runs = slices.DeleteFunc(w.runs, func(other *liveRun) bool { return other == r })
	if r.gang != nil {
		r.gang.memberEnded(r)
	}
}

// progress returns the work done so far, including the work saved by earlier runs.
func (r *liveRun) progress() time.Duration {
	if r.workedAt < 0 {
		return r.saved
	}
	return r.saved + time.Duration(float64(r.worker.workedTime()-r.workedAt)/r.durationFactor)
}

// percent returns the progress in percent as the worker reports it, at most 99.
func (r *liveRun) percent() int {
	total := workOf(r.spec, r.key.Task)
	if total <= 0 {
		return 0
	}
	return int(min(99, 100*r.progress()/total))
}

// checkpoint returns the newest saved checkpoint as the worker reports it. It is empty if the run saved nothing.
func (r *liveRun) checkpoint() string {
	if !r.step.Checkpoints {
		return ""
	}
	saved := r.progress().Truncate(checkpointInterval)
	return r.checkpointAt(max(saved, r.saved))
}

// saveNow saves and returns a checkpoint of the current progress, as a stopped task does.
func (r *liveRun) saveNow() string { return r.checkpointAt(r.progress()) }

// checkpointAt records and returns a checkpoint of the given amount of work; empty if no work was done.
func (r *liveRun) checkpointAt(done time.Duration) string {
	if done <= 0 {
		return ""
	}
	text := fmt.Sprintf("%08x-%s", done.Milliseconds(), checkpointOwner(r.key.Task, r.step.Gang))
	r.worker.host.sim.checker.recordCheckpoint(r, text)
	return text
}

// checkpointOwner returns the name of the task or gang that a checkpoint belongs to.
func checkpointOwner(ref jobs.TaskRef, gang bool) string {
	if gang {
		ref.Index = 0
	}
	return fmt.Sprintf("%s.%d.%d.%d", ref.Job, ref.Round, ref.Step, ref.Index)
}

// checkpointWork returns the amount of work that a checkpoint records; 0 if there is no checkpoint.
func checkpointWork(checkpoint string) time.Duration {
	text, _, _ := strings.Cut(checkpoint, "-")
	ms, err := strconv.ParseInt(text, 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// hashFraction returns a number in [0, 1) that is determined by its arguments.
func hashFraction(parts ...any) float64 {
	h := fnv.New64a()
	_, _ = fmt.Fprint(h, parts...) // never fails
	return float64(h.Sum64()%100003) / 100003
}

// workOf returns how long a task takes on a healthy worker.
func workOf(spec *jobs.Spec, ref jobs.TaskRef) time.Duration {
	step := &spec.Steps[ref.Step]
	if step.Gang {
		ref.Index = 0
	}
	factor := 0.5 + hashFraction("work", ref.Job, ref.Round, ref.Step, ref.Index)
	return time.Duration(float64(step.Estimate) * factor)
}

// Payloads determine how the tasks of a job behave on the simulated workers.
const (
	payloadSound  = "sound"
	payloadFlaky  = "flaky"  // the first run of a fifth of the tasks fails
	payloadPoison = "poison" // every run of the first task fails
)

// failsByPayload reports whether a run fails on any worker because of its job's payload.
func failsByPayload(spec *jobs.Spec, key jobs.RunKey) bool {
	kind, _, _ := strings.Cut(spec.Payload, " ")
	switch kind {
	case payloadFlaky:
		return key.Number == 1 && hashFraction("fail", key.Task.Job, key.Task.Round, key.Task.Step,
			key.Task.Index) < 0.2
	case payloadPoison:
		return key.Task.Step == 0 && key.Task.Index == 0
	}
	return false
}
