package account

import (
	"testing"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of what goes between processes, to clients and operators, and into files.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("account", Account{}),
		golden.Shape("top up", TopUp{}),
		golden.Shape("reservation", Reservation{}),
		golden.Shape("book", Book{}),
		golden.Shape("entry", Entry{}),
		golden.Shape("checkpoint", Checkpoint{}),
		golden.Shape("ledger", Ledger{}),
		golden.Shape("price", Price{}),
		golden.Filled("ledger", Ledger{}),
		golden.Filled("book", Book{}),
		golden.Filled("price", Price{}),
		golden.Filled("entry", Entry{}),
		golden.Filled("checkpoint", Checkpoint{}),
	)
}
