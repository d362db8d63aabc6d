package query

import (
	"cmp"
	"slices"
	"time"

	"crosstide/internal/state"
)

// ZoneView is an evacuated zone. Since is part of the text that is signed to lift the evacuation (signature.Lift).
type ZoneView struct {
	Zone   string    `json:"zone"`
	Since  time.Time `json:"since"`
	Signed []string  `json:"signed,omitempty"` // operators who have signed to lift it
}

// Zones returns the evacuated zones, sorted by name.
func Zones(s *state.State) []ZoneView {
	zones := []ZoneView{}
	for zone, since := range s.Evacuated {
		zones = append(zones, ZoneView{Zone: zone, Since: since, Signed: slices.Clone(s.LiftSignatures[zone])})
	}
	slices.SortFunc(zones, func(a, b ZoneView) int { return cmp.Compare(a.Zone, b.Zone) })
	return zones
}
