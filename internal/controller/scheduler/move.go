package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// Conditions under which a run is moved away from a slow worker, and limits of moves.
const (
	// stallTime is how long a run must be without progress to count as stalled. It must also be stallFraction of the
	// run's expected time, as progress is reported in whole percent.
	stallTime     = 700 * time.Millisecond
	stallFraction = 0.05

	slowFactor      = 2.0 // a run that takes this many times as long as its peers is slow
	certainSlowdown = 5.0 // at this multiple its worker is slow, whatever else runs there
	minSlowRuns     = 2   // a worker with this many slow runs is slow

	moveCost       = 500 * time.Millisecond // time for a stop, two commits and a start
	gainFactor     = 1.5                    // the rest of a run must take this many times as long as a restart
	maxProgressAge = 2 * time.Second        // progress that was listed earlier proves nothing

	maxMovesPerTask = 2 // under one term
	maxMovesPerPass = 16
)

// moveSlowRuns stops runs that are stalled, or far slower than elsewhere, where another worker has capacity for them.
// Their tasks are due again once the end is listed, and avoid the worker that they come from.
func (p *placement) moveSlowRuns() {
	slow := map[jobs.RunKey]*run{} // only these few are sorted, for a fixed order
	for key, r := range p.core.runs {
		w := p.core.workers[r.worker]
		if w == nil || w.contact.failures > 0 || !p.isMovable(r) {
			continue // its progress isn't known
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
		if moved < maxMovesPerPass && p.moveOne(slow[key]) {
			moved++
		}
	}
}

// isMovable reports whether a run's progress is known and the run may be moved.
func (p *placement) isMovable(r *run) bool {
	if r.longRunning || r.gang || !r.ownTerm || !r.progress.listed || r.stop.wanted || r.ending {
		return false
	}
	return p.now-r.progress.at <= maxProgressAge && p.core.history.moves[r.key.Task] < maxMovesPerTask
}

// isStalled reports whether a run has made no progress for long, compared with its expected time.
func (p *placement) isStalled(r *run) bool {
	still := r.progress.at - r.progress.advancedAt
	if still < stallTime {
		return false
	}
	peers, _ := p.core.speeds.peerMean(r.key.Task)
	return still >= time.Duration(stallFraction*float64(max(p.core.speeds.expected(r.estimate), peers)))
}

// isSlow reports whether what is left of a run takes far longer than a restart elsewhere: its peers, the other tasks of
// its step, took a fraction of its time, and the cause is its worker. The tasks of a step differ: one that is long
// takes as long on any worker.
func (p *placement) isSlow(r *run) bool {
	peers, known := p.core.speeds.peerMean(r.key.Task)
	elapsed := r.progress.at - r.start.sentAt
	if !known || elapsed < time.Duration(slowFactor*float64(peers)) {
		return false
	}
	left := time.Duration(float64(elapsed) * float64(100-r.progress.percent) / float64(max(r.progress.percent, 1)))
	return left > time.Duration(gainFactor*float64(peers+moveCost)) && p.isWorkerSlow(r)
}

// isWorkerSlow reports whether a run is slow because of its worker: by other runs there, by those that have ended
// there, or because the run is slower than the tasks of one step ever differ.
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

// runSlowdown returns the duration of a run, extrapolated from its progress, as a multiple of its peers' mean; 0 if
// that isn't known.
func (p *placement) runSlowdown(r *run) float64 {
	peers, known := p.core.speeds.peerMean(r.key.Task)
	if !known || peers <= 0 {
		return 0
	}
	total := float64(r.progress.at-r.start.sentAt) * 100 / float64(max(r.progress.percent, 1))
	return total / (float64(peers) * p.remoteFactor(r))
}

// remoteFactor returns the factor by which a run is expected to take longer because it is away from its data.
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

// moveOne stops a run if another worker has capacity for its task, and reports whether it did.
func (p *placement) moveOne(r *run) bool {
	task := r.key.Task
	j := p.core.table.Jobs[task.Job]
	if j == nil || j.State.IsTerminal() || task.Step >= len(j.Spec.Steps) {
		return false
	}
	queue := p.core.table.Config.Queue(j.Spec.Queue)
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

// selectOtherNode selects among all nodes but that of one worker.
func (p *placement) selectOtherNode(u *unit, nodes []*node, except string) *node {
	at := slices.IndexFunc(nodes, func(n *node) bool { return n.record.ID == except })
	if at < 0 {
		return p.selectNode(u, nodes, "")
	}
	own := nodes[at]
	defer func(reserved bool) { own.reserved = reserved }(own.reserved)
	own.reserved = true // for this selection, which passes over reserved nodes
	return p.selectNode(u, nodes, "")
}
