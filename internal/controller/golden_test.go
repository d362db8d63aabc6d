package controller

import (
	"testing"

	"crosstide/internal/testbed/golden"
	"crosstide/internal/testbed/golden/endpoint"
)

// TestGoldenWire pins the JSON encoding of the calls and answers that are sent between processes.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		endpoint.Shapes(ShowEndpoint),
		endpoint.Shapes(CancelEndpoint),
		endpoint.Shapes(ListEndpoint),
		endpoint.Shapes(QueuesEndpoint),
		endpoint.Shapes(WorkersEndpoint),
		endpoint.Shapes(SubmitEndpoint),
		endpoint.Shapes(JobEndpoint),
		endpoint.Shapes(CountEndpoint),
		endpoint.Shapes(HeartbeatEndpoint),
		endpoint.Shapes(ConfigEndpoint),
		endpoint.Shapes(ConfigureEndpoint),
		endpoint.Shapes(ZoneEndpoint),
		endpoint.Shapes(EvacuateEndpoint),
		endpoint.Shapes(TopologyEndpoint),
		golden.Shape("locate", Location{}),
		golden.Shape("step view", StepView{}),
		golden.Shape("job view", JobView{}),
		golden.Shape("job summary", JobSummary{}),
		golden.Shape("queue view", QueueView{}),
		golden.Shape("worker view", WorkerView{}),
		golden.Shape("beat orders", HeartbeatOrders{}),
	)
}

// TestGoldenMetrics pins names, help texts and labels of metrics.
func TestGoldenMetrics(t *testing.T) {
	golden.Compare(t, "metrics", golden.Metrics("jobs", NewMetrics(nil)))
}
