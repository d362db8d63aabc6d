package scheduler

import (
	"fmt"
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenEnums pins the encoding of each value on the wire and on disk.
func TestGoldenEnums(t *testing.T) {
	golden.Compare(t, "enums",
		golden.Lines("phases",
			fmt.Sprintf("idle = %#v", string(Idle)),
			fmt.Sprintf("ready = %#v", string(Ready)),
		),
	)
}
