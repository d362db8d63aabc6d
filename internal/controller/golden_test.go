package controller

import (
	"testing"

	"crosstide/internal/rpc"
	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		pair(ShowEndpoint),
		pair(CancelEndpoint),
		pair(ListEndpoint),
		pair(QueuesEndpoint),
		pair(WorkersEndpoint),
		pair(SubmitEndpoint),
		pair(JobEndpoint),
		pair(CountEndpoint),
		pair(HeartbeatEndpoint),
		pair(ConfigEndpoint),
		pair(ConfigureEndpoint),
		pair(EvacuateEndpoint),
		pair(TopologyEndpoint),
		golden.Shape("locate", Location{}),
		golden.Shape("step view", StepView{}),
		golden.Shape("job view", JobView{}),
		golden.Shape("job summary", JobSummary{}),
		golden.Shape("queue view", QueueView{}),
		golden.Shape("worker view", WorkerView{}),
		golden.Shape("beat orders", HeartbeatOrders{}),
	)
}

// pair is the shapes of a call and of its answer, under the call's path.
func pair[C, A any](p rpc.Endpoint[C, A]) string {
	var call C
	var answer A
	return golden.Shape(p.Path+" call", call) + "\n" + golden.Shape(p.Path+" answer", answer)
}

// TestGoldenMetrics pins names, help texts and labels of metrics.
func TestGoldenMetrics(t *testing.T) {
	golden.Compare(t, "metrics", golden.Metrics("jobs", NewMetrics(nil)))
}
