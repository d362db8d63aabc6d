package scheduler

import "time"

// Conditions under which a whole zone is suspected to be lost.
const (
	minZoneLosses  = 3                     // the least number of its workers that have stopped answering
	zoneFraction   = 16                    // they are also at least one in zoneFraction of its workers
	zoneLossWindow = time.Second           // only losses found within this time count
	freshAnswer    = 50 * time.Millisecond // a worker whose answer is younger needs no probe
)

// verifyZone probes all workers of a worker's zone if several of them have stopped answering. None takes starts before
// it has answered: a start that is sent into a lost zone stays unconfirmed until the worker's lease expires. Workers
// that have announced their shutdown don't count: when they stop answering, that proves nothing about their zone.
func (c *Core) verifyZone(w *worker, now time.Duration) {
	rec := w.record()
	if rec == nil || isLeaving(rec) {
		return
	}
	var unverified []*worker
	losses, members := 0, 0
	for _, member := range c.workerList {
		memberRec := member.record()
		if memberRec == nil || memberRec.Zone != rec.Zone || isLeaving(memberRec) {
			continue
		}
		members++
		switch {
		case member.contact.hasStoppedAnswering() && now-member.contact.unansweredAt <= zoneLossWindow:
			losses++
		case now-member.contact.answeredAt > freshAnswer:
			unverified = append(unverified, member)
		}
	}
	if losses < max(minZoneLosses, members/zoneFraction) {
		return
	}
	for _, member := range unverified {
		member.contact.verifyAt, member.renewal.probeDue = now, true
	}
}
