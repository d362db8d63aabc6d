package jobs

import "slices"

// Register records workers that are new or have changed. Draining and Left of a worker are never reset.
func (t *Table) Register(c Register) {
	for _, worker := range c.Workers {
		old := t.Workers[worker.ID]
		if old != nil {
			worker.Draining = worker.Draining || old.Draining
			worker.Left = worker.Left || old.Left
			if old.equal(&worker) {
				continue
			}
		}
		t.Workers[worker.ID] = &worker
		t.notify(WorkerChanged, worker.ID)
	}
}

func (w *Worker) equal(other *Worker) bool {
	return w.ID == other.ID && w.Address == other.Address && w.Service == other.Service && w.Zone == other.Zone &&
		w.Rack == other.Rack && w.Capacity == other.Capacity && w.Draining == other.Draining && w.Left == other.Left &&
		slices.Equal(w.Labels, other.Labels)
}

// dropWorkers deletes the records of workers that have no handle.
func (t *Table) dropWorkers(ids []string) {
	for _, id := range ids {
		if t.Workers[id] != nil && t.indexes.occupancy[id] == nil {
			delete(t.Workers, id)
			t.notify(WorkerGone, id)
		}
	}
}
