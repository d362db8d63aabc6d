package command

import (
	"slices"
	"strings"
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON that is sent to other processes, clients and operators, or stored.
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

// ops returns the shape of every command, under its name in the log.
func ops() string {
	var shapes []string
	for op, construct := range constructors {
		shapes = append(shapes, golden.Shape("op "+op, construct())+"\n"+golden.Filled("op "+op, construct()))
	}
	slices.Sort(shapes)
	return strings.Join(shapes, "\n")
}
