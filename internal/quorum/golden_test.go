package quorum

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("member", Member{}),
		golden.Shape("entry", Entry{}),
		golden.Shape("hard", Hard{}),
		golden.Shape("meta", Meta{}),
		golden.Shape("message", Message{}),
		golden.Shape("status", Status{}),
		golden.Filled("member", Member{}),
		golden.Filled("entry", Entry{}),
		golden.Filled("hard", Hard{}),
		golden.Filled("meta", Meta{}),
		golden.Filled("message", Message{}),
	)
}
