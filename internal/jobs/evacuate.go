package jobs

// Evacuate starts or withdraws the evacuation of a zone; repeated it changes nothing.
func (t *Table) Evacuate(c Evacuate) error {
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
