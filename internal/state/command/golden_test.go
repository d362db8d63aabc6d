package command

import (
	"slices"
	"strings"
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		ops(),
		golden.Shape("entry", Entry{}),
		golden.Shape("submitted", Submitted{}),
		golden.Shape("cancelled", Cancelled{}),
		golden.Shape("cancelled all", CancelledMany{}),
		golden.Shape("account created", AccountCreated{}),
		golden.Shape("drafted", BundleDrafted{}),
		golden.Shape("signed", BundleSigned{}),
		golden.Shape("zoned", ZoneEvacuation{}),
		golden.Shape("end", End{}),
		golden.Shape("proof", Proof{}),
		golden.Shape("start", Start{}),
		golden.Shape("planned", Planned{}),
		golden.Filled("entry", Entry{}),
	)
}

// ops is the shape of every command, under its name in the log.
func ops() string {
	var out []string
	for op, make := range constructors {
		out = append(out, golden.Shape("op "+op, make())+"\n"+golden.Filled("op "+op, make()))
	}
	slices.Sort(out)
	return strings.Join(out, "\n")
}
