package store

import "time"

// LeadTerm gives the term in which this node leads. held tells that at now, a time of the store's clock, no other
// node can lead: the lease is held, and all that earlier leaders committed is in the live state. Example:
//
//	if term, held := s.LeadTerm(clock.Now()); held {
//		_, _, err = s.ProposeIn(ctx, term, decide())
//	}
func (s *Store) LeaderTerm(now time.Duration) (term uint64, current bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.core == nil || s.halted || s.leaderTerm == 0 || !s.roleLeases.Active() {
		return 0, false
	}
	commit, current := s.core.LeaseReadIndex(now)
	return s.leaderTerm, current && s.live.Index >= commit
}
