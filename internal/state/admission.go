package state

import "fmt"

// OverloadReason returns why a new job of a team is rejected as overload; "" if it is admitted. bound is the most jobs
// that may be open. Below half of it every team's jobs are admitted; above, a team may have its share of bound by
// weight among the teams with open jobs. The last twentieth is reserved for urgent queues.
func (s *State) OverloadReason(team string, urgent bool, bound int) string {
	open, byTeam := s.indexes.openJobs, s.indexes.openJobsByTeam
	switch {
	case open >= bound:
		return fmt.Sprintf("%d jobs are open, the bound", open)
	case !urgent && open >= bound-bound/20:
		return fmt.Sprintf("%d jobs are open; the room up to %d is kept for urgent queues", open, bound)
	case open < bound/2:
		return ""
	}
	if share := s.shareOf(team, bound); byTeam[team] >= share {
		return fmt.Sprintf("team %s has %d jobs open, its share of %d among %d teams",
			team, byTeam[team], bound, len(byTeam))
	}
	return ""
}

// shareOf returns a team's share of bound by weight, among the teams with open jobs and itself.
func (s *State) shareOf(team string, bound int) int {
	weight := func(team string) int { return max(1, s.Bundle.Weights[team]) }
	total := 0
	for name := range s.indexes.openJobsByTeam {
		total += weight(name)
	}
	if s.indexes.openJobsByTeam[team] == 0 {
		total += weight(team)
	}
	return bound * weight(team) / total
}
