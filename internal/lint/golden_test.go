package lint

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenRoutes pins the paths of all calls: what looks like a path of HTTP, with or without a method before it, in
// the programs and the platform's package. The testbed and the drills are clients only.
func TestGoldenRoutes(t *testing.T) {
	const pattern = `^((GET|PUT|POST|PATCH|DELETE|HEAD) )?/[a-z][a-z0-9/{}_.%-]*$`
	var parts []string
	for _, root := range []string{"internal", "cmd", "platform"} {
		parts = append(parts, golden.Literals(t, root, "../../"+root, pattern))
	}
	golden.Compare(t, "routes", parts...)
}
