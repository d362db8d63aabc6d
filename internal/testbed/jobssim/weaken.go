package jobssim

import (
	"fmt"
	"time"

	"crosstide/internal/jobs"
)

// withoutGuard modifies a change, and if necessary the table, so that applying the change has the effect that it would
// have without a guard. All nodes do this in the same way.
func withoutGuard(removed Guard, t *jobs.Table, change any) any {
	switch c := change.(type) {
	case jobs.Submit:
		return weakenSubmit(removed, t, c)
	case jobs.Configure:
		return weakenConfigure(removed, t, c)
	case jobs.Register:
		return weakenRegister(removed, t, c)
	case jobs.Evacuate:
		if removed == NoEvacuationMark {
			c.Start = false
		}
		return c
	}
	return change
}

func weakenSubmit(removed Guard, t *jobs.Table, c jobs.Submit) jobs.Submit {
	if removed == NoJobDeduplication && t.Jobs[c.Spec.ID] != nil {
		c.Spec.ID += " again"
	}
	return c
}

// manyAttempts is more than the number of attempts of any task in a run.
const manyAttempts = 1000

func weakenConfigure(removed Guard, t *jobs.Table, c jobs.Configure) jobs.Configure {
	switch removed {
	case NoAttemptBound:
		c.Queues = append([]jobs.Queue{}, c.Queues...)
		for i := range c.Queues {
			c.Queues[i].MaxAttempts = manyAttempts
		}
	case NoBaseCheck:
		c.Base = t.Config.Version
	case NoChangeDeduplication:
		c.Digest = ""
	case NoConfigCheck:
		return repairConfig(t, c)
	}
	return c
}

// repairConfig turns an invalid configuration into a valid one.
func repairConfig(t *jobs.Table, c jobs.Configure) jobs.Configure {
	c.Queues = append([]jobs.Queue{}, c.Queues...)
	for i := range c.Queues {
		q := &c.Queues[i]
		q.Timeout = max(q.Timeout, time.Second)
		if c.Replace && q.Service != serviceGuards && q.Service != serviceOpen {
			q.Service = serviceOpen
		}
		for _, other := range c.Queues[:i] {
			if other.Prefix == q.Prefix {
				q.Prefix = fmt.Sprintf("%s%d/", q.Prefix, i)
			}
		}
	}
	if c.Base == t.Config.Version {
		c.Version = max(c.Version, c.Base+1)
	}
	return c
}

func weakenRegister(removed Guard, t *jobs.Table, c jobs.Register) jobs.Register {
	c.Workers = append([]jobs.Worker{}, c.Workers...)
	for i := range c.Workers {
		w := &c.Workers[i]
		switch removed {
		case NoCapacityCheck:
			w.Capacity = plus(w.Capacity, w.Capacity)
		case NoDrainMark:
			w.Draining = false
		case NoLeaveMark:
			w.Left = false
		case StaleHeartbeatsCount:
			delete(t.Workers, w.ID)
		}
	}
	return c
}
