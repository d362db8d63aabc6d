package main

import (
	"context"
	"slices"
	"syscall"
	"time"

	"crosstide/internal/errs"
)

const (
	rethinkTime = 1300 * time.Millisecond // between the acknowledged withdrawal and the next evacuation
	watchTime   = 15 * time.Second        // for which starts are watched after the frozen node wakes
)

// evacuatedZones are the zones that the operator empties; one stays in use.
var evacuatedZones = zoneNames[1:]

// playEvacuation lets a control-plane node freeze. The operator withdraws the evacuation of two zones: the frozen node
// does not answer, the next one acknowledges. Then the operator evacuates both again, which is acknowledged. The rule
// EVAC is broken if a task starts in one of them more than evacuationBound and stretchBound after that, once the whole
// fleet is in touch.
func playEvacuation(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	frozen, others := f.cores[len(f.cores)-1], f.cores[:len(f.cores)-1]
	f.group.Go(func(ctx context.Context) { f.sendScans(ctx) })
	if err := f.operateZones(ctx, others, "start"); err != nil {
		return false, errs.Pass(err, "first evacuation")
	}
	pause(ctx, evacuationBound)
	begin := f.log.now()
	if trouble {
		f.signal(frozen, syscall.SIGSTOP)
		f.group.Go(func(ctx context.Context) {
			pause(ctx, begin+freezeTime-f.log.now())
			f.signal(frozen, syscall.SIGCONT)
		})
	}
	if err := f.operateZones(ctx, append([]*process{frozen}, others...), "finish"); err != nil {
		return false, errs.Pass(err, "withdrawal")
	}
	pause(ctx, rethinkTime)
	if err := f.operateZones(ctx, others, "start"); err != nil {
		return false, errs.Pass(err, "second evacuation")
	}
	acknowledged := f.log.now()
	f.log.add("operator: the evacuations are in force again")
	pause(ctx, begin+freezeTime+watchTime-f.log.now())
	after := max(acknowledged+evacuationBound+stretchBound, begin+freezeTime+contactBound)
	broken := 0
	for _, s := range f.startsOf("", after) {
		if !slices.Contains(evacuatedZones, s.zone) {
			continue
		}
		if broken++; broken <= 5 {
			f.log.add("EVAC: %s began in %s %.3f s after its evacuation was acknowledged", s.task, s.zone,
				(s.at - acknowledged).Seconds())
		}
	}
	f.log.add("%d tasks began in %v later than %s after that", broken, evacuatedZones, after-acknowledged)
	return broken > 0, nil
}

// operateZones sends the same order for all evacuatedZones at once, each to the control-plane nodes in the order of
// cores, and returns when all are acknowledged.
func (f *fleet) operateZones(ctx context.Context, cores []*process, order string) error {
	results := make(chan error, len(evacuatedZones))
	for _, zone := range evacuatedZones {
		f.group.Go(func(context.Context) {
			results <- f.operate(ctx, cores, words["evacuation"]+zone+"/"+order, nil, nil)
		})
	}
	var failure error
	for range evacuatedZones {
		if err := <-results; err != nil {
			failure = err
		}
	}
	return errs.Pass(failure, "%s", order)
}

// sendScans hands in small jobs until ctx ends.
func (f *fleet) sendScans(ctx context.Context) {
	for i := 0; pause(ctx, 150*time.Millisecond); i++ {
		scan := step{"count": 6, "cpu": 1000, "memoryRequestMb": 3000, "estimatedMs": 800}
		f.submit(ctx, f.fronts[i%len(f.fronts)], scanPrefix, newID(), job{Spec: "800", Steps: []step{scan}}, clientWait)
	}
}
