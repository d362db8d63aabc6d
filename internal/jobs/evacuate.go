package jobs

import "crosstide/internal/errs"

// Evacuate starts or ends the evacuation of a zone. An order with a Base is applied only if no other order for the zone
// was applied since the base was read; otherwise it fails as Stale without a change. Each order with a Base increases
// the zone's revision, also one that repeats the current state: once it is acknowledged, no order that is based on an
// earlier revision may take effect. An order without a Base comes from an earlier version of the program.
func (t *Table) Evacuate(c Evacuate) error {
	if c.Base != nil {
		if revision := t.ZoneRevisions[c.Zone]; revision != *c.Base {
			return errs.Field(errs.Stale, "base", "zone %q is at revision %d, the order is based on %d",
				c.Zone, revision, *c.Base)
		}
		t.ZoneRevisions[c.Zone]++
	}
	if t.Evacuated[c.Zone] == c.Start {
		return nil
	}
	if c.Start {
		t.Evacuated[c.Zone] = true
	} else {
		delete(t.Evacuated, c.Zone)
	}
	t.notify(ZonesChanged, c.Zone)
	return nil
}
