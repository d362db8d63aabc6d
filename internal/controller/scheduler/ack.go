package scheduler

import "time"

// endAcks tracks the ends that a worker lists, which it numbers from 1. Each step waits for the one before:
// received >= durable >= acknowledged.
type endAcks struct {
	received     uint64        // the highest end that was recorded
	durable      uint64        // the highest end that is committed: the next call acknowledges up to it
	durableAt    time.Duration // when durable last rose
	acknowledged uint64        // the highest end that an answered call has acknowledged
}

// markDurable records that the ends up to a number are committed, by worker.
func (c *Core) markDurable(highestEnd map[string]uint64) {
	for id, number := range highestEnd {
		if w := c.workers[id]; w != nil && number > w.ends.durable {
			w.ends.durable, w.ends.durableAt = number, c.now
		}
	}
}

// hasUncommittedEnd reports whether an end of the worker waits for its commit.
func (c *Core) hasUncommittedEnd(w *worker) bool {
	_, pending := c.highestEnd[w.id]
	return pending || c.inFlight != nil && c.inFlight.highestEnd[w.id] > 0
}

// ackDelay is how long a durable end may wait to be acknowledged by a call that has another purpose. Usually the next
// run brings one.
const ackDelay = 1500 * time.Millisecond

// needsAck reports whether a worker on which nothing runs must be probed only to acknowledge its last ends: without a
// further call it would keep them for ever.
func (w *worker) needsAck(now time.Duration) bool {
	callInFlight := w.renewal.longPoll.number != 0 || w.renewal.probe.number != 0
	return w.ends.durable > w.ends.acknowledged && len(w.runs) == 0 && !callInFlight && now-w.ends.durableAt >= ackDelay
}
