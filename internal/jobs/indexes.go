package jobs

import "container/heap"

// stepRef names a step of one round of a job.
type stepRef struct {
	job         string
	round, step int
}

func (r TaskRef) stepRef() stepRef { return stepRef{job: r.Job, round: r.Round, step: r.Step} }

// occupancy is what the handles on one worker take.
type occupancy struct {
	used  Resources
	runs  map[RunKey]struct{}
	steps map[stepRef]int // handles by step of a round
}

// jobIndex is what is derived of a job, so that no change has to look at all of its tasks.
type jobIndex struct {
	remaining [][]int // tasks that are not done, by round and step
	undone    int     // tasks that are not done
	handles   int     // handles that are out
}

// Rebuild makes anew what is derived from the exported fields. UnmarshalJSON calls it.
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
	t.indexParties()
	t.orders = map[string]struct{}{}
	for _, digest := range t.Orders {
		t.orders[digest] = struct{}{}
	}
	t.queued = map[string]int{}
	t.occupancy = map[string]*occupancy{}
	t.retired = nil
	for _, job := range t.Jobs {
		t.indexJob(job)
	}
}

// indexJob derives a job's index and enters the job and its handles into the table's.
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
	if job.State == Queued {
		t.queued[job.Spec.Queue]++
	}
	if job.State.IsTerminal() && job.index.handles == 0 {
		heap.Push(&t.retired, job)
	}
}

func (t *Table) indexTask(job *Job, task *Task, ref TaskRef) {
	if !task.Done {
		job.index.remaining[ref.Round][ref.Step]++
		job.index.undone++
	}
	for _, run := range task.Runs {
		job.index.handles++
		t.occupy(run.Worker, RunKey{Task: ref, Number: run.Number}, job.Spec.Steps[ref.Step].Needs)
	}
}

// occupy counts a handle in on its worker.
func (t *Table) occupy(worker string, key RunKey, needs Resources) {
	o := t.occupancy[worker]
	if o == nil {
		o = &occupancy{runs: map[RunKey]struct{}{}, steps: map[stepRef]int{}}
		t.occupancy[worker] = o
	}
	o.used = o.used.plus(needs, 1)
	o.runs[key] = struct{}{}
	o.steps[key.Task.stepRef()]++
}

// vacate counts a handle out on its worker.
func (t *Table) vacate(worker string, key RunKey, needs Resources) {
	o := t.occupancy[worker]
	delete(o.runs, key)
	if len(o.runs) == 0 {
		delete(t.occupancy, worker)
		return
	}
	o.used = o.used.plus(needs, -1)
	step := key.Task.stepRef()
	if o.steps[step]--; o.steps[step] == 0 {
		delete(o.steps, step)
	}
}

// plus gives r and times as much as needs.
func (r Resources) plus(needs Resources, times int) Resources {
	return Resources{
		MilliCPU: r.MilliCPU + times*needs.MilliCPU,
		MemoryMB: r.MemoryMB + times*needs.MemoryMB,
		GPUs:     r.GPUs + times*needs.GPUs,
	}
}

// fitsIn tells whether r is no more than capacity in any kind.
func (r Resources) fitsIn(capacity Resources) bool {
	return r.MilliCPU <= capacity.MilliCPU && r.MemoryMB <= capacity.MemoryMB && r.GPUs <= capacity.GPUs
}

// retiredJobs is a heap of jobs by end, then by acceptance.
type retiredJobs []*Job

// Len is part of heap.Interface.
func (r retiredJobs) Len() int { return len(r) }

// Swap is part of heap.Interface.
func (r retiredJobs) Swap(i, k int) { r[i], r[k] = r[k], r[i] }

// Less orders jobs by their end, then by their acceptance; part of heap.Interface.
func (r retiredJobs) Less(i, k int) bool {
	if r[i].EndedAt.Equal(r[k].EndedAt) {
		return r[i].Sequence < r[k].Sequence
	}
	return r[i].EndedAt.Before(r[k].EndedAt)
}

// Push is for package heap.
func (r *retiredJobs) Push(job any) { *r = append(*r, job.(*Job)) }

// Pop is for package heap.
func (r *retiredJobs) Pop() any {
	last := len(*r) - 1
	job := (*r)[last]
	(*r)[last] = nil
	*r = (*r)[:last]
	return job
}
