package scheduler

import (
	"cmp"
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"crosstide/internal/state"
)

// queue has the due tasks: those in back-off ordered by time, the others by class. An entry may be out of date; it is
// checked against the replica when it is used. Core owns the queue.
type queue struct {
	classes map[string]*class // by key
	backoff backoffHeap
	queued  map[state.TaskRef]bool // every task in classes or backoff
}

// clear removes all tasks and classes.
func (q *queue) clear() {
	q.classes, q.backoff, q.queued = map[string]*class{}, nil, map[state.TaskRef]bool{}
}

// len returns the number of queued tasks, including those in back-off.
func (q *queue) len() int { return len(q.queued) }

// isIdle reports whether no task is ready to be placed.
func (q *queue) isIdle() bool { return len(q.queued) == len(q.backoff) }

// class is a set of due tasks with the same placement requirements, and their placement state.
type class struct {
	key      string
	taskType string
	queue    string
	team     string
	gang     bool // all of its tasks start together or none does

	refs []queuedTask // the tasks from index head on, oldest job first
	head int

	unschedulable bool // its oldest task fitted on no worker in the latest round that considered all workers
	// passedOverSince is when a younger task first started while no task of the class fitted; 0 if none has.
	passedOverSince   time.Duration
	nextReservationAt time.Duration // earliest time of the class's next reservation
}

// queuedTask is a due task in its class.
type queuedTask struct {
	state.TaskRef
	seq uint64 // of its job
}

// insert puts a task behind those of its own job and of older jobs, so that a task that becomes due again does not
// wait behind younger jobs. New tasks are inserted near the end and requeued ones near the head, so the shorter side
// is moved.
func (cls *class) insert(task queuedTask) {
	at, _ := slices.BinarySearchFunc(cls.refs[cls.head:], task.seq+1,
		func(e queuedTask, seq uint64) int { return cmp.Compare(e.seq, seq) })
	if cls.head > 0 && at < len(cls.refs)-cls.head-at {
		cls.head--
		copy(cls.refs[cls.head:], cls.refs[cls.head+1:cls.head+1+at])
		cls.refs[cls.head+at] = task
		return
	}
	cls.refs = slices.Insert(cls.refs, cls.head+at, task)
}

// groupSize returns the number of tasks that are placed together: all of a gang, otherwise one.
func (cls *class) groupSize() int {
	if cls.gang {
		return len(cls.refs) - cls.head
	}
	return 1
}

// backoffTask is a due task that must not be placed before at.
type backoffTask struct {
	at  time.Duration
	ref state.TaskRef
}

// backoffHeap implements heap.Interface, ordered by time.
type backoffHeap []backoffTask

// Len implements heap.Interface.
func (h backoffHeap) Len() int { return len(h) }

// Less implements heap.Interface: it orders the tasks by the end of their back-off.
func (h backoffHeap) Less(i, j int) bool { return h[i].at < h[j].at }

// Swap implements heap.Interface.
func (h backoffHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *backoffHeap) Push(x any) { *h = append(*h, x.(backoffTask)) }

// Pop implements heap.Interface.
func (h *backoffHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

// enqueueDueTasks enqueues the due tasks of a job.
func (c *Core) enqueueDueTasks(job *state.Job) {
	for step := range job.Tasks {
		for task := range job.Tasks[step] {
			if job.Tasks[step][task].Phase == state.TaskDue {
				c.enqueue(state.TaskRef{Job: job.Spec.Key, Step: step, Task: task})
			}
		}
	}
}

// enqueue adds a due task to the queue. It ignores a task that is already queued or no longer due. If the task had a
// run before, enqueue records that run as released, because its successful end may still be accepted.
func (c *Core) enqueue(ref state.TaskRef) {
	_, task := c.st.TaskOf(ref)
	if task == nil || task.Phase != state.TaskDue {
		return
	}
	if task.RunID > 0 && c.released[task.RunID] == nil {
		c.released[task.RunID] = &releasedRun{ref: ref}
	}
	if c.queue.queued[ref] {
		return
	}
	c.queue.queued[ref] = true
	if wait := task.DueAt.Sub(c.st.At); !task.DueAt.IsZero() && wait > 0 {
		heap.Push(&c.queue.backoff, backoffTask{c.now + wait, ref})
		return
	}
	c.addToClass(ref)
}

// endBackoffs moves tasks whose back-off has ended to their classes.
func (c *Core) endBackoffs(now time.Duration) {
	for len(c.queue.backoff) > 0 && c.queue.backoff[0].at <= now {
		c.addToClass(heap.Pop(&c.queue.backoff).(backoffTask).ref)
	}
}

// addToClass adds a task to its class, and creates the class if it does not exist.
func (c *Core) addToClass(ref state.TaskRef) {
	job, _ := c.st.TaskOf(ref)
	if job == nil {
		delete(c.queue.queued, ref)
		return
	}
	step := &job.Spec.Steps[ref.Step]
	key := c.classKey(job, step, ref)
	cls := c.queue.classes[key]
	if cls == nil {
		cls = &class{key: key, taskType: step.Type, queue: job.Spec.Queue, team: job.Spec.Team, gang: step.Gang}
		c.queue.classes[key] = cls
	}
	cls.insert(queuedTask{ref, job.Seq})
}

// classKey returns the key of a task's class. It contains every attribute that decides which workers may run the task,
// and separates each gang and the restarts of long-running tasks from other tasks. nextClass breaks ties between
// classes by their keys.
func (c *Core) classKey(job *state.Job, step *state.StepSpec, ref state.TaskRef) string {
	var key strings.Builder
	fmt.Fprintf(&key, "%s|%s|%s|%d|%d", job.Spec.Queue, job.Spec.Team, step.Type, step.Cores, step.GPUs)
	for _, label := range slices.Sorted(maps.Keys(step.Labels)) {
		key.WriteString("|" + label + "=" + step.Labels[label])
	}
	if step.Gang {
		fmt.Fprintf(&key, "|gang|%s|%d", ref.Job, ref.Step)
	}
	if !step.Gang && c.st.IsRestart(ref) { // needs no fee: must not wait behind an uncovered task
		key.WriteString("|attached")
	}
	return key.String()
}

// peek returns the oldest task of a class that is still due, and its job, or nil if none is left. It drops tasks that
// are no longer due.
func (c *Core) peek(cls *class) (*state.Job, *state.TaskRef) {
	for cls.head < len(cls.refs) {
		ref := &cls.refs[cls.head].TaskRef
		if job, task := c.st.TaskOf(*ref); task != nil && task.Phase == state.TaskDue && job.Phase == state.JobRunning {
			return job, ref
		}
		c.pop(cls)
	}
	return nil, nil
}

// pop removes the oldest task of a class.
func (c *Core) pop(cls *class) {
	delete(c.queue.queued, cls.refs[cls.head].TaskRef)
	cls.head++
	switch {
	case cls.head == len(cls.refs):
		cls.refs, cls.head = nil, 0
	case cls.head > 1024 && cls.head > len(cls.refs)/2:
		cls.refs = append([]queuedTask(nil), cls.refs[cls.head:]...)
		cls.head = 0
	}
}
