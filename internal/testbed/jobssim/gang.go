package jobssim

import (
	"slices"
	"time"

	"crosstide/internal/jobs"
)

// gangKey identifies one run of a gang.
type gangKey struct {
	job                 string
	round, step, number int
}

// gangKey returns the key of the run of the gang that this run is a member of.
func (r *liveRun) gangKey() gangKey {
	return gangKey{r.key.Task.Job, r.key.Task.Round, r.key.Task.Step, r.key.Number}
}

// gang is one run of a gang, whose members work only while all of them run.
type gang struct {
	sim       *simulator
	members   []*liveRun
	count     int
	isWorking bool
	hasEnded  bool
}

// joinGang adds a run to its gang. The work begins when all members have joined; a member that has waited for
// gangTimeout ends.
func (s *simulator) joinGang(r *liveRun) {
	key := r.gangKey()
	g := s.gangs[key]
	if g == nil || g.hasEnded {
		g = &gang{sim: s, count: r.step.Count}
		s.gangs[key] = g
	}
	r.gang = g
	g.members = append(g.members, r)
	if len(g.members) == g.count {
		g.begin()
		return
	}
	s.after(gangTimeout, func() {
		if !g.isWorking && r.worker.hasRun(r) {
			r.worker.finish(r, jobs.EndGangTimeout)
		}
	})
}

// begin starts the work of all members. It lasts as long as the longest work of a member, and spreadFactor times as
// long if the gang should share a rack and does not.
func (g *gang) begin() {
	g.isWorking = true
	var work time.Duration
	racks := map[string]bool{}
	for _, m := range g.members {
		m.workedAt = m.worker.workedTime()
		work = max(work, m.remaining)
		racks[m.worker.host.rack] = true
	}
	if g.members[0].step.SameRack && len(racks) > 1 {
		work = time.Duration(float64(work) * spreadFactor)
	}
	g.scheduleEnd(work)
}

// scheduleEnd ends the gang after d, or later if the worker of a member is stalled at that time.
func (g *gang) scheduleEnd(d time.Duration) {
	g.sim.after(d, func() {
		if g.hasEnded {
			return
		}
		for _, m := range g.members {
			if m.worker.stalledSince > 0 {
				g.scheduleEnd(200 * time.Millisecond)
				return
			}
		}
		g.complete()
	})
}

// complete ends all members as done. If one of them is to fail, it ends as failed and the others as broken.
func (g *gang) complete() {
	for _, m := range g.members {
		if m.willFail && m.worker.hasRun(m) {
			m.worker.finish(m, jobs.EndFailed)
			return
		}
	}
	g.hasEnded = true
	for _, m := range slices.Clone(g.members) {
		if m.worker.hasRun(m) {
			m.worker.listEnd(m, jobs.EndDone, "")
		}
	}
}

// memberEnded removes a member that has ended. If the gang was working, the other members end as broken.
func (g *gang) memberEnded(r *liveRun) {
	g.members = slices.DeleteFunc(g.members, func(m *liveRun) bool { return m == r })
	if g.hasEnded || !g.isWorking {
		return
	}
	g.hasEnded = true
	for _, m := range slices.Clone(g.members) {
		if m.worker.hasRun(m) {
			checkpoint := m.checkpoint()
			m.worker.listEnd(m, jobs.EndGangBroken, checkpoint)
		}
	}
}
