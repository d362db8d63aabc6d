package query

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON that is sent to other processes, clients and operators, or stored.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("zone view", ZoneView{}),
		golden.Shape("job view", JobView{}),
		golden.Shape("step view", StepView{}),
		golden.Shape("minion view", WorkerView{}),
	)
}
