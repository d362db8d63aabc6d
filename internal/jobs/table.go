package jobs

import (
	"encoding/json"

	"crosstide/internal/codec"
	"crosstide/internal/errs"
)

// Table is the replicated table of the jobs deployment. It has no lock: the owner of the enclosing state.State
// serializes all access. The order of the fields is the order of the keys in snapshots.
type Table struct {
	Jobs      map[string]*Job    `json:"jobs"`                // by ID; deleted by Purge
	Workers   map[string]*Worker `json:"workers"`             // by ID; deleted by Progress.RemoveWorkers
	Config    Config             `json:"config"`              // in force
	Evacuated map[string]bool    `json:"evacuated,omitempty"` // zones being evacuated; no false values
	// ZoneRevisions counts the orders with a base that were applied to a zone. It never decreases.
	ZoneRevisions map[string]uint64 `json:"zoneRevisions,omitempty"`
	// EarlyCancels are the cancellations of IDs that had no job, oldest first; deleted by Submit and Purge.
	EarlyCancels []EarlyCancel `json:"earlyCancels,omitempty"`
	Sequence     uint64        `json:"seq"`               // of the newest accepted job
	Term         uint64        `json:"term"`              // of the newest Progress; never decreases
	Orders       []string      `json:"orders,omitempty"`  // digests of accepted Configure orders, oldest first
	Parties      []Party       `json:"parties,omitempty"` // if empty, all runs are free
	Schema       Schema        `json:"schema,omitempty"`  // in force; changed by UpgradeSchema, never decreases

	// OnEvent is called after each change, on the goroutine that applies the entry. It must not change the table. If it
	// is nil, events are dropped.
	OnEvent func(Event) `json:"-"`

	// Payments holds the accounts of Parties. The table's owner sets it; it is nil until the first account exists.
	Payments Payments `json:"-"`

	indexes indexes
}

// NewTable returns an empty table.
func NewTable() *Table {
	t := &Table{}
	t.Rebuild()
	return t
}

// Encode returns the table as JSON. Equal tables encode to the same bytes.
func (t *Table) Encode() ([]byte, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode job table")
	}
	return data, nil
}

// UnmarshalJSON replaces the table by a table encoded by Encode, except OnEvent and Payments. Failure: Damaged.
func (t *Table) UnmarshalJSON(data []byte) error {
	type plain Table // has no UnmarshalJSON, which would recurse
	var decoded plain
	if err := codec.Decode(data, &decoded); err != nil {
		return errs.Wrap(err, errs.Damaged, "decode job table")
	}
	decoded.OnEvent, decoded.Payments = t.OnEvent, t.Payments
	*t = Table(decoded)
	t.Rebuild()
	return nil
}
