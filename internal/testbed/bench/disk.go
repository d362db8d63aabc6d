package bench

import (
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/storage"
)

// Disk appends records of the given size in bytes to a log in dir until d has passed, with one sync per record as in
// the store, and returns the number of syncs per second. dir should be new; it is not removed. The errors are those of
// package storage.
func Disk(dir string, bytes int, d time.Duration) (syncsPerSecond float64, err error) {
	folder, err := storage.OSDisk(dir)
	if err != nil {
		return 0, errs.Pass(err, "disk")
	}
	log, _, err := storage.Open(folder, storage.Options{})
	if err != nil {
		return 0, errs.Pass(err, "disk")
	}
	data, clock, syncs := make([]byte, bytes), clock.Real{}, uint64(0)
	startedAt := clock.Now()
	for clock.Now()-startedAt < d {
		syncs++
		if err := log.Append([]storage.Record{{Term: 1, Index: syncs, Data: data}}); err != nil {
			return 0, errs.Pass(err, "disk")
		}
	}
	syncsPerSecond = float64(syncs) / (clock.Now() - startedAt).Seconds()
	return syncsPerSecond, errs.Pass(log.Close(), "disk")
}
