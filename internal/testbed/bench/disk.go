package bench

import (
	"time"

	"crosstide/internal/clock"
	"crosstide/internal/errs"
	"crosstide/internal/storage"
)

// Disk appends records of so many bytes to a log in a new folder for d, each with a sync as the store does it, and
// returns the number of syncs per second. The folder is left behind. Failures: those of package storage.
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
	began := clock.Now()
	for clock.Now()-began < d {
		syncs++
		if err := log.Append([]storage.Record{{Term: 1, Index: syncs, Data: data}}); err != nil {
			return 0, errs.Pass(err, "disk")
		}
	}
	syncsPerSecond = float64(syncs) / (clock.Now() - began).Seconds()
	return syncsPerSecond, errs.Pass(log.Close(), "disk")
}
