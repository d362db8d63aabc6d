package scheduler

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/state"
	"crosstide/internal/state/command"
)

// nextPlan gathers all that is to be committed into one plan; nil while one is under way or if there is nothing.
func (c *Core) nextPlan(now time.Duration) *command.Plan {
	if c.planInFlight != nil {
		return nil
	}
	p := &command.Plan{Epoch: c.epoch, BundleVersion: c.st.Bundle.Version, LeaseTTL: c.cfg.RunLease,
		Running: c.newlyRunning, Unconfirmed: c.unconfirmed, Ends: c.ends, Dead: c.proofs}
	if len(c.st.Inbox) > 0 {
		p.Seq = c.st.Seq
	}
	for _, name := range sortedKeys(c.reported) {
		if m := c.workers[name]; m != nil && m.report != nil {
			p.Workers = append(p.Workers, *m.report)
			m.report = nil
		}
	}
	clear(c.reported)
	if !c.placementCurrent {
		c.place(now, p)
		c.placementCurrent = true
	}
	if p.Seq == 0 && len(p.Workers)+len(p.Running)+len(p.Unconfirmed)+len(p.Ends)+len(p.Dead)+len(p.Starts) == 0 {
		return nil
	}
	c.newlyRunning, c.unconfirmed, c.ends, c.proofs = nil, nil, nil, nil
	c.planInFlight = &inFlightPlan{plan: p, sentAt: now}
	c.Counts.Plans++
	return p
}

// PlanAnswered takes in the answer to the plan under way. The caller has followed the store up to the plan's index,
// so that the handles of its run IDs are in the replica. A plan without an answer may or may not have been
// committed: what it said is said again, and run IDs that it brought are never sent.
func (c *Core) PlanAnswered(now time.Duration, epoch uint64, done command.Planned, err error) {
	c.now = now
	f := c.planInFlight
	if f == nil || f.plan.Epoch != epoch {
		return
	}
	if c.planInFlight, c.placementCurrent = nil, false; f.invalidated || c.phase != Ready {
		return
	}
	for _, s := range f.plan.Starts { // what a refused start would have taken is free still
		c.freedWorkers[s.Worker] = true
	}
	if err != nil {
		c.Counts.PlanFailures++
		c.ends = append(f.plan.Ends, c.ends...)
		if errs.Is(err, errs.Stale) {
			c.StepDown()
			return
		}
		c.proofs = append(f.plan.Dead, c.proofs...)
		for _, s := range f.plan.Starts {
			c.enqueue(s.Ref)
		}
		return
	}
	for i, s := range f.plan.Starts {
		runID := done.RunIDs[i]
		if runID == 0 {
			c.Counts.Refused++
			c.enqueue(s.Ref)
			continue
		}
		c.Counts.RunIDs++
		r, m := c.runs[runID], c.workers[s.Worker]
		if r == nil || m == nil {
			continue
		}
		by := min(now+c.cfg.StartWindow, f.sentAt+c.cfg.PlanWindow)
		if now >= by {
			c.proveDead(r, command.ProofUnsent, "")
			continue
		}
		r.inOutbox = true
		m.outbox = append(m.outbox, runID)
		m.outboxDeadline = by
		c.callsDue[m.name] = true
	}
}

// class is the due tasks that the same minions may run.
type class struct {
	key           string
	taskType      string
	queue         string
	team          string
	gang          bool
	unschedulable bool         // fitted nowhere when it was last held against all minions
	refs          []queuedTask // by age of their jobs, from head on
	head          int
	// passedOverSince is since when younger tasks have been started while none of it fitted; 0: they were not.
	passedOverSince   time.Duration
	nextReservationAt time.Duration // no reservation for it before
}

// queuedTask is a due task in its class.
type queuedTask struct {
	state.TaskRef
	seq uint64 // of its job
}

// insert lets a task in behind those of its job and of older ones: one that falls due again keeps its place. What is
// fewer moves: most tasks come last, and those that come again belong near the head.
func (k *class) insert(q queuedTask) {
	at, _ := slices.BinarySearchFunc(k.refs[k.head:], q.seq+1, func(e queuedTask, seq uint64) int { return cmp.Compare(e.seq, seq) })
	if k.head > 0 && at < len(k.refs)-k.head-at {
		k.head--
		copy(k.refs[k.head:], k.refs[k.head+1:k.head+1+at])
		k.refs[k.head+at] = q
		return
	}
	k.refs = slices.Insert(k.refs, k.head+at, q)
}

