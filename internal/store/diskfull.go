package store

import (
	"context"
	"time"

	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/storage"
)

// The backoff between attempts on a full disk doubles from the minimum to the maximum.
const (
	diskFullMinBackoff = 100 * time.Millisecond
	diskFullMaxBackoff = 2 * time.Second
)

// retryWhileDiskFull repeats write until it no longer fails because the disk is full. Until then this node stays a
// member but acknowledges nothing, as no message that depends on the write is sent. It returns any other error of
// write, and Stopped if ctx ends. purpose describes the write in logs and errors.
func (s *Store) retryWhileDiskFull(ctx context.Context, purpose string, write func() error) error {
	for backoff := diskFullMinBackoff; ; backoff = min(2*backoff, diskFullMaxBackoff) {
		err := write()
		if !storage.IsFull(err) {
			return errs.Pass(err, "%s", purpose)
		}
		_ = level.Error(s.logger).Log("msg", "disk full, acknowledgements suspended", "write", purpose,
			"again", backoff, "err", err)
		if !s.sleep(ctx, backoff) {
			return errs.New(errs.Stopped, "the store is stopping")
		}
		if err := s.storage.Resume(); err != nil && !storage.IsFull(err) {
			return errs.Pass(err, "%s", purpose)
		}
	}
}

// OpenRetryingFullDisk is Open, retried while the disk is full. Failures: those of Open; Stopped if ctx ends.
func OpenRetryingFullDisk(ctx context.Context, opt Options) (*Store, error) {
	opt = opt.withDefaults()
	for backoff := diskFullMinBackoff; ; backoff = min(2*backoff, diskFullMaxBackoff) {
		s, err := Open(opt)
		if !storage.IsFull(err) {
			return s, errs.Pass(err, "open")
		}
		_ = level.Error(opt.Logger).Log("msg", "disk full, start postponed", "again", backoff, "err", err)
		if !clock.Sleep(ctx.Done(), opt.Clock, backoff) {
			return nil, errs.Wrap(err, errs.Stopped, "start cancelled while the disk was full")
		}
	}
}
