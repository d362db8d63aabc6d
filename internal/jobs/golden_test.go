package jobs

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("resources", Resources{}),
		golden.Shape("step", Step{}),
		golden.Shape("spec", Spec{}),
		golden.Shape("task ref", TaskRef{}),
		golden.Shape("run key", RunKey{}),
		golden.Shape("run", Run{}),
		golden.Shape("task", Task{}),
		golden.Shape("job", Job{}),
		golden.Shape("worker", Worker{}),
		golden.Shape("queue", Queue{}),
		golden.Shape("service", Service{}),
		golden.Shape("config", Config{}),
		golden.Shape("submit", Submit{}),
		golden.Shape("cancel", Cancel{}),
		golden.Shape("configure", Configure{}),
		golden.Shape("evacuate", Evacuate{}),
		golden.Shape("register", Register{}),
		golden.Shape("start", Start{}),
		golden.Shape("end", End{}),
		golden.Shape("progress", Progress{}),
		golden.Shape("started", Started{}),
		golden.Shape("party", Party{}),
		golden.Shape("set parties", SetParties{}),
		golden.Shape("table", Table{}),
		golden.Filled("spec", Spec{}),
		golden.Filled("table", Table{}),
		golden.Filled("configure", Configure{}),
		golden.Filled("set parties", SetParties{}),
	)
}
