package lint

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenRoutes pins the paths of all calls: what looks like a path of HTTP, with or without a method before it, in
// the programs and the platform's package. The testbed is a client only; its paths stand apart.
func TestGoldenRoutes(t *testing.T) {
	const pattern = `^((GET|PUT|POST|PATCH|DELETE|HEAD) )?/[a-z][a-z0-9/{}_.%-]*$`
	var parts []string
	for _, root := range []string{"internal", "cmd", "platform"} {
		parts = append(parts, golden.Literals(t, root, "../../"+root, pattern))
	}
	parts = append(parts, golden.Literals(t, "testbed", "../../internal/testbed", pattern))
	golden.Compare(t, "routes", parts...)
}

// TestGoldenMetrics pins the literals of names of metrics, whole or the part before what is joined to them. What the
// collectors describe, with labels, is pinned in their packages.
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

// TestGoldenConstants pins the values of string constants: states, phases, kinds, names of fields.
func TestGoldenConstants(t *testing.T) {
	golden.Compare(t, "constants",
		golden.Constants(t, "internal", "../../internal"),
		golden.Constants(t, "cmd", "../../cmd"),
		golden.Constants(t, "platform", "../../platform"),
	)
}

// TestGoldenParameters pins the names of headers, of parameters in queries and in paths.
func TestGoldenParameters(t *testing.T) {
	golden.Compare(t, "parameters",
		golden.Arguments(t, "internal", "../../internal"),
		golden.Arguments(t, "cmd", "../../cmd"),
		golden.Arguments(t, "platform", "../../platform"),
	)
}
