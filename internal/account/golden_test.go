package account

import (
	"fmt"
	"testing"
	"time"

	"crosstide/internal/testbed/golden"
)

// TestGoldenWire pins the JSON of the types that are stored or sent to other processes, clients and operators.
func TestGoldenWire(t *testing.T) {
	golden.Compare(t, "wire",
		golden.Shape("account", Account{}),
		golden.Shape("top up", TopUp{}),
		golden.Shape("reservation", Reservation{}),
		golden.Shape("book", Table{}),
		golden.Shape("entry", Entry{}),
		golden.Shape("checkpoint", Checkpoint{}),
		golden.Shape("ledger", Ledger{}),
		golden.Shape("price", Price{}),
		golden.Filled("ledger", Ledger{}),
		golden.Filled("book", Table{}),
		golden.Filled("price", Price{}),
		golden.Filled("entry", Entry{}),
		golden.Filled("checkpoint", Checkpoint{}),
	)
}

// TestGoldenEnums pins the string of each value on the wire and on disk.
func TestGoldenEnums(t *testing.T) {
	golden.Compare(t, "enums",
		golden.Lines("ledger entries",
			fmt.Sprintf("top up = %#v", string(EntryTopUp)),
			fmt.Sprintf("draw = %#v", string(EntryDraw)),
		),
	)
}

// TestGoldenDigests pins the hashed text of an entry by the hash of a fixed entry.
func TestGoldenDigests(t *testing.T) {
	e := Entry{Number: 1, At: time.Unix(0, 2), Kind: EntryTopUp, Key: "key", DrawIndex: 3, Amount: 4}
	golden.Compare(t, "digests", golden.Lines("chain of a ledger", e.hash(""), e.hash("before")))
}
