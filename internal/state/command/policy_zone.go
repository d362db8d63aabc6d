package command

import (
	"slices"

	"crosstide/internal/errs"
	"crosstide/internal/signature"
	"crosstide/internal/state"
)

// EvacuateZone evacuates a zone (Start) or lifts the evacuation. Once operators are set, one of them must sign an
// evacuation (signature.Evacuate), and two must sign to lift it (signature.Lift), each with a separate order.
type EvacuateZone struct {
	Order string `json:"order"`
	Zone  string `json:"zone"`
	Start bool   `json:"out"`
	By    string `json:"by,omitempty"`
	Sig   string `json:"sig,omitempty"`
}

// ZoneEvacuation answers EvacuateZone with whether the zone is evacuated now and who has signed to lift the evacuation.
type ZoneEvacuation struct {
	Zone      string   `json:"zone"`
	Evacuated bool     `json:"evacuated"`
	Signed    []string `json:"signed,omitempty"`
}

// Op returns "zone".
func (*EvacuateZone) Op() string { return "zone" }

func (c *EvacuateZone) apply(s *state.State, _ uint64) (any, error) {
	answer, err := applyOnce(s, c.Order, c)
	return answer, errs.Pass(err, "zone %q", c.Zone)
}

func (c *EvacuateZone) check(s *state.State) error {
	if c.Start {
		text := signature.Evacuate(c.Order, c.Zone)
		return errs.Pass(verifyIfOperatorsKnown(s, c.By, c.Sig, text), "evacuate")
	}
	since, isEvacuated := s.Evacuated[c.Zone]
	if !isEvacuated && len(s.Operators) > 0 {
		return errs.Field(errs.Unknown, "zone", "zone %q is not evacuated", c.Zone)
	}
	if err := verifyIfOperatorsKnown(s, c.By, c.Sig, signature.Lift(c.Zone, since)); err != nil {
		return errs.Pass(err, "lift")
	}
	if slices.Contains(s.LiftSignatures[c.Zone], c.By) {
		return errs.Field(errs.Forbidden, "by",
			"%s has already signed to lift this evacuation; another operator must sign too", c.By)
	}
	return nil
}

func (c *EvacuateZone) change(s *state.State) (any, error) {
	if c.Start {
		return c.evacuate(s), nil
	}
	return c.lift(s), nil
}

// evacuate starts an evacuation. It drops the signatures for lifting an earlier one.
func (c *EvacuateZone) evacuate(s *state.State) ZoneEvacuation {
	s.Evacuated[c.Zone] = s.At
	delete(s.LiftSignatures, c.Zone)
	s.NotifyChange(state.EventPlacementChanged, c.Zone)
	return ZoneEvacuation{Zone: c.Zone, Evacuated: true}
}

// lift adds a signature, and lifts the evacuation with the second one. Without operators it needs no signatures.
func (c *EvacuateZone) lift(s *state.State) ZoneEvacuation {
	var signed []string
	if len(s.Operators) > 0 {
		signed = append(slices.Clone(s.LiftSignatures[c.Zone]), c.By)
	}
	if len(signed) == 1 {
		s.LiftSignatures[c.Zone] = signed
		return ZoneEvacuation{Zone: c.Zone, Evacuated: true, Signed: signed}
	}
	delete(s.LiftSignatures, c.Zone)
	delete(s.Evacuated, c.Zone)
	s.NotifyChange(state.EventPlacementChanged, c.Zone)
	return ZoneEvacuation{Zone: c.Zone, Signed: signed}
}
