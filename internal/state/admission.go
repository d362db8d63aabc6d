package state

import "fmt"

// OverloadReason returns why a new job of a team must be rejected because of overload, or "" if it is admitted. bound
// is the maximum number of open jobs. While fewer than half of it are open, jobs of every team are admitted; from there
// on, each team is limited to its weighted share of bound among the teams with open jobs. The last twentieth of bound
// is reserved for urgent queues.
func (s *State) OverloadReason(team string, urgent bool, bound int) string {
	open, byTeam := s.indexes.openJobs, s.indexes.openJobsByTeam
	switch {
	case open >= bound:
		return fmt.Sprintf("%d jobs are open, the limit is reached", open)
	case !urgent && open >= bound-bound/20:
		return fmt.Sprintf("%d jobs are open; the rest up to %d is reserved for urgent queues", open, bound)
	case open < bound/2:
		return ""
	}
	if share := s.shareOf(team, bound); byTeam[team] >= share {
		return fmt.Sprintf("team %s has %d open jobs and reached its share of %d among %d teams",
			team, byTeam[team], bound, len(byTeam))
	}
	return ""
}

// shareOf returns a team's weighted share of bound, among the teams with open jobs and itself.
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
