package jobs

import (
	"fmt"
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of the types that are stored or sent to other processes, clients and operators.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("resources", Resources{}),
		golden.Shape("step", Step{}),
		golden.Shape("spec", Spec{}),
		golden.Shape("task ref", TaskRef{}),
		golden.Shape("run key", RunKey{}),
		golden.Shape("run", Handle{}),
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
		golden.Shape("started", ProgressResult{}),
		golden.Shape("party", Party{}),
		golden.Shape("set parties", SetParties{}),
		golden.Shape("table", Table{}),
		golden.Filled("spec", Spec{}),
		golden.Filled("table", Table{}),
		golden.Filled("configure", Configure{}),
		golden.Filled("set parties", SetParties{}),
	)
}

// TestGoldenEnums pins the string of each value on the wire and on disk.
func TestGoldenEnums(t *testing.T) {
	golden.Compare(t, "enums",
		golden.Lines("job states",
			fmt.Sprintf("queued = %#v", string(Queued)),
			fmt.Sprintf("running = %#v", string(Running)),
			fmt.Sprintf("succeeded = %#v", string(Succeeded)),
			fmt.Sprintf("failed = %#v", string(Failed)),
			fmt.Sprintf("cancelled = %#v", string(Cancelled)),
		),
		golden.Lines("ends of runs",
			fmt.Sprintf("done = %#v", string(EndDone)),
			fmt.Sprintf("failed = %#v", string(EndFailed)),
			fmt.Sprintf("stopped = %#v", string(EndStopped)),
			fmt.Sprintf("lapsed = %#v", string(EndLeaseExpired)),
			fmt.Sprintf("broken = %#v", string(EndGangBroken)),
			fmt.Sprintf("alone = %#v", string(EndGangTimeout)),
			fmt.Sprintf("lost = %#v", string(EndLost)),
		),
	)
}
