package jobs

// Sizes of the records of a job in memory, in bytes, with the parts that the scheduler keeps of them.
const (
	jobFootprint  = 512
	stepFootprint = 256
	taskFootprint = 400
	wordFootprint = 8
)

// Footprint returns an estimate of the memory that a job takes while its tasks are kept, in bytes. A short
// specification can name very many tasks.
func (s *Spec) Footprint() int64 {
	bytes, tasks := int64(jobFootprint+len(s.Payload)), int64(0)
	if s.Location != nil {
		bytes += int64(len(s.Location.Host) + len(s.Location.Path))
	}
	for _, step := range s.Steps {
		bytes += int64(stepFootprint + wordFootprint*len(step.After) + len(step.Label) + len(step.PreferredRack))
		tasks += int64(max(step.Count, 0))
	}
	return bytes + taskFootprint*tasks*int64(max(1, s.Rounds))
}

// Footprint returns an estimate of the memory that all jobs take, in bytes. It is derived from the records and never
// stored.
func (t *Table) Footprint() int64 { return t.indexes.footprint }

// footprintOf returns the estimate of a job's memory; a retired job has no tasks.
func footprintOf(job *Job) int64 {
	if job.Rounds == nil {
		return jobFootprint
	}
	return job.Spec.Footprint()
}

// setFootprint sets the estimate of a job's memory.
func (t *Table) setFootprint(job *Job, bytes int64) {
	t.indexes.footprint += bytes - job.index.footprint
	job.index.footprint = bytes
}
