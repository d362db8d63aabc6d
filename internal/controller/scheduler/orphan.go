package scheduler

import (
	"slices"
	"time"

	"crosstide/internal/jobs"
)

type orphan struct {
	stopInFlight bool
	retryAt      time.Duration
}

func (w *worker) orphanKeys() []jobs.RunKey {
	if len(w.orphans) == 0 {
		return nil
	}
	keys := make([]jobs.RunKey, 0, len(w.orphans))
	for key := range w.orphans {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, jobs.RunKey.Compare)
	return keys
}
