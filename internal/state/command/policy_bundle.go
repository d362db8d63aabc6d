package command

import (
	"slices"
	"strings"

	"crosstide/internal/bundle"
	"crosstide/internal/errs"
	"crosstide/internal/signature"
	"crosstide/internal/state"
)

// SetOperators makes the operators known, once: the first leader whose settings list them brings them in. From then on
// only a bundle that two of them signed changes them.
type SetOperators struct {
	Operators map[string]string `json:"operators"` // name to public key
}

// Op is "keys".
func (c *SetOperators) Op() string { return "keys" }

func (c *SetOperators) apply(s *state.State, _ uint64) (any, error) {
	if len(s.Operators) > 0 {
		return nil, errs.New(errs.Conflict, "the store knows its operators already")
	}
	if why := bundle.OperatorsError(c.Operators, len(c.Operators)); why != "" {
		return nil, errs.Field(errs.Invalid, "operators", "%s", why)
	}
	s.Operators = c.Operators
	return nil, nil
}

// verifySignature is nil if sig is the signature of text by operator by. Failure: Forbidden.
func verifySignature(s *state.State, by, sig, text string) error {
	key, ok := s.Operators[by]
	switch {
	case len(s.Operators) == 0:
		return errs.Field(errs.Forbidden, "by", "the store knows no operators; list operator_keys in the cplanes' settings")
	case by == "":
		return errs.Field(errs.Forbidden, "by", "an operator must sign this")
	case !ok:
		return errs.Field(errs.Forbidden, "by", "%q is no operator", by)
	case !signature.Verify(key, text, sig):
		return errs.Field(errs.Forbidden, "sig", "is not %s's signature of this", by)
	}
	return nil
}

// PutBundle writes a version as a draft against Base, which must be the newest. By signs signature.PutBundle.
type PutBundle struct {
	Order string `json:"order"`
	Base  uint64 `json:"base"`
	By    string `json:"by"`
	Sig   string `json:"sig"`
	Body  []byte `json:"body"`
}

// BundleDrafted answers Put and Patch: the new version, what is to be signed, and where it stands.
type BundleDrafted struct {
	Version uint64              `json:"version"`
	Base    uint64              `json:"base"`
	Digest  string              `json:"sha256"`
	Phase   state.RevisionPhase `json:"state"`
}

// Op is "put".
func (c *PutBundle) Op() string { return "put" }

func (c *PutBundle) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c, func() (any, error) {
		if err := verifySignature(s, c.By, c.Sig, signature.Put(c.Order, c.Base, bundle.Digest(c.Body))); err != nil {
			return nil, errs.Pass(err, "put")
		}
		if err := checkBase(s, c.Base); err != nil {
			return nil, errs.Pass(err, "put")
		}
		out, err := appendDraft(s, c.Order, c.By, c.Body)
		return out, errs.Pass(err, "put")
	})
	return answer, errs.Pass(err, "put")
}

// PatchBundle writes a version as a draft: Base, which must be the newest, changed by a JSON merge patch. The result is
// checked as a whole. By signs signature.PatchBundle.
type PatchBundle struct {
	Order string `json:"order"`
	Base  uint64 `json:"base"`
	By    string `json:"by"`
	Sig   string `json:"sig"`
	Patch []byte `json:"patch"`
}

// Op is "patch".
func (c *PatchBundle) Op() string { return "patch" }

func (c *PatchBundle) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c, func() (any, error) {
		if err := verifySignature(s, c.By, c.Sig, signature.Patch(c.Order, c.Base, bundle.Digest(c.Patch))); err != nil {
			return nil, errs.Pass(err, "patch")
		}
		if err := checkBase(s, c.Base); err != nil {
			return nil, errs.Pass(err, "patch")
		}
		body, err := bundle.Merge(s.Head().Body, c.Patch)
		if err != nil {
			return nil, errs.Pass(err, "patch")
		}
		out, err := appendDraft(s, c.Order, c.By, body)
		return out, errs.Pass(err, "patch")
	})
	return answer, errs.Pass(err, "patch")
}

// checkBase is nil if base is the newest version, draft or not. Failure: Conflict.
func checkBase(s *state.State, base uint64) error {
	head := s.Head()
	switch {
	case base > head.Version:
		return errs.Field(errs.Conflict, "base", "there is no version %d, the newest is %d", base, head.Version)
	case base < head.Version:
		by := head.Author
		if next := s.Revision(base + 1); next != nil {
			by = next.Author
		}
		return errs.Field(errs.Conflict, "base", "someone else was first: version %d, by %s, was written against %d; the newest is %d",
			base+1, by, base, head.Version)
	}
	return nil
}

func appendDraft(s *state.State, order, by string, body []byte) (any, error) {
	if _, err := bundle.Parse(body); err != nil {
		return nil, errs.Pass(err, "draft")
	}
	base := s.Head().Version
	r := &state.Revision{Version: base + 1, Base: base, Digest: bundle.Digest(body), Size: len(body), Order: order, Author: by,
		WrittenAt: s.At, Phase: state.RevisionDraft, Body: body}
	if err := s.AppendRevision(r); err != nil {
		return nil, errs.Pass(err, "draft")
	}
	return BundleDrafted{r.Version, r.Base, r.Digest, r.Phase}, nil
}

