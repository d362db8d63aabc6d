package state

import (
	"encoding/json"
	"time"

	"crosstide/internal/account"
	"crosstide/internal/codec"
	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// State is the whole replicated state. It has no lock: its owner serializes all access (see the package comment). The
// order of the fields is the order of the keys in snapshots.
type State struct {
	Index uint64 `json:"index"` // of the newest entry applied
	Term  uint64 `json:"term"`  // of the newest entry applied

	// At is the store time: the greatest time of any applied entry, so it never goes back.
	At time.Time `json:"at"`

	// The fields up to LiftSignatures are the records of the policy deployment. Both deployments use Operators and
	// Successors.

	// LastRunID is the newest run ID issued; run IDs are issued in ascending order and never reused.
	LastRunID uint64 `json:"ticket"`

	// Seq numbers the submitted jobs. AdmittedSeq is the number up to which the scheduler's plans have admitted them.
	Seq         uint64 `json:"seq"`
	AdmittedSeq uint64 `json:"inbox_seq"`

	// Inbox holds the keys of jobs in JobAccepted, ascending by Job.Seq, all above AdmittedSeq.
	Inbox []string `json:"inbox"`

	Jobs      map[string]*Job `json:"jobs"`  // by key, until Purge replaces a terminal job by a tombstone
	EndedJobs []string        `json:"ended"` // keys of the terminal jobs in Jobs, oldest end first

	Tombstones     map[string]*Tombstone `json:"tombs"`      // by job key; no key is also in Jobs
	TombstoneOrder []string              `json:"tomb_order"` // the keys of Tombstones, oldest first

	Handles map[uint64]*Handle `json:"handles"` // by run ID; one for each task whose phase HasHandle
	Workers map[string]*Worker `json:"minions"` // by name

	Roles map[string]*Role `json:"duties"` // by name

	Bundle    Bundle      `json:"bundle"`    // the version in force
	Revisions []*Revision `json:"line"`      // versions of the bundle, oldest first; never empty
	Operators Operators   `json:"operators"` // empty until SetOperators is applied

	Evacuated map[string]time.Time `json:"evacuated"` // zone to the start of its evacuation

	// Successors are the control-plane nodes that may join in another's place, by an operator's order: new name to old.
	Successors map[string]string `json:"successors,omitempty"`

	// LiftSignatures maps each evacuated zone to the operators who have signed for lifting its evacuation.
	LiftSignatures map[string][]string `json:"lifts,omitempty"`

	// Orders are the answered orders of operators, of both deployments.
	Orders    map[string]*AnsweredOrder `json:"orders"`     // by order ID
	OrderKeys []string                  `json:"order_keys"` // the keys of Orders, oldest first

	// JobTable holds the records of the jobs deployment; never nil.
	JobTable *jobs.Table `json:"table,omitempty"`

	// Accounts are the parties' prepaid balances; nil until the first account is opened.
	Accounts *account.Table `json:"accounts,omitempty"`

	// OnEvent is called after each change that has an EventKind, on the goroutine that applies the entry. It must not
	// change the state. If it is nil, events are dropped.
	OnEvent func(Event) `json:"-"`

	indexes indexes
}

// New returns the state before the first entry: one queue `default` that any worker may serve.
func New() *State {
	s := &State{
		Jobs:           map[string]*Job{},
		Tombstones:     map[string]*Tombstone{},
		Handles:        map[uint64]*Handle{},
		Workers:        map[string]*Worker{},
		Roles:          map[string]*Role{},
		Evacuated:      map[string]time.Time{},
		Orders:         map[string]*AnsweredOrder{},
		Operators:      Operators{},
		LiftSignatures: map[string][]string{},
		Bundle: Bundle{
			Version: 1,
			Queues:  map[string]Queue{"default": {}},
			Backoff: Backoff{Min: 200 * time.Millisecond, Max: 30 * time.Second},
		},
	}
	s.fillDefaults()
	s.rebuildIndexes()
	return s
}

// Encode returns the state as JSON. Equal states have equal encodings.
func (s *State) Encode() ([]byte, error) {
	data, err := json.Marshal(s)
	if err != nil {
		return nil, errs.Wrap(err, errs.Internal, "encode state at %d", s.Index)
	}
	return data, nil
}

// Decode parses a state that Encode returned. Failure: Damaged.
func Decode(data []byte) (*State, error) {
	s := New()
	s.Bundle, s.Revisions = Bundle{}, nil
	if err := codec.Decode(data, s); err != nil {
		return nil, errs.Wrap(err, errs.Damaged, "decode state")
	}
	s.fillDefaults()
	s.rebuildIndexes()
	return s, nil
}

// fillDefaults sets fields that every state must have but that encodings of older versions lack.
func (s *State) fillDefaults() {
	if s.JobTable == nil {
		s.JobTable = jobs.NewTable()
	}
	if len(s.Revisions) == 0 {
		s.Revisions = []*Revision{initialRevision()}
	}
}

// must panics on an error of a change that the caller has just checked. Such an error is a bug, and continuing would
// let the nodes diverge.
func must(err error) {
	if err != nil {
		panic(err)
	}
}
