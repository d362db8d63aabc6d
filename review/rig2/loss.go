package main

import (
	"encoding/json"
	"fmt"
	"time"
)

// idleLimit is how long a job may have nothing running while its task's turn has come and there is room (rule LOST).
const idleLimit = 3 * time.Second

// idleWatch checks the last clause of the rule LOST for one job of which one task is due, from what the minions run:
// for 3 s the job has nothing running, there is room for the task twice over, and under half of each resource of the
// service is in use.
type idleWatch struct {
	world   *world
	job     string
	tasks   int // of the job
	task    needs
	minions []*minion
	since   time.Duration // since when all conditions hold; 0: they don't
}

// look returns a verdict once the conditions have held for longer than idleLimit.
func (i *idleWatch) look() verdict {
	now, running, done, places := i.world.now(), 0, 0, 0
	var used, capacity needs
	for _, m := range i.minions {
		running, done = running+m.runsOf(i.job), done+m.doneOf(i.job)
		usage := m.usage()
		used, capacity = used.plus(usage, 1), capacity.plus(m.capacity, 1)
		for room := m.capacity.plus(usage, -1); i.task.fits(room); room = room.plus(i.task, -1) {
			places++
		}
	}
	isCalm := 2*used.CPU < capacity.CPU && 2*used.Memory < capacity.Memory &&
		(capacity.GPU == 0 || 2*used.GPU < capacity.GPU)
	if running > 0 || done == i.tasks || places < 2 || !isCalm {
		i.since = 0
		return ""
	}
	if i.since == 0 {
		i.since = now
	}
	if now-i.since <= idleLimit {
		return ""
	}
	return verdict(fmt.Sprintf("LOST: job %s has nothing running since %.1f s (for over %s), although its task's turn "+
		"has come; room for %d such tasks, in use %+v of %+v",
		i.job, i.since.Seconds(), idleLimit, places, used, capacity))
}

// specOf returns the text of a job.
func specOf(spec taskSpec) string {
	text, err := json.Marshal(spec)
	check(err, "text of a job")
	return string(text)
}

// step returns one step of a job.
func step(count int, n needs, estimate time.Duration, more map[string]any) map[string]any {
	s := map[string]any{"count": count, "estimatedMs": estimate.Milliseconds()}
	if n.CPU > 0 {
		s["cpu"] = n.CPU
	}
	if n.Memory > 0 {
		s["memoryRequestMb"] = n.Memory
	}
	if n.GPU > 0 {
		s["gpu"] = n.GPU
	}
	for name, value := range more {
		s[name] = value
	}
	return s
}

// doneOf returns how many runs of a job ended done on the minions.
func doneOf(minions []*minion, job string) (count int) {
	for _, m := range minions {
		count += m.doneOf(job)
	}
	return count
}

// runsOf returns how many tasks of a job run on the minions.
func runsOf(minions []*minion, job string) (count int) {
	for _, m := range minions {
		count += m.runsOf(job)
	}
	return count
}
