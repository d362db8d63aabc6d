package scheduler

import "time"

// Conditions under which a whole zone is suspected to be lost.
const (
	minZoneLosses  = 3                     // minimum number of its workers that have stopped answering
	zoneFraction   = 16                    // they must also be at least one in zoneFraction of its workers
	zoneLossWindow = time.Second           // only workers that stopped answering within this time count
	freshAnswer    = 50 * time.Millisecond // a worker that answered within this time needs no probe
)

// verifyZone probes all workers of a worker's zone if several of them have stopped answering. The probed workers are
// sent no starts until they answer, as a start that is sent into a lost zone stays unconfirmed until the worker's lease
// expires. Workers that have announced their shutdown are ignored, as they stop answering for another reason.
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
