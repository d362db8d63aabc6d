package controller

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/jobs"
	"crosstide/internal/state/command"
)

// DefaultJobRetention is the default of LeaderOptions.JobRetention.
const DefaultJobRetention = 10 * time.Minute

// purgeInterval is how often the leader deletes expired jobs.
const purgeInterval = 20 * time.Second

// purgeEndedJobs proposes, every purgeInterval, to delete the jobs that ended at least JobRetention ago. A failed
// proposal is not retried: the next one covers the same jobs.
func (l *Leader) purgeEndedJobs(now time.Duration, term uint64) {
	if now < l.nextPurgeAt {
		return
	}
	l.nextPurgeAt = now + purgeInterval
	before := l.clock.Wall().Add(-l.opt.JobRetention)
	l.group.Go(func(ctx context.Context) {
		if _, _, err := l.opt.Store.ProposeIn(ctx, term, &command.JobPurge{Before: before}); err != nil {
			_ = level.Debug(l.log).Log("msg", "purge of ended jobs failed", "err", err)
		}
	})
}

// forgetWorker drops the controller's in-memory state of a worker that was removed from the table.
func (l *Leader) forgetWorker(worker string) {
	l.heartbeats.forget(worker)
	if l.opt.Mailboxes != nil {
		l.opt.Mailboxes.ForgetWorker(worker)
	}
}

// dropForgottenWorkers drops the controller's in-memory state of all workers that are not in the table. Those removed
// while another node led caused no change event on this node.
func (l *Leader) dropForgottenWorkers(workers map[string]*jobs.Worker) {
	isGone := func(id string) bool { return workers[id] == nil }
	l.heartbeats.forgetAll(isGone)
	if l.opt.Mailboxes != nil {
		l.opt.Mailboxes.ForgetWorkers(isGone)
	}
}
