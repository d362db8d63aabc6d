package state

import "fmt"

// countOpenJob takes a job into the count of those that are not over, or out of it.
func (s *State) countOpenJob(j *Job, by int) {
	s.openJobs += by
	if s.openJobsByTeam[j.Spec.Team] += by; s.openJobsByTeam[j.Spec.Team] == 0 {
		delete(s.openJobsByTeam, j.Spec.Team)
	}
}

// HasHandle is how many jobs are not over; OpenJobsOf how many of a team's.
func (s *State) OpenJobs() int { return s.openJobs }

// OpenJobsOf is Open for one team.
func (s *State) OpenJobsOf(team string) int { return s.openJobsByTeam[team] }

// OverloadReason tells why a team's new job is turned away overloaded, "" if it is taken. bound is the most jobs that
// may be open. Up to half of it anyone may hand in; from there a team may hold its share by weight among the teams
// that have something open; the last twentieth is kept for urgent queues.
func (s *State) OverloadReason(team string, urgent bool, bound int) string {
	switch {
	case s.openJobs >= bound:
		return fmt.Sprintf("%d jobs are open, the bound", s.openJobs)
	case !urgent && s.openJobs >= bound-bound/20:
		return fmt.Sprintf("%d jobs are open; the room up to %d is kept for urgent queues", s.openJobs, bound)
	case s.openJobs < bound/2:
		return ""
	}
	weight := func(team string) int { return max(1, s.Bundle.Weights[team]) }
	all := 0
	for name := range s.openJobsByTeam {
		all += weight(name)
	}
	if s.openJobsByTeam[team] == 0 {
		all += weight(team)
	}
	if share := bound * weight(team) / all; s.openJobsByTeam[team] >= share {
		return fmt.Sprintf("team %s has %d jobs open, its share of %d among %d teams", team, s.openJobsByTeam[team], bound, len(s.openJobsByTeam))
	}
	return ""
}
