package state

import (
	"slices"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// First is the text of version 1, in force from the founding: one queue `default` that any minion may serve.
const First = `{
  "queues": {
    "default": {}
  },
  "backoff": {
    "min": "200ms",
    "max": "30s"
  }
}
`

const firstDigest = "be4f1ed5c7468620e0a1d8d4306b21979535183d590194d65345ea610808b8e2"

// RevisionPhase is where a version of the bundle stands. Only State.Turn changes it.
type RevisionPhase string

const (
	RevisionDraft    RevisionPhase = "draft"       // written, unsigned
	RevisionSigned   RevisionPhase = "signed once" // by one operator
	RevisionForce    RevisionPhase = "in force"    // the version that holds
	RevisionReplaced RevisionPhase = "replaced"    // by a newer version, after or without having been in force; final
)

// Revision is one version of the bundle in the operators' line. Body is its exact bytes, nil once it was let go.
type Revision struct {
	Version uint64        `json:"version"`
	Base    uint64        `json:"base"`
	Digest  string        `json:"sha256"`
	Size    int           `json:"size"`
	Order   string        `json:"order,omitempty"` // that wrote it
	By      string        `json:"by,omitempty"`    // the operator whose order it was
	At      time.Time     `json:"at,omitzero"`
	Phase   RevisionPhase `json:"state"`
	Signed  []Signature   `json:"signed,omitempty"`
	Force   time.Time     `json:"in_force,omitzero"` // since when
	Until   time.Time     `json:"until,omitzero"`    // when it was replaced
	Body    []byte        `json:"body,omitempty"`
}

// Signature is an operator's word for a version: Sig, in base64, is over signature.Bundle of version and digest.
type Signature struct {
	By  string    `json:"by"`
	At  time.Time `json:"at"`
	Sig string    `json:"sig"`
}

// What stays of the line. The version in force and the newest stay whole whatever the bounds.
const (
	KeepBodies     = 64      // bodies of versions that were in force
	KeepBodyBytes  = 4 << 20 // of all bodies
	KeepDrafts     = 16      // bodies of versions that never were in force
	KeepRevisions  = 1000    // versions that were in force, without bodies
	KeepUnfinished = 200     // versions that never were
)

// turns is the table of the changes of a version's phase that exist.
var turns = map[RevisionPhase][]RevisionPhase{
	RevisionDraft:  {RevisionSigned, RevisionReplaced},
	RevisionSigned: {RevisionForce, RevisionReplaced},
	RevisionForce:  {RevisionReplaced},
}

// Turn is the one function that changes a version's phase. Failure: Stale.
func (s *State) Turn(r *Revision, to RevisionPhase) error {
	if !slices.Contains(turns[r.Phase], to) {
		return errs.New(errs.Stale, "version %d is %s, cannot become %s", r.Version, r.Phase, to)
	}
	r.Phase = to
	switch to {
	case RevisionForce:
		r.Force = s.At
	case RevisionReplaced:
		r.Until = s.At
	}
	return nil
}

// Head is the newest version, draft or not: what the next one must be written against.
func (s *State) Head() *Revision { return s.Line[len(s.Line)-1] }

// Revision finds a version; nil if there is none or it was let go.
func (s *State) Revision(version uint64) *Revision {
	for _, r := range slices.Backward(s.Line) {
		if r.Version == version {
			return r
		}
	}
	return nil
}

// Append puts a version at the head of the line; a head that waits for signatures is replaced by it.
func (s *State) Append(r *Revision) error {
	if head := s.Head(); head.Phase == RevisionDraft || head.Phase == RevisionSigned {
		if err := s.Turn(head, RevisionReplaced); err != nil {
			return errs.Pass(err, "append")
		}
	}
	s.Line = append(s.Line, r)
	s.trim()
	return nil
}

// Enforce puts a version that has its signatures in force: b is what its bytes say. Watchers are told.
func (s *State) Enforce(r *Revision, b Bundle) error {
	if old := s.Revision(s.Bundle.Version); old != nil {
		if err := s.Turn(old, RevisionReplaced); err != nil {
			return errs.Pass(err, "enforce")
		}
	}
	if err := s.Turn(r, RevisionForce); err != nil {
		return errs.Pass(err, "enforce")
	}
	b.Version = r.Version
	s.Bundle = b
	if len(b.Operators) > 0 {
		s.Operators = b.Operators
		clear(s.Lifts) // half signed, perhaps by one who is none any more
	}
	s.trim()
	s.tell(Note{Kind: NotePlacement})
	return nil
}

// trim lets old versions go, from the newest back.
func (s *State) trim() {
	forced, drafts, bytes := 0, 0, 0
	keep := make([]*Revision, 0, len(s.Line))
	for i, r := range slices.Backward(s.Line) {
		if i == len(s.Line)-1 || r.Phase == RevisionForce {
			bytes += len(r.Body)
			keep = append(keep, r)
			continue
		}
		n, bodies, most := &drafts, KeepDrafts, KeepUnfinished
		if !r.Force.IsZero() {
			n, bodies, most = &forced, KeepBodies, KeepRevisions
		}
		if *n++; *n > most {
			continue
		}
		if bytes += len(r.Body); *n > bodies || bytes > KeepBodyBytes {
			bytes -= len(r.Body)
			r.Body = nil
		}
		keep = append(keep, r)
	}
	slices.Reverse(keep)
	s.Line = keep
}

func (s *State) found() {
	if s.Table == nil { // also in encodings from before there was one
		s.Table = jobs.NewTable()
	}
	if len(s.Line) == 0 {
		s.Line = []*Revision{{Version: 1, Size: len(First), Digest: firstDigest, Phase: RevisionForce, Body: []byte(First)}}
	}
}
