package store

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/errs"
	"crosstide/internal/storage"
)

// Pauses between writes to a full disk; they double.
const (
	diskFullMinBackoff = 100 * time.Millisecond
	diskFullMaxBackoff = 2 * time.Second
)

// retryWhileDiskFull calls write until the disk takes it. Meanwhile nothing that waits for the write leaves this node: it stays a
// member that acknowledges nothing. Any failure other than a full disk is given back, as is the end of ctx.
func (s *Store) retryWhileDiskFull(ctx context.Context, what string, write func() error) error {
	for pause := diskFullMinBackoff; ; pause = min(2*pause, diskFullMaxBackoff) {
		err := write()
		if !storage.IsFull(err) {
			return errs.Pass(err, "%s", what)
		}
		_ = level.Error(s.logger).Log("msg", "no room for a write: nothing is acknowledged", "write", what, "again", pause, "err", err)
		if !s.sleep(ctx, pause) {
			return errs.New(errs.Stopped, "the store is stopping")
		}
		if err := s.storage.Resume(); err != nil && !storage.IsFull(err) {
			return errs.Pass(err, "%s", what)
		}
	}
}

// OpenWhenDiskHasSpace is Open, tried again and again while the disk is full, until ctx ends.
func OpenWhenDiskHasSpace(ctx context.Context, opt Options) (*Store, error) {
	opt = opt.withDefaults()
	for pause := diskFullMinBackoff; ; pause = min(2*pause, diskFullMaxBackoff) {
		s, err := Open(opt)
		if !storage.IsFull(err) {
			return s, errs.Pass(err, "open")
		}
		_ = level.Error(opt.Logger).Log("msg", "no room for a write: not started yet", "again", pause, "err", err)
		if !sleep(ctx, opt.Clock, pause) {
			return nil, errs.Wrap(err, errs.Stopped, "the start was called off")
		}
	}
}
