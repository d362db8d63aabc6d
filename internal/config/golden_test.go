package config

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Values("core defaults", DefaultControlPlane()),
		golden.Values("front defaults", DefaultDataPlane()),
		golden.Values("core with jobs defaults", DefaultJobsControlPlane()),
		golden.Values("front with jobs defaults", DefaultJobsDataPlane()),
		golden.Keys(t, "keys read", "."),
	)
}
