package load

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/routine"
)

// profiles holds the kinds of work of the brief's two deployments, by deployment and kind, at the brief's rates.
var profiles = map[string]map[string]Options{
	"lubra": {
		"scan": {Rate: 15, Type: "scan", Team: "tracking", Tasks: 2, TaskDuration: 400 * time.Millisecond, Retries: 5,
			DuplicateProbability: 0.05, CancelProbability: 0.02},
		"route": {Rate: 1, Type: "route", Team: "routing", Steps: 3, Tasks: 6, Cores: 2,
			TaskDuration: 800 * time.Millisecond, Retries: 5},
		"feed": {Count: 5, Type: "feed", Team: "tracking", LongRunning: true},
	},
	"mamlaka": {
		"activate": {Rate: 6, Type: "activate", Team: "lines", Tasks: 3, Cores: 4,
			TaskDuration: 600 * time.Millisecond, Retries: 5, Labels: map[string]string{"pool": "activation"},
			DuplicateProbability: 0.05, CancelProbability: 0.02},
		"recon": {Rate: 4, Type: "recon", Team: "operators", Steps: 2, Tasks: 2, Cores: 2,
			TaskDuration: 900 * time.Millisecond, Retries: 5, Labels: map[string]string{"pool": "recon"}},
		"match": {Rate: 0.5, Type: "match", Team: "prints", Tasks: 4, Cores: 8, GPUs: 1, Gang: true,
			TaskDuration: 2 * time.Second, Retries: 5},
		"watch": {Count: 3, Type: "watch", Team: "lines", LongRunning: true},
	},
}

// clientsPerKind is the number of clients of each kind of work in a profile.
const clientsPerKind = 2

// RunProfile runs all kinds of work of a deployment at once, with the brief's rates multiplied by scale. Of common it
// uses only Dir, Duration, EndTimeout, SubmitTimeout, Seed and Prefix. It returns a report for each kind. Failures:
// Invalid and those of Run. Example:
//
//	reports, err := load.RunProfile(ctx, "lubra", 1, load.Options{Dir: dir, Duration: time.Minute})
func RunProfile(ctx context.Context, name string, scale float64, common Options) (map[string]Report, error) {
	kinds, ok := profiles[name]
	if !ok {
		known := slices.Sorted(maps.Keys(profiles))
		return nil, errs.Field(errs.Invalid, "profile", "is %q, must be one of %v", name, known)
	}
	if scale <= 0 {
		return nil, errs.Field(errs.Invalid, "scale", "is %g, must be above 0", scale)
	}
	if common.Prefix == "" {
		common.Prefix = newPrefix()
	}
	names := slices.Sorted(maps.Keys(kinds))
	var mu sync.Mutex
	var firstErr error
	reports := map[string]Report{}
	routine.Each(len(names), len(names), func(i int) {
		options := kinds[names[i]]
		options.Dir, options.Duration, options.EndTimeout = common.Dir, common.Duration, common.EndTimeout
		options.SubmitTimeout, options.Seed = common.SubmitTimeout, common.Seed+uint64(i)
		options.Prefix, options.Clients = common.Prefix+"-"+names[i], clientsPerKind
		options.Rate *= scale
		report, err := Run(ctx, options)
		mu.Lock()
		defer mu.Unlock()
		reports[names[i]] = report
		if err != nil && firstErr == nil {
			firstErr = errs.Pass(err, "%s", names[i])
		}
	})
	return reports, firstErr
}
