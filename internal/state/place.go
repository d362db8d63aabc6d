package state

import (
	"fmt"
	"maps"
	"slices"
)

// Fits tells why a task of step may not run on m by bundle, labels, zone or drain; "" if it may.
// Room is not looked at. The store asks it in the same step that commits a run ID.
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
	for _, n := range q.Near {
		if s.sites[siteOf(n, m)] == 0 {
			return "near"
		}
	}
	return ""
}

// Waits tells why the bundle in force keeps a job's due tasks from every minion; "" if it does not.
func (s *State) Waits(spec *Spec) string {
	q, ok := s.Bundle.Queues[spec.Queue]
	if !ok {
		return fmt.Sprintf("no queue %s in bundle %d", spec.Queue, s.Bundle.Version)
	}
	if !listed(q.Teams, spec.Team) {
		return fmt.Sprintf("team %s may not use queue %s in bundle %d", spec.Team, spec.Queue, s.Bundle.Version)
	}
	for _, step := range spec.Steps {
		if !listed(q.Types, step.Type) {
			return fmt.Sprintf("type %s may not use queue %s in bundle %d", step.Type, spec.Queue, s.Bundle.Version)
		}
	}
	return ""
}

// site is a label borne by some minion in a rack (of a zone) or in a zone.
type site struct{ zone, rack, label, value string }

func siteOf(n Near, m *Minion) site {
	at := site{zone: m.Zone, label: n.Label, value: n.Value}
	if n.Within == "rack" {
		at.rack = "r" + m.Rack
	}
	return at
}

// mark counts a minion's labels in or out of the sites; it tells whether a site came or went.
func (s *State) mark(m *Minion, by int) bool {
	moved := false
	for label, value := range m.Labels {
		for _, within := range []string{"zone", "rack"} {
			at := siteOf(Near{label, value, within}, m)
			n := s.sites[at] + by
			moved = moved || n == 0 || n == by
			if s.sites[at] = n; n == 0 {
				delete(s.sites, at)
			}
		}
	}
	return moved
}

// PutMinion makes m what the store knows of a minion, and tells watchers.
func (s *State) PutMinion(m *Minion) {
	moved := false
	if old := s.Minions[m.Name]; old != nil {
		if old.Zone == m.Zone && old.Rack == m.Rack && maps.Equal(old.Labels, m.Labels) {
			s.Minions[m.Name] = m
			s.tell(Note{Kind: NoteMinion, Name: m.Name})
			return
		}
		moved = s.mark(old, -1)
	}
	s.Minions[m.Name] = m
	moved = s.mark(m, 1) || moved
	s.tell(Note{Kind: NoteMinion, Name: m.Name})
	s.near(moved)
}

// DropMinion forgets a minion, and tells watchers.
func (s *State) DropMinion(name string) {
	m := s.Minions[name]
	if m == nil {
		return
	}
	delete(s.Minions, name)
	moved := s.mark(m, -1)
	s.tell(Note{Kind: NoteGone, Name: name})
	s.near(moved)
}

// near tells watchers that what is near to what has changed, if any placement policy asks for it.
func (s *State) near(moved bool) {
	if !moved {
		return
	}
	for _, q := range s.Bundle.Queues {
		if len(q.Near) > 0 {
			s.tell(Note{Kind: NotePlacement})
			return
		}
	}
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
