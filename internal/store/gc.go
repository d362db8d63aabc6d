package store

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/state/command"
)

// gcInterval is the time between two purges, and between two checks of the accounts' balances.
const gcInterval = 10 * time.Second

// runGC is the goroutine that, on the leader, proposes to purge records past their retention and logs account warnings.
func (s *Store) runGC(ctx context.Context) {
	warned := accountWarnings{}
	for s.sleep(ctx, gcInterval) {
		warned.logNew(s)
		c := s.gcCommand()
		if c == nil {
			continue
		}
		if _, _, err := s.Propose(ctx, c); err != nil {
			_ = level.Debug(s.logger).Log("msg", "purge failed", "err", err)
		}
	}
}

// gcCommand returns the command that purges records past their retention. It returns nil on a node that does not lead,
// or if the state has no records that could be purged.
func (s *Store) gcCommand() command.Command {
	s.mu.Lock()
	defer s.mu.Unlock()
	live := s.live
	records := len(live.EndedJobs) + len(live.TombstoneOrder) + len(live.OrderKeys)
	if s.leadership.term == 0 || records == 0 && !live.Accounts.HasReservations() {
		return nil
	}
	wall := s.clock.Wall()
	return &command.Purge{
		JobsBefore: wall.Add(-s.settings.KeepEndedFor), JobsKeep: s.settings.KeepEnded,
		TombstonesBefore: wall.Add(-s.settings.KeepTombstonesFor), TombstonesKeep: s.settings.KeepTombstones,
		OrdersBefore: wall.Add(-s.settings.KeepTombstonesFor),
	}
}
