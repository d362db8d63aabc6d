package main

import (
	"context"
	"os"
	"path/filepath"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/storage"
	"crosstide/internal/store"
)

// openStore opens the store's data folder, and waits while the disk is full. A damaged folder may lack entries that
// this member has acknowledged, so the node must not keep its identity. The folder is then renamed (if the membership
// is open, only the store's files in it are removed), and the node joins like a replaced machine.
func openStore(ctx context.Context, options store.Options, logger log.Logger) (*store.Store, error) {
	folder := filepath.Clean(options.Settings.Data)
	disk, err := storage.OSDisk(folder)
	if err != nil {
		return nil, errs.Pass(err, "folder")
	}
	options.Disk = disk
	opened, err := store.OpenRetryingFullDisk(ctx, options)
	if !errs.Is(err, errs.Damaged) {
		return opened, errs.Pass(err, "store")
	}
	if options.Settings.OpenMembership {
		_ = level.Error(logger).Log("msg", "store folder damaged, contents discarded", "err", err)
		if err := store.Discard(disk); err != nil {
			return nil, errs.Pass(err, "discard the damaged folder")
		}
	} else {
		if options.Disk, err = setAside(folder, err, logger); err != nil {
			return nil, errs.Pass(err, "folder")
		}
		options.Damaged = true
	}
	opened, err = store.OpenRetryingFullDisk(ctx, options)
	return opened, errs.Pass(err, "store")
}

// setAside renames a damaged folder, so that it can be examined, and returns a disk on a new folder in its place.
func setAside(folder string, damage error, logger log.Logger) (storage.Disk, error) {
	aside := folder + ".damaged-" + clock.Real{}.Wall().UTC().Format("20060102T150405")
	_ = level.Error(logger).Log("msg", "store folder damaged, set aside", "as", aside, "err", damage)
	if err := os.Rename(folder, aside); err != nil {
		return nil, errs.Wrap(err, errs.Disk, "set the damaged folder aside")
	}
	disk, err := storage.OSDisk(folder)
	return disk, errs.Pass(err, "folder")
}
