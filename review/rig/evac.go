package main

import (
	"context"
	"syscall"
	"time"

	"crosstide/internal/errs"
)

// rethinkTime is the time between the acknowledged withdrawal of the evacuation and the next evacuation.
const rethinkTime = 1300 * time.Millisecond

// playEvacuation lets a control-plane node freeze. The operator withdraws the evacuation of a zone: the frozen node
// does not answer, the next one acknowledges. Then the operator evacuates the zone again, which is acknowledged. The
// rule EVAC is broken if a task starts in the zone more than evacuation_ms + max_stretch_ms after that, once the whole
// fleet is in touch.
func playEvacuation(ctx context.Context, f *fleet, trouble bool) (bool, error) {
	zone := zoneNames[1]
	start, finish := "/evacuation/"+zone+"/start", "/evacuation/"+zone+"/finish"
	frozen := f.cores[len(f.cores)-1]
	others := f.cores[:len(f.cores)-1]
	f.group.Go(func(ctx context.Context) { f.sendScans(ctx) })
	if err := f.operate(ctx, others, start, nil, nil); err != nil {
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
	if err := f.operate(ctx, append([]*process{frozen}, others...), finish, nil, nil); err != nil {
		return false, errs.Pass(err, "withdrawal")
	}
	pause(ctx, rethinkTime)
	if err := f.operate(ctx, others, start, nil, nil); err != nil {
		return false, errs.Pass(err, "second evacuation")
	}
	acknowledged := f.log.now()
	f.log.add("operator: the evacuation of %s is in force again", zone)
	pause(ctx, begin+freezeTime-f.log.now())
	pause(ctx, 15*time.Second)
	after := max(acknowledged+evacuationBound+stretchBound, begin+freezeTime+contactBound)
	inZone := 0
	for _, s := range f.startsOf("", after) {
		if s.zone != zone {
			continue
		}
		if inZone++; inZone <= 5 {
			f.log.add("EVAC: %s started in %s %.3f s after its evacuation was acknowledged", s.task, zone,
				(s.at - acknowledged).Seconds())
		}
	}
	f.log.add("%d starts in %s later than %s after the acknowledgement", inZone, zone, after-acknowledged)
	return inZone > 0, nil
}

// sendScans hands in small jobs until ctx ends.
func (f *fleet) sendScans(ctx context.Context) {
	for i := 0; pause(ctx, 150*time.Millisecond); i++ {
		scan := step{"count": 6, "cpu": 1000, "memory_request_mb": 3000, "estimated_ms": 800}
		f.submit(ctx, f.fronts[i%len(f.fronts)], scanPrefix, newID(), job{Spec: "800", Steps: []step{scan}}, clientWait)
	}
}
