package state

import (
	"fmt"
	"maps"
	"slices"
)

// PlacementRefusal tells why a task of step may not run on m by bundle, labels, zone or drain; "" if it may.
// Room is not looked at. The store asks it in the same step that commits a run ID.
func (s *State) PlacementRefusal(spec *Spec, step *StepSpec, m *Worker) string {
	q, ok := s.Bundle.Queues[spec.Queue]
	switch {
	case !ok:
		return "queue"
	case m.Incarnation == "":
		return "boot"
	case m.Draining || m.Closed:
		return "drain"
	case s.isEvacuated(m.Zone):
		return "zone"
	case !allows(q.Types, step.Type):
		return "type"
	case !allows(q.Teams, spec.Team):
		return "team"
	case !allows(q.Workers, m.Name), !allows(q.Zones, m.Zone), !allows(q.Racks, m.Rack):
		return "charter"
	case !hasLabels(q.Labels, m.Labels), !hasLabels(step.Labels, m.Labels):
		return "label"
	}
	for _, n := range q.Near {
		if s.labelSites[labelSiteOf(n, m)] == 0 {
			return "near"
		}
	}
	return ""
}

// WaitReason tells why the bundle in force keeps a job's due tasks from every minion; "" if it does not.
func (s *State) WaitReason(spec *Spec) string {
	q, ok := s.Bundle.Queues[spec.Queue]
	if !ok {
		return fmt.Sprintf("no queue %s in bundle %d", spec.Queue, s.Bundle.Version)
	}
	if !allows(q.Teams, spec.Team) {
		return fmt.Sprintf("team %s may not use queue %s in bundle %d", spec.Team, spec.Queue, s.Bundle.Version)
	}
	for _, step := range spec.Steps {
		if !allows(q.Types, step.Type) {
			return fmt.Sprintf("type %s may not use queue %s in bundle %d", step.Type, spec.Queue, s.Bundle.Version)
		}
	}
	return ""
}

// labelSite is a label borne by some minion in a rack (of a zone) or in a zone.
type labelSite struct{ zone, rack, label, value string }

func labelSiteOf(n Near, m *Worker) labelSite {
	at := labelSite{zone: m.Zone, label: n.Label, value: n.Value}
	if n.Scope == "rack" {
		at.rack = "r" + m.Rack
	}
	return at
}

// countLabels counts a minion's labels in or out of the sites; it tells whether a site came or went.
func (s *State) countLabels(m *Worker, by int) bool {
	moved := false
	for label, value := range m.Labels {
		for _, scope := range []string{"zone", "rack"} {
			at := labelSiteOf(Near{label, value, scope}, m)
			n := s.labelSites[at] + by
			moved = moved || n == 0 || n == by
			if s.labelSites[at] = n; n == 0 {
				delete(s.labelSites, at)
			}
		}
	}
	return moved
}

// PutWorker makes m what the store knows of a minion, and tells watchers.
func (s *State) PutWorker(m *Worker) {
	moved := false
	if old := s.Workers[m.Name]; old != nil {
		if old.Zone == m.Zone && old.Rack == m.Rack && maps.Equal(old.Labels, m.Labels) {
			s.Workers[m.Name] = m
			s.notify(Event{Kind: EventWorkerChanged, Name: m.Name})
			return
		}
		moved = s.countLabels(old, -1)
	}
	s.Workers[m.Name] = m
	moved = s.countLabels(m, 1) || moved
	s.notify(Event{Kind: EventWorkerChanged, Name: m.Name})
	s.notifyIfNearChanged(moved)
}

// DropWorker forgets a minion, and tells watchers.
func (s *State) DropWorker(name string) {
	m := s.Workers[name]
	if m == nil {
		return
	}
	delete(s.Workers, name)
	moved := s.countLabels(m, -1)
	s.notify(Event{Kind: EventWorkerRetired, Name: name})
	s.notifyIfNearChanged(moved)
}

// notifyIfNearChanged tells watchers that what is near to what has changed, if any placement policy asks for it.
func (s *State) notifyIfNearChanged(moved bool) {
	if !moved {
		return
	}
	for _, q := range s.Bundle.Queues {
		if len(q.Near) > 0 {
			s.notify(Event{Kind: EventPlacementChanged})
			return
		}
	}
}

func (s *State) isEvacuated(zone string) bool {
	_, out := s.Evacuated[zone]
	return out
}

func allows(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }

func hasLabels(want, have map[string]string) bool {
	for k, v := range want {
		if have[k] != v {
			return false
		}
	}
	return true
}
