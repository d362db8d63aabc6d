package jobs

import (
	"encoding/json"

	"crosstide/internal/codec"
	"crosstide/internal/errs"
)

// MaxOrders is how many digests of configuration orders are remembered, the newest.
const MaxOrders = 1024

// Table is the replicated table. It has no lock: its owner has.
type Table struct {
	Jobs      map[string]*Job    `json:"jobs"`
	Workers   map[string]*Worker `json:"workers"`
	Config    Config             `json:"config"`
	Evacuated map[string]bool    `json:"evacuated,omitempty"` // zones being evacuated
	Sequence  uint64             `json:"seq"`                 // of the newest accepted job
	Term      uint64             `json:"term"`                // of the newest Progress
	Orders    []string           `json:"orders,omitempty"`    // digests of configuration orders taken, oldest first

	Parties []Party `json:"parties,omitempty"` // who pays for which queues; none: nobody

	// OnEvent is told of each change after it was made; it must not change the table.
	OnEvent func(Event) `json:"-"`
	// Payments are the accounts that Parties pay from; nil until there is one. They are set by the table's owner.
	Payments Payments `json:"-"`

	partyByQueue map[string]*Party     // Parties by queue
	orders       map[string]struct{}   // Orders as a set
	queued       map[string]int        // queued jobs by queue
	occupancy    map[string]*occupancy // what handles take, by worker ID; none for a worker without handles
	retired      retiredJobs           // jobs that are over and have no handle out, oldest end first
}

// EventKind says what a Note is about.
type EventKind uint8

// The kinds of notes. A job that was dropped is told as changed too.
const (
	JobChanged    EventKind = iota + 1 // a job came, changed or was dropped (its ID)
	WorkerChanged                      // the record of a worker came or changed (its ID)
	WorkerGone                         // a worker was forgotten (its ID)
	ConfigChanged                      // another configuration is in force
	ZonesChanged                       // an evacuation was started or withdrawn (the zone)
)

// Event is a change that the watcher is told of.
type Event struct {
	Kind EventKind
	Name string
}

// NewTable makes an empty table.
func NewTable() *Table {
	t := &Table{}
	t.Rebuild()
	return t
}

// Encode gives the table as JSON, the same bytes for the same table.
func (t *Table) Encode() ([]byte, error) {
	data, err := json.Marshal(t)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode job table")
	}
	return data, nil
}

// UnmarshalJSON replaces the table by what Encode gave. Watch and Payments stay.
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

func (t *Table) notify(kind EventKind, name string) {
	if t.OnEvent != nil {
		t.OnEvent(Event{Kind: kind, Name: name})
	}
}
