package scheduler

import "time"

// endAcks tracks which of a worker's ends were received, committed and acknowledged. The worker numbers its ends from
// 1. An end is acknowledged only after its commit: received >= durable >= acknowledged.
type endAcks struct {
	received     uint64        // highest number recorded by recordEnds
	durable      uint64        // highest committed number; the next call acknowledges all ends up to it
	durableAt    time.Duration // when durable last increased
	acknowledged uint64        // highest number acknowledged by a call that the worker answered
}

// markDurable records that the ends up to a number are committed. highestEnd maps worker IDs to numbers.
func (c *Core) markDurable(highestEnd map[string]uint64) {
	for id, number := range highestEnd {
		if w := c.workers[id]; w != nil && number > w.ends.durable {
			w.ends.durable, w.ends.durableAt = number, c.now
		}
	}
}

// hasUncommittedEnd reports whether an end of the worker was received but isn't committed yet.
func (c *Core) hasUncommittedEnd(w *worker) bool {
	_, pending := c.highestEnd[w.id]
	return pending || c.inFlight != nil && c.inFlight.highestEnd[w.id] > 0
}

// ackDelay is how long a durable end may wait for a call that is sent for another reason and acknowledges it. Usually
// the next run on the worker causes such a call.
const ackDelay = 1500 * time.Millisecond

// needsAck reports whether a worker without runs must be probed only to acknowledge its last ends. Without another call
// the worker would keep them forever.
func (w *worker) needsAck(now time.Duration) bool {
	callInFlight := w.renewal.longPoll.number != 0 || w.renewal.probe.number != 0
	return w.ends.durable > w.ends.acknowledged && len(w.runs) == 0 && !callInFlight && now-w.ends.durableAt >= ackDelay
}
