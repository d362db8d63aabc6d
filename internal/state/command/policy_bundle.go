package command

import (
	"slices"
	"strings"

	"crosstide/internal/bundle"
	"crosstide/internal/errs"
	"crosstide/internal/signature"
	"crosstide/internal/state"
)

// PutBundle writes a version of the bundle as a draft against Base, which must be the newest version. Sig signs the
// text signature.BundlePut.
type PutBundle struct {
	Order string `json:"order"`
	Base  uint64 `json:"base"`
	By    string `json:"by"`
	Sig   string `json:"sig"`
	Body  []byte `json:"body"`
}

// BundleDrafted answers PutBundle and PatchBundle with the new version, the digest to sign, and the phase.
type BundleDrafted struct {
	Version uint64              `json:"version"`
	Base    uint64              `json:"base"`
	Digest  string              `json:"sha256"`
	Phase   state.RevisionPhase `json:"state"`
}

// Op returns "put".
func (*PutBundle) Op() string { return "put" }

func (c *PutBundle) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c)
	return answer, errs.Pass(err, "put")
}

func (c *PutBundle) check(s *state.State) error {
	text := signature.BundlePut(c.Order, c.Base, bundle.Digest(c.Body))
	if err := verifySignature(s, c.By, c.Sig, text); err != nil {
		return errs.Pass(err, "put")
	}
	return errs.Pass(checkBase(s, c.Base), "put")
}

func (c *PutBundle) change(s *state.State) (any, error) {
	drafted, err := appendDraft(s, c.Order, c.By, c.Body)
	return drafted, errs.Pass(err, "put")
}

// PatchBundle writes a version as a draft: the result of a JSON merge patch of Base, which must be the newest version.
// The result must be a valid bundle. Sig signs the text signature.BundlePatch.
type PatchBundle struct {
	Order string `json:"order"`
	Base  uint64 `json:"base"`
	By    string `json:"by"`
	Sig   string `json:"sig"`
	Patch []byte `json:"patch"`
}

// Op returns "patch".
func (*PatchBundle) Op() string { return "patch" }

func (c *PatchBundle) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c)
	return answer, errs.Pass(err, "patch")
}

func (c *PatchBundle) check(s *state.State) error {
	text := signature.BundlePatch(c.Order, c.Base, bundle.Digest(c.Patch))
	if err := verifySignature(s, c.By, c.Sig, text); err != nil {
		return errs.Pass(err, "patch")
	}
	return errs.Pass(checkBase(s, c.Base), "patch")
}

func (c *PatchBundle) change(s *state.State) (any, error) {
	body, err := bundle.Merge(s.Head().Body, c.Patch)
	if err != nil {
		return nil, errs.Pass(err, "patch")
	}
	drafted, err := appendDraft(s, c.Order, c.By, body)
	return drafted, errs.Pass(err, "patch")
}

// checkBase returns nil if base is the newest version, whether in force or not. Failure: Conflict.
func checkBase(s *state.State, base uint64) error {
	head := s.Head()
	switch {
	case base > head.Version:
		return errs.Field(errs.Conflict, "base", "version %d does not exist, the newest is %d", base, head.Version)
	case base < head.Version:
		author := head.Author
		if next := s.Revision(base + 1); next != nil {
			author = next.Author
		}
		return errs.Field(errs.Conflict, "base",
			"conflicting change: version %d, by %s, was written against %d; the newest is %d",
			base+1, author, base, head.Version)
	}
	return nil
}

// appendDraft appends a text as the newest version. Failures, which change nothing: Invalid, TooLarge.
func appendDraft(s *state.State, order, author string, body []byte) (any, error) {
	if _, err := bundle.Parse(body); err != nil {
		return nil, errs.Pass(err, "draft")
	}
	base := s.Head().Version
	revision := &state.Revision{
		Version: base + 1, Base: base, Digest: bundle.Digest(body), Size: len(body),
		Order: order, Author: author, WrittenAt: s.At, Phase: state.RevisionDraft, Body: body,
	}
	must(s.AppendRevision(revision)) // a head that lacks signatures may always be replaced
	return BundleDrafted{revision.Version, revision.Base, revision.Digest, revision.Phase}, nil
}

// SignBundle adds an operator's signature to a version: Sig signs the text signature.Bundle. The second signature, by
// another operator, also puts the version in force.
type SignBundle struct {
	Order   string `json:"order"`
	Version uint64 `json:"version"`
	Digest  string `json:"sha256"`
	By      string `json:"by"`
	Sig     string `json:"sig"`
}

// BundleSigned answers SignBundle with the version's new phase and its signers.
type BundleSigned struct {
	Version uint64              `json:"version"`
	Digest  string              `json:"sha256"`
	Phase   state.RevisionPhase `json:"state"`
	Signed  []string            `json:"signed"`
}

// Op returns "sign".
func (*SignBundle) Op() string { return "sign" }

func (c *SignBundle) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c)
	return answer, errs.Pass(err, "sign")
}

func (c *SignBundle) check(s *state.State) error {
	revision := s.Revision(c.Version)
	switch {
	case revision == nil:
		return errs.Field(errs.Unknown, "version", "version %d does not exist", c.Version)
	case !strings.EqualFold(revision.Digest, c.Digest):
		return errs.Field(errs.Invalid, "sha256",
			"version %d has the digest %s, not %s", revision.Version, revision.Digest, c.Digest)
	}
	if err := verifySignature(s, c.By, c.Sig, signature.Bundle(revision.Version, revision.Digest)); err != nil {
		return errs.Pass(err, "sign")
	}
	switch {
	case revision.Phase == state.RevisionInForce:
		return errs.Field(errs.Conflict, "version", "version %d is already in force", revision.Version)
	case revision.Phase == state.RevisionReplaced:
		return errs.Field(errs.Conflict, "version",
			"conflicting change: version %d was replaced, the newest is %d", revision.Version, s.Head().Version)
	case slices.ContainsFunc(revision.Signed, func(g state.Signature) bool { return g.By == c.By }):
		return errs.Field(errs.Forbidden, "by",
			"%s has already signed version %d; another operator must sign too", c.By, revision.Version)
	}
	return nil
}

func (c *SignBundle) change(s *state.State) (any, error) {
	revision := s.Revision(c.Version)
	revision.Signed = append(revision.Signed, state.Signature{By: c.By, At: s.At, Sig: c.Sig})
	if len(revision.Signed) == 1 {
		must(s.SetRevisionPhase(revision, state.RevisionSigned))
	} else {
		// The draft was parsed when it was written. A node that runs another version of the program and rejects it now
		// must stop: the bundle must not be in force on some nodes only.
		b, err := bundle.Parse(revision.Body)
		must(err)
		must(s.PutInForce(revision, b))
	}
	answer := BundleSigned{Version: revision.Version, Digest: revision.Digest, Phase: revision.Phase}
	for _, g := range revision.Signed {
		answer.Signed = append(answer.Signed, g.By)
	}
	return answer, nil
}
