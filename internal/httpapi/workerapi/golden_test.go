package workerapi

import (
	"testing"

	"crosstide/internal/rpc"
	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		pair(StartEndpoint),
		pair(StopEndpoint),
		pair(RenewLeaseEndpoint),
		golden.Shape("run", Run{}),
		golden.Shape("needs", Needs{}),
		golden.Shape("running run", RunningRun{}),
		golden.Shape("ended run", EndedRun{}),
	)
}

// pair is the shapes of a call and of its answer, under the call's path.
func pair[C, A any](p rpc.Endpoint[C, A]) string {
	var call C
	var answer A
	return golden.Shape(p.Path+" call", call) + "\n" + golden.Shape(p.Path+" answer", answer)
}
