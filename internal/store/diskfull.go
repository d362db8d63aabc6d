package store

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/storage"
)

// Backoff between attempts on a full disk; it doubles.
const (
	diskFullMinBackoff = 100 * time.Millisecond
	diskFullMaxBackoff = 2 * time.Second
)

// retryWhileDiskFull repeats write until the disk has space for it. Meanwhile this node stays a member that
// acknowledges nothing, as no message that depends on the write is sent. Any other failure is returned, and Stopped
// when ctx ends. The parameter what names the write in logs.
func (s *Store) retryWhileDiskFull(ctx context.Context, what string, write func() error) error {
	for backoff := diskFullMinBackoff; ; backoff = min(2*backoff, diskFullMaxBackoff) {
		err := write()
		if !storage.IsFull(err) {
			return errs.Pass(err, "%s", what)
		}
		_ = level.Error(s.logger).Log("msg", "no room for a write: nothing is acknowledged", "write", what,
			"again", backoff, "err", err)
		if !s.sleep(ctx, backoff) {
			return errs.New(errs.Stopped, "the store is stopping")
		}
		if err := s.storage.Resume(); err != nil && !storage.IsFull(err) {
			return errs.Pass(err, "%s", what)
		}
	}
}

// OpenWhenDiskHasSpace is Open, repeated while the disk is full. Failures: those of Open; Stopped when ctx ends.
func OpenWhenDiskHasSpace(ctx context.Context, opt Options) (*Store, error) {
	opt = opt.withDefaults()
	for backoff := diskFullMinBackoff; ; backoff = min(2*backoff, diskFullMaxBackoff) {
		s, err := Open(opt)
		if !storage.IsFull(err) {
			return s, errs.Pass(err, "open")
		}
		_ = level.Error(opt.Logger).Log("msg", "no room for a write: not started yet", "again", backoff, "err", err)
		if !clock.Sleep(ctx.Done(), opt.Clock, backoff) {
			return nil, errs.Wrap(err, errs.Stopped, "the start was called off")
		}
	}
}
