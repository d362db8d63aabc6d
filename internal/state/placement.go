package state

import (
	"fmt"
	"slices"
)

// Refusal is the reason for which a start is refused; "" if it is not. The strings are sent to the scheduler.
type Refusal string

// The refusals of State.PlacementRefusal.
const (
	RefusedQueue       Refusal = "queue"   // the bundle has no such queue
	RefusedIncarnation Refusal = "boot"    // the worker's incarnation is not known yet, or is another one
	RefusedDrain       Refusal = "drain"   // the worker drains
	RefusedZone        Refusal = "zone"    // its zone is evacuated
	RefusedType        Refusal = "type"    // the queue does not take the task's type
	RefusedTeam        Refusal = "team"    // the queue does not take the job's team
	RefusedPolicy      Refusal = "charter" // the placement policy does not list the worker, its zone or its rack
	RefusedLabel       Refusal = "label"   // the worker lacks a label
	RefusedNear        Refusal = "near"    // nothing near the worker has a label that the placement policy wants
)

// PlacementRefusal returns why a task of a step may not be assigned to a worker, by the bundle, labels, evacuations and
// drains; "" if it may. It does not check capacity. The scheduler calls it when it plans, package command again when
// the plan is applied.
func (s *State) PlacementRefusal(spec *Spec, step *StepSpec, w *Worker) Refusal {
	q, ok := s.Bundle.Queues[spec.Queue]
	switch {
	case !ok:
		return RefusedQueue
	case w.Incarnation == "":
		return RefusedIncarnation
	case w.Draining || w.Closed:
		return RefusedDrain
	case s.isEvacuated(w.Zone):
		return RefusedZone
	case !allows(q.Types, step.Type):
		return RefusedType
	case !allows(q.Teams, spec.Team):
		return RefusedTeam
	case !allows(q.Workers, w.Name), !allows(q.Zones, w.Zone), !allows(q.Racks, w.Rack):
		return RefusedPolicy
	case !w.Labels.hasAll(q.Labels), !w.Labels.hasAll(step.Labels):
		return RefusedLabel
	}
	for _, near := range q.Near {
		if s.indexes.labelSites[labelSiteOf(near, w)] == 0 {
			return RefusedNear
		}
	}
	return ""
}

// WaitReason returns why the bundle in force lets tasks of a job start on no worker; "" if it does not.
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

// The scopes of Near.
const (
	ScopeZone = "zone"
	ScopeRack = "rack"
)

// labelSite is a label with its value that some worker has, in a zone or in one rack of it.
type labelSite struct{ zone, rack, label, value string }

// labelSiteOf returns the site that must exist for a worker to satisfy near.
func labelSiteOf(near Near, w *Worker) labelSite {
	at := labelSite{zone: w.Zone, label: near.Label, value: near.Value}
	if near.Scope == ScopeRack {
		at.rack = "r" + w.Rack // also of a worker without a rack it differs from a whole zone
	}
	return at
}

// notifyIfNearChanged reports that label sites have changed, if any placement policy depends on them.
func (s *State) notifyIfNearChanged(sitesChanged bool) {
	if !sitesChanged {
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
	_, evacuated := s.Evacuated[zone]
	return evacuated
}

// allows reports whether a list of a placement policy allows a name; an empty list allows any.
func allows(list []string, name string) bool { return len(list) == 0 || slices.Contains(list, name) }
