package state

import (
	"slices"
	"time"

	"crosstide/internal/errs"
)

// InitialBundle is the text of version 1, in force from the bootstrap: one queue `default` that any worker may serve.
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

// initialBundleDigest is the SHA-256 of InitialBundle in hex.
const initialBundleDigest = "be4f1ed5c7468620e0a1d8d4306b21979535183d590194d65345ea610808b8e2"

func initialRevision() *Revision {
	return &Revision{
		Version: 1, Size: len(InitialBundle), Digest: initialBundleDigest, Phase: RevisionInForce,
		Body: []byte(InitialBundle),
	}
}

// RevisionPhase is the phase of a version of the bundle. Only State.SetRevisionPhase changes it.
type RevisionPhase string

// The phases of a revision, in their order. The strings are stored and sent to operators.
const (
	RevisionDraft    RevisionPhase = "draft"       // written, unsigned
	RevisionSigned   RevisionPhase = "signed once" // by one operator
	RevisionInForce  RevisionPhase = "in force"    // signed by a second operator; the version of State.Bundle
	RevisionReplaced RevisionPhase = "replaced"    // by a newer version, whether or not it was in force; terminal
)

// revisionTransitions lists the allowed changes of a revision's phase; SetRevisionPhase rejects all others.
var revisionTransitions = map[RevisionPhase][]RevisionPhase{
	RevisionDraft:   {RevisionSigned, RevisionReplaced},
	RevisionSigned:  {RevisionInForce, RevisionReplaced},
	RevisionInForce: {RevisionReplaced},
}

// Revision is one version of the bundle with its history.
type Revision struct {
	Version      uint64        `json:"version"`
	Base         uint64        `json:"base"` // the version that it was written against
	Digest       string        `json:"sha256"`
	Size         int           `json:"size"`
	Order        string        `json:"order,omitempty"` // ID of the order that wrote it
	Author       string        `json:"by,omitempty"`    // the operator of that order
	WrittenAt    time.Time     `json:"at,omitzero"`
	Phase        RevisionPhase `json:"state"`
	Signed       []Signature   `json:"signed,omitempty"` // at most two, by different operators
	InForceSince time.Time     `json:"in_force,omitzero"`
	ReplacedAt   time.Time     `json:"until,omitzero"`
	Body         []byte        `json:"body,omitempty"` // its exact text; nil after it was trimmed
}

// Signature is an operator's approval of a version. Sig is the base64 signature of the text that signature.Bundle
// returns for the number and digest of the version.
type Signature struct {
	By  string    `json:"by"`
	At  time.Time `json:"at"`
	Sig string    `json:"sig"`
}

// The limits of State.Revisions. The version in force and the newest one are always kept with their bodies.
const (
	MaxEnforcedBodies      = 64      // bodies of versions that were in force
	MaxBodyBytes           = 4 << 20 // total size of the bodies
	MaxDraftBodies         = 16      // bodies of versions that never were in force
	MaxEnforcedRevisions   = 1000    // versions that were in force
	MaxUnenforcedRevisions = 200     // versions that never were in force
)

// SetRevisionPhase changes a revision's phase; no other code may change it. Failure: Stale (revisionTransitions does
// not allow the change).
func (s *State) SetRevisionPhase(revision *Revision, to RevisionPhase) error {
	if !slices.Contains(revisionTransitions[revision.Phase], to) {
		return errs.New(errs.Stale, "version %d is %s, cannot become %s", revision.Version, revision.Phase, to)
	}
	revision.Phase = to
	switch to {
	case RevisionInForce:
		revision.InForceSince = s.At
	case RevisionReplaced:
		revision.ReplacedAt = s.At
	}
	return nil
}

// Head returns the newest version, in force or not. The next version must be written against it.
func (s *State) Head() *Revision { return s.Revisions[len(s.Revisions)-1] }

// Revision returns a version, or nil if it does not exist or was trimmed.
func (s *State) Revision(version uint64) *Revision {
	for _, r := range slices.Backward(s.Revisions) {
		if r.Version == version {
			return r
		}
	}
	return nil
}

// AppendRevision adds the newest version. It replaces the previous newest one if that still lacks signatures.
func (s *State) AppendRevision(revision *Revision) error {
	if head := s.Head(); head.Phase == RevisionDraft || head.Phase == RevisionSigned {
		if err := s.SetRevisionPhase(head, RevisionReplaced); err != nil {
			return errs.Pass(err, "append")
		}
	}
	s.Revisions = append(s.Revisions, revision)
	s.trimRevisions()
	return nil
}

// PutInForce puts a version that has all its signatures in force; b is its parsed text.
func (s *State) PutInForce(revision *Revision, b Bundle) error {
	if old := s.Revision(s.Bundle.Version); old != nil {
		if err := s.SetRevisionPhase(old, RevisionReplaced); err != nil {
			return errs.Pass(err, "enforce")
		}
	}
	if err := s.SetRevisionPhase(revision, RevisionInForce); err != nil {
		return errs.Pass(err, "enforce")
	}
	b.Version = revision.Version
	s.Bundle = b
	if len(b.Operators) > 0 {
		s.Operators = b.Operators
		clear(s.LiftSignatures) // their signers may have been removed as operators
	}
	s.trimRevisions()
	s.notify(Event{Kind: EventPlacementChanged})
	return nil
}

// trimRevisions drops the oldest bodies and revisions beyond the limits.
func (s *State) trimRevisions() {
	enforced, drafts, bodyBytes := 0, 0, 0
	keep := make([]*Revision, 0, len(s.Revisions))
	for i, revision := range slices.Backward(s.Revisions) {
		if i == len(s.Revisions)-1 || revision.Phase == RevisionInForce {
			bodyBytes += len(revision.Body)
			keep = append(keep, revision)
			continue
		}
		count, maxBodies, maxRevisions := &drafts, MaxDraftBodies, MaxUnenforcedRevisions
		if !revision.InForceSince.IsZero() {
			count, maxBodies, maxRevisions = &enforced, MaxEnforcedBodies, MaxEnforcedRevisions
		}
		if *count++; *count > maxRevisions {
			continue
		}
		if bodyBytes += len(revision.Body); *count > maxBodies || bodyBytes > MaxBodyBytes {
			bodyBytes -= len(revision.Body)
			revision.Body = nil
		}
		keep = append(keep, revision)
	}
	slices.Reverse(keep)
	s.Revisions = keep
}
