package endtoend

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"crosstide/internal/jobs"
	"crosstide/internal/testbed/jobsworker"
)

// TestAuditIdle guards against a job that is kept idle, for whatever reason, although its service has capacity for it:
// each case has a job that is accepted after 1 s and first runs at another time.
func TestAuditIdle(t *testing.T) {
	begin := time.Unix(1000, 0)
	at := func(second float64) time.Time { return begin.Add(time.Duration(second * float64(time.Second))) }
	small := jobs.Resources{MilliCPU: 100, MemoryMB: 10}
	single := job(jobs.Succeeded, smallStep(1).with(func(s *Step) { s.MilliCPU, s.MemoryMB = 100, 10 }))
	large := job(jobs.Succeeded, smallStep(1).with(func(s *Step) { s.MilliCPU, s.MemoryMB = 300, 10 }))
	ssd := job(jobs.Succeeded, smallStep(1).with(func(s *Step) { s.MilliCPU, s.MemoryMB, s.Label = 300, 10, "ssd" }))
	longRunning := job(jobs.Cancelled, smallStep(1).with(func(s *Step) {
		s.MilliCPU, s.MemoryMB, s.LongRunning = 100, 10, true
	}))
	longRunning.CancelledAt = at(8)
	cancelled := longRunning
	cancelled.CancelledAt = at(3)
	for _, tt := range []struct {
		name         string
		job          Job
		startsAt     float64
		busy         jobs.Resources // used on worker a from the beginning to the end
		evacuations  []Evacuation
		disturbances []Disturbance
		isViolated   bool
	}{
		{"it starts in time", single, 3.9, jobs.Resources{}, nil, nil, false},
		{"it starts late", single, 4.5, jobs.Resources{}, nil, nil, true},
		{"it starts late, and almost half of the service is in use", single, 4.5, jobs.Resources{MilliCPU: 390}, nil, nil,
			true},
		{"it starts late, and half of the service is in use", single, 4.5, jobs.Resources{MilliCPU: 400}, nil, nil, false},
		{"it starts late, with capacity for it once", large, 4.5, jobs.Resources{MilliCPU: 200}, nil, nil, false},
		{"it starts late, with capacity for it twice", large, 4.5, jobs.Resources{}, nil, nil, true},
		{"it starts late, with capacity for it once on workers with its label", ssd, 4.5, jobs.Resources{}, nil, nil, false},
		{"it starts late, and a worker is in an evacuated zone", large, 4.5, jobs.Resources{},
			[]Evacuation{{"z", at(0), at(9)}}, nil, false},
		{"it starts late, and a worker was stopped", large, 4.5, jobs.Resources{}, nil,
			[]Disturbance{{Worker: "a", From: at(2)}}, false},
		{"it is long-running and starts late, and more than half of the service is in use", longRunning, 4.5,
			jobs.Resources{MilliCPU: 400, MemoryMB: 90}, nil, nil, true},
		{"it is long-running and was cancelled before it starts late", cancelled, 4.5, jobs.Resources{}, nil, nil, false},
		{"it starts late beside a disturbance of the control plane", single, 4.5, jobs.Resources{}, nil,
			[]Disturbance{{From: at(2), To: at(3)}}, false},
		{"it starts late, long after a disturbance of the control plane", single, 4.5, jobs.Resources{}, nil,
			[]Disturbance{{From: at(0), To: at(1)}}, true},
	} {
		Convey("A job: "+tt.name, t, func() {
			tt.job.AcceptedAt = at(1)
			capacity := jobs.Resources{MilliCPU: 400, MemoryMB: 100}
			other := runKey(0, 0, 1)
			other.Job = "other"
			events := []jobsworker.Event{
				{At: begin, Event: jobsworker.EventWorkerStart, Worker: "a-1", Needs: capacity, Labels: []string{"ssd"}, Zone: "z"},
				{At: begin, Event: jobsworker.EventWorkerStart, Worker: "b-1", Needs: capacity},
				{At: begin, Event: jobsworker.EventRunStart, Worker: "a-1", Run: other, Needs: tt.busy},
				{At: at(tt.startsAt), Event: jobsworker.EventRunStart, Worker: "b-1", Run: runKey(0, 0, 1), Needs: small},
				{At: at(5), Event: jobsworker.EventRunEnd, Worker: "b-1", Run: runKey(0, 0, 1), Reason: string(jobs.EndDone)},
				{At: at(9), Event: jobsworker.EventRunEnd, Worker: "a-1", Run: other, Reason: string(jobs.EndDone)},
			}
			violations, err := AuditIdle([]Job{tt.job}, tt.evacuations, tt.disturbances, events)
			So(err, ShouldBeNil)
			So(len(violations) > 0, ShouldEqual, tt.isViolated)
		})
	}
}
