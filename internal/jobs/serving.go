package jobs

// QueueOf returns the queue to which a job that is not retired belongs under the configuration in force. It is the only
// answer to that question: the service, priority, limits and objective of an accepted job follow from it.
//
//   - A job submitted to a location belongs to the queue that serves the location, whatever its name.
//   - A job submitted to a queue by name belongs to the queue with that name.
//   - If no queue of the configuration serves the job, it belongs to the queue that served it last, because an accepted
//     job is completed even if new ones are rejected there.
//
// QueueOf returns nil for a job that no queue serves and that lost its queue before SchemaLocations was in force.
func (*Table) QueueOf(job *Job) *Queue {
	if job.index.serving != nil {
		return job.index.serving
	}
	return job.LastQueue
}

// QueueName returns the name of the queue to which a job belongs, or the one that accepted the job if QueueOf has none.
func (t *Table) QueueName(job *Job) string {
	if queue := t.QueueOf(job); queue != nil {
		return queue.Name
	}
	return job.Spec.Queue
}

// servingQueue returns the queue of the configuration that serves a job, or nil.
func (t *Table) servingQueue(spec *Spec) *Queue {
	if spec.Location != nil {
		return t.QueueFor(spec.Location.Host, spec.Location.Path)
	}
	return t.Config.Queue(spec.Queue)
}

// reassignQueues determines the serving queue of every job that is not retired, after the configuration has changed.
// Under SchemaLocations a job that is no longer served keeps its last queue.
func (t *Table) reassignQueues() {
	dropped := map[*Queue]*Queue{} // copies shared by the jobs of a queue
	for _, job := range t.Jobs {
		if job.Rounds == nil {
			continue
		}
		before, after := job.index.serving, t.servingQueue(&job.Spec)
		t.countQueued(job, -1)
		job.index.serving = after
		t.countQueued(job, 1)
		switch {
		case after != nil:
			job.LastQueue = nil
		case before != nil && t.Schema >= SchemaLocations:
			if dropped[before] == nil {
				dropped[before] = before.withoutDocument()
			}
			job.LastQueue = dropped[before]
		}
	}
}

// withoutDocument returns a copy of a queue without the operator's item.
func (q *Queue) withoutDocument() *Queue {
	bare := *q
	bare.Document = nil
	return &bare
}
