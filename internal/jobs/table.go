package jobs

import (
	"encoding/json"

	"crosstide/internal/codec"
	"crosstide/internal/errs"
)

// Table is the replicated table of the jobs deployment. It has no lock: the owner of its State serializes all access.
// The order of the fields is the order of the keys in snapshots.
type Table struct {
	Jobs      map[string]*Job    `json:"jobs"`                // by ID, until Purge
	Workers   map[string]*Worker `json:"workers"`             // by ID, until Progress.Forget
	Config    Config             `json:"config"`              // in force
	Evacuated map[string]bool    `json:"evacuated,omitempty"` // zones being evacuated; no false values
	Sequence  uint64             `json:"seq"`                 // of the newest accepted job
	Term      uint64             `json:"term"`                // of the newest Progress; never goes back
	Orders    []string           `json:"orders,omitempty"`    // digests of accepted Configure orders, oldest first
	Parties   []Party            `json:"parties,omitempty"`   // who pays for which queues; none: nobody pays

	// OnEvent is called after each change, on the goroutine that applies the entry; it must not change the table. Nil:
	// events are dropped.
	OnEvent func(Event) `json:"-"`

	// Payments are the accounts of Parties; nil until the first account is opened. Set by the table's owner.
	Payments Payments `json:"-"`

	indexes indexes
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.Rebuild()
	return t
}

// Encode returns the table as JSON, the same bytes for the same table.
func (t *Table) Encode() ([]byte, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode job table")
	}
	return data, nil
}

// UnmarshalJSON replaces the table by what Encode wrote. OnEvent and Payments stay. Failure: Damaged.
func (t *Table) UnmarshalJSON(data []byte) error {
	type plain Table // without this method
	var decoded plain
	if err := codec.Decode(data, &decoded); err != nil {
		return errs.Wrap(err, errs.Damaged, "decode job table")
	}
	decoded.OnEvent, decoded.Payments = t.OnEvent, t.Payments
	*t = Table(decoded)
	t.Rebuild()
	return nil
}
