package state

import (
	"maps"
	"slices"
)

// Worker is the record of a worker of the policy deployment. A stored Worker is never changed, only replaced
// (PutWorker).
type Worker struct {
	Name        string `json:"name"`
	Addr        string `json:"addr"`
	Incarnation string `json:"boot,omitempty"` // from its newest answer to the scheduler; "" before the first
	Kind        string `json:"kind"`           // obey: starts whatever it is ordered to; check: verifies the order
	Zone        string `json:"zone"`
	Rack        string `json:"rack,omitempty"`
	Labels      Labels `json:"labels,omitempty"`
	Cores       int    `json:"cores"`
	GPUs        int    `json:"gpus,omitempty"`
	Draining    bool   `json:"draining,omitempty"` // reported by the worker
	Closed      bool   `json:"closed,omitempty"`   // drained by an operator
}

// PutWorker adds a worker or replaces its record.
func (s *State) PutWorker(worker *Worker) {
	old := s.Workers[worker.Name]
	s.Workers[worker.Name] = worker
	sitesChanged := false
	if old == nil || !old.hasSameSites(worker) {
		if old != nil {
			sitesChanged = s.indexes.addLabels(old, -1)
		}
		sitesChanged = s.indexes.addLabels(worker, 1) || sitesChanged
	}
	s.notify(Event{Kind: EventWorkerChanged, Name: worker.Name})
	s.notifyIfNearChanged(sitesChanged)
}

// DropWorker removes a worker's record. The caller must ensure that the worker has no handles.
func (s *State) DropWorker(name string) {
	worker := s.Workers[name]
	if worker == nil {
		return
	}
	delete(s.Workers, name)
	sitesChanged := s.indexes.addLabels(worker, -1)
	s.notify(Event{Kind: EventWorkerRetired, Name: name})
	s.notifyIfNearChanged(sitesChanged)
}

// WorkerNames returns the names of all workers in order.
func (s *State) WorkerNames() []string { return slices.Sorted(maps.Keys(s.Workers)) }

// hasSameSites reports whether two records of a worker count for the same label sites.
func (w *Worker) hasSameSites(other *Worker) bool {
	return w.Zone == other.Zone && w.Rack == other.Rack && maps.Equal(w.Labels, other.Labels)
}
