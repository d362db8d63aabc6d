package jobs

// Evacuate starts or ends the evacuation of a zone. A repetition changes nothing.
func (t *Table) Evacuate(c Evacuate) {
	if t.Evacuated[c.Zone] == c.Start {
		return
	}
	if c.Start {
		t.Evacuated[c.Zone] = true
	} else {
		delete(t.Evacuated, c.Zone)
	}
	t.notify(ZonesChanged, c.Zone)
}
