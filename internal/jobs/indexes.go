package jobs

import "container/heap"

// indexes are derived from the records of a Table and never stored. Rebuild builds them; every function that changes a
// record updates them.
type indexes struct {
	partyByQueue map[string]*Party     // into Table.Parties
	orders       map[string]struct{}   // Table.Orders as a set
	earlyCancels map[string]struct{}   // the IDs of Table.EarlyCancels
	queued       map[string]int        // number of Queued jobs by the queue that serves them; no zeros
	occupancy    map[string]*occupancy // by worker ID; only workers with handles
	retired      retiredJobs           // terminal jobs without handles
	footprint    int64                 // sum of those of all jobs
}

// stepRef identifies a step of one round of a job.
type stepRef struct {
	job         string
	round, step int
}

func (r TaskRef) stepRef() stepRef { return stepRef{job: r.Job, round: r.Round, step: r.Step} }

// occupancy is what the handles on a worker use of it.
type occupancy struct {
	used  Resources
	runs  map[RunKey]struct{}
	steps map[stepRef]int // number of handles by step of a round; no zeros
}

// jobIndex is derived from a job's tasks, so that no change has to scan all of them. All but the footprint is zero for
// a retired job.
type jobIndex struct {
	remaining [][]int // number of tasks that are not done, by round and step
	undone    int     // the sum of remaining
	handles   int     // number of handles of all tasks
	footprint int64   // estimate of the job's memory, in bytes
	serving   *Queue  // the queue of the configuration that serves the job; nil: none
}

// Rebuild derives the indexes from the exported fields, and initializes nil maps. UnmarshalJSON calls it.
func (t *Table) Rebuild() {
	if t.Jobs == nil {
		t.Jobs = map[string]*Job{}
	}
	if t.Workers == nil {
		t.Workers = map[string]*Worker{}
	}
	if t.Evacuated == nil {
		t.Evacuated = map[string]bool{}
	}
	if t.ZoneRevisions == nil {
		t.ZoneRevisions = map[string]uint64{}
	}
	t.indexes = indexes{
		orders: map[string]struct{}{}, earlyCancels: map[string]struct{}{}, queued: map[string]int{},
		occupancy: map[string]*occupancy{},
	}
	t.indexParties()
	for _, digest := range t.Orders {
		t.indexes.orders[digest] = struct{}{}
	}
	for _, cancel := range t.EarlyCancels {
		t.indexes.earlyCancels[cancel.ID] = struct{}{}
	}
	for _, job := range t.Jobs {
		t.indexJob(job)
	}
}

func (t *Table) indexParties() {
	t.indexes.partyByQueue = map[string]*Party{}
	for i := range t.Parties {
		for _, queue := range t.Parties[i].Queues {
			t.indexes.partyByQueue[queue] = &t.Parties[i]
		}
	}
}

// indexJob derives a job's index, and adds the job and its handles to the indexes of the table.
func (t *Table) indexJob(job *Job) {
	job.index = jobIndex{remaining: make([][]int, len(job.Rounds))}
	for round, steps := range job.Rounds {
		job.index.remaining[round] = make([]int, len(steps))
		for step, tasks := range steps {
			for i := range tasks {
				ref := TaskRef{Job: job.Spec.ID, Round: round, Step: step, Index: i}
				t.indexTask(job, &tasks[i], ref)
			}
		}
	}
	t.setFootprint(job, footprintOf(job))
	job.index.serving = t.servingQueue(&job.Spec)
	t.countQueued(job, 1)
	if job.State.IsTerminal() && job.index.handles == 0 {
		heap.Push(&t.indexes.retired, job)
	}
}

func (t *Table) indexTask(job *Job, task *Task, ref TaskRef) {
	if !task.Done {
		job.index.remaining[ref.Round][ref.Step]++
		job.index.undone++
	}
	for _, handle := range task.Handles {
		job.index.handles++
		t.indexes.occupy(handle.Worker, RunKey{Task: ref, Number: handle.Number}, job.Spec.Steps[ref.Step].Needs)
	}
}

// countQueued adds delta, 1 or -1, to the number of queued jobs of the queue that serves a job. It does nothing unless
// the job is queued.
func (t *Table) countQueued(job *Job, delta int) {
	if job.State != Queued || job.index.serving == nil {
		return
	}
	queued, name := t.indexes.queued, job.index.serving.Name
	if queued[name] += delta; queued[name] == 0 {
		delete(queued, name)
	}
}

// occupy adds a handle to its worker's occupancy.
func (x *indexes) occupy(worker string, key RunKey, needs Resources) {
	o := x.occupancy[worker]
	if o == nil {
		o = &occupancy{runs: map[RunKey]struct{}{}, steps: map[stepRef]int{}}
		x.occupancy[worker] = o
	}
	o.used = o.used.plus(needs, 1)
	o.runs[key] = struct{}{}
	o.steps[key.Task.stepRef()]++
}

// vacate removes a handle from its worker's occupancy.
func (x *indexes) vacate(worker string, key RunKey, needs Resources) {
	o := x.occupancy[worker]
	delete(o.runs, key)
	if len(o.runs) == 0 {
		delete(x.occupancy, worker)
		return
	}
	o.used = o.used.plus(needs, -1)
	step := key.Task.stepRef()
	if o.steps[step]--; o.steps[step] == 0 {
		delete(o.steps, step)
	}
}

// retiredJobs is a heap of jobs ordered by EndedAt, then by Sequence.
type retiredJobs []*Job

// Len implements heap.Interface.
func (r retiredJobs) Len() int { return len(r) }

// Swap implements heap.Interface.
func (r retiredJobs) Swap(i, k int) { r[i], r[k] = r[k], r[i] }

// Less orders jobs by EndedAt, then by Sequence; it implements heap.Interface.
func (r retiredJobs) Less(i, k int) bool {
	if r[i].EndedAt.Equal(r[k].EndedAt) {
		return r[i].Sequence < r[k].Sequence
	}
	return r[i].EndedAt.Before(r[k].EndedAt)
}

// Push implements heap.Interface.
func (r *retiredJobs) Push(job any) { *r = append(*r, job.(*Job)) }

// Pop implements heap.Interface.
func (r *retiredJobs) Pop() any {
	last := len(*r) - 1
	job := (*r)[last]
	(*r)[last] = nil
	*r = (*r)[:last]
	return job
}
