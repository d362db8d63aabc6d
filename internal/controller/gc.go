package controller

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/jobs"
	"crosstide/internal/state/command"
)

// DefaultJobRetention is how long a job that is over stays in the table by default.
const DefaultJobRetention = 10 * time.Minute

// purgeInterval is how often the leader deletes expired jobs.
const purgeInterval = 20 * time.Second

// purgeEndedJobs deletes the jobs that have been over for JobRetention, every purgeInterval. A proposal that fails
// is not repeated: the next one covers it.
func (l *Leader) purgeEndedJobs(now time.Duration, term uint64) {
	if now < l.nextPurgeAt {
		return
	}
	l.nextPurgeAt = now + purgeInterval
	before := l.clock.Wall().Add(-l.opt.JobRetention)
	l.group.Go(func(ctx context.Context) {
		if _, _, err := l.opt.Store.ProposeIn(ctx, term, &command.JobPurge{Before: before}); err != nil {
			_ = level.Debug(l.log).Log("msg", "expired jobs not deleted", "err", err)
		}
	})
}

// forgetWorker drops the controller's own state of a worker that has left the table.
func (l *Leader) forgetWorker(worker string) {
	l.heartbeats.forget(worker)
	if l.opt.Mailboxes != nil {
		l.opt.Mailboxes.ForgetWorker(worker)
	}
}

// dropForgottenWorkers drops the controller's own state of workers that left the table while another node led: this
// node has seen no change for them.
func (l *Leader) dropForgottenWorkers(workers map[string]*jobs.Worker) {
	gone := func(id string) bool { return workers[id] == nil }
	l.heartbeats.forgetAll(gone)
	if l.opt.Mailboxes != nil {
		l.opt.Mailboxes.ForgetWorkers(gone)
	}
}