// nextProbeAt is how many tasks of it are placed together.
func (k *class) groupSize() int {
	if k.gang {
		return len(k.refs) - k.head
	}
	return 1
}

type backoffTask struct {
	at  time.Duration
	ref state.TaskRef
}

type backoffHeap []backoffTask

// Len is part of heap.Interface.
func (w backoffHeap) Len() int { return len(w) }

// Less orders the tasks by the time they become due; part of heap.Interface.
func (w backoffHeap) Less(i, j int) bool { return w[i].at < w[j].at }

// Swap is part of heap.Interface.
func (w backoffHeap) Swap(i, j int) { w[i], w[j] = w[j], w[i] }

// Push is part of heap.Interface.
func (w *backoffHeap) Push(x any) { *w = append(*w, x.(backoffTask)) }

// Pop is part of heap.Interface.
func (w *backoffHeap) Pop() any {
	old := *w
	x := old[len(old)-1]
	*w = old[:len(old)-1]
	return x
}

// queue holds the due tasks: those in back-off by time, the others by class, oldest first. Entries may be out
// of date; they are checked against the replica when they are taken.
type queue struct {
	classes map[string]*class
	backoff backoffHeap
	queued  map[state.TaskRef]bool
}

func (b *queue) clear() {
	b.classes, b.backoff, b.queued = map[string]*class{}, nil, map[state.TaskRef]bool{}
}

func (b *queue) len() int { return len(b.queued) }

// enqueue puts a task that fell due into the queue.
func (c *Core) enqueue(ref state.TaskRef) {
	_, t := c.st.TaskOf(ref)
	if t == nil || t.Phase != state.TaskDue {
		return
	}
	if t.RunID > 0 && c.released[t.RunID] == nil {
		c.released[t.RunID] = &releasedRun{ref: ref}
	}
	if c.queue.queued[ref] {
		return
	}
	c.queue.queued[ref] = true
	if wait := t.DueAt.Sub(c.st.At); !t.DueAt.IsZero() && wait > 0 {
		heap.Push(&c.queue.backoff, backoffTask{c.now + wait, ref})
		return
	}
	c.addToClass(ref)
}

func (c *Core) addToClass(ref state.TaskRef) {
	j, _ := c.st.TaskOf(ref)
	if j == nil {
		delete(c.queue.queued, ref)
		return
	}
	step := &j.Spec.Steps[ref.Step]
	var key strings.Builder
	fmt.Fprintf(&key, "%s|%s|%s|%d|%d", j.Spec.Queue, j.Spec.Team, step.Type, step.Cores, step.GPUs)
	for _, k := range slices.Sorted(maps.Keys(step.Labels)) {
		key.WriteString("|" + k + "=" + step.Labels[k])
	}
	if step.Gang {
		fmt.Fprintf(&key, "|gang|%s|%d", ref.Job, ref.Step)
	}
	if !step.Gang && c.st.IsRestart(ref) { // not to wait behind one that its party's balance does not cover
		key.WriteString("|attached")
	}
	k := c.queue.classes[key.String()]
	if k == nil {
		k = &class{key: key.String(), taskType: step.Type, queue: j.Spec.Queue, team: j.Spec.Team, gang: step.Gang}
		c.queue.classes[k.key] = k
	}
	k.insert(queuedTask{ref, j.Seq})
}

// peek gives the oldest task of a class that is still due, nil if none is left.
func (c *Core) peek(k *class) (*state.Job, *state.TaskRef) {
	for k.head < len(k.refs) {
		ref := &k.refs[k.head].TaskRef
		if j, t := c.st.TaskOf(*ref); t != nil && t.Phase == state.TaskDue && j.Phase == state.JobRunning {
			return j, ref
		}
		c.pop(k)
	}
	return nil, nil
}

