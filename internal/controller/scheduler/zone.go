package scheduler

import (
	"time"
)

// Bounds of the suspicion that a whole zone is lost.
const (
	minZoneLosses  = 3                     // workers of a zone without an answer, at least
	zoneFraction   = 16                    // and one in so many of its workers
	zoneLossWindow = time.Second           // within which they were found
	freshAnswer    = 50 * time.Millisecond // an answer that is younger needs no other
)

// verifyZone asks all workers of a worker's zone at once, if several of them have stopped answering. None takes starts
// before it has answered: a start that is sent into a lost zone is stuck until the worker's lease ends. Workers that have
// said that they end tell nothing of their zone when they do.
func (c *Core) verifyZone(w *worker, now time.Duration) {
	rec := w.record()
	if rec == nil || isLeaving(rec) {
		return
	}
	var others []*worker
	losses, members := 0, 0
	for _, other := range c.workerList {
		otherRec := other.record()
		if otherRec == nil || otherRec.Zone != rec.Zone || isLeaving(otherRec) {
			continue
		}
		members++
		if other.unansweredAt > other.answeredAt && now-other.unansweredAt <= zoneLossWindow {
			losses++
		} else if now-other.answeredAt > freshAnswer {
			others = append(others, other)
		}
	}
	if losses < max(minZoneLosses, members/zoneFraction) {
		return
	}
	for _, other := range others {
		other.verifyAt, other.probeDue = now, true
	}
}
