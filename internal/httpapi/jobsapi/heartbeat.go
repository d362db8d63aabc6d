package jobsapi

import (
	"math"
	"time"

	"crosstide/internal/config"
	"crosstide/internal/controller"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// The states that a worker reports with its heartbeats.
const (
	StateReady    = "ready"
	StateDraining = "draining" // accepts no starts
	StateLeaving  = "leaving"  // exits now, and all its runs end
)

// maxLabels is the maximum number of labels of a worker.
const maxLabels = 64

// parseHeartbeat parses a heartbeat of the worker with the ID id. Durations are integers in nanoseconds. A worker that
// leaves needs to send only its state. Errors: errs.Malformed, and errs.Invalid with the field.
func parseHeartbeat(id string, body []byte) (controller.HeartbeatCall, error) {
	call := controller.HeartbeatCall{Worker: jobs.Worker{ID: id}}
	err := parse(body, func(r *config.Reader) { readHeartbeat(r, &call) })
	if problem := checkName(id); problem != "" {
		return controller.HeartbeatCall{}, errs.Field(errs.Invalid, "id", "%s", problem)
	}
	return call, errs.Pass(err, "heartbeat")
}

func readHeartbeat(r *config.Reader, call *controller.HeartbeatCall) {
	var state string
	worker := &call.Worker
	r.Require("state")
	r.String("state", &state, config.OneOf(StateReady, StateDraining, StateLeaving))
	call.Leaving, worker.Draining = state == StateLeaving, state == StateDraining
	if !call.Leaving {
		r.Require("sequence", "clock", "address", "service", "zone", "capacity")
	}
	sequence := 0
	r.Int("sequence", &sequence, 1, math.MaxInt64)
	call.Sequence = uint64(sequence)
	readNanoseconds(r, "clock", &call.Clock)
	readNanoseconds(r, "remaining", &call.Remaining)
	r.Addr("address", &worker.Address)
	r.String("service", &worker.Service, checkName)
	r.String("zone", &worker.Zone, checkName)
	r.String("rack", &worker.Rack, checkName)
	r.Strings("labels", &worker.Labels, checkName)
	if len(worker.Labels) > maxLabels {
		r.Reject("labels", "must have at most %d entries, has %d", maxLabels, len(worker.Labels))
	}
	r.Object("capacity", func(r *config.Reader) {
		r.Require("milli_cpu", "memory_mb")
		readResources(r, &worker.Capacity)
	})
}

func readNanoseconds(r *config.Reader, field string, to *time.Duration) {
	n := 0
	r.Int(field, &n, 0, math.MaxInt64)
	*to = time.Duration(n)
}
