package workerapi

import (
	"testing"

	"crosstide/internal/testbed/golden"
	"crosstide/internal/testbed/golden/endpoint"
)

// TestGoldenWire pins the JSON of the types that are exchanged with workers.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		endpoint.Shapes(StartEndpoint),
		endpoint.Shapes(StopEndpoint),
		endpoint.Shapes(RenewLeaseEndpoint),
		golden.Shape("run", Run{}),
		golden.Shape("needs", Needs{}),
		golden.Shape("running run", RunningRun{}),
		golden.Shape("ended run", EndedRun{}),
	)
}
