package controller

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/jobs"
	"crosstide/internal/state/command"
)

// upgradeInterval is how often the leader checks whether a newer schema can be put in force.
const upgradeInterval = 500 * time.Millisecond

// upgradeSchema proposes the newest schema of the job table if it is not in force and all members support it. A failed
// proposal is repeated after upgradeInterval.
func (l *Leader) upgradeSchema(now time.Duration, term uint64, inForce jobs.Schema) {
	if inForce >= jobs.NewestSchema || now < l.nextUpgradeAt {
		return
	}
	l.nextUpgradeAt = now + upgradeInterval
	if !l.opt.Store.MembersSupport(jobs.NewestSchema) {
		return
	}
	l.group.Go(func(ctx context.Context) {
		upgrade := command.JobUpgradeSchema{UpgradeSchema: jobs.UpgradeSchema{Schema: jobs.NewestSchema}}
		if _, _, err := l.opt.Store.ProposeIn(ctx, term, &upgrade); err != nil {
			_ = level.Debug(l.log).Log("msg", "schema not upgraded", "err", err)
			return
		}
		_ = level.Info(l.log).Log("msg", "schema upgraded", "from", inForce, "to", jobs.NewestSchema)
	})
}
