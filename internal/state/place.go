package state

import "slices"

// Fits tells why a task of step may not run on m by bundle, labels, zone or drain; "" if it may.
// Room is not looked at. The store asks it in the same step that commits a ticket.
func (s *State) Fits(spec *Spec, step *StepSpec, m *Minion) string {
	q, ok := s.Bundle.Queues[spec.Queue]
	switch {
	case !ok:
		return "queue"
	case m.Boot == "":
		return "boot"
	case m.Draining || m.Closed:
		return "drain"
	case s.gone(m.Zone):
		return "zone"
	case !listed(q.Types, step.Type):
		return "type"
	case !listed(q.Teams, spec.Team):
		return "team"
	case !listed(q.Minions, m.Name), !listed(q.Zones, m.Zone), !listed(q.Racks, m.Rack):
		return "charter"
	case !borne(q.Labels, m.Labels), !borne(step.Labels, m.Labels):
		return "label"
	}
	return ""
}

func (s *State) gone(zone string) bool {
	_, out := s.Evacuated[zone]
	return out
}

func listed(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }

func borne(want, have map[string]string) bool {
	for k, v := range want {
		if have[k] != v {
			return false
		}
	}
	return true
}
