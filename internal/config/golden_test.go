package config

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Values("core defaults", DefaultCplane()),
		golden.Values("front defaults", DefaultDplane()),
		golden.Values("core with jobs defaults", DefaultJobsCore()),
		golden.Values("front with jobs defaults", DefaultJobsFront()),
		golden.Keys(t, "keys read", "."),
	)
}
