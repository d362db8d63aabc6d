package controller

import (
	"sync"

	"crosstide/internal/errs"
	"crosstide/internal/jobs"
)

// jobMemory limits the memory of the jobs in the table: their tasks, of which a short submission can name very many.
// Submissions that are not committed yet count too. The leader checks it; a committed job is never rejected by it. It
// is safe for concurrent use.
type jobMemory struct {
	limit int64 // bytes; 0: no limit

	mu       sync.Mutex // guards proposed
	proposed int64      // bytes of the submissions that are being committed
}

// reserve counts a submission until release is called. Failure: Overloaded if the table, the other submissions and this
// one together exceed the limit; the job was not accepted then and never runs.
func (m *jobMemory) reserve(table *jobs.Table, spec *jobs.Spec) (release func(), err error) {
	if m.limit <= 0 || table.Jobs[spec.ID] != nil {
		return func() {}, nil // a repeated submission adds no job
	}
	bytes := spec.Footprint()
	m.mu.Lock()
	defer m.mu.Unlock()
	if table.Footprint()+m.proposed+bytes > m.limit {
		return nil, errs.New(errs.Overloaded, "the jobs of this system take too much memory")
	}
	m.proposed += bytes
	return func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.proposed -= bytes
	}, nil
}
