package lint

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenRoutes pins the paths of all HTTP calls: string literals that look like a path, optionally preceded by a
// method, in the programs and package platform. The testbed is only a client, so its paths have a section of their own.
func TestGoldenRoutes(t *testing.T) {
	const pattern = `^((GET|PUT|POST|PATCH|DELETE|HEAD) )?/[a-z][a-z0-9/{}_.%-]*$`
	var parts []string
	for _, root := range []string{"internal", "cmd", "platform"} {
		parts = append(parts, golden.Literals(t, root, "../../"+root, pattern))
	}
	parts = append(parts, golden.Literals(t, "testbed", "../../internal/testbed", pattern))
	golden.Compare(t, "routes", parts...)
}

// TestGoldenMetrics pins string literals that are metric names or prefixes of metric names. The tests of the packages
// that export the metrics pin the complete descriptions with labels.
func TestGoldenMetrics(t *testing.T) {
	const pattern = `^crosstide_[a-z_]+$`
	golden.Compare(t, "metrics",
		golden.Literals(t, "internal", "../../internal", pattern),
		golden.Literals(t, "cmd", "../../cmd", pattern),
		golden.Literals(t, "platform", "../../platform", pattern),
		golden.Literals(t, "testbed", "../../internal/testbed", pattern),
	)
}

// TestGoldenLogLines pins the keys and messages of log lines.
func TestGoldenLogLines(t *testing.T) {
	golden.Compare(t, "loglines",
		golden.LogLines(t, "internal", "../../internal"),
		golden.LogLines(t, "cmd", "../../cmd"),
		golden.LogLines(t, "platform", "../../platform"),
	)
}

// TestGoldenConstants pins the values of string constants: states, phases, kinds, field names.
func TestGoldenConstants(t *testing.T) {
	golden.Compare(t, "constants",
		golden.Constants(t, "internal", "../../internal"),
		golden.Constants(t, "cmd", "../../cmd"),
		golden.Constants(t, "platform", "../../platform"),
	)
}

// TestGoldenParameters pins the names of HTTP headers, query parameters and path parameters.
func TestGoldenParameters(t *testing.T) {
	golden.Compare(t, "parameters",
		golden.Arguments(t, "internal", "../../internal"),
		golden.Arguments(t, "cmd", "../../cmd"),
		golden.Arguments(t, "platform", "../../platform"),
	)
}
