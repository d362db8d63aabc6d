package jobssim

import (
	"fmt"
	"time"

	"crosstide/internal/jobs"
)

// withoutGuard returns a change as a table without a guard would make it; every node does the same.
func withoutGuard(without Guard, t *jobs.Table, change any) any {
	switch c := change.(type) {
	case jobs.Submit:
		return weakenSubmit(without, t, c)
	case jobs.Configure:
		return weakenConfigure(without, t, c)
	case jobs.Register:
		return weakenRegister(without, t, c)
	case jobs.Evacuate:
		if without == NoEvacuationMark {
			c.Start = false
		}
		return c
	}
	return change
}

func weakenSubmit(without Guard, t *jobs.Table, c jobs.Submit) jobs.Submit {
	if without == NoIdentity && t.Jobs[c.Spec.ID] != nil {
		c.Spec.ID += " again"
	}
	return c
}

// manyAttempts is more than any task of a run makes.
const manyAttempts = 1000

func weakenConfigure(without Guard, t *jobs.Table, c jobs.Configure) jobs.Configure {
	switch without {
	case NoAttemptBound:
		c.Queues = append([]jobs.Queue{}, c.Queues...)
		for i := range c.Queues {
			c.Queues[i].MaxAttempts = manyAttempts
		}
	case NoBaseCheck:
		c.Base = t.Config.Version
	case NoOrderMemory:
		c.Digest = ""
	case NoConfigCheck:
		return repairConfig(t, c)
	}
	return c
}

// repairConfig makes an invalid configuration a valid one.
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

func weakenRegister(without Guard, t *jobs.Table, c jobs.Register) jobs.Register {
	c.Workers = append([]jobs.Worker{}, c.Workers...)
	for i := range c.Workers {
		w := &c.Workers[i]
		switch without {
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
