package scheduler

import (
	"slices"

	"crosstide/internal/jobs"
)

func sortedRuns(runs map[jobs.RunKey]*run) []jobs.RunKey {
	keys := make([]jobs.RunKey, 0, len(runs))
	for key := range runs {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, jobs.RunKey.Compare)
	return keys
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}
