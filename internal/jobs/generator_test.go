package jobs

import (
	"fmt"
	"time"

	"pgregory.net/rapid"
)

// generator draws random changes, most of which refer to existing records of its table.
type generator struct {
	*rapid.T
	table *Table
}

func (g generator) number(name string, minimum, maximum int) int {
	return rapid.IntRange(minimum, maximum).Draw(g.T, name)
}

func pick[T any](g generator, name string, list ...T) T {
	return rapid.SampledFrom(list).Draw(g.T, name)
}

func (g generator) at() time.Time {
	return noon.Add(time.Duration(g.number("at", 0, 50)) * time.Second)
}

func (g generator) worker() string { return pick(g, "worker", "w1", "w2", "w3", "g1") }

func (g generator) change() any {
	switch n := g.number("kind", 0, 33); {
	case n < 20 && len(g.table.Jobs) > 0: // small numbers are drawn more often
		return g.progress()
	case n < 26:
		return g.submit()
	case n == 26 || n >= 32:
		return g.configure()
	case n == 27:
		return Evacuate{Zone: pick(g, "zone", "zone-1", "zone-2"), Start: g.number("start", 0, 3) == 3}
	case n == 28:
		return g.register()
	case n == 29:
		return Cancel{ID: pick(g, "id", "a", "b", "c"), At: g.at()}
	case n == 30:
		return UpgradeSchema{Schema: pick(g, "schema", 0, SchemaLocations, NewestSchema+1)}
	default:
		return g.at()
	}
}

func (g generator) submit() Submit {
	steps := make([]Step, g.number("steps", 1, 2))
	for i := range steps {
		steps[i] = Step{
			Count: g.number("count", 1, 3), Needs: Resources{MilliCPU: 500 * g.number("cores", 0, 2)},
			MaxPerWorker: pick(g, "max per worker", 0, 0, 1, 2), Label: pick(g, "label", "", "", "", "ssd", "fast"),
			Gang: g.number("gang", 0, 2) == 2, LongRunning: g.number("long-running", 0, 5) == 5,
		}
		if i > 0 && g.number("after", 0, 1) == 0 {
			steps[i].After = []int{0}
		}
	}
	job := testJob(pick(g, "id", "a", "b", "c", "d"), steps...)
	job.Spec.Queue = pick(g, "queue", "plain", "plain", "guarded", "plain", "guarded", "none", "other")
	if g.number("by location", 0, 1) == 0 {
		prefix := pick(g, "prefix", "/plain/", "/plain/", "/guarded/", "/none/")
		job.Spec.Location = &Location{Host: "a.example", Path: prefix + job.Spec.ID}
	}
	job.Spec.Rounds = g.number("rounds", 0, 2)
	return job
}

func (g generator) configure() Configure {
	order := testConfig()
	order.Base = g.table.Config.Version
	order.Version = order.Base + uint64(g.number("version increment", 0, 2))
	order.Digest = fmt.Sprint("order ", g.number("order", 0, 9))
	order.Queues[0].MaxAttempts = g.number("attempts", 1, 3)
	order.Queues[0].Name = pick(g, "name", "plain", "plain", "plain", "other")
	switch g.number("exchange", 0, 5) {
	case 4:
		order.Queues[0].Name, order.Queues[1].Name = order.Queues[1].Name, order.Queues[0].Name
	case 5:
		order.Queues[0].Service, order.Queues[1].Service = order.Queues[1].Service, order.Queues[0].Service
	}
	if g.number("take over", 0, 3) == 3 {
		longer := order.Queues[1]
		longer.Name, longer.Prefix = "longer", pick(g, "longer prefix", "/plain/a", "/plain/", "/")
		if longer.Prefix == "/plain/" {
			order.Queues = order.Queues[1:]
		}
		order.Queues = append(order.Queues, longer)
	} else if g.number("remove", 0, 3) == 3 {
		order.Queues = order.Queues[1:]
	}
	order.Replace = g.number("replace", 0, 1) == 0
	if !order.Replace {
		for _, queue := range g.table.Config.Queues {
			order.RemoveQueues = append(order.RemoveQueues, queue.Name)
		}
	}
	return order
}

func (g generator) register() Register {
	id := g.worker()
	worker := testWorker(id, map[byte]string{'w': "open", 'g': "guard"}[id[0]])
	worker.Draining, worker.Left = g.number("draining", 0, 9) == 9, g.number("left", 0, 9) == 9
	if g.number("fast", 0, 1) == 0 {
		worker.Labels = append(worker.Labels, "fast")
	}
	return Register{Workers: []Worker{worker}}
}

func (g generator) progress() Progress {
	p := Progress{Term: testTerm, At: g.at()}
	for range g.number("ends", 0, 3) {
		keys := g.table.RunsOn(g.worker())
		if len(keys) == 0 {
			continue
		}
		key := pick(g, "key", keys...)
		_, task := g.table.findTask(key.Task)
		reason := pick(g, "reason", EndDone, EndDone, EndFailed, EndLost)
		end := End{Key: key, Worker: task.Handles[0].Worker, Reason: reason}
		end.Checkpoint = pick(g, "checkpoint", "", "", "half")
		p.Ends = append(p.Ends, end)
	}
	for range g.number("starts", 0, 3) {
		p.Starts = append(p.Starts, g.starts()...)
	}
	if g.number("forget", 0, 9) == 9 {
		p.RemoveWorkers = []string{g.worker()}
	}
	return p
}

// starts draws the starts of a step: one task of it, or most or all members of a gang.
func (g generator) starts() []Start {
	job := g.table.Jobs[pick(g, "job", "a", "b", "c", "d")]
	if job == nil || job.Rounds == nil {
		return nil
	}
	round := g.number("round", 0, len(job.Rounds)-1)
	step := g.number("step", 0, len(job.Spec.Steps)-1)
	tasks := job.Rounds[round][step]
	start := func(index, number int) Start {
		worker := g.worker()
		if queue := expectedQueue(g.table, job); queue != nil && queue.Service == "guard" && g.number("any worker", 0, 9) < 9 {
			worker = "g1"
		}
		return startOf(TaskRef{Job: job.Spec.ID, Round: round, Step: step, Index: index}, number, worker)
	}
	if !job.Spec.Steps[step].Gang {
		index := g.number("index", 0, len(tasks)-1)
		return []Start{start(index, tasks[index].LastRun+pick(g, "number", 1, 1, 2, 1, 0))}
	}
	var starts []Start
	number := tasks[0].LastRun + pick(g, "number", 1, 1, 2, 1, 0)
	for index := range tasks {
		if g.number("leave out", 0, 9) < 9 {
			starts = append(starts, start(index, number))
		}
	}
	return starts
}