func (c *Core) pop(k *class) {
	delete(c.queue.queued, k.refs[k.head].TaskRef)
	k.head++
	switch {
	case k.head == len(k.refs):
		k.refs, k.head = nil, 0
	case k.head > 1024 && k.head > len(k.refs)/2:
		k.refs = append([]queuedTask(nil), k.refs[k.head:]...)
		k.head = 0
	}
}

// candidateWorker is what is free on a minion in this pass.
type candidateWorker struct {
	rec         *state.Worker
	cores, gpus int
	probe       bool // of a sick minion: one start, no more
}

// candidateWorkers gives those of the named minions that may get a start now.
func (c *Core) candidateWorkers(now time.Duration, names []string) []*candidateWorker {
	out := make([]*candidateWorker, 0, len(names))
	for _, name := range names {
		m, rec := c.workers[name], c.st.Workers[name]
		if m == nil || rec == nil || m.heardAt == 0 || m.failures > 0 || m.draining || m.orderCall != 0 || len(m.outbox) > 0 || m.report != nil ||
			rec.Incarnation != m.incarnation || now-m.heardAt > c.cfg.PlacementTimeout || !c.health.admitsStart(now, m.name) {
			continue
		}
		r := c.st.UsageOf(m.name)
		if s := (&candidateWorker{rec, rec.Cores - r.Cores, rec.GPUs - r.GPUs, c.health.unhealthy[m.name] != nil}); s.cores > 0 {
			out = append(out, s)
		}
	}
	return out
}

// place puts starts for due tasks into a plan. Urgent queues go first, then types under their limit, then those
// over it; in each the team first that has least out for its weight, if the bundle gives weights, then the oldest.
// A class that fits nowhere now holds up no other, but for short reservations (see reserve): no limit and no large
// task leaves room idle for long that another due task may use.
func (c *Core) place(now time.Duration, p *command.Plan) {
	for len(c.queue.backoff) > 0 && c.queue.backoff[0].at <= now {
		c.addToClass(heap.Pop(&c.queue.backoff).(backoffTask).ref)
	}
	if len(c.queue.queued) == len(c.queue.backoff) || len(c.ring) == 0 {
		return
	}
	c.resetBudget()
	if c.fullScan {
		c.updateReservation(now)
	}
	all, near, unschedulable := c.screenClasses(now)
	if len(all)+len(near) == 0 {
		clear(c.freedWorkers)
		return
	}
	pending, teams := map[string]int{}, map[string]int{}
	next, nearNext := 0, 0
	for len(p.Starts) < c.cfg.MaxStarts {
		k, j := c.nextClass(pending, teams, unschedulable)
		if k == nil {
			break
		}
		n := k.groupSize()
		candidates, from := all, &next
		if k.unschedulable && !k.gang || len(all) == 0 {
			candidates, from = near, &nearNext
		}
		var starts []command.Start
		if c.isCovered(k, j) {
			starts = c.fitTasks(candidates, from, j, k, n)
		}
		if starts == nil {
			unschedulable[k.key], k.unschedulable = true, true
			continue
		}
		c.reserveFee(k, j)
		for range n {
			c.pop(k)
		}
		if k.passedOverSince = 0; c.reservation != nil && c.reservation.class == k.key {
			c.endReservation(now)
		}
		if k.gang {
			delete(c.queue.classes, k.key)
			for i := range starts {
				starts[i].Group = len(p.Starts) + 1
			}
		}
		p.Starts = append(p.Starts, starts...)
		pending[k.taskType] += n
		teams[k.team] += n
	}
	c.recordPassedOver(now, p.Starts, unschedulable, pending)
	clear(c.budget.reserved)
	c.ringOffset = (c.ringOffset + next) % len(c.ring)
	if len(p.Starts) < c.cfg.MaxStarts {
		clear(c.freedWorkers)
	}
}

