package state

import (
	"slices"
	"time"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// InitialBundle is the text of version 1, in force from the founding: one queue `default` that any minion may serve.
const InitialBundle = `{
  "queues": {
    "default": {}
  },
  "backoff": {
    "min": "200ms",
    "max": "30s"
  }
}
`

const initialBundleDigest = "be4f1ed5c7468620e0a1d8d4306b21979535183d590194d65345ea610808b8e2"

// RevisionPhase is where a version of the bundle stands. Only State.SetRevisionPhase changes it.
type RevisionPhase string

const (
	RevisionDraft    RevisionPhase = "draft"       // written, unsigned
	RevisionSigned   RevisionPhase = "signed once" // by one operator
	RevisionInForce  RevisionPhase = "in force"    // the version that holds
	RevisionReplaced RevisionPhase = "replaced"    // by a newer version, after or without having been in force; final
)

// Revision is one version of the bundle in the operators' line. Body is its exact bytes, nil once it was let go.
type Revision struct {
	Version      uint64        `json:"version"`
	Base         uint64        `json:"base"`
	Digest       string        `json:"sha256"`
	Size         int           `json:"size"`
	Order        string        `json:"order,omitempty"` // that wrote it
	Author       string        `json:"by,omitempty"`    // the operator whose order it was
	WrittenAt    time.Time     `json:"at,omitzero"`
	Phase        RevisionPhase `json:"state"`
	Signed       []Signature   `json:"signed,omitempty"`
	InForceSince time.Time     `json:"in_force,omitzero"` // since when
	ReplacedAt   time.Time     `json:"until,omitzero"`    // when it was replaced
	Body         []byte        `json:"body,omitempty"`
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

// revisionTransitions is the table of the changes of a version's phase that exist.
var revisionTransitions = map[RevisionPhase][]RevisionPhase{
	RevisionDraft:   {RevisionSigned, RevisionReplaced},
	RevisionSigned:  {RevisionInForce, RevisionReplaced},
	RevisionInForce: {RevisionReplaced},
}

// SetRevisionPhase is the one function that changes a version's phase. Failure: Stale.
func (s *State) SetRevisionPhase(r *Revision, to RevisionPhase) error {
	if !slices.Contains(revisionTransitions[r.Phase], to) {
		return errs.New(errs.Stale, "version %d is %s, cannot become %s", r.Version, r.Phase, to)
	}
	r.Phase = to
	switch to {
	case RevisionInForce:
		r.InForceSince = s.At
	case RevisionReplaced:
		r.ReplacedAt = s.At
	}
	return nil
}

// Head is the newest version, draft or not: what the next one must be written against.
func (s *State) Head() *Revision { return s.Revisions[len(s.Revisions)-1] }

// Revision finds a version; nil if there is none or it was let go.
func (s *State) Revision(version uint64) *Revision {
	for _, r := range slices.Backward(s.Revisions) {
		if r.Version == version {
			return r
		}
	}
	return nil
}

// AppendRevision puts a version at the head of the line; a head that waits for signatures is replaced by it.
func (s *State) AppendRevision(r *Revision) error {
	if head := s.Head(); head.Phase == RevisionDraft || head.Phase == RevisionSigned {
		if err := s.SetRevisionPhase(head, RevisionReplaced); err != nil {
			return errs.Pass(err, "append")
		}
	}
	s.Revisions = append(s.Revisions, r)
	s.trimRevisions()
	return nil
}

// PutInForce puts a version that has its signatures in force: b is what its bytes say. Watchers are told.
func (s *State) PutInForce(r *Revision, b Bundle) error {
	if old := s.Revision(s.Bundle.Version); old != nil {
		if err := s.SetRevisionPhase(old, RevisionReplaced); err != nil {
			return errs.Pass(err, "enforce")
		}
	}
	if err := s.SetRevisionPhase(r, RevisionInForce); err != nil {
		return errs.Pass(err, "enforce")
	}
	b.Version = r.Version
	s.Bundle = b
	if len(b.Operators) > 0 {
		s.Operators = b.Operators
		clear(s.LiftSignatures) // half signed, perhaps by one who is none any more
	}
	s.trimRevisions()
	s.notify(Event{Kind: EventPlacementChanged})
	return nil
}

// trimRevisions lets old versions go, from the newest back.
func (s *State) trimRevisions() {
	forced, drafts, bytes := 0, 0, 0
	keep := make([]*Revision, 0, len(s.Revisions))
	for i, r := range slices.Backward(s.Revisions) {
		if i == len(s.Revisions)-1 || r.Phase == RevisionInForce {
			bytes += len(r.Body)
			keep = append(keep, r)
			continue
		}
		n, bodies, most := &drafts, KeepDrafts, KeepUnfinished
		if !r.InForceSince.IsZero() {
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
	s.Revisions = keep
}

func (s *State) fillDefaults() {
	if s.JobTable == nil { // also in encodings from before there was one
		s.JobTable = jobs.NewTable()
	}
	if len(s.Revisions) == 0 {
		s.Revisions = []*Revision{{Version: 1, Size: len(InitialBundle), Digest: initialBundleDigest, Phase: RevisionInForce, Body: []byte(InitialBundle)}}
	}
}
