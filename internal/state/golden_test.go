package state

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("party", Party{}),
		golden.Shape("revision", Revision{}),
		golden.Shape("signature", Signature{}),
		golden.Shape("task", Task{}),
		golden.Shape("spec", Spec{}),
		golden.Shape("step spec", StepSpec{}),
		golden.Shape("job", Job{}),
		golden.Shape("task ref", TaskRef{}),
		golden.Shape("handle", Handle{}),
		golden.Shape("minion", Minion{}),
		golden.Shape("duty", Duty{}),
		golden.Shape("bundle", Bundle{}),
		golden.Shape("backoff", Backoff{}),
		golden.Shape("queue", Queue{}),
		golden.Shape("near", Near{}),
		golden.Shape("tomb", Tomb{}),
		golden.Shape("order", Order{}),
		golden.Shape("state", State{}),
		golden.Filled("spec", Spec{}),
		golden.Filled("state", State{}),
	)
}
