package config

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the default settings and the names of the settings that are read from files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Values("core defaults", DefaultControlPlane()),
		golden.Values("front defaults", DefaultDataPlane()),
		golden.Values("core with jobs defaults", DefaultJobsControlPlane()),
		golden.Values("front with jobs defaults", DefaultJobsDataPlane()),
		golden.Keys(t, "keys read", "."),
	)
}
