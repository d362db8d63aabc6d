package jobs

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// generator draws changes, most of which fit the records of its table.
type generator struct {
	*rapid.T
	table *Table
}

func (d generator) number(name string, least, most int) int {
	return rapid.IntRange(least, most).Draw(d.T, name)
}

func pick[T any](d generator, name string, list ...T) T {
	return rapid.SampledFrom(list).Draw(d.T, name)
}

func (d generator) at() time.Time {
	return noon.Add(time.Duration(d.number("at", 0, 50)) * time.Second)
}

func (d generator) worker() string { return pick(d, "worker", "w1", "w2", "w3", "g1") }

func (d generator) change() any {
	switch n := d.number("kind", 0, 31); {
	case n < 20 && len(d.table.Jobs) > 0: // small numbers are drawn more often
		return d.progress()
	case n < 26:
		return d.submit()
	case n == 26:
		return d.configure()
	case n == 27:
		return Evacuate{Zone: pick(d, "zone", "zone-1", "zone-2"), Start: d.number("start", 0, 3) == 3}
	case n == 28:
		return d.register()
	case n == 29:
		return Cancel{ID: pick(d, "id", "a", "b", "c"), At: d.at()}
	default:
		return d.at()
	}
}

func (d generator) submit() Submit {
	steps := make([]Step, d.number("steps", 1, 2))
	for i := range steps {
		steps[i] = Step{
			Count: d.number("count", 1, 3), Needs: Resources{MilliCPU: 500 * d.number("cores", 0, 2)},
			MaxPerWorker: pick(d, "most", 0, 0, 1, 2), Label: pick(d, "label", "", "", "", "ssd", "fast"),
			Gang: d.number("gang", 0, 2) == 2, LongRunning: d.number("lasting", 0, 5) == 5,
		}
		if i > 0 && d.number("after", 0, 1) == 0 {
			steps[i].After = []int{0}
		}
	}
	c := testJob(pick(d, "id", "a", "b", "c", "d"), steps...)
	c.Spec.Queue = pick(d, "queue", "plain", "plain", "guarded", "plain", "guarded", "none")
	c.Spec.Rounds = d.number("rounds", 0, 2)
	return c
}

func (d generator) configure() Configure {
	c := testConfig()
	c.Base = d.table.Config.Version
	c.Version = c.Base + uint64(d.number("step", 0, 2))
	c.Digest = fmt.Sprint("order ", d.number("order", 0, 9))
	c.Queues[0].MaxAttempts = d.number("attempts", 1, 3)
	if d.number("remove", 0, 3) == 3 {
		c.Queues = c.Queues[1:]
		c.RemoveQueues = []string{"plain"}
	}
	return c
}

func (d generator) register() Register {
	id := d.worker()
	worker := testWorker(id, map[byte]string{'w': "open", 'g': "guard"}[id[0]])
	worker.Draining, worker.Left = d.number("draining", 0, 9) == 9, d.number("left", 0, 9) == 9
	if d.number("fast", 0, 1) == 0 {
		worker.Labels = append(worker.Labels, "fast")
	}
	return Register{Workers: []Worker{worker}}
}

func (d generator) progress() Progress {
	p := Progress{Term: testTerm, At: d.at()}
	for range d.number("ends", 0, 3) {
		keys := d.table.RunsOn(d.worker())
		if len(keys) == 0 {
			continue
		}
		key := pick(d, "key", keys...)
		_, task := d.table.findTask(key.Task)
		end := End{Key: key, Worker: task.Handles[0].Worker, Reason: pick(d, "how", EndDone, EndDone, EndFailed, EndLost)}
		end.Checkpoint = pick(d, "checkpoint", "", "", "half")
		p.Ends = append(p.Ends, end)
	}
	for range d.number("starts", 0, 3) {
		p.Starts = append(p.Starts, d.starts()...)
	}
	if d.number("forget", 0, 9) == 9 {
		p.Forget = []string{d.worker()}
	}
	return p
}

// starts draws starts of a step: of one task, or of most or all members of a gang.
func (d generator) starts() []Start {
	job := d.table.Jobs[pick(d, "job", "a", "b", "c", "d")]
	if job == nil || job.Rounds == nil {
		return nil
	}
	round := d.number("round", 0, len(job.Rounds)-1)
	step := d.number("step", 0, len(job.Spec.Steps)-1)
	tasks := job.Rounds[round][step]
	start := func(index, number int) Start {
		worker := d.worker()
		if job.Spec.Queue == "guarded" && d.number("other", 0, 9) < 9 {
			worker = "g1"
		}
		return startOf(TaskRef{Job: job.Spec.ID, Round: round, Step: step, Index: index}, number, worker)
	}
	if !job.Spec.Steps[step].Gang {
		index := d.number("index", 0, len(tasks)-1)
		return []Start{start(index, tasks[index].LastRun+pick(d, "number", 1, 1, 2, 1, 0))}
	}
	var starts []Start
	number := tasks[0].LastRun + pick(d, "number", 1, 1, 2, 1, 0)
	for index := range tasks {
		if d.number("leave out", 0, 9) < 9 {
			starts = append(starts, start(index, number))
		}
	}
	return starts
}
