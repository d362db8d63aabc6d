package state

import (
	"fmt"
	"slices"
)

// Refusal is the reason why a start is refused, or "" if it is not. The strings are sent to the scheduler.
type Refusal string

// The refusals of State.PlacementRefusal.
const (
	RefusedQueue       Refusal = "queue"   // the bundle has no such queue
	RefusedIncarnation Refusal = "boot"    // the worker's incarnation is unknown or has changed
	RefusedDrain       Refusal = "drain"   // the worker is draining
	RefusedZone        Refusal = "zone"    // its zone is evacuated
	RefusedType        Refusal = "type"    // the queue does not accept the task's type
	RefusedTeam        Refusal = "team"    // the queue does not accept the job's team
	RefusedPolicy      Refusal = "charter" // the placement policy does not list the worker, its zone or its rack
	RefusedLabel       Refusal = "label"   // the worker lacks a label
	RefusedNear        Refusal = "near"    // no worker nearby has a label that the placement policy requires there
)

// PlacementRefusal returns why the bundle, labels, evacuations or drains forbid assigning a task of a step to a worker,
// or "" if they allow it. It does not check capacity. The scheduler calls it when it plans, and package command again
// when the plan is applied.
func (s *State) PlacementRefusal(spec *Spec, step *StepSpec, worker *Worker) Refusal {
	queue, ok := s.Bundle.Queues[spec.Queue]
	switch {
	case !ok:
		return RefusedQueue
	case worker.Incarnation == "":
		return RefusedIncarnation
	case worker.Draining || worker.Closed:
		return RefusedDrain
	case s.isEvacuated(worker.Zone):
		return RefusedZone
	case !allows(queue.Types, step.Type):
		return RefusedType
	case !allows(queue.Teams, spec.Team):
		return RefusedTeam
	case !allows(queue.Workers, worker.Name), !allows(queue.Zones, worker.Zone), !allows(queue.Racks, worker.Rack):
		return RefusedPolicy
	case !worker.Labels.hasAll(queue.Labels), !worker.Labels.hasAll(step.Labels):
		return RefusedLabel
	}
	for _, near := range queue.Near {
		if s.indexes.labelSites[labelSiteOf(near, worker)] == 0 {
			return RefusedNear
		}
	}
	return ""
}

// WaitReason returns why the bundle in force forbids starting tasks of a job on any worker, or "" if it does not.
func (s *State) WaitReason(spec *Spec) string {
	queue, ok := s.Bundle.Queues[spec.Queue]
	if !ok {
		return fmt.Sprintf("no queue %s in bundle %d", spec.Queue, s.Bundle.Version)
	}
	if !allows(queue.Teams, spec.Team) {
		return fmt.Sprintf("team %s may not use queue %s in bundle %d", spec.Team, spec.Queue, s.Bundle.Version)
	}
	for _, step := range spec.Steps {
		if !allows(queue.Types, step.Type) {
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

// labelSite is a label with its value, in a zone or in one of its racks, where some worker has it.
type labelSite struct{ zone, rack, label, value string }

// labelSiteOf returns the site that must exist for a worker to satisfy near.
func labelSiteOf(near Near, w *Worker) labelSite {
	site := labelSite{zone: w.Zone, label: near.Label, value: near.Value}
	if near.Scope == ScopeRack {
		site.rack = "r" + w.Rack // never "", so that a worker without a rack differs from the whole zone
	}
	return site
}

// notifyIfNearChanged emits EventPlacementChanged if label sites have changed and some placement policy uses Near.
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
