package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// Conditions under which a run is moved away from a slow worker, and limits of moves.
const (
	// stallTime is how long a run must be without progress to count as stalled. The time without progress must also be
	// at least stallFraction of the run's expected duration, as progress is reported in whole percent.
	stallTime     = 700 * time.Millisecond
	stallFraction = 0.05

	slowFactor      = 2.0 // a run that takes this many times as long as its peers is slow
	certainSlowdown = 5.0 // a run that takes this many times as long proves its worker slow without other evidence
	minSlowRuns     = 2   // a worker with this many slow runs is slow

	moveCost       = 500 * time.Millisecond // duration of a stop, two commits and a start
	gainFactor     = 1.5                    // the rest of a run must take this many times as long as a restart
	maxProgressAge = 2 * time.Second        // older progress is stale

	maxMovesPerTask = 2 // under one term
	maxMovesPerPass = 16
)

// moveSlowRuns stops runs that are stalled or far slower than their peers, if another worker has capacity for them.
// Their tasks become due again once the worker lists the end, and avoid that worker.
func (p *placement) moveSlowRuns() {
	slow := map[jobs.RunKey]*run{} // sorted below, so that the order is fixed; sorting all runs would cost more
	for key, r := range p.core.runs {
		w := p.core.workers[r.worker]
		if w == nil || w.contact.failures > 0 || !p.isMovable(r) {
			continue // its progress isn't known, or it may not be moved
		}
		if p.isStalled(r) {
			w.cooldown.stalledAt = p.now
			slow[key] = r
		} else if p.isSlow(r) {
			slow[key] = r
		}
	}
	moved := 0
	for _, key := range sortedRuns(slow) {
		if moved < maxMovesPerPass && p.moveRun(slow[key]) {
			moved++
		}
	}
}

// isMovable reports whether a run's progress is known and the run may be moved.
func (p *placement) isMovable(r *run) bool {
	if r.longRunning || r.gang || !r.ownTerm || !r.progress.listed || r.stop.requested || r.ending {
		return false
	}
	return p.now-r.progress.listedAt <= maxProgressAge && p.core.history.moves[r.key.Task] < maxMovesPerTask
}

// isStalled reports whether a run has made no progress for a large part of its expected duration.
func (p *placement) isStalled(r *run) bool {
	sinceProgress := r.progress.listedAt - r.progress.advancedAt
	if sinceProgress < stallTime {
		return false
	}
	peerMean, _ := p.core.speeds.peerMean(r.key.Task)
	return sinceProgress >= time.Duration(stallFraction*float64(max(p.core.speeds.expected(r.estimate), peerMean)))
}

// isSlow reports whether the rest of a run will take far longer than a restart elsewhere, because of its worker. The
// run is compared with its peers, the ended runs of its step. As the tasks of a step differ in length, a long duration
// alone doesn't prove a slow worker: a long task takes as long on any worker.
func (p *placement) isSlow(r *run) bool {
	peerMean, known := p.core.speeds.peerMean(r.key.Task)
	elapsed := r.progress.listedAt - r.start.sentAt
	if !known || elapsed < time.Duration(slowFactor*float64(peerMean)) {
		return false
	}
	left := time.Duration(float64(elapsed) * float64(100-r.progress.percent) / float64(max(r.progress.percent, 1)))
	return left > time.Duration(gainFactor*float64(peerMean+moveCost)) && p.isWorkerSlow(r)
}

// isWorkerSlow reports whether a slow run is slow because of its worker. This is so if runs that ended there were slow,
// if enough other runs there are slow, or if the run is slower than the tasks of one step ever differ in length.
func (p *placement) isWorkerSlow(r *run) bool {
	if p.core.speeds.slowdown(r.worker) >= slowFactor || p.runSlowdown(r) >= certainSlowdown {
		return true
	}
	slow := 0
	for _, other := range p.core.workers[r.worker].runs {
		if p.isMovable(other) && p.runSlowdown(other) >= slowFactor {
			slow++
		}
	}
	return slow >= minSlowRuns
}

// runSlowdown returns the duration of a run, extrapolated from its progress, relative to the mean of its peers; 0 if
// that mean isn't known.
func (p *placement) runSlowdown(r *run) float64 {
	peerMean, known := p.core.speeds.peerMean(r.key.Task)
	if !known || peerMean <= 0 {
		return 0
	}
	total := float64(r.progress.listedAt-r.start.sentAt) * 100 / float64(max(r.progress.percent, 1))
	return total / (float64(peerMean) * p.remoteFactor(r))
}

// remoteFactor returns Config.RemoteDataFactor if a run is away from its data, otherwise 1.
func (p *placement) remoteFactor(r *run) float64 {
	j, rec := p.core.table.Jobs[r.key.Task.Job], p.core.table.Workers[r.worker]
	if j == nil || rec == nil || r.key.Task.Step >= len(j.Spec.Steps) {
		return 1
	}
	rack := j.Spec.Steps[r.key.Task.Step].PreferredRack
	if rack == "" || slices.Contains(rec.Labels, rack) {
		return 1
	}
	return p.core.cfg.RemoteDataFactor
}

// moveRun stops a run if another worker has capacity for its task, and reports whether it did.
func (p *placement) moveRun(r *run) bool {
	task := r.key.Task
	j := p.core.table.Jobs[task.Job]
	if j == nil || j.State.IsTerminal() || task.Step >= len(j.Spec.Steps) {
		return false
	}
	queue := p.core.table.QueueOf(j)
	if queue == nil {
		return false
	}
	u := &unit{job: j, step: &j.Spec.Steps[task.Step], queue: queue, round: task.Round, stepIndex: task.Step}
	n := p.selectOtherNode(u, p.feasibleNodes(queue.Service), r.worker)
	if n == nil {
		return false
	}
	n.free = minus(n.free, u.step.Needs)
	p.core.requestStop(r, CauseMoved)
	p.core.history.avoid[task] = r.worker
	p.core.history.moves[task]++
	p.core.speeds.observeMove(r.worker)
	p.core.Counts.Moved++
	return true
}

// selectOtherNode selects a node of any worker but the excluded one.
func (p *placement) selectOtherNode(u *unit, nodes []*node, excludedID string) *node {
	index := slices.IndexFunc(nodes, func(n *node) bool { return n.record.ID == excludedID })
	if index < 0 {
		return p.selectNode(u, nodes, "")
	}
	return p.selectNode(u, slices.Delete(slices.Clone(nodes), index, index+1), "")
}
