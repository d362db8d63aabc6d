package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// Bounds of what is moved away from a slow worker.
const (
	slowFactor      = 2.0                    // a run is looked at once it took so many times as long as its peers
	stallTime       = 700 * time.Millisecond // a run without any progress for so long stands still
	stallFraction   = 0.05                   // if it is also so large a part of its expected time: progress is told in percent
	maxMovesPerTask = 2                      // times that one task is moved by a leader
	moveCost        = 500 * time.Millisecond // a stop, two commits and a start
	gainFactor      = 1.5                    // what is left must be so many times as long as beginning anew elsewhere
	maxProgressAge  = 2 * time.Second        // progress that was listed longer ago says nothing
	maxMovesPerPass = 16                     // runs moved by one pass
	certainSlowdown = 5.0                    // times as long as its peers: its worker is slow, whatever else runs there
	minSlowRuns     = 2                      // runs at slowFactor by which a worker is slow
)

// moveSlowRuns stops runs that stand still or go on far slower than elsewhere, where another worker has room for them. They
// are due again once their end is listed, and shun the worker that they come from.
func (p *placement) moveSlowRuns() {
	slow := map[jobs.RunKey]*run{} // few of all runs: only these are put in order
	for key, r := range p.core.runs {
		w := p.core.workers[r.worker]
		if w == nil || w.failures > 0 || !p.isMovable(r) {
			continue // nothing is known of it
		}
		if p.isStalled(r) {
			w.stalledAt = p.now
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

// expected is how long a run should take on an average worker, by its client's guess.
func (c *Core) expected(estimate time.Duration) time.Duration {
	ratio := max(c.speeds.meanRatio, 1)
	return time.Duration(float64(max(estimate, minEstimate)) * ratio)
}

// isMovable tells whether a run's progress is known and the run may be moved.
func (p *placement) isMovable(r *run) bool {
	if r.longRunning || r.gang || !r.listed || r.toStop || r.ending || !r.ownTerm || p.now-r.progressAt > maxProgressAge {
		return false
	}
	return p.core.moveCount[r.key.Task] < maxMovesPerTask
}

// isStalled tells whether a run has made no progress for long, against its expected time.
func (p *placement) isStalled(r *run) bool {
	still := r.progressAt - r.advancedAt
	if still < stallTime {
		return false
	}
	peers, _ := p.core.speeds.peerMean(r.key.Task)
	return still >= time.Duration(stallFraction*float64(max(p.core.expected(r.estimate), peers)))
}

// observeMove tells whether what is left of a run takes far longer than beginning it anew elsewhere: other tasks of its step
// took a fraction of its time, and that lies with its worker. The tasks of a step differ: one that is long takes as long
// anywhere.
func (p *placement) isSlow(r *run) bool {
	peers, known := p.core.speeds.peerMean(r.key.Task)
	elapsed := r.progressAt - r.sentAt
	if !known || elapsed < time.Duration(slowFactor*float64(peers)) {
		return false
	}
	left := time.Duration(float64(elapsed) * float64(100-r.percent) / float64(max(r.percent, 1)))
	return left > time.Duration(gainFactor*float64(peers+moveCost)) && p.isWorkerSlow(r)
}

// isWorkerSlow tells whether the slowness of a run lies with its worker: by other runs there, by those that have ended
// there, or because the run is slower than tasks of one step ever differ.
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

// runSlowdown is how many times as long as its peers a run takes, by its progress so far; 0 if its peers are not known.
func (p *placement) runSlowdown(r *run) float64 {
	peers, known := p.core.speeds.peerMean(r.key.Task)
	if !known || peers <= 0 {
		return 0
	}
	whole := float64(r.progressAt-r.sentAt) * 100 / float64(max(r.percent, 1))
	return whole / (float64(peers) * p.remoteFactor(r))
}

// remoteFactor is how many times as long a run takes for being away from its data.
func (p *placement) remoteFactor(r *run) float64 {
	j, rec := p.core.table.Jobs[r.key.Task.Job], p.core.table.Workers[r.worker]
	if j == nil || rec == nil || r.key.Task.Step >= len(j.Spec.Steps) {
		return 1
	}
	near := j.Spec.Steps[r.key.Task.Step].PreferredRack
	if near == "" || slices.Contains(rec.Labels, near) {
		return 1
	}
	return p.core.cfg.RemoteDataFactor
}

// moveOne stops a run if another worker has room for its task.
func (p *placement) moveOne(r *run) bool {
	j := p.core.table.Jobs[r.key.Task.Job]
	if j == nil || j.State.IsTerminal() || r.key.Task.Step >= len(j.Spec.Steps) {
		return false
	}
	q := p.core.table.Config.Queue(j.Spec.Queue)
	if q == nil {
		return false
	}
	u := &unit{job: j, step: &j.Spec.Steps[r.key.Task.Step], queue: q, round: r.key.Task.Round, stepIndex: r.key.Task.Step}
	n := p.selectOtherNode(u, p.feasibleNodes(q.Service), r.worker)
	if n == nil {
		return false
	}
	n.free = minus(n.free, u.step.Needs)
	p.core.requestStop(r, CauseMoved)
	p.core.avoidWorker[r.key.Task] = r.worker
	p.core.moveCount[r.key.Task]++
	p.core.speeds.observeMove(r.worker)
	p.core.Counts.Moved++
	return true
}

// selectOtherNode is best among all nodes but one.
func (p *placement) selectOtherNode(u *unit, nodes []*node, except string) *node {
	at := slices.IndexFunc(nodes, func(n *node) bool { return n.record.ID == except })
	if at < 0 {
		return p.selectNode(u, nodes, "")
	}
	own := nodes[at]
	reserved := own.reserved
	own.reserved = true
	defer func() { own.reserved = reserved }()
	return p.selectNode(u, nodes, "")
}
