package state

import "fmt"

// count takes a job into the count of those that are not over, or out of it.
func (s *State) count(j *Job, by int) {
	s.open += by
	if s.teams[j.Spec.Team] += by; s.teams[j.Spec.Team] == 0 {
		delete(s.teams, j.Spec.Team)
	}
}

// Open is how many jobs are not over; OpenOf how many of a team's.
func (s *State) Open() int { return s.open }

// OpenOf is Open for one team.
func (s *State) OpenOf(team string) int { return s.teams[team] }

// Shed tells why a team's new job is turned away overloaded, "" if it is taken. bound is the most jobs that
// may be open. Up to half of it anyone may hand in; from there a team may hold its share by weight among the teams
// that have something open; the last twentieth is kept for urgent queues.
func (s *State) Shed(team string, urgent bool, bound int) string {
	switch {
	case s.open >= bound:
		return fmt.Sprintf("%d jobs are open, the bound", s.open)
	case !urgent && s.open >= bound-bound/20:
		return fmt.Sprintf("%d jobs are open; the room up to %d is kept for urgent queues", s.open, bound)
	case s.open < bound/2:
		return ""
	}
	weight := func(team string) int { return max(1, s.Bundle.Weights[team]) }
	all := 0
	for name := range s.teams {
		all += weight(name)
	}
	if s.teams[team] == 0 {
		all += weight(team)
	}
	if share := bound * weight(team) / all; s.teams[team] >= share {
		return fmt.Sprintf("team %s has %d jobs open, its share of %d among %d teams", team, s.teams[team], bound, len(s.teams))
	}
	return ""
}