// screenClasses gives the minions that may get a start now, all and those news came from, and the classes that fit on none.
// A class that fitted nowhere is held against those with news only, until a sweep or a change of placement: at a full
// fleet the kinds of due tasks times all minions would be gone through after every answer. near is a part of all,
// which is empty when no class asks for it.
func (c *Core) screenClasses(now time.Duration) (all, near []*candidateWorker, unschedulable map[string]bool) {
	wide := c.fullScan
	for _, k := range c.queue.classes {
		wide = wide || !k.unschedulable
	}
	if wide {
		ring := make([]string, len(c.ring))
		for i := range ring {
			ring[i] = c.ring[(c.ringOffset+i)%len(c.ring)]
		}
		all = c.candidateWorkers(now, ring)
		for _, s := range all {
			if c.freedWorkers[s.rec.Name] {
				near = append(near, s)
			}
		}
	} else {
		near = c.candidateWorkers(now, sortedKeys(c.freedWorkers))
	}
	unschedulable = map[string]bool{}
	for key, k := range c.queue.classes {
		if c.fullScan || !k.unschedulable {
			k.unschedulable = !c.fitsAny(k, all)
			unschedulable[key] = k.unschedulable
		} else {
			unschedulable[key] = !c.fitsAny(k, near)
		}
	}
	c.fullScan = false
	return all, near, unschedulable
}

// fitsAny tells whether any of spots would take the oldest task of a class.
func (c *Core) fitsAny(k *class, candidates []*candidateWorker) bool {
	j, ref := c.peek(k)
	if j == nil {
		return true // choose lets it go
	}
	if c.awaitsTopUp(k) {
		return false
	}
	step := &j.Spec.Steps[ref.Step]
	return slices.ContainsFunc(candidates, func(s *candidateWorker) bool {
		return c.mayUse(k, s.rec.Name) && s.cores >= step.Cores && s.gpus >= step.GPUs && c.st.PlacementRefusal(&j.Spec, step, s.rec) == ""
	})
}

// nextClass gives the class whose oldest task is next, with the job of that task.
func (c *Core) nextClass(pending, teams map[string]int, unschedulable map[string]bool) (*class, *state.Job) {
	var best *class
	var owner *state.Job
	first, least := rankUrgent, 0.0
	for key, k := range c.queue.classes {
		if unschedulable[key] {
			continue
		}
		j, _ := c.peek(k)
		if j == nil {
			delete(c.queue.classes, key)
			continue
		}
		r := c.rankOf(k, pending[k.taskType])
		share := c.teamShare(k.team, teams)
		if best == nil || r < first || r == first && (share < least || share == least && (j.Seq < owner.Seq || j.Seq == owner.Seq && key < best.key)) {
			best, owner, first, least = k, j, r, share
		}
	}
	return best, owner
}

// teamShare is what a team has out against its weight; 0 for all while the bundle gives no weights.
func (c *Core) teamShare(team string, pending map[string]int) float64 {
	if len(c.st.Bundle.Weights) == 0 {
		return 0
	}
	return float64(c.runningByTeam[team]+pending[team]) / float64(max(1, c.st.Bundle.Weights[team]))
}

// fitTasks finds room for the next n tasks of a class, for all or none, and takes it.
func (c *Core) fitTasks(candidates []*candidateWorker, next *int, j *state.Job, k *class, n int) []command.Start {
	var starts []command.Start
	var taken []*candidateWorker
	for i := range n {
		ref := k.refs[k.head+i].TaskRef
		step := &j.Spec.Steps[ref.Step]
		var found *candidateWorker
		for range candidates {
			s := candidates[*next%len(candidates)]
			*next++
			if !c.mayUse(k, s.rec.Name) || s.cores < step.Cores || s.gpus < step.GPUs || s.probe && n > 1 || c.st.PlacementRefusal(&j.Spec, step, s.rec) != "" {
				continue
			}
			if !c.health.hasFailedOn(ref, s.rec.Name) {
				found = s
				break
			}
			if found == nil && !s.probe { // better there again than not at all
				found = s
			}
		}
		if found == nil {
			for x, s := range taken {
				step := &j.Spec.Steps[starts[x].Ref.Step]
				s.cores += step.Cores
				s.gpus += step.GPUs
			}
			return nil
		}
		found.cores -= step.Cores
		found.gpus -= step.GPUs
		if found.probe {
			found.cores = 0
		}
		taken = append(taken, found)
		starts = append(starts, command.Start{Ref: ref, Worker: found.rec.Name, Incarnation: found.rec.Incarnation})
	}
	return starts
}
