package state

import "time"

// Tombstone is what remains of a purged job: enough to answer a repeated submission.
type Tombstone struct {
	Digest  string    `json:"d"`
	Team    string    `json:"m,omitempty"`
	Phase   JobPhase  `json:"p"`
	Reason  string    `json:"w,omitempty"`
	EndedAt time.Time `json:"e"`
}

// ReplaceOldestJobByTombstone replaces the oldest terminal job, the first of EndedJobs, by its tombstone.
func (s *State) ReplaceOldestJobByTombstone() {
	job := s.Jobs[s.EndedJobs[0]]
	s.Tombstones[job.Spec.Key] = &Tombstone{
		Digest: job.Digest, Team: job.Spec.Team, Phase: job.Phase, Reason: job.Reason, EndedAt: job.EndedAt,
	}
	s.TombstoneOrder = append(s.TombstoneOrder, job.Spec.Key)
	delete(s.Jobs, job.Spec.Key)
	s.EndedJobs = s.EndedJobs[1:]
}

// DropOldestTombstone removes the oldest tombstone. The key of its job may then be used for a new job.
func (s *State) DropOldestTombstone() {
	delete(s.Tombstones, s.TombstoneOrder[0])
	s.TombstoneOrder = s.TombstoneOrder[1:]
}
