package scheduler

import (
	"fmt"
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenEnums pins the encoding of each value on the wire and on disk.
func TestGoldenEnums(t *testing.T) {
	golden.Compare(t, "enums",
		golden.Lines("refusals of starts",
			fmt.Sprintf("fence = %#v", string(RefusedFenced)),
			fmt.Sprintf("old = %#v", string(RefusedStale)),
			fmt.Sprintf("late = %#v", string(RefusedExpired)),
			fmt.Sprintf("room = %#v", string(RefusedCapacity)),
			fmt.Sprintf("invalid = %#v", string(RefusedInvalid)),
			fmt.Sprintf("unhealthy = %#v", string(RefusedUnhealthy)),
		),
		golden.Lines("causes of discarded work",
			fmt.Sprintf("job over = %#v", string(CauseJobOver)),
			fmt.Sprintf("preempted = %#v", string(CausePreempted)),
			fmt.Sprintf("reclaimed = %#v", string(CauseReclaimed)),
			fmt.Sprintf("moved = %#v", string(CauseMoved)),
			fmt.Sprintf("gang = %#v", string(CauseGang)),
			fmt.Sprintf("unanswered = %#v", string(CauseUnanswered)),
			fmt.Sprintf("lapsed = %#v", string(CauseLeaseExpired)),
			fmt.Sprintf("lost = %#v", string(CauseLost)),
			fmt.Sprintf("alone = %#v", string(CauseGangTimeout)),
		),
	)
}
