package scheduler

import (
	"cmp"
	"slices"

	"crosstide/internal/jobs"
)

// mayReclaim reports whether a backfilled run may be stopped for a unit: the unit goes before that of the run.
func (u *unit) mayReclaim(r *run) bool {
	if !r.backfilled || !r.start.sent || r.stop.requested || r.ending {
		return false
	}
	return cmp.Or(cmp.Compare(u.queue.Priority, r.priority), u.latestStart.Compare(r.latestStart)) < 0
}

// reclaim stops backfilled runs if count tasks of a unit, or at least one of them unless it is a gang, then fit.
func (p *placement) reclaim(u *unit, nodes []*node, count int) {
	victims := map[*node][]*run{}
	total := 0
	for _, n := range nodes {
		if n.reserved || !p.isFeasible(u, n) {
			continue
		}
		capacity := plus(n.free, n.freeing)
		fitting := p.tasksThatFit(u, n.record, capacity)
		for _, r := range n.backfilled {
			if u.mayReclaim(r) {
				victims[n] = append(victims[n], r)
				capacity = plus(capacity, r.needs)
			}
		}
		count -= fitting
		total += p.tasksThatFit(u, n.record, capacity) - fitting
	}
	if count <= 0 || total == 0 || u.step.Gang && total < count {
		return
	}
	for _, n := range nodes {
		if count > 0 && len(victims[n]) > 0 {
			count -= p.stopBackfilled(u, n, victims[n], count)
		}
	}
}

// stopBackfilled stops the runs on a node that must end for up to count more tasks of a unit, and returns for how many
// more there is capacity then.
func (p *placement) stopBackfilled(u *unit, n *node, victims []*run, count int) int {
	slices.SortFunc(victims, func(a, b *run) int {
		return cmp.Or(cmp.Compare(p.wastedWork(a), p.wastedWork(b)), a.key.Compare(b.key))
	})
	capacity := plus(n.free, n.freeing)
	before := p.tasksThatFit(u, n.record, capacity)
	gained, stopped := 0, 0
	for i, r := range victims {
		capacity = plus(capacity, r.needs)
		if fitting := p.tasksThatFit(u, n.record, capacity) - before; fitting > gained {
			gained, stopped = fitting, i+1
		}
		if gained >= count {
			break
		}
	}
	for _, r := range victims[:stopped] {
		p.core.requestStop(r, CauseReclaimed)
		p.forgetBlocked(r.key.Task)
		n.freeing = plus(n.freeing, r.needs)
		p.core.Counts.Reclaimed++
	}
	return gained
}

// forgetBlocked makes the unit of a task that is stopped wait for MaxBlocked again, so that it doesn't take the
// capacity that is being reclaimed.
func (p *placement) forgetBlocked(task jobs.TaskRef) {
	task.Index = 0
	delete(p.core.blocked, task)
	delete(p.backfill.blocked, task)
}
