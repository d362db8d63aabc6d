package errs

import (
	"fmt"
	"slices"
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of an Error, which is sent to other processes and stored in files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("error", Error{}),
	)
}

// TestGoldenEnums pins every kind of error with its HTTP response.
func TestGoldenEnums(t *testing.T) {
	var lines []string
	for _, k := range append(Kinds(), "no such kind") {
		r := ReplyOf(k)
		lines = append(lines, fmt.Sprintf("%s: status %d, retry after %s, again %t", k, r.Status, r.RetryAfter, r.Retryable))
	}
	slices.Sort(lines)
	golden.Compare(t, "enums", golden.Lines("kinds of errors", lines...))
}