// SignBundle is an operator's word for a version: Sig is over signature.Bundle. The second one, by another operator, puts the
// version in force in this very step.
type SignBundle struct {
	Order   string `json:"order"`
	Version uint64 `json:"version"`
	Digest  string `json:"sha256"`
	By      string `json:"by"`
	Sig     string `json:"sig"`
}

// BundleSigned answers Sign: where the version stands now, and who signed it.
type BundleSigned struct {
	Version uint64              `json:"version"`
	Digest  string              `json:"sha256"`
	Phase   state.RevisionPhase `json:"state"`
	Signed  []string            `json:"signed"`
}

// Op is "sign".
func (c *SignBundle) Op() string { return "sign" }

func (c *SignBundle) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c, func() (any, error) {
		r := s.Revision(c.Version)
		switch {
		case r == nil:
			return nil, errs.Field(errs.Unknown, "version", "no version %d", c.Version)
		case !strings.EqualFold(r.Digest, c.Digest):
			return nil, errs.Field(errs.Invalid, "sha256", "version %d has %s, not %s", r.Version, r.Digest, c.Digest)
		}
		if err := verifySignature(s, c.By, c.Sig, signature.Bundle(r.Version, r.Digest)); err != nil {
			return nil, errs.Pass(err, "sign")
		}
		switch {
		case r.Phase == state.RevisionInForce:
			return nil, errs.Field(errs.Conflict, "version", "version %d is in force already", r.Version)
		case r.Phase == state.RevisionReplaced:
			return nil, errs.Field(errs.Conflict, "version", "someone else was first: version %d was replaced, the newest is %d",
				r.Version, s.Head().Version)
		case slices.ContainsFunc(r.Signed, func(g state.Signature) bool { return g.By == c.By }):
			return nil, errs.Field(errs.Forbidden, "by", "%s has signed version %d; another operator must sign too", c.By, r.Version)
		}
		r.Signed = append(r.Signed, state.Signature{By: c.By, At: s.At, Sig: c.Sig})
		if len(r.Signed) == 1 {
			must(s.SetRevisionPhase(r, state.RevisionSigned))
		} else {
			b, err := bundle.Parse(r.Body)
			must(err) // the draft was parsed; what holds no more must not come in force here and not there
			must(s.PutInForce(r, b))
		}
		out := BundleSigned{Version: r.Version, Digest: r.Digest, Phase: r.Phase}
		for _, g := range r.Signed {
			out.Signed = append(out.Signed, g.By)
		}
		return out, nil
	})
	return answer, errs.Pass(err, "sign")
}

// EvacuateZone evacuates a zone or lifts the evacuation. Once the store knows operators, one of them must sign an
// evacuation (signature.Evacuate), and two its lifting (signature.Lift).
type EvacuateZone struct {
	Order string `json:"order"`
	Zone  string `json:"zone"`
	Out   bool   `json:"out"`
	By    string `json:"by,omitempty"`
	Sig   string `json:"sig,omitempty"`
}

// ZoneEvacuation answers Zone: whether the zone is evacuated now, and who signed its lifting so far.
type ZoneEvacuation struct {
	Zone      string   `json:"zone"`
	Evacuated bool     `json:"evacuated"`
	Signed    []string `json:"signed,omitempty"`
}

// Op is "zone".
func (c *EvacuateZone) Op() string { return "zone" }

func (c *EvacuateZone) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c, func() (any, error) {
		if c.Out {
			if err := c.signed(s, signature.Evacuate(c.Order, c.Zone)); err != nil {
				return nil, errs.Pass(err, "evacuate")
			}
			s.Evacuated[c.Zone] = s.At // signatures for lifting an earlier one are void
			delete(s.LiftSignatures, c.Zone)
			s.NotifyWatcher(state.EventPlacementChanged, c.Zone)
			return ZoneEvacuation{Zone: c.Zone, Evacuated: true}, nil
		}
		since, out := s.Evacuated[c.Zone]
		if !out && len(s.Operators) > 0 {
			return nil, errs.Field(errs.Unknown, "zone", "zone %q is not evacuated", c.Zone)
		}
		if err := c.signed(s, signature.Lift(c.Zone, since)); err != nil {
			return nil, errs.Pass(err, "lift")
		}
		if slices.Contains(s.LiftSignatures[c.Zone], c.By) {
			return nil, errs.Field(errs.Forbidden, "by", "%s has signed this lifting; another operator must sign too", c.By)
		}
		var signed []string
		if len(s.Operators) > 0 {
			signed = append(slices.Clone(s.LiftSignatures[c.Zone]), c.By)
		}
		if len(signed) == 1 {
			s.LiftSignatures[c.Zone] = signed
			return ZoneEvacuation{Zone: c.Zone, Evacuated: true, Signed: signed}, nil
		}
		delete(s.LiftSignatures, c.Zone)
		delete(s.Evacuated, c.Zone)
		s.NotifyWatcher(state.EventPlacementChanged, c.Zone)
		return ZoneEvacuation{Zone: c.Zone, Signed: signed}, nil
	})
	return answer, errs.Pass(err, "zone %q", c.Zone)
}

// signed checks the signature, once there are operators who could give one.
func (c *EvacuateZone) signed(s *state.State, text string) error {
	if len(s.Operators) == 0 {
		return nil
	}
	return errs.Pass(verifySignature(s, c.By, c.Sig, text), "zone %q", c.Zone)
}
