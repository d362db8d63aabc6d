package state

import (
	"fmt"
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON that is sent to other processes, clients and operators, or stored.
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
		golden.Shape("minion", Worker{}),
		golden.Shape("duty", Role{}),
		golden.Shape("bundle", Bundle{}),
		golden.Shape("backoff", Backoff{}),
		golden.Shape("queue", Queue{}),
		golden.Shape("near", Near{}),
		golden.Shape("tomb", Tombstone{}),
		golden.Shape("order", AnsweredOrder{}),
		golden.Shape("state", State{}),
		golden.Filled("spec", Spec{}),
		golden.Filled("state", State{}),
	)
}

// TestGoldenEnums pins the string of each value on the wire and on disk.
func TestGoldenEnums(t *testing.T) {
	golden.Compare(t, "enums",
		golden.Lines("job phases",
			fmt.Sprintf("accepted = %#v", string(JobAccepted)),
			fmt.Sprintf("running = %#v", string(JobRunning)),
			fmt.Sprintf("stopping = %#v", string(JobStopping)),
			fmt.Sprintf("done = %#v", string(JobDone)),
			fmt.Sprintf("failed = %#v", string(JobFailed)),
			fmt.Sprintf("cancelled = %#v", string(JobCancelled)),
		),
		golden.Lines("task phases",
			fmt.Sprintf("waiting = %#v", string(TaskWaiting)),
			fmt.Sprintf("due = %#v", string(TaskDue)),
			fmt.Sprintf("held = %#v", string(TaskAssigned)),
			fmt.Sprintf("running = %#v", string(TaskRunning)),
			fmt.Sprintf("doubtful = %#v", string(TaskUnconfirmed)),
			fmt.Sprintf("done = %#v", string(TaskDone)),
			fmt.Sprintf("spent = %#v", string(TaskFailed)),
			fmt.Sprintf("skipped = %#v", string(TaskSkipped)),
		),
		golden.Lines("revision phases",
			fmt.Sprintf("draft = %#v", string(RevisionDraft)),
			fmt.Sprintf("signed = %#v", string(RevisionSigned)),
			fmt.Sprintf("force = %#v", string(RevisionInForce)),
			fmt.Sprintf("replaced = %#v", string(RevisionReplaced)),
		),
	)
}
