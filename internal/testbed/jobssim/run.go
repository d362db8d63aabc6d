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

// order is what the checker must know of the order that began a run.
type order struct {
	from       *node
	sent       time.Duration
	wasInTouch bool // its sender was in touch when it left
	isLate     bool // the worker carried it out late
}

// liveRun is a run on a worker.
type liveRun struct {
	key        jobs.RunKey
	order      order
	spec       *jobs.Spec
	step       *jobs.Step
	worker     *workerIncarnation
	began      time.Duration
	work       time.Duration // that is left to do here, by the checkpoint
	saved      time.Duration // work done before, by its checkpoint
	workedAt   time.Duration // workedTime of its worker when it began to work; -1: it waits for its gang
	factor     float64       // how many times as long the work takes here
	fails      bool
	isStopping bool
	gang       *gang
}

// beginRun starts a run.
func (w *workerIncarnation) beginRun(from order, o scheduler.StartOrder, spec *jobs.Spec, step *jobs.Step) {
	s := w.host.sim
	r := &liveRun{key: o.Key, order: from, spec: spec, step: step, worker: w, began: s.now, workedAt: -1}
	s.checker.started(r, o)
	w.runs = append(w.runs, r)
	r.saved = checkpointWork(o.Checkpoint)
	whole := workOf(spec, o.Key.Task)
	r.fails = w.failsAll || s.chance(w.failShare) || failsItself(spec, o.Key)
	factor := w.host.speed * w.slowFactor
	if step.PreferredRack != "" && !slices.Contains(w.host.labels, step.PreferredRack) {
		factor *= spreadFactor
	}
	r.factor = factor
	r.work = time.Duration(float64(max(0, whole-r.saved)) * factor)
	if o.Checkpoint != "" {
		r.work += restoreTime
	}
	if w.failsAll {
		r.work = min(r.work, 50*time.Millisecond)
	}
	if step.LongRunning {
		r.work, r.fails = s.between(8*time.Second, 5*time.Minute), true
	}
	if step.Gang {
		s.joinGang(r)
		return
	}
	r.startWork()
}

// startWork begins the work.
func (r *liveRun) startWork() {
	r.workedAt = r.worker.workedTime()
	r.scheduleEnd(r.work)
}

// scheduleEnd ends the run when its work is done, at the earliest after d.
func (r *liveRun) scheduleEnd(d time.Duration) {
	r.worker.host.sim.after(d, func() {
		if !r.worker.hasRun(r) || r.isStopping {
			return
		}
		if left := r.work - (r.worker.workedTime() - r.workedAt); left > 0 {
			r.scheduleEnd(max(left, 100*time.Millisecond))
			return
		}
		if r.fails {
			r.worker.finish(r, jobs.EndFailed)
		} else {
			r.worker.finish(r, jobs.EndDone)
		}
	})
}

func (w *workerIncarnation) hasRun(r *liveRun) bool { return w.isUp() && slices.Contains(w.runs, r) }

// finish ends a run that is here and lists its end.
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

// listEnd removes a run and lists its end; the rest of its gang is not concerned.
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

// remove removes a run without an end.
func (w *workerIncarnation) remove(r *liveRun) {
	w.runs = slices.DeleteFunc(w.runs, func(other *liveRun) bool { return other == r })
	if r.gang != nil {
		r.gang.memberEnded(r)
	}
}

// progress returns the work that is done, with what was saved before.
func (r *liveRun) progress() time.Duration {
	if r.workedAt < 0 {
		return r.saved
	}
	return r.saved + time.Duration(float64(r.worker.workedTime()-r.workedAt)/r.factor)
}

// percent returns the share of the work that is done, as the worker lists it.
func (r *liveRun) percent() int {
	whole := workOf(r.spec, r.key.Task)
	if whole <= 0 {
		return 0
	}
	return int(min(99, 100*r.progress()/whole))
}

// checkpoint returns the newest saved progress, as the worker lists it.
func (r *liveRun) checkpoint() string {
	if !r.step.Checkpoints {
		return ""
	}
	saved := r.progress().Truncate(checkpointInterval)
	return r.checkpointAt(max(saved, r.saved))
}

// saveNow saves the progress, as a stop does.
func (r *liveRun) saveNow() string { return r.checkpointAt(r.progress()) }

func (r *liveRun) checkpointAt(done time.Duration) string {
	if done <= 0 {
		return ""
	}
	text := fmt.Sprintf("%08x-%s", done.Milliseconds(), checkpointOwner(r.key.Task, r.step.Gang))
	r.worker.host.sim.checker.recordCheckpoint(r, text)
	return text
}

// checkpointOwner names the task, or the gang, that a checkpoint is of.
func checkpointOwner(ref jobs.TaskRef, gang bool) string {
	if gang {
		ref.Index = 0
	}
	return fmt.Sprintf("%s.%d.%d.%d", ref.Job, ref.Round, ref.Step, ref.Index)
}

// checkpointWork returns the work that a checkpoint stands for.
func checkpointWork(checkpoint string) time.Duration {
	text, _, _ := strings.Cut(checkpoint, "-")
	ms, err := strconv.ParseInt(text, 16, 64)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// draw returns a number in [0, 1) that depends on its arguments alone.
func draw(parts ...any) float64 {
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
	factor := 0.5 + draw("work", ref.Job, ref.Round, ref.Step, ref.Index)
	return time.Duration(float64(step.Estimate) * factor)
}

// Payloads: how a job's tasks behave on the stand-in.
const (
	payloadSound  = "sound"
	payloadFlaky  = "flaky"  // a fifth of the runs fail
	payloadPoison = "poison" // every run of the first task fails
)

// failsItself reports whether a run fails whatever the worker.
func failsItself(spec *jobs.Spec, key jobs.RunKey) bool {
	kind, _, _ := strings.Cut(spec.Payload, " ")
	switch kind {
	case payloadFlaky:
		return key.Number == 1 && draw("fail", key.Task.Job, key.Task.Round, key.Task.Step, key.Task.Index) < 0.2
	case payloadPoison:
		return key.Task.Step == 0 && key.Task.Index == 0
	}
	return false
}
